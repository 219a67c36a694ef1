// Package trroute decides which snapshot a query reads and which leaf serves each
// shard.
//
// The Router is a controller: it takes the platform's list, the configuration,
// the hellos of leafs, their replies and the notices of peers, and publishes an
// immutable Table. The Dispatcher picks a replica for each sub-query, takes the
// leaf's permit, queues sub-queries that find none, and feeds the outcome back.
//
// # Usage
//
//	router := trroute.NewRouter(trroute.Options{Zone: "a", Clock: clock, Sender: lease, StoreTime: lease})
//	router.SetPolicy(policy)
//	router.SetInstances(list)
//	for _, leaf := range router.NeedHello(clock.Now()) {
//		// ask the leaf, then
//		router.ObserveHello(leaf.ID, hello)
//	}
//	dispatcher := trroute.NewDispatcher(router)
//	snap, _ := router.Table().Service("catalogue").Choose(0)
//	grant, refused := dispatcher.Acquire(ctx, trroute.Want{Shard: &snap.Shards[0], Deadline: deadline, Timeout: timeout})
//	if refused != nil {
//		return refused
//	}
//	// send to grant.Leaf with grant.StartID and grant.Timeout
//	grant.Done(trroute.Outcome{Latency: latency, StartID: reply.StartID, Draining: reply.Draining})
package trroute

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trwire"
)

const (
	// rebuildGap is the shortest time between two table rebuilds. It coalesces the
	// changes of a restart wave; a single change takes effect at once.
	rebuildGap = 20 * time.Millisecond
	// defaultHelloAge is the age at which holdings are asked for again. Judgement:
	// a new version is seen within 2 s without measurable load on the leafs.
	defaultHelloAge = 2 * time.Second
	// helloRetry is the time after which a hello that did not arrive is asked for
	// again.
	helloRetry = 500 * time.Millisecond
	// unlistedKeep is the time for which a leaf that vanished from the list is
	// remembered, so that a gap in the list does not make a warm leaf cold.
	unlistedKeep = 10 * time.Minute
)

// PolicyView is the part of the configuration in force that routing reads.
type PolicyView interface {
	Service(service, zone string) *trconfig.ServicePolicy
	Fleet() *trconfig.FleetPolicy
	ZoneOut(zone string) bool
	UpstreamOut(leafID string) bool
}

// notice is first-hand evidence about a leaf that peers should learn.
type notice struct {
	leafID       string
	startID      string
	draining     bool
	firstSeenAge time.Duration
}

// Options configure a Router.
type Options struct {
	Zone      string // zone of this instance
	Clock     trclock.Clock
	Seed      uint64
	Sender    trlimit.SenderView
	StoreTime trlimit.StoreTimeView
	Picker    Picker        // nil for LeastInFlight
	HelloAge  time.Duration // 0 for 2 s
	// OnNotice receives first-hand evidence that peers should learn. age is the
	// time since startID was first seen by any instance. It may be nil and is
	// called without locks held.
	OnNotice func(leafID, startID string, draining bool, age time.Duration)
}

// Router maintains the routing table. Create it with NewRouter.
type Router struct {
	opts  Options
	epoch time.Time
	table atomic.Pointer[Table]

	mu        sync.Mutex
	policy    PolicyView
	leafs     map[string]*Leaf
	byService map[string][]*Leaf
	dirty     map[string]bool
	builtAt   time.Time
	built     bool // the table was rebuilt in the running update
	scheduled bool
	notices   []notice
	onRebuild []func()
	strange   int
}

// NewRouter returns a router with an empty table.
func NewRouter(opts Options) *Router {
	if opts.Picker == nil {
		opts.Picker = LeastInFlight{}
	}
	if opts.HelloAge <= 0 {
		opts.HelloAge = defaultHelloAge
	}
	r := &Router{
		opts:      opts,
		epoch:     opts.Clock.Now(),
		leafs:     make(map[string]*Leaf),
		byService: make(map[string][]*Leaf),
		dirty:     make(map[string]bool),
	}
	r.table.Store(&Table{})
	return r
}

// Table returns the current routing table.
func (r *Router) Table() *Table { return r.table.Load() }

// Leaf returns the listed leaf with the given ID, or nil.
func (r *Router) Leaf(leafID string) *Leaf {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.leafs[leafID]; l != nil && l.info.state != "" {
		return l
	}
	return nil
}

// MismatchedHellos returns the number of hellos ignored because they name another
// leaf or service than the list does.
func (r *Router) MismatchedHellos() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.strange
}

func (r *Router) views() trlimit.Views {
	return trlimit.Views{Sender: r.opts.Sender, StoreTime: r.opts.StoreTime}
}

