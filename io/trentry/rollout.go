package trentry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trpanic"
	"tanagerrock/core/trrollout"
	"tanagerrock/core/trstore"
	"tanagerrock/io/trpeer"
)

const (
	// rolloutCallTimeout is the time allowed for a message about roll-outs. A later report
	// has the same counts, and plans also come with the directory.
	rolloutCallTimeout = time.Second
	// maxPlanCalls is how many instances a plan is sent to at once.
	maxPlanCalls = 16
	// minRollbackTime is the shortest RollbackMs that is kept where nothing fails: a report,
	// a step of the leader and the spread of a plan, with as much again for slow instances.
	minRollbackTime = 1500 * time.Millisecond
)

// RolloutStore is implemented by stores that can be used to roll out versions. Without it, a
// server rolls out nothing.
type RolloutStore interface {
	trstore.Store
	trrollout.Documents
}

// rollouts is the part of a server that rolls out versions. A nil one does nothing.
type rollouts struct {
	controller *trrollout.Controller
	leader     *trrollout.Leader
	server     *Server
}

// newRollouts returns the roll-outs of a server, nil if the settings or the store have none.
func newRollouts(s *Server, store Store, seed uint64) *rollouts {
	if !s.settings.RolloutsEnabled() {
		return nil
	}
	rolloutStore, ok := store.(RolloutStore)
	if !ok {
		s.log.Error("the store cannot be used to roll out versions; orders are ignored")
		return nil
	}
	if s.settings.RollbackMs < inMilliseconds(minRollbackTime) {
		s.log.WithField("RollbackMs", s.settings.RollbackMs).Warn("a bad version may get requests for longer than RollbackMs")
	}
	applyTime := fromMilliseconds(s.settings.ApplyMs)
	r := &rollouts{server: s}
	r.controller = trrollout.NewController(trrollout.Config{
		Self: s.settings.InstanceID, Clock: s.clock, Tables: &s.directory, Seed: seed, OnEvent: r.logEvent,
		Exposure:  trrollout.Exposure{Share: s.settings.ExposeShare, Slack: s.settings.ExposeSlack},
		Confirmed: func() bool { return s.directory.ConfirmedWithin(2 * applyTime) },
	})
	r.leader = trrollout.NewLeader(trrollout.LeaderConfig{
		Controller: r.controller, Store: rolloutStore, Documents: rolloutStore, ApplyTime: applyTime, RunTime: r.runTime,
		Candidate: func() bool { return s.group.Self().StoreReachable && !s.frontend.drain.started() },
		Members:   r.members, Send: r.send,
	})
	return r
}

// versions returns the filter of upstreams for the gateway, nil if there is none.
func (r *rollouts) versions() trgateway.Versions {
	if r == nil {
		return nil
	}
	return r.controller
}

// update applies the orders and plans of the directory.
func (r *rollouts) update() {
	if r != nil {
		r.controller.Update()
	}
}

// start starts the steps and reports. The returned function stops them and ends the leadership.
func (r *rollouts) start(ctx context.Context) (stop func()) {
	if r == nil {
		return func() {}
	}
	stopSteps := r.server.clock.Every(trrollout.StepPeriod, func(time.Time) { r.leader.Step(ctx) })
	stopReports := r.server.clock.Every(trrollout.ReportPeriod, func(time.Time) { r.report(ctx) })
	return func() {
		stopSteps()
		stopReports()
		r.leader.Resign(context.Background())
	}
}

// open returns the number of roll-outs whose plan is not final.
func (r *rollouts) open() int64 {
	n := int64(0)
	for _, plan := range r.controller.Plans() {
		if !plan.Phase.Final() {
			n++
		}
	}
	return n
}

// alive returns the other instances that are connected.
func (r *rollouts) alive() []trmember.Member {
	return slices.DeleteFunc(slices.Clone(r.server.group.Members()), func(m trmember.Member) bool {
		return m.State != trmember.Alive || m.ID == r.server.settings.InstanceID
	})
}

