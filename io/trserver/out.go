package trserver

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
)

// outPoll is how often an instance looks whether it was taken out. Together with
// the spread of the configuration it stays well within 3 s.
const outPoll = 100 * time.Millisecond

// followOut gives the sender index up while this instance is taken out, so that
// it is the home of no identifier and peers forward nothing to it, and claims an
// index again when it is brought back. It returns when ctx ends.
func (s *Server) followOut(ctx context.Context) {
	released := false
	for trclock.Sleep(ctx, s.clock, outPoll) == nil {
		switch out := s.directory.out(); {
		case out && !released:
			s.awaitIdle(ctx)
			released = s.giveUpIndex() == nil
		case !out && released:
			released = false
			s.lease.Resume()
		}
	}
}

// awaitIdle waits until no admitted request is running, for at most the time of a
// drain. Requests that arrive meanwhile are forwarded.
func (s *Server) awaitIdle(ctx context.Context) {
	ctx, cancel := trclock.WithTimeout(ctx, s.clock, s.drainLimit())
	defer cancel()
	for {
		if running, queued := s.admission.Load(); running+queued == 0 {
			return
		}
		if trclock.Sleep(ctx, s.clock, drainPoll) != nil {
			return
		}
	}
}
