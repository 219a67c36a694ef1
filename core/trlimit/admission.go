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
	// durationWeight is the weight of a new sample in the moving average of the time
	// that requests are in flight.
	durationWeight = 0.1
	// oldestEvery makes every n-th admission from the queue go to the request that
	// has waited longest, so that a steady stream of higher priority cannot starve
	// it. Under overload this costs about 3% of the requests of higher priority.
	oldestEvery = 32
	// maxWorthEstimates bounds the number of Worth values with an estimate of their
	// own.
	maxWorthEstimates = 64
	// minRetryAfter is the shortest RetryAfterMs of a refusal.
	minRetryAfter = 10 * time.Millisecond
)

// Priority orders the requests that wait for admission: by Worth, then by earliest
// Deadline.
type Priority struct {
	Worth    float64 // configured Worth of the class; higher is admitted first
	Deadline time.Time
}

// AdmissionOptions configure an Admission.
type AdmissionOptions struct {
	Clock       trclock.Clock
	MaxInFlight int // requests in flight, at least 1
	MaxQueued   int // requests waiting for admission
	// OnQueueTime is called with the time that each request waited, including
	// refused ones. It may be nil and is called without locks held.
	OnQueueTime func(p Priority, waited time.Duration, admitted bool)
}

// Admission limits the client requests that are in flight in an instance and
// queues others by priority. Create it with NewAdmission.
type Admission struct {
	opts AdmissionOptions

	mu              sync.Mutex
	inFlight        int
	queue           []*queued // in order of admission
	seq             uint64
	dequeued        uint64                    // requests taken from the queue, including those then refused; for oldestEvery
	meanDuration    time.Duration             // mean time in flight, 0 if unknown
	durationByWorth map[float64]time.Duration // mean time in flight by Worth
}

// queued is a request that waits for admission.
type queued struct {
	Priority
	seq    uint64
	result chan *trwire.Refusal // receives one value: the refusal, or nil if the request is admitted
}

// NewAdmission returns an Admission with nothing in flight.
func NewAdmission(opts AdmissionOptions) *Admission {
	return &Admission{opts: opts, durationByWorth: make(map[float64]time.Duration)}
}

// SetLimits changes the limits. Requests that are in flight or queued are kept.
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
// when the request has ended; only the first call has an effect. A refused request
// must not be run. The refusal is Overloaded with RetryAfterMs if the queue is full
// of requests of higher priority or the estimated wait leaves too little time
// before the deadline, and NotRun if ctx ended.
func (a *Admission) Acquire(ctx context.Context, p Priority) (release func(), refusal *trwire.Refusal) {
	now := a.opts.Clock.Now()
	q, refusal := a.admitOrQueue(now, p)
	if refusal == nil && q != nil {
		refusal = a.wait(ctx, q)
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

// admitOrQueue admits the request, queues it or refuses it. It returns nil, nil for
// an admitted request.
func (a *Admission) admitOrQueue(now time.Time, p Priority) (*queued, *trwire.Refusal) {
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
	if wait := a.estimateWait(at); now.Add(wait + a.durationByWorth[p.Worth]).After(p.Deadline) {
		return nil, a.overloaded(at, "the estimated wait of %v leaves too little time", wait)
	}
	if len(a.queue) >= a.opts.MaxQueued {
		if at >= len(a.queue) {
			return nil, a.overloaded(at, "%d worthier requests are waiting", len(a.queue))
		}
		last := a.queue[len(a.queue)-1]
		a.queue = a.queue[:len(a.queue)-1]
		last.result <- a.overloaded(len(a.queue), "a worthier request took the place in the queue")
	}
	a.queue = slices.Insert(a.queue, at, q)
	return q, nil
}

// compareQueued orders by Worth descending, then by deadline, then by arrival.
func compareQueued(x, y *queued) int {
	return cmp.Or(cmp.Compare(y.Worth, x.Worth), x.Deadline.Compare(y.Deadline), cmp.Compare(x.seq, y.seq))
}

func (a *Admission) limit() int { return max(1, a.opts.MaxInFlight) }

// estimateWait estimates the queue wait of a request with the given number of
// requests ahead of it. Requests leave the queue at a rate of limit / meanDuration.
func (a *Admission) estimateWait(ahead int) time.Duration {
	return time.Duration(ahead+1) * a.meanDuration / time.Duration(a.limit())
}

// overloaded returns a refusal whose RetryAfterMs is the estimated wait behind the
// given number of requests.
func (a *Admission) overloaded(ahead int, format string, args ...any) *trwire.Refusal {
	r := trwire.Refuse(trwire.Overloaded, format, args...)
	r.RetryAfterMs = max(minRetryAfter, a.estimateWait(ahead)).Milliseconds()
	return r
}

// wait returns when q is admitted or refused, its deadline has passed or ctx ends.
func (a *Admission) wait(ctx context.Context, q *queued) *trwire.Refusal {
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
		refusal.RetryAfterMs = max(minRetryAfter, a.estimateWait(i)).Milliseconds()
	}
	a.mu.Unlock()
	if i >= 0 {
		return refusal
	}
	// The request was taken from the queue before it could be withdrawn.
	return <-q.result
}

func (a *Admission) release(p Priority, started time.Time) {
	now := a.opts.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.recordDuration(p.Worth, now.Sub(started))
	a.admitNext(now)
}

func (a *Admission) recordDuration(worth float64, duration time.Duration) {
	a.meanDuration = ewma(a.meanDuration, duration)
	if _, ok := a.durationByWorth[worth]; ok || len(a.durationByWorth) < maxWorthEstimates {
		a.durationByWorth[worth] = ewma(a.durationByWorth[worth], duration)
	}
}

// ewma returns the exponentially weighted moving average after a new sample.
func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(durationWeight*float64(sample-old))
}

// admitNext admits requests from the queue while there is room. It refuses a request
// whose time left is less than half the mean duration of its Worth, because it would
// only take the place of one that can still finish in time.
func (a *Admission) admitNext(now time.Time) {
	for a.inFlight < a.limit() && len(a.queue) > 0 {
		a.dequeued++
		i := 0
		if a.dequeued%oldestEvery == 0 {
			i = a.oldest()
		}
		q := a.queue[i]
		a.queue = slices.Delete(a.queue, i, i+1)
		if now.Add(a.durationByWorth[q.Worth] / 2).After(q.Deadline) {
			q.result <- a.overloaded(0, "too little time is left after the wait")
			continue
		}
		a.inFlight++
		q.result <- nil
	}
}

// oldest returns the position of the request that has waited longest.
func (a *Admission) oldest() int {
	best := 0
	for i, q := range a.queue {
		if q.seq < a.queue[best].seq {
			best = i
		}
	}
	return best
}
