package trmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trstore"
)

const (
	// MeetingPeriod is the interval between two steps of a Meeting.
	MeetingPeriod = time.Second
	// announceDelay is how long an instance must have been the first watcher of its zone before
	// it writes an entry, plus as much as a MeetingPeriod at random. Instances that start
	// together join through their seeds in less.
	announceDelay = 2 * time.Second
	// contactLease is the time to live of an entry, and contactRenewal the interval at which it
	// is renewed. Two renewals may fail.
	contactLease   = 10 * time.Second
	contactRenewal = 3 * time.Second
	// meetingTimeout is the time allowed for a call to the store. A slow one answers in 250 ms.
	meetingTimeout = 600 * time.Millisecond
	// meetingBackoffMax is the longest time between two attempts to write an entry.
	meetingBackoffMax = 4 * time.Second
	// metTime is how long the store must have been read without interruption before an instance
	// relies on the absence of contacts: until all that can have written theirs.
	metTime = 10 * time.Second
	// maxMeetings is how many unknown instances are contacted in a step. Each knows others.
	maxMeetings = 3
)

// Contact is an entry of the store through which instances meet that have no member in common. It
// is a hint: the process at its address tells who it is.
type Contact struct {
	ID       string `json:"ID"`
	PeerAddr string `json:"PeerAddr"`
}

// Check returns an error if the contact is invalid.
func (c *Contact) Check() error {
	m := Member{ID: c.ID, PeerAddr: c.PeerAddr, State: Alive, SenderIndex: -1}
	return errors.Wrap(m.Check(), "contact")
}

// MeetingConfig holds the settings of a Meeting.
type MeetingConfig struct {
	Group *Group
	Store trstore.Store
	Key   func(id string) string // of the entry of an instance
	Clock trclock.Clock
	Seed  uint64
	// OnFailing, if set, is called when writing the entry fails, and with nil when it works again.
	OnFailing func(err error)
}

// Meeting lets instances that share the store, but neither a seed nor a member, find each other. The
// first watcher of each zone keeps an entry with its address in the store; whoever reads the entry
// of an instance that it does not know exchanges member lists with it. An instance that knows
// nobody is a watcher, so it reads and writes such entries.
//
// In a fleet that knows itself the store has one entry for each zone, which costs one renewal every
// 3 s. After a start of n instances that all know nobody it takes 2 n writes within a second.
// Nothing depends on the store: without it, the instances stay with the members that they know.
type Meeting struct {
	cfg MeetingConfig

	mu       sync.Mutex
	rnd      *rand.Rand
	contacts map[string]Contact // by key
	reading  time.Time          // since when the store is read; zero if it is not

	stepMu    sync.Mutex // held by Step, for the following
	announce  time.Time  // when to write the entry; zero while others do
	lease     uint64     // 0 if there is none
	granted   time.Duration
	keptAt    time.Time
	failures  int
	nextTry   time.Time
	contacted map[string]time.Time // by address
}

// NewMeeting returns a Meeting that has written nothing yet.
func NewMeeting(cfg MeetingConfig) *Meeting {
	return &Meeting{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)),
		contacts: make(map[string]Contact), contacted: make(map[string]time.Time),
	}
}

// Set records the contact under a key of the store, nil if there is none any more. The receiver
// of Set, Reset and Reading may be nil.
func (m *Meeting) Set(key string, c *Contact) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c == nil {
		delete(m.contacts, key)
		return
	}
	m.contacts[key] = *c
}

// Reset forgets all contacts, before all keys are read again.
func (m *Meeting) Reset() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.contacts)
}

// Reading records whether this instance reads all changes of the store.
func (m *Meeting) Reading(reading bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !reading:
		m.reading = time.Time{}
	case m.reading.IsZero():
		m.reading = m.cfg.Clock.Now()
	}
}

