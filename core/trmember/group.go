package trmember

import (
	"context"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// Defaults of Config. Judgement, but for what the comments say.
const (
	DefaultPeriod       = time.Second
	DefaultProbeTimeout = 300 * time.Millisecond // the longest round trip between zones is 10 ms
	DefaultIndirect     = 3
	DefaultFanOut       = 4 // an epidemic with fan-out 4 reaches 98% of members; probes reach the rest
	DefaultMaxUpdates   = 8 // some 1.2 KB per message

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

	Period       time.Duration // between direct probes
	ProbeTimeout time.Duration // of one direct or indirect probe
	Indirect     int           // members asked to probe after a direct probe failed
	FanOut       int           // members a change of a document or notice is pushed to
	MaxUpdates   int           // member changes and notices per message, at most 64
}

func (c *Config) applyDefaults() {
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.Indirect, DefaultIndirect)
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

// join contacts the seeds in random order and again after a backoff, until one
// has answered.
func (g *Group) join(backoff time.Duration) {
	g.mu.Lock()
	seeds := slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(a string) bool { return a == g.self.PeerAddr })
	g.rnd.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	wait := backoff/2 + time.Duration(g.rnd.Int64N(int64(backoff)))
	g.mu.Unlock()
	if len(seeds) == 0 {
		return
	}
	g.cfg.Spawn(func() {
		for _, addr := range seeds {
			if g.ctx.Err() != nil || g.contact(addr) == nil {
				return
			}
		}
		g.after(wait, func() { g.join(min(2*backoff, joinBackoffMax)) })
	})
}

// contact exchanges full member lists with the process at addr.
func (g *Group) contact(addr string) error {
	timeout := fullTimeoutFactor * g.cfg.ProbeTimeout
	reply, err := g.exchange(g.ctx, Member{PeerAddr: addr}, true, timeout)
	if err != nil {
		return err
	}
	m := g.message(&reply.From, false)
	m.Members = g.unknownTo(reply)
	if len(m.Members) > 0 || len(m.Updates) > 0 {
		if _, err := g.send(g.ctx, addr, m, timeout); err != nil {
			return err
		}
	}
	g.mu.Lock()
	g.joined = true
	g.mu.Unlock()
	return nil
}

