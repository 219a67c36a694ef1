package trroute

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trlimit"
	"tanagerrock/core/trwire"
)

// Guards against choosing an incomplete or too old version, or mixing two shard
// counts, while leafs change to a new version.
func TestChooseDuringVersionChange(t *testing.T) {
	f := newFixture(nil)
	f.add("l1", "a", holding(1, 0, 2), holding(1, 1, 2))
	f.add("l2", "b", holding(1, 0, 2), holding(1, 1, 2))
	check := func(minVersion, version uint64, whole bool) {
		t.Helper()
		snap, complete := f.router.Table().Service("svc").Choose(minVersion)
		assert.Assert(t, snap != nil)
		assert.Equal(t, snap.Version, version)
		assert.Equal(t, complete, whole)
	}
	check(0, 1, true)
	f.hello("l1", "s1", holding(1, 0, 2), holding(1, 1, 2), holding(2, 0, 3))
	check(0, 1, true)
	check(2, 2, false)
	f.hello("l2", "s1", holding(2, 1, 3), holding(2, 2, 3))
	check(0, 2, true)
	snap, _ := f.router.Table().Service("svc").Choose(3)
	assert.Assert(t, snap == nil)
	snap, _ = f.router.Table().Service("unknown").Choose(0)
	assert.Assert(t, snap == nil)
}

// Guards against a released permit not reaching a waiter, or reaching one of lower
// Worth.
func TestWaitersAreServedByWorth(t *testing.T) {
	f := newFixture(nil)
	leaf := f.add("l1", "a", holding(1, 0, 1))
	var held []*Grant
	for {
		g, refused := f.d.Acquire(context.Background(), f.request())
		if refused != nil {
			assert.Equal(t, refused.Kind, trwire.AttemptNoCapacity)
			break
		}
		held = append(held, g)
	}
	assert.Equal(t, len(held), 4)
	served := make(chan float64)
	grants := make(chan *Grant)
	for i, worth := range []float64{1, 3, 2} {
		req := f.request()
		req.NoWait, req.Worth = false, worth
		go func() {
			g, refused := f.d.Acquire(context.Background(), req)
			if refused != nil {
				served <- 0
				return
			}
			served <- worth
			grants <- g
		}()
		waitFor(func() bool { return leaf.waiting.len() == i+1 })
	}
	g := held[0]
	for _, worth := range []float64{3, 2} {
		g.Done(Outcome{Latency: time.Millisecond})
		assert.Equal(t, <-served, worth)
		g = <-grants
	}
	f.clock.Advance(time.Second)
	assert.Equal(t, <-served, 0.0)
	waitFor(func() bool { return leaf.waiting.len() == 0 })
}

// waitFor yields the processor until f returns true.
func waitFor(f func() bool) {
	for !f() {
		runtime.Gosched()
	}
}

// Guards against a slow replica getting its full share of first attempts, and against
// it never being tried again after it recovers.
func TestSlowReplicaIsAvoidedAndProbed(t *testing.T) {
	for _, replicas := range []int{2, 12} {
		t.Run(fmt.Sprint("replicas", replicas), func(t *testing.T) {
			f := newFixture(nil)
			for i := range replicas {
				f.add(fmt.Sprint("l", i), "a", holding(1, 0, 1))
			}
			slowLeaf := f.router.Leaf("l1")
			run := func(n int, slow bool) (toSlow int) {
				for range n {
					req := f.request()
					req.SpendProbe = func() bool { return true }
					g := f.mustAcquire(t, req)
					lat := 10 * time.Millisecond
					if g.Leaf == slowLeaf {
						toSlow++
						if slow {
							lat *= 10
						}
					}
					f.clock.Advance(lat)
					g.Done(Outcome{Latency: lat, StartID: "s1"})
				}
				return toSlow
			}
			fair := 1200 / replicas
			healthy := run(1200, false)
			assert.Assert(t, healthy > fair/2 && healthy < fair*3/2, "%d", healthy)
			detect := run(100, true)
			assert.Assert(t, detect <= 10, "%d", detect)
			// 1000 sub-queries take about 10 s. Probes are due after 2, 4
			// and 8 s.
			probes := run(1000, true)
			assert.Assert(t, probes >= 3 && probes <= 6, "%d", probes)
			run(1000, false)
			recovered := run(1200, false)
			assert.Assert(t, recovered > fair/2, "%d", recovered)
		})
	}
}

