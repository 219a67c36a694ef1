package trroute

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
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

// bench is a router with a dispatcher on a manual clock.
type bench struct {
	clock  *trclock.Manual
	router *Router
	d      *Dispatcher
	policy *fakePolicy
	list   trwire.InstanceList
	told   []string // notices
}

func newBench(choice Choice) *bench {
	b := &bench{clock: trclock.NewManual(origin), policy: &fakePolicy{defaults: trconfig.BuiltIn()}}
	b.policy.defaults.Service.Connections = 48
	b.router = NewRouter(Options{
		Zone: "a", Clock: b.clock, Seed: 1, Sender: fakeSender{}, StoreTime: fakeSender{}, Choice: choice,
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

func (b *bench) want() Want {
	snap, _ := b.router.Table().Service("svc").Choose(0)
	return Want{Shard: &snap.Shards[0], Deadline: b.clock.Now().Add(time.Second), Timeout: time.Second, NoWait: true}
}

func (b *bench) mustAcquire(t *testing.T, w Want) *Grant {
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
	b := newBench(nil)
	b.add("l1", "a", hold(1, 0, 1))
	slowLeaf := b.add("l2", "a", hold(1, 0, 1))
	latency := func(l *Leaf, slow bool) time.Duration {
		if l == slowLeaf && slow {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	run := func(n int, slow bool) (toSlow int) {
		for range n {
			g := b.mustAcquire(t, b.want())
			lat := latency(g.Leaf, slow)
			if g.Leaf == slowLeaf {
				toSlow++
			}
			b.clock.Advance(lat)
			g.Done(Outcome{Latency: lat, StartID: "s1"})
		}
		return toSlow
	}
	healthy := run(100, false)
	assert.Assert(t, healthy > 30 && healthy < 70, "%d", healthy)
	detect := run(100, true)
	assert.Assert(t, detect <= 10, "%d", detect)
	// 1000 sub-queries take about 10 s, in which a probe is due every 2 s.
	probes := run(1000, true)
	assert.Assert(t, probes >= 3 && probes <= 6, "%d", probes)
	run(1000, false)
	recovered := run(100, false)
	assert.Assert(t, recovered > 30, "%d", recovered)
}
