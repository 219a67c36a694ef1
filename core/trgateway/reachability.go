package trgateway

import (
	"context"
	"sync"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trpanic"
)

const (
	// An availability zone is probed if a reply from it is overdue by
	// overdueProbeDelay and none of its upstreams has answered since. A single
	// upstream pauses for up to 250 ms, but several do not pause at once.
	overdueProbeDelay = 50 * time.Millisecond
	// idleProbeDelay is how long after the last reply or peer exchange a zone is
	// probed. An instance without requests must detect a partition too, since
	// load balancers send callers to all instances of a zone as long as half of
	// them are ready. Exchanges with instances of other zones are more frequent
	// and normally make these probes unnecessary.
	idleProbeDelay = 2 * time.Second
	// A zone is unreachable after unreachableRounds consecutive rounds in which
	// probesPerRound of its upstreams did not accept a connection within
	// probeTimeout. A dial takes a round trip of 9 ms and a handshake of 6 ms;
	// the rest allows for a busy instance. Packet loss affects single probes.
	unreachableRounds = 2
	probesPerRound    = 3
	probeTimeout      = 100 * time.Millisecond
	// probeCheckInterval is the time between checks for zones that are due a
	// probe.
	probeCheckInterval = 50 * time.Millisecond
	// unreachableProbeInterval is the time between rounds of probes of an
	// unreachable zone, which detect that it is reachable again.
	unreachableProbeInterval = 250 * time.Millisecond
)

// zoneState is the observed reachability of an availability zone.
type zoneState struct {
	probeAt      time.Time // when to probe it, because a reply is overdue by then or a peer did not answer; zero if there is no such reason
	lastSuccess  time.Time // last reply, probe or peer exchange that succeeded, zero if there was none
	lastProbe    time.Time // start of the last round of probes
	probing      bool      // a round is in progress
	failedRounds int       // consecutive rounds of probes without success
	reported     bool      // ZoneUnreachable was emitted
}

func (z *zoneState) unreachable() bool { return z.failedRounds >= unreachableRounds }

// probeDue reports whether a round of probes should begin.
func (z *zoneState) probeDue(now time.Time) bool {
	switch {
	case z.probing:
		return false
	case z.unreachable():
		return now.Sub(z.lastProbe) >= unreachableProbeInterval
	case z.failedRounds > 0:
		return true
	case !z.probeAt.IsZero() && !now.Before(z.probeAt):
		return true
	}
	return now.Sub(z.lastSuccess) >= idleProbeDelay
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

// recordZoneAttempt records an attempt whose reply is overdue after lateAt.
func (t *Tracker) recordZoneAttempt(up *trdirectory.Upstream, lateAt time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(up.Zone)
	if at := lateAt.Add(overdueProbeDelay); z.probeAt.IsZero() || at.Before(z.probeAt) {
		z.probeAt = at
	}
}

// RecordPeerExchange records whether an instance of a zone answered. An answer
// postpones the next idle probe if the zone is known to be reachable and its last
// round of probes did not fail; it does not cancel a probe that is due because of
// an overdue reply. If there was no answer, the zone is probed at once, unless
// probeAt is already set.
func (t *Tracker) RecordPeerExchange(zone string, answered bool, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	switch {
	case !answered && z.probeAt.IsZero():
		z.probeAt = now
	case answered && !z.lastSuccess.IsZero() && z.failedRounds == 0:
		z.lastSuccess = now
	}
}

// recordZoneReply records that an upstream of a zone replied or accepted a probe.
func (t *Tracker) recordZoneReply(zone string, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	if z.reported {
		t.emit(Event{Kind: "ZoneReachable", Zone: zone})
	}
	*z = zoneState{lastSuccess: now, lastProbe: z.lastProbe, probing: z.probing}
}

// Reachable reports whether the upstreams of a zone are reachable. It is true
// until the zone is found to be unreachable.
func (t *Tracker) Reachable(zone string) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zones[zone]
	return z == nil || !z.unreachable()
}

// reachabilityKnown reports whether a zone was found to be reachable or
// unreachable.
func (t *Tracker) reachabilityKnown(zone string) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zones[zone]
	return z != nil && (z.unreachable() || !z.lastSuccess.IsZero())
}

