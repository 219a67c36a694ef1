package trmember

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

const (
	// quarantineMargin is subtracted from the quarantine on the holder's own
	// clock. It covers 200 ppm of drift over 2 h (1.5 s) and the time between a
	// check of the lease and the socket write.
	quarantineMargin = 30 * time.Second
	// renewJitter spreads renewals over this share of the period, both ways.
	renewJitter = 0.1
	// conflictDelay is the longest first wait after a conflict. Twelve
	// instances that claim at once write one after the other.
	conflictDelay = 100 * time.Millisecond
	// spreadRenewals is the size of a table up to which renewals are spread. Each
	// holder renews every 10 s, so the bytes that every member receives grow with
	// the square of the table: 27 holders cost some 20 KB/s. In a larger table
	// only changes of holders are spread. A renewal there mostly meets a conflict,
	// which brings the present table, and succeeds at once on it.
	spreadRenewals = 16
	// earlySpacing is the mean time between the early renewals that acknowledge a
	// claim. A write of the table takes milliseconds.
	earlySpacing = 50 * time.Millisecond
	// failureDelay is the longest first wait after a failed call.
	failureDelay = time.Second
	// storeTimeout ends one call to the store.
	storeTimeout = 2 * time.Second
	// waitsPerRead is the number of steps without a free index after which the
	// table is read, about once a minute.
	waitsPerRead = 10
	// maxHistory bounds the tables kept by HomeHistory.
	maxHistory = 64
	// maxPending bounds the writes without an answer that are remembered.
	maxPending = 16
)

// SenderKeyPrefix precedes the name of the group in the table's key.
const SenderKeyPrefix = "senders/"

var (
	errNoStoreTime = errors.New("the store's time is unknown")
	errRunning     = errors.New("a call to the store is running")
)

// Store is the part of the platform's store that the lease needs. Get returns an
// entry with Version 0 or an error with a method NotFound() bool for an absent
// key. Put returns an error with a method Conflict() *trwire.Entry if the key
// has another version; the entry may be nil. Any other error of Put means that
// the write may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	Put(ctx context.Context, key string, r *trwire.PutRequest) (*trwire.Entry, error)
}

// ConflictOf reports whether err is a conflict and returns the present entry if
// the store gave it.
func ConflictOf(err error) (present *trwire.Entry, conflict bool) {
	var c interface{ Conflict() *trwire.Entry }
	if !errors.As(err, &c) {
		return nil, false
	}
	return c.Conflict(), true
}

// IsNotFound reports whether err says that a key is absent.
func IsNotFound(err error) bool {
	var n interface{ NotFound() bool }
	return errors.As(err, &n) && n.NotFound()
}

// InstanceListing tells what the platform's list says of an instance.
type InstanceListing interface {
	// ListedGoneFor returns for how long the list has been read without showing
	// the instance, and false if it shows it or was not read.
	ListedGoneFor(instanceID string) (time.Duration, bool)
}

// LeaseConfig holds the settings of a SenderLease.
type LeaseConfig struct {
	Group      string // name of the group in the key
	Self       func() Member
	Clock      trclock.Clock
	Seed       uint64
	Store      Store
	StoreClock *StoreClock
	Documents  *Documents // spreads the table; nil if not used
	Listing    InstanceListing
	Policy     func() trconfig.FleetPolicy
	Changed    func(index int, epoch uint64) // own index or -1; nil if not used
}

// SenderLease claims a sender index in the store and keeps it renewed. One write
// per renewal is the only call in steady state: the version to write on comes
// from the previous write or from the document "senders".
type SenderLease struct {
	cfg  LeaseConfig
	key  string
	held atomic.Pointer[heldIndex]

	mu        sync.Mutex
	rnd       *rand.Rand
	table     *SenderTable // newest known, nil if none
	history   []SeenTable
	pending   []attempt // own writes whose answer may have been lost
	failures  int
	conflicts int
	waits     int // steps without a free index; used by step only
	stop      func()
	stopped   bool
	running   bool // a step is in a store call
	early     bool // an early renewal is scheduled
	stats     LeaseStats
}

// LeaseStats counts the work of a SenderLease.
type LeaseStats struct {
	Gets, Puts, Conflicts, Failures, Claims, Yields, StaleTables uint64
}

