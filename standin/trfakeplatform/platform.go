// Package trfakeplatform is a stand-in for the platform: its key-value store,
// leases, watches and lagging instance list.
//
// It serves the protocol described in core/trwire over HTTP. Faults are
// switched on by methods or by POST /control/... on the same handler. Control
// endpoints are never affected by faults.
//
// # Usage
//
//	p := trfakeplatform.New(trfakeplatform.Config{ListLagMs: 2_000})
//	defer p.Close()
//	srv := httptest.NewServer(p.Handler())
//	p.SetInstances(fleet.Instances())
//	p.SetDown(trfakeplatform.DownRefuse)
//
// Versions of a key keep growing when the key is deleted and written again, so
// that a watch does not miss the new entry. Leases lapse on the store's clock
// during an outage as well.
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

// keptValues is the number of older values kept per key for stale reads.
const keptValues = 16

// Config configures a Platform. The zero value is usable.
type Config struct {
	Clock       trclock.Clock     `json:"-"` // System if nil
	ListLagMs   int64             `json:"ListLagMs"`
	JournalSize int               `json:"JournalSize"`
	Instances   []trwire.Instance `json:"Instances"` // first content of the list, visible at once
}

// DownMode is the way in which the platform is out of service.
type DownMode string

// Modes of an outage.
const (
	DownNot    DownMode = ""       // in service
	DownRefuse DownMode = "Refuse" // closes the connection of every call
	DownHang   DownMode = "Hang"   // never answers
)

// EventType is the type of a journal event.
type EventType string

// Types of event. Each is recorded when the effect happens, not when the answer
// is sent.
const (
	EventPut         EventType = "Put"
	EventConflict    EventType = "Conflict"
	EventDelete      EventType = "Delete"
	EventLeaseGrant  EventType = "LeaseGrant"
	EventLeaseRenew  EventType = "LeaseRenew"
	EventLeaseDrop   EventType = "LeaseDrop"
	EventLeaseLapse  EventType = "LeaseLapse"
	EventAnswerLost  EventType = "AnswerLost"
	EventStaleRead   EventType = "StaleRead"
	EventListChanged EventType = "ListChanged"
	EventDown        EventType = "Down"
)

// Event is one line of the platform's journal.
type Event struct {
	TimeNs  int64     `json:"TimeNs"`
	Type    EventType `json:"Type"`
	Key     string    `json:"Key,omitempty"`
	Version uint64    `json:"Version,omitempty"`
	LeaseID string    `json:"LeaseID,omitempty"`
	Detail  string    `json:"Detail,omitempty"`
}

// Platform is the stand-in. Its methods are safe for concurrent use.
type Platform struct {
	clock   trclock.Clock
	timer   *trjournal.Timer
	journal *trjournal.Journal[Event]

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at every change that waiting calls may look for
	keys      map[string]*record
	leases    map[string]*lease
	nextLease int
	lists     []listed // the visible list and the ones that follow it
	lagMs     int64
	down      DownMode
	delayMs   int64
	losePuts  int
	stale     map[string]int
	counts    map[string]uint64
	stateFile string // empty keeps nothing
	closed    bool
}

type record struct {
	entry   trwire.Entry
	present bool
	last    uint64         // highest version ever written
	older   []trwire.Entry // oldest first
}

type lease struct {
	trwire.Lease
	expires time.Time
	stop    func()
}

type listed struct {
	at   time.Time
	list trwire.InstanceList
}

// New returns a platform in service.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	p := &Platform{
		clock:   cfg.Clock,
		timer:   trjournal.NewTimer(cfg.Clock),
		journal: trjournal.New[Event](cfg.JournalSize),
		changed: make(chan struct{}),
		keys:    map[string]*record{},
		leases:  map[string]*lease{},
		lagMs:   cfg.ListLagMs,
		stale:   map[string]int{},
		counts:  map[string]uint64{},
	}
	first := trwire.InstanceList{Revision: 1, Instances: append([]trwire.Instance{}, cfg.Instances...)}
	p.lists = []listed{{at: p.clock.Now(), list: first}}
	return p
}

// Close ends every waiting and every later call.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.down = DownRefuse
	for _, l := range p.leases {
		l.stop()
	}
	p.wake()
}

// Journal returns the events recorded so far.
func (p *Platform) Journal() *trjournal.Journal[Event] { return p.journal }

// Counts returns the number of calls by kind since the start. Calls during an
// outage are counted both by kind and as WhileDown.
func (p *Platform) Counts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.counts))
	for kind, n := range p.counts {
		counts[kind] = n
	}
	return counts
}

func (p *Platform) note(e Event) {
	e.TimeNs = p.timer.Ns()
	p.journal.Append(e)
}

