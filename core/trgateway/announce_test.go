package trgateway_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// Guards against a mark that is cleared by anything but a new process, or that is kept
// for good.
func TestLeavingSetForgetsOnlyNewOrLongGoneProcesses(t *testing.T) {
	var set trgateway.LeavingSet
	now := time.Unix(0, 0)
	old := trdirectory.UpstreamKey{ID: "u", BornMs: 1}
	unborn := trdirectory.UpstreamKey{ID: "v"}
	registered := func(trdirectory.UpstreamKey) bool { return true }
	gone := func(trdirectory.UpstreamKey) bool { return false }
	assert.Assert(t, set.Add(old, now))
	assert.Assert(t, !set.Add(old, now))
	assert.Assert(t, set.Add(unborn, now))
	assert.Assert(t, !set.Contains(trdirectory.UpstreamKey{ID: "u", BornMs: 2}))
	set.Prune(registered, now.Add(time.Hour))
	assert.Assert(t, set.Contains(old) && set.Contains(unborn))
	set.Prune(gone, now.Add(time.Hour+time.Minute))
	assert.Assert(t, set.Contains(old), "the registration of a leaving process may return")
	assert.Assert(t, !set.Contains(unborn))
	set.Prune(gone, now.Add(2*time.Hour))
	assert.Equal(t, set.Len(), 0)
}

// Guards against pauses that end early, that a later shorter one cuts, that have no
// bound, and that end for all instances at once.
func TestPausesKeepTheLatestEnd(t *testing.T) {
	var p trgateway.Pauses
	now := time.Unix(0, 0)
	key := trdirectory.UpstreamKey{ID: "u", BornMs: 1}
	assert.Equal(t, p.Add(key, 2*time.Second, 0, now), now.Add(2*time.Second))
	assert.Equal(t, p.Add(key, time.Second, 0, now), now.Add(2*time.Second))
	assert.Equal(t, p.Until(key, now.Add(1999*time.Millisecond)), now.Add(2*time.Second))
	assert.Assert(t, p.Until(key, now.Add(2*time.Second)).IsZero())
	assert.Assert(t, p.Until(trdirectory.UpstreamKey{ID: "u", BornMs: 2}, now).IsZero())
	p.Prune(now.Add(2 * time.Second))
	assert.Equal(t, p.Len(), 0)
	assert.Equal(t, p.Add(key, time.Hour, 0, now), now.Add(trgateway.MaxPause))
	var ends [2]time.Time
	for i, spread := range []float64{0.1, 0.9} {
		ends[i] = p.Add(trdirectory.UpstreamKey{ID: "w", BornMs: int64(i)}, 2*time.Second, spread, now)
		assert.Assert(t, !ends[i].Before(now.Add(2*time.Second)))
	}
	assert.Assert(t, ends[1].Sub(ends[0]) >= 300*time.Millisecond)
}

// Guards against new requests, retries and hedges at an upstream that has announced
// that it is leaving while the directory still lists it, and against a later reply
// without the announcement that brings it back.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var leaving atomic.Bool
		d := directory(1)
		f := newFixture(d, func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			out := after(ctx, 20*time.Millisecond, ok("x"))
			if up.ID == "orders/a" && up.BornMs == 1 {
				out.Leaving = leaving.Load()
			}
			return out
		})
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, f.get("/order/1").Status == 200) })
		time.Sleep(10 * time.Millisecond)
		leaving.Store(true)
		wg.Go(func() { assert.Check(t, f.get("/order/2").Status == 200) })
		time.Sleep(5 * time.Millisecond)
		wg.Wait()
		leaving.Store(false)
		sent := f.sender.count("orders/a")
		assert.Assert(t, sent > 0)
		for range 50 {
			assert.Equal(t, f.get("/order/3").Status, 200)
			assert.Equal(t, f.get("/status/3").Status, 200)
		}
		assert.Equal(t, f.sender.count("orders/a"), sent)
		assert.Assert(t, !f.TakesRequests(trdirectory.UpstreamKey{ID: "orders/a", BornMs: 1}))

		next := *d
		next.Revision++
		next.Upstreams = append([]trdirectory.Upstream(nil), d.Upstreams...)
		for i := range next.Upstreams {
			if next.Upstreams[i].ID == "orders/a" {
				next.Upstreams[i].BornMs = 2
			}
		}
		assert.Assert(t, f.cache.Adopt(&next))
		f.Tracker().Retain(f.cache.Table().Known, time.Now())
		for range 50 {
			assert.Equal(t, f.get("/order/4").Status, 200)
		}
		assert.Assert(t, f.sender.count("orders/a") > sent, "a new process gets requests")
	})
}

