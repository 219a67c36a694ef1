package traccount

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// aheadTime is the time for which an instance holds credit ahead of need: many round trips
	// between zones, and short beside creditTime.
	aheadTime = 200 * time.Millisecond
	// aheadRate is the rate of an account at an instance, in requests per second, from which it
	// holds credit ahead of need. Below it, the allowance suffices.
	aheadRate = 2
	// maxSpreadWindows bounds the time over which callers that are refused are spread, in
	// windows.
	maxSpreadWindows = 4
	// maxAsks bounds the requests to the owner that are under way for an account. A single one
	// would let some requests wait for two round trips.
	maxAsks = 4
)

// account is the credit of a client account at this instance.
type account struct {
	name  string
	slot  int
	quota quota

	credit      int // requests
	creditUntil time.Time
	pending     []time.Time         // requests admitted by the allowance that no owner has covered yet
	reportAfter time.Time           // when to report them again if there is nothing else to ask for
	aheadAfter  time.Time           // when to ask for credit ahead of need again
	back        int                 // credit to return
	waiters     []chan error        // of requests for which the owner has not been asked yet
	waiting     map[chan error]bool // of requests that wait, asked for or not
	asks        int                 // requests to the owner that are under way
	reporting   int                 // the first of pending, which one of them reports

	limitedUntil time.Time // when the owner has credit again
	saidAt       time.Time // when it said so
	limited      bool      // requests were refused within the last window
	lastRefused  time.Time
	uses, denied meter
	admitted     *atomic.Int64
	refused      *atomic.Int64
}

// meter estimates a rate over about a window.
type meter struct {
	count float64
	at    time.Time
}

// add counts n events at a time and returns the events of the last window, older ones less.
func (m *meter) add(n float64, window time.Duration, now time.Time) float64 {
	if !m.at.IsZero() {
		m.count *= math.Exp(-max(now.Sub(m.at), 0).Seconds() / window.Seconds())
	}
	m.at = now
	m.count += n
	return m.count
}

// answer ends the waiting of a request, and reports whether it still waited.
func (a *account) answer(wait chan error, err error) bool {
	if !a.waiting[wait] {
		return false
	}
	delete(a.waiting, wait)
	wait <- err
	return true
}

// admitAll admits all waiting requests, because the account has no limit any more.
func (a *account) admitAll() {
	for w := range a.waiting {
		a.answer(w, nil)
	}
	a.waiters = nil
}

// expire returns the credit that was not used in time to the owner.
func (a *account) expire(now time.Time) {
	if a.credit == 0 || now.Before(a.creditUntil) {
		return
	}
	if now.Sub(a.creditUntil) < creditTime {
		a.back += a.credit
	}
	a.credit = 0
}

// uncovered returns the requests of the last window that no owner has covered. Older ones need no
// credit any more: no window has them together with a later request.
func (a *account) uncovered(window time.Duration, now time.Time) int {
	if a.reporting == 0 {
		a.pending = slices.DeleteFunc(a.pending, func(at time.Time) bool { return now.Sub(at) > window })
	}
	n := 0
	for _, at := range a.pending {
		if now.Sub(at) <= window {
			n++
		}
	}
	return n
}

// Permit allows one request. The zero value is valid for requests without a quota.
type Permit struct {
	q    *Quotas
	a    *account
	used time.Time
}

// Return returns the credit of a request that never reached an upstream. It must be called at most
// once. Credit that is older than creditTime is lost: used again, it would count in a later window.
func (p Permit) Return() {
	if p.q == nil {
		return
	}
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	now := p.q.cfg.Clock.Now()
	if now.Sub(p.used) < creditTime {
		p.a.back++
		p.q.ask(p.a, now)
	}
}

// Acquire permits a request of an account, or returns a *LimitError. It waits for the owner of the
// account if this instance has no credit, at most maxPatience and patienceShare of the objective
// (0 if there is none), and returns the error of ctx if that ends first.
func (q *Quotas) Acquire(ctx context.Context, of *trdirectory.Account, objective time.Duration) (Permit, error) {
	if of.PerSecond <= 0 {
		return Permit{}, nil
	}
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	if !q.running { // the configuration has just come into force
		q.owner.configure(q.version, []trdirectory.Account{*of})
		q.start()
	}
	a := q.account(of)
	wait, err := q.admit(a, now)
	q.mu.Unlock()
	if wait != nil {
		err = q.await(ctx, a, wait, objective)
	}
	if err != nil {
		return Permit{}, err
	}
	a.admitted.Add(1)
	return Permit{q, a, now}, nil
}

// account returns the state of an account. A changed quota ends the credit that was granted under
// the previous one. The caller holds mu.
func (q *Quotas) account(of *trdirectory.Account) *account {
	a := q.accounts[of.Name]
	if a == nil {
		a = &account{
			name: of.Name, slot: slotOf(of.Name), quota: quotaOf(of), waiting: make(map[chan error]bool),
			admitted: q.cfg.Metrics.Counter("QuotaAdmitted", of.Name), refused: q.cfg.Metrics.Counter("QuotaRefused", of.Name),
		}
		q.accounts[of.Name] = a
	}
	if a.quota != quotaOf(of) {
		a.quota, a.credit, a.limitedUntil = quotaOf(of), 0, time.Time{}
	}
	return a
}