// Guards against one wrong report changing the shard count, the record count or the
// replicas of a snapshot.
func TestConflictingReports(t *testing.T) {
	conflicting := holding(1, 0, 1)
	conflicting.Records = 99
	cases := []struct {
		name      string
		reports   []trwire.Holding // one per leaf, the last is the newest
		count     int
		records   uint64
		replicas  []string
		conflicts int
	}{
		{"shard count", []trwire.Holding{holding(1, 0, 4), holding(1, 0, 2), holding(1, 0, 2)}, 2, 10, []string{"l1", "l2"}, 1},
		{"newest report conflicts", []trwire.Holding{holding(1, 0, 4), holding(1, 0, 4), holding(1, 0, 2)}, 4, 10, []string{"l0", "l1"}, 1},
		{"record count", []trwire.Holding{holding(1, 0, 1), conflicting, holding(1, 0, 1)}, 1, 10, []string{"l0", "l2"}, 1},
		{"tie", []trwire.Holding{holding(1, 0, 1), conflicting}, 1, 99, []string{"l1"}, 1},
		{"shard count above the maximum", []trwire.Holding{holding(1, 0, 1), holding(1, 0, maxShards+1)}, 1, 10, []string{"l0"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(nil)
			for i, h := range c.reports {
				f.add(fmt.Sprint("l", i), "a", h)
			}
			svc := f.router.Table().Service("svc")
			snap, _ := svc.Choose(0)
			assert.Equal(t, snap.ShardCount, c.count)
			assert.Equal(t, snap.Records, c.records)
			var names []string
			for _, l := range snap.Shards[0].Replicas {
				names = append(names, l.ID)
			}
			assert.DeepEqual(t, names, c.replicas)
			assert.Equal(t, svc.Conflicts, c.conflicts)
		})
	}
}

// Guards against sub-queries to a draining leaf, and against a late reply or an old
// notice making a retired start ID current again.
func TestDrainAndRestart(t *testing.T) {
	f := newFixture(nil)
	leaf := f.add("l1", "a", holding(1, 0, 1))
	f.notices = nil
	f.router.ObserveReply(leaf, "s1", true)
	assert.Assert(t, !leaf.Usable())
	f.router.ObserveReply(leaf, "s1", true)
	assert.DeepEqual(t, f.notices, []string{"l1 s1 true"})
	f.clock.Advance(minRebuildInterval)
	assert.Equal(t, len(f.router.Table().Service("svc").Snapshots), 0)

	f.hello("l1", "s2", holding(1, 0, 1))
	assert.DeepEqual(t, f.notices, []string{"l1 s1 true", "l1 s2 false"})
	f.router.ObserveReply(leaf, "s1", true)
	f.router.ApplyNotice("l1", "s1", true, time.Hour)
	f.router.ApplyNotice("l1", "s0", true, 2*time.Hour)
	assert.Equal(t, leaf.StartID(), "s2")
	assert.Assert(t, leaf.Usable())
	_, refused := f.d.Acquire(context.Background(), f.request())
	assert.Equal(t, refused.Kind, trwire.AttemptNoTurn)
	f.router.ApplyNotice("l1", "s2", false, time.Minute)
	f.mustAcquire(t, f.request())
	assert.Equal(t, len(f.notices), 2)

	f.router.ApplyNotice("l1", "s3", false, 0)
	assert.Assert(t, leaf.StartID() == "s3" && !leaf.Draining())
	f.clock.Advance(time.Second)
	assert.Assert(t, !leaf.Usable())
	need := f.router.NeedHello(f.clock.Now())
	assert.Assert(t, len(need) == 1 && need[0] == leaf)
	assert.Equal(t, len(f.router.NeedHello(f.clock.Now())), 0)
}

