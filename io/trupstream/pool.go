package trupstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

// pool holds the connections to one process of an upstream. A restarted upstream gets
// a new pool.
type pool struct {
	clock trclock.Clock

	mu      sync.Mutex
	idle    []*conn      // least recently used first
	open    int          // number of connections that are idle, in use or being dialed
	waiters []chan *conn // in order of arrival; nil sent to one lets it dial
	closed  bool         // released connections are closed
}

// acquire returns an idle connection or dials a new one. If the limit is reached, it
// waits for a connection until deadline.
func (p *pool) acquire(ctx context.Context, c *Client, up *trdirectory.Upstream, deadline time.Time) (*conn, error) {
	limit := max(1, c.MaxConns(up))
	p.mu.Lock()
	if cn := p.popIdle(); cn != nil {
		p.mu.Unlock()
		return cn, nil
	}
	ctx, cancel := trclock.WithTimeout(ctx, p.clock, deadline.Sub(p.clock.Now()))
	defer cancel()
	if p.open < limit {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx, c, up)
	}
	waiter := make(chan *conn, 1)
	p.waiters = append(p.waiters, waiter)
	p.mu.Unlock()
	select {
	case cn := <-waiter:
		if cn == nil { // a connection was closed; dial in its place
			return p.dial(ctx, c, up)
		}
		return cn, nil
	case <-ctx.Done():
		p.cancelWait(waiter)
		return nil, errors.New("no connection became free")
	}
}

// cancelWait removes a waiter. If the waiter has been given a connection or the right
// to dial in the meantime, that is passed on.
func (p *pool) cancelWait(waiter chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, waiter); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return
	}
	if cn := <-waiter; cn != nil {
		p.put(cn)
	} else {
		p.allowDial()
	}
}

// dial opens a connection that is already counted in open.
func (p *pool) dial(ctx context.Context, c *Client, up *trdirectory.Upstream) (*conn, error) {
	nc, err := c.dial(ctx, up.Addr)
	if err != nil {
		p.mu.Lock()
		p.allowDial()
		p.mu.Unlock()
		return nil, errors.Wrap(err, "dial upstream")
	}
	return newConn(p, nc), nil
}

// replace closes a connection and dials another one in its place.
func (p *pool) replace(ctx context.Context, c *Client, up *trdirectory.Upstream, cn *conn) (*conn, error) {
	cn.close()
	return p.dial(ctx, c, up)
}

// release returns a connection to the pool, or closes it if it is not reusable.
func (p *pool) release(cn *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.lastUsed = p.clock.Now()
	if !reusable || p.closed {
		cn.close()
		p.allowDial()
		return
	}
	p.put(cn)
}

// put hands a connection to the first waiter or keeps it idle. The caller holds mu.
func (p *pool) put(cn *conn) {
	if len(p.waiters) > 0 {
		waiter := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		waiter <- cn
		return
	}
	p.idle = append(p.idle, cn)
}

// allowDial lets the first waiter dial in place of a closed connection, or lowers the
// number of open connections. The caller holds mu.
func (p *pool) allowDial() {
	if len(p.waiters) > 0 {
		waiter := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		waiter <- nil
		return
	}
	p.open--
}

// popIdle returns the most recently used idle connection that is reusable, and closes
// those that are not. The caller holds mu.
func (p *pool) popIdle() *conn {
	now := p.clock.Now()
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if cn.reusable(now) {
			return cn
		}
		cn.close()
		p.open--
	}
	return nil
}

// sweep closes idle connections that are not reusable.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn) bool {
		if cn.reusable(now) {
			return false
		}
		cn.close()
		p.open--
		return true
	})
}

// close closes the idle connections now and the others when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		cn.close()
		p.open--
	}
	p.idle = nil
}

// reusable reports whether an idle connection can carry another request: its idle
// timeout has not expired and it is healthy.
func (cn *conn) reusable(now time.Time) bool {
	return now.Sub(cn.lastUsed) < cn.idleTimeout && cn.healthy()
}
