package trgateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// unconfiguredRetry is when a caller may return to an instance that has no
	// configuration: one read of the store takes milliseconds, a start less
	// than a second.
	unconfiguredRetry = 300 * time.Millisecond
	// noUpstreamRetry is when a caller may return if no upstream of a service
	// is registered or reachable: upstreams register within seconds.
	noUpstreamRetry = 500 * time.Millisecond
	// shedRetry is when a caller may return if the upstreams are full: about
	// the time in which a queue of a few requests is worked off.
	shedRetry = 100 * time.Millisecond
	// tickPeriod is the time between looks at the upstreams of open parts,
	// which may fall silent for other queries.
	tickPeriod = 10 * time.Millisecond
	// mostTries bounds the attempts of a part of which nothing was sent or run.
	mostTries = 6
	// retryPause is the time before an upstream that did not run a request is
	// asked again. It doubles with each attempt, from half of the work of a
	// short request to several turns of a full queue.
	retryPause = 5 * time.Millisecond
	// goneGrace is the time in which attempts may still end after the caller
	// has left. Closing their connections at once would cost more than the
	// rest of their work; the bound is half a second.
	goneGrace = 250 * time.Millisecond
	// ReplyGrace is the time for the reply of an upstream that used all the
	// time it was given.
	ReplyGrace = 150 * time.Millisecond
)

// query is one request while it is served. It is used by one goroutine.
type query struct {
	g      *Gateway
	route  *trdirectory.Route
	req    *Request
	times  times
	median time.Duration // of a reply
	late   time.Duration // time after which a reply is late

	parts    []part
	results  chan result
	sending  context.Context // of the attempts
	abort    context.CancelFunc
	running  int
	attempts int
	hedges   int
}

func newQuery(g *Gateway, table *trdirectory.Table, route *trdirectory.Route, req *Request) *query {
	q := &query{g: g, route: route, req: req, times: timesOf(req, route)}
	services := route.Shards
	if len(services) == 0 {
		services = []string{g.service(route.Split)}
	}
	q.parts = make([]part, len(services))
	for i, s := range services {
		q.parts[i].service = s
	}
	// Every attempt sends one result, also when nobody reads it any more.
	q.results = make(chan result, len(services)*(mostTries+max(route.Attempts, 1)))
	q.median, q.late = g.patience.Thresholds(route)
	return q
}

func (q *query) now() time.Time { return q.g.cfg.Clock.Now() }

func (q *query) merged() bool { return len(q.route.Shards) > 0 }

// run asks all parts and returns the response.
func (q *query) run(ctx context.Context) *Response {
	q.sending, q.abort = context.WithCancel(context.Background())
	now := q.now()
	if !now.Before(q.times.deadline) {
		return &Response{Status: http.StatusServiceUnavailable, Reason: "no time left on arrival"}
	}
	for i := range q.parts {
		q.g.budget.Request(q.parts[i].service, now)
	}
	if resp := q.refuse(); resp != nil {
		return resp
	}
	for i := range q.parts {
		q.start(i)
	}
	resp := q.await(ctx)
	q.leave(ctx)
	return resp
}

// refuse returns a refusal if too few services have an upstream that can be
// reached.
func (q *query) refuse() *Response {
	table := q.g.cfg.Tables.Table()
	served := 0
	for i := range q.parts {
		reachable := func(up *trdirectory.Upstream) bool { return q.g.tracker.Reachable(up.Zone) }
		if slices.ContainsFunc(table.Upstreams(q.parts[i].service), reachable) {
			served++
		}
	}
	if served >= q.least() {
		return nil
	}
	retry := noUpstreamRetry
	if since := q.g.IsolatedFor(); since > 0 {
		// Once balancers have moved callers away they are served elsewhere at once.
		retry = max(0, q.g.cfg.FailoverTime-since)
	}
	return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retry, Reason: "too few upstreams can be reached"}
}

// least returns the number of parts an answer needs.
func (q *query) least() int {
	if !q.merged() {
		return 1
	}
	return q.route.MinShards()
}

// await handles results and timers until there is a response.
func (q *query) await(ctx context.Context) *Response {
	alarm := alarm{clock: q.g.cfg.Clock, rung: make(chan struct{}, 1)}
	defer alarm.stop()
	for {
		now := q.now()
		if resp := q.decide(now); resp != nil {
			return resp
		}
		alarm.set(q.nextWake(now), now)
		select {
		case r := <-q.results:
			q.finish(&r)
		case <-alarm.rung:
			alarm.at = time.Time{}
			q.review(q.now())
		case <-ctx.Done():
			return &Response{Status: StatusClientClosedRequest, Reason: "caller left"}
		}
	}
}

// alarm is a timer that is set far more often than it must be moved.
type alarm struct {
	clock  trclock.Clock
	rung   chan struct{}
	at     time.Time // when it rings, zero if it is not set
	cancel func()
}

