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

// InstanceList tells what the platform's list says of an instance.
type InstanceList interface {
	// AbsentFor returns for how long the list has been read without showing
	// the instance, and false if it shows it or was not read.
	AbsentFor(instanceID string) (time.Duration, bool)
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
	Instances  InstanceList
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

// EndedWhileConnected reports whether the holder of entry has ended, by the
// platform's list, before it could run requests without the store.
func (l *SenderLease) EndedWhileConnected(entry SenderEntry) bool {
	now, unc, ok := l.cfg.StoreClock.Estimate(l.cfg.Clock.Now())
	return ok && l.endedInContact(entry, now.Add(unc).UnixMilli()+1, l.cfg.Policy())
}

// MayHaveRun reports whether an earlier home of requestID may have run it without
// a claim in the store: an index that ranks at least as high as the home's was
// taken over within the retention from a process that may have lost the store
// before it ended.
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
