package trgateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerrock/core/trdirectory"
)

// coldRate returns how many requests per second all instances together may send
// to a cold upstream of a service, 0 if that is not limited. An upstream is cold
// for some time after its start.
func (b *Bounds) coldRate(s *trdirectory.Service) float64 {
	if s.ColdPerSecond <= 0 {
		return 0
	}
	return s.ColdPerSecond*b.ColdOverage + b.ColdSlack
}

// coldWindow records the requests to a cold upstream within the last second.
type coldWindow struct {
	sent []time.Time
}

// ColdShare returns how many of perSecond requests this instance may send to a
// cold upstream each second. rank is its position among the instances, from 0.
// The shares of all instances add up to at most perSecond.
func ColdShare(perSecond float64, rank, instances int) int {
	whole := int(perSecond)
	share := whole / max(1, instances)
	if rank < whole%max(1, instances) {
		share++
	}
	return share
}

// allow records a request and returns true if fewer than limit were sent in the
// last second.
func (w *coldWindow) allow(limit int, now time.Time) bool {
	recent := w.sent[:0]
	for _, at := range w.sent {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	w.sent = recent
	if len(w.sent) >= limit {
		return false
	}
	w.sent = append(w.sent, now)
	return true
}

// allowCold reports whether a request may be sent to the upstream and, if so,
// counts one against the cold rate, whether or not it is then sent. It returns
// true and counts nothing if the upstream is not cold or its service has no cold
// rate.
func (t *Tracker) allowCold(up *trdirectory.Upstream, perSecond float64, fleet Fleet, now time.Time) bool {
	if perSecond <= 0 || now.UnixMilli() > up.BornMs+up.ColdMs {
		return true
	}
	size := max(1, fleet.Size)
	// The hash assigns the larger shares of different upstreams to different
	// instances.
	rank := int((uint64(fleet.Rank) + xxhash.Sum64String(up.ID)) % uint64(size))
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.allow(ColdShare(perSecond, rank, size), now)
}
