package trcost

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minStallPeriod and maxStallPeriod bound the period of the stalls that are learned. Shorter
	// ones are part of the usual latency, and longer ones recur too rarely to be worth a
	// prediction.
	minStallPeriod = time.Second
	maxStallPeriod = 20 * time.Second
	// maxStallShare bounds the length of a stall, as a share of the period.
	maxStallShare = 0.25
	// minStall is the least delay of a reply that is taken for a stall, and minStallFactor the
	// least one as a multiple of the expected work: rare requests take five times as long as
	// usual.
	minStall       = 20 * time.Millisecond
	minStallFactor = 2
	// sameStall is the time within which delayed replies belong to one stall. The first one
	// shows its end, others queue behind it.
	sameStall = 200 * time.Millisecond
	// stallTolerance is how far the time between two stalls may be off a multiple of the period:
	// the end of a stall is known up to the spread of the work that follows it.
	stallTolerance = 25 * time.Millisecond
	// stallGuard is added to a predicted stall on both sides.
	stallGuard = 10 * time.Millisecond
	// stallMemory is the number of periods for which a stall predicts others. Its error grows
	// with each, and an upstream that has changed its ways must be tried again.
	stallMemory = 12
	// maxStallMultiple is the highest multiple of a period to which a gap is compared.
	maxStallMultiple = 6
	// slowShare is the share of delayed replies from which an upstream is slow rather than
	// stalling now and then.
	slowShare = 0.6
	// shareWeight is the weight of one reply in that share.
	shareWeight = 1.0 / 8
	// A period is accepted if at least minGapHits gaps and minGapShare of them are multiples of
	// it, and their number exceeds what is expected by chance by gapSignificance standard
	// deviations. Slow upstreams cause gaps of all lengths.
	minGapHits      = 24
	minGapShare     = 0.35
	gapSignificance = 8.0
	// fundamentalShare is the share of the gaps that must agree with a multiple of a period too
	// for the multiple to be the period. The others agree by chance.
	fundamentalShare = 0.7
	// keptGaps is the number of latest gaps that are kept, candidateGaps the number of those
	// from which periods are derived, and newGaps the number of new ones between evaluations,
	// which take 0.2 ms. There is none once a period is known: requests then avoid the
	// stalls, and what is left are gaps with other causes.
	keptGaps      = 256
	candidateGaps = 48
	newGaps       = 16
	// maxWrong is the number of wrong predictions, more than the right ones, after which a period
	// is forgotten.
	maxWrong = 32
	// keptDelays is the number of latest delays from which the length of a stall is derived.
	keptDelays = 64
	// keptEnds is the number of latest stalls of an upstream that are kept.
	keptEnds = 6
)

// StallGroup learns the period and the length of the stalls of upstreams that run the same
// software, as the shards of one index do. The load are upstreams that stop for a tenth of a
// second every few seconds, each at its own time, for a collection of garbage or a periodic
// flush. One instance sees a stall of one upstream in some seconds; many upstreams together show
// the period within seconds. The zero value is ready to use and safe for concurrent use.
type StallGroup struct {
	period, length atomic.Int64 // nanoseconds; 0 if there is no period

	mu           sync.Mutex
	gaps         []time.Duration // between stalls of the same upstream, as a ring buffer
	next         int
	fresh        int // gaps since the last evaluation
	delays       []time.Duration
	late         int // index of the next delay in the ring buffer
	right, wrong int // predictions
}

// Period returns the period of the stalls and their length, 0 if they are not periodic.
func (g *StallGroup) Period() (period, length time.Duration) {
	return time.Duration(g.period.Load()), time.Duration(g.length.Load())
}

