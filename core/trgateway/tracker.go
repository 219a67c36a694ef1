package trgateway

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tanagerrock/core/trcost"
	"tanagerrock/core/trdirectory"
)

const (
	// stallPenalty is the expected remaining pause of an upstream with an overdue
	// reply. Upstreams pause for 200 to 250 ms at a time.
	stallPenalty = 120 * time.Millisecond
	// failurePenalty ranks an upstream that has just failed, or whose zone is
	// unreachable, behind all others.
	failurePenalty = time.Second
	// A failed upstream is avoided for minAvoidTime. The time doubles with each
	// further failure up to maxAvoidTime, so that a dead upstream is still tried
	// occasionally.
	minAvoidTime = 100 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// decayHalfLife is the half-life of unserved. Without the decay an upstream that gets no
	// requests would not be tried again.
	decayHalfLife = 2 * time.Second
	// unservedWeight is the weight of one attempt in the moving average of the
	// attempts that an upstream did not serve. A failed attempt costs a repeat,
	// and repeats are limited, so that average is charged as up to
	// unservedPenalty of latency.
	unservedWeight  = 0.15
	unservedPenalty = 100 * time.Millisecond
	// maxBias limits the constant that an instance adds to the expected latency of
	// an upstream. It differs by instance and upstream, so that each instance
	// favors a few of several equal upstreams and holds connections only to those.
	maxBias = 5 * time.Millisecond
)

// Tracker records what this instance has observed of each upstream. The zero
// value is ready to use.
type Tracker struct {
	Instance string      // ID of this instance
	Zone     string      // availability zone of this instance
	OnEvent  func(Event) // called for each event, if set; must not block
	// Connections returns the number of connections that this instance may have to an
	// upstream. If it is nil, that is not limited.
	Connections func(up *trdirectory.Upstream) int

	leaving LeavingSet
	pauses  Pauses
	model   trcost.Model

	roundTrips roundTrips

	mu          sync.RWMutex
	upstreams   map[trdirectory.UpstreamKey]*upstreamState
	stallGroups map[string]*trcost.StallGroup // by the first shard of a set

	zonesMu sync.Mutex
	zones   map[string]*zoneState // by name
}

// upstreamState is the observed state of one upstream process.
type upstreamState struct {
	mu         sync.Mutex
	backlog    trcost.Backlog // its work and speed
	stalls     trcost.Stalls  // its periodic stalls
	unserved   float64        // moving average of refused and failed attempts, 0 to 1
	updatedAt  time.Time      // when unserved was last updated
	failures   int            // consecutive
	avoidUntil time.Time
	cold       coldWindow
	bias       time.Duration // at most maxBias, 0 until it is computed
	// lostAddr is the address at which another upstream was found.
	lostAddr string
}

func (t *Tracker) emit(e Event) {
	if t.OnEvent != nil {
		t.OnEvent(e)
	}
}

func (t *Tracker) state(key trdirectory.UpstreamKey) *upstreamState {
	t.mu.RLock()
	s := t.upstreams[key]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstreams == nil {
		t.upstreams = make(map[trdirectory.UpstreamKey]*upstreamState)
	}
	if s = t.upstreams[key]; s == nil {
		s = new(upstreamState)
		t.upstreams[key] = s
	}
	return s
}

// maxStallGroups bounds the sets of shards whose stalls are learned. A set is in use until the
// index is cut into another one.
const maxStallGroups = 64

