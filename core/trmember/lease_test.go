package trmember

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

type conflictError struct{ current *trwire.Entry }

func (e *conflictError) Error() string           { return "conflict" }
func (e *conflictError) Conflict() *trwire.Entry { return e.current }

// fakeStore is one key of the platform's store with injected faults.
type fakeStore struct {
	net   *network
	skew  time.Duration // of the store's clock against the local clock
	entry trwire.Entry
	down  bool
	stall time.Duration // delay before the next write takes effect
	lose  int           // number of next writes whose reply is lost after they took effect
	calls int
}

// storeLink is one instance's access to the store.
type storeLink struct {
	*fakeStore
	clock *StoreClock
	cut   bool
}

func (s *storeLink) reply() error {
	s.calls++
	if s.down || s.cut {
		return errUnreachable
	}
	now := s.net.clock.Now()
	s.clock.Observe(now.Add(s.skew), now, now)
	return nil
}

func (s *storeLink) Get(context.Context, string) (*trwire.Entry, error) {
	if err := s.reply(); err != nil {
		return nil, err
	}
	e := s.entry
	return &e, nil
}

func (s *storeLink) Put(_ context.Context, key string, r *trwire.PutRequest) (*trwire.Entry, error) {
	if err := s.reply(); err != nil {
		return nil, err
	}
	if d := s.stall; d > 0 {
		s.stall = 0
		s.net.clock.Advance(d)
	}
	if r.PrevVersion != s.entry.Version {
		e := s.entry
		return nil, &conflictError{&e}
	}
	s.entry = trwire.Entry{Key: key, Value: r.Value, Version: s.entry.Version + 1}
	if s.lose > 0 {
		s.lose--
		return nil, errors.New("reply lost")
	}
	e := s.entry
	return &e, nil
}

type absentList map[string]time.Duration

func (l absentList) AbsentFor(id string) (time.Duration, bool) { d, ok := l[id]; return d, ok }

// leaseFleet is a group of instances with sender leases in one store.
type leaseFleet struct {
	*network
	store  *fakeStore
	policy trconfig.FleetPolicy
	absent absentList
	links  map[*SenderLease]*storeLink
	groups map[*SenderLease]*Group
}

func newLeaseFleet(t testing.TB, seed uint64) *leaseFleet {
	n := newNetwork(t, seed)
	return &leaseFleet{
		network: n,
		store:   &fakeStore{net: n, skew: 42 * time.Second},
		policy:  trconfig.BuiltInDefaults().Fleet,
		absent:  absentList{},
		links:   make(map[*SenderLease]*storeLink),
		groups:  make(map[*SenderLease]*Group),
	}
}

func (f *leaseFleet) lease(id string) *SenderLease {
	g := f.add(id, "a0", "b1")
	link := &storeLink{fakeStore: f.store, clock: g.cfg.StoreClock}
	l := NewSenderLease(LeaseConfig{
		Group: "main", Self: g.Self, Clock: f.clock, Seed: f.rnd.Uint64(), Store: link, StoreClock: link.clock,
		Documents: g.Documents(), Instances: f.absent, Policy: func() trconfig.FleetPolicy { return f.policy },
		Changed: func(index int, epoch uint64) {
			g.Update(func(m *Member) { m.SenderIndex, m.SenderEpoch = index, epoch })
		},
	})
	g.Subscribe(l.ObserveMembers)
	l.Start()
	f.links[l], f.groups[l] = link, g
	return l
}

// kill ends a process without releasing its lease.
func (f *leaseFleet) kill(l *SenderLease) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	g := f.groups[l]
	delete(f.network.groups, g.Self().ID)
	for _, stop := range g.stops {
		stop()
	}
	g.cancel()
}

func (f *leaseFleet) index(l *SenderLease) int {
	i, _, ok := l.Sender(f.clock.Now())
	if !ok {
		return -1
	}
	return i
}

// sleepClock advances the manual clock instead of waiting.
type sleepClock struct{ *trclock.Manual }

func (c sleepClock) After(d time.Duration, f func(time.Time)) func() {
	c.Advance(d)
	f(c.Now())
	return func() {}
}

