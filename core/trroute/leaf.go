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
	// latencyDecay is the time constant with which old samples lose their weight, so
	// that the estimate of a leaf that is only probed recovers after a few probes.
	latencyDecay = time.Second
	// ejectAfter is the number of consecutive failures after which a leaf is ejected.
	// An ejected leaf is first probed after ejectBase; the time doubles with each
	// further failure up to ejectMax. The ejection ends with the first success or when
	// the leaf restarts.
	ejectAfter = 3
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// maxShedPause is the longest pause after a shed. It limits the effect of one slow
	// reply, which raises the latency estimate.
	maxShedPause = 100 * time.Millisecond
	// ejectedProbeInterval is the shortest time between two probes of an ejected leaf.
	ejectedProbeInterval = time.Second
	// maxRetiredStarts is the number of retired start IDs that are remembered per leaf,
	// so that a late reply cannot make one of them current again.
	maxRetiredStarts = 8
)

// Leaf is one upstream server with its limit and statistics. The exported fields
// do not change. The pointer stays the same as long as the leaf keeps its ID, service,
// zone and address, even if it is missing from the platform's list for a short time.
type Leaf struct {
	ID      string
	Service string
	Zone    string
	Addr    string
	Limit   trlimit.LeafLimit

	epoch    time.Time // origin of the times below
	policy   atomic.Pointer[trlimit.LeafPolicy]
	usable   atomic.Bool
	draining atomic.Bool
	startID  atomic.Pointer[string]

	inFlight          atomic.Int64
	latency           atomic.Int64 // exponentially weighted moving average in ns, 0 if unknown
	sampledAt         atomic.Int64 // time of the last latency sample
	nextSlowProbe     atomic.Int64 // time of the next probe, 0 while the leaf counts as equal to the fastest one
	slowProbeInterval atomic.Int64 // time from the last probe to the next, 0 before the first
	pausedUntil       atomic.Int64 // end of the pause after a shed
	failures          atomic.Int64 // consecutive failures
	nextEjectedProbe  atomic.Int64 // earliest time of the next probe, 0 if not ejected
	reportedLoad      atomic.Uint64
	roundRobin        atomic.Uint64 // counter of the RoundRobin picker

	waiting waitQueue

	info leafInfo // guarded by Router.mu
}

// leafInfo is the state of a leaf that the Router maintains.
type leafInfo struct {
	state        trwire.InstanceState // state in the platform's list, empty if not listed
	unlistedAt   time.Time
	hello        *trwire.Hello
	helloAt      time.Time
	stale        bool // the reported holdings are known to be out of date
	helloAskedAt time.Time
	retired      []string // start IDs of earlier runs, in the order of their retirement
	wasUsable    bool     // the leaf has been usable before
}

// Usable reports whether the leaf may receive new sub-queries: it is listed as live,
// its hello is known, it is not draining and not taken out by the configuration.
func (l *Leaf) Usable() bool { return l.usable.Load() && !l.draining.Load() }

// Draining reports whether the leaf is draining.
func (l *Leaf) Draining() bool { return l.draining.Load() }

// StartID returns the current start ID of the leaf, or "" if it is unknown.
func (l *Leaf) StartID() string {
	if id := l.startID.Load(); id != nil {
		return *id
	}
	return ""
}

// InFlight returns the number of sub-queries of this instance in flight at the leaf.
func (l *Leaf) InFlight() int { return int(l.inFlight.Load()) }

// Latency returns the estimated latency, or 0 if it is unknown.
func (l *Leaf) Latency() time.Duration { return time.Duration(l.latency.Load()) }

// Ejected reports whether the leaf is ejected after consecutive failures.
func (l *Leaf) Ejected() bool { return l.nextEjectedProbe.Load() != 0 }

// SetReportedLoad records the load from 0 to 1 that the leaf reports about itself.
// Only the ReportedLoad picker reads it.
func (l *Leaf) SetReportedLoad(share float64) { l.reportedLoad.Store(math.Float64bits(share)) }

// ReportedLoad returns the load set by the last SetReportedLoad.
func (l *Leaf) ReportedLoad() float64 { return math.Float64frombits(l.reportedLoad.Load()) }

// permitRequest returns a request for a permit from the leaf's limit.
func (l *Leaf) permitRequest(timeout, coldTimeout time.Duration, views trlimit.Views) trlimit.PermitRequest {
	return trlimit.PermitRequest{
		LeafID: l.ID, Timeout: timeout, ColdTimeout: coldTimeout,
		Policy: l.policy.Load(), Views: views,
	}
}

// recordLatency adds a latency sample to the moving average. Concurrent samples may
// overwrite each other, which only loses a sample.
func (l *Leaf) recordLatency(now time.Time, latency time.Duration) {
	at := int64(now.Sub(l.epoch))
	last := l.sampledAt.Swap(at)
	old := l.latency.Load()
	if old == 0 {
		l.latency.Store(max(1, int64(latency)))
		return
	}
	gap := float64(max(0, at-last)) / float64(latencyDecay)
	weight := max(latencyWeight, 1-math.Exp(-gap))
	l.latency.Store(max(1, int64(float64(old)*(1-weight)+float64(latency)*weight)))
}

// record updates the statistics with the outcome of one sub-query. It reports whether
// an ejection of the leaf ended.
func (l *Leaf) record(now time.Time, o Outcome) (readmitted bool) {
	if o.Err == nil {
		l.recordLatency(now, o.Latency)
		l.failures.Store(0)
		return l.nextEjectedProbe.Swap(0) != 0
	}
	switch o.Err.Kind {
	case trwire.AttemptCanceled:
		// The elapsed time is a lower bound of the latency.
		if o.Latency > l.Latency() {
			l.recordLatency(now, o.Latency)
		}
	case trwire.AttemptShed:
		l.pause(now)
	case trwire.AttemptTimeout:
		l.recordLatency(now, o.Latency)
		l.recordFailure(now)
	case trwire.AttemptDial, trwire.AttemptBroken, trwire.AttemptBadReply, trwire.AttemptFailed:
		l.recordFailure(now)
	}
	return false
}

// pause stops new sub-queries to a leaf that has just shed one. The slots and the
// queue of the leaf are full, and it takes about half a latency until a running
// sub-query ends. A leaf without a known latency is not paused.
func (l *Leaf) pause(now time.Time) {
	pause := min(l.Latency()/2, maxShedPause)
	l.pausedUntil.Store(int64(now.Add(pause).Sub(l.epoch)))
}

// pauseLeft returns the rest of the pause. now is the time since the epoch.
func (l *Leaf) pauseLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(l.pausedUntil.Load())-now)
}

// recordFailure counts a failure and ejects the leaf after ejectAfter consecutive
// ones.
func (l *Leaf) recordFailure(now time.Time) {
	n := l.failures.Add(1)
	if n < ejectAfter {
		return
	}
	wait := min(ejectMax, ejectBase<<min(n-ejectAfter, 10))
	l.nextEjectedProbe.Store(int64(now.Add(wait).Sub(l.epoch)))
}

// claimEjectedProbe claims the probe of an ejected leaf if one is due, and schedules the
// next. Only one of several concurrent callers succeeds.
func (l *Leaf) claimEjectedProbe(now time.Time) bool {
	due := l.nextEjectedProbe.Load()
	at := int64(now.Sub(l.epoch))
	if due == 0 || at < due {
		return false
	}
	return l.nextEjectedProbe.CompareAndSwap(due, at+int64(ejectedProbeInterval))
}