// Guards against a leaf losing its limit in a rebuild or a gap in the instance list,
// and against a leaf at a new address keeping the limit of the old one.
func TestLeafIdentity(t *testing.T) {
	f := newFixture(nil)
	leaf := f.add("l1", "a", holding(1, 0, 1))
	f.router.SetInstances(&trwire.InstanceList{})
	f.clock.Advance(minRebuildInterval)
	assert.Assert(t, f.router.Table().Service("svc") == nil && !leaf.Usable())
	f.router.SetInstances(&f.list)
	f.clock.Advance(minRebuildInterval)
	assert.Assert(t, f.router.Leaf("l1") == leaf && leaf.Usable())
	f.list.Instances[0].Addr = "other:1"
	f.router.SetInstances(&f.list)
	assert.Assert(t, f.router.Leaf("l1") != leaf && !leaf.Usable())
	f.list.Instances[0].State = trwire.StateLeaving
	f.router.SetInstances(&f.list)
	f.hello("l1", "s1", holding(1, 0, 1))
	assert.Assert(t, !f.router.Leaf("l1").Usable())
}

// Guards against sub-queries to a zone that is taken out, and against full load on its
// leafs at once when it is used again.
func TestZoneOutAndSlowStart(t *testing.T) {
	f := newFixture(nil)
	f.add("l1", "a", holding(1, 0, 1))
	remote := f.add("l2", "b", holding(1, 0, 1))
	fill := func() (n int) {
		var grants []*Grant
		for {
			g, refused := f.d.Acquire(context.Background(), f.request())
			if refused != nil {
				break
			}
			grants = append(grants, g)
		}
		for _, g := range grants {
			if g.Leaf == remote {
				n++
			}
			g.Done(Outcome{Latency: time.Millisecond})
		}
		return n
	}
	assert.Equal(t, fill(), 4)
	set := func(out bool) {
		f.policy.zonesOut = map[string]bool{"b": out}
		f.router.SetPolicy(f.policy)
		f.clock.Advance(minRebuildInterval)
	}
	set(true)
	assert.Equal(t, fill(), 0)
	set(false)
	var ramp []int
	for range 4 {
		ramp = append(ramp, fill())
		f.clock.Advance(3400 * time.Millisecond)
	}
	assert.DeepEqual(t, ramp, []int{1, 2, 3, 4})
}

// Guards against a waiter that keeps waiting after its last replica drains, or that
// does not use a new replica.
func TestWaitersFollowTableChanges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fixture, l *Leaf)
		grant  bool
	}{
		{"drain", func(f *fixture, l *Leaf) { f.router.ObserveReply(l, "s1", true) }, false},
		{"new replica", func(f *fixture, _ *Leaf) { f.add("l2", "a", holding(1, 0, 1)) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(nil)
			leaf := f.add("l1", "a", holding(1, 0, 1))
			for range 4 {
				f.mustAcquire(t, f.request())
			}
			req := f.request()
			req.NoWait = false
			done := make(chan result)
			go func() {
				g, refused := f.d.Acquire(context.Background(), req)
				done <- result{g, refused}
			}()
			waitFor(func() bool { return leaf.waiting.len() == 1 })
			c.change(f, leaf)
			f.clock.Advance(minRebuildInterval)
			r := <-done
			assert.Equal(t, r.grant != nil, c.grant)
			assert.Assert(t, c.grant || errors.Is(r.refused, ErrNoReplica))
		})
	}
}

// Guards against a waiter at a cold leaf not being woken when the sender's turn starts.
func TestWaiterIsWokenByItsTurn(t *testing.T) {
	f := newFixture(nil)
	leaf := f.add("l1", "a", holding(1, 0, 1))
	f.policy.defaults.Service.ColdMs = time.Hour.Milliseconds()
	f.router.SetPolicy(f.policy)
	f.hello("l1", "s2", holding(1, 0, 1))
	fleet := f.policy.defaults.Fleet
	turns := trlimit.Turns{Length: time.Duration(fleet.TurnMs) * time.Millisecond, Senders: fleet.SenderIndexes}
	cycles := 2 * time.Duration(turns.Senders) * turns.Length
	req := f.request()
	req.NoWait, req.Deadline, req.ColdTimeout = false, f.clock.Now().Add(cycles), 100*time.Millisecond
	done := make(chan *Grant)
	timers := f.clock.timers.Load()
	go func() {
		g, _ := f.d.Acquire(context.Background(), req)
		done <- g
	}()
	// One timer is for the deadline and one for the turn.
	waitFor(func() bool { return f.clock.timers.Load() == timers+2 })
	assert.Equal(t, leaf.waiting.len(), 1)
	f.clock.Advance(cycles * 3 / 5)
	g := <-done
	assert.Assert(t, g != nil && g.Permit.Cold)
	assert.Equal(t, g.Timeout, 100*time.Millisecond)
	lastMoment := g.Permit.Until.Add(-time.Millisecond)
	assert.Equal(t, turns.Holder("l1", lastMoment), 0)
}

