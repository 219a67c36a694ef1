package trclock

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a clock that stands still until Advance moves it. The zero value
// is ready to use and starts at the Unix epoch.
type Manual struct {
	mu     sync.Mutex
	offset time.Duration
	events eventHeap
	seq    uint64
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{offset: start.Sub(time.Unix(0, 0))}
}

// Now returns the time the clock stands at.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now()
}

func (m *Manual) now() time.Time { return time.Unix(0, 0).Add(m.offset) }

// Every subscribes f to a call per period.
func (m *Manual) Every(period time.Duration, f func(now time.Time)) func() {
	if period <= 0 {
		panic("trclock: period must be positive")
	}
	return m.subscribe(period, period, f)
}

// After subscribes f to one call after delay. A delay of zero or less is due at
// the next Advance.
func (m *Manual) After(delay time.Duration, f func(now time.Time)) func() {
	return m.subscribe(max(delay, 0), 0, f)
}

func (m *Manual) subscribe(delay, period time.Duration, f func(time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	e := &event{due: m.offset + delay, period: period, f: f, seq: m.seq}
	heap.Push(&m.events, e)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.stopped = true
	}
}

// Advance moves the clock forward by d and runs every event that falls due, in
// order of due time and then of subscription. Events see the clock at their
// own due time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	target := m.offset + d
	for len(m.events) > 0 && m.events[0].due <= target {
		e := heap.Pop(&m.events).(*event)
		if e.stopped {
			continue
		}
		m.offset = max(m.offset, e.due)
		now := m.now()
		if e.period > 0 {
			e.due += e.period
			heap.Push(&m.events, e)
		}
		m.mu.Unlock()
		e.f(now)
		m.mu.Lock()
	}
	m.offset = target
	m.mu.Unlock()
}

type event struct {
	due     time.Duration
	period  time.Duration
	f       func(time.Time)
	seq     uint64
	stopped bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
