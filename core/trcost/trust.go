package trcost

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstTrustAge is the upper end of the first age of a Trust. Each further one is twice as
	// long; figures older than the last one, 1.92 s, are not used.
	firstTrustAge = 15 * time.Millisecond
	trustAges     = 8
	// trustPrior is the weight of the initial trust, as a sum of squares of the figure. A
	// figure that varies by 0.4 outweighs it after 50 replies.
	trustPrior = 8.0
	// trustWindow is the number of replies over which the trust in one age is learned: an
	// instance gets some thousand replies per second in all.
	trustWindow = 2000
	// trustSignificance is the number of standard errors by which an initially untrusted
	// figure must be better than chance, so that noise is not used.
	trustSignificance = 3.0
)

// Trust learns how much of a reported figure is found again in requests that are sent when the
// figure has a certain age. The load are figures that change many times per second, are out of
// date when they arrive, or are noise: for noise the trust goes to 0. It is the slope of the
// regression of what was found on what was reported. The zero value is ready to use and safe for
// concurrent use.
type Trust struct {
	slopes [trustAges]atomic.Uint64 // bits of the slope plus 1; 0 if unknown

	mu   sync.Mutex
	sums [trustAges]trustSums
}

// trustSums are discounted sums over replies.
type trustSums struct {
	n, x, y, xx, xy, yy float64
}

// trustAge returns the index of an age, trustAges if it is too old.
func trustAge(age time.Duration) int {
	i := 0
	for limit := firstTrustAge; age > limit && i < trustAges; limit *= 2 {
		i++
	}
	return i
}

// At returns the trust, from 0 to 1, in a figure of the given age. initial is the trust before
// anything has been learned.
func (t *Trust) At(age time.Duration, initial float64) float64 {
	i := trustAge(age)
	if i == trustAges {
		return 0
	}
	if v := t.slopes[i].Load(); v != 0 {
		return math.Float64frombits(v) - 1
	}
	return initial
}

// Record adds a reply: what was found of a figure that had the given age when the request was
// sent. initial must be the same for all calls with the same age.
func (t *Trust) Record(age time.Duration, reported, found, initial float64) {
	i := trustAge(age)
	if i == trustAges {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.sums[i]
	const keep = 1 - 1.0/trustWindow
	s.n = s.n*keep + 1
	s.x = s.x*keep + reported
	s.y = s.y*keep + found
	s.xx = s.xx*keep + reported*reported
	s.xy = s.xy*keep + reported*found
	s.yy = s.yy*keep + found*found
	t.slopes[i].Store(math.Float64bits(s.slope(initial) + 1))
}

// slope returns the trust that the sums support, against the initial one.
func (s *trustSums) slope(initial float64) float64 {
	xx, xy, yy := s.xx-s.x*s.x/s.n, s.xy-s.x*s.y/s.n, s.yy-s.y*s.y/s.n
	if initial == 0 {
		xy -= trustSignificance * math.Sqrt(max(0, xx*yy)/s.n)
	}
	return min(max(0, (xy+trustPrior*initial)/(xx+trustPrior)), 1)
}
