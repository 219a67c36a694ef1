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

// Delay before the next dial of a leaf after a failed one. It doubles from the
// first to the last; half of each delay is random. Judgement.
const (
	firstDialDelay = 25 * time.Millisecond
	lastDialDelay  = 5 * time.Second
)

// pool holds the connections to one leaf.
type pool struct {
	client *Client
	ctx    context.Context // ends when the pool is shut
	cancel context.CancelFunc

	mu       sync.Mutex
	target   Target // of the latest call
	limits   Limits // of the latest call
	conns    map[*conn]bool
	idle     []*conn // least recently used first
	waiters  []*waiter
	dialing  bool // a dialer goroutine exists
	opening  int  // 1 while a dial runs, for the connection it may make
	startID  string
	failures int // consecutive failed dials
	nextDial time.Time
	lastErr  *trwire.AttemptError // of the last dial, nil if it succeeded
	retired  bool                 // no call came since CloseLeaf; connections close when they are given back
	isShut   bool                 // no longer in the client's map
}

// waiter is a call that waits for a connection. It receives one value while it
// is not in the pool's list any more.
type waiter struct {
	result chan waitResult
}

type waitResult struct {
	cn      *conn
	fresh   bool
	failure *trwire.AttemptError
}

func newPool(c *Client) *pool {
	p := &pool{client: c, conns: make(map[*conn]bool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// take returns an idle connection or waits for one. It returns neither
// connection nor failure if the pool is shut.
func (p *pool) take(ctx context.Context, target Target, limits Limits) (cn *conn, fresh bool, failure *trwire.AttemptError) {
	p.mu.Lock()
	if p.isShut {
		p.mu.Unlock()
		return nil, false, nil
	}
	p.retired = false
	p.adopt(target, limits)
	if cn := p.popIdle(); cn != nil {
		p.mu.Unlock()
		return cn, false, nil
	}
	if limits.Connections <= 0 {
		p.mu.Unlock()
		return nil, false, notRun(trwire.AttemptNoCapacity, errors.New("no connection is permitted"))
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
	return nil, false, p.giveUp(ctx, w)
}

// giveUp removes w and returns why it got no connection.
func (p *pool) giveUp(ctx context.Context, w *waiter) *trwire.AttemptError {
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
	case kindOfEnd(ctx) == trwire.AttemptCanceled:
		return notRun(trwire.AttemptCanceled, context.Cause(ctx))
	case lastErr != nil:
		return notRun(lastErr.Kind, lastErr.Err)
	case full:
		return notRun(trwire.AttemptNoCapacity, errors.New("all connections are in use"))
	}
	return notRun(trwire.AttemptDial, errors.New("no connection in time"))
}

// adopt takes over target and limits of a call. Idle connections that lead
// elsewhere or exceed the limit are closed.
func (p *pool) adopt(target Target, limits Limits) {
	p.limits = limits
	p.target = target
	for _, cn := range slices.Clone(p.idle) {
		if cn.target.Addr != target.Addr || len(p.conns)+p.opening > limits.Connections {
			p.drop(cn)
		}
	}
}

// popIdle takes the most recently used idle connection, and one that is not
// suspect if there is any.
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

// release gives back a connection, to a waiter if there is one. A connection
// that is closed, of an earlier start or above the limit is dropped.
func (p *pool) release(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cn.lastUsed = p.client.clock().Now()
	if !p.keeps(cn) {
		p.drop(cn)
		p.startDialer()
		return
	}
	p.offer(cn, false)
}

func (p *pool) keeps(cn *conn) bool {
	return p.conns[cn] && !p.isShut && !p.retired && !cn.closed.Load() &&
		cn.hello.StartID == p.startID &&
		cn.target.Addr == p.target.Addr &&
		len(p.conns)+p.opening <= p.limits.Connections
}

func (p *pool) offer(cn *conn, fresh bool) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, cn)
		return
	}
	w := p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	w.result <- waitResult{cn: cn, fresh: fresh}
}

// releaseSuspect gives back a connection that must be probed before its next use.
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

// silent counts a connection without any byte back in time and marks those that
// were not heard of since its call began.
func (p *pool) silent(cn *conn) {
	p.client.Counters.Silent.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.conns {
		if !other.lastUsed.After(cn.began) {
			other.suspect = true
		}
	}
}

