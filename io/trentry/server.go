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

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trmetric"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trpeer"
	"tanagerrock/io/trupstream"
)

const (
	// documentDirectory names the directory among the documents of the group.
	documentDirectory = "directory"
	// sweepPeriod is the time between searches for connections to close.
	sweepPeriod = time.Second
	// readyOff is the time in which balancers notice that an instance is not
	// ready: two checks, one a second, and the time of a check.
	readyOff = 2500 * time.Millisecond
	// exitMargin is kept between the end of a drain and the kill.
	exitMargin = 600 * time.Millisecond
	// drainPoll is the time between looks at the running requests of a drain.
	drainPoll = 20 * time.Millisecond
	// lastPolls is how often a drain looks for the last answers to be written.
	lastPolls = 10
	// isolationPeriod is the time between looks at the reach of other zones.
	// Balancers check readiness once a second.
	isolationPeriod = 100 * time.Millisecond
	// memoryShare of the permitted memory is the soft limit of the runtime. The
	// rest holds buffers of the kernel.
	memoryShare = 0.7
	// adoptPeriod is the least time between directories adopted from others. The
	// watchers of all zones bring them as often as upstreams change; reading one of
	// 640 upstreams takes an instance with a fifth of a core some 10 ms, in which
	// no request is served. Changes must apply within 3 s.
	adoptPeriod = 400 * time.Millisecond
	// assumedFleet is the least number of instances that share the limits of the
	// fleet. An instance that has just started knows of too few others.
	assumedFleet = 6
)

// Server is one gateway instance.
type Server struct {
	settings *Settings
	clock    trclock.Clock
	log      *logrus.Logger
	metrics  *trmetric.Registry
	keeper   trdirectory.Cache
	follower follower
	duty     watchDuty
	group    *trmember.Group
	sharing  atomic.Pointer[trgateway.Fleet]
	learned  pacer // directories of other instances
	peers    *trpeer.Client
	server   *trpeer.Server
	upstream *trupstream.Client
	front    front
	callers  *http.Server
	stop     context.CancelFunc // of running requests
}

// New returns a server that does not listen yet.
func New(settings *Settings, store Store, headers trupstream.Headers, log *logrus.Logger) *Server {
	s := &Server{settings: settings, clock: trclock.System(), log: log, metrics: new(trmetric.Registry)}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB<<20)))
	}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	s.keeper.Clock = s.clock
	s.learned = pacer{clock: s.clock, use: s.adoptDocument}
	s.peers = trpeer.NewClient(trpeer.ClientConfig{})
	s.group = trmember.NewGroup(trmember.Config{
		Self:      trmember.Member{ID: settings.InstanceID, Zone: settings.Zone, Addr: settings.CallerAddr, PeerAddr: settings.PeerAddr},
		Seeds:     slices.DeleteFunc(slices.Clone(settings.Seeds), func(a string) bool { return a == settings.PeerAddr }),
		Clock:     s.clock,
		Seed:      seed,
		Transport: s.peers,
		// A watcher of each zone learns the directory from the store, and bytes
		// between zones are priced.
		PushInZone: true,
	})
	s.countFleet()
	s.group.Subscribe(func([]trmember.Member) { s.countFleet() })
	s.server = trpeer.NewServer(&peerHandler{s.group})
	s.duty = watchDuty{
		clock: s.clock, group: s.group, zone: settings.Zone, log: log,
		heard: func(zone string, answered bool) {
			s.front.gateway.Tracker().RecordPeerExchange(zone, answered, s.clock.Now())
		},
		joins: settings.FirstStart && !slices.Contains(settings.Seeds, settings.PeerAddr),
	}
	s.follower = follower{
		store: store, clock: s.clock, keeper: &s.keeper, log: log,
		needed:   func() bool { return s.duty.needed(s.keeper.Table().Configured()) },
		zoneSize: func() int { return s.duty.size(settings.Zone) },
		onReach:  func(ok bool) { s.group.Update(func(m *trmember.Member) { m.StoreReachable = ok }) },
	}
	s.upstream = &trupstream.Client{
		Clock: s.clock, Headers: headers, Limit: s.connectionLimit, Metrics: s.metrics,
		Usable: func(key trdirectory.UpstreamKey) bool { return s.keeper.Table().Usable(key) },
	}
	stopping, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.front = front{
		clock: s.clock, keeper: &s.keeper, headers: headers, log: log, metrics: s.metrics,
		conns: callerConns{clock: s.clock}, stopping: stopping, lines: rate.NewLimiter(linesPerSecond, linesBurst),
	}
	s.front.gateway = trgateway.New(trgateway.Config{
		Clock: s.clock, Tables: &s.keeper, Sender: s.upstream, Instance: settings.InstanceID, Zone: settings.Zone, Seed: seed,
		Metrics: s.metrics, Bounds: settings.bounds(), Fleet: s.fleet, OnEvent: s.front.note,
		FailoverTime: readyOff,
	})
	s.callers = &http.Server{
		Handler:           s.front.handler(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       connContext,
		ConnState:         observe,
	}
	return s
}

