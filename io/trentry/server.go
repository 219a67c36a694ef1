package trentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trintake"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trmetric"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trguard"
	"tanagerrock/io/trpeer"
	"tanagerrock/io/trupstream"
	"tanagerrock/io/trvars"
)

const (
	// sweepPeriod is the interval at which idle and stale connections are closed.
	sweepPeriod = time.Second
	// failoverTime is the time that load balancers need to notice that an instance is
	// not ready: two checks at intervals of one second, plus the duration of a check.
	failoverTime = 2500 * time.Millisecond
	// isolationCheckPeriod is the interval at which an instance checks whether it
	// reaches other zones. Load balancers check readiness once per second.
	isolationCheckPeriod = 100 * time.Millisecond
	// memoryLimitShare is the fraction of the process's memory limit that is set as the Go
	// runtime's soft limit. The rest is left for kernel buffers.
	memoryLimitShare = 0.7
	// pendingReplyShare is the fraction of the process's memory limit that the medium and
	// the large bytes of incomplete replies of upstreams may take each. A reply is copied as it
	// grows, so they take up to twice as much.
	pendingReplyShare = 0.08
	// minFleetSize is the smallest fleet size assumed when the fleet's limits are
	// divided. An instance that has just started knows too few of its peers.
	minFleetSize = 6
)

// Server is one gateway instance.
type Server struct {
	settings        *Settings // as of the start
	reloader        *settingsReloader
	clock           trclock.Clock
	started         time.Time
	log             *logrus.Logger
	metrics         *trmetric.Registry
	directory       trdirectory.Cache
	storeWatcher    storeWatcher
	watchRole       watchRole
	meeting         *trmember.Meeting // nil if the store cannot be used for it
	group           *trmember.Group
	relays          trgateway.RelaySet
	relayCount      atomic.Int64 // instances that serve queries of others, 0 if this one does not
	relayed         atomic.Int64 // queries of other instances that run here
	currentFleet    atomic.Pointer[trgateway.Fleet]
	peerDirectories documentThrottle // directories and changes received from peers
	wholeDirectory  wholeDirectory   // for instances that cannot be sent changes
	peerClient      *trpeer.Client
	peerServer      *trpeer.Server
	quotas          *traccount.Quotas
	quotaVersion    atomic.Uint64 // of the configuration whose quotas are in force
	upstreams       *trupstream.Client
	guard           *trguard.Guard
	frontend        frontend
	callerServer    *http.Server
	rollouts        *rollouts          // nil if the server rolls out no versions
	stopRequests    context.CancelFunc // cancels frontend.stopCtx
}

