package trrollout

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

// Choice says which upstreams of a service an attempt may use.
type Choice int

// Choices. Where all requests go to one version, all choices mean that one.
const (
	Regular Choice = iota // those that get requests which were not drawn for the target version
	Drawn                 // those of the target version
)

// Event is a step of a roll-out, for the log.
type Event struct {
	Kind    string // Plan, Leading, NotLeading, StoreFailed or Stopped
	Service string
	Plan    *trdirectory.Plan // that came into force, or could not be written
	Reason  string
	Error   error
}

// Config holds the settings of a Controller.
type Config struct {
	Self   string // ID of this instance
	Clock  trclock.Clock
	Tables interface{ Table() *trdirectory.Table }
	// Confirmed reports whether the directory is known to agree with the store, or did at
	// most twice the time ago in which a change must be in force.
	Confirmed func() bool
	Exposure  Exposure
	Seed      uint64
	OnEvent   func(Event) // called for each event, if set; must not block
}

// Controller applies the plans of roll-outs at one instance and counts the replies. Its methods
// are safe for concurrent use.
type Controller struct {
	cfg        Config
	generation uint64
	rules      atomic.Pointer[map[string]*rules] // by service; nil if there are no roll-outs

	mu     sync.Mutex
	rnd    *rand.Rand
	states map[string]*state // by service
}

// state is what an instance knows and has counted since an order.
type state struct {
	order      *trdirectory.Order // nil if it was removed
	plan       *trdirectory.Plan  // the latest known, perhaps of an earlier order
	began      time.Time          // of the order, by the clock of this instance
	target     string             // version to which the counts refer
	requests   uint64
	exposed    uint64
	runningOld int
	counts     Sums
	stopped    bool
	leader     string    // takes the reports
	reported   time.Time // of the last report
	changed    bool      // since the last report
}

// rules say which upstreams of a service get requests.
type rules struct {
	target   string
	phase    trdirectory.Phase
	share    float64
	excluded []string // versions
	complete *trdirectory.Plan
	ordered  bool
}

// NewController returns a controller. Update must be called after each change of the table.
func NewController(cfg Config) *Controller {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	return &Controller{cfg: cfg, rnd: rnd, generation: rnd.Uint64() >> 1, states: make(map[string]*state)}
}

func (c *Controller) emit(e Event) {
	if c.cfg.OnEvent != nil {
		c.cfg.OnEvent(e)
	}
}

// Update applies the orders and plans of the current table.
func (c *Controller) Update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.cfg.Tables.Table()
	for service, order := range table.Orders() {
		c.state(service).setOrder(order, c.cfg.Clock.Now())
	}
	for service, plan := range table.Plans() {
		c.adopt(c.state(service), plan)
	}
	for service, s := range c.states {
		if order := table.Order(service); order == nil {
			s.order = nil
			if s.plan == nil {
				delete(c.states, service)
			}
		}
	}
	c.apply()
}

// AdoptPlans adopts plans that another instance has sent, as far as they are newer. They
// reach this instance even if the store does not answer.
func (c *Controller) AdoptPlans(plans []trdirectory.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range plans {
		if s := c.states[plans[i].Service]; s != nil { // others have neither an order nor a plan here
			c.adopt(s, &plans[i])
		}
	}
	c.apply()
}

// state returns the state of a service. The caller holds mu.
func (c *Controller) state(service string) *state {
	s := c.states[service]
	if s == nil {
		s = new(state)
		c.states[service] = s
	}
	return s
}

// setOrder starts the counts anew if the order is a new one.
func (s *state) setOrder(order *trdirectory.Order, now time.Time) {
	known := s.order
	s.order = order
	if known != nil && (known.Revision == order.Revision || s.plan != nil && s.plan.Follows(known) && s.plan.Follows(order)) {
		return
	}
	s.began, s.target, s.requests, s.exposed, s.counts, s.stopped, s.changed = now, order.TargetVersion, 0, 0, make(Sums), false, true
}

