package trroute

import (
	"context"
	"fmt"
	"sync/atomic"
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
	zonesOut map[string]bool
}

func (p *fakePolicy) Service(string, string) *trconfig.ServicePolicy { return &p.defaults.Service }
func (p *fakePolicy) Fleet() *trconfig.FleetPolicy                   { return &p.defaults.Fleet }
func (p *fakePolicy) ZoneOut(zone string) bool                       { return p.zonesOut[zone] }
func (p *fakePolicy) UpstreamOut(string) bool                        { return false }

// fakeViews holds sender index 0 of 12 and knows the store's time exactly.
type fakeViews struct{}

func (fakeViews) Sender(time.Time) (int, int, bool) { return 0, 12, true }

func (fakeViews) Estimate(now time.Time) (time.Time, time.Duration, bool) { return now, 0, true }

// countingClock counts the timers that were started, so that a test can wait for them
// before it advances the clock.
type countingClock struct {
	*trclock.Manual
	timers atomic.Int32
}

func (c *countingClock) After(delay time.Duration, f func(time.Time)) func() {
	defer c.timers.Add(1)
	return c.Manual.After(delay, f)
}

// fixture holds a router and a dispatcher that run on a manual clock.
type fixture struct {
	clock   *countingClock
	router  *Router
	d       *Dispatcher
	policy  *fakePolicy
	list    trwire.InstanceList
	notices []string // arguments of OnNotice, formatted
}

func newFixture(picker Picker) *fixture {
	f := &fixture{clock: &countingClock{Manual: trclock.NewManual(origin)}, policy: &fakePolicy{defaults: trconfig.BuiltInDefaults()}}
	f.policy.defaults.Service.Connections = 48
	f.router = NewRouter(Options{
		Zone: "a", Clock: f.clock, Seed: 1, Sender: fakeViews{}, StoreTime: fakeViews{}, Picker: picker,
		OnNotice: func(leafID, startID string, draining bool, _ time.Duration) {
			f.notices = append(f.notices, fmt.Sprint(leafID, " ", startID, " ", draining))
		},
	})
	f.d = NewDispatcher(f.router)
	f.router.SetPolicy(f.policy)
	return f
}

// add lists a leaf and reports its holdings. The start ID was first seen an hour ago,
// so the leaf is warm.
func (f *fixture) add(id, zone string, holdings ...trwire.Holding) *Leaf {
	f.list.Instances = append(f.list.Instances, trwire.Instance{
		ID: id, Role: trwire.RoleLeaf, Service: "svc", Zone: zone, Addr: id + ":1", State: trwire.StateLive,
	})
	f.router.SetInstances(&f.list)
	f.router.ApplyNotice(id, "s1", false, time.Hour)
	f.hello(id, "s1", holdings...)
	return f.router.Leaf(id)
}

func (f *fixture) hello(id, startID string, holdings ...trwire.Holding) {
	f.router.ObserveHello(id, &trwire.Hello{LeafID: id, StartID: startID, Service: "svc", Holdings: holdings})
	f.clock.Advance(minRebuildInterval)
}

func holding(version uint64, shard, count int) trwire.Holding {
	return trwire.Holding{Version: version, Shard: shard, ShardCount: count, Records: 10, Loaded: true}
}

func (f *fixture) request() AcquireRequest {
	snap, _ := f.router.Table().Service("svc").Choose(0)
	return AcquireRequest{Shard: &snap.Shards[0], Deadline: f.clock.Now().Add(time.Second), Timeout: time.Second, NoWait: true}
}

func (f *fixture) mustAcquire(t *testing.T, req AcquireRequest) *Grant {
	t.Helper()
	g, refused := f.d.Acquire(context.Background(), req)
	assert.Assert(t, refused == nil, "%v", refused)
	return g
}

// largeFixture returns a fixture with the given number of leafs of one service and
// three replicas per shard.
func largeFixture(leafs int) *fixture {
	f := newFixture(nil)
	shards := max(1, leafs/3)
	for i := range leafs {
		f.list.Instances = append(f.list.Instances, trwire.Instance{
			ID: fmt.Sprint("l", i), Role: trwire.RoleLeaf, Service: "svc",
			Zone: string(rune('a' + i%3)), Addr: fmt.Sprint("l", i, ":1"), State: trwire.StateLive,
		})
	}
	f.router.SetInstances(&f.list)
	for i := range leafs {
		id := fmt.Sprint("l", i)
		f.router.ApplyNotice(id, "s1", false, time.Hour)
		h := &trwire.Hello{LeafID: id, StartID: "s1", Service: "svc"}
		h.Holdings = []trwire.Holding{holding(1, i/3%shards, shards), holding(2, i/3%shards, shards)}
		f.router.ObserveHello(id, h)
	}
	f.clock.Advance(time.Second)
	return f
}
