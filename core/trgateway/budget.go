package trgateway

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets in a window. One more is kept, so
	// that the counted window is never shorter than the configured one.
	budgetBuckets = 10
	// usedSlack is the fraction of its share of the slack that an instance uses.
	// The rest covers instances that restart within a window, which do not
	// know the repeats they have sent, and instances that are not known yet.
	usedSlack = 0.5
	// usedRepeatShare is the fraction of RepeatShare that is used. The rest is a
	// margin for repeats that reach upstreams later than they were permitted, in a
	// window with fewer requests.
	usedRepeatShare = 0.85
)

// Budget limits the repeats of each service over a sliding window, so that the
// sum over all instances stays within Bounds. An instance may repeat RepeatShare
// of the requests that it received itself, plus an equal share of the slack.
type Budget struct {
	Bounds Bounds

	mu       sync.Mutex
	epoch    time.Time // start of the first bucket, on the monotonic clock
	services map[string]*budgetWindow
}

// budgetWindow counts the requests and repeats of one service in buckets of time.
type budgetWindow struct {
	buckets [budgetBuckets + 1]budgetBucket
}

type budgetBucket struct {
	number            int64 // bucket number since the epoch, from 1
	requests, repeats int
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).requests++
}

// Spend counts a repeat if the budget permits one and reports whether it does. The
// instances of the fleet share the slack.
func (b *Budget) Spend(service string, fleet Fleet, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(service, now)
	if !b.permits(service, current.number, fleet) {
		return false
	}
	current.repeats++
	return true
}

// permits reports whether the budget permits a repeat in the bucket with the given
// number. The caller holds mu.
func (b *Budget) permits(service string, number int64, fleet Fleet) bool {
	requests, repeats := 0, 0
	for _, s := range b.services[service].buckets {
		if s.number > 0 && number-s.number <= budgetBuckets {
			requests += s.requests
			repeats += s.repeats
		}
	}
	permitted := usedRepeatShare*b.Bounds.RepeatShare*float64(requests) +
		math.Floor(usedSlack*b.Bounds.RepeatSlack*(1-fleet.Unknown)/float64(max(1, fleet.Size)))
	return float64(repeats+1) <= permitted
}

// Exhausted returns the number of services for which no repeat is permitted now.
func (b *Budget) Exhausted(fleet Fleet, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for service := range b.services {
		if !b.permits(service, b.bucket(service, now).number, fleet) {
			n++
		}
	}
	return n
}

// bucket returns the bucket of the current time.
func (b *Budget) bucket(service string, now time.Time) *budgetBucket {
	if b.services == nil {
		b.services = make(map[string]*budgetWindow)
	}
	w := b.services[service]
	if w == nil {
		w = new(budgetWindow)
		b.services[service] = w
	}
	if b.epoch.IsZero() {
		b.epoch = now
	}
	length := max(b.Bounds.RepeatWindow/budgetBuckets, time.Millisecond)
	number := 1 + int64(now.Sub(b.epoch)/length)
	s := &w.buckets[number%int64(len(w.buckets))]
	if s.number != number {
		*s = budgetBucket{number: number}
	}
	return s
}
