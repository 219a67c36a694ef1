package trgateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trpanic"
)

// part is the share of a request that goes to one service.
type part struct {
	service   string
	drawn     bool                      // the first attempt goes to the target version of a roll-out
	asked     []trdirectory.UpstreamKey // upstreams of the attempts so far, at most max(Route.Attempts, 1)
	failed    []trdirectory.UpstreamKey // not to be tried again
	current   *trdirectory.Upstream     // of the latest attempt
	attemptID uint64                    // of the latest attempt
	running   int                       // attempts in progress
	attempts  int                       // attempts started, including hedges
	sent      int                       // attempts that may have reached an upstream
	hedgeAt   time.Time                 // when a hedge is due
	held      bool                      // waiting to be sent, because the upstream is stalled or a retry is not due
	retryAt   time.Time                 // earliest time of a retry at an upstream that was asked before
	resumeAt  time.Time                 // when the pause ends that keeps the part from being sent, if any

	reply   *Reply // accepted reply
	failure *Reply // latest reply that was not accepted
	mayRun  bool   // an attempt may have run or may still run
	closed  bool   // no reply will come
	skipped bool   // closed without an attempt, because the response did not need it
	yields  bool   // to be repeated at retryAt, also at other upstreams, in favor of more urgent requests
	shed    bool   // an upstream was at capacity
	err     error  // of the latest attempt
}

// result is the outcome of an attempt of a part.
type result struct {
	part    int
	up      *trdirectory.Upstream
	id      uint64
	outcome Outcome
	work    time.Duration // that the request took at the upstream, 0 if not known
}

// review starts held parts that can be sent now, and hedges parts whose reply is
// late.
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
			p.hedgeAt = now.Add(reviewInterval)
		}
	}
}

// reviewHeld starts a held part if it can be sent now. If its reply would miss the
// target, the part is closed, unless the response needs it.
func (q *query) reviewHeld(i int, now time.Time) {
	p := &q.parts[i]
	if q.missesTarget(now) {
		received, open := q.countParts()
		p.held = false
		if received+open > q.minParts() {
			p.closed, p.skipped = true, p.attempts == 0
			return
		}
	}
	q.start(i)
}

// startSkipped starts as many skipped parts as the response needs after others have failed,
// if their replies are expected before the final deadline.
func (q *query) startSkipped(needed int, now time.Time) {
	if !q.repliesInTime(now) {
		return
	}
	for i := range q.parts {
		if p := &q.parts[i]; p.skipped && needed > 0 {
			p.closed, p.skipped = false, false
			q.start(i)
			needed--
		}
	}
}

// missesTarget reports whether a part that is sent now is expected to miss the
// target.
func (q *query) missesTarget(now time.Time) bool { return now.Add(q.median).After(q.deadlines.target) }

// shouldHold reports whether a part should wait instead of being sent to a
// stalled upstream. Upstreams pause for 200 to 250 ms at a time; requests sent
// meanwhile queue there in order of arrival and delay later ones.
func (q *query) shouldHold(up *trdirectory.Upstream, now time.Time) bool {
	return q.merged() && !q.deadlines.target.IsZero() && !q.missesTarget(now) && q.g.tracker.Stalled(up, now)
}

// hedgeDelay returns the time after which an attempt that is sent now is hedged:
// lateAfter if there is no target. Otherwise the hedge is sent at the latest time at
// which its reply is still expected to meet the objective, within the limits set by
// lateAfter and latestHedgeShare: an earlier one costs work of upstreams and of this
// instance, and most late replies arrive before then.
func (q *query) hedgeDelay(now time.Time) time.Duration {
	if q.deadlines.target.IsZero() {
		return q.lateAfter
	}
	last := q.deadlines.target.Sub(now) - hedgeMedianFactor*q.median - hedgeNetworkTime
	return max(q.lateAfter, min(last, time.Duration(latestHedgeShare*float64(q.route.Objective()))))
}

// hedgeQuorum is the share of the parts of a query that must have a reply before others
// are hedged. If fewer have one, what delays them is common to all, as a shortage of
// processor time of this instance is. Hedges would add to that, and use up the repeats of
// every service. Where half of the upstreams are in a zone that is cut off, the replies of
// the others suffice.
const hedgeQuorum = 0.4

