package trgateway

import (
	"slices"
	"sync"
	"time"

	"tanagerrock/core/trdirectory"
)

const (
	// callerMargin is kept between an answer and the time at which the caller
	// needs it: 3 ms on the way there, and the work of an instance with a fifth
	// of a core to accept a request and to write an answer of 90 parts.
	callerMargin = 20 * time.Millisecond
	// lateFactor is the number of median times after which a reply is late. Work
	// spreads by a third, so that 3 in 100 replies take longer on an ordinary day,
	// beside those that meet a pause. Hedging more of them gains nothing while the
	// objective is far, and costs connections to further upstreams.
	lateFactor = 2
	// medianWindow is the number of latest replies of a route whose median is taken.
	// A query brings the replies of its shards in the order of their times, so the
	// window holds several queries of 20 to 135 shards.
	medianWindow = 512
	// medianEvery is the number of replies after which the median is taken anew.
	medianEvery = 16
	// leastLate keeps hedges from being sent for scheduling delays.
	leastLate = 6 * time.Millisecond
	// latestHedge is the latest time to hedge, as a share of the objective: the
	// hedge needs the rest for its own reply.
	latestHedge = 0.5
	// hedgeMedians and hedgeWay are the time that a hedge needs: some medians, as its
	// upstream may be busy, and the dial and the way to another zone and back.
	hedgeMedians = 3
	hedgeWay     = 2 * crossZoneRoundTrip
	// unstatedTimeout bounds requests of callers and routes without a timeout.
	unstatedTimeout = 30 * time.Second
	// leastMedian keeps ratios to the median finite.
	leastMedian = 100 * time.Microsecond
	// initialShare of the objective is the first estimate of a reply's time.
	initialShare = 0.15
)

// LatencyTracker learns how long replies take, by route, and tells from it when a
// reply is late.
type LatencyTracker struct {
	mu     sync.Mutex
	routes map[string]*replyTimes
}

// replyTimes are the times of the latest replies of a route.
type replyTimes struct {
	median  time.Duration
	latest  []time.Duration // a ring once it has medianWindow entries
	next    int             // place of the next one in the ring
	ordered []time.Duration // copy of latest that is sorted
}

// Thresholds returns the median time of a reply on a route and the time after which
// a reply is late, both without the way to the upstream.
func (p *LatencyTracker) Thresholds(route *trdirectory.Route) (median, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(route)
	late = lateFactor * t.median
	if o := route.Objective(); o > 0 {
		late = min(late, time.Duration(latestHedge*float64(o)))
	}
	return t.median, max(late, leastLate)
}

// Record adds the time that a reply took.
func (p *LatencyTracker) Record(route *trdirectory.Route, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(route).add(took)
}

func (p *LatencyTracker) of(route *trdirectory.Route) *replyTimes {
	if p.routes == nil {
		p.routes = make(map[string]*replyTimes)
	}
	t := p.routes[route.Name]
	if t == nil {
		first := time.Duration(initialShare * float64(route.Objective()))
		t = &replyTimes{median: max(first, time.Millisecond)}
		p.routes[route.Name] = t
	}
	return t
}

// add adds one time and takes the median anew once in a while.
func (t *replyTimes) add(took time.Duration) {
	if len(t.latest) < medianWindow {
		t.latest = append(t.latest, took)
	} else {
		t.latest[t.next] = took
	}
	t.next = (t.next + 1) % medianWindow
	if t.next%medianEvery != 0 {
		return
	}
	t.ordered = append(t.ordered[:0], t.latest...)
	slices.Sort(t.ordered)
	t.median = max(t.ordered[len(t.ordered)/2], leastMedian)
}

// times are the limits of one query.
type times struct {
	aim      time.Time // answer with what is there if it suffices; zero if there is no objective
	deadline time.Time // answer in any case
	left     time.Time // the end of the caller's and the route's patience
}

func timesOf(req *Request, route *trdirectory.Route) times {
	limit := unstatedTimeout
	if req.Timeout > 0 {
		limit = min(limit, req.Timeout)
	}
	if t := route.Timeout(); t > 0 {
		limit = min(limit, t)
	}
	t := times{left: req.Began.Add(limit), deadline: req.Began.Add(limit - callerMargin)}
	if o := route.Objective(); o > 0 && o <= limit {
		t.aim = req.Began.Add(o - callerMargin)
	}
	return t
}
