package trrollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trstore"
)

const (
	// StepPeriod is the interval between two steps of a leader.
	StepPeriod = 250 * time.Millisecond
	// leaseTime is the requested time to live of the leader's lease, and renewPeriod the
	// interval at which it is renewed. Two renewals may fail.
	leaseTime   = 3 * time.Second
	renewPeriod = time.Second
	// callTimeout is the time allowed for a call to the store, which answers in 4 ms, or 60
	// times that when it is slow. A step takes up to three in a row, less than leaseTime.
	callTimeout = 600 * time.Millisecond
	// candidatePeriod is the time between two attempts to become the leader, plus as much
	// at random.
	candidatePeriod = 500 * time.Millisecond
	// takeoverTime is how long a new leader waits for the reports of all instances. Until
	// then it raises no share and moves no phase forward.
	takeoverTime = 2 * time.Second
	// writePeriod is the least time between two plans of a service that differ only in the
	// share, and shareChange the least relative difference. With 135 roll-outs at once a
	// leader makes up to 135 of the 1,200 writes per second that the store takes.
	writePeriod = time.Second
	shareChange = 0.2
	// maxCommits is how many transactions run at once.
	maxCommits = 16
	// maxSenders limits the processes whose reports are kept for a service.
	maxSenders = 1024
)

// LeaderConfig holds the settings of a Leader.
type LeaderConfig struct {
	Controller *Controller // of this instance
	Store      trstore.Store
	Documents  Documents
	ApplyTime  time.Duration // within which a plan must be in force everywhere
	// RunTime returns the longest time that a request of a service may run.
	RunTime func(service string) time.Duration
	// Candidate reports whether this instance may become the leader.
	Candidate func() bool
	// Members returns the IDs of the other instances that are connected.
	Members func() []string
	// Send sends plans to all other instances without waiting for them.
	Send func(plans []trdirectory.Plan)
}

// Leader decides on the steps of all roll-outs, while this instance holds the leader key. Its
// methods are safe for concurrent use.
type Leader struct {
	cfg   LeaderConfig
	c     *Controller
	clock trclock.Clock

	mu       sync.Mutex
	reports  map[string]map[sender]*Report // by service
	rollouts map[string]*rollout           // by service

	stepMu  sync.Mutex    // held by Step and Resign, for the following
	term    uint64        // revision of the leader key, 0 if this instance does not lead
	lease   uint64        // ID
	granted time.Duration // time to live of the lease
	until   time.Time     // when the lease ends by the clock of this instance
	keptAt  time.Time     // of the last renewal
	ledFrom time.Time
	nextTry time.Time
	failing atomic.Bool // the last call to the store failed
	leading atomic.Bool
}

// sender identifies a process that reports.
type sender struct {
	id         string
	generation uint64
}

// rollout is the state of one roll-out at the leader.
type rollout struct {
	orderRevision uint64
	target        string
	judge         Judge
	phase         trdirectory.Phase
	takenOver     bool      // from another leader
	since         time.Time // of the phase, by the clock of this instance
	allReported   time.Time // when all instances had confirmed the finishing phase
	writtenAt     time.Time
	known         bool   // whether revision is known
	revision      uint64 // of the plan in the store
	// unsure is set while the store may have completed the roll-out, or may do so later: the
	// old upstreams stop then. Nothing else is put in force before it is written.
	unsure bool
}

// NewLeader returns a leader that does not hold the leader key yet.
func NewLeader(cfg LeaderConfig) *Leader {
	return &Leader{cfg: cfg, c: cfg.Controller, clock: cfg.Controller.cfg.Clock, reports: make(map[string]map[sender]*Report), rollouts: make(map[string]*rollout)}
}

// HandleReports takes the reports of an instance and returns the plans that it lacks.
func (l *Leader) HandleReports(reports []Report) []trdirectory.Plan {
	l.mu.Lock()
	for i := range reports {
		r := &reports[i]
		bySender := l.reports[r.Service]
		if bySender == nil {
			if l.c.of(r.Service) == nil {
				continue // no roll-out is known here
			}
			bySender = make(map[sender]*Report)
			l.reports[r.Service] = bySender
		}
		from := sender{r.From, r.Generation}
		if known := bySender[from]; known == nil && len(bySender) >= maxSenders || known != nil && known.OrderRevision == r.OrderRevision && known.Requests > r.Requests {
			continue // too many, or overtaken on the way
		}
		bySender[from] = r
	}
	l.mu.Unlock()
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	var newer []trdirectory.Plan
	for i := range reports {
		r := &reports[i]
		if s := l.c.states[r.Service]; s != nil && s.plan != nil && s.plan.Supersedes(&trdirectory.Plan{OrderRevision: r.OrderRevision, Sequence: r.Sequence, Phase: r.Phase}) {
			newer = append(newer, *s.plan)
		}
	}
	return newer
}

// Leading reports whether this instance holds the leader key, as far as it knows.
func (l *Leader) Leading() bool { return l.leading.Load() }

