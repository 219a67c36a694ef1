package trentry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trmember"
)

const (
	// A zone has one watcher, and another one for every instancesPerWatcher instances.
	// Store calls are billed and rate-limited, so their number must grow far more
	// slowly than the fleet.
	instancesPerWatcher = 64
	// syncPeriod is the interval between exchanges with watchers. With one watcher in
	// each of three zones, all are asked within 1.2 s; changes must apply within 3 s.
	syncPeriod = 400 * time.Millisecond
	// An instance starts its own watch after as many consecutive failed exchanges as
	// there are other watchers, but at least minWatcherFailures and at most
	// maxWatcherFailures. A single working watcher delivers directories often enough.
	minWatcherFailures = 2
	maxWatcherFailures = 4
	// ownWatchDuration is how long that watch lasts unless a working watcher is found.
	ownWatchDuration = 10 * time.Second
	// On the first start of the whole fleet, an instance waits for a directory from its
	// peers before it reads the store: joinWait if it is a watcher or knows no other
	// instance yet, else until the watchers have had time to read the store and to send
	// the directory on. After a restart callers are already waiting, so the store is
	// read at once.
	joinWait      = time.Second
	directoryWait = 2 * time.Second
)

// watchRole decides whether this instance watches the store. A few instances of
// each zone are watchers; the others receive changes from them, and fall back to
// their own watch when no watcher works.
type watchRole struct {
	clock trclock.Clock
	group *trmember.Group
	zone  string
	log   *logrus.Logger
	// onExchange, if set, is called after each exchange. It receives the watcher's
	// zone and whether the watcher answered.
	onExchange func(zone string, answered bool)
	// waitForPeers is set if this instance waits for a directory from its peers before
	// it reads the store, up to joinWait or directoryWait.
	waitForPeers bool

	mu          sync.Mutex
	started     time.Time
	nextWatcher int       // index of the next watcher to ask
	failures    int       // consecutive failed exchanges
	watchUntil  time.Time // end of this instance's own watch
}

// shouldWatch reports whether this instance should watch the store now.
// haveDirectory tells whether it already holds a directory.
func (r *watchRole) shouldWatch(haveDirectory bool) bool {
	now := r.clock.Now()
	r.mu.Lock()
	if r.started.IsZero() {
		r.started = now
	}
	age := now.Sub(r.started)
	own := now.Before(r.watchUntil)
	r.mu.Unlock()
	watcher := r.group.IsWatcher(r.watcherCount(r.zone))
	switch {
	case own:
		return true
	case r.waitForPeers && age < joinWait:
		return false
	case !haveDirectory:
		return watcher || !r.waitForPeers || age >= directoryWait
	}
	return watcher
}

// watcherCount returns the number of watchers that a zone should have.
func (r *watchRole) watcherCount(zone string) int { return 1 + r.aliveCount(zone)/instancesPerWatcher }

// aliveCount returns the number of alive instances of a zone.
func (r *watchRole) aliveCount(zone string) int {
	n := 0
	for _, m := range r.group.Members() {
		if m.Zone == zone && m.State == trmember.Alive {
			n++
		}
	}
	return n
}

// otherWatchers returns the watchers of all zones except this instance.
func (r *watchRole) otherWatchers() []trmember.Member {
	zones := make(map[string]bool)
	var list []trmember.Member
	for _, m := range r.group.Members() {
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		for _, w := range r.group.Watchers(m.Zone, r.watcherCount(m.Zone)) {
			if w.ID != r.group.Self().ID {
				list = append(list, w)
			}
		}
	}
	return list
}

// sync exchanges state with the next watcher in round-robin order.
func (r *watchRole) sync(ctx context.Context) {
	list := r.otherWatchers()
	if len(list) == 0 {
		return // this instance is the only watcher
	}
	r.mu.Lock()
	r.nextWatcher++
	target := list[r.nextWatcher%len(list)]
	r.mu.Unlock()
	member, err := r.group.Sync(ctx, target)
	if ctx.Err() == nil {
		if r.onExchange != nil {
			r.onExchange(target.Zone, err == nil)
		}
		r.recordExchange(target.ID, len(list), err == nil && member.StoreReachable, err)
	}
}

// recordExchange records the result of an exchange with one of the given number of
// watchers, and starts or ends this instance's own watch accordingly. A watcher
// works if it answers and reaches the store.
func (r *watchRole) recordExchange(id string, watchers int, working bool, err error) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if working {
		// The watcher sends its directory with each exchange. If many instances kept
		// their own watch after a store outage, each change would cost a call per instance.
		r.failures, r.watchUntil = 0, time.Time{}
		return
	}
	r.failures++
	if r.failures < min(max(watchers, minWatcherFailures), maxWatcherFailures) {
		return
	}
	if now.After(r.watchUntil) {
		r.log.WithError(err).WithField("Watcher", id).Warn("watchers of the store do not work; watching on its own")
	}
	r.watchUntil = now.Add(ownWatchDuration)
}