// heldIndex is the own lease. It is immutable.
type heldIndex struct {
	index int
	epoch uint64
	sent  time.Time // just before the last renewal was sent
	since time.Time // when the index was first held
}

// attempt is a write of the own entry.
type attempt struct {
	index     int
	epoch     uint64
	renewedMs int64
	sent      time.Time
}

// SeenTable is a sender table with the local time from which it was known.
type SeenTable struct {
	Table *SenderTable
	Seen  time.Time
}

// NewSenderLease returns a lease that is not held.
func NewSenderLease(cfg LeaseConfig) *SenderLease {
	return &SenderLease{cfg: cfg, key: SenderKeyPrefix + cfg.Group, rnd: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// Start begins to claim and renew. The table is also taken from Documents.
func (l *SenderLease) Start() {
	if l.cfg.Documents != nil {
		l.cfg.Documents.Subscribe(DocumentSenders, func(doc Document) {
			if t, err := DecodeSenderTable(doc.Body, doc.Revision); err == nil {
				l.Observe(t)
			}
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule(0)
}

// Sender returns the own sender index and the number of indexes. It returns ok
// false when no index is held or the lease may be in use by another instance.
func (l *SenderLease) Sender(now time.Time) (index, count int, ok bool) {
	p := l.cfg.Policy()
	h := l.held.Load()
	if h == nil || h.index >= p.SenderIndexes || now.Sub(h.sent) >= validity(p) {
		return -1, p.SenderIndexes, false
	}
	return h.index, p.SenderIndexes, true
}

// LastRenewal returns when the last successful renewal was sent.
func (l *SenderLease) LastRenewal() (sent time.Time, ok bool) {
	if h := l.held.Load(); h != nil {
		return h.sent, true
	}
	return time.Time{}, false
}

// EndedInContact reports whether the holder of entry has ended, by the
// platform's list, before it could run requests without the store.
func (l *SenderLease) EndedInContact(entry SenderEntry) bool {
	now, unc, ok := l.cfg.StoreClock.Estimate(l.cfg.Clock.Now())
	return ok && l.endedInContact(entry, now.Add(unc).UnixMilli()+1, l.cfg.Policy())
}

// Uncertain reports whether an earlier home of requestID may have run it without
// a claim in the store: an index that ranks at least as high as the home's was
// taken over within the retention from a process that may have lost the store
// before it ended.
func (l *SenderLease) Uncertain(requestID string) bool {
	t := l.Table()
	if t == nil {
		return false
	}
	now, unc, ok := l.cfg.StoreClock.Estimate(l.cfg.Clock.Now())
	if !ok {
		return true
	}
	oldestMs := now.Add(-unc).UnixMilli() - l.cfg.Policy().OnceRetentionMs
	return t.uncertain(requestID, oldestMs)
}

// HeldSince returns the time from which the own index has been held.
func (l *SenderLease) HeldSince(now time.Time) (since time.Time, ok bool) {
	if _, _, ok := l.Sender(now); !ok {
		return time.Time{}, false
	}
	if h := l.held.Load(); h != nil {
		return h.since, true
	}
	return time.Time{}, false
}

func validity(p trconfig.FleetPolicy) time.Duration {
	return milliseconds(p.SenderQuarantineMs) - quarantineMargin
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Table returns the newest known table, or nil. It must not be changed.
func (l *SenderLease) Table() *SenderTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// Stats returns counts since the start.
func (l *SenderLease) Stats() LeaseStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Home returns the entry of the home of requestID in the newest table.
func (l *SenderLease) Home(requestID string) (SenderEntry, bool) {
	t := l.Table()
	if t == nil {
		return SenderEntry{}, false
	}
	return t.Home(requestID)
}

// HomeHistory returns the tables of the last OnceRetentionMs that differ in
// their holders, oldest first. The first one was in force at the start of that
// time, unless its Seen is later: then nothing is known of the time before.
func (l *SenderLease) HomeHistory() []SeenTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimHistory(l.cfg.Clock.Now())
	return slices.Clone(l.history)
}

// Observe takes over a table that was read elsewhere. Older tables are ignored.
func (l *SenderLease) Observe(t *SenderTable) {
	l.mu.Lock()
	change := l.adopt(t)
	if !l.running && !l.early && l.claimUnseen() {
		l.early = true
		l.schedule(l.earlyDelay())
	}
	l.mu.Unlock()
	change()
}

// claimUnseen reports whether the table has a claim that this process has not
// yet acknowledged with a renewal. Homes of identifiers move only then. The
// caller holds l.mu.
func (l *SenderLease) claimUnseen() bool {
	own := l.ownEntry()
	if own == nil || own.Released {
		return false
	}
	return slices.ContainsFunc(l.table.Entries, func(e SenderEntry) bool {
		return !e.Released && e.ClaimedRevision > own.RenewedRevision
	})
}

// earlyDelay returns the time to an early renewal. It grows with the number of
// holders, so that their renewals do not conflict. The caller holds l.mu.
func (l *SenderLease) earlyDelay() time.Duration {
	return time.Duration(l.rnd.Int64N(int64(len(l.table.Entries)) * int64(earlySpacing)))
}

// ObserveMembers gives up the own index if a member shows it with a newer epoch.
func (l *SenderLease) ObserveMembers(members []Member) {
	l.mu.Lock()
	change := func() {}
	self := l.cfg.Self().ID
	h := l.held.Load()
	for i := range members {
		m := &members[i]
		if h != nil && m.ID != self && m.Present() && m.SenderIndex == h.index && m.SenderEpoch > h.epoch {
			change = l.yield()
			break
		}
	}
	l.mu.Unlock()
	change()
}

// Release gives the index up cleanly and stops until Resume. No work of this process may be
// running at a leaf. An error means that the index may stay blocked until it is
// reclaimed.
func (l *SenderLease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.stopped = true
	if l.stop != nil {
		l.stop()
	}
	change := l.drop()
	l.mu.Unlock()
	change()
	for {
		l.mu.Lock()
		own, base := l.ownEntry(), l.table
		running, unknown := l.running, len(l.pending) > 0
		l.mu.Unlock()
		var err error
		switch {
		case running:
			err = errRunning
		case own == nil && unknown:
			// A claim whose answer was lost may have taken effect.
			if err = l.get(ctx); err == nil {
				l.mu.Lock()
				l.pending = nil
				l.mu.Unlock()
				continue
			}
		case own == nil || own.Released:
			return nil
		default:
			released := *own
			released.Released = true
			err = l.put(ctx, base, released, nil)
		}
		if err == nil {
			return nil
		}
		if trclock.Sleep(ctx, l.cfg.Clock, l.jitter(conflictDelay)) != nil {
			return errors.Wrap(err, "release sender index")
		}
	}
}

// Resume claims an index again after a Release.
func (l *SenderLease) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = false
	if !l.running {
		l.schedule(0)
	}
}

// ownEntry returns this process's entry in the newest table. The caller holds
// l.mu.
func (l *SenderLease) ownEntry() *SenderEntry {
	if l.table == nil {
		return nil
	}
	self := l.cfg.Self()
	e := l.table.EntryOf(self.ID)
	if e == nil || e.Incarnation != self.Incarnation {
		return nil
	}
	return e
}

// schedule runs the next step after delay. The caller holds l.mu.
func (l *SenderLease) schedule(delay time.Duration) {
	if l.stop != nil {
		l.stop()
	}
	if !l.stopped {
		l.stop = l.cfg.Clock.After(delay, func(time.Time) { l.step() })
	}
}

// step makes one call to the store and schedules the next step.
func (l *SenderLease) step() {
	l.mu.Lock()
	if l.running || l.stopped {
		l.mu.Unlock()
		return
	}
	l.running, l.early = true, false
	base := l.table
	l.mu.Unlock()

	ctx, cancel := withTimeout(context.Background(), l.cfg.Clock, storeTimeout)
	delay := l.call(ctx, base)
	cancel()

	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	if l.failures == 0 && l.claimUnseen() {
		delay = min(delay, l.earlyDelay())
	}
	l.schedule(delay)
}

// call claims or renews on the table base, or reads the table if none is known,
// and returns the time to the next step.
func (l *SenderLease) call(ctx context.Context, base *SenderTable) time.Duration {
	if base == nil {
		if err := l.get(ctx); err != nil {
			return l.failed(err)
		}
		return 0
	}
	// The entry and the attempt carry the same reading of the clock. Were the
	// process paused between two readings, its own lease would seem longer than
	// the store's entry allows.
	now := l.cfg.Clock.Now()
	if _, _, ok := l.cfg.StoreClock.Estimate(now); !ok {
		// The reply brings the store's time.
		return l.failed(cmp.Or(l.get(ctx), errNoStoreTime))
	}
	entry, ok := l.propose(base, now)
	if !ok {
		// The release of an index may not have been spread.
		if l.waits++; l.waits%waitsPerRead == 0 {
			if err := l.get(ctx); err != nil {
				return l.failed(err)
			}
		}
		return l.jitter(milliseconds(l.cfg.Policy().SenderRenewMs))
	}
	if err := l.put(ctx, base, entry, &attempt{entry.Index, entry.Epoch, entry.RenewedMs, now}); err != nil {
		return l.failed(err)
	}
	l.mu.Lock()
	l.failures, l.conflicts = 0, 0
	l.mu.Unlock()
	return l.renewDelay()
}

func (l *SenderLease) renewDelay() time.Duration {
	period := float64(l.cfg.Policy().SenderRenewMs) * float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(period * (1 + renewJitter*(2*l.rnd.Float64()-1)))
}

// jitter returns a random part of limit, at least a tenth.
func (l *SenderLease) jitter(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit/10 + time.Duration(l.rnd.Int64N(int64(limit)))
}

// failed counts an error and returns the time to wait before the next try.
func (l *SenderLease) failed(err error) time.Duration {
	_, conflict := ConflictOf(err)
	limit := milliseconds(l.cfg.Policy().SenderRenewMs)
	// A conflict with an own write that in fact took effect needs no repetition.
	if h := l.held.Load(); conflict && h != nil && l.cfg.Clock.Now().Sub(h.sent) < limit/2 {
		return l.renewDelay()
	}
	l.mu.Lock()
	var wait time.Duration
	if conflict {
		l.conflicts++
		if l.conflicts%2 == 1 && l.table != nil && len(l.table.Entries) > spreadRenewals {
			l.mu.Unlock()
			return 0 // the table that the conflict brought is stale after a wait
		}
		wait = conflictDelay << min(l.conflicts-1, 5)
	} else {
		l.stats.Failures++
		l.failures++
		wait = failureDelay << min(l.failures-1, 10)
	}
	l.mu.Unlock()
	return l.jitter(min(wait, limit))
}

func (l *SenderLease) get(ctx context.Context) error {
	l.count(func(s *LeaseStats) { s.Gets++ })
	entry, err := l.cfg.Store.Get(ctx, l.key)
	if IsNotFound(err) {
		entry, err = &trwire.Entry{Key: l.key}, nil
	}
	if err != nil {
		return errors.Wrap(err, "read sender table")
	}
	return l.adoptEntry(entry)
}

// put writes base with entry replaced. On a conflict it takes over the present
// table, which also shows whether an earlier write without an answer took
// effect, and returns the conflict.
func (l *SenderLease) put(ctx context.Context, base *SenderTable, entry SenderEntry, try *attempt) error {
	next := base.with(entry)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode sender table")
	}
	l.mu.Lock()
	l.stats.Puts++
	if try != nil {
		l.pending = append(l.pending, *try)
		l.pending = l.pending[max(0, len(l.pending)-maxPending):]
	}
	l.mu.Unlock()
	written, err := l.cfg.Store.Put(ctx, l.key, &trwire.PutRequest{Value: value, PrevVersion: base.Revision})
	if err == nil {
		next.Revision = written.Version
		l.publish(next, value)
		return nil
	}
	present, conflict := ConflictOf(err)
	if !conflict {
		return errors.Wrap(err, "write sender table")
	}
	l.count(func(s *LeaseStats) { s.Conflicts++ })
	if present == nil {
		return cmp.Or(l.get(ctx), err)
	}
	return cmp.Or(l.adoptEntry(present), err)
}

func (l *SenderLease) count(f func(*LeaseStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}

// adoptEntry takes over the table as the store holds it.
func (l *SenderLease) adoptEntry(entry *trwire.Entry) error {
	t, err := DecodeSenderTable(entry.Value, entry.Version)
	if err != nil {
		return err
	}
	l.publish(t, entry.Value)
	return nil
}

// publish takes over a table read from or written to the store and spreads it.
func (l *SenderLease) publish(t *SenderTable, value []byte) {
	old := l.Table()
	l.Observe(t)
	if old != nil && len(t.Entries) > spreadRenewals && sameHomes(old, t) {
		return
	}
	if l.cfg.Documents != nil && t.Revision > 0 {
		l.cfg.Documents.Set(Document{DocumentSenders, t.Revision, value})
	}
}

// adopt replaces the table by a newer one and compares the own lease with it.
// The returned function must be called without the lock. The caller holds l.mu.
func (l *SenderLease) adopt(t *SenderTable) (change func()) {
	if l.table != nil && t.Revision <= l.table.Revision {
		if t.Revision < l.table.Revision {
			l.stats.StaleTables++
		}
		return func() {}
	}
	l.table = t
	l.remember(t)
	change = func() {}
	if h := l.held.Load(); h != nil {
		switch e := t.Entry(h.index); {
		case e != nil && e.Epoch > h.epoch:
			change = l.yield()
		case e != nil && e.Released:
			change = l.drop()
		}
	}
	e := l.ownEntry()
	if e == nil || e.Released || l.stopped {
		return change
	}
	i := slices.IndexFunc(l.pending, func(a attempt) bool {
		return a.index == e.Index && a.epoch == e.Epoch && a.renewedMs == e.RenewedMs
	})
	if i < 0 {
		return change
	}
	sent := l.pending[i].sent
	l.pending = slices.Clone(l.pending[i+1:])
	if h := l.held.Load(); h != nil && h.index == e.Index && h.epoch == e.Epoch {
		l.held.Store(&heldIndex{h.index, h.epoch, sent, h.since})
		return change
	}
	l.stats.Claims++
	l.held.Store(&heldIndex{e.Index, e.Epoch, sent, sent})
	return l.changed(e.Index, e.Epoch)
}

// yield gives up the own index to a newer holder. The caller holds l.mu.
func (l *SenderLease) yield() (change func()) {
	l.stats.Yields++
	return l.drop()
}

func (l *SenderLease) drop() (change func()) {
	if l.held.Swap(nil) == nil {
		return func() {}
	}
	return l.changed(-1, 0)
}

func (l *SenderLease) changed(index int, epoch uint64) func() {
	return func() {
		if l.cfg.Changed != nil {
			l.cfg.Changed(index, epoch)
		}
	}
}

// remember adds t to the history if its homes differ from the last one. The
// caller holds l.mu.
func (l *SenderLease) remember(t *SenderTable) {
	now := l.cfg.Clock.Now()
	if n := len(l.history); n == 0 || !sameHomes(l.history[n-1].Table, t) {
		l.history = append(l.history, SeenTable{t, now})
	}
	l.trimHistory(now)
}

// trimHistory drops tables that were followed by another one before the
// retention time began. The caller holds l.mu.
func (l *SenderLease) trimHistory(now time.Time) {
	start := now.Add(-milliseconds(l.cfg.Policy().OnceRetentionMs))
	for len(l.history) > 1 && (!l.history[1].Seen.After(start) || len(l.history) > maxHistory) {
		l.history = l.history[1:]
	}
}

// sameHomes reports whether every identifier has the same home in both tables.
func sameHomes(a, b *SenderTable) bool {
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y SenderEntry) bool {
		return x.Index == y.Index && x.InstanceID == y.InstanceID && x.Incarnation == y.Incarnation &&
			x.Epoch == y.Epoch && x.Released == y.Released && a.seenClaims(&x) == b.seenClaims(&y)
	})
}

// with returns a copy of t with entry replaced or added.
func (t *SenderTable) with(entry SenderEntry) *SenderTable {
	next := &SenderTable{Revision: t.Revision + 1, Entries: slices.Clone(t.Entries)}
	i, found := slices.BinarySearchFunc(next.Entries, entry.Index, func(e SenderEntry, index int) int {
		return cmp.Compare(e.Index, index)
	})
	if found {
		next.Entries[i] = entry
	} else {
		next.Entries = slices.Insert(next.Entries, i, entry)
	}
	return next
}

// propose returns the entry that this process should write on the table, or
// false if it has to wait.
func (l *SenderLease) propose(t *SenderTable, local time.Time) (SenderEntry, bool) {
	now, unc, ok := l.cfg.StoreClock.Estimate(local)
	if !ok {
		return SenderEntry{}, false
	}
	self := l.cfg.Self()
	// The latest store time at which this renewal can have been sent, rounded up.
	latest := now.Add(unc).UnixMilli() + 1
	earliest := now.Add(-unc).UnixMilli()
	policy := l.cfg.Policy()
	own := t.EntryOf(self.ID)
	if own != nil && own.Incarnation > self.Incarnation && !own.Released {
		return SenderEntry{}, false // a newer process has this ID
	}
	if own != nil && own.Incarnation == self.Incarnation && !own.Released {
		renewed := *own
		renewed.Zone, renewed.PeerAddr = self.Zone, self.PeerAddr
		renewed.RenewedMs = max(latest, own.RenewedMs)
		renewed.RenewedRevision = t.Revision + 1
		// An index that a smaller SenderIndexes excludes is given up; the next
		// step claims another one.
		renewed.Released = own.Index >= policy.SenderIndexes
		return renewed, true
	}
	var free SenderEntry
	if own != nil && !own.Released && own.Index < policy.SenderIndexes {
		free, ok = *own, true
	} else {
		free, ok = l.freeIndex(t, policy, earliest)
	}
	if !ok {
		return SenderEntry{}, false
	}
	claim := SenderEntry{
		Index: free.Index, InstanceID: self.ID, Incarnation: self.Incarnation, Zone: self.Zone, PeerAddr: self.PeerAddr,
		Epoch: free.Epoch + 1, RenewedMs: latest, ClaimedRevision: t.Revision + 1, RenewedRevision: t.Revision + 1, Reclaimed: free.Reclaimed, ReclaimedMs: free.ReclaimedMs,
	}
	if free.InstanceID != "" && !free.Released && !l.endedInContact(free, latest, policy) {
		claim.Reclaimed, claim.ReclaimedMs = true, latest
	}
	return claim, true
}

// endedInContact reports whether the former holder ended before it could run
// requests without the store. Then all that it ran is claimed in the store, and
// its identifiers need not answer OutcomeUnknown. A restarted instance's former
// process has ended by now; another instance ended at the latest when the
// platform's list stopped showing it.
func (l *SenderLease) endedInContact(former SenderEntry, latestMs int64, p trconfig.FleetPolicy) bool {
	endedMs := latestMs
	if former.InstanceID != l.cfg.Self().ID {
		if l.cfg.Listing == nil {
			return false
		}
		goneFor, gone := l.cfg.Listing.ListedGoneFor(former.InstanceID)
		if !gone {
			return false
		}
		endedMs -= goneFor.Milliseconds()
	}
	return endedMs-former.RenewedMs < p.OnceMemoryMs
}

// freeIndex returns the entry of the best index that may be claimed: an unused
// one, a released one, one past its quarantine, one whose instance is gone. The
// order avoids indexes taken over without a clean release, since their
// identifiers answer OutcomeUnknown for a time.
func (l *SenderLease) freeIndex(t *SenderTable, p trconfig.FleetPolicy, earliestMs int64) (SenderEntry, bool) {
	best, bestRank := SenderEntry{}, 0
	offer := func(e SenderEntry, rank int) {
		if bestRank == 0 || rank < bestRank {
			best, bestRank = e, rank
		}
	}
	for index := range min(p.SenderIndexes, MaxSenderIndexes) {
		e := t.Entry(index)
		switch {
		case e == nil:
			offer(SenderEntry{Index: index}, 1)
		case e.Released:
			offer(*e, 2)
		case earliestMs-e.RenewedMs >= p.SenderQuarantineMs:
			offer(*e, 3)
		case earliestMs-e.RenewedMs >= p.SenderLapseMs && l.gone(e.InstanceID, p):
			offer(*e, 4)
		}
	}
	return best, bestRank > 0
}

func (l *SenderLease) gone(instanceID string, p trconfig.FleetPolicy) bool {
	if p.SenderGoneMs <= 0 || l.cfg.Listing == nil {
		return false
	}
	d, ok := l.cfg.Listing.ListedGoneFor(instanceID)
	return ok && d >= milliseconds(p.SenderGoneMs)
}
