package trroute

import (
	"math"
	"sync/atomic"
	"time"

	"tanagerrock/core/trlimit"
	"tanagerrock/core/trwire"
)

const (
	// latencyWeight is the weight of one latency sample under steady traffic.
	latencyWeight = 0.2
	// latencyDecay is the time in which old samples lose their weight, so that a
	// leaf that is only probed recovers after a few probes.
	latencyDecay = time.Second
	// ejectAfter is the number of consecutive failures that ejects a leaf.
	ejectAfter = 3
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// shedPauseMax bounds the pause after a shed, so that one slow reply does not
	// close a leaf for long.
	shedPauseMax = 100 * time.Millisecond
	// probeGap is the shortest time between two probes of one ejected leaf.
	probeGap = time.Second
	// retiredStarts is the number of former starts that are remembered, so that a
	// late reply does not bring one of them back.
	retiredStarts = 8
)

// Leaf is one upstream server with its limit and statistics. The exported fields
// do not change. The pointer stays the same while the leaf keeps its identity,
// zone and address, also over a short absence from the platform's list.
type Leaf struct {
	ID      string
	Service string
	Zone    string
	Addr    string
	Limit   trlimit.LeafLimit

	epoch    time.Time // time values below count from here
	policy   atomic.Pointer[trlimit.LeafPolicy]
	usable   atomic.Bool
	draining atomic.Bool
	startID  atomic.Pointer[string]

	inFlight atomic.Int64
	latency  atomic.Int64 // EWMA in ns, 0 if unknown
	sampled  atomic.Int64 // time of the last latency sample
	slowNext atomic.Int64 // time of the next probe while the leaf is slow
	slowGap  atomic.Int64 // time between the last probe and the next, 0 before the first
	paused   atomic.Int64 // end of the pause after a shed
	failures atomic.Int64 // consecutive
	ejected  atomic.Int64 // end of the ejection, 0 if not ejected
	reported atomic.Uint64
	turn     atomic.Uint64 // round robin

	waiting waitQueue

	info leafInfo // guarded by Router.mu
}

// leafInfo is what the Router knows about a leaf.
type leafInfo struct {
	state      trwire.InstanceState // empty if not listed
	unlistedAt time.Time
	hello      *trwire.Hello
	helloAt    time.Time
	stale      bool // the holdings are known to be out of date
	asked      time.Time
	retired    []string
	wasUsable  bool
}

// Usable reports whether the leaf may receive new work: it is listed live, known
// by a hello, not draining and not taken out.
func (l *Leaf) Usable() bool { return l.usable.Load() && !l.draining.Load() }

// Draining reports whether the leaf's current start drains.
func (l *Leaf) Draining() bool { return l.draining.Load() }

// StartID returns the current start of the leaf, or "" if it is unknown.
func (l *Leaf) StartID() string {
	if id := l.startID.Load(); id != nil {
		return *id
	}
	return ""
}

// InFlight returns the number of sub-queries of this instance at the leaf.
func (l *Leaf) InFlight() int { return int(l.inFlight.Load()) }

// Latency returns the estimated latency, or 0 if it is unknown.
func (l *Leaf) Latency() time.Duration { return time.Duration(l.latency.Load()) }

// Ejected reports whether the leaf is ejected for consecutive failures.
func (l *Leaf) Ejected() bool { return l.ejected.Load() != 0 }

// SetReportedLoad records the load from 0 to 1 that the leaf reports itself. Only
// the ReportedLoad choice reads it.
func (l *Leaf) SetReportedLoad(share float64) { l.reported.Store(math.Float64bits(share)) }

// ReportedLoad returns the load recorded last.
func (l *Leaf) ReportedLoad() float64 { return math.Float64frombits(l.reported.Load()) }

// work describes a sub-query with the given timeouts for the leaf's limit.
func (l *Leaf) work(timeout, coldTimeout time.Duration, views trlimit.Views) trlimit.PermitRequest {
	return trlimit.PermitRequest{
		LeafID: l.ID, Timeout: timeout, ColdTimeout: coldTimeout,
		Policy: l.policy.Load(), Views: views,
	}
}

// sample adds a latency to the estimate. Concurrent samples may overwrite each
// other, which the estimate tolerates.
func (l *Leaf) sample(now time.Time, latency time.Duration) {
	at := int64(now.Sub(l.epoch))
	last := l.sampled.Swap(at)
	old := l.latency.Load()
	if old == 0 {
		l.latency.Store(max(1, int64(latency)))
		return
	}
	gap := float64(max(0, at-last)) / float64(latencyDecay)
	weight := max(latencyWeight, 1-math.Exp(-gap))
	l.latency.Store(max(1, int64(float64(old)*(1-weight)+float64(latency)*weight)))
}

// record updates the statistics with the end of one sub-query. It reports
// whether the leaf came back from an ejection.
func (l *Leaf) record(now time.Time, o Outcome) (back bool) {
	if o.Err == nil {
		l.sample(now, o.Latency)
		l.failures.Store(0)
		return l.ejected.Swap(0) != 0
	}
	switch o.Err.Kind {
	case trwire.AttemptCanceled:
		// The elapsed time is a lower bound of the latency.
		if o.Latency > l.Latency() {
			l.sample(now, o.Latency)
		}
	case trwire.AttemptShed:
		l.pause(now)
	case trwire.AttemptTimeout:
		l.sample(now, o.Latency)
		l.fail(now)
	case trwire.AttemptDial, trwire.AttemptBroken, trwire.AttemptBadReply, trwire.AttemptFailed:
		l.fail(now)
	}
	return false
}

// pause keeps new sub-queries away from a leaf that has just shed one. Its slots
// and its queue are full, so it takes about half a latency until one ends. A leaf
// without a known latency is not paused.
func (l *Leaf) pause(now time.Time) {
	pause := min(l.Latency()/2, shedPauseMax)
	l.paused.Store(int64(now.Add(pause).Sub(l.epoch)))
}

// pauseLeft returns the rest of the pause at the given time since the epoch.
func (l *Leaf) pauseLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(l.paused.Load())-now)
}

func (l *Leaf) fail(now time.Time) {
	n := l.failures.Add(1)
	if n < ejectAfter {
		return
	}
	pause := min(ejectMax, ejectBase<<min(n-ejectAfter, 10))
	l.ejected.Store(int64(now.Add(pause).Sub(l.epoch)))
}

// probe reports whether the ejected leaf is due for a probe, and claims it.
func (l *Leaf) probe(now time.Time) bool {
	until := l.ejected.Load()
	at := int64(now.Sub(l.epoch))
	if until == 0 || at < until {
		return false
	}
	return l.ejected.CompareAndSwap(until, at+int64(probeGap))
}
