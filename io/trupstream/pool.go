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

// pool holds the connections to one start of an upstream.
type pool struct {
	clock trclock.Clock

	mu      sync.Mutex
	idle    []*conn // least recently used first
	open    int     // idle, in use and being dialled
	waiters []chan *conn
	retired bool // connections are closed when they are given back
}

// take returns an idle connection, dials one, or waits for one until end if the
// limit is reached.
func (p *pool) take(ctx context.Context, c *Client, up *trdirectory.Upstream, end time.Time) (*conn, error) {
	limit := max(1, c.MaxConns(up))
	p.mu.Lock()
	if cn := p.popIdle(); cn != nil {
		p.mu.Unlock()
		return cn, nil
	}
	ctx, cancel := trclock.WithTimeout(ctx, p.clock, end.Sub(p.clock.Now()))
	defer cancel()
	if p.open < limit {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx, c, up)
	}
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	select {
	case cn := <-w:
		if cn == nil { // a place to dial
			return p.dial(ctx, c, up)
		}
		return cn, nil
	case <-ctx.Done():
		p.giveUp(w)
		return nil, errors.New("no connection became free")
	}
}

// giveUp removes a waiter and passes on what it was given meanwhile.
func (p *pool) giveUp(w chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return
	}
	if cn := <-w; cn != nil {
		p.put(cn)
	} else {
		p.vacate()
	}
}

// dial opens a connection in a place that was counted before.
func (p *pool) dial(ctx context.Context, c *Client, up *trdirectory.Upstream) (*conn, error) {
	nc, err := c.dial(ctx, up.Addr)
	if err != nil {
		p.mu.Lock()
		p.vacate()
		p.mu.Unlock()
		return nil, errors.Wrap(err, "dial upstream")
	}
	return newConn(p, nc), nil
}

// release gives a connection back. One that is not reusable is closed.
func (p *pool) release(cn *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.used = p.clock.Now()
	if !reusable || p.retired {
		cn.close()
		p.vacate()
		return
	}
	p.put(cn)
}

// put hands a connection to a waiter or keeps it idle.
func (p *pool) put(cn *conn) {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w <- cn
		return
	}
	p.idle = append(p.idle, cn)
}

// vacate gives up the place of a connection, to a waiter if there is one.
func (p *pool) vacate() {
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w <- nil
		return
	}
	p.open--
}

// popIdle returns the most recently used idle connection that is sound.
func (p *pool) popIdle() *conn {
	now := p.clock.Now()
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if cn.sound(now) {
			return cn
		}
		cn.close()
		p.open--
	}
	return nil
}

// sweep closes idle connections that are not sound.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn) bool {
		if cn.sound(now) {
			return false
		}
		cn.close()
		p.open--
		return true
	})
}

// retire closes the idle connections now and the others when they are given back.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, cn := range p.idle {
		cn.close()
		p.open--
	}
	p.idle = nil
}

// sound reports whether an idle connection may carry a request: it is not too
// old and nothing has arrived on it.
func (cn *conn) sound(now time.Time) bool {
	return now.Sub(cn.used) < cn.idleTime && cn.quiet()
}
