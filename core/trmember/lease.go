package trmember

import (
	"context"
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
	// quarantineMargin is how long before the end of the quarantine, by its own
	// clock, a holder stops using its index. It covers 200 ppm of drift over 2 h
	// (1.5 s) and the time between the check of the lease and the write of the
	// sub-query that relies on it.
	quarantineMargin = 30 * time.Second
	// renewJitter is the random variation of the renewal period, as a fraction of
	// it in either direction.
	renewJitter = 0.1
	// conflictDelay is the base of the backoff after a conflict. Twelve instances
	// that claim at the same time write one after the other.
	conflictDelay = 100 * time.Millisecond
	// maxDisseminatedEntries is the size of a table up to which renewals are
	// disseminated. Each holder renews every 10 s, so the bytes that every member
	// receives grow with the square of the table's size: 27 holders cost about
	// 20 KB/s. Of a larger table, only changes of holders are disseminated. Renewals
	// of it mostly meet a conflict, which returns the current table, and then succeed
	// when repeated at once on that table.
	maxDisseminatedEntries = 16
	// earlySpacing is the mean time between early renewals, by which holders show
	// that they have seen a new claim (see hasUnacknowledgedClaim). Writing the
	// table takes milliseconds.
	earlySpacing = 50 * time.Millisecond
	// failureDelay is the base of the backoff after a failed call.
	failureDelay = time.Second
	// storeTimeout limits one step of the lease, usually one store call.
	storeTimeout = 2 * time.Second
	// idleStepsPerRead is the number of steps without a free index after which the
	// table is read again, about once a minute.
	idleStepsPerRead = 10
	// maxHistory limits the number of tables kept for HomeHistory.
	maxHistory = 64
	// maxPending limits the number of writes kept until their result is known.
	maxPending = 16
)

// SenderKeyPrefix is the part of the sender table's key before the group's name.
const SenderKeyPrefix = "senders/"

var (
	errNoStoreTime = errors.New("store time is unknown")
	errCallRunning = errors.New("a store call is in progress")
)

// Store is the part of the platform's store that the lease needs. For a missing
// key, Get returns an entry with Version 0 or an error that has a method
// NotFound() bool. If the key has another version than PrevVersion, Put returns an
// error that has a method Conflict() *trwire.Entry, whose result may be nil. Any
// other error of Put means that the write may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	Put(ctx context.Context, key string, r *trwire.PutRequest) (*trwire.Entry, error)
}

// ConflictOf reports whether err is a conflict and returns the current entry if the
// store provided it.
func ConflictOf(err error) (current *trwire.Entry, conflict bool) {
	var c interface{ Conflict() *trwire.Entry }
	if !errors.As(err, &c) {
		return nil, false
	}
	return c.Conflict(), true
}

// IsNotFound reports whether err means that a key does not exist.
func IsNotFound(err error) bool {
	var n interface{ NotFound() bool }
	return errors.As(err, &n) && n.NotFound()
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// AbsentFor returns for how long the list has been read without containing the
	// instance, and false if it contains the instance or has not been read.
	AbsentFor(instanceID string) (time.Duration, bool)
}

// LeaseConfig holds the settings of a SenderLease.
type LeaseConfig struct {
	Group      string // name of the group in the table's key
	Self       func() Member
	Clock      trclock.Clock
	Seed       uint64
	Store      Store
	StoreClock *StoreClock
	Documents  *Documents // disseminates the table; nil if not used
	Instances  InstanceList
	Policy     func() trconfig.FleetPolicy
	Changed    func(index int, epoch uint64) // called with the index held, or -1; nil if not used
}

// SenderLease claims a sender index in the store and keeps it renewed. An instance
// sends sub-queries only while it holds a sender index. The index also determines its
// turns at cold leafs and the request IDs whose home it is: the instance that runs
// requests with these IDs, see SenderTable.Home.
//
// In steady state, the only store call is one write per renewal: the table and its
// version, which the write replaces, are known from the previous write or from the
// document "senders".
type SenderLease struct {
	cfg  LeaseConfig
	key  string
	held atomic.Pointer[heldIndex]

	mu         sync.Mutex
	rnd        *rand.Rand
	table      *SenderTable // newest known, nil if none
	history    []SeenTable
	pending    []pendingWrite // own writes whose reply may have been lost
	failures   int
	conflicts  int
	idleSteps  int // steps without a free index; used by step only
	cancelStep func()
	stopped    bool
	running    bool // a step is in progress
	early      bool // an early renewal is scheduled
	stats      LeaseStats
}

// LeaseStats holds counters of a SenderLease. Yields counts indexes given up because
// another process had claimed them, StaleTables counts received tables older than the
// one known.
type LeaseStats struct {
	Gets, Puts, Conflicts, Failures, Claims, Yields, StaleTables uint64
}

// heldIndex is the index that this process holds. It is immutable.
type heldIndex struct {
	index int
	epoch uint64
	sent  time.Time // clock reading just before the last renewal was sent
	since time.Time // when the index was first held
}

// pendingWrite is a write of this process's entry that has not been seen in a table.
type pendingWrite struct {
	index     int
	epoch     uint64
	renewedMs int64
	sent      time.Time
}

// SeenTable is a sender table and the local time at which it became known.
type SeenTable struct {
	Table *SenderTable
	Seen  time.Time
}