// add records the delay of a reply, and the gaps between the stall that caused it and earlier ones
// of the same upstream.
func (g *StallGroup) add(delay time.Duration, gaps []time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.delays) < keptDelays {
		g.delays = append(g.delays, delay)
	} else {
		g.delays[g.late%keptDelays] = delay
	}
	g.late++
	for _, gap := range gaps {
		if len(g.gaps) < keptGaps {
			g.gaps = append(g.gaps, gap)
		} else {
			g.gaps[g.next%keptGaps] = gap
		}
		g.next++
		g.fresh++
	}
	if g.fresh >= newGaps && g.period.Load() == 0 {
		g.fresh = 0
		g.evaluate()
	}
}

// recordPrediction records whether a further stall of an upstream agreed with its earlier ones, or
// requests were not delayed when it was expected to stall. After many wrong predictions the period
// is forgotten.
func (g *StallGroup) recordPrediction(right bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if right {
		g.right++
		return
	}
	if g.wrong++; g.wrong >= maxWrong && g.wrong > g.right {
		g.period.Store(0)
		g.gaps, g.next, g.fresh, g.right, g.wrong = nil, 0, 0, 0, 0
	}
}

// evaluate derives the period and the length. The caller holds mu.
func (g *StallGroup) evaluate() {
	best, bestScore := time.Duration(0), gapSignificance
	for i := range min(candidateGaps, len(g.gaps)) {
		gap := g.gaps[(g.next-1-i+len(g.gaps))%len(g.gaps)]
		for k := time.Duration(1); k <= 4; k++ {
			if p := gap / k; p >= minStallPeriod && p <= maxStallPeriod {
				if refined, score := g.score(p); score > bestScore {
					best, bestScore = refined, score
				}
			}
		}
	}
	if best == 0 {
		return
	}
	best = g.fundamental(best)
	g.period.Store(int64(best))
	// Requests arrive at any time of a stall, so the longest delays are about its length. The
	// few longest ones have other causes.
	sorted := slices.Sorted(slices.Values(g.delays))
	length := sorted[len(sorted)*9/10] * 11 / 10
	g.length.Store(int64(min(length, time.Duration(maxStallShare*float64(best)))))
}

// fundamental returns the largest multiple of a period with which nearly as many gaps agree: a
// part of the true period fits all of its multiples too. The caller holds mu.
func (g *StallGroup) fundamental(p time.Duration) time.Duration {
	for m := time.Duration(maxStallMultiple); m > 1; m-- {
		hits, common := 0, 0
		for _, gap := range g.gaps {
			k := (gap + p/2) / p
			if k < 1 || k > maxStallMultiple || (gap-k*p).Abs() > stallTolerance {
				continue
			}
			hits++
			if k%m == 0 {
				common++
			}
		}
		if m*p <= maxStallPeriod && float64(common) >= fundamentalShare*float64(hits) {
			return m * p
		}
	}
	return p
}

// score returns how many standard deviations more gaps are multiples of a period than expected
// by chance, 0 if they are too few, and the period that fits them best. The caller holds mu.
func (g *StallGroup) score(p time.Duration) (refined time.Duration, score float64) {
	hits, n, sum, weights := 0, 0, 0.0, 0.0
	for _, gap := range g.gaps {
		k := (gap + p/2) / p
		if k > maxStallMultiple {
			continue
		}
		n++
		if off := (gap - k*p).Abs(); k >= 1 && off <= stallTolerance {
			hits++
			sum += float64(k) * float64(gap)
			weights += float64(k) * float64(k)
		}
	}
	if hits < minGapHits || float64(hits) < minGapShare*float64(n) {
		return 0, 0
	}
	chance := float64(n) * 2 * float64(stallTolerance) / float64(p)
	return time.Duration(sum / weights), (float64(hits) - chance) / math.Sqrt(chance+1)
}

// Stalls predicts the stalls of one upstream process. The zero value predicts none. It is not safe
// for concurrent use.
type Stalls struct {
	Group *StallGroup // nil if stalls are not learned

	ends    []time.Time // of the latest stalls, oldest first
	base    time.Time   // end of the stall from which others are predicted; zero if there is none
	matches int         // stalls that agree with base
	misses  int         // requests that were not delayed in a predicted stall
	share   float64     // moving average of the delayed replies
}

