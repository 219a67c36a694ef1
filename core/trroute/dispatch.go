package trroute

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trlimit"
	"tanagerrock/core/trwire"
)

// wakeBatch is the number of waiters that wake tries at a time. The first one may
// decline the leaf, because waiting for a faster replica is expected to take less
// time.
const wakeBatch = 4

// ErrNoReplica is the cause of a refusal when no usable replica is left.
var ErrNoReplica = errors.New("no usable replica")

// The errors of Acquire are shared because they carry no state.
var (
	errNoUsableReplica = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: ErrNoReplica}
	errLeafPaused      = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("the leaf is paused after it shed a sub-query")}
	errWaitersAhead    = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("sub-queries of the same or higher priority are waiting for the leaf")}
	errOnlySlow        = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("only slow replicas are left, and waiting for the others is expected to be faster")}
)

// AcquireRequest describes a sub-query that needs a leaf.
type AcquireRequest struct {
	Shard       *Shard        // the shard whose replicas may be used, updated on table changes
	Leafs       []*Leaf       // the replicas that may be used if Shard is nil
	Exclude     []*Leaf       // replicas tried before; not empty for hedges and retries
	Worth       float64       // configured Worth of the class; higher is served first
	Deadline    time.Time     // end of the wait and of the sub-query
	Timeout     time.Duration // longest time of the sub-query
	ColdTimeout time.Duration // longest time at a cold leaf, 0 for Timeout; must fit into a turn
	NoWait      bool          // refuse instead of waiting for a permit
	// SpendProbe takes one extra sub-query from the budget and reports whether there
	// was one. If there was, the dispatcher may send this sub-query to a slower
	// replica as a probe; it then sets Grant.Probe, and the holder sends a second
	// sub-query at once. SpendProbe is nil if the sub-query may not be sent twice.
	SpendProbe func() bool
}

// Outcome describes how a granted sub-query ended.
type Outcome struct {
	Latency  time.Duration        // from the grant to the end
	Err      *trwire.AttemptError // nil if a usable reply arrived
	StartID  string               // start ID in the reply, or ""
	Draining bool                 // drain flag in the reply
}

// Dispatcher assigns sub-queries to leafs and queues those without a permit. Create
// it with NewDispatcher.
type Dispatcher struct {
	router    *Router
	latencies latencyTracker
	seq       atomic.Uint64
	pool      sync.Pool

	randMu sync.Mutex
	rand   *rand.Rand

	mu      sync.Mutex
	waiters map[*waiter]struct{}
}

// NewDispatcher returns a dispatcher that uses the routing table of r.
func NewDispatcher(r *Router) *Dispatcher {
	d := &Dispatcher{
		router:  r,
		rand:    rand.New(rand.NewPCG(r.opts.Seed, 1)),
		waiters: make(map[*waiter]struct{}),
	}
	d.pool.New = func() any { return new(Candidates) }
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRebuild = append(r.onRebuild, d.onTableChange)
	return d
}

// Grant allows the holder to send one sub-query to Leaf. The holder calls Done when
// the sub-query has ended; only the first call has an effect.
type Grant struct {
	Leaf    *Leaf
	StartID string         // start ID that the sub-query must carry
	Timeout time.Duration  // longest time of the sub-query from the grant on
	Waited  time.Duration  // time spent waiting for the permit
	Probe   bool           // the sub-query probes a slower leaf; AcquireRequest.SpendProbe has allowed a second one
	Permit  trlimit.Permit // the holder calls its Check method immediately before the write

	d    *Dispatcher
	done atomic.Bool
}

// Done returns the permit and records how the sub-query ended.
func (g *Grant) Done(o Outcome) {
	if g.done.Swap(true) {
		return
	}
	d, l := g.d, g.Leaf
	now := d.router.opts.Clock.Now()
	l.inFlight.Add(-1)
	if l.record(now, o) {
		l.Limit.BeginSlowStart(now)
	}
	l.Limit.Release(now, g.Permit, loadSignal(o.Err))
	if o.Err == nil || o.Err.Kind == trwire.AttemptCanceled || o.Err.Kind == trwire.AttemptTimeout {
		d.latencies.record(l.Service, now, o.Latency)
	}
	d.observe(g, o)
	d.wake(l, now)
}

// observe passes the start ID and the drain flag of the outcome to the router.
func (d *Dispatcher) observe(g *Grant, o Outcome) {
	startID := o.StartID
	if o.Err != nil {
		switch o.Err.Kind {
		case trwire.AttemptDraining:
			o.Draining = true
			if startID == "" {
				startID = g.StartID
			}
		case trwire.AttemptVersion, trwire.AttemptStart:
			d.router.MarkStale(g.Leaf)
		}
	}
	d.router.ObserveReply(g.Leaf, startID, o.Draining)
}

