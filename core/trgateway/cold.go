package trgateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerrock/core/trdirectory"
)

// coldRate returns how many requests a second all instances may send to a cold
// upstream of a service, 0 if that is not limited.
func (b *Bounds) coldRate(s *trdirectory.Service) float64 {
	if s.ColdPerSecond <= 0 {
		return 0
	}
	return s.ColdPerSecond*b.ColdOverage + b.ColdSlack
}

// coldWindow counts the requests to a cold upstream in one second.
type coldWindow struct {
	sent []time.Time
}

// ColdShare returns how many of perSecond requests this instance may send to a
// cold upstream each second, if rank is its place among instances, from 0.
// The shares of all instances add up to at most perSecond.
func ColdShare(perSecond float64, rank, instances int) int {
	whole := int(perSecond)
	share := whole / max(1, instances)
	if rank < whole%max(1, instances) {
		share++
	}
	return share
}

// permit counts a request if fewer than limit were sent in the last second.
func (w *coldWindow) permit(limit int, now time.Time) bool {
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

// permitCold reports whether a request may go to the upstream. It always may
// unless the upstream is cold and a rate is stated for its service.
func (t *Tracker) permitCold(up *trdirectory.Upstream, perSecond float64, fleet Fleet, now time.Time) bool {
	if perSecond <= 0 || now.UnixMilli() > up.BornMs+up.ColdMs {
		return true
	}
	size := max(1, fleet.Size)
	// The hash gives the larger shares of different upstreams to different instances.
	rank := int((uint64(fleet.Rank) + xxhash.Sum64String(up.ID)) % uint64(size))
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.permit(ColdShare(perSecond, rank, size), now)
}
