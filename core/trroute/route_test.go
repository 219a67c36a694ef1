package trroute

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trwire"
)

var origin = time.Unix(1_800_000_000, 0)

type fakePolicy struct {
	defaults trconfig.Defaults
	zones    map[string]bool
}

func (p *fakePolicy) Service(string, string) *trconfig.ServicePolicy { return &p.defaults.Service }
func (p *fakePolicy) Fleet() *trconfig.FleetPolicy                   { return &p.defaults.Fleet }
func (p *fakePolicy) ZoneOut(zone string) bool                       { return p.zones[zone] }
func (p *fakePolicy) UpstreamOut(string) bool                        { return false }

type fakeSender struct{}

func (fakeSender) Sender(time.Time) (int, int, bool) { return 0, 12, true }

func (fakeSender) Estimate(now time.Time) (time.Time, time.Duration, bool) { return now, 0, true }

// countingClock counts the timers that were set, so that a test can wait for them
// before it advances the clock.
type countingClock struct {
	*trclock.Manual
	timers atomic.Int32
}

func (c *countingClock) After(delay time.Duration, f func(time.Time)) func() {
	defer c.timers.Add(1)
	return c.Manual.After(delay, f)
}

// bench is a router with a dispatcher on a manual clock.
type bench struct {
	clock  *countingClock
	router *Router
	d      *Dispatcher
	policy *fakePolicy
	list   trwire.InstanceList
	told   []string // notices
}

func newBench(choice Picker) *bench {
	b := &bench{clock: &countingClock{Manual: trclock.NewManual(origin)}, policy: &fakePolicy{defaults: trconfig.BuiltInDefaults()}}
	b.policy.defaults.Service.Connections = 48
	b.router = NewRouter(Options{
		Zone: "a", Clock: b.clock, Seed: 1, Sender: fakeSender{}, StoreTime: fakeSender{}, Picker: choice,
		OnNotice: func(leafID, startID string, draining bool, _ time.Duration) {
			b.told = append(b.told, fmt.Sprint(leafID, " ", startID, " ", draining))
		},
	})
	b.d = NewDispatcher(b.router)
	b.router.SetPolicy(b.policy)
	return b
}

// add lists a leaf and reports its holdings. The start is an hour old, so that the
// leaf is warm.
func (b *bench) add(id, zone string, holdings ...trwire.Holding) *Leaf {
	b.list.Instances = append(b.list.Instances, trwire.Instance{
		ID: id, Role: trwire.RoleLeaf, Service: "svc", Zone: zone, Addr: id + ":1", State: trwire.StateLive,
	})
	b.router.SetInstances(&b.list)
	b.router.ApplyNotice(id, "s1", false, time.Hour)
	b.hello(id, "s1", holdings...)
	return b.router.Leaf(id)
}

func (b *bench) hello(id, startID string, holdings ...trwire.Holding) {
	b.router.ObserveHello(id, &trwire.Hello{LeafID: id, StartID: startID, Service: "svc", Holdings: holdings})
	b.clock.Advance(rebuildGap)
}

func hold(version uint64, shard, count int) trwire.Holding {
	return trwire.Holding{Version: version, Shard: shard, ShardCount: count, Records: 10, Loaded: true}
}

func (b *bench) want() AcquireRequest {
	snap, _ := b.router.Table().Service("svc").Choose(0)
	return AcquireRequest{Shard: &snap.Shards[0], Deadline: b.clock.Now().Add(time.Second), Timeout: time.Second, NoWait: true}
}

func (b *bench) mustAcquire(t *testing.T, w AcquireRequest) *Grant {
	t.Helper()
	g, refused := b.d.Acquire(context.Background(), w)
	assert.Assert(t, refused == nil, "%v", refused)
	return g
}

// Guards against the chosen version being incomplete, too old or repartitioned in
// part while versions roll.
func TestChooseWhileVersionsRoll(t *testing.T) {
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 2), hold(1, 1, 2))
	b.add("l2", "b", hold(1, 0, 2), hold(1, 1, 2))
	check := func(minVersion, version uint64, whole bool) {
		t.Helper()
		snap, complete := b.router.Table().Service("svc").Choose(minVersion)
		assert.Assert(t, snap != nil)
		assert.Equal(t, snap.Version, version)
		assert.Equal(t, complete, whole)
	}
	check(0, 1, true)
	b.hello("l1", "s1", hold(1, 0, 2), hold(1, 1, 2), hold(2, 0, 3))
	check(0, 1, true)
	check(2, 2, false)
	b.hello("l2", "s1", hold(2, 1, 3), hold(2, 2, 3))
	check(0, 2, true)
	snap, _ := b.router.Table().Service("svc").Choose(3)
	assert.Assert(t, snap == nil)
	snap, _ = b.router.Table().Service("unknown").Choose(0)
	assert.Assert(t, snap == nil)
}

