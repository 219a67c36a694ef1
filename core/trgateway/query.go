package trgateway

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trcost"
	"tanagerrock/core/trdirectory"
)

const (
	// unconfiguredRetry is when a caller may retry if the instance has no
	// configuration: a read of the store takes milliseconds, a start less than a
	// second.
	unconfiguredRetry = 300 * time.Millisecond
	// noUpstreamRetry is when a caller may retry if no upstream of a service is
	// registered or reachable: upstreams register within seconds.
	noUpstreamRetry = 500 * time.Millisecond
	// staleKeyRetry is when a caller with an unknown key may retry at an instance whose
	// configuration may be out of date. Instances exchange it every 400 ms.
	staleKeyRetry = 500 * time.Millisecond
	// shedRetry is when a caller may retry if the upstreams are full: about the
	// time to drain a queue of a few requests.
	shedRetry = 100 * time.Millisecond
	// reviewInterval is the time between checks of the upstreams of unanswered
	// parts, which may stall on requests of other queries.
	reviewInterval = 10 * time.Millisecond
	// maxAttempts limits the attempts of a part, including those that were not sent
	// or not run.
	maxAttempts = 6
	// retryBackoff is half the time before the first retry at an upstream that did
	// not run the request. The time doubles with each attempt, up to 16 times
	// retryBackoff: from half the service time of a short request to several times
	// that of a full queue.
	retryBackoff = 5 * time.Millisecond
	// disconnectGrace is how long attempts may continue after the caller has
	// disconnected. Closing their connections at once would cost more than
	// letting them finish. Attempts must end within half a second of the
	// disconnection.
	disconnectGrace = 250 * time.Millisecond
	// ReplyGrace is the additional wait for the reply of an upstream that used
	// all the time it was given.
	ReplyGrace = 150 * time.Millisecond
)

// query serves one request. Only the goroutine that calls run changes it.
type query struct {
	g         *Gateway
	route     *trdirectory.Route
	req       *Request
	rank      int
	deadlines deadlines
	median    time.Duration // of the route's latencies
	lateAfter time.Duration // latency from which a reply is late
	kind      trcost.Kind
	est       trcost.Estimate    // of the work of a part
	stalls    *trcost.StallGroup // of the upstreams of the shards; nil if the query has one part
	work      workMean           // of the parts

	parts      []part
	results    chan result
	sendCtx    context.Context // context of the attempts
	cancelSend context.CancelFunc
	running    int
	attempts   int
	hedges     int

	began          time.Time
	waited         time.Duration // for a place, before began
	starvedChecked bool          // checkStarved has seen the target
}

func newQuery(g *Gateway, table *trdirectory.Table, route *trdirectory.Route, req *Request) *query {
	q := &query{g: g, route: route, req: req, rank: rankOf(table, route, req), deadlines: newDeadlines(req, route)}
	services := route.Shards
	if len(services) == 0 {
		services = []string{g.pickService(route.Split)}
	}
	q.parts = make([]part, len(services))
	for i, s := range services {
		q.parts[i].service = s
		q.parts[i].drawn = g.cfg.Versions != nil && g.cfg.Versions.Draw(s)
	}
	// Every attempt sends one result, even after the query has ended.
	q.results = make(chan result, len(services)*maxAttempts)
	q.median, q.lateAfter = g.latency.Thresholds(route)
	q.kind = trcost.NewKind(route.Name, services[0], req.Target, req.Account, len(req.Body))
	if q.merged() {
		q.stalls = g.tracker.stallGroup(services[0])
	}
	q.est = g.costs.Estimate(&q.kind)
	q.est.Work = time.Duration(float64(q.median) * q.est.Factor)
	return q
}

// workMean is the geometric mean of the work of the parts of a query. The zero value is ready to
// use.
type workMean struct {
	logs  float64
	parts int
}

// add adds the work of a part, unless it is 0.
func (m *workMean) add(work time.Duration) {
	if work > 0 {
		m.logs += math.Log(float64(work))
		m.parts++
	}
}

// recordCost records what the request cost the upstreams.
func (q *query) recordCost() {
	if m := q.work; m.parts > 0 {
		q.g.costs.Record(&q.kind, time.Duration(math.Exp(m.logs/float64(m.parts))), q.now())
	}
}

func (q *query) now() time.Time { return q.g.cfg.Clock.Now() }

func (q *query) merged() bool { return len(q.route.Shards) > 0 }

// run sends all parts and returns the response.
func (q *query) run(ctx context.Context) *Response {
	q.sendCtx, q.cancelSend = context.WithCancel(context.Background())
	now := q.now()
	q.began = now
	if !now.Before(q.deadlines.final) {
		return &Response{Status: http.StatusServiceUnavailable, Reason: "no time left on arrival"}
	}
	for i := range q.parts {
		q.g.budget.CountRequest(q.parts[i].service, now)
	}
	if resp := q.refuseUnreachable(); resp != nil {
		return resp
	}
	if resp := q.refusePaused(now); resp != nil {
		return resp
	}
	for i := range q.parts {
		q.start(i)
	}
	resp := q.await(ctx)
	q.recordCost()
	q.scheduleCancel(ctx)
	return resp
}

