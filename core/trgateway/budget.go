package trgateway

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetSlices is the number of counters a window is divided into. One more
	// is kept, so that the window counted is never shorter than the real one.
	budgetSlices = 10
	// slackShare is the part of an instance's share of the slack that it uses.
	// The rest covers instances that start anew within a window, which know
	// nothing of the repeats they have sent, and instances not yet known.
	slackShare = 0.5
	// ratioShare is the part of RepeatShare that is used. The rest covers
	// repeats that arrive in a window with fewer requests than when they were
	// permitted.
	ratioShare = 0.85
)

// Budget bounds the repeats of each service over a sliding window, so that the
// sum over all instances stays within Bounds. An instance may repeat its share
// of the requests it received itself, and an equal part of the slack.
type Budget struct {
	Bounds Bounds

	mu       sync.Mutex
	epoch    time.Time // start of the first slice, on the monotonic clock
	services map[string]*budgetWindow
}

// budgetWindow counts the requests and repeats of one service by slices of time.
type budgetWindow struct {
	slices [budgetSlices + 1]budgetSlice
}

type budgetSlice struct {
	number            int64 // of the slice since the epoch, from 1
	requests, repeats int
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(service, now).requests++
}

// Spend counts a repeat if the budget permits one and reports whether it does.
// instances is the number of instances that share the slack.
func (b *Budget) Spend(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slice(service, now)
	requests, repeats := 0, 0
	for _, s := range b.services[service].slices {
		if s.number > 0 && current.number-s.number <= budgetSlices {
			requests += s.requests
			repeats += s.repeats
		}
	}
	permitted := ratioShare*b.Bounds.RepeatShare*float64(requests) +
		math.Floor(slackShare*b.Bounds.RepeatSlack/float64(max(1, instances)))
	if float64(repeats+1) > permitted {
		return false
	}
	current.repeats++
	return true
}

// slice returns the counters of the present time.
func (b *Budget) slice(service string, now time.Time) *budgetSlice {
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
	length := max(b.Bounds.RepeatWindow/budgetSlices, time.Millisecond)
	number := 1 + int64(now.Sub(b.epoch)/length)
	s := &w.slices[number%int64(len(w.slices))]
	if s.number != number {
		*s = budgetSlice{number: number}
	}
	return s
}