// update runs f under the lock, rebuilds what f marked dirty and then calls the
// callbacks without the lock.
func (r *Router) update(f func(now time.Time)) {
	now := r.opts.Clock.Now()
	r.mu.Lock()
	f(now)
	r.rebuildDue(now)
	notices, built := r.notices, r.built
	r.notices, r.built = nil, false
	callbacks := r.onRebuild
	r.mu.Unlock()
	for _, n := range notices {
		r.opts.OnNotice(n.leafID, n.startID, n.draining, n.firstSeenAge)
	}
	if !built {
		return
	}
	for _, call := range callbacks {
		call()
	}
}

// rebuildDue rebuilds the table now or schedules the rebuild.
func (r *Router) rebuildDue(now time.Time) {
	if len(r.dirty) == 0 || r.scheduled {
		return
	}
	if wait := rebuildGap - now.Sub(r.builtAt); wait > 0 && !r.builtAt.IsZero() {
		r.scheduled = true
		r.opts.Clock.After(wait, func(time.Time) {
			r.update(func(time.Time) { r.scheduled = false })
		})
		return
	}
	r.rebuild(now)
}

// rebuild replaces the services that are marked dirty.
func (r *Router) rebuild(now time.Time) {
	old := r.table.Load()
	services := make(map[string]*Service, len(r.byService))
	policies := make(map[[2]string]*trlimit.LeafPolicy)
	for name, leafs := range r.byService {
		if s := old.services[name]; s != nil && !r.dirty[name] {
			services[name] = s
			continue
		}
		if r.policy == nil {
			continue
		}
		for _, l := range leafs {
			r.refresh(l, now, policies)
		}
		services[name] = buildService(name, leafs)
	}
	r.table.Store(&Table{services: services})
	clear(r.dirty)
	r.builtAt = now
	r.built = true
}

// refresh applies policy and state to a leaf.
func (r *Router) refresh(l *Leaf, now time.Time, policies map[[2]string]*trlimit.LeafPolicy) {
	key := [2]string{l.Service, l.Zone}
	p := policies[key]
	if p == nil {
		p = trlimit.NewLeafPolicy(r.policy.Service(l.Service, l.Zone), r.policy.Fleet())
		policies[key] = p
	}
	l.policy.Store(p)
	out := r.policy.ZoneOut(l.Zone) || r.policy.UpstreamOut(l.ID)
	usable := l.info.state == trwire.StateLive && l.info.hello != nil && !l.draining.Load() && !out
	if usable && !l.usable.Load() && l.info.wasUsable {
		l.Limit.BeginSlowStart(now)
	}
	l.info.wasUsable = l.info.wasUsable || usable
	l.usable.Store(usable)
	l.Limit.ObserveSender(now, l.work(0, 0, r.views()))
}

// SetPolicy replaces the configuration in force.
func (r *Router) SetPolicy(p PolicyView) {
	r.update(func(time.Time) {
		r.policy = p
		for name := range r.byService {
			r.dirty[name] = true
		}
	})
}

// SetInstances replaces the platform's list.
func (r *Router) SetInstances(list *trwire.InstanceList) {
	r.update(func(now time.Time) {
		listed := make(map[string]bool, len(list.Instances))
		for i := range list.Instances {
			in := &list.Instances[i]
			if in.Role != trwire.RoleLeaf || listed[in.ID] {
				continue
			}
			listed[in.ID] = true
			r.list(in)
		}
		for id, l := range r.leafs {
			if !listed[id] {
				r.unlist(l, now)
			}
		}
		r.index()
	})
}

// list adds or updates the leaf of one line of the platform's list.
func (r *Router) list(in *trwire.Instance) {
	l := r.leafs[in.ID]
	if l != nil && (l.Addr != in.Addr || l.Service != in.Service || l.Zone != in.Zone) {
		l.usable.Store(false)
		r.dirty[l.Service] = true
		l = nil
	}
	if l == nil {
		l = &Leaf{ID: in.ID, Service: in.Service, Zone: in.Zone, Addr: in.Addr, epoch: r.epoch}
		l.policy.Store(&trlimit.LeafPolicy{})
		r.leafs[in.ID] = l
	}
	if l.info.state != in.State {
		l.info.state = in.State
		r.dirty[l.Service] = true
	}
}

func (r *Router) unlist(l *Leaf, now time.Time) {
	if l.info.state != "" {
		l.info.state = ""
		l.info.unlistedAt = now
		l.usable.Store(false)
		r.dirty[l.Service] = true
	}
	if now.Sub(l.info.unlistedAt) > unlistedKeep {
		delete(r.leafs, l.ID)
	}
}

// index orders the listed leafs of each service by ID, so that equal inputs make
// equal tables.
func (r *Router) index() {
	clear(r.byService)
	for _, l := range r.leafs {
		if l.info.state != "" {
			r.byService[l.Service] = append(r.byService[l.Service], l)
		}
	}
	for _, leafs := range r.byService {
		slices.SortFunc(leafs, compareLeafs)
	}
}

