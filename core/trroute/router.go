// Package trroute chooses the snapshot that a query reads and the leaf that serves
// each shard.
//
// The Router is a controller: it combines the platform's instance list, the
// configuration, the hellos and replies of leafs and the notices of peers into an
// immutable routing Table. The Dispatcher picks a replica for each sub-query, takes
// a permit for the leaf, queues sub-queries without a permit, and updates the
// statistics with the outcome.
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
//	grant, refused := dispatcher.Acquire(ctx, trroute.AcquireRequest{Shard: &snap.Shards[0], Deadline: deadline, Timeout: timeout})
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
	// minRebuildInterval is the shortest time between two table rebuilds. It coalesces
	// the changes when many leafs restart; a single change takes effect at once.
	minRebuildInterval = 20 * time.Millisecond
	// defaultHelloAge is the age at which a hello is requested again. A new version
	// is seen within 2 s, without measurable load on the leafs.
	defaultHelloAge = 2 * time.Second
	// helloRetryInterval is the time after which a hello that did not arrive is
	// requested again.
	helloRetryInterval = 500 * time.Millisecond
	// unlistedRetention is the time for which a leaf that is missing from the list is
	// remembered, so that a temporary gap in the list does not make a warm leaf cold.
	unlistedRetention = 10 * time.Minute
)

// PolicyView provides the part of the configuration in force that routing reads.
type PolicyView interface {
	Service(service, zone string) *trconfig.ServicePolicy
	Fleet() *trconfig.FleetPolicy
	ZoneOut(zone string) bool
	UpstreamOut(leafID string) bool
}

// peerNotice is a change of a leaf that this instance observed itself and that is
// to be sent to peers.
type peerNotice struct {
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
	HelloAge  time.Duration // age at which a hello is requested again, 0 for 2 s
	// OnNotice is called with each change of a leaf that this instance observed
	// itself, to be sent to peers. age is the time since any instance first saw
	// startID. It may be nil and is called without locks held.
	OnNotice func(leafID, startID string, draining bool, age time.Duration)
}

// Router maintains the routing table. Create it with NewRouter.
type Router struct {
	opts  Options
	epoch time.Time
	table atomic.Pointer[Table]

	mu               sync.Mutex
	policy           PolicyView
	leafs            map[string]*Leaf
	byService        map[string][]*Leaf
	dirty            map[string]bool
	builtAt          time.Time
	rebuilt          bool // the table was rebuilt in the current update
	rebuildScheduled bool
	notices          []peerNotice
	onRebuild        []func()
	mismatchedHellos int
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

// MismatchedHellos returns the number of hellos that were ignored because their leaf
// ID or service does not match the list.
func (r *Router) MismatchedHellos() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mismatchedHellos
}

func (r *Router) views() trlimit.Views {
	return trlimit.Views{Sender: r.opts.Sender, StoreTime: r.opts.StoreTime}
}

// update runs f with the lock held, rebuilds the services that f marked dirty and
// then runs the callbacks without the lock.
func (r *Router) update(f func(now time.Time)) {
	now := r.opts.Clock.Now()
	r.mu.Lock()
	f(now)
	r.rebuildOrSchedule(now)
	notices, rebuilt := r.notices, r.rebuilt
	r.notices, r.rebuilt = nil, false
	callbacks := r.onRebuild
	r.mu.Unlock()
	for _, n := range notices {
		r.opts.OnNotice(n.leafID, n.startID, n.draining, n.firstSeenAge)
	}
	if !rebuilt {
		return
	}
	for _, call := range callbacks {
		call()
	}
}

// rebuildOrSchedule rebuilds the table now, or schedules the rebuild if the last one
// is less than minRebuildInterval ago.
func (r *Router) rebuildOrSchedule(now time.Time) {
	if len(r.dirty) == 0 || r.rebuildScheduled {
		return
	}
	if wait := minRebuildInterval - now.Sub(r.builtAt); wait > 0 && !r.builtAt.IsZero() {
		r.rebuildScheduled = true
		r.opts.Clock.After(wait, func(time.Time) {
			r.update(func(time.Time) { r.rebuildScheduled = false })
		})
		return
	}
	r.rebuild(now)
}

// rebuild publishes a new table in which the services marked dirty are rebuilt.
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
			r.updateLeaf(l, now, policies)
		}
		services[name] = buildService(name, leafs)
	}
	r.table.Store(&Table{services: services})
	clear(r.dirty)
	r.builtAt = now
	r.rebuilt = true
}