// mayWrite reports whether the lease has not run out by the clock of this instance.
func (l *Leader) mayWrite() bool { return l.term != 0 && l.clock.Now().Before(l.until) }

// task is a roll-out that needs the leader.
type task struct {
	service string
	order   *trdirectory.Order // nil if it was removed
	plan    *trdirectory.Plan  // the latest known; nil if there is none
	began   time.Time
	own     Report // of this instance, if it leads
	ro      *rollout
	next    *trdirectory.Plan // to be written; nil if nothing changes
}

// tasks returns the roll-outs that are not over, or whose end is not known to be in the store.
func (l *Leader) tasks() []*task {
	table := l.c.cfg.Tables.Table()
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	var list []*task
	for service, s := range l.c.states {
		current := s.plan != nil && (s.order == nil || s.plan.Follows(s.order))
		if s.order == nil && s.plan == nil || current && s.plan.Phase.Final() && s.plan.Revision > 0 && table.Plan(service) != nil {
			continue
		}
		t := &task{service: service, order: s.order, plan: s.plan, began: s.began}
		if s.plan != nil && l.term != 0 {
			t.own = l.c.report(service, s)
		}
		list = append(list, t)
	}
	return list
}

// Step makes one step: it acquires or renews the leader key if roll-outs need a leader, and
// decides on each of them. A bad verdict is sent to all instances before it is written.
func (l *Leader) Step(ctx context.Context) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	tasks := l.tasks()
	l.forget(tasks)
	if len(tasks) == 0 {
		l.resign(ctx, "no roll-out is open")
		return
	}
	if l.term != 0 {
		l.decideAll(tasks)
	}
	l.holdLease(ctx)
	l.leading.Store(l.mayWrite())
	if !l.mayWrite() {
		return
	}
	slots := make(chan struct{}, maxCommits)
	var wg sync.WaitGroup
	for _, t := range tasks {
		if t.next == nil {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.commit(ctx, t)
		})
	}
	wg.Wait()
}

// forget drops the state of roll-outs that are over.
func (l *Leader) forget(tasks []*task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := func(service string) bool {
		return slices.ContainsFunc(tasks, func(t *task) bool { return t.service == service })
	}
	for service := range l.reports {
		if !open(service) {
			delete(l.reports, service)
		}
	}
	for service := range l.rollouts {
		if !open(service) {
			delete(l.rollouts, service)
		}
	}
}

// decideAll decides on the next plan of each task. Plans that end exposure are in force here and
// sent to the other instances at once, because the store may not answer.
func (l *Leader) decideAll(tasks []*task) {
	var urgent []trdirectory.Plan
	for _, t := range tasks {
		l.decide(t)
		if t.next != nil && t.next.Phase == trdirectory.RolledBack && (t.plan == nil || t.plan.Phase != trdirectory.RolledBack) && !t.ro.unsure {
			urgent = append(urgent, *t.next)
		}
	}
	if len(urgent) > 0 {
		l.c.AdoptPlans(urgent)
		l.cfg.Send(urgent)
	}
}

// decide sets the next plan of a task, if one is due.
func (l *Leader) decide(t *task) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	ro := l.rollouts[t.service]
	follows := t.plan != nil && (t.order == nil || t.plan.Follows(t.order))
	revision, target, over := uint64(0), "", int64(0)
	if follows {
		revision, target, over = t.plan.OrderRevision, t.plan.TargetVersion, t.plan.OverMs
	} else {
		revision, target, over = t.order.Revision, t.order.TargetVersion, t.order.OverMs
	}
	if ro == nil || ro.orderRevision != revision || ro.target != target {
		ro = &rollout{orderRevision: revision, target: target, since: now, takenOver: follows && t.plan.Leader != l.c.cfg.Self}
		l.rollouts[t.service] = ro
	}
	t.ro = ro
	if !l.mayWrite() && !follows {
		return
	}
	if follows && t.plan.Phase.Final() { // not known to be in the store
		if now.Sub(ro.writtenAt) >= writePeriod {
			t.next = t.plan
		}
		return
	}
	next := &trdirectory.Plan{Service: t.service, TargetVersion: target, OrderRevision: revision, Sequence: 1, Phase: trdirectory.Waiting, OverMs: over, Leader: l.c.cfg.Self}
	if !follows {
		next.Excluded = excludedBy(t.plan, target)
		next.Reason = "new order"
		t.next = next
		return
	}
	p := l.progress(t, ro, now)
	if !l.mayWrite() && (p.Verdict != Bad || t.plan.Leader != l.c.cfg.Self) {
		return // another instance may lead; what this one knows to be bad must end all the same
	}
	d := l.c.cfg.Exposure.Step(p.Progress)
	if !p.complete && d.Phase != trdirectory.RolledBack { // reports are missing
		d = Decision{t.plan.Phase, min(d.Share, t.plan.Share), d.Reason}
	}
	next.Sequence, next.Excluded, next.ElapsedMs = t.plan.Sequence+1, t.plan.Excluded, max(0, p.Elapsed.Milliseconds())
	next.Phase, next.Share, next.Reason = d.Phase, d.Share, d.Reason[:min(len(d.Reason), trdirectory.MaxReasonBytes)]
	if next.Phase.Final() {
		next.EndedMs = now.UnixMilli()
		for _, up := range l.c.cfg.Tables.Table().Upstreams(t.service) {
			next.EndedMs = max(next.EndedMs, up.BornMs+1) // clocks may differ
		}
	}
	if due(t.plan, next, now.Sub(ro.writtenAt)) {
		t.next = next
	}
}

