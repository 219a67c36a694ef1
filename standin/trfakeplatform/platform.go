// Package trfakeplatform is a stand-in for the platform: its key-value store, leases,
// watches and an instance list that readers see with a lag.
//
// It serves the protocol described in core/trwire over HTTP. Faults are injected by
// methods or by POST /control/... on the same handler. Control endpoints are never
// affected by faults.
//
// # Usage
//
//	p := trfakeplatform.New(trfakeplatform.Config{ListLagMs: 2_000})
//	defer p.Close()
//	srv := httptest.NewServer(p.Handler())
//	p.SetInstances(fleet.Instances())
//	p.SetDown(trfakeplatform.DownRefuse)
//
// The version of a key keeps increasing when the key is deleted and written again, so
// that a watch does not miss the new entry. Leases expire by the store's clock, also
// during an outage.
package trfakeplatform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trjournal"
)

// maxHistory is the number of former values kept per key for stale reads.
const maxHistory = 16

// Config configures a Platform. The zero value is usable.
type Config struct {
	Clock       trclock.Clock     `json:"-"`           // trclock.System if nil
	ListLagMs   int64             `json:"ListLagMs"`   // delay after which readers see a change of the list
	JournalSize int               `json:"JournalSize"` // maximum number of events kept, trjournal.DefaultSize if 0
	Instances   []trwire.Instance `json:"Instances"`   // initial content of the list, visible at once
}

// DownMode is the behavior of the platform during an outage.
type DownMode string

// Modes of an outage.
const (
	DownNone   DownMode = ""       // in service
	DownRefuse DownMode = "Refuse" // closes the connection of every call
	DownHang   DownMode = "Hang"   // never responds
)

// EventType is the type of a journal event.
type EventType string

// Types of event. An event is recorded when its effect happens, not when the response
// is sent.
const (
	EventPut         EventType = "Put"
	EventConflict    EventType = "Conflict" // Put or Delete rejected: wrong PrevVersion, or no entry to delete
	EventDelete      EventType = "Delete"
	EventLeaseGrant  EventType = "LeaseGrant"
	EventLeaseRenew  EventType = "LeaseRenew"
	EventLeaseDrop   EventType = "LeaseDrop"  // lease revoked
	EventLeaseLapse  EventType = "LeaseLapse" // lease expired
	EventAnswerLost  EventType = "AnswerLost" // response to a write lost, see LosePutResponses
	EventStaleRead   EventType = "StaleRead"
	EventListChanged EventType = "ListChanged"
	EventDown        EventType = "Down" // outage started, changed or ended, Detail is the DownMode
)

// Event is an entry of the platform's journal.
type Event struct {
	TimeNs  int64     `json:"TimeNs"`
	Type    EventType `json:"Type"`
	Key     string    `json:"Key,omitempty"`
	Version uint64    `json:"Version,omitempty"`
	LeaseID string    `json:"LeaseID,omitempty"`
	Detail  string    `json:"Detail,omitempty"`
}

// Platform is a stand-in for the platform. Its methods are safe for concurrent use.
type Platform struct {
	clock      trclock.Clock
	eventClock *trjournal.EventClock
	journal    *trjournal.Journal[Event]

	mu               sync.Mutex
	changed          chan struct{} // closed and replaced to wake waiting calls
	keys             map[string]*record
	leases           map[string]*lease
	lastLease        int            // number of the newest lease
	lists            []listRevision // the visible list, followed by those not yet visible
	lagMs            int64
	down             DownMode
	delayMs          int64
	lostPutResponses int            // number of responses still to be lost
	stale            map[string]int // number of writes that reads of a key lag behind
	counts           map[string]uint64
	stateFile        string // empty if the state is not persisted
	closed           bool
}

// record is the state of one key.
type record struct {
	entry       trwire.Entry
	present     bool
	lastVersion uint64         // highest version ever written, also before a deletion
	history     []trwire.Entry // oldest first
}

type lease struct {
	trwire.Lease
	expires time.Time
	stop    func()
}

