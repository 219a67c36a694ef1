package trentry

import (
	"context"
	"slices"
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
	// Successors of the watchers start to watch after as many consecutive failed
	// exchanges as there are other watchers, but at least minWatcherFailures and at most
	// maxWatcherFailures. A single working watcher delivers directories often enough.
	minWatcherFailures = 2
	maxWatcherFailures = 4
	// At first there are firstSuccessors in a zone, and successorGrowth times as many
	// after each further failuresPerStage failed exchanges. If all instances of a large
	// fleet watched as soon as the store refuses the watchers, each change would cost a
	// call per instance.
	firstSuccessors  = 2
	successorGrowth  = 4
	failuresPerStage = 2
	// ownWatchDuration is how long a successor watches after the last failed exchange with
	// a watcher, unless one works.
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
// each zone are watchers; the others receive changes from them. When no watcher works,
// a few others of each zone succeed them, and more if these do not work either. An instance
// that lacks a directory that is too large to be sent reads the store until it has it.
type watchRole struct {
	clock trclock.Clock
	group *trmember.Group
	zone  string
	log   *logrus.Logger
	// onExchange, if set, is called after each exchange. It receives the watcher's
	// zone and whether the watcher answered.
	onExchange func(zone string, answered bool)
	// onConfirmed, if set, is called after each exchange with a watcher that works. It
	// receives the time up to which the watcher had read the changes of the store.
	onConfirmed func(at time.Time)
	// onStoreFailed, if set, is called when a member answers that its last call to the store
	// failed. One that does not watch the store, or not yet, makes no calls.
	onStoreFailed func()
	// lacksDirectory, if set, reports whether other instances have a newer directory that they
	// cannot send.
	lacksDirectory func() bool
	// waitForPeers is set if this instance waits for a directory from its peers before
	// it reads the store, up to joinWait or directoryWait.
	waitForPeers bool

	mu         sync.Mutex
	started    time.Time
	exchanges  int       // started so far
	failures   int       // consecutive failed exchanges
	watchUntil time.Time // end of this instance's own watch
	// working is the successor that worked last, while watchers do not; empty if none.
	working watchTarget
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
	case own, r.lacksDirectory != nil && r.lacksDirectory():
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

// watchTarget is a member to exchange state with.
type watchTarget struct {
	trmember.Member
	successor bool // it watches only while watchers do not work
}

// targets returns the watchers of all zones, and the given number of their successors in
// each zone. This instance is left out.
func (r *watchRole) targets(n int) (watchers, successors []watchTarget) {
	var zones []string
	for _, m := range r.group.Members() {
		if slices.Contains(zones, m.Zone) {
			continue
		}
		zones = append(zones, m.Zone)
		count := r.watcherCount(m.Zone)
		for i, w := range r.group.Watchers(m.Zone, count+n) {
			switch {
			case w.ID == r.group.Self().ID:
			case i < count:
				watchers = append(watchers, watchTarget{Member: w})
			default:
				successors = append(successors, watchTarget{Member: w, successor: true})
			}
		}
	}
	return watchers, successors
}

// nextTarget returns the next member to exchange state with, and the number of other
// watchers. The watchers are asked in turn. While they do not work, every second exchange is
// with a successor: the one that worked last, or the next of those that may watch by now.
func (r *watchRole) nextTarget() (target watchTarget, watchers int) {
	r.mu.Lock()
	failures, n, working := r.failures, r.exchanges, r.working
	r.exchanges++
	r.mu.Unlock()
	list, _ := r.targets(0)
	watchers = len(list)
	if watchers == 0 {
		return watchTarget{}, 0
	}
	var successors []watchTarget
	if failures >= minWatcherFailures {
		_, successors = r.targets(max(firstSuccessors, successorCount(failures, watchers)))
	}
	if working.ID != "" {
		successors = []watchTarget{working}
	}
	if len(successors) > 0 {
		if n%2 == 1 {
			list = successors
		}
		n /= 2
	}
	return list[n%len(list)], watchers
}

// successorCount returns how many successors of its watchers a zone has after a number of
// consecutive failed exchanges with the given number of other watchers.
func successorCount(failures, watchers int) int {
	first := min(max(watchers, minWatcherFailures), maxWatcherFailures)
	if failures < first {
		return 0
	}
	n := firstSuccessors
	for range (failures - first) / failuresPerStage {
		n = min(successorGrowth*n, maxSuccessors)
	}
	return n
}

// maxSuccessors is more than a zone has instances.
const maxSuccessors = 1 << 20

// sync exchanges state with the next watcher in round-robin order.
func (r *watchRole) sync(ctx context.Context) {
	target, watchers := r.nextTarget()
	if watchers == 0 {
		return // this instance is the only watcher
	}
	began := r.clock.Now()
	member, err := r.group.Sync(ctx, target.Member)
	if ctx.Err() == nil {
		if r.onExchange != nil {
			r.onExchange(target.Zone, err == nil)
		}
		switch {
		case err != nil:
		case member.StoreFailing && r.onStoreFailed != nil:
			r.onStoreFailed()
		case member.StoreReachable && r.onConfirmed != nil:
			// The watcher may be in the pause between two watches.
			r.onConfirmed(began.Add(-changeBatchDelay))
		}
		r.recordExchange(target, watchers, err == nil && member.StoreReachable, err)
	}
}

// recordExchange records the result of an exchange with one of the given number of
// watchers, and starts or ends this instance's own watch accordingly. A watcher
// works if it answers and reaches the store.
func (r *watchRole) recordExchange(target watchTarget, watchers int, working bool, err error) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if working {
		// The target sends its directory with each exchange. A successor does not end the
		// watch of another one: both would end theirs.
		r.failures, r.working = 0, target
		if !target.successor {
			r.watchUntil, r.working = time.Time{}, watchTarget{}
		}
		return
	}
	if target.ID == r.working.ID {
		r.working = watchTarget{}
	}
	r.failures++
	if now.Before(r.watchUntil) {
		r.watchUntil = now.Add(ownWatchDuration)
		return
	}
	n := successorCount(r.failures, watchers)
	if n == 0 || !r.group.IsWatcher(r.watcherCount(r.zone)+n) {
		return
	}
	r.log.WithError(err).WithFields(logrus.Fields{"Watcher": target.ID, "Failures": r.failures}).Warn("watchers of the store do not work; watching on its own")
	r.watchUntil = now.Add(ownWatchDuration)
}