// updateLeaf applies the configuration and the observed state to a leaf.
func (r *Router) updateLeaf(l *Leaf, now time.Time, policies map[[2]string]*trlimit.LeafPolicy) {
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
	l.Limit.ObserveSender(now, l.permitRequest(0, 0, r.views()))
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

// SetInstances replaces the platform's instance list.
func (r *Router) SetInstances(list *trwire.InstanceList) {
	r.update(func(now time.Time) {
		listed := make(map[string]bool, len(list.Instances))
		for i := range list.Instances {
			in := &list.Instances[i]
			if in.Role != trwire.RoleLeaf || listed[in.ID] {
				continue
			}
			listed[in.ID] = true
			r.listLeaf(in)
		}
		for id, l := range r.leafs {
			if !listed[id] {
				r.unlistLeaf(l, now)
			}
		}
		r.indexServices()
	})
}

// listLeaf adds or updates the leaf of one entry of the instance list.
func (r *Router) listLeaf(in *trwire.Instance) {
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

// unlistLeaf marks a leaf as not listed and deletes it after unlistedRetention.
func (r *Router) unlistLeaf(l *Leaf, now time.Time) {
	if l.info.state != "" {
		l.info.state = ""
		l.info.unlistedAt = now
		l.usable.Store(false)
		r.dirty[l.Service] = true
	}
	if now.Sub(l.info.unlistedAt) > unlistedRetention {
		delete(r.leafs, l.ID)
	}
}

// indexServices groups the listed leafs by service. The leafs of a service are sorted
// by ID, so that equal inputs make equal tables.
func (r *Router) indexServices() {
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

// ObserveHello records the hello of a leaf. A hello whose leaf ID or service does not
// match the list is counted and ignored.
func (r *Router) ObserveHello(leafID string, h *trwire.Hello) {
	r.update(func(now time.Time) {
		l := r.leafs[leafID]
		if l == nil || h.LeafID != leafID || h.Service != l.Service {
			r.mismatchedHellos++
			return
		}
		notify := r.setStart(l, h.StartID, now)
		if h.Draining != l.draining.Load() {
			l.draining.Store(h.Draining)
			r.dirty[l.Service] = true
			notify = notify || h.Draining
		}
		if l.info.hello == nil || !slices.Equal(l.info.hello.Holdings, h.Holdings) {
			r.dirty[l.Service] = true
		}
		l.info.hello = h
		l.info.helloAt = now
		l.info.stale = false
		if notify {
			r.queueNotice(l, now)
		}
	})
}

// ObserveReply records the start ID and the drain flag of a reply. A reply with a
// retired start ID is ignored. The call is cheap if nothing has changed.
func (r *Router) ObserveReply(l *Leaf, startID string, draining bool) {
	if startID == "" || l.StartID() == startID && (!draining || l.draining.Load()) {
		return
	}
	r.update(func(now time.Time) {
		if slices.Contains(l.info.retired, startID) {
			return
		}
		notify := r.setStart(l, startID, now)
		if draining && !l.draining.Load() {
			l.draining.Store(true)
			r.dirty[l.Service] = true
			notify = true
		}
		if notify {
			r.queueNotice(l, now)
		}
	})
}

// ApplyNotice records a notice of a peer. firstSeenAge is the time since any instance
// first saw startID.
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

// setStart records a start ID of the leaf and reports whether it is a new one. A new
// start ID invalidates the reported holdings.
func (r *Router) setStart(l *Leaf, startID string, firstSeen time.Time) bool {
	current := l.StartID()
	l.Limit.ObserveStart(startID, firstSeen)
	if current == startID {
		return false
	}
	l.retire(current)
	// A hello can name a start ID that was retired too early.
	l.info.retired = slices.DeleteFunc(l.info.retired, func(id string) bool { return id == startID })
	l.startID.Store(&startID)
	l.info.hello = nil
	l.info.stale = true
	l.draining.Store(false)
	l.failures.Store(0)
	l.nextEjectedProbe.Store(0)
	r.dirty[l.Service] = true
	return true
}

// retire adds a start ID to the retired ones.
func (l *Leaf) retire(startID string) {
	if startID == "" {
		return
	}
	l.info.retired = append(l.info.retired, startID)
	if extra := len(l.info.retired) - maxRetiredStarts; extra > 0 {
		l.info.retired = slices.Delete(l.info.retired, 0, extra)
	}
}

// queueNotice queues a notice about l for OnNotice.
func (r *Router) queueNotice(l *Leaf, now time.Time) {
	if r.opts.OnNotice == nil {
		return
	}
	startID, firstSeen := l.Limit.Start()
	r.notices = append(r.notices, peerNotice{l.ID, startID, l.draining.Load(), now.Sub(firstSeen)})
}

// MarkStale marks the reported holdings of a leaf as out of date, so that NeedHello
// returns the leaf regardless of the age of its hello.
func (r *Router) MarkStale(l *Leaf) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.info.stale = true
}

// NeedHello returns the listed leafs whose hello is missing, out of date or older
// than Options.HelloAge. A leaf is returned at most once per helloRetryInterval. An
// instance without a sender index gets none, because only senders connect to leafs.
func (r *Router) NeedHello(now time.Time) []*Leaf {
	if _, _, ok := r.opts.Sender.Sender(now); !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var need []*Leaf
	for _, leafs := range r.byService {
		for _, l := range leafs {
			l.Limit.ObserveSender(now, l.permitRequest(0, 0, r.views()))
			missing := l.info.hello == nil || l.info.stale || now.Sub(l.info.helloAt) >= r.opts.HelloAge
			if missing && now.Sub(l.info.helloAskedAt) >= helloRetryInterval {
				l.info.helloAskedAt = now
				need = append(need, l)
			}
		}
	}
	slices.SortFunc(need, compareLeafs)
	return need
}
