package trgateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

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
	// replyGrace is the time for the reply of an upstream that used all the
	// time it was given.
	replyGrace = 150 * time.Millisecond
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

// part is what is asked of one service.
type part struct {
	service string
	asked   []trdirectory.UpstreamKey // of the route's number of attempts
	failed  []trdirectory.UpstreamKey // not to be asked again
	current *trdirectory.Upstream     // asked last
	running int
	tries   int
	sent    int       // attempts that may have reached an upstream
	hedgeAt time.Time // when to send a hedge
	held    bool      // to be sent when that is useful
	retryAt time.Time // not before then to an upstream that was asked

	reply   *Reply // that serves the part
	failure *Reply // the last reply that does not
	mayRun  bool   // an attempt may have run or may still run
	closed  bool   // no reply will come
	shed    bool   // an upstream was full
	err     error  // of the last attempt
}

// result is the outcome of an attempt of a part.
type result struct {
	part    int
	up      *trdirectory.Upstream
	id      uint64
	outcome Outcome
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
	q.median, q.late = g.patience.Times(route)
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
	table, now := q.g.cfg.Tables.Table(), q.now()
	served := 0
	for i := range q.parts {
		reachable := func(up *trdirectory.Upstream) bool { return q.g.tracker.Reachable(up.Zone, now) }
		if slices.ContainsFunc(table.Upstreams(q.parts[i].service), reachable) {
			served++
		}
	}
	if served >= q.least() {
		return nil
	}
	return &Response{Status: http.StatusServiceUnavailable, RetryAfter: noUpstreamRetry, Reason: "too few upstreams can be reached"}
}

// least returns the number of parts an answer needs.
func (q *query) least() int {
	if !q.merged() {
		return 1
	}
	return q.route.LeastShards()
}

// await handles results and timers until there is a response.
func (q *query) await(ctx context.Context) *Response {
	for {
		now := q.now()
		if resp := q.decide(now); resp != nil {
			return resp
		}
		wake := make(chan struct{}, 1)
		stop := q.g.cfg.Clock.After(q.nextWake(now).Sub(now), func(time.Time) { wake <- struct{}{} })
		select {
		case r := <-q.results:
			q.finish(&r)
		case <-wake:
			q.review(q.now())
		case <-ctx.Done():
			stop()
			return &Response{Status: statusCallerLeft, Reason: "caller left"}
		}
		stop()
	}
}

// statusCallerLeft is not sent to anybody.
const statusCallerLeft = 499

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
	return wake
}

// review sends held parts whose upstream replies again, and hedges for parts
// whose reply is late.
func (q *query) review(now time.Time) {
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.held:
			q.reviewHeld(i, now)
		case !q.route.Idempotent || p.reply != nil || p.closed || p.running == 0 || !q.hedgeDue(p, now):
		case q.launch(i) == launched:
			q.hedges++
		default:
			p.hedgeAt = now.Add(tickPeriod)
		}
	}
}

// reviewHeld sends a held part if that has become useful. When its reply would
// come too late it is given up, unless the answer needs it.
func (q *query) reviewHeld(i int, now time.Time) {
	p := &q.parts[i]
	if q.hopeless(now) {
		in, open := q.progress()
		p.held = false
		if in+open > q.least() {
			p.closed = true
			return
		}
	}
	q.start(i)
}

// hopeless reports whether a part that is sent now would miss the aim.
func (q *query) hopeless(now time.Time) bool { return now.Add(q.median).After(q.times.aim) }

// holds reports whether a part should wait instead of being sent to an upstream
// that owes a late reply. Upstreams pause for 200 to 250 ms at a time; what is
// sent meanwhile queues there in order of arrival and delays what comes after.
func (q *query) holds(up *trdirectory.Upstream, now time.Time) bool {
	return q.merged() && !q.times.aim.IsZero() && !q.hopeless(now) && q.g.tracker.Silent(up, now)
}

// hedgeDue reports whether a hedge of the part should be sent: its own reply is
// late, or its upstream owes a late reply to another query.
func (q *query) hedgeDue(p *part, now time.Time) bool {
	if aim := q.times.aim; now.Before(aim) && now.Add(q.median/2).After(aim) {
		if in, _ := q.progress(); in >= q.least() {
			return false // its reply would come after the answer
		}
	}
	return !now.Before(p.hedgeAt) || p.running == 1 && q.g.tracker.Silent(p.current, now)
}

// start sends a part of which no attempt is running, holds it, or closes it if
// it can be sent nowhere.
func (q *query) start(i int) {
	p := &q.parts[i]
	switch q.launch(i) {
	case launched:
		p.held = false
	case heldBack:
		p.held = true
	case refused:
		p.held = false
		p.closed = true
	}
}

// launchResult tells what became of an attempt to start an attempt.
type launchResult int

const (
	launched launchResult = iota
	heldBack              // the upstream owes a late reply
	refused               // no upstream, or no attempt, is permitted
)

