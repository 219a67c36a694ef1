package trmember

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// Defaults of Config and fixed parameters of the protocol.
const (
	DefaultPeriod         = time.Second
	DefaultProbeTimeout   = 300 * time.Millisecond // the longest round trip between zones is 10 ms
	DefaultIndirectProbes = 3
	DefaultFanOut         = 4 // gossip with fan-out 4 reaches 98% of members; probes reach the rest
	DefaultMaxUpdates     = 8 // about 1.2 KB per message

	suspicionFactor     = 1 // periods, times log2 of the group's size
	minSuspicionPeriods = 4
	retransmitFactor    = 3  // times log2 of a number of members: how often each change is sent
	recontactPeriods    = 10 // between attempts to contact a seed or a dead member
	deadRetention       = time.Hour
	burstFactor         = 4                      // times MaxUpdates: changes per message while more than MaxUpdates are queued, as after many joins
	pullInterval        = 500 * time.Millisecond // between requests for the full lists of members that know more
	joinTime            = 5 * time.Second        // after the join, in which members that the first list lacked are still expected
	joinMembers         = 3                      // members that a join contacts after the seeds
	joinBackoff         = 500 * time.Millisecond
	joinBackoffMax      = 3 * time.Second
	fullTimeoutFactor   = 5 // times ProbeTimeout; full lists and documents take longer than a probe
	leaveFanOut         = 5 // members notified by Leave
)

// ErrSelf is returned for a message that a process sent to itself.
var ErrSelf = errors.New("message was sent by this process itself")

// Config holds the settings of a Group. Zero durations and counts mean the
// defaults above.
type Config struct {
	Self      Member   // ID, Zone, Addr and PeerAddr; the rest is set by the Group
	Seeds     []string // peer addresses to join through; that of this process may be among them
	Clock     trclock.Clock
	Seed      uint64
	Transport Transport

	StoreClock    *StoreClock          // nil if not used
	CheckDocument func(Document) error // nil accepts every document
	Spawn         func(func())         // runs a call concurrently; nil starts a goroutine

	// OnJoin, if set, is called with nil when full member lists have first been exchanged with
	// another process, and with an error when none of the seeds answered the first time. It
	// must not block.
	OnJoin func(err error)

	// PushInZone restricts pushes of documents to members of the same availability
	// zone, if there are any. It suits documents that a member of each zone reads
	// from the source. Between zones, such documents spread with probes only.
	PushInZone bool

	Period         time.Duration // between direct probes
	ProbeTimeout   time.Duration // of one direct or indirect probe
	IndirectProbes int           // members asked to probe after a direct probe failed
	FanOut         int           // members that a changed document or notice is pushed to
	MaxUpdates     int           // member changes and notices per message, at most 64
}

func (c *Config) applyDefaults() {
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.IndirectProbes, DefaultIndirectProbes)
	setDefault(&c.FanOut, DefaultFanOut)
	setDefault(&c.MaxUpdates, DefaultMaxUpdates)
	c.MaxUpdates = min(c.MaxUpdates, maxUpdatesInMessage-1)
	if c.Spawn == nil {
		c.Spawn = func(f func()) { go f() }
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Group maintains this process's view of the instances of the query tier.
type Group struct {
	cfg       Config
	documents *Documents
	notices   *Notices
	subs      subscribers[[]Member]
	snapshot  atomic.Pointer[[]Member]
	watcher   atomic.Pointer[watcherCache]
	stats     groupStats

	mu         sync.Mutex
	rnd        *rand.Rand
	self       Member
	members    map[string]*memberEntry // without self
	queue      changeQueue
	probeOrder []string // members still to be probed in this round
	ticks      uint64
	lastTick   time.Time
	created    time.Time
	joinedAt   time.Time // zero before
	joins      uint64    // calls of startJoin; a new one ends the retries of the others
	pulledAt   time.Time // when a full list was last requested because another member knows more
	replaced   bool
	stops      []func()
	ctx        context.Context
	cancel     context.CancelFunc
}

type memberEntry struct {
	Member
	since        time.Time // start of the state
	deadline     time.Time // when a suspect is declared dead
	ownSuspicion bool      // suspected by this process's own probe
}

type groupStats struct {
	probes, failed, indirect, suspicions, refutations atomic.Uint64
}

// Stats holds counters since the start of a Group.
type Stats struct {
	Probes, FailedProbes, IndirectProbes, Suspicions, Refutations uint64
}

// NewGroup returns a group that knows only this process. It sends nothing
// before Start.
func NewGroup(cfg Config) *Group {
	cfg.applyDefaults()
	rnd := rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Self.ID)))
	self := cfg.Self
	self.State = Alive
	self.SenderIndex = -1
	// A later start has a higher incarnation; the random bits distinguish processes
	// that start in the same millisecond.
	self.Incarnation = uint64(max(0, cfg.Clock.Now().UnixMilli()))<<16 | uint64(rnd.UintN(1<<16))
	g := &Group{cfg: cfg, rnd: rnd, self: self, created: cfg.Clock.Now(), members: make(map[string]*memberEntry)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.documents = &Documents{
		check: cfg.CheckDocument,
		push:  g.pushDocument,
		docs:  make(map[string]*heldDocument),
		subs:  make(map[string]*subscribers[Document]),
	}
	g.notices = &Notices{now: cfg.Clock.Now, push: g.pushNotices, leafs: make(map[string]*leafEntry)}
	g.publish()
	return g
}

