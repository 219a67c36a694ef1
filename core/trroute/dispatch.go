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

// wakeWidth is the number of waiters that are tried per released permit. The
// first one may be unable to use the leaf, for example because it excludes it.
const wakeWidth = 4

// ErrNoReplica is the cause of a refusal if no usable replica is left.
var ErrNoReplica = errors.New("no usable replica")

// errNoReplica and the errors below are shared because they carry no state.
var (
	errNoReplica = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: ErrNoReplica}
	errPaused    = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("the leaf has just shed a sub-query")}
	errQueued    = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("other sub-queries wait for the leaf")}
	errSlow      = &trwire.AttemptError{Kind: trwire.AttemptNoCapacity, Err: errors.New("waiting is expected to be faster than the replicas left")}
)

// AcquireRequest describes a sub-query that needs a leaf.
type AcquireRequest struct {
	Shard       *Shard        // the replicas to choose from; followed over table changes
	Leafs       []*Leaf       // the replicas to choose from if Shard is nil
	Exclude     []*Leaf       // replicas tried before; not empty for hedges and retries
	Worth       float64       // higher is served first
	Deadline    time.Time     // end of the wait and of the sub-query
	Timeout     time.Duration // longest time of the sub-query
	ColdTimeout time.Duration // longest time at a cold leaf, 0 for Timeout; must fit into a turn
	NoWait      bool          // refuse instead of waiting for a permit
	// Probe spends one extra sub-query and reports whether there was one. It lets
	// the sub-query probe a slow replica; the grant says so, and the holder sends
	// a second sub-query at once. Nil if the sub-query may not be sent twice.
	Probe func() bool
}

// Outcome is how a granted sub-query ended.
type Outcome struct {
	Latency  time.Duration        // from the grant to the end
	Err      *trwire.AttemptError // nil if a usable reply arrived
	StartID  string               // as carried by the reply, or ""
	Draining bool                 // as carried by the reply
}

// Dispatcher assigns sub-queries to leafs. Create it with NewDispatcher.
type Dispatcher struct {
	router *Router
	hedge  latencies
	seq    atomic.Uint64
	pool   sync.Pool

	randMu sync.Mutex
	rand   *rand.Rand

	mu      sync.Mutex
	waiters map[*waiter]struct{}
}

// NewDispatcher returns a dispatcher over the tables of r.
func NewDispatcher(r *Router) *Dispatcher {
	d := &Dispatcher{
		router:  r,
		rand:    rand.New(rand.NewPCG(r.opts.Seed, 1)),
		waiters: make(map[*waiter]struct{}),
	}
	d.pool.New = func() any { return new(Candidates) }
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRebuild = append(r.onRebuild, d.tableChanged)
	return d
}

// Grant is the right to send one sub-query to Leaf. The holder calls Done exactly
// once; further calls do nothing.
type Grant struct {
	Leaf    *Leaf
	StartID string         // start that the sub-query must name
	Timeout time.Duration  // longest time of the sub-query from the grant on
	Waited  time.Duration  // time spent waiting for the permit
	Probe   bool           // Leaf is slow and probed; Want.Probe has paid for a second sub-query
	Permit  trlimit.Permit // Check is called immediately before the write

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
	l.Limit.Release(now, g.Permit, limitResult(o.Err))
	if o.Err == nil || o.Err.Kind == trwire.AttemptCanceled || o.Err.Kind == trwire.AttemptTimeout {
		d.hedge.record(l.Service, now, o.Latency)
	}
	d.observe(g, o)
	d.wake(l, now)
}

// observe passes what the outcome says about the leaf's state to the router.
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

func limitResult(err *trwire.AttemptError) trlimit.Result {
	if err == nil {
		return trlimit.Succeeded
	}
	switch err.Kind {
	case trwire.AttemptShed, trwire.AttemptTimeout:
		return trlimit.Overloaded
	}
	return trlimit.Neutral
}

// HedgeDelay returns the latency quantile (0 to 1) of the recent sub-queries of a
// service, after which a hedge is worthwhile.
func (d *Dispatcher) HedgeDelay(service string, quantile float64) time.Duration {
	return d.hedge.quantile(service, d.router.opts.Clock.Now(), quantile)
}

// Acquire picks a leaf for w and takes its permit. If no replica has a permit, it
// waits by worth, then by deadline. The refusal's cause is ErrNoReplica if no
// usable replica is left; its kind is NoTurn if only the turns at cold leafs stand
// in the way, Canceled if ctx ended, else NoCapacity.
func (d *Dispatcher) Acquire(ctx context.Context, w AcquireRequest) (*Grant, *trwire.AttemptError) {
	clock := d.router.opts.Clock
	now := clock.Now()
	leafs := w.Leafs
	if w.Shard != nil {
		leafs = w.Shard.Replicas
	}
	grant, refused := d.pick(now, &w, leafs, nil)
	if grant != nil || w.NoWait || refused == errNoReplica || !now.Before(w.Deadline) {
		return grant, refused
	}
	wt := &waiter{d: d, want: w, since: now, seq: d.seq.Add(1), result: make(chan result, 1), leafs: leafs}
	expired := make(chan struct{})
	stop := clock.After(w.Deadline.Sub(now), func(time.Time) { close(expired) })
	defer stop()
	d.enqueue(wt)
	defer d.dequeue(wt)
	// A permit may have been released between the first look and the queueing.
	for _, l := range leafs {
		d.wake(l, clock.Now())
	}
	select {
	case r := <-wt.result:
		return r.grant, r.refused
	case <-expired:
	case <-ctx.Done():
		refused = &trwire.AttemptError{Kind: trwire.AttemptCanceled, Err: ctx.Err()}
	}
	if wt.end() {
		return nil, refused
	}
	r := <-wt.result
	return r.grant, r.refused
}