func compareLeafs(a, b *Leaf) int { return cmp.Compare(a.ID, b.ID) }

// ObserveHello records what a leaf says of itself. A hello that names another
// leaf or service than the list is counted and ignored.
func (r *Router) ObserveHello(leafID string, h *trwire.Hello) {
	r.update(func(now time.Time) {
		l := r.leafs[leafID]
		if l == nil || h.LeafID != leafID || h.Service != l.Service {
			r.strange++
			return
		}
		fresh := r.setStart(l, h.StartID, now)
		if h.Draining != l.draining.Load() {
			l.draining.Store(h.Draining)
			r.dirty[l.Service] = true
			fresh = fresh || h.Draining
		}
		if l.info.hello == nil || !slices.Equal(l.info.hello.Holdings, h.Holdings) {
			r.dirty[l.Service] = true
		}
		l.info.hello = h
		l.info.helloAt = now
		l.info.stale = false
		if fresh {
			r.notice(l, now)
		}
	})
}

// ObserveReply records the start and the drain flag that a reply carries. A reply
// of a former start is ignored. It is cheap if nothing changed.
func (r *Router) ObserveReply(l *Leaf, startID string, draining bool) {
	if startID == "" || l.StartID() == startID && (!draining || l.draining.Load()) {
		return
	}
	r.update(func(now time.Time) {
		if slices.Contains(l.info.retired, startID) {
			return
		}
		fresh := r.setStart(l, startID, now)
		if draining && !l.draining.Load() {
			l.draining.Store(true)
			r.dirty[l.Service] = true
			fresh = true
		}
		if fresh {
			r.notice(l, now)
		}
	})
}

// ApplyNotice records what a peer saw. firstSeenAge is the time since startID was
// first seen by any instance.
func (r *Router) ApplyNotice(leafID, startID string, draining bool, firstSeenAge time.Duration) {
	r.update(func(now time.Time) {
		l := r.leafs[leafID]
		if l == nil || startID == "" || slices.Contains(l.info.retired, startID) {
			return
		}
		firstSeen := now.Add(-max(0, firstSeenAge))
		current, seen := l.Limit.Start()
		if current != "" && current != startID && firstSeen.Before(seen) {
			l.retire(startID)
			return
		}
		r.setStart(l, startID, firstSeen)
		if draining && !l.draining.Load() {
			l.draining.Store(true)
			r.dirty[l.Service] = true
		}
	})
}

// setStart records a start of the leaf and reports whether it is a new one. The
// holdings of the former start no longer hold.
func (r *Router) setStart(l *Leaf, startID string, firstSeen time.Time) bool {
	current := l.StartID()
	l.Limit.ObserveStart(startID, firstSeen)
	if current == startID {
		return false
	}
	l.retire(current)
	// A hello can show a start that was retired too early.
	l.info.retired = slices.DeleteFunc(l.info.retired, func(id string) bool { return id == startID })
	l.startID.Store(&startID)
	l.info.hello = nil
	l.info.stale = true
	l.draining.Store(false)
	l.failures.Store(0)
	l.ejected.Store(0)
	r.dirty[l.Service] = true
	return true
}

func (l *Leaf) retire(startID string) {
	if startID == "" {
		return
	}
	l.info.retired = append(l.info.retired, startID)
	if extra := len(l.info.retired) - retiredStarts; extra > 0 {
		l.info.retired = slices.Delete(l.info.retired, 0, extra)
	}
}

func (r *Router) notice(l *Leaf, now time.Time) {
	if r.opts.OnNotice == nil {
		return
	}
	startID, firstSeen := l.Limit.Start()
	r.notices = append(r.notices, notice{l.ID, startID, l.draining.Load(), now.Sub(firstSeen)})
}

// MarkStale marks the holdings of a leaf as out of date, so that NeedHello returns
// it at once.
func (r *Router) MarkStale(l *Leaf) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.info.stale = true
}

// NeedHello returns the listed leafs whose hello is missing, out of date or older
// than Options.HelloAge. A leaf is returned again only after a pause. Without a
// sender index it returns none, because only a sender connects to leafs.
func (r *Router) NeedHello(now time.Time) []*Leaf {
	if _, _, ok := r.opts.Sender.Sender(now); !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var need []*Leaf
	for _, leafs := range r.byService {
		for _, l := range leafs {
			l.Limit.ObserveSender(now, l.work(0, 0, r.views()))
			missing := l.info.hello == nil || l.info.stale || now.Sub(l.info.helloAt) >= r.opts.HelloAge
			if missing && now.Sub(l.info.asked) >= helloRetry {
				l.info.asked = now
				need = append(need, l)
			}
		}
	}
	slices.SortFunc(need, compareLeafs)
	return need
}
