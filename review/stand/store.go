package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change to one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	LeaseID uint64 `json:"lease_id"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store plays the platform's store. It serves the calls that a gateway makes: ranges and
// watches. All reads are current.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{} // closed and replaced with each change
}

func newStore(addr string) (*store, error) {
	s := &store{addr: addr, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put stores a value, which must be encodable, as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.apply(item{Key: key, Deleted: true}) }

func (s *store) apply(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[it.Key]
	if it.Deleted && !known {
		return
	}
	s.rev++
	it.Rev, it.Created = s.rev, s.rev
	if known {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	if it.Deleted {
		delete(s.items, it.Key)
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	reply(w, map[string]any{"items": list, "has_more": false, "at_rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.events {
			if it.Rev > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			reply(w, map[string]any{"events": events, "at_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}
