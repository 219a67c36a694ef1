package trgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// Guards against keeping callers at an instance that cannot serve them because
// its zone is partitioned, even if it has no requests that would show it or has
// just started, and against isolation because of the loss of single shards.
func TestIsolation(t *testing.T) {
	for _, tc := range []struct {
		name string
		busy bool // requests are sent during the partition
	}{{"busy", true}, {"idle", false}} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) { testIsolation(t, tc.busy) })
		})
	}
}

func testIsolation(t *testing.T, busy bool) {
	d := directory(8)
	d.Upstreams = d.Upstreams[:0:0]
	for i := range 8 {
		id, zone := fmt.Sprintf("s%d", i), "a"
		if i >= 4 {
			zone = "b"
		}
		d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: id, Service: id, Zone: zone, Addr: id, Slots: 2, BornMs: 1})
	}
	var partitioned atomic.Bool
	// s7 does not answer from the start: the loss of a single shard is not isolation.
	f := newFixture(d, func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
		if up.Zone == "b" && (partitioned.Load() || up.ID == "s7") {
			return after(ctx, time.Hour, ok(""))
		}
		return after(ctx, time.Millisecond, ok("x"))
	})
	f.sender.probe = func(ctx context.Context, up *trdirectory.Upstream) error {
		if up.Zone != "b" || !partitioned.Load() && up.ID != "s7" {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
	assert.Assert(t, !f.ReachabilityKnown())
	defer f.StartProbes()()
	step := func(times int) {
		for range times {
			if busy {
				f.get("/search/x")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	step(40)
	assert.Assert(t, f.ReachabilityKnown() && !f.Isolated())
	partitioned.Store(true)
	if busy {
		step(2) // each takes until the timeout of the route
	} else {
		step(30)
	}
	assert.Assert(t, f.Isolated())
	// An isolated instance refuses requests at once. The retry time is the time until
	// load balancers have moved the callers away, so it is 0 after failoverTime.
	began := time.Now()
	resp := f.get("/search/x")
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	assert.Equal(t, time.Since(began), time.Duration(0))
	assert.Assert(t, resp.RetryAfter > 0 && resp.RetryAfter <= failoverTime)
	time.Sleep(failoverTime)
	assert.Equal(t, f.get("/search/x").RetryAfter, time.Duration(0))
	partitioned.Store(false)
	time.Sleep(time.Second)
	assert.Assert(t, !f.Isolated())
}

// Guards against probes of zones that get no requests: those of 63 idle instances
// made up half of all connections to upstreams.
func TestPeerExchangesReplaceIdleProbes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(1), nil)
		var probes atomic.Int64
		f.sender.probe = func(context.Context, *trdirectory.Upstream) error {
			probes.Add(1)
			return nil
		}
		defer f.StartProbes()()
		time.Sleep(time.Second)
		atStart := probes.Load()
		assert.Assert(t, atStart > 0 && f.ReachabilityKnown())
		for range 20 {
			for _, zone := range []string{"a", "b"} {
				f.Tracker().RecordPeerExchange(zone, true, time.Now())
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, probes.Load(), atStart)
		f.Tracker().RecordPeerExchange("b", false, time.Now())
		time.Sleep(time.Second)
		assert.Assert(t, probes.Load() > atStart)
	})
}