// listRevision is a revision of the instance list and the time of the change.
type listRevision struct {
	at   time.Time
	list trwire.InstanceList
}

// New returns a platform that is in service.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	p := &Platform{
		clock:      cfg.Clock,
		eventClock: trjournal.NewEventClock(cfg.Clock),
		journal:    trjournal.New[Event](cfg.JournalSize),
		changed:    make(chan struct{}),
		keys:       map[string]*record{},
		leases:     map[string]*lease{},
		lagMs:      cfg.ListLagMs,
		stale:      map[string]int{},
		counts:     map[string]uint64{},
	}
	first := trwire.InstanceList{Revision: 1, Instances: append([]trwire.Instance{}, cfg.Instances...)}
	p.lists = []listRevision{{at: p.clock.Now(), list: first}}
	return p
}

// Close aborts all waiting and all later calls and stops the timers of the leases.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.down = DownRefuse
	for _, l := range p.leases {
		l.stop()
	}
	p.saveAndNotify()
}

// Journal returns the events recorded so far.
func (p *Platform) Journal() *trjournal.Journal[Event] { return p.journal }

// Counts returns the number of calls by kind since New. Calls during an outage are
// counted both by kind and as WhileDown.
func (p *Platform) Counts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.counts))
	for kind, n := range p.counts {
		counts[kind] = n
	}
	return counts
}

// recordEvent appends e to the journal with the current time.
func (p *Platform) recordEvent(e Event) {
	e.TimeNs = p.eventClock.UnixNano()
	p.journal.Append(e)
}

// saveAndNotify persists the state and wakes all waiting calls. The caller holds mu.
func (p *Platform) saveAndNotify() {
	p.save()
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown starts an outage or, with DownNone, ends it. Calls that hang when the mode
// changes are aborted without a response.
func (p *Platform) SetDown(mode DownMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.down = mode
	p.recordEvent(Event{Type: EventDown, Detail: string(mode)})
	p.saveAndNotify()
}

// SetDelay delays every call by ms milliseconds, half of it before and half after the
// call takes effect.
func (p *Platform) SetDelay(ms int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayMs = ms
}

// LosePutResponses makes the platform close the connection instead of responding to
// the next n writes of keys that take effect.
func (p *Platform) LosePutResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostPutResponses = n
}

// SetStale makes reads and listings return the value that key had back writes ago, or
// the oldest value kept. If back is 0 they return the current value. Compare-and-swap
// is not affected.
func (p *Platform) SetStale(key string, back int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[key] = back
}

// Get returns the current entry of key, regardless of SetStale.
func (p *Platform) Get(key string) (trwire.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.keys[key]
	if r == nil || !r.present {
		return trwire.Entry{}, false
	}
	return r.entry, true
}

// read returns the entry that a reader sees, which may be stale.
func (p *Platform) read(key string) (trwire.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readLocked(key)
}

func (p *Platform) readLocked(key string) (trwire.Entry, bool) {
	r := p.keys[key]
	if r == nil {
		return trwire.Entry{}, false
	}
	back := min(p.stale[key], len(r.history))
	if back <= 0 {
		return r.entry, r.present
	}
	old := r.history[len(r.history)-back]
	p.recordEvent(Event{Type: EventStaleRead, Key: key, Version: old.Version})
	return old, true
}