// hedgeDue reports whether a hedge of the part should be sent: its time has come,
// or its upstream is stalled on a request of another query.
func (q *query) hedgeDue(p *part, now time.Time) bool {
	if received, _ := q.countParts(); q.merged() && float64(received) < hedgeQuorum*float64(len(q.parts)) {
		return false
	}
	if target := q.deadlines.target; now.Before(target) && now.Add(q.median/2).After(target) {
		if received, _ := q.countParts(); received >= q.minParts() {
			return false // the hedge's reply would come after the response
		}
	}
	return !now.Before(p.hedgeAt) || p.running == 1 && q.g.tracker.stalledExcept(p.current, p.attemptID, now)
}

// start launches an attempt of a part that has none running. It holds the part if
// its upstream is stalled, and closes it if no attempt is possible.
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

// launchResult is the result of launch.
type launchResult int

const (
	launched launchResult = iota
	heldBack              // the upstream is stalled, or a retry is not due
	refused               // no upstream is available, or no attempt is permitted
)

// launch starts an attempt of a part if that is permitted and useful.
func (q *query) launch(i int) launchResult {
	p := &q.parts[i]
	now := q.now()
	if p.attempts >= maxAttempts || !now.Before(q.deadlines.expiry) || q.interrupted(now) || !q.g.holdsKey(q.req) {
		return refused
	}
	up, wait := q.pick(p, now)
	if up == nil && wait {
		return heldBack
	}
	if up == nil {
		return refused
	}
	if q.shouldHold(up, now) {
		return heldBack
	}
	if p.sent > 0 && !q.g.budget.Spend(p.service, q.g.cfg.Fleet(), now) {
		return refused
	}
	if !slices.Contains(p.asked, up.Key()) {
		p.asked = append(p.asked, up.Key())
	}
	p.current = up
	p.attempts++
	p.sent++
	p.running++
	q.running++
	q.attempts++
	rtt := q.g.tracker.roundTrip(up)
	p.hedgeAt = now.Add(rtt + q.hedgeDelay(now))
	p.attemptID = q.g.startAttempt(q, i, up, now.Add(rtt+q.lateAfter))
	return launched
}

// stopMedianFactor is the number of median latencies that a reply is allowed before the
// instance stops.
const stopMedianFactor = 3

// interrupted reports whether the instance is expected to stop before the reply to an
// attempt that is started now.
func (q *query) interrupted(now time.Time) bool {
	stopAt := q.g.stopAt.Load()
	return stopAt != nil && now.Add(stopMedianFactor*q.median).After(*stopAt)
}

// pick selects the upstream for an attempt of a part: one that was not asked yet,
// or, if the route permits no further one, one that did not run the request. If
// there is none now, it returns nil and reports whether to wait for one.
func (q *query) pick(p *part, now time.Time) (up *trdirectory.Upstream, wait bool) {
	list, drawn := q.permitted(p)
	coldLimited := func(up *trdirectory.Upstream) bool { return q.g.isColdLimited(up, now) }
	if p.yields && p.running == 0 && now.Before(p.retryAt) {
		return nil, true
	}
	if len(p.asked) < max(q.route.Attempts, 1) {
		skip := func(up *trdirectory.Upstream) bool { return slices.Contains(p.asked, up.Key()) || coldLimited(up) }
		if len(drawn) > 0 {
			if up = q.g.tracker.choose(drawn, skip, q.est, now, q.g.randFloat); up != nil {
				return up, false
			}
		}
		if up = q.g.tracker.choose(list, skip, q.est, now, q.g.randFloat); up != nil {
			return up, false
		}
	}
	notRetryable := func(up *trdirectory.Upstream) bool {
		return !slices.Contains(p.asked, up.Key()) || slices.Contains(p.failed, up.Key())
	}
	if p.running > 0 {
		return nil, false
	}
	up = q.g.tracker.choose(list, func(up *trdirectory.Upstream) bool { return notRetryable(up) || coldLimited(up) }, q.est, now, q.g.randFloat)
	if up != nil && now.Before(p.retryAt) {
		return nil, true
	}
	return up, up == nil && q.shouldAwaitPause(p, list, now)
}

