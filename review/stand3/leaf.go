package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// leaf is a sound server: it checks Target-Instance, runs each request and signs its answers.
type leaf struct {
	id, service, zone, addr string
	world                   *world
	work                    time.Duration
}

// arrival is a request that a leaf ran.
type arrival struct {
	at       time.Time
	id, leaf string
	tenant   string
}

// newLeaf starts a leaf that serves until the process ends.
func newLeaf(w *world, id, service, zone string) *leaf {
	l, err := net.Listen("tcp", host+":0")
	check(err)
	f := &leaf{id: id, service: service, zone: zone, addr: l.Addr().String(), world: w, work: 2 * time.Millisecond}
	go func() { check(http.Serve(l, f)) }()
	return f
}

// register writes the leaf's entry.
func (f *leaf) register() { f.registerCold(time.Now(), 0) }

// registerCold writes the entry of a leaf that was born at a time and is cold for some time.
func (f *leaf) registerCold(born time.Time, left time.Duration) {
	f.world.store.put("servers/"+f.id, map[string]any{
		"service": f.service, "addr": f.addr, "zone": f.zone, "version": "v1", "concurrency": 8, "state": "ready",
		"warmup_left_ms": left.Milliseconds(), "seq": 1, "born": born.UnixMilli(),
	})
}

func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	w.Header().Set("Instance-Id", f.id)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Target-Instance"); want != "" && want != f.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a := arrival{at: at, id: r.Header.Get("Request-Id"), leaf: f.id, tenant: r.Header.Get("Tenant")}
	f.world.arrived(a)
	time.Sleep(f.work)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", f.id, a.id))
	w.Header().Set("Server-Load", "1,0,8")
	_, _ = io.WriteString(w, "record of "+a.id)
}
