package trgateway

import (
	"slices"
	"sync"
	"time"

	"tanagerrock/core/trdirectory"
)

const (
	// responseMargin is how long before the caller's deadline or the objective a
	// response is sent. It covers 3 ms of network delay and the time that an
	// instance with a fifth of a core takes to accept a request and to write a
	// response of 90 parts.
	responseMargin = 20 * time.Millisecond
	// lateFactor is the multiple of the median latency from which a reply is
	// late. Service times vary by a third, so 3 in 100 replies are late normally,
	// not counting those delayed by a pause. Hedging more of them gains nothing
	// while there is time until the objective, and costs connections to further
	// upstreams.
	lateFactor = 2
	// medianWindow is the number of latest replies of a route whose median is
	// used. The replies of a query arrive sorted by latency, so the window must
	// hold several queries of 20 to 135 shards.
	medianWindow = 512
	// medianInterval is the number of replies between updates of the median.
	medianInterval = 16
	// minLateAfter keeps scheduling delays from causing hedges.
	minLateAfter = 6 * time.Millisecond
	// latestHedgeShare is the latest time of a hedge, as a share of the
	// objective. The rest is needed for the reply to the hedge.
	latestHedgeShare = 0.5
	// A hedge needs hedgeMedianFactor medians, as its upstream may be busy, and
	// hedgeNetworkTime for a dial and a round trip to another zone.
	hedgeMedianFactor = 3
	hedgeNetworkTime  = 2 * crossZoneRoundTrip
	// defaultTimeout applies if neither the caller nor the route states a
	// timeout, and limits the timeouts that they state.
	defaultTimeout = 30 * time.Second
	// minMedian keeps ratios to the median finite.
	minMedian = 100 * time.Microsecond
	// initialMedianShare is the initial median as a share of the objective.
	initialMedianShare = 0.15
)

// LatencyTracker tracks the latencies of replies by route and derives from them
// when a reply is late.
type LatencyTracker struct {
	mu     sync.Mutex
	routes map[string]*routeLatency
}

// routeLatency holds the latest latencies of a route.
type routeLatency struct {
	median  time.Duration
	samples []time.Duration // ring buffer once it has medianWindow entries
	next    int             // index of the next entry in the ring buffer
	sorted  []time.Duration // sorted copy of samples
}

// Thresholds returns the median latency of a route and the latency from which a
// reply is late, both without the round trip to the upstream.
func (t *LatencyTracker) Thresholds(route *trdirectory.Route) (median, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.forRoute(route)
	late = lateFactor * r.median
	if o := route.Objective(); o > 0 {
		late = min(late, time.Duration(latestHedgeShare*float64(o)))
	}
	return r.median, max(late, minLateAfter)
}

// Record adds the latency of a reply.
func (t *LatencyTracker) Record(route *trdirectory.Route, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forRoute(route).add(took)
}

func (t *LatencyTracker) forRoute(route *trdirectory.Route) *routeLatency {
	if t.routes == nil {
		t.routes = make(map[string]*routeLatency)
	}
	r := t.routes[route.Name]
	if r == nil {
		first := time.Duration(initialMedianShare * float64(route.Objective()))
		r = &routeLatency{median: max(first, time.Millisecond)}
		t.routes[route.Name] = r
	}
	return r
}

// add adds a latency and updates the median every medianInterval replies.
func (r *routeLatency) add(took time.Duration) {
	if len(r.samples) < medianWindow {
		r.samples = append(r.samples, took)
	} else {
		r.samples[r.next] = took
	}
	r.next = (r.next + 1) % medianWindow
	if r.next%medianInterval != 0 {
		return
	}
	r.sorted = append(r.sorted[:0], r.samples...)
	slices.Sort(r.sorted)
	r.median = max(r.sorted[len(r.sorted)/2], minMedian)
}

// deadlines are the deadlines of one query.
type deadlines struct {
	target time.Time // when to respond if enough parts have a reply; zero if there is no objective
	final  time.Time // when to respond in any case
	expiry time.Time // end of the caller's or the route's timeout
}

func newDeadlines(req *Request, route *trdirectory.Route) deadlines {
	limit := defaultTimeout
	if req.Timeout > 0 {
		limit = min(limit, req.Timeout)
	}
	if t := route.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	d := deadlines{expiry: req.Began.Add(limit), final: req.Began.Add(limit - responseMargin)}
	if o := route.Objective(); o > 0 && o <= limit {
		d.target = req.Began.Add(o - responseMargin)
	}
	return d
}
