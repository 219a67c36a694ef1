package trroute

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// Guards against probes that take a share of the load: 51 slow leafs probed by
// nine senders every 2 s took 14% of a small deployment's sub-queries.
func TestProbesOfSlowReplicasBecomeRare(t *testing.T) {
	for _, paid := range []bool{true, false} {
		b := newBench(nil)
		b.add("l0", "a", hold(1, 0, 1))
		b.add("l1", "a", hold(1, 0, 1))
		slowLeaf := b.router.Leaf("l1")
		spent, toSlow := 0, 0
		const queries = 600 // 0.5 s apart: 5 min
		for range queries {
			w := b.want()
			if paid {
				w.Probe = func() bool { spent++; return true }
			}
			g := b.mustAcquire(t, w)
			lat := 10 * time.Millisecond
			if g.Leaf == slowLeaf {
				toSlow++
				lat *= 10
			}
			assert.Equal(t, g.Probe, paid && g.Leaf == slowLeaf && spent > 0)
			b.clock.Advance(lat)
			g.Done(Outcome{Latency: lat, StartID: "s1"})
			b.clock.Advance(500*time.Millisecond - lat)
		}
		assert.Assert(t, toSlow >= 4 && toSlow <= 12, "%d of %d", toSlow, queries)
	}
}

// Guards against a leaf that has just shed getting the next sub-query at once,
// and against a sub-query that is lost while all replicas pause.
func TestPauseAfterShed(t *testing.T) {
	b := newBench(nil)
	b.add("l0", "a", hold(1, 0, 1))
	b.add("l1", "a", hold(1, 0, 1))
	const latency = 40 * time.Millisecond
	for range 20 {
		g := b.mustAcquire(t, b.want())
		b.clock.Advance(latency)
		g.Done(Outcome{Latency: latency, StartID: "s1"})
	}
	shed := Outcome{Err: &trwire.AttemptError{Kind: trwire.AttemptShed}}
	first := b.mustAcquire(t, b.want())
	first.Done(shed)
	second := b.mustAcquire(t, b.want())
	assert.Assert(t, second.Leaf != first.Leaf)
	second.Done(shed)
	w := b.want()
	w.NoWait = true
	_, refused := b.d.Acquire(context.Background(), w)
	assert.Equal(t, refused.Kind, trwire.AttemptNoCapacity)
	b.clock.Advance(latency)
	b.mustAcquire(t, w).Done(Outcome{Latency: latency, StartID: "s1"})
}
