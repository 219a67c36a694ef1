package trgateway

import (
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
	// quantileStep is the relative step of a quantile estimate per sample.
	quantileStep = 0.05
	// leastLate keeps hedges from being sent for scheduling delays.
	leastLate = 6 * time.Millisecond
	// latestHedge is the latest time to hedge, as a share of the objective: the
	// hedge needs the rest for its own reply.
	latestHedge = 0.5
	// unstatedTimeout bounds requests of callers and routes without a timeout.
	unstatedTimeout = 30 * time.Second
	// initialShare of the objective is the first estimate of a reply's time.
	initialShare = 0.15
)

// Patience learns how long replies take, by route, and tells from it when a
// reply is late.
type Patience struct {
	mu     sync.Mutex
	routes map[string]*replyTimes
}

// replyTimes are estimates of quantiles of the time that upstreams take.
type replyTimes struct {
	median time.Duration
}

// Times returns the median time of a reply on a route and the time after which
// a reply is late, both without the way to the upstream.
func (p *Patience) Times(route *trdirectory.Route) (median, late time.Duration) {
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
func (p *Patience) Record(route *trdirectory.Route, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.of(route)
	t.median = step(t.median, took, 0.5)
}

func (p *Patience) of(route *trdirectory.Route) *replyTimes {
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

// step moves an estimate of a quantile by one sample.
func step(estimate, sample time.Duration, quantile float64) time.Duration {
	factor := 1 - quantileStep*(1-quantile)
	if sample > estimate {
		factor = 1 + quantileStep*quantile
	}
	return max(time.Duration(float64(estimate)*factor), 100*time.Microsecond)
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