// New returns a server that is not listening yet. Run starts it. A store that is a RolloutStore
// is also used to roll out versions, if the settings say so.
func New(settings *Settings, store Store, headers trupstream.Headers, log *logrus.Logger) *Server {
	s := &Server{settings: settings, log: log, metrics: new(trmetric.Registry)}
	s.clock = trclock.Guard(trclock.System(), func(err error) { s.frontend.reportPanic(err) })
	s.started = s.clock.Now()
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * settings.MemoryMB * (1 << 20)))
	}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	s.guard = trguard.New(settings.MemoryMB, s.clock, s.metrics, log)
	s.directory.Clock = s.clock
	s.directory.DrainTime = fromMilliseconds(settings.DrainMs)
	s.peerDirectories = documentThrottle{clock: s.clock, apply: s.adoptPeerDirectories}
	s.wholeDirectory = wholeDirectory{directory: &s.directory, log: log}
	s.peerClient = trpeer.NewClient(trpeer.ClientConfig{})
	s.group = trmember.NewGroup(trmember.Config{
		Self:      trmember.Member{ID: settings.InstanceID, Zone: settings.Zone, Addr: settings.CallerAddr, PeerAddr: settings.PeerAddr, MilliCores: settings.milliCores()},
		Seeds:     settings.Seeds,
		Clock:     s.clock,
		Seed:      seed,
		Transport: s.peerClient,
		// Each zone has a watcher that receives the directory from the store, and
		// traffic between zones is billed.
		PushInZone: true,
		OnJoin:     s.logJoin,
	})
	s.relays = trgateway.RelaySet{Zone: settings.Zone, MilliCores: settings.milliCores()}
	s.updateFleet()
	s.quotas = s.newQuotas(seed)
	s.group.Subscribe(func([]trmember.Member) {
		s.updateFleet()
		s.quotas.MembersChanged()
	})
	s.peerServer = trpeer.NewServer(&peerHandler{Group: s.group, server: s}, grpc.StatsHandler(trguard.PeerStats{Guard: s.guard}))
	s.peerServer.OnPanic = func(err error) { s.frontend.reportPanic(err) }
	s.meeting = s.newMeeting(store, seed)
	s.watchRole = watchRole{
		clock: s.clock, group: s.group, zone: settings.Zone, log: log,
		onExchange: func(zone string, answered bool) {
			s.frontend.gateway.Tracker().RecordPeerExchange(zone, answered, s.clock.Now())
		},
		onConfirmed: s.confirmDirectory, onStoreFailed: s.directory.StoreFailed, lacksDirectory: s.lacksDirectory,
		waitForPeers: settings.FirstStart && !slices.Contains(settings.Seeds, settings.PeerAddr),
	}
	s.storeWatcher = storeWatcher{
		store: store, clock: s.clock, directory: &s.directory, log: log, applyTime: fromMilliseconds(settings.ApplyMs), meeting: s.meeting,
		shouldWatch:    func() bool { return s.watchRole.shouldWatch(s.directory.Table().Configured()) },
		lacksDirectory: s.lacksDirectory,
		zoneSize:       func() int { return s.watchRole.aliveCount(settings.Zone) },
		onWatching: func(watching bool) {
			s.group.Update(func(m *trmember.Member) { m.StoreReachable = watching })
			s.meeting.Reading(watching)
		},
		onFailing: func(failing bool) { s.group.Update(func(m *trmember.Member) { m.StoreFailing = failing }) },
	}
	s.upstreams = &trupstream.Client{
		Clock: s.clock, Headers: headers, MaxConns: s.connectionLimit, Metrics: s.metrics,
		Admit: func(key trdirectory.UpstreamKey, req *trgateway.Request) bool {
			return s.frontend.gateway.Admit(key, req)
		},
		MaxPendingBytes: int64(pendingReplyShare * settings.MemoryMB * (1 << 20)),
	}
	stopCtx, stopRequests := context.WithCancel(context.Background())
	s.stopRequests = stopRequests
	s.frontend = frontend{
		clock: s.clock, directory: &s.directory, headers: headers, log: log, metrics: s.metrics,
		conns: callerConns{clock: s.clock}, stopCtx: stopCtx, logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst),
	}
	s.rollouts = newRollouts(s, store, seed)
	s.frontend.gateway = trgateway.New(trgateway.Config{
		Clock: s.clock, Tables: &s.directory, Sender: s.upstreams, Instance: settings.InstanceID, Zone: settings.Zone, Seed: seed,
		Metrics: s.metrics, Bounds: settings.bounds(), Fleet: s.fleet, OnEvent: s.frontend.logEvent,
		Stale:        func() bool { return !s.directory.ConfirmedWithin(fromMilliseconds(settings.ApplyMs)) },
		FailoverTime: failoverTime, RelaySender: relaySender{s.peerClient, s.clock}, Relays: &s.relays, Quotas: s.quotas, MaxRelayed: settings.maxRelayed(),
		Connections: s.connectionLimit,
		Versions:    s.rollouts.versions(),
	})
	s.callerServer = &http.Server{
		Handler:           s.frontend.handler(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    trguard.MaxHeadBytes,
		ConnContext:       connContext,
		ConnState:         trackState,
	}
	return s
}

// Metrics returns the registry whose metrics the server serves.
func (s *Server) Metrics() *trmetric.Registry { return s.metrics }

// peerHandler handles the messages of other instances.
type peerHandler struct {
	*trmember.Group
	server *Server
}

