package trgateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// minConcurrentQueries is the lowest limit of merged queries that are served at once.
	minConcurrentQueries = 6
	// queryLimitBackoff is the factor by which the limit is lowered.
	queryLimitBackoff = 0.6
	// queryLimitIdle is the time after which a limit that was not reached ends.
	queryLimitIdle = 5 * time.Second
	// overloadRetryShare is the share of the timeout of a route over which the callers that
	// an overloaded instance refuses are spread.
	overloadRetryShare = 0.25
	// placeWaitShare is the share of the objective of a route for which its queries wait for a
	// place. The rest is needed to serve them.
	placeWaitShare = 0.25
	// maxPlaceWait bounds that time. Places become free some ten times a second.
	maxPlaceWait = 100 * time.Millisecond
)

// queryLimit limits the merged queries that an instance serves at once to those that it can
// serve in time. The load is more queries than its processor can serve, as after a loss of
// power, when the callers of the meantime return at once. Each query then waits for the
// processor until its time is over, and none is served.
//
// There is no limit until a query is starved. It then decreases by a factor, and increases by
// one for as many queries as it allows. Which queries are served within the limit is decided
// by traccount.Shares. The zero value is ready to use.
type queryLimit struct {
	mu          sync.Mutex
	shares      traccount.Shares // has the limit
	decreasedAt time.Time        // when it was last lowered
	reachedAt   time.Time        // when it was last reached
	shared      bool             // a query has waited since there is a limit
}

// acquireUnlimited takes a place for a query if there is no limit. Queries need no class then.
func (l *queryLimit) acquireUnlimited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares.Limit() > 0 {
		return false
	}
	l.shares.Acquire(traccount.Class{}, time.Time{})
	return true
}

// acquire asks for a place for a query. release must be called when an admitted query has
// ended. If the query is the first one that waits since there is a limit, acquire returns how
// many queries run, else 0.
func (l *queryLimit) acquire(c traccount.Class, now time.Time) (d traccount.Decision, t *traccount.Ticket, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares.Limit() > 0 && now.Sub(l.reachedAt) >= queryLimitIdle {
		l.shares.SetLimit(0, now)
		l.shared = false
	}
	if l.shares.Full() {
		l.reachedAt = now
	}
	d, t = l.shares.Acquire(c, now)
	if d == traccount.Waiting && !l.shared {
		l.shared, running = true, l.shares.Running()
	}
	return d, t, running
}

// withdraw ends the wait of a query and reports whether it was admitted meanwhile.
func (l *queryLimit) withdraw(t *traccount.Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Withdraw(t)
}

func (l *queryLimit) release(t *traccount.Ticket, clock trclock.Clock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Time{}
	if l.shares.Limit() > 0 {
		now = clock.Now()
	}
	l.shares.Release(t, now)
}

// recordStarved lowers the limit after a query that began at a time was starved, and reports
// whether there was none. Queries that began before the limit was last lowered say nothing
// about it.
func (l *queryLimit) recordStarved(began, now time.Time) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.Before(l.decreasedAt) {
		return false
	}
	current, limit := float64(l.shares.Running()), l.shares.Limit()
	if limit > 0 {
		current = min(current, limit)
	}
	l.shares.SetLimit(max(minConcurrentQueries, queryLimitBackoff*current), now)
	l.decreasedAt, l.reachedAt = now, now
	return limit == 0
}

// recordServed raises the limit after a query was answered whole and in time, if the limit has
// been reached since it was lowered.
func (l *queryLimit) recordServed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.shares.Limit(); limit > 0 && l.reachedAt.After(l.decreasedAt) {
		l.shares.SetLimit(limit+1/limit, now)
	}
}

// place is the right of a merged query to be served here.
type place struct {
	ticket *traccount.Ticket
	waited time.Duration
}

// enter waits until a merged query may be served here, at most as long as it can then be
// answered in time. If so, leave must be called when it has ended. Nothing is sent before.
func (g *Gateway) enter(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request) (p place, ok bool) {
	if g.limit.acquireUnlimited() {
		return place{}, true
	}
	began := g.now()
	c := classOf(table, route, req)
	decision, ticket, running := g.limit.acquire(c, began)
	p.ticket = ticket
	if decision != traccount.Waiting {
		return p, decision == traccount.Admitted
	}
	g.cfg.Metrics.Add("WaitingQueries", "", 1)
	if running > 0 {
		g.handleEvent(Event{Kind: "QueriesShared", Account: c.Account, Rank: c.Rank, Running: running})
	}
	expired := make(chan struct{})
	defer g.cfg.Clock.After(ticket.Latest.Sub(began), func(time.Time) { close(expired) })()
	select {
	case ok = <-ticket.Decided():
	case <-expired:
		ok = g.limit.withdraw(ticket)
	case <-ctx.Done():
		if g.limit.withdraw(ticket) {
			g.leave(p)
		}
		return p, false
	}
	p.waited = g.now().Sub(began)
	return p, ok
}

// leave frees the place of a query.
func (g *Gateway) leave(p place) { g.limit.release(p.ticket, g.cfg.Clock) }

// classOf returns the class of a merged query. The shares of the accounts are in proportion to
// their rates.
func classOf(table *trdirectory.Table, route *trdirectory.Route, req *Request) traccount.Class {
	d := newDeadlines(req, route)
	c := traccount.Class{Account: req.Account, Rank: rankOf(table, route, req), Due: d.final, MaxWait: maxPlaceWait}
	if !d.target.IsZero() {
		c.Due = d.target
		c.MaxWait = min(c.MaxWait, time.Duration(placeWaitShare*float64(route.Objective())))
	}
	if account := table.Account(req.Key); req.Account != "" && account != nil {
		c.Weight = table.Weight(account)
	}
	return c
}

// refuseOverload returns the refusal of a merged query by an overloaded instance.
func (g *Gateway) refuseOverload(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request) *Response {
	if ctx.Err() != nil {
		return &Response{Status: StatusClientClosedRequest, Reason: "caller left", Version: table.Version, Revision: table.Revision, Route: route.Name}
	}
	g.cfg.Metrics.Add("Overloads", "", 1)
	if req.Account != "" {
		g.cfg.Metrics.Add("AccountOverloads", req.Account, 1)
	}
	spread := time.Duration(overloadRetryShare * g.randFloat() * float64(route.Timeout()))
	return &Response{
		Status: http.StatusServiceUnavailable, RetryAfter: shedRetry + spread, Reason: "instance is overloaded",
		Version: table.Version, Revision: table.Revision, Route: route.Name,
	}
}

// checkStarved records once, from the target on, whether the query is starved: fewer parts
// than hedgeQuorum have a reply, so that what delays them is common to all. The time for which
// the query waited for a place does not count.
func (q *query) checkStarved(now time.Time) {
	if !q.merged() || q.starvedChecked || q.deadlines.target.IsZero() || now.Before(q.deadlines.target.Add(q.waited)) {
		return
	}
	q.starvedChecked = true
	received, _ := q.countParts()
	if float64(received) < hedgeQuorum*float64(len(q.parts)) && q.g.limit.recordStarved(q.began, now) {
		q.g.handleEvent(Event{Kind: "QueriesLimited"})
	}
}