// admit decides about a request. If it has to wait, admit returns the channel that gets the
// result. The caller holds mu.
func (q *Quotas) admit(a *account, now time.Time) (wait chan error, err error) {
	window := q.cfg.Bounds.window()
	switch {
	case now.Before(a.limitedUntil):
		return nil, q.refuse(a, now)
	case a.credit > 0 && now.Before(a.creditUntil):
		a.credit--
	case q.ownerOf(a).ID != q.cfg.Instance && a.uncovered(window, now) < q.allowance(a, now):
		a.pending = append(a.pending, now)
	case len(a.waiting) >= maxWaiters || q.unreachable(a, now):
		return nil, q.refuseUnknown(a, now)
	default:
		wait = make(chan error, 1)
		a.waiters = append(a.waiters, wait)
		a.waiting[wait] = true
	}
	if wait == nil {
		a.uses.add(1, window, now)
	}
	q.ask(a, now)
	return wait, nil
}

// allowance returns the number of requests of an account that this instance may admit in a window
// without credit of an owner. A process that has just started may follow one that has used it.
func (q *Quotas) allowance(a *account, now time.Time) int {
	if q.fleet.counters == 0 || q.fleet.joined.IsZero() || !q.cfg.FirstStart && !q.fleet.young && now.Sub(q.started) < q.cfg.Bounds.window() {
		return 0
	}
	return q.cfg.Bounds.allowance(a.quota, q.fleet.counters, q.fleet.covered)
}