// Guards against first attempts at a leaf that always fails, and against a leaf that
// stays ejected after it recovers.
func TestEjectionAndProbe(t *testing.T) {
	f := newFixture(nil)
	f.add("l1", "a", holding(1, 0, 1))
	bad := f.add("l2", "a", holding(1, 0, 1))
	run := func(n int, broken bool) (toBad int) {
		for range n {
			g := f.mustAcquire(t, f.request())
			f.clock.Advance(10 * time.Millisecond)
			o := Outcome{Latency: 10 * time.Millisecond}
			if g.Leaf == bad {
				toBad++
				if broken {
					o.Err = &trwire.AttemptError{Kind: trwire.AttemptBroken}
				}
			}
			g.Done(o)
		}
		return toBad
	}
	// In 20 s: three failures, then probes after 1, 2, 4 and 8 s.
	assert.Equal(t, run(2000, true), 7)
	assert.Assert(t, bad.Ejected())
	assert.Assert(t, run(2000, false) > 400)
	assert.Assert(t, !bad.Ejected())
}

// Guards against using a remote replica without need, and against not using it when
// the local one is loaded.
func TestZoneLocalWithSpillOver(t *testing.T) {
	f := newFixture(nil)
	f.add("l1", "a", holding(1, 0, 1))
	f.add("l2", "b", holding(1, 0, 1))
	var zones []string
	for range 8 {
		zones = append(zones, f.mustAcquire(t, f.request()).Leaf.Zone)
	}
	assert.DeepEqual(t, zones, []string{"a", "b", "a", "b", "a", "b", "a", "b"})
}

// Guards against a hedge delay that does not follow the latency or falls below the
// minimum.
func TestHedgeDelay(t *testing.T) {
	var h latencyTracker
	now := origin
	assert.Equal(t, h.quantile("svc", now, 0.95), defaultHedgeDelay)
	fill := func(latency time.Duration) {
		for i := range 100 {
			h.record("svc", now, latency*time.Duration(1+i/90*9))
			now = now.Add(40 * time.Millisecond)
		}
	}
	near := func(q float64, want time.Duration) {
		t.Helper()
		got := h.quantile("svc", now, q)
		assert.Assert(t, got >= want && got < want+want/50, "%v", got)
	}
	fill(10 * time.Millisecond)
	near(0.5, 10*time.Millisecond)
	near(0.95, 100*time.Millisecond)
	for range 3 {
		fill(time.Microsecond)
	}
	assert.Equal(t, h.quantile("svc", now, 0.95), minHedgeDelay)
}

// Guards against allocations when the routing table is read, and more than one per
// sub-query that does not wait.
func TestAllocations(t *testing.T) {
	f := newFixture(nil)
	f.add("l1", "a", holding(1, 0, 2), holding(1, 1, 2))
	f.add("l2", "a", holding(1, 0, 2), holding(2, 0, 2))
	n := testing.AllocsPerRun(100, func() {
		snap, _ := f.router.Table().Service("svc").Choose(1)
		for i := range snap.Shards {
			for _, l := range snap.Shards[i].Replicas {
				_ = l.Usable()
			}
		}
	})
	assert.Equal(t, n, 0.0)
	// The grant is the only allocation of an attempt that does not wait.
	n = testing.AllocsPerRun(100, func() {
		g, _ := f.d.Acquire(context.Background(), f.request())
		g.Done(Outcome{Latency: time.Millisecond, StartID: "s1"})
	})
	assert.Assert(t, n <= 1, "%v", n)
}