// Forward refuses every request: gateway instances relay merged queries only.
func (peerHandler) Forward(context.Context, *trpeer.ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	return nil, trwire.Refuse(trwire.NotRun, "a gateway instance takes no forwarded requests")
}

// fleet returns the size of the fleet that shares the limits and this instance's rank
// in it. It is called for each part of a request, so the value is computed only when
// the members change.
func (s *Server) fleet() trgateway.Fleet { return *s.currentFleet.Load() }

// updateFleet recomputes the fleet and the relays from the members. Instances that cannot be
// reached count too, since they may still be serving.
func (s *Server) updateFleet() {
	view := s.group.View()
	fleet := trgateway.Fleet{Unknown: view.Unknown()}
	var relays []trgateway.RelayInstance
	for i := range view.Members {
		m := &view.Members[i]
		if m.State == trmember.Alive && !m.NotReady && m.ID != s.settings.InstanceID {
			relays = append(relays, trgateway.RelayInstance{ID: m.ID, Zone: m.Zone, PeerAddr: m.PeerAddr, MilliCores: m.MilliCores})
		}
		fleet.Size++
		if m.ID < s.settings.InstanceID {
			fleet.Rank++
		}
	}
	fleet.Size = max(fleet.Size, minFleetSize)
	s.currentFleet.Store(&fleet)
	s.relays.Update(relays)
	s.relayCount.Store(int64(countRelays(view.Members, s.settings.milliCores())))
}

// connectionLimit returns this instance's share of the connections that an upstream
// accepts from the whole fleet.
func (s *Server) connectionLimit(up *trdirectory.Upstream) int {
	all := s.directory.Table().Service(up.Service).Connections
	limit := max(1, all/(s.fleet().Size+1))
	if n := int(s.relayCount.Load()); n > 0 {
		limit = max(limit, int(relayConnShare*float64(all))/(n+1))
	}
	return limit
}

// Run serves until ctx is done, then drains. It returns an error if a listener cannot
// be opened or fails.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 4)
	go func() {
		failed <- errors.Wrap(s.peerServer.Serve(s.guard.PeerListener(listeners.peers)), "serve peers")
	}()
	go s.serveHTTP(s.callerServer, s.frontend.conns.listener(s.guard.Listener(listeners.callers, trintake.Callers)), failed)
	defer s.guard.Start()()
	go s.serveHTTP(internalServer(s.readyHandler()), s.guard.Listener(listeners.ready, trintake.Internal), failed)
	if listeners.metrics != nil {
		go s.serveHTTP(internalServer(s.metricsHandler()), s.guard.Listener(listeners.metrics, trintake.Internal), failed)
	}
	s.shareDirectory()
	s.group.Start()
	var wg sync.WaitGroup
	wg.Go(func() { s.storeWatcher.run(background) })
	defer s.frontend.gateway.StartProbes()()
	defer s.clock.Every(isolationCheckPeriod, func(time.Time) { s.checkIsolation() })()
	defer s.clock.Every(syncPeriod, func(time.Time) { s.watchRole.sync(background) })()
	defer s.rollouts.start(background)()
	defer s.reloader.start(background)()
	defer s.startMeeting(background)()
	stopSweep := s.clock.Every(sweepPeriod, func(time.Time) { s.sweep() })
	s.log.WithFields(logrus.Fields{"InstanceID": s.settings.InstanceID, "Zone": s.settings.Zone, "Seeds": s.settings.Seeds}).Info("instance started")

	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	s.drain(ctx, listeners.callers)
	stopSweep()
	s.quotas.Close()
	stopBackground()
	wg.Wait()
	s.upstreams.Close()
	s.peerClient.Close()
	s.log.Info("instance stopped")
	return err
}

// internalServer returns a server for health checks or operators.
func internalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: trguard.Handler(h), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: trguard.MaxHeadBytes,
		ConnContext: trguard.ConnContext, ConnState: trguard.ConnState,
	}
}

// listeners are the sockets of a server. metrics is nil if it is not configured.
type listeners struct{ callers, ready, peers, metrics net.Listener }