// peerHandler receives the messages of other instances.
type peerHandler struct{ *trmember.Group }

// Forward refuses: instances of a gateway send to upstreams themselves.
func (peerHandler) Forward(context.Context, *trpeer.ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	return nil, trwire.Refuse(trwire.NotRun, "a gateway instance takes no forwarded requests")
}

// fleet returns the instances that share limits. It is asked for each part of a
// request, so it is counted when the members change.
func (s *Server) fleet() trgateway.Fleet { return *s.sharing.Load() }

// countFleet counts all instances that are known, also those that cannot be
// reached, since they may serve on.
func (s *Server) countFleet() {
	fleet := trgateway.Fleet{}
	members := s.group.Members()
	for i := range members {
		m := &members[i]
		if m.State == trmember.Left {
			continue
		}
		fleet.Size++
		if m.ID < s.settings.InstanceID {
			fleet.Rank++
		}
	}
	fleet.Size = max(fleet.Size, assumedFleet)
	s.sharing.Store(&fleet)
}

// connectionLimit returns this instance's share of an upstream's connections.
func (s *Server) connectionLimit(up *trdirectory.Upstream) int {
	all := s.keeper.Table().Service(up.Service).Connections
	return max(1, all/(s.fleet().Size+1))
}

// Run serves until ctx ends, then drains. It returns an error if a listener
// cannot be opened or fails.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 4)
	go func() { failed <- errors.Wrap(s.server.Serve(listeners.peers), "serve peers") }()
	go s.serveHTTP(s.callers, s.front.conns.listener(listeners.callers), failed)
	ready := &http.Server{Handler: s.readyHandler(), ReadHeaderTimeout: headerTimeout}
	go s.serveHTTP(ready, listeners.ready, failed)
	if listeners.metrics != nil {
		metrics := &http.Server{Handler: s.metricsHandler(), ReadHeaderTimeout: headerTimeout}
		go s.serveHTTP(metrics, listeners.metrics, failed)
	}
	s.shareDirectory()
	s.group.Start()
	var wg sync.WaitGroup
	wg.Go(func() { s.follower.run(background) })
	defer s.front.gateway.StartProbes()()
	defer s.clock.Every(isolationPeriod, func(time.Time) { s.checkIsolation() })()
	defer s.clock.Every(syncPeriod, func(time.Time) { s.duty.sync(background) })()
	stopSweep := s.clock.Every(sweepPeriod, func(time.Time) { s.sweep() })
	s.log.WithFields(logrus.Fields{"InstanceID": s.settings.InstanceID, "Zone": s.settings.Zone, "Seeds": s.settings.Seeds}).Info("instance started")

	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	s.drain(ctx, listeners.callers)
	stopSweep()
	stopBackground()
	wg.Wait()
	s.upstream.Close()
	s.peers.Close()
	s.log.Info("instance stopped")
	return err
}

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (s *Server) listen() (*listeners, error) {
	l := new(listeners)
	for _, each := range []struct {
		at   *net.Listener
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
		*each.at = nl
	}
	return l, nil
}

func (s *Server) serveHTTP(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !s.front.drain.started() {
		failed <- errors.Wrapf(err, "serve %s", l.Addr())
	}
}

// shareDirectory passes directories on between the store and the other
// instances: what one learns, all know, also those that the store refuses.
func (s *Server) shareDirectory() {
	documents := s.group.Documents()
	s.keeper.OnAdopt = func(d *trdirectory.Directory) {
		if held, ok := documents.Get(documentDirectory); ok && held.Revision >= d.Revision {
			return
		}
		body, err := d.Encode()
		if err != nil {
			s.log.WithError(err).Error("directory cannot be encoded; other instances do not learn it from here")
			return
		}
		documents.Set(trmember.Document{Name: documentDirectory, Revision: d.Revision, Body: body})
	}
	documents.Subscribe(documentDirectory, s.learned.offer)
}

