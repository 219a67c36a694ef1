package trgateway

import (
	"context"
	"slices"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// An availability zone counts as unreachable after zoneSilence in which at
	// least zoneAttempts attempts at zoneUpstreams of its upstreams or more got
	// no reply. One upstream pauses for up to 250 ms; several do not at once.
	zoneSilence   = 500 * time.Millisecond
	zoneAttempts  = 8
	zoneUpstreams = 3
	// probePeriod is the time between probes of an unreachable zone, which tell
	// when it is back although no request is sent there.
	probePeriod = 250 * time.Millisecond
	// probeTimeout bounds a probe: a round trip and a handshake, twice over.
	probeTimeout = 200 * time.Millisecond
)

// zoneState is what is known of the way to an availability zone.
type zoneState struct {
	first     time.Time // first attempt since the last reply
	attempts  int       // since the last reply
	upstreams []trdirectory.UpstreamKey
	told      bool // that it is unreachable
}

func (z *zoneState) tried(key trdirectory.UpstreamKey, now time.Time) {
	if z.attempts == 0 {
		z.first = now
	}
	z.attempts++
	if len(z.upstreams) < zoneUpstreams && !slices.Contains(z.upstreams, key) {
		z.upstreams = append(z.upstreams, key)
	}
}

func (z *zoneState) unreachable(now time.Time) bool {
	return z.attempts >= zoneAttempts && len(z.upstreams) >= zoneUpstreams && now.Sub(z.first) > zoneSilence
}

// zoneTried notes an attempt at an upstream.
func (t *Tracker) zoneTried(up *trdirectory.Upstream, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	if t.zones == nil {
		t.zones = make(map[string]*zoneState)
	}
	z := t.zones[up.Zone]
	if z == nil {
		z = new(zoneState)
		t.zones[up.Zone] = z
	}
	z.tried(up.Key(), now)
}

// zoneReplied notes that an upstream of a zone answered.
func (t *Tracker) zoneReplied(zone string) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	if z := t.zones[zone]; z != nil && z.told {
		t.tell(Event{What: "ZoneReachable", Zone: zone})
	}
	delete(t.zones, zone)
}

// Reachable reports whether the upstreams of a zone can be reached as far as is
// known.
func (t *Tracker) Reachable(zone string, now time.Time) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zones[zone]
	if z == nil || !z.unreachable(now) {
		return true
	}
	if !z.told {
		z.told = true
		t.tell(Event{What: "ZoneUnreachable", Zone: zone})
	}
	return false
}

// Isolated reports whether this instance reaches no upstream of any other
// availability zone and cannot serve some route without them. Instances of
// other zones serve callers better then. It is false if an upstream of another
// zone answers, so that the loss of a few shards does not count as isolation.
func (g *Gateway) Isolated() bool {
	now := g.now()
	table := g.cfg.Tables.Table()
	unreachable := make(map[string]bool)
	others := 0
	for _, zone := range table.Zones() {
		unreachable[zone] = !g.tracker.Reachable(zone, now)
		if zone == g.cfg.Zone {
			continue
		}
		if !unreachable[zone] {
			return false
		}
		others++
	}
	return others > 0 && table.Unserved(func(up *trdirectory.Upstream) bool { return !unreachable[up.Zone] })
}

// StartProbes probes unreachable zones until stop is called.
func (g *Gateway) StartProbes() (stop func()) {
	return g.cfg.Clock.Every(probePeriod, func(now time.Time) { g.probe(now) })
}

// probe opens a connection to one upstream of each unreachable zone.
func (g *Gateway) probe(now time.Time) {
	table := g.cfg.Tables.Table()
	for _, zone := range table.Zones() {
		if g.tracker.Reachable(zone, now) {
			continue
		}
		list := table.ZoneUpstreams(zone)
		up := list[int(g.float()*float64(len(list)))%len(list)]
		go func() {
			ctx, cancel := trclock.WithTimeout(context.Background(), g.cfg.Clock, probeTimeout)
			defer cancel()
			if g.cfg.Sender.Probe(ctx, up) == nil {
				g.tracker.zoneReplied(up.Zone)
			}
		}()
	}
}