// set lets the alarm ring at a time, or sooner if it is set to that already.
func (a *alarm) set(at, now time.Time) {
	if !a.at.IsZero() && !at.Before(a.at) {
		return
	}
	a.stop()
	a.at = at
	a.cancel = a.clock.After(at.Sub(now), func(time.Time) {
		select {
		case a.rung <- struct{}{}:
		default: // one that was stopped too late has rung
		}
	})
}

func (a *alarm) stop() {
	if a.cancel != nil {
		a.cancel()
	}
}

// StatusClientClosedRequest is the status of a response that nobody waits for.
const StatusClientClosedRequest = 499

// decide returns the response if it is time for one.
func (q *query) decide(now time.Time) *Response {
	in, open := q.progress()
	switch {
	case in == len(q.parts):
		return q.answer()
	case in+open < q.least():
		return q.fail()
	case open == 0:
		return q.answer()
	case in >= q.least() && !q.times.aim.IsZero() && !now.Before(q.times.aim):
		return q.answer()
	case !now.Before(q.times.deadline):
		if in >= q.least() {
			return q.answer()
		}
		return q.timeout()
	}
	return nil
}

// progress counts the parts that are in and those that may still come.
func (q *query) progress() (in, open int) {
	for i := range q.parts {
		switch p := &q.parts[i]; {
		case p.reply != nil:
			in++
		case !p.closed:
			open++
		}
	}
	return in, open
}

func (q *query) nextWake(now time.Time) time.Time {
	wake := q.times.deadline
	if !q.times.aim.IsZero() && q.times.aim.After(now) && q.times.aim.Before(wake) {
		wake = q.times.aim
	}
	if !q.route.Idempotent && !q.parts[0].held {
		return wake
	}
	if tick := now.Add(tickPeriod); tick.Before(wake) {
		wake = tick
	}
	// Hedges of routes with a short objective must not wait for a tick.
	for i := range q.parts {
		p := &q.parts[i]
		if p.reply == nil && p.running > 0 && p.hedgeAt.After(now) && p.hedgeAt.Before(wake) {
			wake = p.hedgeAt
		}
	}
	return wake
}

// answer returns the response from the parts that are in.
func (q *query) answer() *Response {
	if !q.merged() {
		return &Response{Status: q.parts[0].reply.Status, Reply: q.parts[0].reply}
	}
	resp := &Response{Status: http.StatusOK, Merged: true}
	var bodies [][]byte
	for i := range q.parts {
		reply := q.parts[i].reply
		if reply == nil {
			resp.Missing++
			continue
		}
		resp.Stamps = append(resp.Stamps, reply.Stamp)
		bodies = append(bodies, reply.Body)
	}
	resp.Records = MergeTop(bodies, q.route.Top)
	return resp
}

// openParts describes parts without a reply.
func (q *query) openParts() []UnansweredPart {
	var list []UnansweredPart
	for i := range q.parts {
		p := &q.parts[i]
		if p.reply != nil || len(list) == mostOpenParts {
			continue
		}
		o := UnansweredPart{Service: p.service, State: "Waiting"}
		switch {
		case p.held:
			o.State = "Held"
		case p.closed:
			o.State = "Closed"
		}
		for _, key := range p.asked {
			o.Asked = append(o.Asked, key.ID)
		}
		if p.err != nil {
			o.Error = p.err.Error()
		}
		list = append(list, o)
	}
	return list
}

// fail returns the response if the request cannot be served any more.
func (q *query) fail() *Response {
	if !q.merged() && q.parts[0].failure != nil {
		return &Response{Status: q.parts[0].failure.Status, Reply: q.parts[0].failure, Reason: "upstream failed"}
	}
	reason, shed := "upstream not reached", false
	for i := range q.parts {
		if p := &q.parts[i]; p.closed {
			shed = shed || p.shed
			if p.err != nil {
				reason = p.err.Error()
			}
		}
	}
	if q.mayRun() {
		return &Response{Status: http.StatusBadGateway, Reason: reason}
	}
	retry := noUpstreamRetry
	if shed {
		retry = shedRetry
	}
	return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retry, Reason: reason}
}

// timeout returns the response at the end of the caller's or route's patience.
func (q *query) timeout() *Response {
	if !q.mayRun() {
		return &Response{Status: http.StatusServiceUnavailable, Reason: "out of time, nothing sent"}
	}
	return &Response{Status: http.StatusGatewayTimeout, Reason: "out of time"}
}

// mayRun reports whether an upstream may have run the request or may still do so.
func (q *query) mayRun() bool {
	for i := range q.parts {
		if p := &q.parts[i]; p.mayRun || p.running > 0 {
			return true
		}
	}
	return false
}

// leave lets running attempts end by themselves. If the caller has left they
// are aborted after goneGrace.
func (q *query) leave(ctx context.Context) {
	if q.running == 0 {
		q.abort()
		return
	}
	if ctx.Err() != nil {
		q.g.cfg.Clock.After(goneGrace, func(time.Time) { q.abort() })
		return
	}
	q.g.cfg.Clock.After(q.times.left.Add(ReplyGrace).Sub(q.now()), func(time.Time) { q.abort() })
}