func (p *Platform) wake() {
	p.save()
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown starts an outage or, with DownNot, ends it. Calls that hang when the
// mode changes are closed without an answer.
func (p *Platform) SetDown(mode DownMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.down = mode
	p.note(Event{Type: EventDown, Detail: string(mode)})
	p.wake()
}

// SetDelay delays every call by ms, half of it before and half after its effect.
func (p *Platform) SetDelay(ms int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayMs = ms
}

// LosePuts closes the connection instead of answering the next n writes of keys
// that take effect.
func (p *Platform) LosePuts(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losePuts = n
}

// SetStale lets reads and listings return the value that key had back writes
// ago, or the oldest one kept. Zero ends it. Compare-and-swap is not affected.
func (p *Platform) SetStale(key string, back int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[key] = back
}

// Get returns the entry of key as it truly is.
func (p *Platform) Get(key string) (trwire.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.keys[key]
	if r == nil || !r.present {
		return trwire.Entry{}, false
	}
	return r.entry, true
}

// read returns what a reader is shown, which may be stale.
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
	back := min(p.stale[key], len(r.older))
	if back <= 0 {
		return r.entry, r.present
	}
	old := r.older[len(r.older)-back]
	p.note(Event{Type: EventStaleRead, Key: key, Version: old.Version})
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

// Put writes key if its version equals req.PrevVersion. It returns the entry as
// it is afterwards and whether the write took effect.
func (p *Platform) Put(key string, req trwire.PutRequest) (trwire.Entry, bool, error) {
	e, ok, _, err := p.put(key, req)
	return e, ok, err
}

func (p *Platform) put(key string, req trwire.PutRequest) (e trwire.Entry, ok, lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.LeaseID != "" && p.leases[req.LeaseID] == nil {
		return trwire.Entry{}, false, false, fmt.Errorf("lease %q has lapsed", req.LeaseID)
	}
	r := p.keys[key]
	if r == nil {
		r = &record{}
		p.keys[key] = r
	}
	if r.entry.Version != req.PrevVersion {
		p.note(Event{Type: EventConflict, Key: key, Version: r.entry.Version})
		return r.entry, false, false, nil
	}
	r.retire()
	r.last++
	r.present = true
	r.entry = trwire.Entry{Key: key, Value: req.Value, Version: r.last, LeaseID: req.LeaseID}
	p.note(Event{Type: EventPut, Key: key, Version: r.last, LeaseID: req.LeaseID})
	p.wake()
	if p.losePuts > 0 {
		p.losePuts--
		lost = true
		p.note(Event{Type: EventAnswerLost, Key: key, Version: r.last})
	}
	return r.entry, true, lost, nil
}

// retire moves the present value to the older ones.
func (r *record) retire() {
	if !r.present {
		return
	}
	r.older = append(r.older, r.entry)
	if len(r.older) > keptValues {
		r.older = slices.Delete(r.older, 0, 1)
	}
}

// Delete removes key if its version equals prev. It returns the entry as it is
// on a conflict.
func (p *Platform) Delete(key string, prev uint64) (trwire.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.keys[key]
	if r == nil || !r.present || r.entry.Version != prev {
		present := trwire.Entry{Key: key}
		if r != nil {
			present = r.entry
		}
		p.note(Event{Type: EventConflict, Key: key, Version: present.Version})
		return present, false
	}
	p.remove(key, r)
	return trwire.Entry{}, true
}

func (p *Platform) remove(key string, r *record) {
	p.note(Event{Type: EventDelete, Key: key, Version: r.entry.Version, LeaseID: r.entry.LeaseID})
	r.retire()
	r.present = false
	r.entry = trwire.Entry{Key: key}
	p.wake()
}

// Grant returns a new lease.
func (p *Platform) Grant(ttlMs int64) trwire.Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	l := &lease{Lease: trwire.Lease{ID: fmt.Sprintf("lease-%d", p.nextLease), TTLMs: ttlMs}}
	p.leases[l.ID] = l
	p.arm(l)
	p.note(Event{Type: EventLeaseGrant, LeaseID: l.ID})
	p.save()
	return l.Lease
}

func (p *Platform) arm(l *lease) {
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

func (p *Platform) endLease(l *lease, how EventType) {
	l.stop()
	delete(p.leases, l.ID)
	p.note(Event{Type: how, LeaseID: l.ID})
	for key, r := range p.keys {
		if r.present && r.entry.LeaseID == l.ID {
			p.remove(key, r)
		}
	}
}

// Renew restarts the time to live of a lease. It reports false if the lease has
// lapsed.
func (p *Platform) Renew(id string) (trwire.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		return trwire.Lease{}, false
	}
	l.stop()
	p.arm(l)
	p.note(Event{Type: EventLeaseRenew, LeaseID: id})
	return l.Lease, true
}

// Drop ends a lease and deletes its keys. It reports false if the lease has
// lapsed.
func (p *Platform) Drop(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		return false
	}
	p.endLease(l, EventLeaseDrop)
	return true
}