func (p *Platform) list(prefix string) trwire.EntryList {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := trwire.EntryList{Entries: []trwire.Entry{}}
	for key := range p.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if e, ok := p.readLocked(key); ok {
			l.Entries = append(l.Entries, e)
		}
	}
	slices.SortFunc(l.Entries, func(a, b trwire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return l
}

// Put writes key if its version equals req.PrevVersion. It returns the entry after the
// call and whether the write took effect, or an error if req.LeaseID is set but names
// no active lease.
func (p *Platform) Put(key string, req trwire.PutRequest) (trwire.Entry, bool, error) {
	e, ok, _, err := p.put(key, req)
	return e, ok, err
}

// put is Put; lost reports whether the response must be lost.
func (p *Platform) put(key string, req trwire.PutRequest) (e trwire.Entry, ok, lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.LeaseID != "" && p.leases[req.LeaseID] == nil {
		return trwire.Entry{}, false, false, fmt.Errorf("lease %q has expired", req.LeaseID)
	}
	r := p.keys[key]
	if r == nil {
		r = &record{}
		p.keys[key] = r
	}
	if r.entry.Version != req.PrevVersion {
		p.recordEvent(Event{Type: EventConflict, Key: key, Version: r.entry.Version})
		return r.entry, false, false, nil
	}
	r.archive()
	r.lastVersion++
	r.present = true
	r.entry = trwire.Entry{Key: key, Value: req.Value, Version: r.lastVersion, LeaseID: req.LeaseID}
	p.recordEvent(Event{Type: EventPut, Key: key, Version: r.lastVersion, LeaseID: req.LeaseID})
	p.saveAndNotify()
	if p.lostPutResponses > 0 {
		p.lostPutResponses--
		lost = true
		p.recordEvent(Event{Type: EventAnswerLost, Key: key, Version: r.lastVersion})
	}
	return r.entry, true, lost, nil
}

// archive appends the present value to the history.
func (r *record) archive() {
	if !r.present {
		return
	}
	r.history = append(r.history, r.entry)
	if len(r.history) > maxHistory {
		r.history = slices.Delete(r.history, 0, 1)
	}
}

// Delete removes key if its version equals prev. On a conflict it returns the current
// entry and false.
func (p *Platform) Delete(key string, prev uint64) (trwire.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.keys[key]
	if r == nil || !r.present || r.entry.Version != prev {
		current := trwire.Entry{Key: key}
		if r != nil {
			current = r.entry
		}
		p.recordEvent(Event{Type: EventConflict, Key: key, Version: current.Version})
		return current, false
	}
	p.remove(key, r)
	return trwire.Entry{}, true
}

func (p *Platform) remove(key string, r *record) {
	p.recordEvent(Event{Type: EventDelete, Key: key, Version: r.entry.Version, LeaseID: r.entry.LeaseID})
	r.archive()
	r.present = false
	r.entry = trwire.Entry{Key: key}
	p.saveAndNotify()
}

// Grant returns a new lease.
func (p *Platform) Grant(ttlMs int64) trwire.Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLease++
	l := &lease{Lease: trwire.Lease{ID: fmt.Sprintf("lease-%d", p.lastLease), TTLMs: ttlMs}}
	p.leases[l.ID] = l
	p.scheduleExpiry(l)
	p.recordEvent(Event{Type: EventLeaseGrant, LeaseID: l.ID})
	p.save()
	return l.Lease
}

// scheduleExpiry starts the time to live of l. The caller holds mu.
func (p *Platform) scheduleExpiry(l *lease) {
	ttl := time.Duration(l.TTLMs) * time.Millisecond
	l.expires = p.clock.Now().Add(ttl)
	l.stop = p.clock.After(ttl, func(now time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.leases[l.ID] == l && !now.Before(l.expires) {
			p.endLease(l, EventLeaseLapse)
		}
	})
}

// endLease removes l and its keys. The caller holds mu.
func (p *Platform) endLease(l *lease, eventType EventType) {
	l.stop()
	delete(p.leases, l.ID)
	p.recordEvent(Event{Type: eventType, LeaseID: l.ID})
	for key, r := range p.keys {
		if r.present && r.entry.LeaseID == l.ID {
			p.remove(key, r)
		}
	}
}

// Renew restarts the time to live of a lease. It reports false if the lease has
// expired.
func (p *Platform) Renew(id string) (trwire.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		return trwire.Lease{}, false
	}
	l.stop()
	p.scheduleExpiry(l)
	p.recordEvent(Event{Type: EventLeaseRenew, LeaseID: id})
	return l.Lease, true
}

// Revoke ends a lease and deletes its keys. It reports false if the lease has
// expired.
func (p *Platform) Revoke(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		return false
	}
	p.endLease(l, EventLeaseDrop)
	return true
}