// Guards against a waiter missing a released permit, and against a less worthy
// one getting it.
func TestWaitersAreServedByWorth(t *testing.T) {
	b := newBench(nil)
	leaf := b.add("l1", "a", hold(1, 0, 1))
	var held []*Grant
	for {
		g, refused := b.d.Acquire(context.Background(), b.want())
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
		w := b.want()
		w.NoWait, w.Worth = false, worth
		go func() {
			g, refused := b.d.Acquire(context.Background(), w)
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
	b.clock.Advance(time.Second)
	assert.Equal(t, <-served, 0.0)
	waitFor(func() bool { return leaf.waiting.len() == 0 })
}

// waitFor yields until another goroutine has made f true.
func waitFor(f func() bool) {
	for !f() {
		runtime.Gosched()
	}
}

// Guards against a slow replica keeping its share of first attempts, and against
// it never being tried again.
func TestSlowReplicaIsAvoidedAndProbed(t *testing.T) {
	for _, replicas := range []int{2, 12} {
		t.Run(fmt.Sprint("replicas", replicas), func(t *testing.T) {
			b := newBench(nil)
			for i := range replicas {
				b.add(fmt.Sprint("l", i), "a", hold(1, 0, 1))
			}
			slowLeaf := b.router.Leaf("l1")
			run := func(n int, slow bool) (toSlow int) {
				for range n {
					w := b.want()
					w.Probe = func() bool { return true }
					g := b.mustAcquire(t, w)
					lat := 10 * time.Millisecond
					if g.Leaf == slowLeaf {
						toSlow++
						if slow {
							lat *= 10
						}
					}
					b.clock.Advance(lat)
					g.Done(Outcome{Latency: lat, StartID: "s1"})
				}
				return toSlow
			}
			fair := 1200 / replicas
			healthy := run(1200, false)
			assert.Assert(t, healthy > fair/2 && healthy < fair*3/2, "%d", healthy)
			detect := run(100, true)
			assert.Assert(t, detect <= 10, "%d", detect)
			// 1000 sub-queries take about 10 s, in which probes are due
			// after 2, 4 and 8 s.
			probes := run(1000, true)
			assert.Assert(t, probes >= 3 && probes <= 6, "%d", probes)
			run(1000, false)
			recovered := run(1200, false)
			assert.Assert(t, recovered > fair/2, "%d", recovered)
		})
	}
}

// Guards against one wrong report changing the shape of a snapshot.
func TestConflictingReports(t *testing.T) {
	odd := hold(1, 0, 1)
	odd.Records = 99
	cases := []struct {
		name      string
		reports   []trwire.Holding // one per leaf, the last is the newest
		count     int
		records   uint64
		replicas  []string
		conflicts int
	}{
		{"shard count", []trwire.Holding{hold(1, 0, 4), hold(1, 0, 2), hold(1, 0, 2)}, 2, 10, []string{"l1", "l2"}, 1},
		{"newest is odd", []trwire.Holding{hold(1, 0, 4), hold(1, 0, 4), hold(1, 0, 2)}, 4, 10, []string{"l0", "l1"}, 1},
		{"record count", []trwire.Holding{hold(1, 0, 1), odd, hold(1, 0, 1)}, 1, 10, []string{"l0", "l2"}, 1},
		{"tie", []trwire.Holding{hold(1, 0, 1), odd}, 1, 99, []string{"l1"}, 1},
		{"impossible size", []trwire.Holding{hold(1, 0, 1), hold(1, 0, maxShards+1)}, 1, 10, []string{"l0"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			for i, h := range c.reports {
				b.add(fmt.Sprint("l", i), "a", h)
			}
			svc := b.router.Table().Service("svc")
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

// Guards against work for a leaf that drains, and against a late reply of a former
// start or an old notice undoing a restart.
func TestDrainAndRestart(t *testing.T) {
	b := newBench(nil)
	leaf := b.add("l1", "a", hold(1, 0, 1))
	b.told = nil
	b.router.ObserveReply(leaf, "s1", true)
	assert.Assert(t, !leaf.Usable())
	b.router.ObserveReply(leaf, "s1", true)
	assert.DeepEqual(t, b.told, []string{"l1 s1 true"})
	b.clock.Advance(rebuildGap)
	assert.Equal(t, len(b.router.Table().Service("svc").Snapshots), 0)

	b.hello("l1", "s2", hold(1, 0, 1))
	assert.DeepEqual(t, b.told, []string{"l1 s1 true", "l1 s2 false"})
	b.router.ObserveReply(leaf, "s1", true)
	b.router.ApplyNotice("l1", "s1", true, time.Hour)
	b.router.ApplyNotice("l1", "s0", true, 2*time.Hour)
	assert.Equal(t, leaf.StartID(), "s2")
	assert.Assert(t, leaf.Usable())
	_, refused := b.d.Acquire(context.Background(), b.want())
	assert.Equal(t, refused.Kind, trwire.AttemptNoTurn)
	b.router.ApplyNotice("l1", "s2", false, time.Minute)
	b.mustAcquire(t, b.want())
	assert.Equal(t, len(b.told), 2)

	b.router.ApplyNotice("l1", "s3", false, 0)
	assert.Assert(t, leaf.StartID() == "s3" && !leaf.Draining())
	b.clock.Advance(time.Second)
	assert.Assert(t, !leaf.Usable())
	need := b.router.NeedHello(b.clock.Now())
	assert.Assert(t, len(need) == 1 && need[0] == leaf)
	assert.Equal(t, len(b.router.NeedHello(b.clock.Now())), 0)
}

// Guards against a leaf losing its limit in a rebuild or a gap in the list, and
// against a leaf at a new address keeping it.
func TestLeafIdentity(t *testing.T) {
	b := newBench(nil)
	leaf := b.add("l1", "a", hold(1, 0, 1))
	b.router.SetInstances(&trwire.InstanceList{})
	b.clock.Advance(rebuildGap)
	assert.Assert(t, b.router.Table().Service("svc") == nil && !leaf.Usable())
	b.router.SetInstances(&b.list)
	b.clock.Advance(rebuildGap)
	assert.Assert(t, b.router.Leaf("l1") == leaf && leaf.Usable())
	b.list.Instances[0].Addr = "other:1"
	b.router.SetInstances(&b.list)
	assert.Assert(t, b.router.Leaf("l1") != leaf && !leaf.Usable())
	b.list.Instances[0].State = trwire.StateLeaving
	b.router.SetInstances(&b.list)
	b.hello("l1", "s1", hold(1, 0, 1))
	assert.Assert(t, !b.router.Leaf("l1").Usable())
}

// Guards against new work in a zone that is out, and against its leafs getting
// full load at once when it is back.
func TestZoneOutAndSlowStart(t *testing.T) {
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 1))
	away := b.add("l2", "b", hold(1, 0, 1))
	fill := func() (n int) {
		var grants []*Grant
		for {
			g, refused := b.d.Acquire(context.Background(), b.want())
			if refused != nil {
				break
			}
			grants = append(grants, g)
		}
		for _, g := range grants {
			if g.Leaf == away {
				n++
			}
			g.Done(Outcome{Latency: time.Millisecond})
		}
		return n
	}
	assert.Equal(t, fill(), 4)
	set := func(out bool) {
		b.policy.zones = map[string]bool{"b": out}
		b.router.SetPolicy(b.policy)
		b.clock.Advance(rebuildGap)
	}
	set(true)
	assert.Equal(t, fill(), 0)
	set(false)
	var ramp []int
	for range 4 {
		ramp = append(ramp, fill())
		b.clock.Advance(3400 * time.Millisecond)
	}
	assert.DeepEqual(t, ramp, []int{1, 2, 3, 4})
}

// Guards against a waiter that waits on although its last replica drains, and one
// that does not notice a new replica.
func TestWaitersFollowTheTable(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bench, l *Leaf)
		grant  bool
	}{
		{"drain", func(b *bench, l *Leaf) { b.router.ObserveReply(l, "s1", true) }, false},
		{"new replica", func(b *bench, _ *Leaf) { b.add("l2", "a", hold(1, 0, 1)) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			leaf := b.add("l1", "a", hold(1, 0, 1))
			for range 4 {
				b.mustAcquire(t, b.want())
			}
			w := b.want()
			w.NoWait = false
			done := make(chan result)
			go func() {
				g, refused := b.d.Acquire(context.Background(), w)
				done <- result{g, refused}
			}()
			waitFor(func() bool { return leaf.waiting.len() == 1 })
			c.change(b, leaf)
			b.clock.Advance(rebuildGap)
			r := <-done
			assert.Equal(t, r.grant != nil, c.grant)
			assert.Assert(t, c.grant || errors.Is(r.refused, ErrNoReplica))
		})
	}
}

// Guards against a waiter at a cold leaf missing the start of the sender's turn.
func TestWaiterIsWokenByItsTurn(t *testing.T) {
	b := newBench(nil)
	leaf := b.add("l1", "a", hold(1, 0, 1))
	b.policy.defaults.Service.ColdMs = time.Hour.Milliseconds()
	b.router.SetPolicy(b.policy)
	b.hello("l1", "s2", hold(1, 0, 1))
	fleet := b.policy.defaults.Fleet
	turns := trlimit.Turns{Length: time.Duration(fleet.TurnMs) * time.Millisecond, Senders: fleet.SenderIndexes}
	cycles := 2 * time.Duration(turns.Senders) * turns.Length
	w := b.want()
	w.NoWait, w.Deadline, w.ColdTimeout = false, b.clock.Now().Add(cycles), 100*time.Millisecond
	done := make(chan *Grant)
	timers := b.clock.timers.Load()
	go func() {
		g, _ := b.d.Acquire(context.Background(), w)
		done <- g
	}()
	// One timer is for the deadline and one for the turn.
	waitFor(func() bool { return b.clock.timers.Load() == timers+2 })
	assert.Equal(t, leaf.waiting.len(), 1)
	b.clock.Advance(cycles * 3 / 5)
	g := <-done
	assert.Assert(t, g != nil && g.Permit.Cold)
	assert.Equal(t, g.Timeout, 100*time.Millisecond)
	granted := g.Permit.Until.Add(-time.Millisecond)
	assert.Equal(t, turns.Holder("l1", granted), 0)
}

// Guards against first attempts at a leaf that fails all the time, and against it
// staying out of use once it works.
func TestEjectionAndProbe(t *testing.T) {
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 1))
	bad := b.add("l2", "a", hold(1, 0, 1))
	run := func(n int, broken bool) (toBad int) {
		for range n {
			g := b.mustAcquire(t, b.want())
			b.clock.Advance(10 * time.Millisecond)
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
	// Over 20 s: three failures, then probes after 1, 2, 4 and 8 s.
	assert.Equal(t, run(2000, true), 7)
	assert.Assert(t, bad.Ejected())
	assert.Assert(t, run(2000, false) > 400)
	assert.Assert(t, !bad.Ejected())
}

// Guards against remote replicas being used without need, and against staying in
// the zone when its replica is overloaded.
func TestZoneLocalWithSpillOver(t *testing.T) {
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 1))
	b.add("l2", "b", hold(1, 0, 1))
	var zones []string
	for range 8 {
		zones = append(zones, b.mustAcquire(t, b.want()).Leaf.Zone)
	}
	assert.DeepEqual(t, zones, []string{"a", "b", "a", "b", "a", "b", "a", "b"})
}

