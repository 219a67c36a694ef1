// Package trjournal keeps the events that a stand-in records.
//
// A Journal is a ring in memory. It holds the newest events and counts those it
// had to drop. Tests read the events as typed values or, over HTTP, as JSON
// lines.
//
// # Usage
//
//	j := trjournal.New[Event](10_000)
//	j.Append(Event{TimeNs: timer.Ns(), Type: Started})
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

// DefaultSize is the number of events a journal holds if none is configured.
const DefaultSize = 100_000

// HeaderDropped is the HTTP header with the number of dropped events.
const HeaderDropped = "JournalDropped"

// Journal is a bounded list of events. It is safe for concurrent use.
type Journal[E any] struct {
	mu      sync.Mutex
	size    int
	ring    []E
	next    int // index of the oldest event once the ring is full
	dropped uint64
}

// New returns a journal of at most size events; DefaultSize if size is not
// positive.
func New[E any](size int) *Journal[E] {
	if size <= 0 {
		size = DefaultSize
	}
	return &Journal[E]{size: size}
}

// Append records e and drops the oldest event if the journal is full.
func (j *Journal[E]) Append(e E) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.ring) < j.size {
		j.ring = append(j.ring, e)
		return
	}
	j.ring[j.next] = e
	j.next = (j.next + 1) % j.size
	j.dropped++
}

// Events returns a copy of the events in the order of their recording.
func (j *Journal[E]) Events() []E {
	j.mu.Lock()
	defer j.mu.Unlock()
	events := make([]E, 0, len(j.ring))
	events = append(events, j.ring[j.next:]...)
	return append(events, j.ring[:j.next]...)
}

// Dropped returns the number of events that no longer fit.
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

// Timer gives event times in nanoseconds. They never go backwards within a
// process, and they are near enough to the Unix epoch to merge the journals of
// several processes of one machine.
type Timer struct {
	clock trclock.Clock
	start time.Time
}

// NewTimer returns a timer on clock.
func NewTimer(clock trclock.Clock) *Timer {
	return &Timer{clock: clock, start: clock.Now()}
}

// Ns returns the time of the start plus the monotonic time since then.
func (t *Timer) Ns() int64 {
	return t.start.UnixNano() + t.clock.Now().Sub(t.start).Nanoseconds()
}
