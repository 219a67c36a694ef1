package trroute

import (
	"math"
	"time"
)

const (
	// slowFactor is the ratio to the lowest latency above which a replica counts as
	// slow.
	slowFactor = 3
	// equalFactor is the ratio up to which latencies count as equal. Latency
	// estimates of equally fast replicas differ by more than their loads do.
	equalFactor = 1.5
	// remoteBias multiplies the score of a replica in another zone.
	remoteBias = 1.3
	// slowProbeMinInterval is the time before the first probe of a replica that does
	// not count as equal to the fastest one. The interval doubles with each probe up
	// to slowProbeMaxInterval. At a constant interval of 2 s, nine senders that probe
	// 50 slow leafs would spend 14% of the sub-queries of a small deployment on
	// probes.
	slowProbeMinInterval = 2 * time.Second
	slowProbeMaxInterval = time.Minute
	// twoChoicesAbove is the largest number of replicas that are all compared. Of
	// more replicas, two drawn at random are compared.
	twoChoicesAbove = 8
	// maxCandidates is the largest number of replicas considered for one attempt. A
	// uint64 holds one bit for each.
	maxCandidates = 64
)

// Picker selects the replica for one attempt.
type Picker interface {
	// Pick returns the position of an open candidate, or -1 if none is open or
	// waiting is better than any of the open ones. If there is no permit for the
	// picked candidate, the candidate is closed and Pick is called again.
	Pick(c *Candidates) int
}

// Candidates are the usable replicas for one attempt.
type Candidates struct {
	Leafs        []*Leaf
	Zone         string        // zone of this instance
	Rand         uint64        // random bits for this attempt
	Waited       time.Duration // time the sub-query has waited for a permit
	FirstAttempt bool          // false for hedges and retries
	SpendProbe   func() bool   // takes an extra sub-query for a probe from the budget; nil if probes are not allowed

	slowProbe bool          // the picked candidate is probed because it does not count as equal to the fastest one
	now       time.Duration // time since Leaf.epoch
	closed    uint64        // bit set of closed positions
	buffer    [maxCandidates]*Leaf
}

// Open reports whether the candidate at position i may still be picked, that is,
// whether no permit has been refused for it in this attempt.
func (c *Candidates) Open(i int) bool { return c.closed&(1<<i) == 0 }

func (c *Candidates) close(i int) { c.closed |= 1 << i }

// nextOpen returns the position of the first open candidate at or cyclically after
// start, or -1 if none is open.
func (c *Candidates) nextOpen(start int) int {
	for k := range c.Leafs {
		if i := (start + k) % len(c.Leafs); c.Open(i) {
			return i
		}
	}
	return -1
}

// randomStart returns a random position.
func (c *Candidates) randomStart() int { return int(c.Rand % uint64(max(1, len(c.Leafs)))) }

// Random picks a replica with equal probability. It is a baseline for comparison.
type Random struct{}

// Pick returns a random open candidate.
func (Random) Pick(c *Candidates) int { return c.nextOpen(c.randomStart()) }

// RoundRobin picks the replicas of a shard in rotation. It is a baseline for
// comparison.
type RoundRobin struct{}

// Pick returns the next open candidate in the rotation.
func (RoundRobin) Pick(c *Candidates) int {
	if len(c.Leafs) == 0 {
		return -1
	}
	n := c.Leafs[0].roundRobin.Add(1)
	return c.nextOpen(int(n % uint64(len(c.Leafs))))
}

// ReportedLoad picks the replica that reports the lowest load. It is a baseline for
// comparison.
type ReportedLoad struct{}

// Pick returns the open candidate with the lowest reported load.
func (ReportedLoad) Pick(c *Candidates) int {
	return c.lowestScore(func(l *Leaf) float64 { return l.ReportedLoad() })
}