// stallGroup returns what is known of the stalls of the upstreams of a set of shards, which is
// identified by its first one.
func (t *Tracker) stallGroup(firstShard string) *trcost.StallGroup {
	t.mu.RLock()
	group := t.stallGroups[firstShard]
	t.mu.RUnlock()
	if group != nil {
		return group
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if group = t.stallGroups[firstShard]; group == nil {
		if t.stallGroups == nil || len(t.stallGroups) >= maxStallGroups {
			t.stallGroups = make(map[string]*trcost.StallGroup)
		}
		group = new(trcost.StallGroup)
		t.stallGroups[firstShard] = group
	}
	return group
}

// Retain drops the state of all upstreams for which keep returns false, except that
// they are leaving, and pauses that have ended.
func (t *Tracker) Retain(keep func(trdirectory.UpstreamKey) bool, now time.Time) {
	t.leaving.Prune(keep, now)
	t.pauses.Prune(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.upstreams {
		if !keep(key) {
			delete(t.upstreams, key)
		}
	}
}

// roundTrip returns the round-trip time to an upstream.
func (t *Tracker) roundTrip(up *trdirectory.Upstream) time.Duration {
	if up.Zone == t.Zone {
		return 0
	}
	return t.roundTrips.to(up.Zone)
}

// distance returns what the ranking charges for an upstream's zone. It is the same for all other
// zones, however close they are, because traffic between zones is billed.
func (t *Tracker) distance(up *trdirectory.Upstream) time.Duration {
	if up.Zone == t.Zone {
		return 0
	}
	return crossZoneRoundTrip
}

// bias returns the constant, up to maxBias, that this instance adds to the expected
// latency of the upstream.
func (t *Tracker) bias(up *trdirectory.Upstream) time.Duration {
	h := xxhash.Sum64String(t.Instance + "/" + up.ID)
	return max(time.Duration(float64(maxBias)*float64(h>>11)/(1<<53)), 1)
}

// expectedLatency returns the expected time until a reply from the upstream to a request that
// is sent now. It reports false if another upstream was found at its address.
func (t *Tracker) expectedLatency(up *trdirectory.Upstream, est trcost.Estimate, now time.Time) (d time.Duration, ok bool) {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addressLost(up) {
		return 0, false
	}
	if s.bias == 0 {
		s.bias = t.bias(up)
	}
	s.backlog.Slots = up.Slots
	if t.Connections != nil && s.backlog.Pending() > 0 {
		s.backlog.Conns = t.Connections(up)
	}
	d = t.distance(up) + s.bias + trcost.Expected(&s.backlog, &t.model, est, now)
	if s.unserved > 0 {
		d += time.Duration(s.unserved * s.decay(now) * float64(unservedPenalty))
	}
	wait := s.stalls.Wait(est.Work, now)
	if s.backlog.Overdue(0, now) {
		wait = max(wait, stallPenalty)
	}
	d += wait
	if now.Before(s.avoidUntil) || !t.Reachable(up.Zone) {
		d += failurePenalty
	}
	return d, true
}

// AddressLost reports whether another upstream was found at the upstream's
// registered address. No more requests are sent there, because the upstream would
// come back under a new registration, and because a request sent there counts
// against the repeat limit of the service whose upstream now has the address.
func (t *Tracker) AddressLost(up *trdirectory.Upstream) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addressLost(up)
}

func (s *upstreamState) addressLost(up *trdirectory.Upstream) bool {
	return s.lostAddr != "" && s.lostAddr == up.Addr
}

// takesRequests reports whether the upstream has neither announced that it is leaving
// nor asked for a pause that is in force.
func (t *Tracker) takesRequests(key trdirectory.UpstreamKey, now time.Time) bool {
	return !t.leaving.Contains(key) && t.pauses.Until(key, now).IsZero()
}

// availableAt returns when some upstream of the list takes requests, the zero time if
// one does now. It reports false if none will.
func (t *Tracker) availableAt(list []*trdirectory.Upstream, skip func(*trdirectory.Upstream) bool, now time.Time) (at time.Time, ok bool) {
	for _, up := range list {
		if skip(up) || t.leaving.Contains(up.Key()) || t.AddressLost(up) {
			continue
		}
		until := t.pauses.Until(up.Key(), now)
		if !ok || until.Before(at) {
			at, ok = until, true
		}
	}
	return at, ok
}

// LeavingUpstreams returns the number of upstreams that are known to be leaving.
func (t *Tracker) LeavingUpstreams() int { return t.leaving.Len() }

// PausedUpstreams returns the number of upstreams that have recently asked for a pause.
func (t *Tracker) PausedUpstreams() int { return t.pauses.Len() }

// SlowUpstreams returns the number of upstreams that are ranked as slower than usual.
func (t *Tracker) SlowUpstreams(now time.Time) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.upstreams {
		s.mu.Lock()
		if s.backlog.Slowness(now) > 1 {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// ReportTrust returns the trust, from 0 to 1, in a new report of an upstream's queue and of its
// pace.
func (t *Tracker) ReportTrust() (queue, pace float64) { return t.model.Trust() }

// recordAnnouncements records what an upstream announced with a reply about further
// requests. spread, from 0 to 1, varies the end of a pause.
func (t *Tracker) recordAnnouncements(up *trdirectory.Upstream, out *Outcome, spread float64, now time.Time) {
	if out.Leaving && t.leaving.Add(up.Key(), now) {
		t.emit(Event{Kind: "Leaving", Upstream: up.ID, Zone: up.Zone})
	}
	if out.PauseError != nil {
		t.emit(Event{Kind: "InvalidPause", Upstream: up.ID, Zone: up.Zone, Error: out.PauseError})
	}
	if out.Pause > 0 {
		until := t.pauses.Add(up.Key(), out.Pause, spread, now)
		t.emit(Event{Kind: "Paused", Upstream: up.ID, Zone: up.Zone, Pause: until.Sub(now)})
	}
}

// Stalled reports whether a reply from the upstream is overdue.
func (t *Tracker) Stalled(up *trdirectory.Upstream, now time.Time) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.Overdue(0, now)
}

// stalledExcept is like Stalled but ignores one attempt.
func (t *Tracker) stalledExcept(up *trdirectory.Upstream, attempt uint64, now time.Time) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.Overdue(attempt, now)
}

// decay returns the factor by which unserved has decayed since it was last updated.
func (s *upstreamState) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(decayHalfLife))
}

