package trgateway

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
)

const (
	// crossZoneRoundTrip is the round trip to another availability zone: 4.4 to
	// 4.5 ms one way at both users' sites.
	crossZoneRoundTrip = 9 * time.Millisecond
	// silentPenalty is the expected rest of the silence of an upstream that owes
	// a late reply. Upstreams pause 200 to 250 ms at a time.
	silentPenalty = 120 * time.Millisecond
	// failurePenalty ranks an upstream that has just failed behind all others.
	failurePenalty = time.Second
	// Time for which a failed upstream is avoided. It doubles with each failure
	// from the first to the last, so that a dead one is tried once in a while.
	firstAvoid = 100 * time.Millisecond
	lastAvoid  = 2 * time.Second
	// slownessStep is the weight of one reply in the slowness of an upstream.
	slownessStep = 0.25
	// slownessHalfLife is the time in which a slow upstream that gets no
	// requests is forgiven half of its slowness, so that it is tried again.
	slownessHalfLife = 2 * time.Second
	mostSlowness     = 30.0
	// unservedStep is the weight of one attempt in the share of attempts that an
	// upstream did not serve. An attempt that fails costs a repeat, of which
	// there are few, so that share weighs as much as unservedCost of time.
	unservedStep  = 0.15
	unservedCost  = 100 * time.Millisecond
	leastSlowness = 0.5
	// ordinarySlowness is the slowness up to which an upstream counts as a usual
	// one. The work of requests spreads by a third, and moving requests to another
	// zone for that costs bytes between zones and connections.
	ordinarySlowness = 1.7
	// affinity is the greatest advance, in expected time, of one of several equal
	// upstreams over another at an instance. Each instance keeps to its own, so that
	// it holds connections to few of them.
	affinity = 5 * time.Millisecond
	// loadLifetime is the time for which a reported load says something of the
	// present one; requests take 7 to 30 ms.
	loadLifetime = 60 * time.Millisecond
)

// Tracker keeps what this instance observed of each upstream. The zero value is
// ready to use.
type Tracker struct {
	Instance string      // ID of this instance
	Zone     string      // availability zone of this instance
	OnEvent  func(Event) // told events, if set; it must not block

	mu        sync.RWMutex
	upstreams map[trdirectory.UpstreamKey]*upstreamState

	zonesMu sync.Mutex
	zones   map[string]*zoneState // with attempts since the last reply
}

// upstreamState is what is known of one start of an upstream.
type upstreamState struct {
	mu         sync.Mutex
	pending    []pendingAttempt
	slowness   float64   // replies take this many times the usual
	learnedAt  time.Time // when slowness and unserved were last changed
	unserved   float64   // share of the latest attempts that were refused or failed
	failures   int       // in a row
	avoidUntil time.Time
	load       Load
	loadAt     time.Time
	cold       coldWindow
	preference time.Duration // part of affinity, 0 until it is computed
	// lostAddr is the address that another upstream has been found to hold.
	lostAddr string
}

type pendingAttempt struct {
	id     uint64
	lateAt time.Time
}

func (t *Tracker) tell(e Event) {
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
		s = &upstreamState{slowness: 1}
		t.upstreams[key] = s
	}
	return s
}

// Retain drops the state of upstreams that keep does not report.
func (t *Tracker) Retain(keep func(trdirectory.UpstreamKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.upstreams {
		if !keep(key) {
			delete(t.upstreams, key)
		}
	}
}

// distance returns the round trip to an upstream.
func (t *Tracker) distance(up *trdirectory.Upstream) time.Duration {
	if up.Zone == t.Zone {
		return 0
	}
	return crossZoneRoundTrip
}

// preference returns a part of affinity that differs by instance and upstream.
func (t *Tracker) preference(up *trdirectory.Upstream) time.Duration {
	h := xxhash.Sum64String(t.Instance + "/" + up.ID)
	return max(time.Duration(float64(affinity)*float64(h>>11)/(1<<53)), 1)
}

// expected returns the time until a reply of the upstream is expected.
func (t *Tracker) expected(up *trdirectory.Upstream, median time.Duration, now time.Time) time.Duration {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preference == 0 {
		s.preference = t.preference(up)
	}
	queue := len(s.pending)
	if now.Sub(s.loadAt) < loadLifetime {
		queue = max(queue, s.load.Running+s.load.Waiting)
	}
	slots := max(up.Slots, 1)
	turns := 1 + float64(max(0, queue+1-slots))/float64(slots)
	slow := 1.0
	if s.slowness >= ordinarySlowness {
		if slow = s.slow(now); slow < ordinarySlowness {
			slow = 1
		}
	}
	d := t.distance(up) + s.preference + time.Duration(float64(median)*slow*turns)
	if s.unserved > 0 {
		d += time.Duration(s.unserved * s.forgiven(now) * float64(unservedCost))
	}
	if s.silent(0, now) {
		d += silentPenalty
	}
	if now.Before(s.avoidUntil) || !t.Reachable(up.Zone) {
		d += failurePenalty
	}
	return d
}

// AddressLost reports whether another upstream was found at the address. An upstream
// does not return to it under the same registration, and requests sent there
// count as repeats of the service that has it now.
func (t *Tracker) AddressLost(up *trdirectory.Upstream) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAddr != "" && s.lostAddr == up.Addr
}

