package trentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/io/trguard"
)

// errIdleClosed is returned by reads of a connection that was closed while idle.
var errIdleClosed = errors.New("connection was closed while it was idle")

// callerConns tracks the open connections of callers and closes idle ones. The zero
// value with a clock is ready to use.
type callerConns struct {
	clock trclock.Clock

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// listener wraps l so that its accepted connections are tracked.
func (c *callerConns) listener(l net.Listener) net.Listener { return &callerListener{l, c} }

// callerListener is a listener that adds accepted connections to tracker.
type callerListener struct {
	net.Listener
	tracker *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: nc, tracker: l.tracker, idleSince: l.tracker.clock.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.tracker.conns == nil {
		l.tracker.conns = make(map[*callerConn]struct{})
	}
	l.tracker.conns[cc] = struct{}{}
	return cc, nil
}

// closeIdle closes all connections that have been idle for at least limit.
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

// callerConn is a caller's connection. It is either closed while idle or delivers
// the bytes of a request, never both. Without this, http.Server may close an idle
// connection from which it has just read a request; that request then runs, but its
// response is lost.
type callerConn struct {
	net.Conn
	tracker *callerConns

	mu         sync.Mutex
	idleSince  time.Time // zero from the first byte of a request until the server waits for another one
	answered   bool      // the last request has been answered
	closedIdle bool      // closed by closeIdle; reads fail
	used       bool      // bytes have been received
	requests   int       // received so far
}

// Read implements net.Conn. The connection becomes idle when the server waits for a request
// after a response, not with the response: a pipelined request may have been read already.
// While a request is handled, http.Server reads single bytes to notice that the caller leaves.
func (cc *callerConn) Read(b []byte) (int, error) {
	cc.mu.Lock()
	if cc.answered && len(b) > 1 {
		cc.idleSince = cc.tracker.clock.Now()
	}
	cc.mu.Unlock()
	n, err := cc.Conn.Read(b)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closedIdle {
		return 0, errIdleClosed
	}
	if n > 0 {
		cc.idleSince, cc.answered, cc.used = time.Time{}, false, true
	}
	return n, err
}

// NetConn returns the connection below.
func (cc *callerConn) NetConn() net.Conn { return cc.Conn }

// Close implements net.Conn.
func (cc *callerConn) Close() error {
	cc.tracker.mu.Lock()
	delete(cc.tracker.conns, cc)
	cc.tracker.mu.Unlock()
	return cc.Conn.Close()
}

// firstRequestTime is how long a new connection is not closed as idle, so that the
// caller's first request can arrive.
const firstRequestTime = 250 * time.Millisecond

// closeIdle closes the connection if it has been idle for at least limit at time now, and
// for at least firstRequestTime if it is new.
func (cc *callerConn) closeIdle(now time.Time, limit time.Duration) {
	cc.mu.Lock()
	if !cc.used {
		limit = max(limit, firstRequestTime)
	}
	idle := !cc.idleSince.IsZero() && now.Sub(cc.idleSince) >= limit
	cc.closedIdle = cc.closedIdle || idle
	cc.mu.Unlock()
	if idle {
		_ = cc.Close() // the connection is discarded even if this fails
	}
}

// trackState is the ConnState hook of an http.Server. It records that a request has been
// answered.
func trackState(nc net.Conn, state http.ConnState) {
	trguard.ConnState(nc, state)
	cc, ok := nc.(*callerConn)
	if !ok || state != http.StateIdle {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.answered = true
}

// connKey is the context key under which a request's callerConn is stored.
type connKey struct{}

// connContext is the ConnContext hook of an http.Server. It makes the connection
// available to the handlers of its requests.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return trguard.ConnContext(context.WithValue(ctx, connKey{}, nc), nc)
}

// countRequest counts r on its connection and reports whether it is the first one there.
func countRequest(r *http.Request) bool {
	cc, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requests++
	return cc.requests == 1
}
