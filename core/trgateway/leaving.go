package trgateway

import (
	"sync"
	"time"

	"tanagerrock/core/trdirectory"
)

// leavingRetention is how long the mark of a leaving upstream outlives its
// registration. A registration may lapse and return while the same process is still
// shutting down.
const leavingRetention = 10 * time.Minute

// LeavingSet holds the upstream processes that have announced that they are leaving.
// They get no new requests, even if the directory still lists them as ready. Only a
// new process, which has another key, takes requests again: a reply without the
// announcement may have been sent before it. The zero value is empty. Its methods are
// safe for concurrent use.
type LeavingSet struct {
	mu sync.RWMutex
	// lastKnown is when a process was last known to be registered.
	lastKnown map[trdirectory.UpstreamKey]time.Time
}

// Add adds an upstream and reports whether it was missing.
func (s *LeavingSet) Add(key trdirectory.UpstreamKey, now time.Time) bool {
	if s.Contains(key) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastKnown == nil {
		s.lastKnown = make(map[trdirectory.UpstreamKey]time.Time)
	}
	_, present := s.lastKnown[key]
	s.lastKnown[key] = now
	return !present
}

// Contains reports whether an upstream is leaving.
func (s *LeavingSet) Contains(key trdirectory.UpstreamKey) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, present := s.lastKnown[key]
	return present
}

// Len returns the number of upstreams in the set.
func (s *LeavingSet) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.lastKnown)
}

// Prune removes upstreams that known has not reported as registered for
// leavingRetention. Without a start time in its key, a new process cannot be told
// from its predecessor, so such an upstream is removed as soon as it is not registered.
func (s *LeavingSet) Prune(known func(trdirectory.UpstreamKey) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, last := range s.lastKnown {
		switch {
		case known(key):
			s.lastKnown[key] = now
		case key.BornMs == 0 || now.Sub(last) >= leavingRetention:
			delete(s.lastKnown, key)
		}
	}
}