// listen opens the listeners.
func (s *Server) listen() (*listeners, error) {
	l := new(listeners)
	for _, each := range []struct {
		dst  *net.Listener
		addr string
	}{
		{&l.callers, s.settings.CallerAddr}, {&l.ready, s.settings.ReadyAddr},
		{&l.peers, s.settings.PeerAddr}, {&l.metrics, s.settings.MetricsAddr},
	} {
		if each.addr == "" {
			continue
		}
		nl, err := net.Listen("tcp", each.addr)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		*each.dst = nl
	}
	return l, nil
}

// serveHTTP serves l and sends an error to failed unless the server was closed or is
// draining.
func (s *Server) serveHTTP(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !s.frontend.drain.started() {
		failed <- errors.Wrapf(err, "serve %s", l.Addr())
	}
}

// sweep closes idle connections of callers and connections to upstreams that are no
// longer needed, and drops the state of removed upstreams.
func (s *Server) sweep() {
	s.updateFleet() // concurrent member changes may have stored an outdated fleet
	table := s.directory.Table()
	s.upstreams.Sweep(table.Known)
	s.frontend.gateway.Tracker().Retain(table.Known, s.clock.Now())
	idle := defaultIdleTimeout
	if ms := table.Limits.IdleTimeoutMs; ms > 0 {
		idle = milliseconds(ms)
	}
	s.frontend.conns.closeIdle(idle + idleGrace)
}

// checkIsolation diverts callers to other zones while this instance reaches none of
// them: it is then not ready, and its responses close their connections. Idle
// connections are closed as well once load balancers send new ones elsewhere.
func (s *Server) checkIsolation() {
	isolatedFor := s.frontend.gateway.IsolatedFor()
	isolated := isolatedFor > 0
	if s.frontend.isolated.Swap(isolated) != isolated {
		s.log.WithField("Isolated", isolated).Warn("reach of other availability zones changed")
	}
	if isolatedFor > failoverTime {
		s.frontend.conns.closeIdle(0)
	}
}

// readyHandler serves readiness checks. An instance is ready if it has a configuration,
// knows which zones it reaches, and is neither draining nor isolated.
func (s *Server) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// ready reports whether load balancers should send callers to this instance.
func (s *Server) ready() bool {
	return !s.frontend.drain.started() && s.directory.Table().Configured() &&
		s.frontend.gateway.ReachabilityKnown() && !s.frontend.isolated.Load()
}

// metricsHandler registers the server's gauges and serves all metrics and the status.
func (s *Server) metricsHandler() http.Handler {
	s.metrics.Gauge("DirectoryRevision", func() int64 { return int64(s.directory.Revision()) })
	s.metrics.Gauge("StoreEra", func() int64 { return int64(trdirectory.EraOf(s.directory.Revision())) })
	s.metrics.Gauge("ConfigVersion", func() int64 { return int64(s.directory.Table().Version) })
	s.metrics.Gauge("Instances", func() int64 { return int64(len(s.group.Members())) })
	s.metrics.Gauge("LeavingUpstreams", func() int64 { return int64(s.frontend.gateway.Tracker().LeavingUpstreams()) })
	s.metrics.Gauge("PausedUpstreams", func() int64 { return int64(s.frontend.gateway.Tracker().PausedUpstreams()) })
	s.metrics.Gauge("SlowUpstreams", func() int64 { return int64(s.frontend.gateway.Tracker().SlowUpstreams(s.clock.Now())) })
	s.metrics.Gauge("QueueTrustPercent", func() int64 {
		queue, _ := s.frontend.gateway.Tracker().ReportTrust()
		return int64(100 * queue)
	})
	s.metrics.Gauge("PaceTrustPercent", func() int64 {
		_, pace := s.frontend.gateway.Tracker().ReportTrust()
		return int64(100 * pace)
	})
	s.metrics.Gauge("RunningRequests", func() int64 { return int64(s.frontend.drain.count()) })
	if s.rollouts != nil {
		s.metrics.Gauge("OpenRollouts", s.rollouts.open)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", trvars.Handler(s.metrics))
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	return mux
}
