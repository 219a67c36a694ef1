package trgateway

import (
	"context"
	"sync"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// An availability zone is probed when a reply of it is late by suspectDelay and
	// none of its upstreams has answered since. One upstream pauses for up to
	// 250 ms, several do not at once.
	suspectDelay = 50 * time.Millisecond
	// idleSilence is the time without a sign of a zone after which it is probed: an
	// instance without requests must notice a cut as well, since balancers use all
	// instances of a zone while half of them are ready. Exchanges with the
	// instances of other zones come more often.
	idleSilence = 2 * time.Second
	// A zone counts as unreachable after failedRounds rounds in a row in which
	// roundProbes of its upstreams did not accept a connection in probeTimeout.
	// A dial takes a round trip of 9 ms and a handshake of 6 ms; the rest covers
	// a busy instance. Lost packets hit single probes.
	failedRounds = 2
	roundProbes  = 3
	probeTimeout = 100 * time.Millisecond
	// probePeriod is the time between looks for silent zones.
	probePeriod = 50 * time.Millisecond
	// unreachablePeriod is the time between rounds of probes of a zone that is
	// unreachable, which tell when it is back.
	unreachablePeriod = 250 * time.Millisecond
)

// zoneState is what is known of the way to an availability zone.
type zoneState struct {
	suspect time.Time // when it is to be probed for want of a reply, zero if it owes none
	replied time.Time // last sign that it can be reached, zero if there was none
	probed  time.Time // start of the last round of probes
	probing bool      // a round is running
	failed  int       // rounds of probes in a row without success
	told    bool      // that it is unreachable
}

func (z *zoneState) unreachable() bool { return z.failed >= failedRounds }

// due reports whether a round of probes should begin.
func (z *zoneState) due(now time.Time) bool {
	switch {
	case z.probing:
		return false
	case z.unreachable():
		return now.Sub(z.probed) >= unreachablePeriod
	case z.failed > 0:
		return true
	case !z.suspect.IsZero() && !now.Before(z.suspect):
		return true
	}
	return now.Sub(z.replied) >= idleSilence
}

// zone returns the state of a zone. The caller holds zonesMu.
func (t *Tracker) zone(name string) *zoneState {
	if t.zones == nil {
		t.zones = make(map[string]*zoneState)
	}
	z := t.zones[name]
	if z == nil {
		z = new(zoneState)
		t.zones[name] = z
	}
	return z
}

// zoneTried notes an attempt at an upstream whose reply is late after lateAt.
func (t *Tracker) zoneTried(up *trdirectory.Upstream, lateAt time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(up.Zone)
	if at := lateAt.Add(suspectDelay); z.suspect.IsZero() || at.Before(z.suspect) {
		z.suspect = at
	}
}

// RecordPeerExchange notes whether an instance of a zone answered. That spares probes of a zone
// to which no request goes; it says nothing of upstreams that owe a reply.
func (t *Tracker) RecordPeerExchange(zone string, answered bool, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	switch {
	case !answered && z.suspect.IsZero():
		z.suspect = now
	case answered && !z.replied.IsZero() && z.failed == 0:
		z.replied = now
	}
}

// zoneReplied notes that an upstream of a zone answered.
func (t *Tracker) zoneReplied(zone string, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	if z.told {
		t.tell(Event{Kind: "ZoneReachable", Zone: zone})
	}
	*z = zoneState{replied: now, probed: z.probed, probing: z.probing}
}

// Reachable reports whether the upstreams of a zone can be reached as far as is
// known.
func (t *Tracker) Reachable(zone string) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zones[zone]
	return z == nil || !z.unreachable()
}

// assessed reports whether it is known if a zone can be reached.
func (t *Tracker) assessed(zone string) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zones[zone]
	return z != nil && (z.unreachable() || !z.replied.IsZero())
}

// probeDue reports whether a round of probes of a zone should begin, and notes
// that it does.
func (t *Tracker) probeDue(zone string, now time.Time) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	if !z.due(now) {
		return false
	}
	z.probing, z.probed = true, now
	return true
}

// probeEnded notes the end of a round of probes of which none succeeded, unless
// the zone has answered meanwhile.
func (t *Tracker) probeEnded(zone string, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	z.probing = false
	if !z.replied.Before(z.probed) {
		return
	}
	z.failed++
	if z.unreachable() && !z.told {
		z.told = true
		t.tell(Event{Kind: "ZoneUnreachable", Zone: zone})
	}
}

// ReachabilityKnown reports whether every zone with upstreams has answered or failed to
// answer since the start. Until then an instance must not count as ready: one
// that starts in a zone that is cut off would draw callers there.
func (g *Gateway) ReachabilityKnown() bool {
	for _, zone := range g.cfg.Tables.Table().Zones() {
		if !g.tracker.assessed(zone) {
			return false
		}
	}
	return true
}

// Isolated reports whether this instance reaches no upstream of any other
// availability zone and cannot serve some route without them. Instances of
// other zones serve callers better then. It is false if an upstream of another
// zone answers, so that the loss of a few shards does not count as isolation.
func (g *Gateway) Isolated() bool { return g.isolated.Load() != nil }

// IsolatedFor returns how long the instance has been isolated, 0 if it is not.
func (g *Gateway) IsolatedFor() time.Duration {
	since := g.isolated.Load()
	if since == nil {
		return 0
	}
	return max(g.now().Sub(*since), 1)
}

// noteIsolation notes whether the instance is isolated.
func (g *Gateway) noteIsolation(now time.Time) {
	switch isolated := g.reachesNoOther(); {
	case !isolated:
		g.isolated.Store(nil)
	case g.isolated.Load() == nil:
		g.isolated.Store(&now)
	}
}

func (g *Gateway) reachesNoOther() bool {
	table := g.cfg.Tables.Table()
	unreachable := make(map[string]bool)
	others := 0
	for _, zone := range table.Zones() {
		unreachable[zone] = !g.tracker.Reachable(zone)
		if zone == g.cfg.Zone {
			continue
		}
		if !unreachable[zone] {
			return false
		}
		others++
	}
	return others > 0 && table.HasUnservedRoute(func(up *trdirectory.Upstream) bool { return !unreachable[up.Zone] })
}

// StartProbes probes silent zones, and notes whether the instance is isolated,
// until stop is called.
func (g *Gateway) StartProbes() (stop func()) {
	return g.cfg.Clock.Every(probePeriod, func(now time.Time) { g.probe(now) })
}

// probe begins rounds of probes of the zones that are due.
func (g *Gateway) probe(now time.Time) {
	table := g.cfg.Tables.Table()
	for _, zone := range table.Zones() {
		if g.tracker.probeDue(zone, now) {
			go g.probeZone(zone, table.ZoneUpstreams(zone))
		}
	}
	g.noteIsolation(now)
}

// probeZone opens connections to some upstreams of a zone.
func (g *Gateway) probeZone(zone string, upstreams []*trdirectory.Upstream) {
	ctx, cancel := trclock.WithTimeout(context.Background(), g.cfg.Clock, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range min(roundProbes, len(upstreams)) {
		up := upstreams[int(g.float()*float64(len(upstreams)))%len(upstreams)]
		wg.Go(func() {
			if g.cfg.Sender.Probe(ctx, up) == nil {
				g.tracker.zoneReplied(zone, g.now())
				cancel()
			}
		})
	}
	wg.Wait()
	g.tracker.probeEnded(zone, g.now())
}
