package trentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// errIdleClosed ends the reads of a connection that was closed while idle.
var errIdleClosed = errors.New("connection was closed while it was idle")

// callerConns follows the connections of callers and closes idle ones. The zero
// value with a clock is ready to use.
type callerConns struct {
	clock trclock.Clock

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// listener returns l with its connections followed.
func (c *callerConns) listener(l net.Listener) net.Listener { return &callerListener{l, c} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: nc, all: l.conns, idleSince: l.conns.clock.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.conns == nil {
		l.conns.conns = make(map[*callerConn]struct{})
	}
	l.conns.conns[cc] = struct{}{}
	return cc, nil
}

// closeIdle closes connections that have been idle for at least limit.
func (c *callerConns) closeIdle(limit time.Duration) {
	now := c.clock.Now()
	c.mu.Lock()
	all := make([]*callerConn, 0, len(c.conns))
	for cc := range c.conns {
		all = append(all, cc)
	}
	c.mu.Unlock()
	for _, cc := range all {
		cc.closeIdle(now, limit)
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// callerConn is a connection of a caller. It is either closed while idle or
// delivers the bytes of a request, never both: http.Server on its own may close
// a connection of which it has just read a request, which then runs without an
// answer.
type callerConn struct {
	net.Conn
	all *callerConns

	mu        sync.Mutex
	idleSince time.Time // zero from the first byte of a request to its answer
	closed    bool      // while idle
	requests  int
}

// Read implements net.Conn.
func (cc *callerConn) Read(b []byte) (int, error) {
	n, err := cc.Conn.Read(b)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return 0, errIdleClosed
	}
	if n > 0 {
		cc.idleSince = time.Time{}
	}
	return n, err
}

// Close implements net.Conn.
func (cc *callerConn) Close() error {
	cc.all.mu.Lock()
	delete(cc.all.conns, cc)
	cc.all.mu.Unlock()
	return cc.Conn.Close()
}

func (cc *callerConn) closeIdle(now time.Time, limit time.Duration) {
	cc.mu.Lock()
	idle := !cc.idleSince.IsZero() && now.Sub(cc.idleSince) >= limit
	cc.closed = cc.closed || idle
	cc.mu.Unlock()
	if idle {
		_ = cc.Close() // it is given up in any case
	}
}

// observe is the ConnState of an http.Server.
func observe(nc net.Conn, state http.ConnState) {
	cc, ok := nc.(*callerConn)
	if !ok || state != http.StateIdle {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.idleSince = cc.all.clock.Now()
}

// connKey is the key of a callerConn in the context of its requests.
type connKey struct{}

// connContext is the ConnContext of an http.Server.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// isFirst counts a request of a connection and reports whether it is the first.
func isFirst(r *http.Request) bool {
	cc, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requests++
	return cc.requests == 1
}