// Documents returns the documents that the group disseminates.
func (g *Group) Documents() *Documents { return g.documents }

// Notices returns the leaf notices that the group disseminates.
func (g *Group) Notices() *Notices { return g.notices }

// Members returns all known members including this process, ordered by ID. The
// slice is shared and must not be modified.
func (g *Group) Members() []Member { return *g.snapshot.Load() }

// Subscribe calls f with the member list after every change until stop is
// called. Calls may overlap; Members returns the newest list.
func (g *Group) Subscribe(f func([]Member)) (stop func()) { return g.subs.add(f) }

// Self returns this process's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// JoinedAt returns when full member lists were first exchanged with another process, or the zero
// time.
func (g *Group) JoinedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joinedAt
}

// Seeds returns the seeds in force.
func (g *Group) Seeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Seeds
}

// SetSeeds replaces the seeds. Those that belong to no present member are contacted at once,
// because they may know members that this process does not.
func (g *Group) SetSeeds(seeds []string) {
	g.mu.Lock()
	g.cfg.Seeds = slices.Clone(seeds)
	started := !g.lastTick.IsZero() && g.self.State != Left
	joined := !g.joinedAt.IsZero()
	unknown := g.unknownSeeds()
	g.mu.Unlock()
	switch {
	case !started:
	case !joined:
		g.startJoin()
	default:
		for _, addr := range unknown {
			g.cfg.Spawn(func() { _ = g.contact(addr) })
		}
	}
}

// Replaced reports whether a newer process with the same ID was seen.
func (g *Group) Replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replaced
}

// Stats returns the counters since the start.
func (g *Group) Stats() Stats {
	s := &g.stats
	return Stats{s.probes.Load(), s.failed.Load(), s.indirect.Load(), s.suspicions.Load(), s.refutations.Load()}
}

// Start joins through the seeds and starts probing.
func (g *Group) Start() {
	g.mu.Lock()
	g.lastTick = g.cfg.Clock.Now()
	// A random phase keeps instances that start together from probing together.
	phase := time.Duration(g.rnd.Int64N(int64(g.cfg.Period)))
	g.mu.Unlock()
	g.after(phase, func() {
		g.tick()
		g.onLeave(g.cfg.Clock.Every(g.cfg.Period, func(time.Time) { g.tick() }))
	})
	g.startJoin()
}

// Update modifies this process's own entry with f and disseminates it. A change to
// ConfigRevision, StoreReachable, StoreFailing or Met alone is not disseminated; it reaches other
// members with the next messages that this process sends them.
func (g *Group) Update(f func(*Member)) {
	g.mu.Lock()
	before := g.self
	f(&g.self)
	g.self.ID, g.self.State = before.ID, before.State
	g.self.Incarnation, g.self.Refutation = before.Incarnation, before.Refutation
	changed := g.self
	if changed == before {
		g.mu.Unlock()
		return
	}
	changed.ConfigRevision, changed.StoreReachable, changed.StoreFailing, changed.Met = before.ConfigRevision, before.StoreReachable, before.StoreFailing, before.Met
	if changed != before {
		g.self.Refutation++
	}
	g.mu.Unlock()
	g.publish()
}

// Leave notifies a few members that this process is shutting down and stops all
// periodic activity. The group still answers messages.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.self.State = Left
	g.self.Refutation++
	stops := g.stops
	g.stops = nil
	targets := g.pickRandom(leaveFanOut, nil)
	g.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	for _, m := range targets {
		if ctx.Err() != nil {
			break
		}
		reply, err := g.exchange(ctx, m, false, g.cfg.ProbeTimeout)
		if err != nil {
			continue
		}
		// Pushes that were just started, such as that of a released sender index,
		// would be lost when this process exits.
		newer, _ := g.documents.newerThan(reply.Digest)
		for _, doc := range newer {
			g.offer(m.PeerAddr, doc)
		}
	}
	g.cancel()
	g.publish()
}

// onLeave registers a function for Leave to call, or calls it if the group has been
// left.
func (g *Group) onLeave(stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == Left {
		stop()
		return
	}
	g.stops = append(g.stops, stop)
}

// after calls f after delay unless the group has been left.
func (g *Group) after(delay time.Duration, f func()) {
	g.cfg.Clock.After(delay, func(time.Time) {
		if g.ctx.Err() == nil {
			f()
		}
	})
}