// beginProbe reports whether a round of probes of a zone should begin, and
// records its start if so.
func (t *Tracker) beginProbe(zone string, now time.Time) bool {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	if !z.probeDue(now) {
		return false
	}
	z.probing, z.lastProbe = true, now
	return true
}

// endProbe records the end of a round of probes. The round has failed unless a
// reply or probe of the zone succeeded meanwhile.
func (t *Tracker) endProbe(zone string, now time.Time) {
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	z := t.zone(zone)
	z.probing = false
	if !z.lastSuccess.Before(z.lastProbe) {
		return
	}
	z.failedRounds++
	if z.unreachable() && !z.reported {
		z.reported = true
		t.emit(Event{Kind: "ZoneUnreachable", Zone: zone})
	}
}

// ReachabilityKnown reports whether each zone with upstreams was found to be
// reachable or unreachable since the start. Until then an instance must not
// report itself ready: one that starts in a partitioned zone would attract
// callers there.
func (g *Gateway) ReachabilityKnown() bool {
	for _, zone := range g.cfg.Tables.Table().Zones() {
		if !g.tracker.reachabilityKnown(zone) {
			return false
		}
	}
	return true
}

// Isolated reports whether this instance reaches no upstream of any other
// availability zone and cannot serve some route without them. Callers are then
// better served by instances of other zones. It is false if an upstream of
// another zone is reachable, so that the loss of a few shards does not count as
// isolation.
func (g *Gateway) Isolated() bool { return g.isolatedSince.Load() != nil }

// IsolatedFor returns how long the instance has been isolated, 0 if it is not.
func (g *Gateway) IsolatedFor() time.Duration {
	since := g.isolatedSince.Load()
	if since == nil {
		return 0
	}
	return max(g.now().Sub(*since), 1)
}

// updateIsolation records whether the instance is isolated.
func (g *Gateway) updateIsolation(now time.Time) {
	switch isolated := g.checkIsolated(); {
	case !isolated:
		g.isolatedSince.Store(nil)
	case g.isolatedSince.Load() == nil:
		g.isolatedSince.Store(&now)
	}
}

func (g *Gateway) checkIsolated() bool {
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
	return others > 0 && table.HasUnservedRoute(func(up *trdirectory.Upstream) bool { return !unreachable[up.Zone] && g.regular(up) })
}

// StartProbes probes the zones that are due a probe and updates the isolation of
// the instance until stop is called.
func (g *Gateway) StartProbes() (stop func()) {
	return g.cfg.Clock.Every(probeCheckInterval, func(now time.Time) { g.probeDueZones(now) })
}

// probeDueZones starts rounds of probes of the zones that are due, and records the fleet.
func (g *Gateway) probeDueZones(now time.Time) {
	g.fleets.observe(g.cfg.Fleet(), now)
	table := g.cfg.Tables.Table()
	for _, zone := range table.Zones() {
		if g.tracker.beginProbe(zone, now) {
			go g.probeZone(zone, table.ZoneUpstreams(zone))
		}
	}
	g.updateIsolation(now)
}

// probeZone opens connections to some upstreams of a zone.
func (g *Gateway) probeZone(zone string, upstreams []*trdirectory.Upstream) {
	ctx, cancel := trclock.WithTimeout(context.Background(), g.cfg.Clock, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range min(probesPerRound, len(upstreams)) {
		up := upstreams[int(g.randFloat()*float64(len(upstreams)))%len(upstreams)]
		wg.Go(func() {
			if g.probe(ctx, up) == nil {
				g.tracker.recordZoneReply(zone, g.now())
				cancel()
			}
		})
	}
	wg.Wait()
	g.tracker.endProbe(zone, g.now())
}

// probe probes an upstream. A panic of the Sender counts as a failure.
func (g *Gateway) probe(ctx context.Context, up *trdirectory.Upstream) (err error) {
	if p := trpanic.Do(func() { err = g.cfg.Sender.Probe(ctx, up) }); p != nil {
		g.handleEvent(Event{Kind: "Panic", Upstream: up.ID, Zone: up.Zone, Error: p})
		return p
	}
	return err
}
