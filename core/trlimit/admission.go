package trlimit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

const (
	// holdWeight is the weight of one sample in the estimate of the time a request
	// is in flight.
	holdWeight = 0.1
	// oldestEvery makes every n-th admission from the queue go to the request that
	// has waited longest, so that a steady stream of worthier ones cannot starve
	// it. Under overload this costs about 3% of the worthier requests.
	oldestEvery = 32
	// maxWorths bounds the number of worth values with an estimate of their own.
	maxWorths     = 64
	minRetryAfter = 10 * time.Millisecond
)

// Priority orders requests that wait for admission.
type Priority struct {
	Worth    float64 // higher is admitted first
	Deadline time.Time
}

// AdmissionOptions configure an Admission.
type AdmissionOptions struct {
	Clock       trclock.Clock
	MaxInFlight int // requests admitted at once, at least 1
	MaxQueued   int // requests that wait for admission
	// OnQueueTime receives the time that each request waited, also if it was
	// refused. It may be nil and is called without locks held.
	OnQueueTime func(p Priority, waited time.Duration, admitted bool)
}

// Admission limits the whole requests that run at once in an instance. Waiting
// requests are admitted by worth, then by earliest deadline. Create it with
// NewAdmission.
type Admission struct {
	opts AdmissionOptions

	mu       sync.Mutex
	inFlight int
	queue    []*queued // in order of admission
	seq      uint64
	admitted uint64                    // from the queue
	hold     time.Duration             // estimated time in flight, 0 if unknown
	holds    map[float64]time.Duration // the same by worth
}

type queued struct {
	Priority
	seq    uint64
	result chan *trwire.Refusal // receives once; nil admits
}

// NewAdmission returns an Admission with nothing in flight.
func NewAdmission(opts AdmissionOptions) *Admission {
	return &Admission{opts: opts, holds: make(map[float64]time.Duration)}
}

// SetLimits changes the limits. Requests that are in flight or queued stay.
func (a *Admission) SetLimits(maxInFlight, maxQueued int) {
	now := a.opts.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opts.MaxInFlight = maxInFlight
	a.opts.MaxQueued = maxQueued
	a.admitNext(now)
}

// Load returns the number of requests in flight and queued.
func (a *Admission) Load() (inFlight, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight, len(a.queue)
}

// Acquire waits until a request of priority p may run. release must be called
// once when the request has ended; further calls do nothing. A refusal promises
// that the request was not run: Overloaded with RetryAfterMs if the queue is full
// of worthier requests or the time left is shorter than the estimated wait,
// NotRun if ctx ended.
func (a *Admission) Acquire(ctx context.Context, p Priority) (release func(), refusal *trwire.Refusal) {
	now := a.opts.Clock.Now()
	q, refusal := a.enter(now, p)
	if refusal == nil && q != nil {
		refusal = a.await(ctx, q)
	}
	if a.opts.OnQueueTime != nil {
		a.opts.OnQueueTime(p, a.opts.Clock.Now().Sub(now), refusal == nil)
	}
	if refusal != nil {
		return nil, refusal
	}
	started := a.opts.Clock.Now()
	var once sync.Once
	return func() { once.Do(func() { a.release(p, started) }) }, nil
}

// enter admits the request (nil, nil), queues it or refuses it.
func (a *Admission) enter(now time.Time, p Priority) (*queued, *trwire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(p.Deadline) {
		return nil, trwire.Refuse(trwire.Overloaded, "no time is left")
	}
	if a.inFlight < a.limit() && len(a.queue) == 0 {
		a.inFlight++
		return nil, nil
	}
	a.seq++
	q := &queued{Priority: p, seq: a.seq, result: make(chan *trwire.Refusal, 1)}
	at, _ := slices.BinarySearchFunc(a.queue, q, compareQueued)
	if wait := a.waitAt(at); now.Add(wait + a.holds[p.Worth]).After(p.Deadline) {
		return nil, a.overloaded(at, "the estimated wait of %v leaves too little time", wait)
	}
	if len(a.queue) >= a.opts.MaxQueued {
		if at >= len(a.queue) {
			return nil, a.overloaded(at, "%d worthier requests are waiting", len(a.queue))
		}
		least := a.queue[len(a.queue)-1]
		a.queue = a.queue[:len(a.queue)-1]
		least.result <- a.overloaded(len(a.queue), "a worthier request took the place in the queue")
	}
	a.queue = slices.Insert(a.queue, at, q)
	return q, nil
}

