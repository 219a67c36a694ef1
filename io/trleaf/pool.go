package trleaf

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// Bounds of the backoff after a failed dial. It doubles with each consecutive
// failure; half of each delay is random.
const (
	minDialBackoff = 25 * time.Millisecond
	maxDialBackoff = 5 * time.Second
)

// pool holds the connections to one leaf.
type pool struct {
	client *Client
	ctx    context.Context // canceled when the pool is closed
	cancel context.CancelFunc

	mu            sync.Mutex
	target        Target               // of the latest call
	limits        Limits               // of the latest call
	conns         map[*conn]bool       // idle and in use
	idle          []*conn              // least recently used first
	waiters       []*waiter            // in the order of their calls
	dialerRunning bool                 // the dialer goroutine is running
	pendingDials  int                  // 1 while a connection is being dialed, otherwise 0
	startID       string               // of the newest connection
	failures      int                  // consecutive failed dials
	nextDial      time.Time            // earliest time of the next dial
	lastErr       *trwire.AttemptError // of the last dial, nil if it succeeded
	retired       bool                 // no call since CloseLeaf; connections are closed on release
	closed        bool                 // removed from Client.pools
}

// waiter is a call that waits for a connection. It receives one result if the pool
// removes it from its list, and none if the call removes itself.
type waiter struct {
	result chan waitResult
}

type waitResult struct {
	cn      *conn
	fresh   bool // dialed for a waiter, so that its hello is new
	failure *trwire.AttemptError
}

func newPool(c *Client) *pool {
	p := &pool{client: c, conns: make(map[*conn]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// take returns an idle connection or waits for one. fresh reports whether the
// connection was newly dialed. If the pool is closed, take returns neither a connection
// nor a failure.
func (p *pool) take(ctx context.Context, target Target, limits Limits) (cn *conn, fresh bool, failure *trwire.AttemptError) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, nil
	}
	p.retired = false
	p.update(target, limits)
	if cn := p.popIdle(); cn != nil {
		p.mu.Unlock()
		return cn, false, nil
	}
	if limits.Connections <= 0 {
		p.mu.Unlock()
		return nil, false, notRun(trwire.AttemptNoCapacity, errors.New("the connection limit is 0"))
	}
	w := &waiter{result: make(chan waitResult, 1)}
	p.waiters = append(p.waiters, w)
	p.startDialer()
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return r.cn, r.fresh, r.failure
	case <-ctx.Done():
	}
	return nil, false, p.cancelWait(ctx, w)
}

// cancelWait removes w from the waiters and returns the reason why its call got no
// connection. It releases a connection that w has received in the meantime.
func (p *pool) cancelWait(ctx context.Context, w *waiter) *trwire.AttemptError {
	p.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	full := len(p.conns) >= p.limits.Connections
	lastErr := p.lastErr
	p.mu.Unlock()
	select {
	case r := <-w.result:
		if r.cn != nil {
			p.release(r.cn)
		}
	default:
	}
	switch {
	case contextErrorKind(ctx) == trwire.AttemptCanceled:
		return notRun(trwire.AttemptCanceled, context.Cause(ctx))
	case lastErr != nil:
		return notRun(lastErr.Kind, lastErr.Err)
	case full:
		return notRun(trwire.AttemptNoCapacity, errors.New("all connections are in use"))
	}
	return notRun(trwire.AttemptDial, errors.New("no connection before the deadline"))
}

// update stores the target and the limits of a call. It closes idle connections to
// another address and those that exceed the limit. The caller holds p.mu.
func (p *pool) update(target Target, limits Limits) {
	p.limits = limits
	p.target = target
	for _, cn := range slices.Clone(p.idle) {
		if cn.target.Addr != target.Addr || len(p.conns)+p.pendingDials > limits.Connections {
			p.drop(cn)
		}
	}
}

// popIdle removes and returns the most recently used idle connection. It prefers
// connections that are not suspect. The caller holds p.mu.
func (p *pool) popIdle() *conn {
	best := -1
	for i, cn := range p.idle {
		if best < 0 || !cn.suspect || p.idle[best].suspect {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	cn := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return cn
}

// release returns a connection to the pool, which passes it to a waiter if there is
// one. A connection that is closed, of an earlier start of the leaf or above the
// limit is dropped.
func (p *pool) release(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.lastUsed = p.client.clock().Now()
	if !p.reusable(cn) {
		p.drop(cn)
		p.startDialer()
		return
	}
	p.put(cn, false)
}

// reusable reports whether a connection may be used for another call. The caller holds
// p.mu.
func (p *pool) reusable(cn *conn) bool {
	return p.conns[cn] && !p.closed && !p.retired && !cn.closed.Load() &&
		cn.hello.StartID == p.startID &&
		cn.target.Addr == p.target.Addr &&
		len(p.conns)+p.pendingDials <= p.limits.Connections
}

// put passes a connection to the call that has waited longest, or makes it idle if
// no call waits. The caller holds p.mu.
func (p *pool) put(cn *conn, fresh bool) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, cn)
		return
	}
	w := p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	w.result <- waitResult{cn: cn, fresh: fresh}
}

// releaseSuspect releases a connection that must be probed before its next use.
func (p *pool) releaseSuspect(cn *conn) {
	p.setSuspect(cn, true)
	p.release(cn)
}

