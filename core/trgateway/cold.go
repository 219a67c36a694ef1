package trgateway

import (
	"slices"
	"sync"
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

// coldInterval is the time in which an instance sends its share of the requests that a cold
// upstream may get in a second. It is longer, as some requests take longer to arrive.
const coldInterval = 1100 * time.Millisecond

// coldWindow records the requests to a cold upstream within the last coldInterval.
type coldWindow struct {
	sent []time.Time
}

// prune forgets requests that were sent coldInterval ago or earlier.
func (w *coldWindow) prune(now time.Time) {
	w.sent = slices.DeleteFunc(w.sent, func(at time.Time) bool { return now.Sub(at) >= coldInterval })
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

// fleetSettleTime is the time for which an instance keeps to the smallest of its shares after
// the fleet has changed: until all instances know of the change, within two seconds, and one
// more coldInterval.
const fleetSettleTime = 2*time.Second + coldInterval

// fleetHistory holds the fleets of the last fleetSettleTime. The load is a fleet whose
// instances come and go, and learn of that at different times: with the shares of one fleet at
// some and of another one at others, the sum would exceed the rate of a cold upstream. The zero
// value with the start of the instance is ready to use.
type fleetHistory struct {
	started time.Time

	mu     sync.Mutex
	fleets []pastFleet // oldest first; the last one is the current one
}

// pastFleet is a fleet and when it was last the current one.
type pastFleet struct {
	Fleet
	lastSeen time.Time
}

// observe records the current fleet.
func (h *fleetHistory) observe(fleet Fleet, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.fleets); n > 0 {
		h.fleets[n-1].lastSeen = now // it was the current one until now
	}
	h.fleets = slices.DeleteFunc(h.fleets, func(f pastFleet) bool { return now.Sub(f.lastSeen) >= fleetSettleTime })
	if n := len(h.fleets); n > 0 && h.fleets[n-1].Fleet == fleet {
		return
	}
	h.fleets = append(h.fleets, pastFleet{fleet, now})
}

// share returns how many of perSecond requests this instance may send to a cold upstream each
// second: the smallest share in any recent fleet. Others may not know an instance that has
// just started, and a predecessor with its ID may have sent requests.
func (h *fleetHistory) share(up *trdirectory.Upstream, perSecond float64, now time.Time) int {
	if now.Sub(h.started) < fleetSettleTime {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	least := int(perSecond)
	for _, f := range h.fleets {
		size := max(1, f.Size)
		// The hash assigns the larger shares of different upstreams to different
		// instances.
		rank := int((uint64(f.Rank) + xxhash.Sum64String(up.ID)) % uint64(size))
		least = min(least, ColdShare(perSecond*(1-f.Unknown), rank, size))
	}
	return least
}

// coldShare returns how many requests this instance may send to an upstream each second, or
// false if that is not limited, because the upstream is not cold or its service states no rate.
func (g *Gateway) coldShare(up *trdirectory.Upstream, now time.Time) (share int, limited bool) {
	if !now.Before(up.ColdUntil) {
		return 0, false
	}
	rate := g.cfg.Bounds.coldRate(g.cfg.Tables.Table().Service(up.Service))
	if rate <= 0 {
		return 0, false
	}
	g.fleets.observe(g.cfg.Fleet(), now)
	return g.fleets.share(up, rate, now), true
}

// isColdLimited reports whether this instance has sent its share of the requests to a cold
// upstream in the last coldInterval.
func (g *Gateway) isColdLimited(up *trdirectory.Upstream, now time.Time) bool {
	share, limited := g.coldShare(up, now)
	return limited && g.tracker.sentToCold(up.Key(), now) >= share
}

// admitToCold reports whether a request may be sent to an upstream now, and counts it if the
// upstream is cold.
func (g *Gateway) admitToCold(up *trdirectory.Upstream, now time.Time) bool {
	share, limited := g.coldShare(up, now)
	return !limited || g.tracker.addToCold(up.Key(), share, now)
}

// sentToCold returns the number of requests sent to a cold upstream in the last coldInterval.
func (t *Tracker) sentToCold(key trdirectory.UpstreamKey, now time.Time) int {
	s := t.state(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.prune(now)
	return len(s.cold.sent)
}

// addToCold counts a request to a cold upstream, unless limit of them were sent in the last
// coldInterval, and reports whether it did.
func (t *Tracker) addToCold(key trdirectory.UpstreamKey, limit int, now time.Time) bool {
	s := t.state(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.prune(now)
	if len(s.cold.sent) >= limit {
		return false
	}
	s.cold.sent = append(s.cold.sent, now)
	return true
}
