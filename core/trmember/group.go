package trmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// Defaults of Config. Judgement, but for what the comments say.
const (
	DefaultPeriod         = time.Second
	DefaultProbeTimeout   = 300 * time.Millisecond // the longest round trip between zones is 10 ms
	DefaultIndirectProbes = 3
	DefaultFanOut         = 4 // an epidemic with fan-out 4 reaches 98% of members; probes reach the rest
	DefaultMaxUpdates     = 8 // some 1.2 KB per message

	suspicionPeriods  = 1  // times log2 of the group's size, at least minSuspicion
	minSuspicion      = 4  // periods
	retransmitFactor  = 3  // times log2 of the group's size
	recontactPeriods  = 10 // periods between contacts with seeds and dead members
	deadRetention     = time.Hour
	burstFactor       = 4 // times MaxUpdates in a message while more changes wait, as after many joins
	joinBackoff       = 500 * time.Millisecond
	joinBackoffMax    = 30 * time.Second
	fullTimeoutFactor = 5 // a full list takes longer than a probe
	leaveNotified     = 5 // members told by Leave
)

// ErrSelf is returned for a message that a process sent to itself.
var ErrSelf = errors.New("message comes from this process itself")

// Config holds the settings of a Group. Zero durations and counts take the
// defaults above.
type Config struct {
	Self      Member   // ID, Zone, Addr and PeerAddr; the rest is set by the Group
	Seeds     []string // peer addresses to join through
	Clock     trclock.Clock
	Seed      uint64
	Transport Transport

	StoreClock    *StoreClock          // nil if not used
	CheckDocument func(Document) error // nil accepts every document
	Spawn         func(func())         // runs a call concurrently; nil starts a goroutine

	// PushInZone limits pushes of documents to members of the own availability
	// zone, if there are any. It suits documents that a member of each zone learns
	// at the source; probes carry them between zones otherwise.
	PushInZone bool

	Period         time.Duration // between direct probes
	ProbeTimeout   time.Duration // of one direct or indirect probe
	IndirectProbes int           // members asked to probe after a direct probe failed
	FanOut         int           // members a change of a document or notice is pushed to
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

// Group is this process's view of the tier's instances.
type Group struct {
	cfg       Config
	documents *Documents
	notices   *Notices
	subs      subscribers[[]Member]
	snapshot  atomic.Pointer[[]Member]
	watcher   atomic.Pointer[watcherCheck]
	stats     groupStats

	mu       sync.Mutex
	rnd      *rand.Rand
	self     Member
	members  map[string]*memberEntry // without self
	queue    updateQueue
	order    []string // members still to be probed in this round
	ticks    uint64
	lastTick time.Time
	joined   bool
	replaced bool
	stops    []func()
	ctx      context.Context
	cancel   context.CancelFunc
}

type memberEntry struct {
	Member
	since    time.Time // of the state
	deadline time.Time // a suspect is dead then
	accused  bool      // suspected by this process's own probe
}

type groupStats struct {
	probes, failed, indirect, suspicions, refutations atomic.Uint64
}

// Stats holds counts since the start of a Group.
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
	self.Incarnation = uint64(max(0, cfg.Clock.Now().UnixMilli()))<<16 | uint64(rnd.UintN(1<<16))
	g := &Group{cfg: cfg, rnd: rnd, self: self, members: make(map[string]*memberEntry)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.documents = &Documents{
		check: cfg.CheckDocument,
		push:  g.pushDocument,
		docs:  make(map[string]Document),
		subs:  make(map[string]*subscribers[Document]),
	}
	g.notices = &Notices{now: cfg.Clock.Now, push: g.pushNotices, facts: make(map[string]*leafEntry)}
	g.publish()
	return g
}

// Documents returns the documents that the group disseminates.
func (g *Group) Documents() *Documents { return g.documents }

// Notices returns the leaf notices that the group disseminates.
func (g *Group) Notices() *Notices { return g.notices }

// Members returns all known members with this process, ordered by ID. The slice
// is shared and must not be changed.
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

// Joined reports whether a seed has answered.
func (g *Group) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joined
}

// Replaced reports whether a newer process with the same ID was seen.
func (g *Group) Replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replaced
}

// Stats returns counts since the start.
func (g *Group) Stats() Stats {
	s := &g.stats
	return Stats{s.probes.Load(), s.failed.Load(), s.indirect.Load(), s.suspicions.Load(), s.refutations.Load()}
}

// Start joins through the seeds and begins to probe.
func (g *Group) Start() {
	g.mu.Lock()
	g.lastTick = g.cfg.Clock.Now()
	// A random phase keeps instances that start together from probing together.
	phase := time.Duration(g.rnd.Int64N(int64(g.cfg.Period)))
	g.mu.Unlock()
	g.after(phase, func() {
		g.tick()
		g.keep(g.cfg.Clock.Every(g.cfg.Period, func(time.Time) { g.tick() }))
	})
	g.join(joinBackoff)
}

// Update changes this process's own entry through f and disseminates it. A
// change of ConfigRevision or StoreReachable alone travels with later messages.
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
	changed.ConfigRevision, changed.StoreReachable = before.ConfigRevision, before.StoreReachable
	if changed != before {
		g.self.Refutation++
	}
	g.mu.Unlock()
	g.publish()
}

// Leave tells a few members that this process ends and stops all activity. The
// group still answers messages.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.self.State = Left
	g.self.Refutation++
	stops := g.stops
	g.stops = nil
	targets := g.pick(leaveNotified, nil)
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
		// Pushes started just before, as of a released sender index, would end
		// with this process.
		for _, doc := range g.documents.newerThan(reply.Digest) {
			g.offer(m.PeerAddr, doc)
		}
	}
	g.cancel()
	g.publish()
}

// keep registers a function that Leave calls.
func (g *Group) keep(stop func()) {
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
