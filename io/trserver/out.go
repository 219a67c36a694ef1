package trserver

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
)

// outPollPeriod is how often an instance checks whether it was taken out of service.
// Including the dissemination of the configuration, an instance is out of service well
// within 3 s.
const outPollPeriod = 100 * time.Millisecond

// releaseWhileOut releases the sender index while this instance is out of service, so
// that it is the home of no request ID and peers forward nothing to it, and claims an
// index again when the instance returns to service. It returns when ctx is done.
func (s *Server) releaseWhileOut(ctx context.Context) {
	released := false
	for trclock.Sleep(ctx, s.clock, outPollPeriod) == nil {
		switch out := s.peers.isOut(); {
		case out && !released:
			s.awaitIdle(ctx)
			released = s.releaseIndex() == nil
		case !out && released:
			released = false
			s.lease.Resume()
		}
	}
}

// awaitIdle waits until no request is running or queued, but no longer than the drain
// timeout. Requests that arrive meanwhile are forwarded to other instances.
func (s *Server) awaitIdle(ctx context.Context) {
	ctx, cancel := trclock.WithTimeout(ctx, s.clock, s.drainTimeout())
	defer cancel()
	for {
		if running, queued := s.admission.Load(); running+queued == 0 {
			return
		}
		if trclock.Sleep(ctx, s.clock, drainPollPeriod) != nil {
			return
		}
	}
}