// NewSenderLease returns a lease that holds no index. It does nothing before Start.
func NewSenderLease(cfg LeaseConfig) *SenderLease {
	return &SenderLease{cfg: cfg, key: SenderKeyPrefix + cfg.Group, rnd: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// Start starts to claim and renew an index. It also follows the table in Documents.
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

// Sender returns this process's sender index and the configured number of indexes.
// ok is false if no index is held or another instance may be using the index.
func (l *SenderLease) Sender(now time.Time) (index, count int, ok bool) {
	p := l.cfg.Policy()
	h := l.held.Load()
	if h == nil || h.index >= p.SenderIndexes || now.Sub(h.sent) >= leaseValidity(p) {
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

// EndedWhileConnected reports whether, according to the platform's list, the holder
// of entry ended before it could run requests without the store.
func (l *SenderLease) EndedWhileConnected(entry SenderEntry) bool {
	now, unc, ok := l.cfg.StoreClock.Estimate(l.cfg.Clock.Now())
	return ok && l.endedWhileConnected(entry, now.Add(unc).UnixMilli()+1, l.cfg.Policy())
}

// MayHaveRun reports whether an earlier home of requestID may have run it without
// claiming the request ID in the store: an index with at least the weight of the
// home's was taken over, within the retention time, from a process that may have lost
// its connection to the store before it ended.
func (l *SenderLease) MayHaveRun(requestID string) bool {
	t := l.Table()
	if t == nil {
		return false
	}
	now, unc, ok := l.cfg.StoreClock.Estimate(l.cfg.Clock.Now())
	if !ok {
		return true
	}
	oldestMs := now.Add(-unc).UnixMilli() - l.cfg.Policy().OnceRetentionMs
	return t.mayHaveRun(requestID, oldestMs)
}

// HeldSince returns the time since which this process has held its index.
func (l *SenderLease) HeldSince(now time.Time) (since time.Time, ok bool) {
	if _, _, ok := l.Sender(now); !ok {
		return time.Time{}, false
	}
	if h := l.held.Load(); h != nil {
		return h.since, true
	}
	return time.Time{}, false
}

func leaseValidity(p trconfig.FleetPolicy) time.Duration {
	return milliseconds(p.SenderQuarantineMs) - quarantineMargin
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Table returns the newest known table, or nil. It must not be modified.
func (l *SenderLease) Table() *SenderTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

// Stats returns the counters since the start.
func (l *SenderLease) Stats() LeaseStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Home returns the entry of the home of requestID in the newest known table.
func (l *SenderLease) Home(requestID string) (SenderEntry, bool) {
	t := l.Table()
	if t == nil {
		return SenderEntry{}, false
	}
	return t.Home(requestID)
}

// HomeHistory returns the tables that were in force during the last
// OnceRetentionMs, oldest first, without those that only renew leases. The first one
// was in force at the start of that time. If its Seen is later, nothing is known
// about the time before.
func (l *SenderLease) HomeHistory() []SeenTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimHistory(l.cfg.Clock.Now())
	return slices.Clone(l.history)
}

// Observe adopts a table that was obtained elsewhere. Older tables are ignored.
func (l *SenderLease) Observe(t *SenderTable) {
	l.mu.Lock()
	notify := l.adopt(t)
	if !l.running && !l.early && l.hasUnacknowledgedClaim() {
		l.early = true
		l.schedule(l.earlyDelay())
	}
	l.mu.Unlock()
	notify()
}

// hasUnacknowledgedClaim reports whether the table has a claim that this process has
// not yet acknowledged with a renewal. Request IDs move to a new home only after the
// former home has done so. The caller holds l.mu.
func (l *SenderLease) hasUnacknowledgedClaim() bool {
	own := l.ownEntry()
	if own == nil || own.Released {
		return false
	}
	return slices.ContainsFunc(l.table.Entries, func(e SenderEntry) bool {
		return !e.Released && e.ClaimedRevision > own.RenewedRevision
	})
}

// earlyDelay returns a random delay before an early renewal. Its limit grows with the
// number of holders to avoid conflicts among their renewals. The caller holds l.mu.
func (l *SenderLease) earlyDelay() time.Duration {
	return time.Duration(l.rnd.Int64N(int64(len(l.table.Entries)) * int64(earlySpacing)))
}

// ObserveMembers gives up the index held if another member has it with a newer epoch.
func (l *SenderLease) ObserveMembers(members []Member) {
	l.mu.Lock()
	notify := func() {}
	self := l.cfg.Self().ID
	h := l.held.Load()
	for i := range members {
		m := &members[i]
		if h != nil && m.ID != self && m.Present() && m.SenderIndex == h.index && m.SenderEpoch > h.epoch {
			notify = l.yield()
			break
		}
	}
	l.mu.Unlock()
	notify()
}

// Release gives up the index cleanly and stops until Resume. It must be called only
// when no work of this process is running at a leaf. An error means that the index
// may stay unavailable until it is reclaimed.
func (l *SenderLease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.stopped = true
	if l.cancelStep != nil {
		l.cancelStep()
	}
	notify := l.dropHeld()
	l.mu.Unlock()
	notify()
	for {
		l.mu.Lock()
		own, base := l.ownEntry(), l.table
		running, unanswered := l.running, len(l.pending) > 0
		l.mu.Unlock()
		var err error
		switch {
		case running:
			err = errCallRunning
		case own == nil && unanswered:
			// A claim whose reply was lost may have taken effect.
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
		if trclock.Sleep(ctx, l.cfg.Clock, l.randomDelay(conflictDelay)) != nil {
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