// Stalled reports whether the upstream owes a reply that is late.
func (t *Tracker) Stalled(up *trdirectory.Upstream, now time.Time) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent(0, now)
}

// silentFor reports whether the upstream owes a late reply to another attempt.
func (t *Tracker) silentFor(up *trdirectory.Upstream, attempt uint64, now time.Time) bool {
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent(attempt, now)
}

// silent reports whether a reply is late, other than that to one attempt.
func (s *upstreamState) silent(except uint64, now time.Time) bool {
	for _, p := range s.pending {
		if p.id != except && now.After(p.lateAt) {
			return true
		}
	}
	return false
}

// slow returns the slowness at a time.
func (s *upstreamState) slow(now time.Time) float64 {
	return math.Pow(s.slowness, s.forgiven(now))
}

// forgiven returns the weight of what was learned with the last reply.
func (s *upstreamState) forgiven(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.learnedAt)) / float64(slownessHalfLife))
}

// learn notes whether an attempt was served.
func (s *upstreamState) learn(served bool, now time.Time) {
	miss := 1.0
	if served {
		miss = 0
	}
	s.unserved = s.unserved*s.forgiven(now)*(1-unservedStep) + miss*unservedStep
	s.slowness = s.slow(now)
	s.learnedAt = now
}

// begin notes an attempt whose reply is late after lateAt.
func (t *Tracker) begin(up *trdirectory.Upstream, id uint64, lateAt, now time.Time) {
	t.zoneTried(up, lateAt)
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingAttempt{id, lateAt})
}

// end notes the outcome of an attempt. median is the usual time of a reply.
func (t *Tracker) end(up *trdirectory.Upstream, id uint64, out *Outcome, median time.Duration, now time.Time) {
	if out.Kind == Answered || out.Kind == NotRun {
		t.zoneReplied(up.Zone, now)
	}
	s := t.state(up.Key())
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pending {
		if s.pending[i].id == id {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			break
		}
	}
	if out.Load != nil {
		s.load, s.loadAt = *out.Load, now
	}
	was := s.failures > 0
	defer func() {
		switch is := s.failures > 0; {
		case is && !was:
			err := out.Err
			if out.Kind == Answered {
				err = errors.Errorf("upstream failed with status %d", out.Reply.Status)
			}
			t.tell(Event{Kind: "Unserving", Upstream: up.ID, Zone: up.Zone, Error: err})
		case was && !is:
			t.tell(Event{Kind: "Serving", Upstream: up.ID, Zone: up.Zone})
		}
	}()
	switch out.Kind {
	case Answered:
		s.answered(out.Reply, now.Sub(out.Sent)-t.distance(up), median, now)
	case NotRun:
		if out.Misdirected {
			if s.lostAddr != up.Addr {
				t.tell(Event{Kind: "AddressLost", Upstream: up.ID, Zone: up.Zone, Error: out.Err})
			}
			s.lostAddr = up.Addr
		}
		s.learn(false, now)
	default:
		s.failed(now)
	}
}

func (s *upstreamState) answered(reply *Reply, took, median time.Duration, now time.Time) {
	if reply.Status >= 500 {
		s.failed(now)
		return
	}
	s.failures = 0
	s.avoidUntil = time.Time{}
	ratio := min(max(float64(took)/float64(median), leastSlowness), mostSlowness)
	s.learn(true, now)
	s.slowness = s.slowness*(1-slownessStep) + ratio*slownessStep
}

func (s *upstreamState) failed(now time.Time) {
	s.learn(false, now)
	s.avoidUntil = now.Add(min(firstAvoid<<min(s.failures, 8), lastAvoid))
	s.failures++
}

// choose returns the upstream with the least expected time of a reply among
// those that skip does not exclude, or nil. random breaks ties.
func (t *Tracker) choose(list []*trdirectory.Upstream, skip func(*trdirectory.Upstream) bool, median time.Duration, now time.Time, random func() float64) *trdirectory.Upstream {
	var best *trdirectory.Upstream
	var least float64
	for _, up := range list {
		if t.AddressLost(up) || skip(up) {
			continue
		}
		d := float64(t.expected(up, median, now)) * (1 + tieSpread*random())
		if best == nil || d < least {
			best, least = up, d
		}
	}
	return best
}

// tieSpread is the random part of an expected time. It spreads requests over
// upstreams of about the same rank.
const tieSpread = 0.03