// pick looks for a permit among leafs without waiting. wt is nil for a sub-query
// that is not queued; it does not overtake queued ones of higher rank.
func (d *Dispatcher) pick(now time.Time, w *AcquireRequest, leafs []*Leaf, wt *waiter) (*Grant, *trwire.AttemptError) {
	waited := time.Duration(0)
	if wt != nil {
		waited = now.Sub(wt.since)
	}
	c := d.pool.Get().(*Candidates)
	defer d.pool.Put(c)
	probing := d.fill(c, now, w, leafs, waited)
	if len(c.Leafs) == 0 {
		return nil, errNoReplica
	}
	timeout := w.Timeout
	if left := w.Deadline.Sub(now); left < timeout || timeout <= 0 {
		timeout = left
	}
	var refused *trwire.AttemptError
	for {
		i := d.router.opts.Picker.Pick(c)
		if i < 0 {
			break
		}
		l := c.Leafs[i]
		permit, err := trlimit.Permit{}, errQueued
		if l.pauseLeft(c.now) > 0 {
			err = errPaused
		} else if wt != nil || !l.waiting.outranks(w) {
			permit, err = l.Limit.TryAcquire(now, l.work(timeout, w.ColdTimeout, d.router.views()))
		}
		if err == nil {
			l.inFlight.Add(1)
			return &Grant{Leaf: l, StartID: permit.StartID, Timeout: permit.Timeout, Waited: waited, Probe: c.probe, Permit: permit, d: d}, nil
		}
		c.close(i)
		if probing {
			probing = d.fill(c, now, w, leafs, waited)
			continue
		}
		if refused == nil || err.Kind == trwire.AttemptNoCapacity {
			refused = err
		}
	}
	if refused == nil {
		refused = errSlow
	}
	return nil, refused
}

// fill collects the candidates: the usable replicas that are not excluded. Ejected
// ones are left out unless nothing else is left; one that is due for a probe is
// the only candidate of a first attempt, and fill returns true.
func (d *Dispatcher) fill(c *Candidates, now time.Time, w *AcquireRequest, leafs []*Leaf, waited time.Duration) (probing bool) {
	c.Zone = d.router.opts.Zone
	c.Rand = d.random()
	c.Waited = waited
	c.FirstAttempt = len(w.Exclude) == 0
	c.Probe = w.Probe
	c.probe = false
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
		if !l.Usable() || slices.Contains(w.Exclude, l) {
			continue
		}
		if l.Ejected() {
			ejected++
			if c.FirstAttempt && l.probe(now) {
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
		if l.Usable() && !slices.Contains(w.Exclude, l) && len(c.Leafs) < maxCandidates {
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
	w.join(leafs)
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

// wake gives the free permits of l to its first waiters.
func (d *Dispatcher) wake(l *Leaf, now time.Time) {
	if l.waiting.len() == 0 {
		return
	}
	for {
		served := false
		for _, w := range l.waiting.first(wakeWidth) {
			done, blocked := w.try(now)
			if blocked {
				// A permit released from here on must not go to a lower rank.
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

// setTimer wakes the waiters of l when its turn or its next rate interval starts.
func (d *Dispatcher) setTimer(l *Leaf) {
	if !l.waiting.setTimer() {
		return
	}
	clock := d.router.opts.Clock
	timeout, coldTimeout := time.Duration(0), time.Duration(0)
	if first := l.waiting.first(1); len(first) > 0 {
		timeout, coldTimeout = first[0].want.Timeout, first[0].want.ColdTimeout
	}
	now := clock.Now()
	wait := l.Limit.RetryDelay(now, l.work(timeout, coldTimeout, d.router.views()))
	if left := l.pauseLeft(now.Sub(l.epoch)); left > 0 && left < wait {
		wait = left
	}
	clock.After(wait, func(now time.Time) {
		l.waiting.timerFired()
		d.wake(l, now)
		d.setTimer(l)
	})
}

// tableChanged looks at all waiters again: their replicas may have changed.
func (d *Dispatcher) tableChanged() {
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
		if w.want.Shard != nil {
			w.follow(w.want.Shard.current(table).Replicas)
		}
		w.try(now)
	}
}

// follow replaces the replicas that the waiter waits for.
func (w *waiter) follow(leafs []*Leaf) {
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
	w.join(leafs)
}
