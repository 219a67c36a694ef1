// Package trjournal records the events of a stand-in in memory.
//
// A Journal is a ring buffer. It holds the newest events and counts the older ones
// that it has dropped. Tests read the events as typed values or, over HTTP, as JSON
// lines.
//
// # Usage
//
//	j := trjournal.New[Event](10_000)
//	j.Append(Event{TimeNs: clock.UnixNano(), Type: Started})
//	for _, e := range j.Events() { ... }
package trjournal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagerrock/core/trclock"
)

// DefaultSize is the number of events that a journal holds by default.
const DefaultSize = 100_000

// HeaderDropped is the HTTP response header with the number of dropped events.
const HeaderDropped = "JournalDropped"

// Journal is a ring buffer of events. It is safe for concurrent use.
type Journal[E any] struct {
	mu      sync.Mutex
	size    int
	ring    []E
	oldest  int // index of the oldest event once the ring is full
	dropped uint64
}

// New returns a journal that holds at most size events, or DefaultSize events if
// size is not positive.
func New[E any](size int) *Journal[E] {
	if size <= 0 {
		size = DefaultSize
	}
	return &Journal[E]{size: size}
}

// Append records e. If the journal is full, it drops the oldest event.
func (j *Journal[E]) Append(e E) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.ring) < j.size {
		j.ring = append(j.ring, e)
		return
	}
	j.ring[j.oldest] = e
	j.oldest = (j.oldest + 1) % j.size
	j.dropped++
}

// Events returns a copy of the events in the order in which they were recorded.
func (j *Journal[E]) Events() []E {
	j.mu.Lock()
	defer j.mu.Unlock()
	events := make([]E, 0, len(j.ring))
	events = append(events, j.ring[j.oldest:]...)
	return append(events, j.ring[:j.oldest]...)
}

// Dropped returns the number of events dropped so far.
func (j *Journal[E]) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.dropped
}

// ServeHTTP writes the events as JSON lines.
func (j *Journal[E]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(HeaderDropped, strconv.FormatUint(j.Dropped(), 10))
	enc := json.NewEncoder(w)
	for _, e := range j.Events() {
		if enc.Encode(e) != nil {
			return
		}
	}
}

// EventClock provides the timestamps of events. They never decrease within a process
// and are close enough to Unix time to merge the journals of several processes on one
// machine.
type EventClock struct {
	clock trclock.Clock
	start time.Time
}

// NewEventClock returns an EventClock based on clock.
func NewEventClock(clock trclock.Clock) *EventClock {
	return &EventClock{clock: clock, start: clock.Now()}
}

// UnixNano returns the Unix time in nanoseconds at which c was created plus the
// monotonic time since then.
func (c *EventClock) UnixNano() int64 {
	return c.start.UnixNano() + c.clock.Now().Sub(c.start).Nanoseconds()
}