// Record records a complete reply. work is the time that the request was expected to take at the
// upstream, took the time that it took, replied when the reply arrived. Record returns how much of
// the delay fell into a predicted stall: that says nothing about the speed of the upstream.
func (s *Stalls) Record(work, took time.Duration, replied time.Time) (stalled time.Duration) {
	if s.Group == nil {
		return 0
	}
	if took > minStallFactor*work {
		stalled = min(s.overlap(took, replied), took-work)
	}
	delay := took - work
	delayed := 0.0
	if delay >= max(minStall, minStallFactor*work) {
		delayed = 1
	}
	s.share += shareWeight * (delayed - s.share)
	switch {
	case delayed == 0:
		s.checkMiss(took, replied)
	case s.share < slowShare:
		s.recordStall(delay, replied.Add(-work))
	}
	return stalled
}

// checkMiss counts a request that ran within a predicted stall without a delay.
func (s *Stalls) checkMiss(took time.Duration, replied time.Time) {
	period, length := s.Group.Period()
	if period == 0 || s.base.IsZero() {
		return
	}
	untilEnd := period - replied.Sub(s.base)%period
	if untilEnd < stallGuard || untilEnd+took+stallGuard > length {
		return
	}
	if s.misses++; s.misses > s.matches {
		s.Group.recordPrediction(false)
		s.ends, s.base, s.matches, s.misses = nil, time.Time{}, 0, 0
	}
}

// recordStall records a stall that delayed a reply and ended at a time.
func (s *Stalls) recordStall(delay time.Duration, end time.Time) {
	var gaps []time.Duration
	for i := len(s.ends) - 1; i >= 0; i-- {
		gap := end.Sub(s.ends[i])
		if gap < sameStall {
			s.Group.add(delay, nil)
			return
		}
		gaps = append(gaps, gap)
	}
	s.ends = append(s.ends, end)
	if len(s.ends) > keptEnds {
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	s.Group.add(delay, gaps)
	if s.chooseBase(); s.matches > 1 && s.base.Equal(end) {
		s.Group.recordPrediction(true)
	}
}

// chooseBase makes the latest of the stalls with which most others agree the base.
func (s *Stalls) chooseBase() {
	period, _ := s.Group.Period()
	if period == 0 {
		s.base = time.Time{}
		return
	}
	before := s.base
	s.matches = 0
	for i := len(s.ends) - 1; i >= 0; i-- {
		n := 0
		for _, other := range s.ends {
			off := other.Sub(s.ends[i]).Abs() % period
			if min(off, period-off) <= stallTolerance {
				n++
			}
		}
		if n > s.matches {
			s.base, s.matches = s.ends[i], n
		}
	}
	if s.base != before {
		s.misses = 0
	}
}

// Wait returns how long a request that is sent now waits, in addition to its work, because the
// upstream is expected to stall.
func (s *Stalls) Wait(work time.Duration, now time.Time) time.Duration {
	if s.Group == nil || len(s.ends) == 0 {
		return 0
	}
	period, length := s.Group.Period()
	if period == 0 {
		return 0
	}
	if s.base.IsZero() { // the period was learned after the latest stall
		s.chooseBase()
	}
	since := now.Sub(s.base)
	if since < 0 || since > stallMemory*period {
		return 0
	}
	since %= period
	if since < stallGuard {
		return stallGuard - since
	}
	if untilEnd := period - since; untilEnd <= length+work+stallGuard {
		return min(untilEnd, length) + stallGuard
	}
	return 0
}

// overlap returns how much of the time of a request fell into a predicted stall.
func (s *Stalls) overlap(took time.Duration, replied time.Time) time.Duration {
	if s.base.IsZero() {
		return 0
	}
	period, length := s.Group.Period()
	since := replied.Sub(s.base)
	if period == 0 || since < -stallTolerance || since > stallMemory*period {
		return 0
	}
	// The latest predicted end before the reply, and the stall before it.
	end := (since + stallTolerance) % period
	return max(0, min(took-end, length))
}