// release runs Release to completion on this goroutine.
func (f *leaseFleet) release(l *SenderLease) error {
	l.cfg.Clock = sleepClock{f.clock}
	return l.Release(context.Background())
}

// Guards against two instances that hold the same index, and against more than one
// store call per renewal.
func TestLeaseClaimAndRenew(t *testing.T) {
	f := newLeaseFleet(t, 1)
	var leases []*SenderLease
	for _, id := range []string{"a0", "b1", "c2", "a3", "b4", "c5", "a6", "b7", "c8"} {
		leases = append(leases, f.lease(id))
	}
	f.clock.Advance(30 * time.Second)
	seen := make(map[int]bool)
	for _, l := range leases {
		i := f.index(l)
		assert.Assert(t, i >= 0 && !seen[i], "index %d", i)
		seen[i] = true
	}
	f.store.calls = 0
	f.clock.Advance(1000 * time.Second)
	t.Logf("%d store calls for 900 renewals", f.store.calls)
	assert.Assert(t, f.store.calls <= 1_000, "%d calls", f.store.calls)
	var gets uint64
	for _, l := range leases {
		gets += l.Stats().Gets
	}
	assert.Assert(t, gets <= 9, "%d reads", gets)
	home, _ := leases[0].Home("r1")
	for _, l := range leases[1:] {
		h, ok := l.Home("r1")
		assert.Assert(t, ok && h.Index == home.Index)
	}
}

// Guards against a lost reply that leaves an index claimed but unused, and against a
// lease that is valid from the time of the reply instead of the request.
func TestLeaseLostReply(t *testing.T) {
	f := newLeaseFleet(t, 2)
	f.store.lose = 2
	l := f.lease("a0")
	f.clock.Advance(8 * time.Second)
	assert.Equal(t, f.index(l), 0)
	table := l.Table()
	assert.Equal(t, len(table.Entries), 1)
	assert.Equal(t, table.Entries[0].Epoch, uint64(1))
	h := l.held.Load()
	sent := h.sent.Add(f.store.skew).UnixMilli()
	assert.Assert(t, sent <= table.Entries[0].RenewedMs, "sent %d, entry says %d", sent, table.Entries[0].RenewedMs)
	f.store.lose = 1
	assert.NilError(t, f.release(l))
	assert.Equal(t, f.index(l), -1)
	assert.Assert(t, l.Table().Entries[0].Released)
}

