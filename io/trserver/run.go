package trserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trmember"
)

// releaseTimeout bounds the calls to the store at the end of a shutdown.
const releaseTimeout = 3 * time.Second

// Run serves until ctx ends, then drains: it reports not-ready, lets callers'
// connections end, finishes running requests, gives up its sender index and
// leaves the group. It returns an error if a listener failed.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(s.peerServer.Serve(s.peers), "serve peers") }()
	go func() {
		if err := s.http.Serve(s.callers); !errors.Is(err, http.ErrServerClosed) && !s.api.draining.Load() {
			failed <- errors.Wrap(err, "serve callers")
		}
	}()
	s.group.Start()
	var wg sync.WaitGroup
	wg.Go(func() { s.startLease(background) })
	for _, loop := range []func(context.Context){s.watchConfig, s.watchInstances, s.flushClaims} {
		wg.Go(func() { loop(background) })
	}
	serving, stopServing := context.WithCancel(background)
	defer stopServing()
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		s.followOut(serving)
	}()
	stopHellos := s.clock.Every(helloPeriod, s.refreshCatalog)
	defer s.clock.Every(confirmPeriod, s.confirmConfig)()
	defer s.clock.Every(confirmPeriod, s.shareClaims)()
	s.log.WithField("CallerAddr", s.CallerAddr()).Info("instance started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopServing()
	<-followed
	s.shutdown()
	stopHellos()
	stopBackground()
	wg.Wait()
	s.leafs.Close()
	s.peerClient.Close()
	return err
}

// startLease claims a sender index once a configuration is in force. Under the
// built-in defaults the claim could be for an index that the fleet does not have.
func (s *Server) startLease(ctx context.Context) {
	select {
	case <-s.configured:
		s.lease.Start()
	case <-ctx.Done():
	}
}

// shutdown ends the process's work in an order that cuts no request: first new
// requests stop coming, then running ones end, then the rights are given up.
func (s *Server) shutdown() {
	s.log.Info("shutdown started")
	s.api.leaving.Store(true)
	s.group.Update(func(m *trmember.Member) { m.NotReady = true })
	_ = trclock.Sleep(context.Background(), s.clock, time.Duration(s.settings.ReadyOffMs)*time.Millisecond)
	ctx, cancel := s.shutdownLimit(s.drainLimit())
	defer cancel()
	if err := s.api.drain(ctx, s.http, s.callers); err != nil {
		s.log.WithError(err).Warn("connections of callers were closed at the end of the drain")
	}
	_ = s.giveUpIndex() // logged; the index stays blocked for a time
	end, cancelEnd := s.shutdownLimit(releaseTimeout)
	defer cancelEnd()
	s.group.Leave(end)
	// Requests of peers that were held are still on their way to their new home.
	stop, cancelStop := s.shutdownLimit(s.drainLimit())
	defer cancelStop()
	s.peerServer.Stop(stop)
	s.log.Info("shutdown finished")
}

func (s *Server) drainLimit() time.Duration {
	return time.Duration(s.settings.DrainMs) * time.Millisecond
}

func (s *Server) shutdownLimit(limit time.Duration) (context.Context, context.CancelFunc) {
	return trclock.WithTimeout(context.Background(), s.clock, limit)
}

// giveUpIndex releases the sender index once no request of a peer runs here.
func (s *Server) giveUpIndex() error {
	ctx, cancel := s.shutdownLimit(s.drainLimit())
	defer cancel()
	if err := s.handover.hold(ctx); err != nil {
		s.log.WithError(err).Warn("requests of peers are still running")
	}
	end, cancelEnd := s.shutdownLimit(releaseTimeout)
	defer cancelEnd()
	if _, err := s.once.Flush(end); err != nil {
		s.log.WithError(err).Warn("claims made without the store were not written")
	}
	err := s.lease.Release(end)
	if err != nil {
		s.log.WithError(err).Warn("sender index was not released")
	}
	s.handover.resume(err == nil)
	return err
}

func (s *Server) newAdmission() *trlimit.Admission {
	p := trconfig.BuiltInDefaults().Fleet
	return trlimit.NewAdmission(trlimit.AdmissionOptions{Clock: s.clock, MaxInFlight: p.MaxInFlight, MaxQueued: p.MaxQueued})
}

func (s *Server) applyAdmission(p *trconfig.Policy) {
	s.admission.SetLimits(p.Fleet().MaxInFlight, p.Fleet().MaxQueued)
}
