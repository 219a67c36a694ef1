package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	LeaseID uint64 `json:"lease_id"`
}

// store is the part of the platform's metadata store that gateways read.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key with a JSON value and returns the size of the value.
func (s *store) put(key string, value any) (int, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: data, Rev: s.rev, Created: created}
	s.events = append(s.events, s.items[key])
	close(s.changed)
	s.changed = make(chan struct{})
	return len(data), nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, it)
	case "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is the largest number of items on a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		AtRev   uint64 `json:"at_rev"`
	}{Items: []item{}, AtRev: s.rev}
	for _, key := range sorted(s.items) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	expired := time.After(wait)
	for {
		s.mu.Lock()
		answer := struct {
			Events []item `json:"events"`
			AtRev  uint64 `json:"at_rev"`
		}{Events: []item{}, AtRev: s.rev}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				answer.Events = append(answer.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			reply(w, answer)
			return
		}
		select {
		case <-changed:
		case <-expired:
			reply(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(value)
}