// unknownTo returns the entries that the sender of a full list lacks.
func (g *Group) unknownTo(reply *Exchange) []Member {
	known := make(map[string]*Member, len(reply.Members))
	for i := range reply.Members {
		known[reply.Members[i].ID] = &reply.Members[i]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var missing []Member
	for _, e := range g.members {
		if e.ID == reply.From.ID {
			continue
		}
		if k := known[e.ID]; k == nil || supersedes(&e.Member, k) {
			missing = append(missing, e.Member)
		}
	}
	slices.SortFunc(missing, compareMembers)
	return missing[:min(len(missing), maxMembersInMessage)]
}

// tick runs one probe period.
func (g *Group) tick() {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	g.ticks++
	changed := g.sweep(now)
	target, ok := g.next()
	suspects := g.accused()
	var contact string
	if g.ticks%recontactPeriods == 0 {
		contact = g.lost()
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
	if ok {
		g.cfg.Spawn(func() { g.probe(target) })
	}
	for _, m := range suspects {
		g.cfg.Spawn(func() { _, _ = g.exchange(g.ctx, m, false, g.cfg.ProbeTimeout) })
	}
	if contact != "" {
		g.cfg.Spawn(func() { _ = g.contact(contact) })
	}
}

// sweep declares suspects dead whose time is over and forgets members that have
// been gone for long. The caller holds g.mu.
func (g *Group) sweep(now time.Time) (changed bool) {
	// After a pause of this process the suspects have had no time to refute.
	if pause := now.Sub(g.lastTick) - 2*g.cfg.Period; pause > 0 {
		for _, e := range g.members {
			e.deadline = e.deadline.Add(pause)
		}
	}
	g.lastTick = now
	for id, e := range g.members {
		switch {
		case e.State == Suspect && !now.Before(e.deadline):
			e.State, e.since = Dead, now
			g.queue.add(id)
			changed = true
		case !e.Present() && now.Sub(e.since) > deadRetention:
			delete(g.members, id)
			g.queue.drop(id)
			changed = true
		}
	}
	return changed
}

// next returns the next member of the shuffled round. The caller holds g.mu.
func (g *Group) next() (Member, bool) {
	for {
		if len(g.order) == 0 {
			g.order = g.ids(nil)
			if len(g.order) == 0 {
				return Member{}, false
			}
			g.rnd.Shuffle(len(g.order), func(i, k int) { g.order[i], g.order[k] = g.order[k], g.order[i] })
		}
		id := g.order[len(g.order)-1]
		g.order = g.order[:len(g.order)-1]
		if e := g.members[id]; e != nil && e.Present() {
			return e.Member, true
		}
	}
}

// accused returns up to Indirect suspects that this process's own probes did not
// reach. They are told every period, so that a lost probe alone makes nobody
// dead. The caller holds g.mu.
func (g *Group) accused() []Member {
	var list []Member
	for _, e := range g.members {
		if e.accused && e.State == Suspect {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, compareMembers)
	return list[:min(len(list), g.cfg.Indirect)]
}

// ids returns the IDs of present members that skip does not name, sorted. The
// caller holds g.mu.
func (g *Group) ids(skip func(*Member) bool) []string {
	var ids []string
	for id, e := range g.members {
		if e.Present() && (skip == nil || !skip(&e.Member)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pick returns up to n random present members. The caller holds g.mu.
func (g *Group) pick(n int, skip func(*Member) bool) []Member {
	ids := g.ids(skip)
	n = min(n, len(ids))
	picked := make([]Member, n)
	for i := range picked {
		k := i + g.rnd.IntN(len(ids)-i)
		ids[i], ids[k] = ids[k], ids[i]
		picked[i] = g.members[ids[i]].Member
	}
	return picked
}

// lost returns the address of a random dead member or of a seed that belongs to
// no present member, or "". The caller holds g.mu.
func (g *Group) lost() string {
	present := map[string]bool{g.self.PeerAddr: true}
	for _, e := range g.members {
		present[e.PeerAddr] = present[e.PeerAddr] || e.Present()
	}
	var addrs []string
	for _, e := range g.members {
		if e.State == Dead && !present[e.PeerAddr] {
			addrs = append(addrs, e.PeerAddr)
		}
	}
	for _, seed := range g.cfg.Seeds {
		if !present[seed] {
			addrs = append(addrs, seed)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	slices.Sort(addrs)
	return addrs[g.rnd.IntN(len(addrs))]
}

// probe probes a member directly and then through others.
func (g *Group) probe(target Member) {
	g.stats.probes.Add(1)
	if _, err := g.exchange(g.ctx, target, false, g.cfg.ProbeTimeout); err == nil || g.ctx.Err() != nil {
		return
	}
	g.stats.failed.Add(1)
	g.mu.Lock()
	helpers := g.pick(g.cfg.Indirect, func(m *Member) bool { return m.ID == target.ID || m.State != Alive })
	g.mu.Unlock()
	if len(helpers) == 0 {
		g.suspect(target)
		return
	}
	var failed atomic.Int32
	for _, helper := range helpers {
		g.cfg.Spawn(func() {
			if !g.probeThrough(helper, target) && int(failed.Add(1)) == len(helpers) {
				g.suspect(target)
			}
		})
	}
}

func (g *Group) probeThrough(helper, target Member) bool {
	g.stats.indirect.Add(1)
	ctx, cancel := withTimeout(g.ctx, g.cfg.Clock, 2*g.cfg.ProbeTimeout)
	defer cancel()
	req := &Probe{TargetID: target.ID, Addr: target.PeerAddr, TimeoutMs: g.cfg.ProbeTimeout.Milliseconds()}
	reply, err := g.cfg.Transport.ProbeFor(ctx, helper.PeerAddr, req)
	if err != nil || !reply.Reached {
		return false
	}
	if reply.Target != nil && reply.Target.ID == target.ID {
		g.merge([]Member{*reply.Target}, false)
	}
	return true
}

// suspect marks a member as suspect unless newer knowledge arrived meanwhile.
func (g *Group) suspect(target Member) {
	if g.ctx.Err() != nil {
		return
	}
	g.stats.suspicions.Add(1)
	target.State = Suspect
	g.merge([]Member{target}, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.members[target.ID]; e != nil && e.Member == target {
		e.accused = true
	}
}

// exchange sends a probe and merges the answer. A target without an ID may be
// any process.
func (g *Group) exchange(ctx context.Context, target Member, full bool, timeout time.Duration) (*Exchange, error) {
	reply, err := g.send(ctx, target.PeerAddr, g.message(&target, full), timeout)
	if err != nil {
		return nil, err
	}
	if target.ID != "" && reply.From.ID != target.ID {
		return nil, errors.Errorf("member %q answers at the address of %q", reply.From.ID, target.ID)
	}
	return reply, nil
}

func (g *Group) send(ctx context.Context, addr string, m *Exchange, timeout time.Duration) (*Exchange, error) {
	ctx, cancel := withTimeout(ctx, g.cfg.Clock, timeout)
	defer cancel()
	sent := g.cfg.Clock.Now()
	reply, err := g.cfg.Transport.Exchange(ctx, addr, m)
	if err != nil {
		return nil, err
	}
	if reply.From.ID == g.cfg.Self.ID {
		g.mergeOwner(reply.From)
		return nil, ErrSelf
	}
	if g.cfg.StoreClock != nil {
		g.cfg.StoreClock.ObservePeer(reply.ClockMs, reply.ClockUncertaintyMs, sent, g.cfg.Clock.Now())
	}
	g.receive(reply)
	for _, doc := range g.documents.newerThan(reply.Digest) {
		g.cfg.Spawn(func() { g.offer(addr, doc) })
	}
	return reply, nil
}

// message returns the fields common to probes and answers for a receiver. A
// receiver that is held as suspect, dead or replaced is told.
func (g *Group) message(receiver *Member, full bool) *Exchange {
	g.mu.Lock()
	m := &Exchange{From: g.self, Full: full}
	limit := g.retransmit()
	if e := g.members[receiver.ID]; e != nil && (e.State != Alive || e.Incarnation > receiver.Incarnation) {
		m.Updates = append(m.Updates, e.Member)
	}
	count := g.cfg.MaxUpdates
	if len(g.queue.sent) > count {
		count = min(burstFactor*count, maxUpdatesInMessage-1)
	}
	for _, id := range g.queue.take(count, limit) {
		if e := g.members[id]; e != nil && id != receiver.ID {
			m.Updates = append(m.Updates, e.Member)
		}
	}
	g.mu.Unlock()
	m.Notices = g.notices.take(g.cfg.MaxUpdates, limit)
	m.Digest = g.documents.digest()
	m.ClockMs, m.ClockUncertaintyMs = g.cfg.StoreClock.wire(g.cfg.Clock.Now())
	return m
}

// retransmit returns how often a change is sent. The caller holds g.mu.
func (g *Group) retransmit() int {
	return retransmitFactor * max(1, bits.Len(uint(len(g.members))))
}

// Exchange answers a probe of another member.
func (g *Group) Exchange(_ context.Context, m *Exchange) (*Exchange, error) {
	if m.From.ID == g.cfg.Self.ID && m.From.Incarnation == g.Self().Incarnation {
		return nil, ErrSelf
	}
	g.receive(m)
	reply := g.message(&m.From, false)
	reply.Documents = g.documents.newerThan(m.Digest)
	if m.Full {
		reply.Notices = g.notices.fresh()
		g.mu.Lock()
		for _, e := range g.members {
			reply.Members = append(reply.Members, e.Member)
		}
		g.mu.Unlock()
		slices.SortFunc(reply.Members, compareMembers)
	}
	return reply, nil
}

// ProbeFor probes a member on behalf of another one.
func (g *Group) ProbeFor(ctx context.Context, p *Probe) (*ProbeReply, error) {
	timeout := min(time.Duration(p.TimeoutMs)*time.Millisecond, g.cfg.ProbeTimeout)
	reply, err := g.exchange(ctx, Member{ID: p.TargetID, PeerAddr: p.Addr}, false, timeout)
	if err != nil {
		return &ProbeReply{}, nil
	}
	return &ProbeReply{Reached: true, Target: &reply.From}, nil
}

// Push takes over a pushed document or notices.
func (g *Group) Push(_ context.Context, p *Push) (*PushReply, error) {
	g.notices.merge(p.Notices)
	if p.Document != nil {
		g.documents.Set(*p.Document)
	}
	return &PushReply{Want: p.Announce != nil && g.documents.wants(*p.Announce)}, nil
}

// receive takes over what a message of another member carries.
func (g *Group) receive(m *Exchange) {
	g.merge(m.Members, true)
	g.merge(m.Updates, false)
	g.mergeOwner(m.From)
	g.notices.merge(m.Notices)
	for _, doc := range m.Documents {
		g.documents.Set(doc)
	}
}

// merge takes over newer entries. In a full list a dead entry may come from the
// other side of a partition, so a member alive here gets time to refute it.
func (g *Group) merge(list []Member, full bool) {
	now := g.cfg.Clock.Now()
	changed := false
	g.mu.Lock()
	for _, m := range list {
		if m.ID == g.self.ID {
			changed = g.refute(&m) || changed
			continue
		}
		old := g.members[m.ID]
		if full && m.State == Dead && old != nil && old.Present() && m.Incarnation == old.Incarnation {
			m.State = Suspect
		}
		changed = g.apply(m, old, now) || changed
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// mergeOwner takes over the entry of the member that sent it. Only there are the
// lagging fields newer than the ones held.
func (g *Group) mergeOwner(m Member) {
	g.merge([]Member{m}, false)
	g.mu.Lock()
	e := g.members[m.ID]
	lagging := e != nil && m != e.Member && !supersedes(&m, &e.Member) && !supersedes(&e.Member, &m)
	if !lagging {
		g.mu.Unlock()
		return
	}
	e.Member = m
	list := g.republish(m)
	g.mu.Unlock()
	g.subs.call(list)
}

// republish replaces one entry of the member list. After a change of the
// configuration every message of another member brings a lagging field, and at
// 1,300 members a copy of the list takes a small part of the time of a sort. The
// caller holds g.mu.
func (g *Group) republish(m Member) []Member {
	list := slices.Clone(*g.snapshot.Load())
	if i, found := slices.BinarySearchFunc(list, m, compareMembers); found {
		list[i] = m
	}
	g.snapshot.Store(&list)
	return list
}

// apply replaces an entry by a newer one. The caller holds g.mu.
func (g *Group) apply(m Member, old *memberEntry, now time.Time) bool {
	if old == nil && !m.Present() {
		return false
	}
	if old != nil && !supersedes(&m, &old.Member) {
		return false
	}
	e := &memberEntry{Member: m, since: now}
	if m.State == Suspect {
		e.deadline = now.Add(g.suspicionTimeout())
	}
	g.members[m.ID] = e
	g.queue.add(m.ID)
	return true
}

// refute answers an entry about this process. The caller holds g.mu.
func (g *Group) refute(m *Member) (changed bool) {
	if m.Incarnation > g.self.Incarnation {
		g.replaced = true
		return false
	}
	if m.Incarnation < g.self.Incarnation || g.self.State == Left || !supersedes(m, &g.self) {
		return false
	}
	g.self.Refutation = m.Refutation + 1
	g.stats.refutations.Add(1)
	return true
}

// suspicionTimeout is longer in larger groups, since a refutation takes more
// periods to arrive. The caller holds g.mu.
func (g *Group) suspicionTimeout() time.Duration {
	periods := max(minSuspicion, suspicionPeriods*bits.Len(uint(len(g.members))))
	return time.Duration(periods) * g.cfg.Period
}

// publish replaces the member list and calls the subscribers. The list is made
// from the previous one, so that the sort finds it in order but for new members.
func (g *Group) publish() {
	g.mu.Lock()
	old := []Member{g.self}
	if p := g.snapshot.Load(); p != nil {
		old = *p
	}
	list := make([]Member, 0, len(g.members)+1)
	for i := range old {
		if e := g.members[old[i].ID]; e != nil {
			list = append(list, e.Member)
		} else if old[i].ID == g.self.ID {
			list = append(list, g.self)
		}
	}
	if len(list) <= len(g.members) {
		for id, e := range g.members {
			if _, found := slices.BinarySearchFunc(old, Member{ID: id}, compareMembers); !found {
				list = append(list, e.Member)
			}
		}
	}
	slices.SortFunc(list, compareMembers)
	g.snapshot.Store(&list)
	g.mu.Unlock()
	g.subs.call(list)
}

func compareMembers(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// pushDocument offers a document to a few random members.
func (g *Group) pushDocument(doc Document) {
	for _, m := range g.fanOut() {
		g.cfg.Spawn(func() { g.offer(m.PeerAddr, doc) })
	}
}

// offer sends a document to a member, a large one only if the member wants it.
func (g *Group) offer(addr string, doc Document) {
	timeout := fullTimeoutFactor * g.cfg.ProbeTimeout
	if len(doc.Body) > announceBytes {
		reply, err := g.push(addr, &Push{Announce: &Revision{doc.Name, doc.Revision}}, timeout)
		if err != nil || !reply.Want {
			return
		}
	}
	_, _ = g.push(addr, &Push{Document: &doc}, timeout)
}

// pushNotices sends changed notices to a few random members.
func (g *Group) pushNotices(list []Notice) {
	list = list[:min(len(list), maxNoticesInMessage)]
	for _, m := range g.fanOut() {
		g.cfg.Spawn(func() { _, _ = g.push(m.PeerAddr, &Push{Notices: list}, g.cfg.ProbeTimeout) })
	}
}

func (g *Group) fanOut() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == Left {
		return nil
	}
	return g.pick(g.cfg.FanOut, func(m *Member) bool { return m.State != Alive })
}

func (g *Group) push(addr string, p *Push, timeout time.Duration) (*PushReply, error) {
	p.From = g.cfg.Self.ID
	ctx, cancel := withTimeout(g.ctx, g.cfg.Clock, timeout)
	defer cancel()
	return g.cfg.Transport.Push(ctx, addr, p)
}

// withTimeout is context.WithTimeout on a trclock.Clock.
func withTimeout(parent context.Context, clock trclock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := clock.After(d, func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Watchers returns the n present members of zone that rank highest by
// rendezvous hashing, best first.
func (g *Group) Watchers(zone string, n int) []Member {
	return watchers(g.Members(), zone, n)
}

func watchers(members []Member, zone string, n int) []Member {
	type candidate struct {
		rank   uint64
		member *Member
	}
	var list []candidate
	for i := range members {
		if m := &members[i]; m.Zone == zone && m.State == Alive {
			list = append(list, candidate{rank(zone, m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.rank != b.rank {
			return compareRank(b.rank, a.rank)
		}
		return compareMembers(*a.member, *b.member)
	})
	best := make([]Member, min(n, len(list)))
	for i := range best {
		best[i] = *list[i].member
	}
	return best
}

// watcherCheck is the answer of IsWatcher for one member list.
type watcherCheck struct {
	members *[]Member
	n       int
	is      bool
}

// IsWatcher reports whether this process is one of the n watchers of its zone.
// It is asked several times a second, so the answer is kept until the member
// list changes.
func (g *Group) IsWatcher(n int) bool {
	members := g.snapshot.Load()
	if c := g.watcher.Load(); c != nil && c.members == members && c.n == n {
		return c.is
	}
	is := slices.ContainsFunc(watchers(*members, g.cfg.Self.Zone, n), func(m Member) bool { return m.ID == g.cfg.Self.ID })
	g.watcher.Store(&watcherCheck{members, n, is})
	return is
}

// rank is the weight of a candidate for a key in rendezvous hashing.
func rank(key, candidate string) uint64 {
	b := make([]byte, 0, 64)
	b = binary.AppendUvarint(b, uint64(len(key)))
	b = append(b, key...)
	return xxhash.Sum64(append(b, candidate...))
}

func compareRank(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
