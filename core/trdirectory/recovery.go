package trdirectory

import (
	"maps"
	"slices"
	"time"
)

// recovery holds what a Cache remembers of earlier eras of the store. The copy from which a
// new era begins lacks the latest writes: upstreams that registered, zones that were taken
// out, and upstreams that began to drain. Operators and upstreams write them again.
//
// The load is a store that comes back from a copy some seconds old, perhaps twice in a row.
// The zero value is ready to use.
type recovery struct {
	// until is the end of the grace period of the current era: until then, what was known
	// before takes precedence over older contents of the store.
	until time.Time
	// draining holds the latest process of each upstream ID that was draining.
	draining map[string]drainMark
	// zonesOut holds until when zones are kept out that the store does not list as out.
	zonesOut map[string]time.Time
}

// drainMark identifies a process that was draining, and when it was last seen.
type drainMark struct {
	bornMs int64
	era    uint64 // in which it began to drain
	seenAt time.Time
}

// drainMemory is how long a draining process is remembered after it was last seen. The copy
// from which the store comes back is some seconds old, and may still list a process as ready
// that has left since; the rest is reserve for a store that is away for minutes.
const drainMemory = 10 * time.Minute

// active reports whether the grace period after a new era lasts.
func (r *recovery) active(now time.Time) bool { return r.until.After(now) }

// begin starts the grace period of a new era. zonesOut are those of the earlier one.
func (r *recovery) begin(zonesOut []string, now time.Time) {
	r.until = now.Add(RecoveryGrace)
	if r.zonesOut == nil {
		r.zonesOut = make(map[string]time.Time)
	}
	for zone, until := range r.zonesOut {
		if until.After(now) {
			r.zonesOut[zone] = r.until
		}
	}
	for _, zone := range zonesOut {
		r.zonesOut[zone] = r.until
	}
}

// retainDraining marks upstreams of next as draining whose process, or a later one with
// their ID, was draining in an earlier era. If the start of a process is not known, this holds
// for the grace period only.
func (r *recovery) retainDraining(next *Directory, now time.Time) {
	era := EraOf(next.Revision)
	for i := range next.Upstreams {
		up := &next.Upstreams[i]
		mark, known := r.draining[up.ID]
		switch {
		case known && mark.era < era && up.BornMs <= mark.bornMs && (mark.bornMs > 0 || r.active(now)):
			if !up.Draining {
				next.Upstreams = slices.Clone(next.Upstreams) // the sender of next may share it
				next.Upstreams[i].Draining = true
			}
		case up.Draining:
			if r.draining == nil {
				r.draining = make(map[string]drainMark)
			}
			mark.bornMs, mark.era = up.BornMs, era
		case known && up.BornMs == mark.bornMs:
			delete(r.draining, up.ID) // ready again within an era
			continue
		default:
			continue
		}
		mark.seenAt = now
		r.draining[up.ID] = mark
	}
	maps.DeleteFunc(r.draining, func(_ string, mark drainMark) bool { return now.Sub(mark.seenAt) > drainMemory })
}

// listZonesOut forgets the zones that the store lists as out: from then on, what it says of
// them applies.
func (r *recovery) listZonesOut(zonesOut []string) {
	for _, zone := range zonesOut {
		delete(r.zonesOut, zone)
	}
}

// apply adds the zones that are kept out to d, which is about to be published, and removes
// the upstreams whose ID or address belongs to a later process in retained. It returns when
// the result changes, zero if it does not.
func (r *recovery) apply(d *Directory, retained []Upstream, now time.Time) (next time.Time) {
	if !r.active(now) {
		clear(r.zonesOut)
		return time.Time{}
	}
	for zone := range r.zonesOut {
		d.ZonesOut = append(slices.Clip(d.ZonesOut), zone)
		next = r.until
	}
	if len(retained) == 0 {
		return next
	}
	taken := make(map[string]bool, 2*len(retained))
	for i := range retained {
		taken[retained[i].ID], taken[retained[i].Addr] = true, true
	}
	d.Upstreams = slices.DeleteFunc(d.Upstreams, func(up Upstream) bool { return taken[up.ID] || taken[up.Addr] })
	return next
}
