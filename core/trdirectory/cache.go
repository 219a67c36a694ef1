package trdirectory

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
)

// An upstream that was not draining when its entry disappeared from the store is kept
// for a grace period.
const (
	// VanishedGrace covers entries that expired in an outage of the store that
	// this instance did not notice. It ends earlier if the upstream may have been removed
	// so long ago that it must get no more requests.
	VanishedGrace = 2200 * time.Millisecond
	// RecoveryGrace is the time after the recovery of the store in which expired
	// entries are expected to return: about 2 s, and the time for the read.
	RecoveryGrace = 2800 * time.Millisecond
	// minOutage is the shortest outage of the store in which entries expire: upstreams write
	// theirs about every 1.2 s, and an entry expires after three times that without a write.
	minOutage = 2 * time.Second
	// defaultDrainTime is the time within which an upstream that has been removed from the
	// store must get no more requests, if Cache.DrainTime is not set.
	defaultDrainTime = 3 * time.Second
	// removalMargin is the part of the drain time that is left for requests on their way.
	removalMargin = 200 * time.Millisecond
)

// Cache holds the current directory. Its revision and the version of its
// configuration never decrease. The zero value with a Clock is ready to use.
type Cache struct {
	Clock trclock.Clock
	// OnAdopt, if set, is called with every adopted directory, without a lock held, and
	// with the last changes that led to it, nil if it was adopted whole. Calls may overlap.
	OnAdopt func(d *Directory, changes *Changes)
	// DrainTime is the time within which an upstream that has been removed from the store
	// must get no more requests. 0 means defaultDrainTime.
	DrainTime time.Duration

	table atomic.Pointer[Table]

	mu          sync.Mutex
	current     Directory                        // as last adopted, without vanished upstreams
	vanished    map[UpstreamKey]vanishedUpstream // missing upstreams that are kept for a grace period
	cold        map[UpstreamKey]coldPhase        // of present and vanished upstreams
	recoveredAt time.Time                        // when the store last recovered from an outage
	confirmedAt time.Time                        // when current was known to agree with the store
	failedAt    time.Time                        // when the store last failed to answer some instance
	stopTimer   func()                           // stops the timer for the next expiry in vanished
	recovery    recovery                         // from a new era of the store
}

// coldPhase is the time for which an upstream remains cold, according to one registration.
type coldPhase struct {
	ms    int64 // as registered
	until time.Time
}

type vanishedUpstream struct {
	Upstream
	until  time.Time
	newEra bool // it is missing since a new era of the store
}

// Table returns the current table. It is never nil.
func (c *Cache) Table() *Table {
	if t := c.table.Load(); t != nil {
		return t
	}
	return NewTable(&Directory{})
}

// Directory returns the current directory, without vanished upstreams. It must not be
// modified.
func (c *Cache) Directory() Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Revision returns the current revision, 0 if there is none.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Revision
}

// StoreRecovered records that the store answers again after an outage. Upstreams
// whose entries may have expired meanwhile are kept until they had time to register again.
func (c *Cache) StoreRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.Clock.Now(); c.mayHaveExpired(now) {
		c.recoveredAt = now
	}
}

// StoreFailed records that the store did not answer this instance, or a watcher that this
// instance has asked. Entries may then be missing because they expired.
func (c *Cache) StoreFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = c.Clock.Now()
}

// Confirm records that the current directory agreed with the store at a time. An entry that is
// found missing later was removed after it.
func (c *Cache) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfirmedWithin reports whether the current directory is known to have agreed with the store
// within the last d.
func (c *Cache) ConfirmedWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.Clock.Now().Sub(c.confirmedAt) <= d
}

// Adopt makes d the current directory if its revision is higher than the current
// one, and reports whether it did. If the configuration of d is missing or older than
// the current one, the current one is kept. d must not be modified afterwards.
func (c *Cache) Adopt(d *Directory) bool {
	c.mu.Lock()
	adopted := c.adopt(*d)
	c.mu.Unlock()
	if adopted != nil && c.OnAdopt != nil {
		c.OnAdopt(adopted, nil)
	}
	return adopted != nil
}

// AdoptChanges applies changes to the current directory, in order, and reports whether
// that made it newer. Changes that begin after the current revision are left out.
func (c *Cache) AdoptChanges(list ...*Changes) bool {
	c.mu.Lock()
	next := c.current
	var last *Changes
	for _, changes := range list {
		if d, ok := next.apply(changes); ok {
			next, last = d, changes
		}
	}
	adopted := c.adopt(next)
	c.mu.Unlock()
	if adopted != nil && c.OnAdopt != nil {
		c.OnAdopt(adopted, last)
	}
	return adopted != nil
}

// adopt makes next the current directory if it is newer, and returns it then. The caller
// holds mu.
func (c *Cache) adopt(next Directory) *Directory {
	if next.Revision <= c.current.Revision {
		return nil
	}
	if config := c.current.Config; config != nil && (next.Config == nil || next.Config.Version < config.Version) {
		next.Config = config
	}
	now := c.Clock.Now()
	if c.current.Revision > 0 && EraOf(next.Revision) > EraOf(c.current.Revision) {
		c.beginEra(now)
	}
	c.recovery.retainDraining(&next, now)
	c.recovery.listZonesOut(next.ZonesOut)
	c.retainVanished(&next, now)
	c.updateColdPhases(&next, now)
	c.current = next
	c.publish(now)
	return &next
}

