package trgateway

import (
	"sync"
	"time"
)

const (
	// crossZoneRoundTrip is the round-trip time to another availability zone until a faster
	// reply has come from there, and the cost of leaving the zone in the ranking of upstreams.
	// It is 2.8 to 10.8 ms at the sites where the gateway is deployed.
	crossZoneRoundTrip = 9 * time.Millisecond
	// roundTripWindow is the time after which the fastest reply is determined anew.
	roundTripWindow = 30 * time.Second
)

// roundTrips bounds the round-trip times to availability zones by the fastest replies from there:
// no reply is faster than the network. The load are zones that are closer than assumed, so that
// late replies from there are noticed too late for a short objective. The zero value is ready to
// use and safe for concurrent use.
type roundTrips struct {
	mu    sync.Mutex
	zones map[string]*fastestReply
}

// fastestReply holds the times of the fastest replies of the present and the previous window.
type fastestReply struct {
	present, previous time.Duration
	began             time.Time // of the present window
}

// record records a reply that came a time after the request was sent.
func (r *roundTrips) record(zone string, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.zones[zone]
	if f == nil {
		if r.zones == nil {
			r.zones = make(map[string]*fastestReply)
		}
		f = &fastestReply{present: crossZoneRoundTrip, previous: crossZoneRoundTrip, began: now}
		r.zones[zone] = f
	}
	if now.Sub(f.began) >= roundTripWindow {
		f.previous, f.present, f.began = f.present, crossZoneRoundTrip, now
	}
	f.present = min(f.present, max(took, 0))
}

// to returns the round-trip time to a zone.
func (r *roundTrips) to(zone string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.zones[zone]; f != nil {
		return min(f.present, f.previous)
	}
	return crossZoneRoundTrip
}