// refuseUnreachable returns a refusal if too few services have a reachable
// upstream.
func (q *query) refuseUnreachable() *Response {
	served := 0
	for i := range q.parts {
		reachable := func(up *trdirectory.Upstream) bool { return q.g.tracker.Reachable(up.Zone) }
		if list, _ := q.permitted(&q.parts[i]); slices.ContainsFunc(list, reachable) {
			served++
		}
	}
	if served >= q.minParts() {
		return nil
	}
	retry := noUpstreamRetry
	if since := q.g.IsolatedFor(); since > 0 {
		// A caller should retry when load balancers have moved it to another
		// instance.
		retry = max(0, q.g.cfg.FailoverTime-since)
	}
	return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retry, Reason: "too few upstreams can be reached"}
}

// refusePaused returns a refusal if too few services have an upstream that takes
// requests in time, with the time at which enough of them will. Without it, requests
// would wait at this instance until they time out.
func (q *query) refusePaused(now time.Time) *Response {
	served := 0
	var resume []time.Time
	for i := range q.parts {
		list, _ := q.permitted(&q.parts[i])
		at, ok := q.g.tracker.availableAt(list, noUpstream, now)
		switch {
		case ok && (at.IsZero() || q.repliesInTime(at)):
			served++
		case ok:
			resume = append(resume, at)
		}
	}
	if served >= q.minParts() {
		return nil
	}
	return &Response{
		Status: http.StatusServiceUnavailable, RetryAfter: retryAfterPauses(resume, q.minParts()-served, now),
		Reason: "too few upstreams take requests",
	}
}

// noUpstream is a filter that leaves out no upstream.
func noUpstream(*trdirectory.Upstream) bool { return false }

// retryAfterPauses returns the time until the given number of pauses have ended, or
// noUpstreamRetry if there are fewer.
func retryAfterPauses(ends []time.Time, needed int, now time.Time) time.Duration {
	if needed < 1 || len(ends) < needed {
		return noUpstreamRetry
	}
	slices.SortFunc(ends, time.Time.Compare)
	return max(ends[needed-1].Sub(now), time.Millisecond)
}

// minParts returns the number of parts that a response needs.
func (q *query) minParts() int {
	if !q.merged() {
		return 1
	}
	return q.route.MinShards()
}

// await handles results and timers until there is a response.
func (q *query) await(ctx context.Context) *Response {
	timer := wakeTimer{clock: q.g.cfg.Clock, fired: make(chan struct{}, 1)}
	defer timer.stop()
	for {
		now := q.now()
		q.checkStarved(now)
		if resp := q.decide(now); resp != nil {
			return resp
		}
		timer.set(q.nextWake(now), now)
		select {
		case r := <-q.results:
			q.handleResult(&r)
		case <-timer.fired:
			timer.at = time.Time{}
			q.handleReceived()
			q.review(q.now())
		case <-ctx.Done():
			return &Response{Status: StatusClientClosedRequest, Reason: "caller left", MayRun: q.mayRun()}
		}
	}
}

// handleReceived handles the results that have been received so far. Otherwise an instance
// that is late to handle them would hedge parts whose reply is there.
func (q *query) handleReceived() {
	for {
		select {
		case r := <-q.results:
			q.handleResult(&r)
		default:
			return
		}
	}
}

// wakeTimer is a timer that is reset only if it has to fire earlier than
// scheduled.
type wakeTimer struct {
	clock  trclock.Clock
	fired  chan struct{}
	at     time.Time // when it fires, zero if it is not set
	cancel func()
}

// set schedules the timer for at, unless it is already scheduled for then or
// earlier.
func (t *wakeTimer) set(at, now time.Time) {
	if !t.at.IsZero() && !at.Before(t.at) {
		return
	}
	t.stop()
	t.at = at
	t.cancel = t.clock.After(at.Sub(now), func(time.Time) {
		select {
		case t.fired <- struct{}{}:
		default: // a previous timer fired before it was stopped
		}
	})
}

func (t *wakeTimer) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

// StatusClientClosedRequest is the status of a response to a caller that has
// disconnected.
const StatusClientClosedRequest = 499

// decide returns the response if it is time to send one, or nil.
func (q *query) decide(now time.Time) *Response {
	received, open := q.countParts()
	if needed := q.minParts() - received - open; needed > 0 {
		q.startSkipped(needed, now)
		received, open = q.countParts()
	}
	switch {
	case received == len(q.parts):
		if !q.starvedChecked && (q.deadlines.target.IsZero() || now.Before(q.deadlines.target)) {
			q.g.limit.recordServed(now)
		}
		return q.answer()
	case received+open < q.minParts():
		return q.fail()
	case open == 0:
		return q.answer()
	case received >= q.minParts() && !q.deadlines.target.IsZero() && !now.Before(q.deadlines.target):
		return q.answer()
	case !now.Before(q.deadlines.final):
		if received >= q.minParts() {
			return q.answer()
		}
		return q.timeout()
	}
	return nil
}

