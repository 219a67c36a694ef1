package trserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trmetric"
	"tanagerrock/core/tronce"
	"tanagerrock/core/trpanic"
	"tanagerrock/core/trquery"
	"tanagerrock/core/trroute"
	"tanagerrock/io/trguard"
	"tanagerrock/io/trleaf"
	"tanagerrock/io/trpeer"
	"tanagerrock/io/trplatform"
	"tanagerrock/io/trvars"
)

// senderGroup names the table in the store that records which instance holds each
// sender index. All instances of the fleet share one table; a larger fleet would use one
// per availability zone.
const senderGroup = "fleet"

// budgetBurst is the capacity of each budget: the number of extra sub-queries that may
// be sent at once when the budget is full.
const budgetBurst = 20

// memoryLimitShare is the fraction of the process's memory limit that is set as the Go
// runtime's soft limit. The rest is left for kernel buffers.
const memoryLimitShare = 0.7

// Server is one instance of the query tier. Create it with New.
type Server struct {
	settings *Settings
	options  Options
	log      *logrus.Entry
	clock    trclock.Clock
	started  time.Time // start of the process
	metrics  trmetric.Registry
	totals   totals

	callerListener net.Listener
	peerListener   net.Listener

	configs      trconfig.Controller
	configured   chan struct{} // closed when the first configuration is in force
	platform     *trplatform.Client
	storeClock   *trmember.StoreClock
	absence      *absenceTracker
	decoder      listDecoder
	instanceList listState // the platform's list: instances of the tier and leafs
	group        *trmember.Group
	lease        *trmember.SenderLease
	peerClient   *trpeer.Client
	peerServer   *trpeer.Server
	router       *trroute.Router
	dispatcher   *trroute.Dispatcher
	leafs        *trleaf.Client
	onceTable    *tronce.Table
	claims       *tronce.StoreClaimer
	peers        *peerDirectory
	budgets      *budgets
	admission    *trlimit.Admission
	api          *callerAPI
	handover     handover
	guard        *trguard.Guard
	http         *http.Server
	helloSlots   chan struct{}      // semaphore for hellos in flight
	refreshGroup singleflight.Group // merges concurrent refreshes of a service

	configuredOnce sync.Once
}

// Options replace components of an instance. Load generators and tests use them; the
// serve command runs with the zero value.
type Options struct {
	// DialLeaf dials leafs. Nil dials over TCP.
	DialLeaf func(ctx context.Context, addr string) (net.Conn, error)
	// DialPeer dials other instances. Nil dials over TCP.
	DialPeer func(ctx context.Context, addr string) (net.Conn, error)
	// Picker picks the replica of each attempt. Nil selects trroute.LeastInFlight.
	Picker trroute.Picker
}

// New builds an instance and opens its listeners. Run starts it.
func New(settings *Settings, log *logrus.Logger) (*Server, error) {
	return NewWithOptions(settings, Options{}, log)
}

// NewWithOptions is like New, with the components in options replaced.
func NewWithOptions(settings *Settings, options Options, log *logrus.Logger) (*Server, error) {
	s := &Server{
		settings:   settings,
		options:    options,
		log:        log.WithFields(logrus.Fields{"Instance": settings.InstanceID, "Zone": settings.Zone}),
		helloSlots: make(chan struct{}, maxConcurrentHellos),
		configured: make(chan struct{}),
	}
	s.clock = trclock.Guard(trclock.System(), s.reportPanic)
	s.started = s.clock.Now()
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * settings.MemoryMB * (1 << 20)))
	}
	if settings.Seed == 0 {
		settings.Seed = rand.Uint64()
	}
	s.guard = trguard.New(settings.MemoryMB, s.clock, &s.metrics, s.log)
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.instanceList.apply = s.applyInstances
	s.buildMembership()
	s.buildRouting()
	s.buildOnce()
	s.buildRequestPath()
	s.subscribe()
	s.registerMetrics()
	return s, nil
}

// reportPanic logs and counts a recovered panic.
func (s *Server) reportPanic(err error) {
	s.metrics.Add("Panics", "", 1)
	s.log.WithFields(trpanic.Fields(err)).Error("recovered from a panic")
}

