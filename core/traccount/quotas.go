// Package traccount limits the requests of client accounts over all instances.
//
// Each account has an owner, an instance that grants the credit for its requests. The instances
// lease their shares of the rates to the owners, each share to one owner at a time, so that the
// sum of all grants stays within the rate while instances and owners come, go and are cut off.
// An instance admits requests with credit that it got ahead of need, with a small allowance that
// it reports at once, or after it has asked the owner.
//
// # Usage
//
//	quotas := traccount.New(traccount.Config{Instance: "a1", Clock: clock, View: view, Peers: client, Bounds: bounds})
//	quotas.Configure(table.Version, accounts) // after each change of the configuration
//	permit, err := quotas.Acquire(ctx, account, objective)
//	reply := quotas.HandleCredit(request) // for each CreditRequest of another instance
//
// # Structure
//
// bounds.go divides the permitted excess, owner.go grants credit, lease.go leases the shares of
// this instance, fleet.go chooses owners and computes shares, account.go holds the credit of this
// instance and message.go the messages between instances.
package traccount

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmetric"
)

const (
	// maxPatience is the longest time that a request waits for an owner.
	maxPatience = 100 * time.Millisecond
	// patienceShare is the part of its objective that a request waits for an owner.
	patienceShare = 0.25
	// maxWaiters bounds the requests of an account that wait for the owner. More cannot get
	// credit within maxPatience from an account that small.
	maxWaiters = 1_024
	// unknownRetry is when a caller may retry whose request was refused because the owner did
	// not answer: the time in which a new owner holds shares again.
	unknownRetry = 100 * time.Millisecond
	// changeDelay is the least time between changes of the members that leases follow at once.
	// Many change at the same time.
	changeDelay = 50 * time.Millisecond
)

// Peers sends messages to other instances.
type Peers interface {
	Credit(ctx context.Context, peerAddr string, m *CreditRequest) (*CreditReply, error)
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	AtLimit    EventKind = "AtLimit"    // the first request of an account is refused
	BelowLimit EventKind = "BelowLimit" // none was refused for a window
	OwnerLost  EventKind = "OwnerLost"  // an owner did not answer for half the term of a lease
)

// Event is a change in what this instance assumes of an account or an owner.
type Event struct {
	Kind      EventKind
	Account   string // empty for OwnerLost
	Owner     string // ID of the instance that owns the account
	PerSecond float64
	Burst     float64
	Refused   int64         // requests of the account that were refused here so far
	Wait      time.Duration // until there is credit, for AtLimit
	Age       time.Duration // of what the owner last said
	Err       error
}

// Config holds the settings of Quotas.
type Config struct {
	Instance string // ID of this instance
	Clock    trclock.Clock
	Seed     uint64
	Bounds   Bounds
	// View returns what this instance knows of the fleet now. It must be set.
	View func() View
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	Peers      Peers
	Metrics    *trmetric.Registry
	// OnEvent, if set, is called for each event. It must not block.
	OnEvent func(Event)
}

// View is what this instance knows of the fleet.
type View struct {
	// Members holds all instances including this one, except those that have left.
	Members []Member
	// JoinedAt is since when the members are known; zero if they are not.
	JoinedAt time.Time
	// Covered is the part of the fleet that Members covers, as far as this instance can tell,
	// 0 to 1. Its share is reduced by it.
	Covered float64
}

// LimitError is the reason why a request was refused. It was not and will not be run.
type LimitError struct {
	Account    string
	AtLimit    bool          // the account is at its limit; otherwise its owner does not answer
	RetryAfter time.Duration // after which a request of this caller will be accepted
}

// Error implements error.
func (e *LimitError) Error() string {
	if e.AtLimit {
		return fmt.Sprintf("client account %q is at its limit", e.Account)
	}
	return fmt.Sprintf("limit of client account %q is not known", e.Account)
}

// Quotas limits the requests of client accounts. Its methods are safe for concurrent use. It runs
// and sends nothing while no account has a quota.
type Quotas struct {
	cfg     Config
	owner   owner
	started time.Time

	mu      sync.Mutex
	rnd     *rand.Rand
	running bool
	closed  bool
	hurried bool // the next tick follows a change of the members
	// changedAt is when the leases last followed a change at once.
	changedAt time.Time
	stop      func() // ends the next tick
	version   uint64
	members   []Member
	fleet     fleet
	shares    [slotCount]heldShare
	peers     map[string]*peerState
	accounts  map[string]*account
}