// loadSignal returns what err says about the load of the leaf.
func loadSignal(err *trwire.AttemptError) trlimit.LoadSignal {
	if err == nil {
		return trlimit.Succeeded
	}
	switch err.Kind {
	case trwire.AttemptShed, trwire.AttemptTimeout:
		return trlimit.Overloaded
	}
	return trlimit.Neutral
}

// HedgeDelay returns the time after which a sub-query of a service is hedged: the
// given quantile (0 to 1) of the recent latencies of the service.
func (d *Dispatcher) HedgeDelay(service string, quantile float64) time.Duration {
	return d.latencies.quantile(service, d.router.opts.Clock.Now(), quantile)
}

// Acquire picks a leaf for req and takes a permit for it. If no replica has a permit,
// it waits for one. Waiters are served by Worth, then by earliest deadline. The cause
// of a refusal is ErrNoReplica if no usable replica is left. Its kind is NoTurn if
// all replicas are refused for lack of a turn, Canceled if ctx ended, else
// NoCapacity.
func (d *Dispatcher) Acquire(ctx context.Context, req AcquireRequest) (*Grant, *trwire.AttemptError) {
	clock := d.router.opts.Clock
	now := clock.Now()
	leafs := req.Leafs
	if req.Shard != nil {
		leafs = req.Shard.Replicas
	}
	grant, refused := d.pick(now, &req, leafs, nil)
	if grant != nil || req.NoWait || refused == errNoUsableReplica || !now.Before(req.Deadline) {
		return grant, refused
	}
	w := &waiter{d: d, request: req, queuedAt: now, seq: d.seq.Add(1), result: make(chan result, 1), leafs: leafs}
	expired := make(chan struct{})
	stop := clock.After(req.Deadline.Sub(now), func(time.Time) { close(expired) })
	defer stop()
	d.enqueue(w)
	defer d.dequeue(w)
	// A permit may have been released between the first attempt and enqueue.
	for _, l := range leafs {
		d.wake(l, clock.Now())
	}
	select {
	case r := <-w.result:
		return r.grant, r.refused
	case <-expired:
	case <-ctx.Done():
		refused = &trwire.AttemptError{Kind: trwire.AttemptCanceled, Err: ctx.Err()}
	}
	if w.abandon() {
		return nil, refused
	}
	r := <-w.result
	return r.grant, r.refused
}

// pick takes a permit for one of leafs without waiting. w is nil for a sub-query that
// is not queued, which must not overtake waiters of the same or higher priority.
func (d *Dispatcher) pick(now time.Time, req *AcquireRequest, leafs []*Leaf, w *waiter) (*Grant, *trwire.AttemptError) {
	waited := time.Duration(0)
	if w != nil {
		waited = now.Sub(w.queuedAt)
	}
	c := d.pool.Get().(*Candidates)
	defer d.pool.Put(c)
	probing := d.collect(c, now, req, leafs, waited)
	if len(c.Leafs) == 0 {
		return nil, errNoUsableReplica
	}
	timeout := req.Timeout
	if left := req.Deadline.Sub(now); left < timeout || timeout <= 0 {
		timeout = left
	}
	var refused *trwire.AttemptError
	for {
		i := d.router.opts.Picker.Pick(c)
		if i < 0 {
			break
		}
		l := c.Leafs[i]
		permit, err := trlimit.Permit{}, errWaitersAhead
		if l.pauseLeft(c.now) > 0 {
			err = errLeafPaused
		} else if w != nil || !l.waiting.outranks(req) {
			permit, err = l.Limit.TryAcquire(now, l.permitRequest(timeout, req.ColdTimeout, d.router.views()))
		}
		if err == nil {
			l.inFlight.Add(1)
			return &Grant{Leaf: l, StartID: permit.StartID, Timeout: permit.Timeout, Waited: waited, Probe: c.slowProbe, Permit: permit, d: d}, nil
		}
		c.close(i)
		if probing {
			probing = d.collect(c, now, req, leafs, waited)
			continue
		}
		if refused == nil || err.Kind == trwire.AttemptNoCapacity {
			refused = err
		}
	}
	if refused == nil {
		refused = errOnlySlow
	}
	return nil, refused
}

