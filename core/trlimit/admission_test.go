package trlimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

func newAdmission(inFlight, queued int) (*Admission, *trclock.Manual) {
	clock := trclock.NewManual(origin)
	return NewAdmission(AdmissionOptions{Clock: clock, MaxInFlight: inFlight, MaxQueued: queued}), clock
}

// state returns "waiting", "admitted" or the kind of the refusal of q.
func state(q *queued) string {
	select {
	case refusal := <-q.result:
		if refusal == nil {
			return "admitted"
		}
		return string(refusal.Kind)
	default:
		return "waiting"
	}
}

func priority(worth float64, left time.Duration) Priority {
	return Priority{Worth: worth, Deadline: origin.Add(left)}
}

// Guards against a wrong order of admission and the eviction of a request that does
// not have the lowest priority.
func TestAdmissionOrderAndEviction(t *testing.T) {
	a, _ := newAdmission(1, 3)
	first, refusal := a.admitOrQueue(origin, priority(1, time.Minute))
	assert.Assert(t, first == nil && refusal == nil)
	enter := func(worth float64, left time.Duration) *queued {
		q, refusal := a.admitOrQueue(origin, priority(worth, left))
		assert.Assert(t, refusal == nil)
		return q
	}
	low := enter(1, time.Minute)
	late := enter(2, 50*time.Second)
	soon := enter(2, 40*time.Second)
	_, refusal = a.admitOrQueue(origin, priority(1, 2*time.Minute))
	assert.Equal(t, refusal.Kind, trwire.Overloaded)
	assert.Assert(t, refusal.RetryAfterMs > 0)
	high := enter(3, time.Minute)
	assert.Equal(t, state(low), "Overloaded")
	for _, next := range []*queued{high, soon, late} {
		assert.Equal(t, state(next), "waiting")
		a.release(priority(1, time.Minute), origin)
		assert.Equal(t, state(next), "admitted")
	}
}

// Guards against queueing a request that cannot finish before its deadline.
func TestAdmissionRefusesEarly(t *testing.T) {
	a, clock := newAdmission(2, 100)
	for range 2 {
		a.inFlight++
	}
	clock.Advance(100 * time.Millisecond)
	a.release(priority(1, 0), origin)
	a.inFlight++
	now := clock.Now()
	long := Priority{1, now.Add(10 * time.Second)}
	for range 9 {
		_, refusal := a.admitOrQueue(now, long)
		assert.Assert(t, refusal == nil)
	}
	// The n-th request in the queue waits n * 100 ms / 2. A request of Worth 1 takes
	// 100 ms. No duration is known yet for Worth 0.5, so only its wait counts.
	_, refusal := a.admitOrQueue(now, Priority{1, now.Add(599 * time.Millisecond)})
	assert.Assert(t, refusal == nil, "a request with an earlier deadline was not placed first")
	_, refusal = a.admitOrQueue(now, Priority{0.5, now.Add(540 * time.Millisecond)})
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Kind, trwire.Overloaded)
	assert.Equal(t, refusal.RetryAfterMs, int64(550))
	_, refusal = a.admitOrQueue(now, Priority{0.5, now.Add(560 * time.Millisecond)})
	assert.Assert(t, refusal == nil)
}

// Guards against a request of low Worth being starved by a steady stream of requests
// of higher Worth.
func TestLowWorthIsNotStarved(t *testing.T) {
	a, _ := newAdmission(1, 10)
	a.inFlight = 1
	low, _ := a.admitOrQueue(origin, priority(1, time.Hour))
	admitted := 0
	for state(low) == "waiting" {
		assert.Assert(t, admitted < 2*oldestEvery)
		q, refusal := a.admitOrQueue(origin, priority(5, time.Hour))
		assert.Assert(t, q != nil && refusal == nil)
		a.release(priority(5, time.Hour), origin)
		admitted++
	}
}

// Guards against leaked slots and too many admissions when requests are canceled and
// released concurrently.
func TestAdmissionConcurrent(t *testing.T) {
	a, clock := newAdmission(4, 8)
	var running, most int
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if rng.IntN(3) == 0 {
					cancel()
				}
				release, refusal := a.Acquire(ctx, Priority{float64(rng.IntN(3)), clock.Now().Add(time.Hour)})
				if refusal == nil {
					mu.Lock()
					running++
					most = max(most, running)
					mu.Unlock()
					mu.Lock()
					running--
					mu.Unlock()
					release()
					release()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	inFlight, waiting := a.Load()
	assert.Equal(t, inFlight, 0)
	assert.Equal(t, waiting, 0)
	assert.Assert(t, most <= 4)
}

// Guards against an unbounded number of retries and hedges when every attempt fails.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.1} {
		b := Budget{Share: share, Burst: 5}
		var spent int
		for range 10_000 {
			b.Earn(1)
			for b.Spend() {
				spent++
			}
		}
		most := 5 + int(share*10_000)
		assert.Assert(t, spent <= most && spent >= most-1, "%d of %d", spent, most)
	}
	var zero Budget
	assert.Assert(t, !zero.Spend())
}
