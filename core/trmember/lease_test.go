package trmember

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

type conflictError struct{ present *trwire.Entry }

func (e *conflictError) Error() string           { return "conflict" }
func (e *conflictError) Conflict() *trwire.Entry { return e.present }

// fakeStore is one key of the platform's store with faults.
type fakeStore struct {
	net   *network
	skew  time.Duration // of the store's clock
	entry trwire.Entry
	down  bool
	lose  int // answers of the next writes to lose after they took effect
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
	if r.PrevVersion != s.entry.Version {
		e := s.entry
		return nil, &conflictError{&e}
	}
	s.entry = trwire.Entry{Key: key, Value: r.Value, Version: s.entry.Version + 1}
	if s.lose > 0 {
		s.lose--
		return nil, errors.New("answer lost")
	}
	e := s.entry
	return &e, nil
}

type listing map[string]time.Duration

func (l listing) ListedGoneFor(id string) (time.Duration, bool) { d, ok := l[id]; return d, ok }

// leaseFleet is a group of instances with sender leases on one store.
type leaseFleet struct {
	*network
	store  *fakeStore
	policy trconfig.FleetPolicy
	gone   listing
	links  map[*SenderLease]*storeLink
	groups map[*SenderLease]*Group
}

func newLeaseFleet(t testing.TB, seed uint64) *leaseFleet {
	n := newNetwork(t, seed)
	return &leaseFleet{
		network: n,
		store:   &fakeStore{net: n, skew: 42 * time.Second},
		policy:  trconfig.BuiltIn().Fleet,
		gone:    listing{},
		links:   make(map[*SenderLease]*storeLink),
		groups:  make(map[*SenderLease]*Group),
	}
}

func (f *leaseFleet) lease(id string) *SenderLease {
	g := f.add(id, "a0", "b1")
	link := &storeLink{fakeStore: f.store, clock: g.cfg.StoreClock}
	l := NewSenderLease(LeaseConfig{
		Group: "main", Self: g.Self, Clock: f.clock, Seed: f.rnd.Uint64(), Store: link, StoreClock: link.clock,
		Documents: g.Documents(), Listing: f.gone, Policy: func() trconfig.FleetPolicy { return f.policy },
		Changed: func(index int, epoch uint64) {
			g.Update(func(m *Member) { m.SenderIndex, m.SenderEpoch = index, epoch })
		},
	})
	g.Subscribe(l.ObserveMembers)
	l.Start()
	f.links[l], f.groups[l] = link, g
	return l
}

// kill ends a process without a release.
func (f *leaseFleet) kill(l *SenderLease) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	g := f.groups[l]
	delete(f.network.groups, g.Self().ID)
	g.cancel()
}

func (f *leaseFleet) index(l *SenderLease) int {
	i, _, ok := l.Sender(f.clock.Now())
	if !ok {
		return -1
	}
	return i
}

// release runs Release while the clock moves.
func (f *leaseFleet) release(l *SenderLease) error {
	done := make(chan error, 1)
	go func() { done <- l.Release(context.Background()) }()
	for {
		select {
		case err := <-done:
			return err
		default:
			f.clock.Advance(10 * time.Millisecond)
			runtime.Gosched()
		}
	}
}

// Guards against two instances with one index, and against more than one store
// call per renewal.
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

