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
	// watcherEvery is the number of instances of a zone for which one more of
	// them watches the store. Calls on the store are priced and limited, so
	// their number grows far more slowly than the fleet.
	watcherEvery = 32
	// syncPeriod is the time between exchanges with a watcher. With three zones
	// every watcher is asked in 1.2 s, of the 3 s in which changes must apply.
	syncPeriod = 400 * time.Millisecond
	// An instance watches on its own after failed exchanges with as many watchers in
	// a row as there are, but at least fewestFailures and at most mostFailures. While
	// one of them works, its directories come often enough.
	fewestFailures = 2
	mostFailures   = 4
	// ownWatch is how long it then does so, unless it finds a watcher that works.
	ownWatch = 10 * time.Second
	// joinWait is the time for which an instance expects to learn the directory
	// from others before it reads the store, when the fleet starts for the first
	// time. After a restart callers wait, so the store is read at once.
	joinWait = 500 * time.Millisecond
)

// watchDuty decides whether this instance watches the store. A few instances of
// each zone do; the others learn changes from them, and watch on their own as
// soon as they find no watcher that works.
type watchDuty struct {
	clock trclock.Clock
	group *trmember.Group
	zone  string
	log   *logrus.Logger
	// heard, if set, is told whether an instance of a zone answered.
	heard func(zone string, answered bool)
	// joins tells whether other instances may know the directory at the start.
	joins bool

	mu       sync.Mutex
	started  time.Time
	next     int // index of the watcher asked next
	failures int // in a row
	until    time.Time
}

// needed reports whether this instance should watch the store. known tells
// whether it has a directory.
func (d *watchDuty) needed(known bool) bool {
	now := d.clock.Now()
	d.mu.Lock()
	if d.started.IsZero() {
		d.started = now
	}
	waiting := d.joins && now.Sub(d.started) < joinWait
	own := now.Before(d.until)
	d.mu.Unlock()
	switch {
	case own:
		return true
	case !known:
		return !waiting
	}
	return d.group.IsWatcher(d.perZone(d.zone)) && !waiting
}

// perZone returns the number of watchers of a zone.
func (d *watchDuty) perZone(zone string) int { return 1 + d.size(zone)/watcherEvery }

// size returns the number of known instances of a zone.
func (d *watchDuty) size(zone string) int {
	n := 0
	for _, m := range d.group.Members() {
		if m.Zone == zone && m.State == trmember.Alive {
			n++
		}
	}
	return n
}

// watchers returns the other instances that should be watching.
func (d *watchDuty) watchers() []trmember.Member {
	zones := make(map[string]bool)
	var list []trmember.Member
	for _, m := range d.group.Members() {
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		for _, w := range d.group.Watchers(m.Zone, d.perZone(m.Zone)) {
			if w.ID != d.group.Self().ID {
				list = append(list, w)
			}
		}
	}
	return list
}

// sync exchanges state with the next watcher.
func (d *watchDuty) sync(ctx context.Context) {
	list := d.watchers()
	if len(list) == 0 {
		return // then this instance is a watcher
	}
	d.mu.Lock()
	d.next++
	target := list[d.next%len(list)]
	d.mu.Unlock()
	member, err := d.group.Sync(ctx, target)
	if ctx.Err() == nil {
		if d.heard != nil {
			d.heard(target.Zone, err == nil)
		}
		d.observe(target.ID, len(list), err == nil && member.StoreReachable, err)
	}
}

// observe notes whether one of a number of watchers works.
func (d *watchDuty) observe(id string, watchers int, works bool, err error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if works {
		// Its directories come with each exchange; a watch of many instances after an
		// outage of the store would cost a call for each change.
		d.failures, d.until = 0, time.Time{}
		return
	}
	d.failures++
	if d.failures < min(max(watchers, fewestFailures), mostFailures) {
		return
	}
	if now.After(d.until) {
		d.log.WithError(err).WithField("Watcher", id).Warn("watchers of the store do not work; watching on its own")
	}
	d.until = now.Add(ownWatch)
}
