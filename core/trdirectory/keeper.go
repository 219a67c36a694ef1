package trdirectory

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
)

// Times for which an upstream is kept whose entry vanished from the store
// without a word that it drains.
const (
	// VanishedGrace bridges entries that lapsed in an outage of the store that
	// this instance did not notice. It stays below the 3 s in which an upstream
	// that is gone must get no more requests.
	VanishedGrace = 2200 * time.Millisecond
	// RecoveryGrace is the time after the return of the store in which lapsed
	// entries are expected back: about 2 s, and the time for the read.
	RecoveryGrace = 2800 * time.Millisecond
)

// Cache holds the directory in force. Its revision and the version of its
// configuration never go back. The zero value with a Clock is ready to use.
type Cache struct {
	Clock trclock.Clock
	// OnAdopt, if set, is called with every adopted directory, without a lock
	// held. Calls may overlap.
	OnAdopt func(d *Directory)

	table atomic.Pointer[Table]

	mu       sync.Mutex
	current  Directory                // as last adopted, without vanished upstreams
	vanished map[UpstreamKey]vanished // upstreams that are kept for a while
	returned time.Time                // when the store last came back from an outage
	stop     func()                   // of the timer for vanished upstreams
}

type vanished struct {
	Upstream
	until time.Time
}

// Table returns the table in force. It is never nil.
func (k *Cache) Table() *Table {
	if t := k.table.Load(); t != nil {
		return t
	}
	return NewTable(&Directory{})
}

// Revision returns the revision in force, 0 if there is none.
func (k *Cache) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Revision
}

// StoreRecovered tells that the store answers again after an outage. Entries
// that lapsed meanwhile are kept until their upstreams had time to register.
func (k *Cache) StoreRecovered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.returned = k.Clock.Now()
}

// Adopt puts d in force if its revision is higher than that of the directory
// in force, and reports whether it was. A configuration of a lower version is
// replaced by the one in force. d must not be changed afterwards.
func (k *Cache) Adopt(d *Directory) bool {
	adopted := k.adopt(d)
	if adopted == nil {
		return false
	}
	if k.OnAdopt != nil {
		k.OnAdopt(adopted)
	}
	return true
}

func (k *Cache) adopt(d *Directory) *Directory {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d.Revision <= k.current.Revision {
		return nil
	}
	next := *d
	if held := k.current.Config; held != nil && (next.Config == nil || next.Config.Version < held.Version) {
		next.Config = held
	}
	now := k.Clock.Now()
	k.holdVanished(&next, now)
	k.current = next
	k.publish(now)
	return &next
}

// holdVanished keeps upstreams that were ready and are missing from next, and
// releases those that are back, or back under the same address.
func (k *Cache) holdVanished(next *Directory, now time.Time) {
	present := make(map[string]bool, len(next.Upstreams))
	addrs := make(map[string]bool, len(next.Upstreams))
	for i := range next.Upstreams {
		present[next.Upstreams[i].ID] = true
		addrs[next.Upstreams[i].Addr] = true
	}
	until := now.Add(VanishedGrace)
	if back := k.returned.Add(RecoveryGrace); !k.returned.IsZero() && back.After(until) {
		until = back
	}
	if k.vanished == nil {
		k.vanished = make(map[UpstreamKey]vanished)
	}
	for _, up := range k.current.Upstreams {
		if !up.Draining && !present[up.ID] {
			up.Vanished = true
			k.vanished[up.Key()] = vanished{up, until}
		}
	}
	for key, v := range k.vanished {
		if present[v.ID] || addrs[v.Addr] {
			delete(k.vanished, key)
		}
	}
}

// publish makes the table of the current directory and the vanished upstreams.
func (k *Cache) publish(now time.Time) {
	d := k.current
	d.Upstreams = slices.Clone(k.current.Upstreams)
	var next time.Time
	for key, v := range k.vanished {
		if !v.until.After(now) {
			delete(k.vanished, key)
			continue
		}
		d.Upstreams = append(d.Upstreams, v.Upstream)
		if next.IsZero() || v.until.Before(next) {
			next = v.until
		}
	}
	k.table.Store(NewTable(&d))
	if k.stop != nil {
		k.stop()
		k.stop = nil
	}
	if !next.IsZero() {
		k.stop = k.Clock.After(next.Sub(now), k.expire)
	}
}

// expire publishes again without the upstreams whose time has passed.
func (k *Cache) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publish(now)
}