// Guards against a lost answer that leaves an index claimed and unused, or that
// extends the lease from the time of the answer.
func TestLeaseLostAnswer(t *testing.T) {
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

// Guards against an index that is reused while its holder may still send, for
// each of the rules of reuse.
func TestLeaseReuse(t *testing.T) {
	for _, tc := range []struct {
		name      string
		release   bool
		leave     bool
		goneFor   time.Duration // the list shows the holder if 0
		goneMs    int64
		wait      time.Duration
		reused    bool
		reclaimed bool
	}{
		{"clean release", true, true, 0, 120_000, 12 * time.Second, true, false},
		{"clean release, killed at once", true, false, 0, 120_000, 120 * time.Second, true, false},
		{"killed and listed", false, false, 0, 120_000, 7_100 * time.Second, false, false},
		{"killed, quarantine over", false, false, 0, 120_000, 7_230 * time.Second, true, true},
		{"killed, gone too short", false, false, 119 * time.Second, 120_000, 600 * time.Second, false, false},
		{"killed, gone, lapse not over", false, false, time.Hour, 120_000, 45 * time.Second, false, false},
		{"killed, gone, lapse over", false, false, time.Hour, 120_000, 90 * time.Second, true, true},
		{"killed, early reuse disabled", false, false, time.Hour, 0, 600 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newLeaseFleet(t, 3)
			f.policy.SenderIndexes = 1
			f.policy.SenderGoneMs = tc.goneMs
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
				f.gone["a0"] = tc.goneFor
			}
			f.clock.Advance(tc.wait)
			assert.Equal(t, f.index(b) == 0, tc.reused)
			if !tc.reused {
				return
			}
			e := b.Table().Entry(0)
			assert.Equal(t, e.Epoch, uint64(2))
			assert.Equal(t, e.Reclaimed, tc.reclaimed)
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

// Guards against a lease that ends in an hour of store outage, or that outlives
// its quarantine on the holder's clock.
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

// Guards against a frozen holder that goes on with an index that was reused.
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
	f.gone["a0"] = time.Hour
	f.clock.Advance(2 * time.Minute)
	assert.Equal(t, f.index(b), 0)
	assert.Equal(t, f.index(a), 0)
	f.cut = nil
	f.clock.Advance(20 * time.Second)
	assert.Equal(t, f.index(a), -1)
	assert.Equal(t, a.Stats().Yields, uint64(1))
	assert.Equal(t, f.index(b), 0)
}

// Guards against a claim shown only by a member's entry being ignored.
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

// Guards against a restarted process waiting for the quarantine of its own
// index, and against its predecessor taking the index back.
func TestLeaseRestartWithSameID(t *testing.T) {
	f := newLeaseFleet(t, 7)
	f.policy.SenderIndexes = 1
	old := f.lease("a0")
	f.clock.Advance(15 * time.Second)
	fresh := f.lease("a0")
	f.clock.Advance(60 * time.Second)
	assert.Equal(t, f.index(fresh), 0)
	assert.Equal(t, f.index(old), -1)
	e := fresh.Table().Entry(0)
	assert.Assert(t, e.Reclaimed && e.Epoch == 2 && e.Incarnation == fresh.cfg.Self().Incarnation)
}

// Guards against a history that misses a change of holders within the
// retention, or that claims knowledge of the time before the process started.
func TestLeaseHomeHistory(t *testing.T) {
	f := newLeaseFleet(t, 8)
	a := f.lease("a0")
	f.clock.Advance(15 * time.Minute)
	b := f.lease("b1")
	f.clock.Advance(5 * time.Minute)
	start := f.clock.Now().Add(-10 * time.Minute)
	history := a.HomeHistory()
	assert.Equal(t, len(history), 2)
	assert.Assert(t, !history[0].Seen.After(start))
	assert.Equal(t, len(history[1].Table.Entries), 2)
	assert.Assert(t, b.HomeHistory()[0].Seen.After(start))
	f.clock.Advance(10 * time.Minute)
	assert.Equal(t, len(a.HomeHistory()), 1)
	since, ok := a.HeldSince(f.clock.Now())
	assert.Assert(t, ok && f.clock.Now().Sub(since) > 29*time.Minute)
}

// Guards against an index outside a reduced number of indexes staying in use.
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

// Guards against an estimate of the store's time whose error exceeds the
// uncertainty it states.
func TestStoreClock(t *testing.T) {
	base := time.Unix(1_800_000_000, 0)
	for _, ppm := range []int64{-200, 0, 200} {
		var c, peer StoreClock
		store := func(local time.Time) time.Time {
			d := local.Sub(base)
			return base.Add(time.Minute + d + d*time.Duration(ppm)/1_000_000)
		}
		_, _, ok := c.Estimate(base)
		assert.Assert(t, !ok)
		var last time.Duration
		for i, rtt := range []time.Duration{40, 4, 400, 2} {
			sent := base.Add(time.Duration(i) * time.Minute)
			received := sent.Add(rtt * time.Millisecond)
			// The store reads its clock at the very end of the round trip.
			c.Observe(store(received).Truncate(time.Millisecond), sent, received)
			est, unc, _ := c.Estimate(received)
			ms := est.UnixMilli()
			peer.ObservePeer(ms, unc.Milliseconds()+1, sent, received)
			for _, later := range []time.Duration{0, time.Minute, time.Hour} {
				for _, clock := range []*StoreClock{&c, &peer} {
					got, unc, ok := clock.Estimate(received.Add(later))
					diff := got.Sub(store(received.Add(later))).Abs()
					assert.Assert(t, ok && diff <= unc, "%d ppm after %v: error %v, uncertainty %v", ppm, later, diff, unc)
					last = unc
				}
			}
		}
		assert.Assert(t, last < time.Second)
		now := base.Add(10 * time.Minute)
		_, before, _ := c.Estimate(now)
		c.ObservePeer(store(now).Add(-time.Hour).UnixMilli(), 1, now, now)
		_, wide, _ := c.Estimate(now)
		assert.Assert(t, wide > time.Hour && before < time.Second)
		c.Observe(store(now), now, now)
		_, after, _ := c.Estimate(now)
		assert.Equal(t, after, clockRounding)
	}
}

// Guards against a large sender table that is spread with every renewal, which
// costs every member bytes with the square of the holders, and against renewals
// that no longer succeed or changes of holders that are no longer spread.
func TestLeaseLargeTableSpreadsHoldersOnly(t *testing.T) {
	const holders, periods = 20, 6
	f := newLeaseFleet(t, 11)
	f.policy.SenderIndexes = holders
	var leases []*SenderLease
	for i := range holders {
		leases = append(leases, f.lease(fmt.Sprintf("%c%d", "abc"[i%3], i)))
	}
	held := func() (n int) {
		for _, l := range leases {
			n += boolInt(f.index(l) >= 0)
		}
		return n
	}
	assert.Assert(t, f.until(60, func() bool { return held() == holders }) >= 0)
	f.clock.Advance(30 * time.Second)
	documents := f.groups[leases[0]].Documents()
	before, _ := documents.Get(DocumentSenders)
	calls, version := f.store.calls, f.store.entry.Version
	f.clock.Advance(periods * 10 * time.Second)
	after, _ := documents.Get(DocumentSenders)
	assert.Equal(t, after.Revision, before.Revision)
	assert.Equal(t, held(), holders)
	renewals := f.store.entry.Version - version
	assert.Assert(t, renewals >= holders*(periods-1), "%d renewals", renewals)
	assert.Assert(t, f.store.calls-calls <= 2*holders*(periods+1), "%d calls", f.store.calls-calls)

	assert.NilError(t, f.release(leases[3]))
	f.clock.Advance(5 * time.Second)
	doc, _ := documents.Get(DocumentSenders)
	table, err := DecodeSenderTable(doc.Body, doc.Revision)
	assert.NilError(t, err)
	assert.Equal(t, boolInt(table.EntryOf(leases[3].cfg.Self().ID).Released), 1)
}