// due reports whether a plan differs enough from the current one to be written.
func due(current, next *trdirectory.Plan, age time.Duration) bool {
	switch diff := next.Share - current.Share; {
	case next.Phase != current.Phase || next.Leader != current.Leader:
		return true
	case next.Share == 0 && current.Share > 0:
		return true
	default:
		return age >= writePeriod && max(diff, -diff) > shareChange*current.Share
	}
}

// excludedBy returns the versions that get no requests after an earlier plan, unless a new order
// names them.
func excludedBy(plan *trdirectory.Plan, target string) []string {
	if plan == nil {
		return nil
	}
	list := slices.Clone(plan.Excluded)
	if plan.Phase != trdirectory.Complete {
		list = append(list, plan.TargetVersion)
	}
	list = slices.DeleteFunc(list, func(v string) bool { return v == target })
	slices.Sort(list)
	list = slices.Compact(list)
	return list[max(0, len(list)-trdirectory.MaxExcluded):]
}

// commit writes the next plan of a task.
func (l *Leader) commit(ctx context.Context, t *task) {
	ro := t.ro
	planKey := l.cfg.Documents.PlanKey(t.service)
	if !ro.known {
		stored, ok := l.read(ctx, t, planKey)
		if !ok || stored {
			return // decided again in the next step
		}
	}
	items, err := l.cfg.Documents.Items(t.next)
	if err != nil {
		l.c.emit(Event{Kind: "StoreFailed", Service: t.service, Error: err})
		return
	}
	txn := &trstore.Txn{Expect: []trstore.Expectation{{Key: l.cfg.Documents.LeaderKey(), Revision: l.term}, {Key: planKey, Revision: ro.revision}}, Puts: items}
	callCtx, cancel := trclock.WithTimeout(ctx, l.clock, callTimeout)
	defer cancel()
	revision, err := l.cfg.Store.Commit(callCtx, txn)
	switch {
	case err == nil:
		ro.revision, ro.unsure = revision, false
		l.failing.Store(false)
		l.written(t, t.next, revision)
		return
	case errors.Is(err, trstore.ErrUnknownOutcome):
		ro.unsure = ro.unsure || t.next.Phase == trdirectory.Complete
	case errors.Is(err, trstore.ErrConflict):
		ro.unsure = false // an earlier transaction has run, or its conditions do not hold any more
	}
	ro.known = false
	l.fail(t, err)
}

// read reads the plan of a service back. It reports whether that is the one to be written, and
// whether the store answered.
func (l *Leader) read(ctx context.Context, t *task, planKey string) (stored, ok bool) {
	callCtx, cancel := trclock.WithTimeout(ctx, l.clock, callTimeout)
	defer cancel()
	item, err := l.cfg.Store.Get(callCtx, planKey)
	if err != nil {
		l.fail(t, err)
		return false, false
	}
	t.ro.known, t.ro.revision = true, item.Revision
	if item.Revision == 0 {
		return false, true
	}
	plan, err := l.cfg.Documents.ReadPlan(item)
	if err != nil {
		l.c.emit(Event{Kind: "StoreFailed", Service: t.service, Error: err}) // it is overwritten
		return false, true
	}
	if t.next.Supersedes(plan) && (plan.Sequence != t.next.Sequence || plan.Leader != t.next.Leader || plan.Phase != t.next.Phase) {
		return false, true
	}
	t.ro.unsure = false
	l.written(t, plan, item.Revision)
	return true, true
}

// written puts a plan in force that is in the store.
func (l *Leader) written(t *task, plan *trdirectory.Plan, revision uint64) {
	stored := *plan
	stored.Revision = revision
	t.ro.known, t.ro.writtenAt = true, l.clock.Now()
	l.c.mu.Lock()
	s := l.c.states[t.service]
	changed := false
	if s != nil {
		phase := trdirectory.Phase("")
		if s.plan != nil {
			phase = s.plan.Phase
		}
		if s.plan != nil && s.plan.Revision == 0 && s.plan.OrderRevision == stored.OrderRevision && s.plan.Sequence == stored.Sequence {
			s.plan = nil // the same plan, but now in the store
		}
		l.c.adopt(s, &stored)
		l.c.apply()
		changed = phase != stored.Phase
	}
	l.c.mu.Unlock()
	if changed {
		l.cfg.Send([]trdirectory.Plan{stored})
	}
}

// random returns a random time up to candidatePeriod.
func random() time.Duration { return time.Duration(rand.Int64N(int64(candidatePeriod))) }