// Guards against requests that wait for their deadline when every upstream of their
// service is leaving.
func TestServiceWhoseUpstreamsAllLeaveIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(1), func(context.Context, *trdirectory.Upstream) trgateway.Outcome {
			out := ok("x")
			out.Leaving = true
			return out
		})
		for range 2 {
			assert.Equal(t, f.get("/order/1").Status, 200)
		}
		began := time.Now()
		resp := f.get("/order/1")
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, f.sender.total(), 2)
	})
}

// pausing returns a refusal that asks for a pause.
func pausing(d time.Duration) trgateway.Outcome {
	out := unanswered(trgateway.NotRun)
	out.Pause = d
	return out
}

// Guards against requests to an upstream that has asked for a pause, and against an
// upstream that stays unused after it.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const pause = 2 * time.Second
		var refusedAt time.Time
		f := newFixture(directory(1), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.ID != "orders/a" {
				return after(ctx, 20*time.Millisecond, ok("x"))
			}
			if refusedAt.IsZero() {
				refusedAt = time.Now()
				return pausing(pause)
			}
			if early := pause - time.Since(refusedAt); early > 0 {
				t.Errorf("a request arrived %v before the end of the pause", early)
			}
			return after(ctx, 20*time.Millisecond, ok("x"))
		})
		for range 300 {
			assert.Equal(t, f.get("/order/1").Status, 200)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, f.sender.count("orders/a") > 10, "the upstream is used again after the pause")
	})
}

// Guards against requests that wait at the instance although no upstream takes them in
// time, against refusals with a time at which none does yet, and against the refusal of
// a request that can wait for the end of the pause.
func TestRequestsOfPausedServiceAreRefusedWithTrueTime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		pause := 10 * time.Second
		f := newFixture(directory(1), func(_ context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if pause == 0 {
				return ok("x")
			}
			return pausing(pause)
		})
		first := time.Now()
		resp := f.get("/order/1") // both upstreams ask for a pause
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(first) < 50*time.Millisecond)
		assert.Equal(t, f.sender.total(), 2)
		assert.Assert(t, resp.RetryAfter >= pause-time.Since(first) && resp.RetryAfter <= pause+time.Second, "%v", resp.RetryAfter)
		time.Sleep(time.Second)
		began := time.Now()
		resp = f.get("/order/2")
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, f.sender.total(), 2)
		assert.Assert(t, resp.RetryAfter >= pause-time.Since(first) && resp.RetryAfter <= pause, "%v", resp.RetryAfter)

		wasPaused := pause
		pause = 0
		time.Sleep(wasPaused - time.Since(first) - time.Second) // the order has 4 s
		resp = f.get("/order/3")
		assert.Equal(t, resp.Status, 200)
		assert.Assert(t, time.Since(first) >= wasPaused)
	})
}

// Guards against merged responses that wait for a shard whose upstreams resume only
// after the objective, although the response does not need it.
func TestMergedResponseDoesNotWaitForPausedShard(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(4), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.Service == "s0" {
				return pausing(3 * objective) // ends before the timeout
			}
			return after(ctx, 10*time.Millisecond, ok(up.Service+"-record-16byte"))
		})
		for range 2 {
			began := time.Now()
			resp := f.get("/search/x")
			assert.Equal(t, resp.Status, 200)
			assert.Equal(t, resp.Missing, 1)
			assert.Assert(t, time.Since(began) < objective/2, "answered after %v", time.Since(began))
		}
		assert.Assert(t, f.sender.count("s0/a")+f.sender.count("s0/b") <= 2)
	})
}

// Guards against work for a merged response that is known to lack too many shards.
func TestQueryWithTooManyPausedShardsIsNotSent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(4), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.Service < "s2" {
				return pausing(5 * time.Second)
			}
			return after(ctx, 10*time.Millisecond, ok(up.Service+"-record-16byte"))
		})
		f.get("/search/x")
		time.Sleep(time.Second)
		sent := f.sender.total()
		began := time.Now()
		resp := f.get("/search/x")
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, f.sender.total(), sent)
		assert.Assert(t, resp.RetryAfter > 3*time.Second && resp.RetryAfter < 5*time.Second, "%v", resp.RetryAfter)
	})
}