// Guards against a hedge delay that does not follow the latency or falls below its
// floor.
func TestHedgeDelay(t *testing.T) {
	var h latencies
	now := origin
	assert.Equal(t, h.quantile("svc", now, 0.95), hedgeDefault)
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
	assert.Equal(t, h.quantile("svc", now, 0.95), hedgeFloor)
}

// Guards against allocations when routes are read.
func TestReadingRoutesAllocatesNothing(t *testing.T) {
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 2), hold(1, 1, 2))
	b.add("l2", "a", hold(1, 0, 2), hold(2, 0, 2))
	n := testing.AllocsPerRun(100, func() {
		snap, _ := b.router.Table().Service("svc").Choose(1)
		for i := range snap.Shards {
			for _, l := range snap.Shards[i].Replicas {
				_ = l.Usable()
			}
		}
	})
	assert.Equal(t, n, 0.0)
	// The grant itself is the only allocation of an attempt that need not wait.
	n = testing.AllocsPerRun(100, func() {
		g, _ := b.d.Acquire(context.Background(), b.want())
		g.Done(Outcome{Latency: time.Millisecond, StartID: "s1"})
	})
	assert.Assert(t, n <= 1, "%v", n)
}

// large returns a bench with leafs of one service, three replicas per shard.
func large(leafs int) *bench {
	b := newBench(nil)
	shards := max(1, leafs/3)
	for i := range leafs {
		b.list.Instances = append(b.list.Instances, trwire.Instance{
			ID: fmt.Sprint("l", i), Role: trwire.RoleLeaf, Service: "svc",
			Zone: string(rune('a' + i%3)), Addr: fmt.Sprint("l", i, ":1"), State: trwire.StateLive,
		})
	}
	b.router.SetInstances(&b.list)
	for i := range leafs {
		id := fmt.Sprint("l", i)
		b.router.ApplyNotice(id, "s1", false, time.Hour)
		h := &trwire.Hello{LeafID: id, StartID: "s1", Service: "svc"}
		h.Holdings = []trwire.Holding{hold(1, i/3%shards, shards), hold(2, i/3%shards, shards)}
		b.router.ObserveHello(id, h)
	}
	b.clock.Advance(time.Second)
	return b
}