// New returns quotas for the instance. Nothing runs before Configure has been called with an
// account that has a quota.
func New(cfg Config) *Quotas {
	if cfg.Metrics == nil {
		cfg.Metrics = new(trmetric.Registry)
	}
	q := &Quotas{
		cfg: cfg, started: cfg.Clock.Now(), rnd: rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Instance))),
		fleet: fleet{self: cfg.Instance}, peers: make(map[string]*peerState), accounts: make(map[string]*account),
	}
	q.owner.init(cfg.Clock, cfg.Bounds, q.rnd.Uint64()|1)
	return q
}

// Configure puts the quotas of a configuration in force, unless a later one is. It starts the exchange with other
// instances if an account has a quota, and stops it otherwise.
func (q *Quotas) Configure(version uint64, accounts []trdirectory.Account) {
	limited := make(map[string]*trdirectory.Account)
	for i := range accounts {
		if a := &accounts[i]; a.PerSecond > 0 {
			limited[a.Name] = a
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if version < q.version || len(limited) == 0 && !q.running {
		return
	}
	q.version = version
	q.owner.configure(version, accounts)
	for name, a := range q.accounts {
		if limited[name] == nil {
			a.admitAll()
			delete(q.accounts, name)
		}
	}
	if len(limited) == 0 {
		q.running = false
		q.stop()
		return
	}
	q.start()
}

// start starts the exchange with other instances. The caller holds mu.
func (q *Quotas) start() {
	if q.running || q.closed {
		return
	}
	q.running = true
	q.update(q.cfg.Clock.Now())
	q.sendLeases(q.cfg.Clock.Now())
	// A random phase keeps instances that start together from sending together.
	q.schedule(time.Duration(q.rnd.Int64N(int64(leasePeriod))))
}

// schedule calls tick after a delay. The caller holds mu.
func (q *Quotas) schedule(delay time.Duration) {
	q.stop = q.cfg.Clock.After(delay, func(now time.Time) { q.tick(now) })
}

// Close ends the exchange with other instances.
func (q *Quotas) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.running {
		q.running = false
		q.stop()
	}
}

// update adopts the current members. The caller holds mu.
func (q *Quotas) update(now time.Time) {
	view := q.cfg.View()
	q.members, q.fleet.joined = view.Members, view.JoinedAt
	q.fleet.update(q.members, view.Covered, now)
}

// MembersChanged makes the leases follow a change of the members at once, or soon after the
// previous change. The periodic leases would follow it too.
func (q *Quotas) MembersChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running || q.hurried || slices.Equal(q.cfg.View().Members, q.members) {
		return
	}
	if now := q.cfg.Clock.Now(); now.Sub(q.changedAt) >= changeDelay {
		q.changedAt = now
		q.update(now)
		q.sendLeases(now)
		return
	}
	q.hurried = true
	q.stop()
	q.schedule(changeDelay)
}

// tick sends the leases and reviews the accounts.
func (q *Quotas) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		return
	}
	q.hurried = false
	q.schedule(q.period())
	q.update(now)
	for id := range q.peers {
		if _, known := q.member(id); !known {
			delete(q.peers, id)
		}
	}
	q.sendLeases(now)
	for _, a := range q.accounts {
		q.review(a, now)
	}
}

func (q *Quotas) currentVersion() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.version
}

// HandleCredit answers the request of another instance.
func (q *Quotas) HandleCredit(m *CreditRequest) *CreditReply { return q.owner.handle(m) }

// event reports an event.
func (q *Quotas) event(e Event) {
	if q.cfg.OnEvent != nil {
		q.cfg.OnEvent(e)
	}
}

// AccountStatus is the state of an account at this instance.
type AccountStatus struct {
	Account    string  `json:"Account"`
	Owner      string  `json:"Owner"` // ID of the instance that owns the account
	AtLimit    bool    `json:"AtLimit"`
	Admitted   int64   `json:"Admitted"` // requests since the start
	Refused    int64   `json:"Refused"`
	Credit     int     `json:"Credit"`     // requests, not used yet
	Unreported int     `json:"Unreported"` // admitted and not covered by an owner yet
	Fraction   float64 `json:"Fraction"`   // of the rate, that this instance grants
	Level      float64 `json:"Level"`      // credit that this instance grants, requests
}

// Status returns the state of the accounts that have been used at this instance.
func (q *Quotas) Status() []AccountStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []AccountStatus
	for name, a := range q.accounts {
		s := AccountStatus{
			Account: name, Owner: q.ownerOf(a).ID, AtLimit: a.limited, Admitted: a.admitted.Load(), Refused: a.refused.Load(),
			Credit: a.credit, Unreported: len(a.pending),
		}
		s.Fraction, s.Level = q.owner.state(name)
		list = append(list, s)
	}
	return list
}
