package trgateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
)

// part is what is asked of one service.
type part struct {
	service string
	asked   []trdirectory.UpstreamKey // of the route's number of attempts
	failed  []trdirectory.UpstreamKey // not to be asked again
	current *trdirectory.Upstream     // asked last
	attempt uint64                    // number of the attempt there
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
	return q.merged() && !q.times.aim.IsZero() && !q.hopeless(now) && q.g.tracker.Stalled(up, now)
}

// hedgeDelay returns the time after which an attempt that is sent now is hedged. A
// hedge before the last moment at which its reply still makes the objective costs
// work of upstreams and of this instance, and most late replies come until then.
func (q *query) hedgeDelay(now time.Time) time.Duration {
	if q.times.aim.IsZero() {
		return q.late
	}
	last := q.times.aim.Sub(now) - hedgeMedians*q.median - hedgeWay
	return max(q.late, min(last, time.Duration(latestHedge*float64(q.route.Objective()))))
}

// hedgeDue reports whether a hedge of the part should be sent: its time has come,
// or its upstream owes a late reply to another query.
func (q *query) hedgeDue(p *part, now time.Time) bool {
	if aim := q.times.aim; now.Before(aim) && now.Add(q.median/2).After(aim) {
		if in, _ := q.progress(); in >= q.least() {
			return false // its reply would come after the answer
		}
	}
	return !now.Before(p.hedgeAt) || p.running == 1 && q.g.tracker.silentFor(p.current, p.attempt, now)
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
	way := q.g.tracker.distance(up)
	p.hedgeAt = now.Add(way + q.hedgeDelay(now))
	p.attempt = q.g.attempt(q, i, up, now.Add(way+q.late))
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

// attempt sends the request of a part to an upstream in a new goroutine and
// returns the number of the attempt.
func (g *Gateway) attempt(q *query, i int, up *trdirectory.Upstream, lateAt time.Time) uint64 {
	id := g.lastAttempt.Add(1)
	now := q.now()
	left := q.patienceFor(now)
	g.tracker.begin(up, id, lateAt, now)
	go func() {
		out := g.cfg.Sender.Send(q.sending, up, q.req, left)
		if out.Kind == Answered && out.Reply.OK() {
			g.patience.Record(q.route, max(0, q.now().Sub(out.Sent)-g.tracker.distance(up)))
		}
		g.tracker.end(up, id, &out, q.median, q.now())
		q.results <- result{part: i, up: up, id: id, outcome: out}
	}()
	return id
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
	switch out.Kind {
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
	case OutcomeUnknown:
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
