package trroute

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// Guards against probes of slow replicas at a constant interval, which use a large
// part of the sub-queries of a small deployment: 14% if nine senders probe 51 slow
// leafs every 2 s.
func TestProbesOfSlowReplicasBecomeRare(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		f := newFixture(nil)
		f.add("l0", "a", holding(1, 0, 1))
		f.add("l1", "a", holding(1, 0, 1))
		slowLeaf := f.router.Leaf("l1")
		spent, toSlow := 0, 0
		const queries = 600 // 0.5 s apart: 5 min
		for range queries {
			req := f.request()
			if allowed {
				req.SpendProbe = func() bool { spent++; return true }
			}
			g := f.mustAcquire(t, req)
			lat := 10 * time.Millisecond
			if g.Leaf == slowLeaf {
				toSlow++
				lat *= 10
			}
			assert.Equal(t, g.Probe, allowed && g.Leaf == slowLeaf && spent > 0)
			f.clock.Advance(lat)
			g.Done(Outcome{Latency: lat, StartID: "s1"})
			f.clock.Advance(500*time.Millisecond - lat)
		}
		assert.Assert(t, toSlow >= 4 && toSlow <= 12, "%d of %d sub-queries to the slow leaf", toSlow, queries)
	}
}

// Guards against sending the next sub-query to a leaf that has just shed one, and
// against refusing sub-queries for longer than the pause if all replicas are paused.
func TestPauseAfterShed(t *testing.T) {
	f := newFixture(nil)
	f.add("l0", "a", holding(1, 0, 1))
	f.add("l1", "a", holding(1, 0, 1))
	const latency = 40 * time.Millisecond
	for range 20 {
		g := f.mustAcquire(t, f.request())
		f.clock.Advance(latency)
		g.Done(Outcome{Latency: latency, StartID: "s1"})
	}
	shed := Outcome{Err: &trwire.AttemptError{Kind: trwire.AttemptShed}}
	first := f.mustAcquire(t, f.request())
	first.Done(shed)
	second := f.mustAcquire(t, f.request())
	assert.Assert(t, second.Leaf != first.Leaf)
	second.Done(shed)
	req := f.request()
	req.NoWait = true
	_, refused := f.d.Acquire(context.Background(), req)
	assert.Equal(t, refused.Kind, trwire.AttemptNoCapacity)
	f.clock.Advance(latency)
	f.mustAcquire(t, req).Done(Outcome{Latency: latency, StartID: "s1"})
}

// Guards against a replica that gets no sub-queries for a minute after one slow reply.
func TestOneSlowReplyDoesNotExcludeReplica(t *testing.T) {
	f := newFixture(nil)
	f.add("l0", "a", holding(1, 0, 1))
	f.add("l1", "a", holding(1, 0, 1))
	const queries = 3000 // 10 ms apart: 30 s
	received := map[string]int{}
	for range queries {
		g := f.mustAcquire(t, f.request())
		lat := 2 * time.Millisecond
		if received[g.Leaf.ID]++; g.Leaf.ID == "l1" && received["l1"] == 1 {
			lat = 50 * time.Millisecond
		}
		f.clock.Advance(lat)
		g.Done(Outcome{Latency: lat, StartID: "s1"})
		f.clock.Advance(10 * time.Millisecond)
	}
	assert.Assert(t, received["l1"] >= queries/4, "%v", received)
}