// Step contacts instances that are not known, and writes or renews the entry of this one if that
// is its turn. It must be called about every MeetingPeriod.
func (m *Meeting) Step(ctx context.Context) {
	if !m.stepMu.TryLock() {
		return // the store is slow
	}
	defer m.stepMu.Unlock()
	now := m.cfg.Clock.Now()
	m.meet(now)
	switch {
	case !m.cfg.Group.IsWatcher(1):
		m.announce, m.lease = time.Time{}, 0 // the entry ends with its lease
	case m.announce.IsZero():
		m.announce = now.Add(announceDelay + m.jitter())
	case now.Before(m.announce) || now.Before(m.nextTry):
	case m.lease == 0:
		m.finish(m.write(ctx), now)
	case now.Sub(m.keptAt) >= min(contactRenewal, m.granted/3):
		m.finish(m.renew(ctx), now)
	}
}

// meet contacts some of the instances that are not known. One that does not answer is contacted again
// after contactRenewal.
func (m *Meeting) meet(now time.Time) {
	m.mu.Lock()
	var addrs []string
	for _, c := range m.contacts {
		if c.ID != m.cfg.Group.cfg.Self.ID {
			addrs = append(addrs, c.PeerAddr)
		}
	}
	slices.Sort(addrs)
	m.rnd.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	reading := m.reading
	m.mu.Unlock()
	for addr, at := range m.contacted {
		if now.Sub(at) >= contactRenewal {
			delete(m.contacted, addr)
		}
	}
	started := 0
	known := true // all addresses belong to members
	for _, addr := range addrs {
		present, isMember := m.cfg.Group.knows(addr)
		known = known && isMember
		if present {
			continue
		}
		if _, recently := m.contacted[addr]; !recently && started < maxMeetings {
			m.contacted[addr] = now
			started++
			m.cfg.Group.meet(addr)
		}
	}
	met := known && !reading.IsZero() && now.Sub(reading) >= metTime
	m.cfg.Group.Update(func(self *Member) { self.Met = met })
}

// knows reports whether an address belongs to a present member, and to one in any state.
func (g *Group) knows(addr string) (present, known bool) {
	for _, m := range g.Members() {
		if m.PeerAddr == addr {
			present, known = present || m.Present(), true
		}
	}
	return present, known
}

// meet starts to exchange full member lists with the process at addr.
func (g *Group) meet(addr string) {
	g.cfg.Spawn(func() {
		if g.ctx.Err() == nil {
			_ = g.contact(addr)
		}
	})
}

// write writes the entry of this instance under a new lease. No condition is needed: the key is
// this instance's own.
func (m *Meeting) write(ctx context.Context) error {
	ctx, cancel := trclock.WithTimeout(ctx, m.cfg.Clock, meetingTimeout)
	defer cancel()
	self := m.cfg.Group.cfg.Self
	value, err := json.Marshal(Contact{ID: self.ID, PeerAddr: self.PeerAddr})
	if err != nil {
		return errors.Wrap(err, "encode contact")
	}
	lease, granted, err := m.cfg.Store.Lease(ctx, contactLease)
	if err != nil {
		return err
	}
	put := trstore.Item{Key: m.cfg.Key(self.ID), Value: value, LeaseID: lease}
	if _, err := m.cfg.Store.Commit(ctx, &trstore.Txn{Puts: []trstore.Item{put}}); err != nil {
		return err // the lease ends by itself
	}
	m.lease, m.granted = lease, granted
	return nil
}

// renew renews the lease of the entry. If it has ended, the entry is written again.
func (m *Meeting) renew(ctx context.Context) error {
	ctx, cancel := trclock.WithTimeout(ctx, m.cfg.Clock, meetingTimeout)
	defer cancel()
	err := m.cfg.Store.Keep(ctx, m.lease)
	if errors.Is(err, trstore.ErrLeaseEnded) {
		m.lease = 0
		return nil
	}
	return err
}

// finish records the result of a call to the store.
func (m *Meeting) finish(err error, now time.Time) {
	if (err != nil) != (m.failures > 0) && m.cfg.OnFailing != nil {
		m.cfg.OnFailing(err)
	}
	if err == nil {
		m.failures, m.keptAt = 0, now
		return
	}
	m.failures++
	m.nextTry = now.Add(min(MeetingPeriod<<min(m.failures-1, 10), meetingBackoffMax) + m.jitter())
}

// jitter returns a random time up to a MeetingPeriod.
func (m *Meeting) jitter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rnd.Int64N(int64(MeetingPeriod)))
}