// collect sets c to the candidates: the usable replicas that are not excluded.
// Ejected replicas are left out unless there are no others. On a first attempt, an
// ejected replica that is due for a probe becomes the only candidate, and collect
// returns true.
func (d *Dispatcher) collect(c *Candidates, now time.Time, req *AcquireRequest, leafs []*Leaf, waited time.Duration) (probing bool) {
	c.Zone = d.router.opts.Zone
	c.Rand = d.random()
	c.Waited = waited
	c.FirstAttempt = len(req.Exclude) == 0
	c.SpendProbe = req.SpendProbe
	c.slowProbe = false
	c.now = now.Sub(d.router.epoch)
	c.closed = 0
	c.Leafs = c.buffer[:0]
	start := 0
	if len(leafs) > maxCandidates {
		start = int(c.Rand >> 32 % uint64(len(leafs)))
	}
	ejected := 0
	for k := range leafs {
		l := leafs[(start+k)%len(leafs)]
		if !l.Usable() || slices.Contains(req.Exclude, l) {
			continue
		}
		if l.Ejected() {
			ejected++
			if c.FirstAttempt && l.claimEjectedProbe(now) {
				c.Leafs = append(c.buffer[:0], l)
				return true
			}
			continue
		}
		if len(c.Leafs) < maxCandidates {
			c.Leafs = append(c.Leafs, l)
		}
	}
	if len(c.Leafs) > 0 || ejected == 0 {
		return false
	}
	for _, l := range leafs {
		if l.Usable() && !slices.Contains(req.Exclude, l) && len(c.Leafs) < maxCandidates {
			c.Leafs = append(c.Leafs, l)
		}
	}
	return false
}

func (d *Dispatcher) random() uint64 {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	return d.rand.Uint64()
}

func (d *Dispatcher) enqueue(w *waiter) {
	d.mu.Lock()
	d.waiters[w] = struct{}{}
	d.mu.Unlock()
	w.mu.Lock()
	leafs := w.leafs
	w.mu.Unlock()
	w.joinQueues(leafs)
}

func (d *Dispatcher) dequeue(w *waiter) {
	d.mu.Lock()
	delete(d.waiters, w)
	d.mu.Unlock()
	w.mu.Lock()
	leafs := w.leafs
	w.mu.Unlock()
	for _, l := range leafs {
		l.waiting.remove(w)
	}
}

// wake grants the free permits of l to its waiters in order of priority.
func (d *Dispatcher) wake(l *Leaf, now time.Time) {
	if l.waiting.len() == 0 {
		return
	}
	for {
		served := false
		for _, w := range l.waiting.first(wakeBatch) {
			done, blocked := w.tryAcquire(now)
			if blocked {
				// A permit released from now on must not go to a waiter of lower
				// priority.
				break
			}
			if done {
				l.waiting.remove(w)
				served = true
			}
		}
		if !served {
			return
		}
	}
}

// setTimer starts a timer that wakes the waiters of l when a permit may become
// available without a release, for example at the start of a turn.
func (d *Dispatcher) setTimer(l *Leaf) {
	if !l.waiting.claimTimer() {
		return
	}
	clock := d.router.opts.Clock
	timeout, coldTimeout := time.Duration(0), time.Duration(0)
	if first := l.waiting.first(1); len(first) > 0 {
		timeout, coldTimeout = first[0].request.Timeout, first[0].request.ColdTimeout
	}
	now := clock.Now()
	wait := l.Limit.RetryDelay(now, l.permitRequest(timeout, coldTimeout, d.router.views()))
	if left := l.pauseLeft(now.Sub(l.epoch)); left > 0 && left < wait {
		wait = left
	}
	clock.After(wait, func(now time.Time) {
		l.waiting.timerFired()
		d.wake(l, now)
		d.setTimer(l)
	})
}

// onTableChange tries all waiters again, because their replicas may have changed.
func (d *Dispatcher) onTableChange() {
	now := d.router.opts.Clock.Now()
	table := d.router.Table()
	d.mu.Lock()
	list := make([]*waiter, 0, len(d.waiters))
	for w := range d.waiters {
		list = append(list, w)
	}
	d.mu.Unlock()
	slices.SortFunc(list, func(a, b *waiter) int {
		if (waiterHeap{a, b}).Less(0, 1) {
			return -1
		}
		return 1
	})
	for _, w := range list {
		if w.request.Shard != nil {
			w.setLeafs(w.request.Shard.current(table).Replicas)
		}
		w.tryAcquire(now)
	}
}

// setLeafs replaces the replicas that the waiter waits for.
func (w *waiter) setLeafs(leafs []*Leaf) {
	w.mu.Lock()
	if w.done || slices.Equal(w.leafs, leafs) {
		w.mu.Unlock()
		return
	}
	old := w.leafs
	w.leafs = leafs
	w.mu.Unlock()
	for _, l := range old {
		l.waiting.remove(w)
	}
	w.joinQueues(leafs)
}