// shouldAwaitPause reports whether a part should be held because its remaining
// upstreams are paused and one of them resumes in time: before the target, or, if the
// response needs the part, before the final deadline. It records the end of the pause
// in the part.
func (q *query) shouldAwaitPause(p *part, list []*trdirectory.Upstream, now time.Time) bool {
	mayAskMore := len(p.asked) < max(q.route.Attempts, 1)
	skip := func(up *trdirectory.Upstream) bool {
		return slices.Contains(p.failed, up.Key()) || !mayAskMore && !slices.Contains(p.asked, up.Key())
	}
	at, ok := q.g.tracker.availableAt(list, skip, now)
	if !ok || at.IsZero() {
		p.resumeAt = time.Time{}
		return false
	}
	p.resumeAt = at
	if !q.deadlines.target.IsZero() && q.missesTarget(at) && q.merged() {
		received, open := q.countParts()
		return received+open <= q.minParts() && q.repliesInTime(at)
	}
	return q.repliesInTime(at)
}

// repliesInTime reports whether a request that is sent at the given time is expected to
// be answered before the caller or the route gives up.
func (q *query) repliesInTime(sent time.Time) bool {
	return sent.Add(q.median).Before(q.deadlines.final)
}

// targetOverrun is how long after the target a part may still run, as a multiple of
// the objective. An attempt that starts late is given one objective all the same. A
// late merged response is worth a tenth of a timely one, and work for late queries
// must not keep an overloaded upstream from serving new ones in time.
const targetOverrun = 1.0

// attemptTimeout returns the time that an attempt is given.
func (q *query) attemptTimeout(now time.Time) time.Duration {
	left := q.deadlines.expiry.Sub(now)
	if q.merged() && !q.deadlines.target.IsZero() {
		latest := q.deadlines.target.Add(time.Duration(targetOverrun * float64(q.route.Objective())))
		left = min(left, max(latest.Sub(now), q.route.Objective()))
	}
	return left
}

// startAttempt sends the request of a part to an upstream in a new goroutine and
// returns the ID of the attempt.
func (g *Gateway) startAttempt(q *query, i int, up *trdirectory.Upstream, lateAt time.Time) uint64 {
	id := g.lastAttemptID.Add(1)
	now := q.now()
	left := q.attemptTimeout(now)
	g.tracker.beginAttempt(up, id, q.est, q.stalls, lateAt, now)
	if g.cfg.Versions != nil {
		g.cfg.Versions.Begin(up)
	}
	go func() {
		out := g.send(q, up, left)
		if out.Kind == Answered && out.Reply.OK() {
			g.latency.Record(q.route, max(0, q.now().Sub(out.Sent)-g.tracker.roundTrip(up)))
		}
		now := q.now()
		g.tracker.recordAnnouncements(up, &out, g.randFloat(), now)
		work := g.tracker.endAttempt(up, id, q.est, &out, now)
		g.recordVersion(q, up, &out, now)
		q.results <- result{part: i, up: up, id: id, outcome: out, work: work}
	}()
	return id
}

// send sends the request of a query to an upstream. If the Sender panics or returns a reply
// with an invalid status, the outcome is unknown.
func (g *Gateway) send(q *query, up *trdirectory.Upstream, left time.Duration) (out Outcome) {
	err := trpanic.Do(func() { out = g.cfg.Sender.Send(q.sendCtx, up, q.req, left) })
	if err != nil {
		g.handleEvent(Event{Kind: "Panic", Upstream: up.ID, Zone: up.Zone, Error: err})
		return Outcome{Kind: OutcomeUnknown, Sent: g.now(), Err: err}
	}
	if out.Kind == Answered && !out.Reply.valid() {
		return Outcome{Kind: OutcomeUnknown, Sent: out.Sent, Err: errors.Errorf("reply with invalid status %d", out.Reply.Status)}
	}
	return out
}

// handleResult handles the outcome of an attempt and retries it where permitted.
func (q *query) handleResult(r *result) {
	p := &q.parts[r.part]
	p.running--
	q.running--
	out := &r.outcome
	q.work.add(r.work)
	if p.reply != nil {
		return
	}
	p.err = out.Err
	p.retryAt = q.now().Add(retryBackoff << min(p.attempts, 4))
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
		p.sent-- // did not reach an upstream
	case NotRun:
		p.shed = p.shed || !out.Misdirected
		if !out.Misdirected && out.Pause == 0 {
			q.yieldAfterShed(p, q.now())
		}
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

// accepts reports whether a reply is a valid answer to a part. For a request to
// one upstream that is any reply that is no failure.
func (q *query) accepts(reply *Reply) bool {
	if q.merged() {
		return reply.OK() && reply.Stamp != ""
	}
	return !reply.Failed()
}