// compareQueued orders by worth descending, then by deadline, then by arrival.
func compareQueued(x, y *queued) int {
	return cmp.Or(cmp.Compare(y.Worth, x.Worth), x.Deadline.Compare(y.Deadline), cmp.Compare(x.seq, y.seq))
}

func (a *Admission) limit() int { return max(1, a.opts.MaxInFlight) }

// waitAt estimates the wait of a request with ahead requests before it in the
// queue. Requests leave at the rate limit / hold.
func (a *Admission) waitAt(ahead int) time.Duration {
	return time.Duration(ahead+1) * a.hold / time.Duration(a.limit())
}

func (a *Admission) overloaded(ahead int, format string, args ...any) *trwire.Refusal {
	r := trwire.Refuse(trwire.Overloaded, format, args...)
	r.RetryAfterMs = max(minRetryAfter, a.waitAt(ahead)).Milliseconds()
	return r
}

// await waits until q is admitted, refused, late or canceled.
func (a *Admission) await(ctx context.Context, q *queued) *trwire.Refusal {
	expired := make(chan struct{})
	stop := a.opts.Clock.After(q.Deadline.Sub(a.opts.Clock.Now()), func(time.Time) { close(expired) })
	defer stop()
	var refusal *trwire.Refusal
	select {
	case refusal = <-q.result:
		return refusal
	case <-expired:
		refusal = trwire.Refuse(trwire.Overloaded, "the deadline passed in the queue")
	case <-ctx.Done():
		refusal = trwire.Refuse(trwire.NotRun, "canceled in the queue: %v", ctx.Err())
	}
	a.mu.Lock()
	i := slices.Index(a.queue, q)
	if i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		refusal.RetryAfterMs = max(minRetryAfter, a.waitAt(i)).Milliseconds()
	}
	a.mu.Unlock()
	if i >= 0 {
		return refusal
	}
	// The request left the queue before it could be withdrawn.
	return <-q.result
}

func (a *Admission) release(p Priority, started time.Time) {
	now := a.opts.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.measure(p.Worth, now.Sub(started))
	a.admitNext(now)
}

func (a *Admission) measure(worth float64, hold time.Duration) {
	a.hold = average(a.hold, hold)
	if _, ok := a.holds[worth]; ok || len(a.holds) < maxWorths {
		a.holds[worth] = average(a.holds[worth], hold)
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(holdWeight*float64(sample-old))
}

// admitNext fills the free places from the queue. A request whose time left is
// shorter than its class needs is refused instead, since it would only take the
// place of one that can still succeed.
func (a *Admission) admitNext(now time.Time) {
	for a.inFlight < a.limit() && len(a.queue) > 0 {
		a.admitted++
		i := 0
		if a.admitted%oldestEvery == 0 {
			i = a.oldest()
		}
		q := a.queue[i]
		a.queue = slices.Delete(a.queue, i, i+1)
		if now.Add(a.holds[q.Worth] / 2).After(q.Deadline) {
			q.result <- a.overloaded(0, "too little time is left after the wait")
			continue
		}
		a.inFlight++
		q.result <- nil
	}
}

func (a *Admission) oldest() int {
	best := 0
	for i, q := range a.queue {
		if q.seq < a.queue[best].seq {
			best = i
		}
	}
	return best
}
