package trrollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trstore"
)

// holdLease renews the lease of the leader, or tries to become the leader.
func (l *Leader) holdLease(ctx context.Context) {
	now := l.clock.Now()
	switch {
	case l.term != 0 && now.Sub(l.keptAt) < l.renewAfter() && now.Before(l.until):
	case l.term != 0:
		l.renew(ctx, now)
	case l.cfg.Candidate() && !now.Before(l.nextTry):
		l.nextTry = now.Add(candidatePeriod + random())
		if err := l.acquire(ctx, now); err != nil {
			l.fail(nil, err)
		}
	}
}

// renewAfter returns the interval at which the lease is renewed. The store may grant a shorter lease
// than was requested.
func (l *Leader) renewAfter() time.Duration {
	return min(renewPeriod, time.Duration(float64(l.granted)*float64(renewPeriod)/float64(leaseTime)))
}

// renew renews the lease. If the store does not answer, the lease ends by the clock, and with it
// the right to write; verdicts are still sent to other instances until the store says that the
// lease has ended. Another leader can't have completed a roll-out that this one knows is bad:
// what the store has counts.
func (l *Leader) renew(ctx context.Context, now time.Time) {
	l.keptAt = now
	ctx, cancel := trclock.WithTimeout(ctx, l.clock, callTimeout)
	defer cancel()
	switch err := l.cfg.Store.Keep(ctx, l.lease); {
	case err == nil:
		// The lease may have ended before, and its key with it. Then every write fails.
		l.until = now.Add(l.granted)
		l.failing.Store(false)
	case errors.Is(err, trstore.ErrLeaseEnded):
		l.stepDown("the lease has ended")
	default:
		l.fail(nil, err)
	}
}

// acquire tries to create the leader key under a new lease. The lease counts from before the
// call that created it.
func (l *Leader) acquire(ctx context.Context, now time.Time) error {
	ctx, cancel := trclock.WithTimeout(ctx, l.clock, callTimeout)
	defer cancel()
	key := l.cfg.Documents.LeaderKey()
	held, err := l.cfg.Store.Get(ctx, key)
	if err != nil || held.Revision != 0 {
		return err
	}
	lease, granted, err := l.cfg.Store.Lease(ctx, leaseTime)
	if err != nil {
		return err
	}
	term, err := l.cfg.Store.Commit(ctx, &trstore.Txn{
		Expect: []trstore.Expectation{{Key: key}},
		Puts:   []trstore.Item{{Key: key, Value: []byte(l.c.cfg.Self), LeaseID: lease}},
	})
	if errors.Is(err, trstore.ErrUnknownOutcome) {
		if held, readErr := l.cfg.Store.Get(ctx, key); readErr == nil && held.Revision != 0 && held.LeaseID == lease {
			term, err = held.Revision, nil
		}
	}
	if err != nil {
		if endErr := l.cfg.Store.EndLease(ctx, lease); endErr != nil {
			l.fail(nil, endErr) // it ends by itself
		}
		if errors.Is(err, trstore.ErrConflict) {
			return nil // another instance was faster
		}
		return err
	}
	l.granted = min(granted, leaseTime)
	l.term, l.lease, l.until, l.keptAt, l.ledFrom = term, lease, now.Add(l.granted), now, now
	l.failing.Store(false)
	l.mu.Lock()
	clear(l.rollouts) // of an earlier term
	l.mu.Unlock()
	l.c.emit(Event{Kind: "Leading"})
	return nil
}

// stepDown ends the leadership of this instance.
func (l *Leader) stepDown(reason string) {
	l.term = 0
	l.c.emit(Event{Kind: "NotLeading", Reason: reason})
}

// Resign ends the leadership of this instance, because it stops.
func (l *Leader) Resign(ctx context.Context) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	l.resign(ctx, "the instance stops")
}

// resign ends the lease, so that another instance can lead at once.
func (l *Leader) resign(ctx context.Context, reason string) {
	if l.term == 0 {
		return
	}
	l.stepDown(reason)
	l.leading.Store(false)
	ctx, cancel := trclock.WithTimeout(ctx, l.clock, callTimeout)
	defer cancel()
	if err := l.cfg.Store.EndLease(ctx, l.lease); err != nil {
		l.fail(nil, err) // it ends by itself
	}
}

// fail reports a failed call to the store, for a task if it is not nil, once until one succeeds.
func (l *Leader) fail(t *task, err error) {
	if l.failing.Swap(true) {
		return
	}
	e := Event{Kind: "StoreFailed", Error: err}
	if t != nil {
		e.Service, e.Plan = t.service, t.next
	}
	l.c.emit(e)
}

// reported is the progress of a roll-out, and whether all connected instances have reported on it
// or had the time to.
type reported struct {
	Progress
	complete bool
}

// progress returns the progress of a roll-out from the reports. The caller holds l.mu.
func (l *Leader) progress(t *task, ro *rollout, now time.Time) reported {
	if ro.phase != t.plan.Phase {
		ro.phase, ro.since, ro.allReported = t.plan.Phase, now, time.Time{}
	}
	p := reported{Progress: Progress{
		Phase: t.plan.Phase, Share: t.plan.Share, Elapsed: now.Sub(t.began), Total: time.Duration(t.plan.OverMs) * time.Millisecond,
		InPhase: now.Sub(ro.since), Withdrawn: t.order == nil,
	}}
	replicas := 0
	for _, up := range l.c.cfg.Tables.Table().Upstreams(t.service) {
		if up.Version == t.plan.TargetVersion {
			p.Serving = true
			replicas++
		}
	}
	ro.judge.Replicas = replicas
	all, stopped, running := l.sum(t, &p.Progress, ro)
	p.complete = all || !ro.takenOver || now.Sub(l.ledFrom) >= takeoverTime
	if t.plan.Phase == trdirectory.Finishing {
		if ro.allReported.IsZero() && (all || p.InPhase >= l.cfg.ApplyTime) {
			ro.allReported = now
		}
		p.Finished = !ro.allReported.IsZero() && (all && !running || now.Sub(ro.allReported) >= l.cfg.RunTime(t.service))
	}
	p.Verdict, p.Reason = ro.judge.Decide()
	p.Judged = ro.judge.RepliesSince(ro.since)
	if stopped != "" {
		p.Verdict, p.Reason = Bad, "instance "+stopped+" has seen enough bad replies"
	}
	return p
}

// sum adds up the reports on a roll-out. It reports whether all connected instances have
// confirmed the phase of the plan, which of them has stopped by itself, and whether requests to
// the old version run. The caller holds l.mu.
func (l *Leader) sum(t *task, p *Progress, ro *rollout) (all bool, stopped string, running bool) {
	sums := make(Sums)
	confirmed := make(map[string]bool)
	add := func(r *Report) {
		if r.OrderRevision != t.plan.OrderRevision {
			return
		}
		p.Requests += r.Requests
		p.Exposed += r.Exposed
		for i := range r.Tallies {
			key := r.Tallies[i].Key()
			sums[key] = sums[key].plus(r.Tallies[i].Counts)
		}
		if r.Stopped || r.Phase == trdirectory.RolledBack {
			stopped = r.From
		}
		if r.Phase == t.plan.Phase {
			confirmed[r.From] = true
			running = running || r.RunningOld > 0
		}
	}
	add(&t.own)
	for from, r := range l.reports[t.service] {
		if from.id != l.c.cfg.Self {
			add(r)
		}
	}
	ro.judge.Add(Sample{At: l.clock.Now(), Sums: sums})
	all = true
	for _, id := range l.cfg.Members() {
		all = all && confirmed[id]
	}
	return all, stopped, running
}
