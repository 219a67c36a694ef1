package trroute

import (
	"math"
	"time"
)

const (
	// slowFactor marks a replica as slow if its latency is this many times that of
	// the fastest one.
	slowFactor = 3
	// equalFactor is the ratio up to which latencies count as equal. The estimates
	// of equal replicas differ by more than their load does.
	equalFactor = 1.5
	// remoteBias is applied to the score of a replica in another zone.
	remoteBias = 1.3
	// slowProbeGap is the time before the first probe of a replica that does not
	// count as equal to the fastest one. It doubles with each probe up to
	// slowProbeMax: nine senders that probe 50 slow leafs every 2 s would spend 14%
	// of the sub-queries of a small deployment on probes.
	slowProbeGap = 2 * time.Second
	slowProbeMax = time.Minute
	// sampleAbove is the number of replicas above which two are drawn at random
	// instead of comparing all of them.
	sampleAbove = 8
	// maxCandidates is the largest number of replicas considered for one attempt.
	maxCandidates = 64
)

// Picker picks the replica for one attempt.
type Picker interface {
	// Pick returns the position of an open candidate, or -1 if waiting is better
	// than any of them or none is open. It is called again after the picked one
	// was closed for lack of a permit.
	Pick(c *Candidates) int
}

// Candidates are the usable replicas for one attempt.
type Candidates struct {
	Leafs        []*Leaf
	Zone         string        // zone of this instance
	Rand         uint64        // random bits for this attempt
	Waited       time.Duration // time the sub-query has waited for a permit
	FirstAttempt bool          // false for hedges and retries
	Probe        func() bool   // spends one extra sub-query on a probe; nil if there is none to spend

	probe  bool          // the picked candidate is a probe of a slow replica
	now    time.Duration // since the epoch of the leafs
	closed uint64        // bit per position
	buffer [maxCandidates]*Leaf
}

// Open reports whether the candidate at position i has not been refused a permit.
func (c *Candidates) Open(i int) bool { return c.closed&(1<<i) == 0 }

func (c *Candidates) close(i int) { c.closed |= 1 << i }

// nthOpen returns the open candidate at or cyclically after position start.
func (c *Candidates) nthOpen(start int) int {
	for k := range c.Leafs {
		if i := (start + k) % len(c.Leafs); c.Open(i) {
			return i
		}
	}
	return -1
}

func (c *Candidates) offset() int { return int(c.Rand % uint64(max(1, len(c.Leafs)))) }

// Random picks any replica with equal probability. It is a baseline.
type Random struct{}

// Pick returns a random open candidate.
func (Random) Pick(c *Candidates) int { return c.nthOpen(c.offset()) }

// RoundRobin picks the replicas of a shard in turn. It is a baseline.
type RoundRobin struct{}

// Pick returns the open candidate that is next in turn.
func (RoundRobin) Pick(c *Candidates) int {
	if len(c.Leafs) == 0 {
		return -1
	}
	n := c.Leafs[0].turn.Add(1)
	return c.nthOpen(int(n % uint64(len(c.Leafs))))
}

// ReportedLoad picks the replica that reports the lowest load. It is a baseline.
type ReportedLoad struct{}

// Pick returns the open candidate with the lowest reported load.
func (ReportedLoad) Pick(c *Candidates) int {
	return c.lowest(func(l *Leaf) float64 { return l.ReportedLoad() })
}

// lowest returns the open candidate with the lowest score. Ties are broken at
// random.
func (c *Candidates) lowest(score func(l *Leaf) float64) int {
	best, bestScore := -1, math.Inf(1)
	start := c.offset()
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

// LeastInFlight prefers replicas of the own zone with few sub-queries in flight
// and spills over to others by measured load and latency. A replica that is much
// slower than the best one gets an attempt only if waiting for the others would
// take longer, and otherwise rare probes. Of many replicas it compares two
// drawn at random.
type LeastInFlight struct{}

// Pick returns the open candidate with the lowest product of latency and load.
func (LeastInFlight) Pick(c *Candidates) int {
	base := c.baseLatency()
	c.probe = false
	if c.FirstAttempt && c.closed == 0 && c.Waited == 0 {
		if i := c.slowProbe(base); i >= 0 {
			c.probe = c.Probe != nil
			return i
		}
	}
	if len(c.Leafs) > sampleAbove {
		return c.pickOfTwo(base)
	}
	best := c.lowest(func(l *Leaf) float64 { return c.score(l, base) })
	if best < 0 || !slow(c.Leafs[best], base) {
		return best
	}
	if c.wait(base)+base+c.Waited < c.Leafs[best].Latency() {
		return -1
	}
	return best
}

// pickOfTwo compares two open candidates drawn at random.
func (c *Candidates) pickOfTwo(base time.Duration) int {
	n := uint64(len(c.Leafs))
	i := c.nthOpen(int(c.Rand % n))
	if i < 0 {
		return -1
	}
	j := c.nthOpen(int((uint64(i) + 1 + c.Rand/n%(n-1)) % n))
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

// score is the expected time at the leaf in units of the lowest latency.
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

func slow(l *Leaf, base time.Duration) bool { return l.Latency() > slowFactor*base }

// slowProbe returns a replica that is due for a probe, or -1. Every replica that
// does not count as equal is probed, since its score alone can keep it from ever
// being tried again. Without Probe, the sub-query itself would suffer from the
// slow replica; then only one that nothing was heard of for slowProbeMax is
// probed.
func (c *Candidates) slowProbe(base time.Duration) int {
	for i, l := range c.Leafs {
		if float64(l.Latency()) < equalFactor*float64(base) {
			if l.slowNext.Load() != 0 {
				l.slowNext.Store(0)
				l.slowGap.Store(0)
			}
			continue
		}
		due := l.slowNext.Load()
		if due == 0 {
			// The latency is fresh when the leaf turns slow.
			l.slowNext.CompareAndSwap(0, int64(c.now+slowProbeGap))
			continue
		}
		if int64(c.now) < due || c.Probe == nil && int64(c.now)-l.sampled.Load() < int64(slowProbeMax) {
			continue
		}
		gap := min(slowProbeMax, max(slowProbeGap, 2*time.Duration(l.slowGap.Load())))
		if l.slowNext.CompareAndSwap(due, int64(c.now+gap)) {
			if c.Probe != nil && !c.Probe() {
				return -1
			}
			l.slowGap.Store(int64(gap))
			return i
		}
	}
	return -1
}

// wait estimates the wait for a permit of a replica that is not slow. Replicas
// with nothing in flight and no pause do not count: their permits return only
// with time.
func (c *Candidates) wait(base time.Duration) time.Duration {
	best := time.Duration(math.MaxInt64 / 4)
	for i, l := range c.Leafs {
		inFlight := l.InFlight()
		pause := l.pauseLeft(c.now)
		if c.Open(i) || inFlight == 0 && pause == 0 || slow(l, base) {
			continue
		}
		inFlight = max(1, inFlight)
		best = min(best, pause+base*time.Duration(l.waiting.len()+1)/time.Duration(inFlight))
	}
	return best
}