// launch starts an attempt of a part if that is permitted and useful.
func (q *query) launch(i int) launchResult {
	p := &q.parts[i]
	now := q.now()
	if p.tries >= mostTries || !now.Before(q.times.left) {
		return refused
	}
	up, wait := q.pick(p, now)
	if up == nil && wait {
		return heldBack
	}
	if up == nil {
		return refused
	}
	if q.holds(up, now) {
		return heldBack
	}
	if p.sent > 0 && !q.g.budget.Spend(p.service, q.g.cfg.Fleet().Size, now) {
		return refused
	}
	if !slices.Contains(p.asked, up.Key()) {
		p.asked = append(p.asked, up.Key())
	}
	p.current = up
	p.tries++
	p.sent++
	p.running++
	q.running++
	q.attempts++
	p.hedgeAt = now.Add(q.g.tracker.distance(up) + q.late)
	q.g.attempt(q, i, up, p.hedgeAt)
	return launched
}

// pick chooses the upstream for an attempt of a part: one that was not asked, or
// one that did not run the request if the route permits no other. It returns nil
// and whether there will be one later.
func (q *query) pick(p *part, now time.Time) (up *trdirectory.Upstream, wait bool) {
	table := q.g.cfg.Tables.Table()
	list := table.Upstreams(p.service)
	coldRate := q.g.cfg.Bounds.coldRate(table.Service(p.service))
	fleet := q.g.cfg.Fleet()
	cold := func(up *trdirectory.Upstream) bool { return !q.g.tracker.permitCold(up, coldRate, fleet, now) }
	if len(p.asked) < max(q.route.Attempts, 1) {
		asked := func(up *trdirectory.Upstream) bool { return slices.Contains(p.asked, up.Key()) || cold(up) }
		if up = q.g.tracker.choose(list, asked, q.median, now, q.g.float); up != nil {
			return up, false
		}
	}
	again := func(up *trdirectory.Upstream) bool {
		return !slices.Contains(p.asked, up.Key()) || slices.Contains(p.failed, up.Key())
	}
	if p.running > 0 {
		return nil, false
	}
	up = q.g.tracker.choose(list, func(up *trdirectory.Upstream) bool { return again(up) || cold(up) }, q.median, now, q.g.float)
	if up != nil && now.Before(p.retryAt) {
		return nil, true
	}
	return up, false
}

// lateShare limits the time that a part is given beyond the aim, in objectives.
// A merged answer is worth a tenth when it is late; work of late queries must not
// keep an overloaded upstream from serving new ones in time.
const lateShare = 1.0

// patienceFor returns the time that an attempt of a part is given.
func (q *query) patienceFor(now time.Time) time.Duration {
	left := q.times.left.Sub(now)
	if q.merged() && !q.times.aim.IsZero() {
		late := q.times.aim.Add(time.Duration(lateShare * float64(q.route.Objective())))
		left = min(left, max(late.Sub(now), q.route.Objective()))
	}
	return left
}

// attempt sends the request of a part to an upstream in a new goroutine.
func (g *Gateway) attempt(q *query, i int, up *trdirectory.Upstream, lateAt time.Time) {
	id := g.lastAttempt.Add(1)
	now := q.now()
	left := q.patienceFor(now)
	g.tracker.begin(up, id, lateAt, now)
	ctx, cancel := trclock.WithTimeout(q.sending, g.cfg.Clock, left+replyGrace)
	go func() {
		defer cancel()
		out := g.cfg.Sender.Send(ctx, up, q.req, left)
		if out.Fate == Answered && out.Reply.OK() {
			g.patience.Record(q.route, max(0, q.now().Sub(out.Sent)-g.tracker.distance(up)))
		}
		g.tracker.end(up, id, &out, q.median, q.now())
		q.results <- result{part: i, up: up, id: id, outcome: out}
	}()
}

// finish handles the outcome of an attempt and repeats it where that is allowed.
func (q *query) finish(r *result) {
	p := &q.parts[r.part]
	p.running--
	q.running--
	out := &r.outcome
	if p.reply != nil {
		return
	}
	p.err = out.Err
	p.retryAt = q.now().Add(retryPause << min(p.tries, 4))
	repeat := true
	switch out.Fate {
	case Answered:
		p.mayRun = true
		if q.accepts(out.Reply) {
			p.reply = out.Reply
			return
		}
		p.failure = out.Reply
		p.err = errors.Errorf("upstream failed with status %d", out.Reply.Status)
		p.failed = append(p.failed, r.up.Key())
		repeat = q.route.Idempotent
	case NotSent:
		p.sent-- // no upstream has seen it
	case NotRun:
		p.shed = p.shed || !out.Misdirected
		if out.Misdirected {
			p.failed = append(p.failed, r.up.Key())
		}
	case Unknown:
		p.mayRun = true
		p.failed = append(p.failed, r.up.Key())
		repeat = q.route.Idempotent
	}
	if p.running > 0 {
		return
	}
	if !repeat {
		p.closed = true
		return
	}
	q.start(r.part)
}

// accepts reports whether a reply serves a part. Any reply but the failure of
// an upstream serves a request to one upstream.
func (q *query) accepts(reply *Reply) bool {
	if q.merged() {
		return reply.OK() && reply.Stamp != ""
	}
	return reply.Status < http.StatusInternalServerError
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
func (q *query) openParts() []OpenPart {
	var list []OpenPart
	for i := range q.parts {
		p := &q.parts[i]
		if p.reply != nil || len(list) == mostOpenParts {
			continue
		}
		o := OpenPart{Service: p.service, State: "Waiting"}
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
	q.g.cfg.Clock.After(q.times.left.Add(replyGrace).Sub(q.now()), func(time.Time) { q.abort() })
}