func (r *rollouts) members() []string {
	var ids []string
	for _, m := range r.alive() {
		ids = append(ids, m.ID)
	}
	return ids
}

// report sends the reports that are due.
func (r *rollouts) report(ctx context.Context) {
	due := r.controller.Reports()
	if len(due) == 0 {
		return
	}
	for _, m := range r.alive() {
		if reports := due[m.ID]; len(reports) > 0 {
			r.call(ctx, m, &trpeer.RolloutMessage{Reports: reports})
		}
	}
}

// call sends a message to an instance and adopts the plans in the reply.
func (r *rollouts) call(ctx context.Context, m trmember.Member, message *trpeer.RolloutMessage) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	reply, err := r.server.peerClient.Rollout(ctx, m.PeerAddr, message)
	if err != nil {
		r.server.metrics.Add("RolloutMessages", "Failed", 1)
		r.server.log.WithError(err).WithFields(logrus.Fields{"Instance": m.ID, "Reports": len(message.Reports), "Plans": len(message.Plans)}).Debug("message about roll-outs failed")
		return
	}
	r.server.metrics.Add("RolloutMessages", "Sent", 1)
	r.controller.AdoptPlans(reply.Plans)
}

// send sends plans to all connected instances, without waiting.
func (r *rollouts) send(plans []trdirectory.Plan) {
	members := r.alive()
	next := make(chan trmember.Member, len(members))
	for _, m := range members {
		next <- m
	}
	close(next)
	for range min(maxPlanCalls, len(members)) {
		go func() {
			for m := range next {
				if err := trpanic.Do(func() { r.call(context.Background(), m, &trpeer.RolloutMessage{Plans: plans}) }); err != nil {
					r.server.frontend.reportPanic(err)
				}
			}
		}()
	}
}

// runTime returns the longest time that a request of a service may run: the time-out of its
// routes, but not more than an upstream has to drain.
func (r *rollouts) runTime(service string) time.Duration {
	limit := fromMilliseconds(r.server.settings.DrainMs)
	d := r.server.directory.Directory()
	if d.Config == nil {
		return limit
	}
	longest := time.Duration(0)
	for i := range d.Config.Routes {
		route := &d.Config.Routes[i]
		serves := slices.Contains(route.Shards, service) || slices.ContainsFunc(route.Split, func(p trdirectory.WeightedService) bool { return p.Service == service })
		switch {
		case serves && route.Timeout() == 0:
			return limit
		case serves:
			longest = max(longest, route.Timeout())
		}
	}
	return min(longest, limit)
}

// logEvent logs a step of a roll-out. Lines beyond the rate limit are dropped and counted.
func (r *rollouts) logEvent(e trrollout.Event) {
	s := r.server
	s.metrics.Add("RolloutEvents", e.Kind, 1)
	if !s.frontend.logLimiter.Allow() {
		s.metrics.Add("DroppedLines", "", 1)
		return
	}
	entry := s.log.WithFields(logrus.Fields{"Event": e.Kind, "Service": e.Service, "Reason": e.Reason})
	if e.Plan != nil {
		entry = entry.WithFields(logrus.Fields{
			"TargetVersion": e.Plan.TargetVersion, "Phase": e.Plan.Phase, "Share": e.Plan.Share, "Leader": e.Plan.Leader,
			"Sequence": e.Plan.Sequence, "PlanAfterMs": e.Plan.ElapsedMs, "OrderRevision": e.Plan.OrderRevision,
		})
	}
	if e.Error != nil {
		entry.WithError(e.Error).Warn("roll-out")
		return
	}
	entry.Info("roll-out")
}

// Rollout implements trpeer.RolloutHandler.
func (h peerHandler) Rollout(_ context.Context, m *trpeer.RolloutMessage) (*trpeer.RolloutMessage, error) {
	r := h.server.rollouts
	if r == nil {
		return nil, status.Error(codes.Unimplemented, "this instance takes no part in roll-outs")
	}
	r.controller.AdoptPlans(m.Plans)
	return &trpeer.RolloutMessage{Plans: r.leader.HandleReports(m.Reports)}, nil
}