// lowestScore returns the position of the open candidate with the lowest score, or -1
// if none is open. Ties are broken at random.
func (c *Candidates) lowestScore(score func(l *Leaf) float64) int {
	best, bestScore := -1, math.Inf(1)
	start := c.randomStart()
	for k := range c.Leafs {
		i := (start + k) % len(c.Leafs)
		if !c.Open(i) {
			continue
		}
		if s := score(c.Leafs[i]); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// LeastInFlight prefers replicas in the same zone with few sub-queries in flight,
// and spills over to other zones by latency and sub-queries in flight. A replica that
// is much slower than the fastest one gets an attempt only if waiting for the others
// would take longer; apart from that it is probed rarely. Of more than
// twoChoicesAbove replicas, it only compares two drawn at random (power of two
// choices).
type LeastInFlight struct{}

// Pick returns the open candidate with the lowest score.
func (LeastInFlight) Pick(c *Candidates) int {
	base := c.baseLatency()
	c.slowProbe = false
	if c.FirstAttempt && c.closed == 0 && c.Waited == 0 {
		if i := c.claimSlowProbe(base); i >= 0 {
			c.slowProbe = c.SpendProbe != nil
			return i
		}
	}
	if len(c.Leafs) > twoChoicesAbove {
		return c.pickOfTwo(base)
	}
	best := c.lowestScore(func(l *Leaf) float64 { return c.score(l, base) })
	if best < 0 || !isSlow(c.Leafs[best], base) {
		return best
	}
	if c.estimateWait(base)+base+c.Waited < c.Leafs[best].Latency() {
		return -1
	}
	return best
}

// pickOfTwo returns the position of the one with the lower score of two open
// candidates drawn at random, or -1 if none is open.
func (c *Candidates) pickOfTwo(base time.Duration) int {
	n := uint64(len(c.Leafs))
	i := c.nextOpen(int(c.Rand % n))
	if i < 0 {
		return -1
	}
	j := c.nextOpen(int((uint64(i) + 1 + c.Rand/n%(n-1)) % n))
	if c.score(c.Leafs[j], base) < c.score(c.Leafs[i], base) {
		return j
	}
	return i
}

// baseLatency returns the lowest known latency, or 1 ms if none is known.
func (c *Candidates) baseLatency() time.Duration {
	base := time.Duration(0)
	for _, l := range c.Leafs {
		if lat := l.Latency(); lat > 0 && (base == 0 || lat < base) {
			base = lat
		}
	}
	if base == 0 {
		return time.Millisecond
	}
	return base
}

// score estimates the response time of the leaf in units of the lowest latency.
func (c *Candidates) score(l *Leaf, base time.Duration) float64 {
	ratio := float64(l.Latency()) / float64(base)
	if ratio < equalFactor {
		ratio = 1
	}
	if l.Zone != c.Zone {
		ratio *= remoteBias
	}
	return ratio * float64(l.InFlight()+1)
}

// isSlow reports whether l is much slower than the lowest latency.
func isSlow(l *Leaf, base time.Duration) bool { return l.Latency() > slowFactor*base }

// claimSlowProbe claims a probe that is due and returns the position of its replica,
// or -1. Every replica that does not count as equal to the fastest one is probed,
// because its score alone could exclude it forever. If SpendProbe is nil, no second
// sub-query is sent and this one has to wait for the slow replica.
func (c *Candidates) claimSlowProbe(base time.Duration) int {
	for i, l := range c.Leafs {
		if float64(l.Latency()) < equalFactor*float64(base) {
			if l.nextSlowProbe.Load() != 0 {
				l.nextSlowProbe.Store(0)
				l.slowProbeInterval.Store(0)
			}
			continue
		}
		due := l.nextSlowProbe.Load()
		if due == 0 {
			// The latency estimate is recent when the leaf stops counting as equal.
			l.nextSlowProbe.CompareAndSwap(0, int64(c.now+slowProbeMinInterval))
			continue
		}
		if int64(c.now) < due {
			continue
		}
		interval := min(slowProbeMaxInterval, max(slowProbeMinInterval, 2*time.Duration(l.slowProbeInterval.Load())))
		if l.nextSlowProbe.CompareAndSwap(due, int64(c.now+interval)) {
			if c.SpendProbe != nil && !c.SpendProbe() {
				return -1
			}
			l.slowProbeInterval.Store(int64(interval))
			return i
		}
	}
	return -1
}

// estimateWait estimates the wait for a permit for a replica that is not slow.
// Replicas with nothing in flight and no pause are left out: no permit for them can
// be released, so only the passing of time makes one available.
func (c *Candidates) estimateWait(base time.Duration) time.Duration {
	best := time.Duration(math.MaxInt64 / 4)
	for i, l := range c.Leafs {
		inFlight := l.InFlight()
		pause := l.pauseLeft(c.now)
		if c.Open(i) || inFlight == 0 && pause == 0 || isSlow(l, base) {
			continue
		}
		inFlight = max(1, inFlight)
		best = min(best, pause+base*time.Duration(l.waiting.len()+1)/time.Duration(inFlight))
	}
	return best
}
