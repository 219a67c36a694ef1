package trgateway

import (
	"slices"
	"sync"
	"time"

	"tanagerrock/core/trdirectory"
)

const (
	// yieldWindow is the time for which a service counts as short for a rank after one of its
	// upstreams did not run a request of that rank. Of six instances, each sees a sixth of these.
	yieldWindow = 500 * time.Millisecond
	// yieldShare is the share of the objective of a route after which its parts are repeated at
	// such a service. At 1, less urgent queries lost 0.06 already at a load of 0.8.
	yieldShare = 0.5
	// defaultYield is that time without an objective.
	defaultYield = 100 * time.Millisecond
)

// shedLog records which ranks the upstreams of each service did not serve lately.
//
// The load is more requests than the upstreams of a service run. They serve in order of arrival
// and do not run what is beyond their queues. Less urgent requests that are repeated at once
// take the room of urgent ones, and each repeat uses time of the upstreams and of this instance.
//
// The zero value is ready to use. Memory is bounded by the services and ranks of requests that
// were not run in the present shortage.
type shedLog struct {
	mu   sync.Mutex
	last time.Time             // latest record
	shed map[string][]shedRank // by service
}

// shedRank is when a request of a rank was last not run.
type shedRank struct {
	rank int
	at   time.Time
}

// record records that a request was not run, and reports whether a more urgent one was not run
// within yieldWindow.
func (l *shedLog) record(service string, rank int, now time.Time) (yields bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shed == nil || now.Sub(l.last) >= yieldWindow {
		l.shed = make(map[string][]shedRank)
	}
	l.last = now
	list := slices.DeleteFunc(l.shed[service], func(s shedRank) bool { return s.rank == rank || now.Sub(s.at) >= yieldWindow })
	yields = slices.ContainsFunc(list, func(s shedRank) bool { return s.rank < rank })
	l.shed[service] = append(list, shedRank{rank, now})
	return yields
}

// yieldAfterShed holds back a part that an upstream did not run, if its service is short for
// more urgent requests and there is time to repeat the part later.
func (q *query) yieldAfterShed(p *part, now time.Time) {
	wait := defaultYield
	if o := q.route.Objective(); o > 0 {
		wait = time.Duration(yieldShare * float64(o))
	}
	if q.g.sheds.record(p.service, q.rank, now) && q.repliesInTime(now.Add(wait)) {
		q.g.cfg.Metrics.Add("YieldedParts", "", 1)
		p.yields, p.retryAt = true, now.Add(wait)
	}
}

// rankOf returns the rank of a request: that of its client account, else that of its route.
func rankOf(table *trdirectory.Table, route *trdirectory.Route, req *Request) int {
	if req.Account != "" {
		if account := table.Account(req.Key); account != nil && account.Rank != nil {
			return *account.Rank
		}
	}
	return route.Rank
}