// await waits for the result of a request.
func (q *Quotas) await(ctx context.Context, a *account, wait chan error, objective time.Duration) error {
	select {
	case err := <-wait: // this instance owns the account
		return err
	default:
	}
	q.cfg.Metrics.Add("QuotaWaits", a.name, 1)
	patience := maxPatience
	if objective > 0 {
		patience = min(patience, time.Duration(patienceShare*float64(objective)))
	}
	timeout, cancel := trclock.WithTimeout(ctx, q.cfg.Clock, patience)
	defer cancel()
	select {
	case err := <-wait:
		return err
	case <-timeout.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case err := <-wait:
		return err // it has arrived meanwhile
	default:
	}
	if i := slices.Index(a.waiters, wait); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	delete(a.waiting, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return q.refuseUnknown(a, q.cfg.Clock.Now())
}

// refuse returns the error for a request of an account at its limit. Callers are spread over the
// time in which the account gets as much credit as was refused. The caller holds mu.
func (q *Quotas) refuse(a *account, now time.Time) *LimitError {
	window := q.cfg.Bounds.window()
	a.refused.Add(1)
	a.lastRefused = now
	spread := a.denied.add(1, window, now) / max(a.uses.add(0, window, now), 1) * window.Seconds()
	spread = min(spread, maxSpreadWindows*window.Seconds())
	wait := max(a.limitedUntil.Sub(now), time.Millisecond)
	if !a.limited {
		a.limited = true
		q.event(Event{
			Kind: AtLimit, Account: a.name, Owner: q.ownerOf(a).ID, PerSecond: a.quota.rate, Burst: a.quota.burst,
			Refused: a.refused.Load(), Wait: wait, Age: now.Sub(a.saidAt),
		})
	}
	return &LimitError{Account: a.name, AtLimit: true, RetryAfter: wait + time.Duration(q.rnd.Float64()*spread*float64(time.Second))}
}

// refuseUnknown returns the error for a request whose owner does not answer. The caller holds mu.
func (q *Quotas) refuseUnknown(a *account, now time.Time) *LimitError {
	q.cfg.Metrics.Add("QuotaUnknown", a.name, 1)
	h := &q.shares[a.slot]
	return &LimitError{Account: a.name, RetryAfter: max(h.until.Sub(now), 0) + unknownRetry}
}

// ownerOf returns the owner that this instance asks for credit of an account. The caller holds mu.
func (q *Quotas) ownerOf(a *account) Member {
	h := &q.shares[a.slot]
	if h.target.ID == "" {
		q.chooseTarget(a.slot, q.cfg.Clock.Now())
	}
	if h.holder == q.cfg.Instance {
		return Member{ID: q.cfg.Instance}
	}
	return h.target
}

// unreachable reports whether requests should not wait for the owner.
func (q *Quotas) unreachable(a *account, now time.Time) bool {
	m := q.ownerOf(a)
	return m.ID != q.cfg.Instance && q.peer(m.ID).doubtful(now)
}

// review reports what has not been debited, and that an account is below its limit again. The
// caller holds mu.
func (q *Quotas) review(a *account, now time.Time) {
	window := q.cfg.Bounds.window()
	a.expire(now)
	if a.limited && now.Sub(a.lastRefused) >= window {
		a.limited = false
		q.event(Event{
			Kind: BelowLimit, Account: a.name, Owner: q.ownerOf(a).ID, PerSecond: a.quota.rate, Burst: a.quota.burst,
			Refused: a.refused.Load(), Age: now.Sub(a.saidAt),
		})
	}
	a.uncovered(window, now)
	q.ask(a, now)
}

// nextItem returns what to report and ask for, or nil.
func (q *Quotas) nextItem(a *account, now time.Time) *CreditItem {
	a.expire(now)
	it := &CreditItem{
		Account: a.name, PerSecond: a.quota.rate, Burst: a.quota.burst,
		Want: len(a.waiters), Held: a.credit, Back: a.back,
	}
	if a.reporting == 0 {
		it.Debit = len(a.pending)
	}
	window := q.cfg.Bounds.window()
	if rate := a.uses.add(0, window, now) / window.Seconds(); a.asks == 0 && rate >= aheadRate && !now.Before(a.aheadAfter) {
		if ahead := int(math.Ceil(rate * aheadTime.Seconds())); 2*a.credit <= ahead {
			it.Ahead = min(ahead-a.credit, maxCount)
		}
	}
	if it.Want+it.Ahead+it.Back == 0 && (it.Debit == 0 || now.Before(a.reportAfter)) {
		return nil
	}
	return it
}

// ask sends what there is to report and ask for to the owner, unless too much is under way. The
// caller holds mu.
func (q *Quotas) ask(a *account, now time.Time) {
	if a.asks >= maxAsks {
		return
	}
	it := q.nextItem(a, now)
	if it == nil {
		return
	}
	m := q.ownerOf(a)
	self := m.ID == q.cfg.Instance
	if !self && q.peer(m.ID).doubtful(now) && it.Want == 0 {
		return // until the owner has answered a lease
	}
	waiters := a.waiters
	a.waiters, a.back, a.reporting = nil, 0, a.reporting+it.Debit
	req := &CreditRequest{From: q.cfg.Instance, Version: q.version, Items: []CreditItem{*it}}
	if self {
		g := &q.owner.handle(req).Grants[0]
		// The share of this instance says little about an account that another one should own.
		g.AtLimit = g.AtLimit && q.shares[a.slot].target.ID == q.cfg.Instance
		q.apply(a, it, waiters, g, now, now)
		return
	}
	a.asks++
	go q.callAsk(a, m, req, waiters, now)
}

// callAsk sends a request for an account and handles the reply.
func (q *Quotas) callAsk(a *account, m Member, req *CreditRequest, waiters []chan error, sent time.Time) {
	ctx, cancel := trclock.WithTimeout(context.Background(), q.cfg.Clock, maxPatience)
	defer cancel()
	reply, err := q.call(ctx, m, req)
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	a.asks--
	it := &req.Items[0]
	if err != nil || len(reply.Grants) != 1 || reply.Grants[0].Account != a.name {
		if it.Debit > 0 {
			a.reporting = 0 // review reports again
		}
		for _, w := range waiters {
			if a.waiting[w] {
				a.answer(w, q.refuseUnknown(a, now))
			}
		}
		return
	}
	q.apply(a, it, waiters, &reply.Grants[0], sent, now)
	q.ask(a, now)
}

// apply applies the grant of an owner. waiters are the requests that it was asked for. The caller
// holds mu.
func (q *Quotas) apply(a *account, it *CreditItem, waiters []chan error, g *CreditGrant, sent, now time.Time) {
	if it.Debit > 0 {
		covered := min(it.Debit-g.Uncovered, len(a.pending))
		if g.NoShare {
			covered = 0 // an owner of an earlier version does not set Uncovered
		}
		a.pending, a.reporting = slices.Delete(a.pending, 0, max(covered, 0)), 0
		if covered < it.Debit {
			q.cfg.Metrics.Add("QuotaUncovered", a.name, int64(it.Debit-covered))
			a.reportAfter = now.Add(max(unknownRetry, time.Duration(g.WaitMs)*time.Millisecond))
		}
	}
	if g.Ahead < it.Ahead {
		a.aheadAfter = now.Add(aheadTime)
	}
	a.saidAt = now
	if g.AtLimit {
		a.limitedUntil = now.Add(time.Duration(g.WaitMs) * time.Millisecond)
	}
	granted := min(g.Granted, it.Want)
	unused := granted + min(g.Ahead, it.Ahead)
	for _, w := range waiters {
		switch {
		case !a.waiting[w]: // it has left
		case granted > 0 && a.answer(w, nil):
			granted--
			unused--
			a.uses.add(1, q.cfg.Bounds.window(), now)
		case g.AtLimit:
			a.answer(w, q.refuse(a, now))
		default:
			a.answer(w, q.refuseUnknown(a, now))
		}
	}
	if unused > 0 && sent.Add(creditTime).After(now) && it.PerSecond == a.quota.rate && it.Burst == a.quota.burst {
		a.expire(now)
		a.credit += unused
		a.creditUntil = sent.Add(creditTime)
	}
}