// adopt makes a plan the current one of a service, if it is newer. The caller holds mu.
func (c *Controller) adopt(s *state, plan *trdirectory.Plan) {
	if s.plan == nil || plan.OrderRevision == s.plan.OrderRevision && plan.Sequence > s.plan.Sequence {
		s.leader, s.changed = plan.Leader, true // also of a plan that is not adopted: the leader must learn why
	}
	if !plan.Supersedes(s.plan) {
		return
	}
	news := s.plan == nil || s.plan.Phase != plan.Phase || s.plan.OrderRevision != plan.OrderRevision
	s.plan, s.leader, s.changed = plan, plan.Leader, true
	if s.order != nil && plan.Follows(s.order) {
		began := c.cfg.Clock.Now().Add(-time.Duration(plan.ElapsedMs) * time.Millisecond)
		if s.began.IsZero() || began.Before(s.began) {
			s.began = began
		}
	}
	if news {
		c.emit(Event{Kind: "Plan", Service: plan.Service, Plan: plan, Reason: plan.Reason})
	}
}

// apply computes the rules of all services. The caller holds mu.
func (c *Controller) apply() {
	if len(c.states) == 0 {
		c.rules.Store(nil)
		return
	}
	all := make(map[string]*rules, len(c.states))
	for service, s := range c.states {
		all[service] = s.rules()
	}
	c.rules.Store(&all)
}

// rules returns the rules that follow from the order and the plan.
func (s *state) rules() *rules {
	r := &rules{ordered: s.order != nil, phase: trdirectory.Waiting}
	if s.plan != nil {
		r.excluded = slices.Clone(s.plan.Excluded)
		if s.plan.Phase == trdirectory.Complete {
			r.complete = s.plan
		} else {
			r.excluded = append(r.excluded, s.plan.TargetVersion)
		}
	}
	if s.order == nil {
		return r
	}
	r.target = s.order.TargetVersion
	r.excluded = slices.DeleteFunc(r.excluded, func(v string) bool { return v == r.target })
	switch current := s.plan != nil && s.plan.Follows(s.order); {
	case !current || s.stopped && s.plan.Phase != trdirectory.Complete:
	case s.plan.Phase == trdirectory.Exposing:
		r.phase, r.share = trdirectory.Exposing, s.plan.Share
	default:
		r.phase = s.plan.Phase
	}
	return r
}

// of returns the rules of a service, nil if it has no roll-out.
func (c *Controller) of(service string) *rules {
	if all := c.rules.Load(); all != nil {
		return (*all)[service]
	}
	return nil
}

// permits reports whether an upstream may get requests of a choice.
func (c *Controller) permits(r *rules, up *trdirectory.Upstream, choice Choice) bool {
	switch isTarget := r.target != "" && up.Version == r.target; {
	case r.phase == trdirectory.Complete:
		return isTarget || !r.complete.Replaces(up, true) && !slices.Contains(r.excluded, up.Version)
	case r.phase == trdirectory.Finishing && c.cfg.Confirmed():
		return isTarget
	case isTarget:
		return choice == Drawn && r.phase == trdirectory.Exposing && r.share > 0 && c.cfg.Confirmed()
	case r.complete != nil && r.complete.Replaces(up, r.ordered):
		return false
	default:
		return choice == Regular && !slices.Contains(r.excluded, up.Version)
	}
}

// Draw decides for a part of a request whether its first attempt goes to the target version.
func (c *Controller) Draw(service string) bool {
	r := c.of(service)
	if r == nil || r.phase != trdirectory.Exposing || r.share == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.Float64() < r.share
}

// Filter returns the upstreams of a list, all of one service, that may get requests of a
// choice. The list is not modified.
func (c *Controller) Filter(service string, list []*trdirectory.Upstream, choice Choice) []*trdirectory.Upstream {
	r := c.of(service)
	if r == nil {
		return list
	}
	var permitted []*trdirectory.Upstream
	for _, up := range list {
		if c.permits(r, up, choice) {
			permitted = append(permitted, up)
		}
	}
	return permitted
}

