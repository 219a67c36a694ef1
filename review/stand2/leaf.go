package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leafSettings are the properties of a leaf.
type leafSettings struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	bytes             int           // of a reply
	idle              time.Duration // after which it closes an idle connection, in whole seconds; 0 for never
	// spoil, if set, may answer a request in place of the leaf. It reports whether it did.
	spoil func(l *leaf, w http.ResponseWriter, r *http.Request) bool
}

// leaf is a stand-in of a leaf.
type leaf struct {
	leafSettings
	world *world
	addr  string
	slot  chan struct{}

	mu      sync.Mutex
	waiting int
}

// startLeaf starts a leaf and registers it.
func (w *world) startLeaf(s leafSettings) (*leaf, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{leafSettings: s, world: w, addr: ln.Addr().String(), slot: make(chan struct{}, s.slots)}
	server := &http.Server{Handler: l, IdleTimeout: s.idle}
	w.onClose(func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	_, err = w.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "addr": l.addr, "zone": s.zone, "version": "1", "concurrency": s.slots, "state": "ready",
		"warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return l, err
}

// run is a request that a leaf began to work on.
type run struct {
	at                time.Time
	id, service, leaf string
	tenant            string
}

// enter takes a slot, or a place in the queue until one is free. It reports false if the queue
// is full or the caller leaves.
func (l *leaf) enter(r *http.Request) bool {
	select {
	case l.slot <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	full := l.waiting >= l.queue
	if !full {
		l.waiting++
	}
	l.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	select {
	case l.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	notRun := func(status int) {
		h.Set("Not-Run", "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != l.id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has left
	}
	if !l.enter(r) {
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slot }()
	l.world.recordRun(run{time.Now(), id, l.service, l.id, r.Header.Get("Tenant")})
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Timeout-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	if l.spoil != nil && l.spoil(l, w, r) {
		return
	}
	select {
	case <-time.After(min(l.work, left)):
	case <-r.Context().Done():
		return
	}
	if l.idle > 0 {
		h.Set("Keep-Alive", fmt.Sprintf("timeout=%.0f", l.idle.Seconds()))
	}
	h.Set("Server-Stamp", stamp(l.id, id))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(l.slot), l.slots))
	if left < l.work {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = w.Write(l.answer(id)) // an error means that the caller has left
}

// stamp returns the signature of a leaf for a request.
func stamp(leaf, request string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s", leaf, request)
	return fmt.Sprintf("%s.%016x", leaf, h.Sum64())
}

// answer returns the body of a reply, which depends on the request and the leaf's service.
func (l *leaf) answer(id string) []byte {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s", l.service, id)
	seed := h.Sum64()
	out := make([]byte, 0, l.bytes+16)
	for len(out) < l.bytes {
		seed = seed*6364136223846793005 + 1442695040888963407
		out = fmt.Appendf(out, "%016x", seed)
	}
	return out
}