func (s *Server) listen() error {
	var err error
	if s.callerListener, err = net.Listen("tcp", s.settings.CallerAddr); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if s.peerListener, err = net.Listen("tcp", s.settings.PeerAddr); err != nil {
		_ = s.callerListener.Close()
		return errors.Wrap(err, "listen for peers")
	}
	return nil
}

// CallerAddr returns the address that callers and operators use.
func (s *Server) CallerAddr() string { return s.callerListener.Addr().String() }

// PeerAddr returns the address that other instances use.
func (s *Server) PeerAddr() string { return s.peerListener.Addr().String() }

func (s *Server) buildMembership() {
	s.storeClock = new(trmember.StoreClock)
	s.platform = trplatform.New(s.settings.Platform...)
	s.platform.OnStoreTime = s.storeClock.Observe
	s.peerClient = trpeer.NewClient(s.peerConfig())
	s.group = trmember.NewGroup(trmember.Config{
		Self: trmember.Member{
			ID:          s.settings.InstanceID,
			Zone:        s.settings.Zone,
			Addr:        s.CallerAddr(),
			PeerAddr:    s.PeerAddr(),
			SenderIndex: -1,
		},
		Seeds:         s.settings.Seeds,
		Clock:         s.clock,
		Seed:          s.settings.Seed,
		Transport:     s.peerClient,
		StoreClock:    s.storeClock,
		CheckDocument: s.checkDocument,
	})
	s.absence = &absenceTracker{clock: s.clock}
	s.lease = trmember.NewSenderLease(trmember.LeaseConfig{
		Group:      senderGroup,
		Self:       s.group.Self,
		Clock:      s.clock,
		Seed:       s.settings.Seed,
		Store:      leaseStore{s.platform},
		StoreClock: s.storeClock,
		Documents:  s.group.Documents(),
		Instances:  s.absence,
		Policy:     s.fleetPolicy,
		Changed:    s.senderChanged,
	})
}

func (s *Server) peerConfig() trpeer.ClientConfig {
	cfg := trpeer.ClientConfig{Clock: s.clock}
	if s.options.DialPeer != nil {
		cfg.DialOptions = []grpc.DialOption{grpc.WithContextDialer(s.options.DialPeer)}
	}
	return cfg
}

func (s *Server) fleetPolicy() trconfig.FleetPolicy {
	if p := s.configs.Current(); p != nil {
		return *p.Fleet()
	}
	return trconfig.BuiltInDefaults().Fleet
}

func (s *Server) senderChanged(index int, epoch uint64) {
	s.group.Update(func(m *trmember.Member) { m.SenderIndex, m.SenderEpoch = index, epoch })
	s.log.WithFields(logrus.Fields{"SenderIndex": index, "Epoch": epoch}).Info("sender index changed")
}

func (s *Server) buildRouting() {
	s.router = trroute.NewRouter(trroute.Options{
		Zone:      s.settings.Zone,
		Clock:     s.clock,
		Seed:      s.settings.Seed,
		Sender:    s.lease,
		StoreTime: s.storeClock,
		Picker:    s.options.Picker,
		OnNotice: func(leafID, startID string, draining bool, _ time.Duration) {
			s.group.Notices().Observe(leafID, startID, draining)
		},
	})
	s.dispatcher = trroute.NewDispatcher(s.router)
	s.leafs = trleaf.NewClient(trleaf.Options{
		Clock:   s.clock,
		Dial:    s.options.DialLeaf,
		OnHello: s.router.ObserveHello,
		Limits:  s.leafLimits,
		Seed:    s.settings.Seed,
	})
}

// leafLimits returns this sender's share of the connections to a leaf of the service
// and the timeouts for them. It returns no connections while no sender index is held.
func (s *Server) leafLimits(service string) trleaf.Limits {
	policy := s.configs.Current()
	_, count, ok := s.lease.Sender(s.clock.Now())
	if policy == nil || !ok {
		return trleaf.Limits{}
	}
	p := policy.Service(service, s.settings.Zone)
	return trleaf.Limits{
		Connections: max(1, p.Connections/count),
		DialTimeout: time.Duration(p.DialTimeoutMs) * time.Millisecond,
		IdleProbe:   time.Duration(p.IdleProbeMs) * time.Millisecond,
	}
}