// beginEra starts the grace period after a new era of the store, in which entries that the
// store has lost are expected to return.
func (c *Cache) beginEra(now time.Time) {
	c.recovery.begin(c.current.ZonesOut, now)
	c.recoveredAt = now
	for key, v := range c.vanished {
		if v.newEra && v.until.After(now) { // two new eras in a row
			v.until = c.recovery.until
			c.vanished[key] = v
		}
	}
}

// retainVanished keeps non-draining upstreams that are missing from next, and
// drops kept ones whose ID or address is present again. After a new era of the store, an
// earlier process with the ID or address does not count.
func (c *Cache) retainVanished(next *Directory, now time.Time) {
	ids := make(map[string]int64, len(next.Upstreams)) // starts by ID
	addrs := make(map[string]int64, len(next.Upstreams))
	for i := range next.Upstreams {
		up := &next.Upstreams[i]
		ids[up.ID] = up.BornMs
		addrs[up.Addr] = max(up.BornMs, addrs[up.Addr])
	}
	recovering := c.recovery.active(now)
	present := func(starts map[string]int64, name string, up *Upstream) bool {
		start, ok := starts[name]
		return ok && (!recovering || start >= up.BornMs)
	}
	until := c.graceEnd(now)
	if c.vanished == nil {
		c.vanished = make(map[UpstreamKey]vanishedUpstream)
	}
	for _, up := range c.current.Upstreams {
		if !up.Draining && !present(ids, up.ID, &up) {
			up.Vanished = true
			c.vanished[up.Key()] = vanishedUpstream{up, until, recovering}
		}
	}
	for key, v := range c.vanished {
		if present(ids, v.ID, &v.Upstream) || present(addrs, v.Addr, &v.Upstream) {
			delete(c.vanished, key)
		}
	}
}

// updateColdPhases starts the cold phases of new registrations in next. The time that a
// registration states counts from its arrival, which is after it was written: the phase ends
// late rather than early.
func (c *Cache) updateColdPhases(next *Directory, now time.Time) {
	phases := make(map[UpstreamKey]coldPhase)
	for i := range next.Upstreams {
		up := &next.Upstreams[i]
		if up.ColdMs <= 0 {
			continue
		}
		phase, ok := c.cold[up.Key()]
		if !ok || phase.ms != up.ColdMs {
			phase = coldPhase{up.ColdMs, now.Add(milliseconds(up.ColdMs))}
		}
		phases[up.Key()] = phase
	}
	for key := range c.vanished {
		if phase, ok := c.cold[key]; ok {
			phases[key] = phase
		}
	}
	c.cold = phases
}

// graceEnd returns until when an upstream is kept whose entry is found missing now. Unless its
// entry may have expired in an outage of the store, it was removed, which may have been right
// after the directory was last confirmed.
func (c *Cache) graceEnd(now time.Time) time.Time {
	until := now.Add(VanishedGrace)
	drainTime := c.DrainTime
	if drainTime == 0 {
		drainTime = defaultDrainTime
	}
	if latest := c.confirmedAt.Add(drainTime - removalMargin); !c.confirmedAt.IsZero() && !c.mayHaveExpired(now) && latest.Before(until) {
		until = latest
	}
	if recovered := c.recoveredAt.Add(RecoveryGrace); !c.recoveredAt.IsZero() && recovered.After(until) {
		until = recovered
	}
	return until
}

// mayHaveExpired reports whether entries may have expired in an outage of the store since the
// directory was last confirmed: the store has failed since, and for long enough.
func (c *Cache) mayHaveExpired(now time.Time) bool {
	return !c.failedAt.Before(c.confirmedAt) && (c.confirmedAt.IsZero() || now.Sub(c.confirmedAt) >= minOutage)
}

// publish builds the table from the current directory and the vanished upstreams.
func (c *Cache) publish(now time.Time) {
	d := c.current
	d.Upstreams = slices.Clone(c.current.Upstreams)
	var next time.Time
	var retained []Upstream
	for key, v := range c.vanished {
		if !v.until.After(now) {
			delete(c.vanished, key)
			continue
		}
		retained = append(retained, v.Upstream)
		if next.IsZero() || v.until.Before(next) {
			next = v.until
		}
	}
	if change := c.recovery.apply(&d, retained, now); !change.IsZero() && (next.IsZero() || change.Before(next)) {
		next = change
	}
	d.Upstreams = append(d.Upstreams, retained...)
	for i := range d.Upstreams {
		d.Upstreams[i].ColdUntil = c.cold[d.Upstreams[i].Key()].until
	}
	c.table.Store(NewTable(&d))
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
	if !next.IsZero() {
		c.stopTimer = c.Clock.After(next.Sub(now), c.expire)
	}
}

// expire publishes a table without the upstreams whose grace period is over.
func (c *Cache) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish(now)
}