// Guards against an index that is reused while its holder may still send, for each
// reuse rule.
func TestLeaseReuse(t *testing.T) {
	for _, tc := range []struct {
		name      string
		release   bool
		leave     bool
		goneFor   time.Duration // the list contains the holder if 0
		goneMs    int64
		lapseMs   int64
		wait      time.Duration
		reused    bool
		reclaimed bool
	}{
		{"clean release", true, true, 0, 120_000, 60_000, 12 * time.Second, true, false},
		{"clean release, killed at once", true, false, 0, 120_000, 60_000, 120 * time.Second, true, false},
		{"killed and listed", false, false, 0, 120_000, 60_000, 7_100 * time.Second, false, false},
		{"killed, quarantine over", false, false, 0, 120_000, 60_000, 7_230 * time.Second, true, true},
		{"killed, gone too short", false, false, 119 * time.Second, 120_000, 60_000, 600 * time.Second, false, false},
		{"killed, gone, lapse not over", false, false, time.Hour, 120_000, 60_000, 45 * time.Second, false, false},
		{"killed, gone soon after a renewal", false, false, time.Hour, 120_000, 60_000, 90 * time.Second, true, false},
		{"killed, gone long after a renewal", false, false, 121 * time.Second, 120_000, 300_000, 400 * time.Second, true, true},
		{"killed, early reuse disabled", false, false, time.Hour, 0, 60_000, 600 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newLeaseFleet(t, 3)
			f.policy.SenderIndexes = 1
			f.policy.SenderGoneMs = tc.goneMs
			f.policy.SenderLapseMs = tc.lapseMs
			a := f.lease("a0")
			f.clock.Advance(15 * time.Second)
			assert.Equal(t, f.index(a), 0)
			b := f.lease("b1")
			f.clock.Advance(15 * time.Second)
			assert.Equal(t, f.index(b), -1)
			if tc.release {
				assert.NilError(t, f.release(a))
			}
			if tc.leave {
				f.groups[a].Leave(context.Background())
			}
			f.kill(a)
			if tc.goneFor > 0 {
				f.absent["a0"] = tc.goneFor
			}
			f.clock.Advance(tc.wait)
			assert.Equal(t, f.index(b) == 0, tc.reused)
			if !tc.reused {
				return
			}
			e := b.Table().Entry(0)
			assert.Equal(t, e.Epoch, uint64(2))
			assert.Equal(t, e.Reclaimed, tc.reclaimed)
			// The killed lease object still returns its index until the end of its
			// validity, which has passed only in the case of the quarantine.
			if !tc.release {
				assert.Equal(t, f.index(a), -1+boolInt(tc.goneFor > 0))
			}
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a lease that ends during a store outage of one hour, and against an
// index that is still used when its quarantine has ended by the holder's clock.
func TestLeaseStoreOutage(t *testing.T) {
	f := newLeaseFleet(t, 4)
	a, b := f.lease("a0"), f.lease("b1")
	f.clock.Advance(20 * time.Second)
	f.store.down = true
	f.store.calls = 0
	f.clock.Advance(time.Hour)
	t.Logf("%d store calls of 2 instances in an hour of outage", f.store.calls)
	assert.Assert(t, f.store.calls < 1_800)
	assert.Assert(t, f.index(a) >= 0 && f.index(b) >= 0)
	before := f.index(a)
	f.store.down = false
	f.clock.Advance(30 * time.Second)
	assert.Equal(t, f.index(a), before)
	assert.Equal(t, a.Stats().Yields, uint64(0))
	f.store.down = true
	f.clock.Advance(2 * time.Hour)
	assert.Equal(t, f.index(a), -1)
}

// Guards against a frozen holder that continues to use its index after another
// instance has claimed it.
func TestLeaseFrozenHolderYields(t *testing.T) {
	f := newLeaseFleet(t, 5)
	f.policy.SenderIndexes = 1
	a := f.lease("a0")
	f.clock.Advance(15 * time.Second)
	b := f.lease("b1")
	f.clock.Advance(15 * time.Second)
	// The holder reaches neither the store nor its peers, as if frozen.
	f.links[a].cut = true
	f.cut = func(from, to string) bool { return from == "a0" || to == "a0" }
	f.absent["a0"] = time.Hour
	f.clock.Advance(2 * time.Minute)
	assert.Equal(t, f.index(b), 0)
	assert.Equal(t, f.index(a), 0)
	f.cut = nil
	f.clock.Advance(20 * time.Second)
	assert.Equal(t, f.index(a), -1)
	assert.Equal(t, a.Stats().Yields, uint64(1))
	assert.Equal(t, f.index(b), 0)
}

// Guards against a pause during a renewal that makes the lease seem valid for longer
// than the entry in the store allows.
func TestLeaseValidityStartsBeforeWrite(t *testing.T) {
	f := newLeaseFleet(t, 10)
	a := f.lease("a0")
	f.clock.Advance(15 * time.Second)
	before := f.clock.Now()
	f.store.stall = 100 * time.Second
	a.step()
	assert.Equal(t, f.clock.Now().Sub(before), 100*time.Second)
	assert.Assert(t, a.held.Load().sent.Equal(before), "lease starts %v later", a.held.Load().sent.Sub(before))
	renewed := time.UnixMilli(a.Table().Entry(0).RenewedMs).Add(-f.store.skew)
	assert.Assert(t, !renewed.Before(before) && renewed.Sub(before) < time.Second)
}

// Guards against ignoring a claim that is known only from a member's entry.
func TestLeaseYieldsToMemberWithNewerEpoch(t *testing.T) {
	f := newLeaseFleet(t, 6)
	a := f.lease("a0")
	f.clock.Advance(15 * time.Second)
	other := Member{ID: "b1", State: Alive, SenderIndex: f.index(a), SenderEpoch: 1}
	a.ObserveMembers([]Member{other})
	assert.Assert(t, f.index(a) >= 0)
	other.SenderEpoch = 2
	a.ObserveMembers([]Member{other})
	assert.Equal(t, f.index(a), -1)
}

// Guards against a restarted process that waits for the end of the quarantine of its
// own index, against its predecessor taking the index back, and against request IDs
// that are not reported as possibly run although the predecessor may have run them
// without the store.
func TestLeaseRestartWithSameID(t *testing.T) {
	for _, tc := range []struct {
		name      string
		down      time.Duration
		reclaimed bool
	}{
		{"at once", 0, false},
		{"after OnceMemoryMs", 45 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newLeaseFleet(t, 7)
			f.policy.SenderIndexes = 1
			old := f.lease("a0")
			f.clock.Advance(15 * time.Second)
			if tc.down > 0 {
				f.kill(old)
				f.clock.Advance(tc.down)
			}
			restarted := f.lease("a0")
			f.clock.Advance(60 * time.Second)
			assert.Equal(t, f.index(restarted), 0)
			e := restarted.Table().Entry(0)
			assert.Assert(t, e.Epoch == 2 && e.Incarnation == restarted.cfg.Self().Incarnation)
			assert.Equal(t, e.Reclaimed, tc.reclaimed)
			assert.Equal(t, restarted.MayHaveRun("order"), tc.reclaimed)
			if tc.down == 0 {
				assert.Equal(t, f.index(old), -1)
			}
		})
	}
}

// Guards against a request ID that runs twice around the replacement of an instance
// under the same ID at another address: the old process does not have to end for the new
// one to start, so it may still run requests without the store.
func TestReplacementAtAnotherAddressDoesNotTrustPredecessorToHaveEnded(t *testing.T) {
	for seed := range uint64(50) {
		f := newLeaseFleet(t, seed)
		f.policy.SenderIndexes = 1
		f.lease("a0") // lives on
		f.clock.Advance(15 * time.Second)
		replacement := f.lease("a0")
		f.groups[replacement].Update(func(m *Member) { m.PeerAddr = "elsewhere" })
		f.clock.Advance(60 * time.Second)
		assert.Equal(t, f.index(replacement), 0)
		assert.Assert(t, replacement.Table().Entry(0).Reclaimed)
		assert.Assert(t, replacement.MayHaveRun("order"))
	}
}

// Guards against a history that misses a change of homes within the retention time
// or that covers the time before the process started. Homes change when the former
// holder has seen the claim of the new one.
func TestLeaseHomeHistory(t *testing.T) {
	f := newLeaseFleet(t, 8)
	a := f.lease("a0")
	f.clock.Advance(15 * time.Minute)
	b := f.lease("b1")
	f.clock.Advance(5 * time.Minute)
	start := f.clock.Now().Add(-10 * time.Minute)
	history := a.HomeHistory()
	assert.Equal(t, len(history), 3)
	assert.Assert(t, !history[0].Seen.After(start))
	moved := 0
	for i := range 100 {
		var homes []string
		for _, seen := range history {
			home, _ := seen.Table.Home(fmt.Sprint("order-", i))
			homes = append(homes, home.InstanceID)
		}
		assert.DeepEqual(t, homes[:2], []string{"a0", "a0"})
		moved += boolInt(homes[2] == "b1")
	}
	assert.Assert(t, moved > 0 && moved < 100)
	assert.Assert(t, b.HomeHistory()[0].Seen.After(start))
	f.clock.Advance(10 * time.Minute)
	assert.Equal(t, len(a.HomeHistory()), 1)
	since, ok := a.HeldSince(f.clock.Now())
	assert.Assert(t, ok && f.clock.Now().Sub(since) > 29*time.Minute)
}

// Guards against an index that stays in use beyond a reduced SenderIndexes.
func TestLeaseFewerIndexes(t *testing.T) {
	f := newLeaseFleet(t, 9)
	a, b := f.lease("a0"), f.lease("b1")
	f.clock.Advance(15 * time.Second)
	assert.NilError(t, f.release(a))
	f.policy.SenderIndexes = 1
	f.clock.Advance(30 * time.Second)
	assert.Equal(t, f.index(b), 0)
	for _, e := range b.Table().Entries {
		assert.Equal(t, e.Released, e.Index > 0)
	}
}