// discard forgets a connection whose reader has ended.
func (p *pool) discard(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(cn)
	p.startDialer()
}

// drop closes and forgets a connection.
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

// startDialer starts the dialer goroutine if a call waits, the limit permits a
// connection and none is being dialled.
func (p *pool) startDialer() {
	if p.dialing || !p.wantsDial() {
		return
	}
	p.dialing = true
	go p.dialLoop()
}

func (p *pool) wantsDial() bool {
	return !p.isShut && len(p.waiters) > 0 && len(p.conns)+p.opening < p.limits.Connections
}

// dialLoop dials one connection after the other while calls wait.
func (p *pool) dialLoop() {
	for {
		p.mu.Lock()
		if !p.wantsDial() {
			p.dialing = false
			p.mu.Unlock()
			return
		}
		delay := p.nextDial.Sub(p.client.clock().Now())
		if delay > 0 {
			p.mu.Unlock()
			// An ended context means that the pool is shut, so the next turn returns.
			_ = trclock.Sleep(p.ctx, p.client.clock(), delay)
			continue
		}
		p.opening = 1
		target, limits := p.target, p.limits
		p.mu.Unlock()
		p.dialOnce(target, limits)
	}
}

// dialOnce dials, exchanges the hello and hands the connection out.
func (p *pool) dialOnce(target Target, limits Limits) {
	counters := &p.client.Counters
	counters.Dials.Add(1)
	counters.Open.Add(1)
	ctx, cancel := trclock.WithTimeout(p.ctx, p.client.clock(), limits.DialTimeout)
	defer cancel()
	cn, failure := p.connect(ctx, target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = 0
	if failure != nil {
		counters.DialFailures.Add(1)
		counters.Open.Add(-1)
		p.dialFailed(failure)
		return
	}
	p.failures, p.lastErr = 0, nil
	p.conns[cn] = true
	p.startID = cn.hello.StartID
	if !p.keeps(cn) {
		p.drop(cn)
		return
	}
	for _, other := range slices.Clone(p.idle) {
		if other.hello.StartID != p.startID {
			p.drop(other)
		}
	}
	cn.lastUsed = p.client.clock().Now()
	p.offer(cn, true)
}

func (p *pool) connect(ctx context.Context, target Target) (*conn, *trwire.AttemptError) {
	nc, err := p.client.dial(ctx, target.Addr)
	if err != nil {
		return nil, notRun(trwire.AttemptDial, errors.Wrapf(err, "dial leaf %q", target.LeafID))
	}
	cn := newConn(p, target, nc)
	h, failure := cn.sayHello(ctx)
	if failure != nil {
		if failure.Kind != trwire.AttemptBadReply {
			failure = notRun(trwire.AttemptDial, errors.Wrapf(failure.Err, "hello of leaf %q", target.LeafID))
		}
		return nil, failure
	}
	cn.hello = h
	return cn, nil
}

// dialFailed sets the delay of the next dial. Calls that wait fail if no other
// connection could come back to them, so that another replica can be tried.
func (p *pool) dialFailed(failure *trwire.AttemptError) {
	delay := min(firstDialDelay<<min(p.failures, 16), lastDialDelay)
	p.failures++
	p.nextDial = p.client.clock().Now().Add(p.client.jitter(delay))
	p.lastErr = failure
	if len(p.conns) == 0 {
		p.failWaiters(failure)
	}
}

func (p *pool) failWaiters(failure *trwire.AttemptError) {
	for _, w := range p.waiters {
		copied := *failure
		w.result <- waitResult{failure: &copied}
	}
	p.waiters = nil
}

// retire closes the idle connections and fails the waiters. If nothing else is
// open, it shuts the pool and returns true.
func (p *pool) retire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.failWaiters(notRun(trwire.AttemptDial, errors.New("connections of the leaf are closed")))
	for _, cn := range slices.Clone(p.idle) {
		p.drop(cn)
	}
	p.isShut = len(p.conns)+p.opening == 0
	if p.isShut {
		p.cancel()
	}
	return p.isShut
}

// shut closes all connections and fails the waiters.
func (p *pool) shut() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isShut = true
	p.failWaiters(notRun(trwire.AttemptCanceled, errors.New("client is closed")))
	for cn := range p.conns {
		p.drop(cn)
	}
}
