package trentry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trmember"
)

const (
	// exitMargin is the time kept between the end of a drain and the forced kill.
	exitMargin = 600 * time.Millisecond
	// takeShare is the share of the grace period in which a stopping instance still
	// takes requests. Load balancers need up to failoverTime to send callers elsewhere.
	// Requests that come later are refused as not run, because there would be too
	// little time left to complete them.
	takeShare = 0.45
	// drainRetry is when a caller may retry if the instance stops. Its new connection
	// leads to another instance.
	drainRetry = 20 * time.Millisecond
	// stopReason is the reason of responses to requests that a drain refuses or cancels.
	stopReason = "instance stops"
	// quietTime is how long an instance that refuses requests must have had no connection
	// before it stops listening. Closing the listener resets connections that are not
	// accepted yet.
	quietTime = 300 * time.Millisecond
	// drainPoll is the interval at which a drain checks the running requests.
	drainPoll = 20 * time.Millisecond
	// maxFinalPolls bounds the polls for canceled requests to finish their responses.
	maxFinalPolls = 10
)

// drainPlan holds the times of a graceful shutdown.
type drainPlan struct {
	closeIdleFrom time.Time // when idle connections of callers begin to be closed
	takeUntil     time.Time // when new requests begin to be refused
	end           time.Time // when requests still running are canceled
}

// newDrainPlan returns the plan for a shutdown that began at a time and is followed by
// a forced kill after grace.
func newDrainPlan(began time.Time, grace time.Duration) drainPlan {
	take := time.Duration(takeShare * float64(grace))
	return drainPlan{
		closeIdleFrom: began.Add(min(failoverTime, take)),
		takeUntil:     began.Add(take),
		end:           began.Add(max(grace-exitMargin, take)),
	}
}

// drainState holds the number of running requests and the plan of a drain. The zero
// value is that of an instance that is not draining.
type drainState struct {
	mu       sync.Mutex
	draining bool
	plan     drainPlan
	running  int
}

// requestStarted counts a request as running until requestDone is called.
func (d *drainState) requestStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
}

func (d *drainState) requestDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

func (d *drainState) start(plan drainPlan) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining, d.plan = true, plan
}

// started reports whether the drain has started.
func (d *drainState) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// refuses reports whether a request that was read now must be refused.
func (d *drainState) refuses(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining && !now.Before(d.plan.takeUntil)
}

// count returns the number of running requests.
func (d *drainState) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// drain shuts the instance down gracefully. It stops being ready, takes requests until
// load balancers have moved its callers and refuses later ones. Callers' connections
// are closed as they become idle. Running requests may finish until the end of the plan.
func (s *Server) drain(ctx context.Context, callers net.Listener) {
	began := s.clock.Now()
	plan := newDrainPlan(began, fromMilliseconds(s.settings.GraceMs))
	s.log.WithField("Cause", context.Cause(ctx)).Info("drain started")
	s.frontend.drain.start(plan)
	s.frontend.gateway.StopAt(plan.end)
	s.group.Update(func(m *trmember.Member) { m.NotReady = true })
	s.sleep(plan.closeIdleFrom.Sub(s.clock.Now()))
	busyAt := plan.takeUntil
	for now := s.clock.Now(); now.Before(plan.end) && now.Sub(busyAt) < quietTime; now = s.clock.Now() {
		s.frontend.conns.closeIdle(0)
		if now.After(busyAt) && s.frontend.drain.count()+s.frontend.conns.count() > 0 {
			busyAt = now
		}
		s.sleep(drainPoll)
	}
	_ = callers.Close() // refuse new connections
	canceled := s.frontend.drain.count()
	s.stopRequests() // requests still running are answered with an error now
	for i := 0; s.frontend.drain.count() > 0 && i < maxFinalPolls; i++ {
		s.sleep(drainPoll)
	}
	s.sleep(drainPoll) // let the last bytes of responses be sent
	leave, cancel := trclock.WithTimeout(context.Background(), s.clock, exitMargin/4)
	defer cancel()
	s.group.Leave(leave)
	s.log.WithFields(logrus.Fields{"TookMs": s.clock.Now().Sub(began).Milliseconds(), "Canceled": canceled}).Info("drain finished")
}

// sleep blocks for d on the server's clock.
func (s *Server) sleep(d time.Duration) {
	// The background context is never canceled.
	_ = trclock.Sleep(context.Background(), s.clock, d)
}