// Admit reports whether a request may be written to an upstream now, and counts it then.
func (c *Controller) Admit(up *trdirectory.Upstream) bool {
	r := c.of(up.Service)
	if r == nil {
		return true
	}
	if !c.permits(r, up, Regular) && !c.permits(r, up, Drawn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.states[up.Service]; s != nil {
		s.requests++
		if up.Version == s.target {
			s.exposed++
		}
		s.changed = true
	}
	return true
}

// Begin counts a request to an upstream as running, until Record.
func (c *Controller) Begin(up *trdirectory.Upstream) { c.countRunning(up, 1) }

func (c *Controller) countRunning(up *trdirectory.Upstream, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.states[up.Service]; s != nil && up.Version != s.target {
		s.runningOld = max(0, s.runningOld+n)
		s.changed = true
	}
}

// Record records the end of a request to an upstream, and the observation if there is one. An
// instance that has seen enough bad replies itself stops to send any to the target version.
func (c *Controller) Record(up *trdirectory.Upstream, route string, o *Observation) {
	c.countRunning(up, -1)
	if o == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[up.Service]
	if s == nil || s.order == nil || s.plan != nil && s.plan.Phase.Final() && s.plan.Follows(s.order) {
		return
	}
	key := TallyKey{Upstream: up.Key(), Route: route, Target: up.Version == s.target}
	if _, ok := s.counts[key]; !ok && len(s.counts) >= MaxTallies {
		return
	}
	count := s.counts[key]
	count.Add(*o)
	s.counts[key], s.changed = count, true
	if !key.Target || s.stopped || !o.Failed && o.Ratio < slowFactor {
		return
	}
	var judge Judge
	judge.Add(Sample{At: c.cfg.Clock.Now(), Sums: s.counts})
	if verdict, reason := judge.Decide(); verdict == Bad {
		s.stopped = true
		c.apply()
		c.emit(Event{Kind: "Stopped", Service: up.Service, Reason: reason})
	}
}

const (
	// ReportPeriod is the interval at which an instance reports what has changed.
	ReportPeriod = 250 * time.Millisecond
	// idleReportPeriod is that at which it reports, although nothing has changed.
	idleReportPeriod = time.Second
)

// Reports returns the reports that are due, by the ID of the leader to which they go.
func (c *Controller) Reports() map[string][]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	var due map[string][]Report
	for service, s := range c.states {
		if s.order == nil || s.plan == nil || !s.plan.Follows(s.order) || s.plan.Phase.Final() && s.plan.Revision > 0 || !s.changed && now.Sub(s.reported) < idleReportPeriod {
			continue
		}
		if due == nil {
			due = make(map[string][]Report)
		}
		due[s.leader] = append(due[s.leader], c.report(service, s))
		s.changed, s.reported = false, now
	}
	return due
}

// report returns the report of a service. The caller holds mu.
func (c *Controller) report(service string, s *state) Report {
	r := Report{
		From: c.cfg.Self, Generation: c.generation, Service: service, OrderRevision: s.plan.OrderRevision, Sequence: s.plan.Sequence,
		Phase: s.plan.Phase, Requests: s.requests, Exposed: s.exposed, RunningOld: s.runningOld, Stopped: s.stopped,
	}
	if r.Phase == trdirectory.Finishing && !c.cfg.Confirmed() {
		r.Phase = trdirectory.Waiting // which is what it does
	}
	for key, count := range s.counts {
		r.Tallies = append(r.Tallies, Tally{UpstreamID: key.Upstream.ID, BornMs: key.Upstream.BornMs, Route: key.Route, Target: key.Target, Counts: count})
	}
	return r
}

// Plans returns the latest known plans, by service.
func (c *Controller) Plans() []trdirectory.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	var plans []trdirectory.Plan
	for _, s := range c.states {
		if s.plan != nil {
			plans = append(plans, *s.plan)
		}
	}
	slices.SortFunc(plans, func(a, b trdirectory.Plan) int { return strings.Compare(a.Service, b.Service) })
	return plans
}