func (p *pool) isSuspect(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cn.suspect
}

func (p *pool) setSuspect(cn *conn, suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.suspect = suspect
}

// markSilent counts a connection on which no byte of a reply arrived before the
// deadline. It marks all connections that have not been released since the call
// began as suspect.
func (p *pool) markSilent(cn *conn) {
	p.client.Counters.Silent.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.conns {
		if !other.lastUsed.After(cn.began) {
			other.suspect = true
		}
	}
}

// discard drops a connection whose reader goroutine is returning.
func (p *pool) discard(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(cn)
	p.startDialer()
}

// drop closes a connection and removes it from the pool. The caller holds p.mu.
func (p *pool) drop(cn *conn) {
	cn.close()
	if i := slices.Index(p.idle, cn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	if p.conns[cn] {
		delete(p.conns, cn)
		p.client.Counters.Open.Add(-1)
	}
}

// startDialer starts the dialer goroutine if it is not running, a call waits and the
// limit permits another connection. The caller holds p.mu.
func (p *pool) startDialer() {
	if p.dialerRunning || !p.needsDial() {
		return
	}
	p.dialerRunning = true
	go p.dialLoop()
}

// needsDial reports whether a call waits and the limit permits another connection. The
// caller holds p.mu.
func (p *pool) needsDial() bool {
	return !p.closed && len(p.waiters) > 0 && len(p.conns)+p.pendingDials < p.limits.Connections
}

// dialLoop dials one connection at a time while calls wait.
func (p *pool) dialLoop() {
	for {
		p.mu.Lock()
		if !p.needsDial() {
			p.dialerRunning = false
			p.mu.Unlock()
			return
		}
		delay := p.nextDial.Sub(p.client.clock().Now())
		if delay > 0 {
			p.mu.Unlock()
			// If the context has ended, the pool is closed and the next iteration returns.
			_ = trclock.Sleep(p.ctx, p.client.clock(), delay)
			continue
		}
		p.pendingDials = 1
		target, limits := p.target, p.limits
		p.mu.Unlock()
		p.dialOnce(target, limits)
	}
}

// dialOnce dials a connection, exchanges the hello and passes the connection to a
// waiter.
func (p *pool) dialOnce(target Target, limits Limits) {
	counters := &p.client.Counters
	counters.Dials.Add(1)
	counters.Open.Add(1)
	ctx, cancel := trclock.WithTimeout(p.ctx, p.client.clock(), limits.DialTimeout)
	defer cancel()
	cn, failure := p.connect(ctx, target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingDials = 0
	if failure != nil {
		counters.DialFailures.Add(1)
		counters.Open.Add(-1)
		p.dialFailed(failure)
		return
	}
	p.failures, p.lastErr = 0, nil
	p.conns[cn] = true
	p.startID = cn.hello.StartID
	if !p.reusable(cn) {
		p.drop(cn)
		return
	}
	for _, other := range slices.Clone(p.idle) {
		if other.hello.StartID != p.startID {
			p.drop(other)
		}
	}
	cn.lastUsed = p.client.clock().Now()
	p.put(cn, true)
}

func (p *pool) connect(ctx context.Context, target Target) (*conn, *trwire.AttemptError) {
	nc, err := p.client.dial(ctx, target.Addr)
	if err != nil {
		return nil, notRun(trwire.AttemptDial, errors.Wrapf(err, "dial leaf %q", target.LeafID))
	}
	cn := newConn(p, target, nc)
	h, failure := cn.requestHello(ctx)
	if failure != nil {
		if failure.Kind != trwire.AttemptBadReply {
			failure = notRun(trwire.AttemptDial, errors.Wrapf(failure.Err, "hello from leaf %q", target.LeafID))
		}
		return nil, failure
	}
	cn.hello = h
	return cn, nil
}

// dialFailed sets the backoff before the next dial. If the pool has no connection
// that could be released to the waiting calls, they fail, so that another replica
// can be tried. The caller holds p.mu.
func (p *pool) dialFailed(failure *trwire.AttemptError) {
	delay := min(minDialBackoff<<min(p.failures, 16), maxDialBackoff)
	p.failures++
	p.nextDial = p.client.clock().Now().Add(p.client.jitter(delay))
	p.lastErr = failure
	if len(p.conns) == 0 {
		p.failWaiters(failure)
	}
}

// failWaiters makes all waiting calls fail. The caller holds p.mu.
func (p *pool) failWaiters(failure *trwire.AttemptError) {
	for _, w := range p.waiters {
		copied := *failure
		w.result <- waitResult{failure: &copied}
	}
	p.waiters = nil
}

// retire closes the idle connections and fails the waiters. If no other connection
// is open or being dialed, it closes the pool and returns true.
func (p *pool) retire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.failWaiters(notRun(trwire.AttemptDial, errors.New("connections to the leaf were closed")))
	for _, cn := range slices.Clone(p.idle) {
		p.drop(cn)
	}
	p.closed = len(p.conns)+p.pendingDials == 0
	if p.closed {
		p.cancel()
	}
	return p.closed
}

// close closes all connections and fails the waiters.
func (p *pool) close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.failWaiters(notRun(trwire.AttemptCanceled, errors.New("client is closed")))
	for cn := range p.conns {
		p.drop(cn)
	}
}