// countParts returns the number of parts with a reply and the number of those
// that may still get one.
func (q *query) countParts() (received, open int) {
	for i := range q.parts {
		switch p := &q.parts[i]; {
		case p.reply != nil:
			received++
		case !p.closed:
			open++
		}
	}
	return received, open
}

func (q *query) nextWake(now time.Time) time.Time {
	wake := q.deadlines.final
	if !q.deadlines.target.IsZero() && q.deadlines.target.After(now) && q.deadlines.target.Before(wake) {
		wake = q.deadlines.target
	}
	if !q.route.Idempotent && !q.parts[0].held {
		return wake
	}
	if tick := now.Add(reviewInterval); tick.Before(wake) {
		wake = tick
	}
	// Hedges of routes with a short objective must not wait for the next review.
	for i := range q.parts {
		p := &q.parts[i]
		if p.reply == nil && p.running > 0 && p.hedgeAt.After(now) && p.hedgeAt.Before(wake) {
			wake = p.hedgeAt
		}
	}
	return wake
}

// answer returns the response made from the replies received so far.
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

// unansweredParts describes the parts without a reply.
func (q *query) unansweredParts() []UnansweredPart {
	var list []UnansweredPart
	for i := range q.parts {
		p := &q.parts[i]
		if p.reply != nil || len(list) == maxUnansweredParts {
			continue
		}
		u := UnansweredPart{Service: p.service, State: "Waiting"}
		switch {
		case p.held:
			u.State = "Held"
		case p.closed:
			u.State = "Closed"
		}
		for _, key := range p.asked {
			u.Asked = append(u.Asked, key.ID)
		}
		if p.err != nil {
			u.Error = p.err.Error()
		}
		list = append(list, u)
	}
	return list
}

// fail returns the response to a request that can no longer be served.
func (q *query) fail() *Response {
	if failure := q.parts[0].failure; !q.merged() && failure != nil && q.mayRelay(failure) {
		return &Response{Status: failure.Status, Reply: failure, Reason: "upstream failed"}
	}
	reason, shed := "upstream not reached", false
	var resume []time.Time
	now := q.now()
	for i := range q.parts {
		if p := &q.parts[i]; p.closed {
			if p.resumeAt.After(now) {
				resume = append(resume, p.resumeAt)
			} else {
				shed = shed || p.shed
			}
			if p.err != nil {
				reason = p.err.Error()
			}
		}
	}
	if q.mayRun() {
		return &Response{Status: http.StatusBadGateway, Reason: reason}
	}
	if !q.g.holdsKey(q.req) {
		return &Response{Status: http.StatusUnauthorized, Reason: "client key was withdrawn"}
	}
	received, open := q.countParts()
	retry := noUpstreamRetry
	switch {
	case len(resume) > 0:
		retry = retryAfterPauses(resume, min(q.minParts()-received-open, len(resume)), now)
	case shed:
		retry = shedRetry
	}
	return &Response{Status: http.StatusServiceUnavailable, RetryAfter: retry, Reason: reason}
}

// mayRelay reports whether the caller may get the reply of an upstream that failed. The
// status must not let the caller repeat a request that may run only once.
func (q *query) mayRelay(failure *Reply) bool {
	return !failure.Unsigned && (q.route.Idempotent || !impliesNotRun(failure.Status))
}

// timeout returns the response when the time of the caller or the route is over.
func (q *query) timeout() *Response {
	if !q.mayRun() {
		return &Response{Status: http.StatusServiceUnavailable, Reason: "out of time, nothing sent"}
	}
	return &Response{Status: http.StatusGatewayTimeout, Reason: "out of time"}
}

// mayRun reports whether an upstream may have run the request or may still run
// it.
func (q *query) mayRun() bool {
	for i := range q.parts {
		if p := &q.parts[i]; p.mayRun || p.running > 0 {
			return true
		}
	}
	return false
}

// scheduleCancel schedules the cancellation of the running attempts: after
// disconnectGrace if the caller has disconnected, else ReplyGrace after the
// expiry.
func (q *query) scheduleCancel(ctx context.Context) {
	if q.running == 0 {
		q.cancelSend()
		return
	}
	if ctx.Err() != nil {
		q.g.cfg.Clock.After(disconnectGrace, func(time.Time) { q.cancelSend() })
		return
	}
	q.g.cfg.Clock.After(q.deadlines.expiry.Add(ReplyGrace).Sub(q.now()), func(time.Time) { q.cancelSend() })
}