// recordAttempt updates the moving average of unserved attempts.
func (s *upstreamState) recordAttempt(served bool, now time.Time) {
	miss := 1.0
	if served {
		miss = 0
	}
	s.unserved = s.unserved*s.decay(now)*(1-unservedWeight) + miss*unservedWeight
	s.updatedAt = now
}

// beginAttempt records an attempt whose reply is overdue after lateAt.
// group learns the stalls of the upstream and of those like it; it may be nil.
func (t *Tracker) beginAttempt(up *trdirectory.Upstream, id uint64, est trcost.Estimate, group *trcost.StallGroup, lateAt, now time.Time) {
	t.recordZoneAttempt(up, lateAt)
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls.Group = group
	s.backlog.Begin(id, est, lateAt, now)
}

// endAttempt records the outcome of an attempt. It returns the work that the request took at the
// upstream, 0 if that is not known.
func (t *Tracker) endAttempt(up *trdirectory.Upstream, id uint64, est trcost.Estimate, out *Outcome, now time.Time) (work time.Duration) {
	if out.Kind == Answered || out.Kind == NotRun {
		t.recordZoneReply(up.Zone, now)
	}
	var took time.Duration
	if out.Kind == Answered && !out.Reply.Failed() {
		took = now.Sub(out.Sent)
		if up.Zone != t.Zone {
			t.roundTrips.record(up.Zone, took, now)
		}
		took = max(took-t.roundTrip(up), 1)
	}
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if took > 0 {
		took -= s.stalls.Record(est.Work, took, now)
	}
	var report *trcost.Report
	if out.Load != nil {
		report = &trcost.Report{Running: out.Load.Running, Waiting: out.Load.Waiting, Pace: out.Load.Pace}
	}
	work = s.backlog.End(&t.model, id, took, report, now)
	wasFailing := s.failures > 0
	defer func() {
		switch failing := s.failures > 0; {
		case failing && !wasFailing:
			err := out.Err
			if out.Kind == Answered {
				err = errors.Errorf("upstream failed with status %d", out.Reply.Status)
			}
			t.emit(Event{Kind: "Unserving", Upstream: up.ID, Zone: up.Zone, Error: err})
		case wasFailing && !failing:
			t.emit(Event{Kind: "Serving", Upstream: up.ID, Zone: up.Zone})
		}
	}()
	switch out.Kind {
	case Answered:
		s.recordReply(out.Reply, now)
	case NotRun:
		if out.Misdirected {
			if s.lostAddr != up.Addr {
				t.emit(Event{Kind: "AddressLost", Upstream: up.ID, Zone: up.Zone, Error: out.Err})
			}
			s.lostAddr = up.Addr
		}
		s.recordAttempt(false, now)
	default:
		if !errors.Is(out.Err, ErrWithheld) {
			s.recordFailure(now)
		}
	}
	return work
}

func (s *upstreamState) recordReply(reply *Reply, now time.Time) {
	if reply.Failed() {
		s.recordFailure(now)
		return
	}
	s.failures = 0
	s.avoidUntil = time.Time{}
	s.recordAttempt(true, now)
}

func (s *upstreamState) recordFailure(now time.Time) {
	s.recordAttempt(false, now)
	s.avoidUntil = now.Add(min(minAvoidTime<<min(s.failures, 8), maxAvoidTime))
	s.failures++
}

// choose returns the upstream with the lowest expected latency, or nil. It leaves
// out those that lost their address, are leaving or paused, and then those for which
// skip returns true.
// random, from 0 to 1, varies the latencies by up to tieJitter.
func (t *Tracker) choose(list []*trdirectory.Upstream, skip func(*trdirectory.Upstream) bool, est trcost.Estimate, now time.Time, random func() float64) *trdirectory.Upstream {
	var best *trdirectory.Upstream
	var least float64
	for _, up := range list {
		if !t.takesRequests(up.Key(), now) || skip(up) {
			continue
		}
		expected, ok := t.expectedLatency(up, est, now)
		if !ok {
			continue
		}
		if d := float64(expected) * (1 + tieJitter*random()); best == nil || d < least {
			best, least = up, d
		}
	}
	return best
}

// tieJitter is the relative random part of an expected latency. It spreads
// requests over upstreams of about the same rank.
const tieJitter = 0.03