// adoptDocument puts the directory of another instance in force.
func (s *Server) adoptDocument(doc trmember.Document) {
	if doc.Revision <= s.keeper.Revision() {
		return
	}
	d, err := trdirectory.Decode(doc.Body)
	if err != nil {
		s.log.WithError(err).Warn("directory of another instance cannot be read")
		return
	}
	if s.keeper.Adopt(d) {
		s.log.WithFields(logrus.Fields{"Revision": d.Revision, "Source": "peer"}).Info("directory adopted")
	}
}

// pacer passes the latest of the documents offered to it on, at most one in
// adoptPeriod. The zero value with a clock and use is ready to use.
type pacer struct {
	clock trclock.Clock
	use   func(trmember.Document)

	mu      sync.Mutex
	used    time.Time          // when a document was passed on last
	waiting *trmember.Document // to be passed on by a timer that is set
}

func (p *pacer) offer(doc trmember.Document) {
	now := p.clock.Now()
	p.mu.Lock()
	set := p.waiting != nil
	wait := p.used.Add(adoptPeriod).Sub(now)
	if set || wait > 0 {
		if !set || doc.Revision > p.waiting.Revision {
			p.waiting = &doc
		}
		p.mu.Unlock()
		if !set {
			p.clock.After(wait, func(now time.Time) { p.passOn(now) })
		}
		return
	}
	p.used = now
	p.mu.Unlock()
	p.use(doc)
}

func (p *pacer) passOn(now time.Time) {
	p.mu.Lock()
	doc := *p.waiting
	p.waiting, p.used = nil, now
	p.mu.Unlock()
	p.use(doc)
}

// sweep closes connections that are of no more use.
func (s *Server) sweep() {
	s.countFleet() // changes at the same time may have been counted in the wrong order
	table := s.keeper.Table()
	s.upstream.Sweep(table.Known)
	s.front.gateway.Tracker().Retain(table.Known)
	idle := defaultIdleTimeout
	if ms := table.Limits.IdleTimeoutMs; ms > 0 {
		idle = milliseconds(ms)
	}
	s.front.conns.closeIdle(idle + idleSlack)
}

// checkIsolation lets callers go to other zones while this instance reaches
// none of them. Connections on which callers would return here are closed as
// soon as balancers lead new ones elsewhere.
func (s *Server) checkIsolation() {
	since := s.front.gateway.IsolatedFor()
	isolated := since > 0
	if s.front.isolated.Swap(isolated) != isolated {
		s.log.WithField("Isolated", isolated).Warn("reach of other availability zones changed")
	}
	if since > readyOff {
		s.front.conns.closeIdle(0)
	}
}

// readyHandler answers readiness checks.
func (s *Server) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if s.front.drain.started() || !s.keeper.Table().Configured() || !s.front.gateway.ReachabilityKnown() || s.front.isolated.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// metricsHandler serves metrics.
func (s *Server) metricsHandler() http.Handler {
	s.metrics.Gauge("DirectoryRevision", func() int64 { return int64(s.keeper.Revision()) })
	s.metrics.Gauge("ConfigVersion", func() int64 { return int64(s.keeper.Table().Version) })
	s.metrics.Gauge("Instances", func() int64 { return int64(len(s.group.Members())) })
	s.metrics.Gauge("RunningRequests", func() int64 { return int64(s.front.drain.count()) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics.Handler())
	return mux
}

// drain ends the instance without cutting a request: it stops being ready, lets
// connections of callers end, and waits for running requests until the kill is
// near.
func (s *Server) drain(ctx context.Context, callers net.Listener) {
	began := s.clock.Now()
	s.log.WithField("Cause", context.Cause(ctx)).Info("drain started")
	s.front.drain.start()
	s.group.Update(func(m *trmember.Member) { m.NotReady = true })
	end := began.Add(milliseconds(s.settings.GraceMs) - exitMargin)
	s.sleep(readyOff)
	_ = callers.Close() // new connections are refused from here on
	for s.clock.Now().Before(end) {
		s.front.conns.closeIdle(0)
		if s.front.drain.count() == 0 && s.front.conns.count() == 0 {
			break
		}
		s.sleep(drainPoll)
	}
	s.stop() // requests that still run are answered now
	for i := 0; s.front.drain.count() > 0 && i < lastPolls; i++ {
		s.sleep(drainPoll)
	}
	s.sleep(drainPoll) // for the last bytes of answers
	leave, cancel := trclock.WithTimeout(context.Background(), s.clock, exitMargin/4)
	defer cancel()
	s.group.Leave(leave)
	s.log.WithField("TookMs", s.clock.Now().Sub(began).Milliseconds()).Info("drain finished")
}

func (s *Server) sleep(d time.Duration) {
	// The context has no end.
	_ = trclock.Sleep(context.Background(), s.clock, d)
}