func (s *Server) buildOnce() {
	retention := func() time.Duration {
		return time.Duration(s.fleetPolicy().OnceRetentionMs) * time.Millisecond
	}
	s.claims = &tronce.StoreClaimer{
		Store:     &claimStore{client: s.platform, clock: s.clock, mayRunUnclaimed: s.mayRunUnclaimed},
		Clock:     s.clock,
		Retention: retention,
		Instance:  s.settings.InstanceID,
	}
	s.onceTable = tronce.NewTable(tronce.Options{
		Clock:           s.clock,
		Retention:       retention,
		Owner:           fmt.Sprintf("%s/%d", s.settings.InstanceID, s.group.Self().Incarnation),
		Claimer:         s.claims,
		HistoryComplete: s.homeThroughRetention,
		MayHaveRun:      s.lease.MayHaveRun,
	})
}

// homeThroughRetention reports whether this process has been the home of requestID for
// the whole retention period, so that no other process can have run the request. It
// returns false as long as mayRunUnclaimed does.
func (s *Server) homeThroughRetention(requestID string) bool {
	now := s.clock.Now()
	retention := time.Duration(s.fleetPolicy().OnceRetentionMs) * time.Millisecond
	since, ok := s.lease.HeldSince(now)
	if !ok || now.Sub(since) < retention {
		return false
	}
	if !s.mayRunUnclaimed() {
		return false
	}
	tables := s.lease.HomeHistory()
	if len(tables) == 0 || now.Sub(tables[0].Seen) < retention {
		return false
	}
	self := s.group.Self()
	for _, seen := range tables {
		home, ok := seen.Table.Home(requestID)
		if !ok || home.InstanceID != self.ID || home.Incarnation != self.Incarnation {
			return false
		}
	}
	return true
}

// mayRunUnclaimed reports whether requests may run without a claim in the store: only
// once no lease renewal has succeeded for OnceMemoryMs, because the store cannot be
// reached. A home that ends earlier has run nothing unclaimed, so its successor need not
// treat its request IDs as uncertain.
func (s *Server) mayRunUnclaimed() bool {
	renewed, ok := s.lease.LastRenewal()
	limit := time.Duration(s.fleetPolicy().OnceMemoryMs) * time.Millisecond
	return ok && s.clock.Now().Sub(renewed) >= limit
}

func (s *Server) buildRequestPath() {
	s.peers = &peerDirectory{
		clock:   s.clock,
		self:    s.settings.InstanceID,
		zone:    s.settings.Zone,
		configs: &s.configs,
		group:   s.group,
		lease:   s.lease,
		client:  s.peerClient,
	}
	s.budgets = newBudgets()
	s.admission = s.newAdmission()
	engine := &trquery.Engine{
		Clock:      s.clock,
		Instance:   s.settings.InstanceID,
		Zone:       s.settings.Zone,
		Router:     s.router,
		Dispatcher: s.dispatcher,
		Leafs:      leafSender{s.leafs},
		Hedges:     s.budgets.hedges,
		Retries:    s.budgets.retries,
		Repins:     s.budgets.repins,
		NewID:      uuid.NewString,
		Refresh:    s.refreshService,
	}
	serve := trquery.Chain(engine.Serve,
		trquery.Validate(s.clock, &s.configs, uuid.NewString),
		trquery.Report(s.clock, &observer{metrics: &s.metrics, totals: &s.totals, log: s.log}),
		trquery.Forward(s.clock, s.peers),
		trquery.RunOnce(s.onceTable),
		trquery.Admit(s.clock, s.admission),
	)
	s.api = &callerAPI{serve: serve, status: s.status, ready: s.ready, vars: trvars.Handler(&s.metrics)}
	s.http = &http.Server{
		Handler: s.api.mux(), ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: trguard.MaxHeadBytes,
		ConnContext: trguard.ConnContext, ConnState: func(c net.Conn, state http.ConnState) {
			trguard.ConnState(c, state)
			s.api.conns.observe(c, state)
		},
	}
	s.peerServer = trpeer.NewServer(&peerHandler{Group: s.group, serve: serve, handover: &s.handover}, grpc.StatsHandler(trguard.PeerStats{Guard: s.guard}))
	s.peerServer.OnPanic = s.reportPanic
}

// ready reports whether the load balancer should send requests to this instance.
func (s *Server) ready() bool {
	return s.configs.Current() != nil && s.peers.Serving()
}
