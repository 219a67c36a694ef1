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

// Guards against callers who stay with an instance that its zone's partition
// keeps from serving, also if it has no requests that would show it or has just
// started, and against leaving for the loss of single shards.
func TestIsolation(t *testing.T) {
	for _, tc := range []struct {
		name string
		busy bool // requests come during the cut
	}{{"busy", true}, {"idle", false}} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) { playIsolation(t, tc.busy) })
		})
	}
}

func playIsolation(t *testing.T, busy bool) {
	d := directory(8)
	d.Upstreams = d.Upstreams[:0:0]
	for i := range 8 {
		id, zone := fmt.Sprintf("s%d", i), "a"
		if i >= 4 {
			zone = "b"
		}
		d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: id, Service: id, Zone: zone, Addr: id, Slots: 2, BornMs: 1})
	}
	var cut atomic.Bool
	f := newFixture(d, func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
		if up.Zone == "b" && (cut.Load() || up.ID == "s7") {
			return after(ctx, time.Hour, ok(""))
		}
		return after(ctx, time.Millisecond, ok("x"))
	})
	f.sender.probe = func(ctx context.Context, up *trdirectory.Upstream) error {
		if up.Zone != "b" || !cut.Load() && up.ID != "s7" {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
	assert.Assert(t, !f.ReachabilityKnown())
	defer f.StartProbes()()
	play := func(times int) {
		for range times {
			if busy {
				f.get("/search/x")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	play(40)
	assert.Assert(t, f.ReachabilityKnown() && !f.Isolated())
	cut.Store(true)
	if busy {
		play(2) // each takes until the timeout of the route
	} else {
		play(30)
	}
	assert.Assert(t, f.Isolated())
	began := time.Now()
	resp := f.get("/search/x")
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	assert.Equal(t, time.Since(began), time.Duration(0))
	assert.Assert(t, resp.RetryAfter > 0 && resp.RetryAfter <= leaveTime)
	time.Sleep(leaveTime)
	assert.Equal(t, f.get("/search/x").RetryAfter, time.Duration(0))
	cut.Store(false)
	time.Sleep(time.Second)
	assert.Assert(t, !f.Isolated())
}

// Guards against probes of zones that no request goes to: 63 idle instances opened
// half of all connections to upstreams for them.
func TestIdleInstanceThatHearsOfZonesSendsNoProbes(t *testing.T) {
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
