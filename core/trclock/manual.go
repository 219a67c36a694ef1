package trclock

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a clock whose time changes only by calls of Advance. The zero value is
// ready to use and starts at the Unix epoch.
type Manual struct {
	mu     sync.Mutex
	offset time.Duration // current time since the Unix epoch
	events eventHeap
	seq    uint64 // of the last event
}

// NewManual returns a clock whose current time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{offset: start.Sub(time.Unix(0, 0))}
}

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now()
}

func (m *Manual) now() time.Time { return time.Unix(0, 0).Add(m.offset) }

// Every calls f once per period until the returned function is called. It panics if
// period is not positive.
func (m *Manual) Every(period time.Duration, f func(now time.Time)) func() {
	if period <= 0 {
		panic("trclock: period must be positive")
	}
	return m.schedule(period, period, f)
}

// After calls f once when delay has passed. With a delay of zero or less, f runs in
// the next call of Advance.
func (m *Manual) After(delay time.Duration, f func(now time.Time)) func() {
	return m.schedule(max(delay, 0), 0, f)
}

func (m *Manual) schedule(delay, period time.Duration, f func(time.Time)) func() {
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

// Advance moves the clock forward by d and runs the callbacks that become due, in
// order of due time and then of scheduling. While a callback runs, the clock is at
// the due time of that callback.
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

// event is a scheduled callback.
type event struct {
	due     time.Duration // since the Unix epoch
	period  time.Duration // 0 for a single call
	f       func(time.Time)
	seq     uint64 // orders events of equal due time
	stopped bool
}

// eventHeap implements heap.Interface, the next due event first.
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
