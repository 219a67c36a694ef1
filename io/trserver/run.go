package trserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trintake"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trmember"
)

// releaseTimeout limits the calls that release the sender index and leave the group.
const releaseTimeout = 3 * time.Second

// Run serves until ctx is done, then drains: it reports not-ready, waits for callers'
// connections to close, finishes running requests, releases its sender index and
// leaves the group. It returns an error if a listener failed.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 2)
	defer s.guard.Start()()
	go func() { failed <- errors.Wrap(s.peerServer.Serve(s.guard.PeerListener(s.peerListener)), "serve peers") }()
	go func() {
		if err := s.http.Serve(s.guard.Listener(s.callerListener, trintake.Callers)); !errors.Is(err, http.ErrServerClosed) && !s.api.draining.Load() {
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
	outLoopDone := make(chan struct{})
	go func() {
		defer close(outLoopDone)
		s.releaseWhileOut(serving)
	}()
	stopCatalogScan := s.clock.Every(catalogScanPeriod, s.refreshCatalog)
	defer s.clock.Every(confirmPeriod, s.confirmConfig)()
	defer s.clock.Every(confirmPeriod, s.updateClaimLimit)()
	s.log.WithField("CallerAddr", s.CallerAddr()).Info("instance started")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopServing()
	<-outLoopDone
	s.shutdown()
	stopCatalogScan()
	stopBackground()
	wg.Wait()
	s.leafs.Close()
	s.peerClient.Close()
	return err
}

// startLease starts claiming a sender index once a configuration is in force. Before
// that, the built-in defaults apply, and an index claimed under them may be outside the
// range that the fleet uses.
func (s *Server) startLease(ctx context.Context) {
	select {
	case <-s.configured:
		s.lease.Start()
	case <-ctx.Done():
	}
}

// shutdown stops the instance without aborting requests: it first stops new requests
// from arriving, then waits for running ones, then releases the sender index and leaves
// the group.
func (s *Server) shutdown() {
	s.log.Info("shutdown started")
	s.api.shuttingDown.Store(true)
	s.group.Update(func(m *trmember.Member) { m.NotReady = true })
	_ = trclock.Sleep(context.Background(), s.clock, time.Duration(s.settings.ReadyOffMs)*time.Millisecond)
	ctx, cancel := s.shutdownContext(s.drainTimeout())
	defer cancel()
	if err := s.api.drain(ctx, s.http, s.callerListener); err != nil {
		s.log.WithError(err).Warn("connections of callers were closed at the end of the drain")
	}
	_ = s.releaseIndex() // errors are logged; an unreleased index stays blocked until it is reclaimed
	releaseCtx, cancelRelease := s.shutdownContext(releaseTimeout)
	defer cancelRelease()
	s.group.Leave(releaseCtx)
	// Requests of peers that were held back are still being forwarded to their new home.
	stopCtx, cancelStop := s.shutdownContext(s.drainTimeout())
	defer cancelStop()
	s.peerServer.Stop(stopCtx)
	s.log.Info("shutdown finished")
}

func (s *Server) drainTimeout() time.Duration {
	return time.Duration(s.settings.DrainMs) * time.Millisecond
}

func (s *Server) shutdownContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return trclock.WithTimeout(context.Background(), s.clock, timeout)
}

// releaseIndex releases the sender index after the requests forwarded by peers have
// finished or the drain timeout has passed.
func (s *Server) releaseIndex() error {
	ctx, cancel := s.shutdownContext(s.drainTimeout())
	defer cancel()
	if err := s.handover.hold(ctx); err != nil {
		s.log.WithError(err).Warn("requests forwarded by peers are still running")
	}
	releaseCtx, cancelRelease := s.shutdownContext(releaseTimeout)
	defer cancelRelease()
	if _, err := s.onceTable.Flush(releaseCtx); err != nil {
		s.log.WithError(err).Warn("failed to write the claims of requests that ran while the store was unavailable")
	}
	err := s.lease.Release(releaseCtx)
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
