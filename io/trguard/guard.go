// Package trguard applies the budget of core/trintake to the listeners of a process.
//
// A Guard accepts connections within the budget and counts their bytes. It makes a
// connection that is cut off fail its reads. A request that was read completely before
// still runs and gets its answer; http.Server then closes the connection.
//
// # Usage
//
//	g := trguard.New(memoryMB, clock, metrics, log)
//	defer g.Start()()
//	server := &http.Server{Handler: trguard.Handler(handler), ConnContext: trguard.ConnContext, ConnState: trguard.ConnState}
//	err := server.Serve(g.Listener(l, trintake.Callers))
//
// A handler that reads bodies is not wrapped by Handler. It calls ReadBody and Begin.
package trguard

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trintake"
	"tanagerrock/core/trmetric"
)

const (
	// clientShare is the part of the process's memory that may be held for clients. Upstream
	// replies take up to 0.32, the process itself about 20 MB, and the garbage collector
	// needs room up to its limit of 0.7. On the smallest instance (136 MB) it is 27 MB:
	// 70 bodies of callers of the largest legal size at once, or 1,000 connections.
	clientShare = 0.2
	// connShare is the part of the process's descriptors that connections of clients may
	// take. The rest is for connections to upstreams, other instances and the store.
	connShare = 0.6
	// httpConnBytes is the memory of an open HTTP connection in bytes: two buffers of 4 KiB,
	// the stacks of two goroutines, and a head that fits into the buffer.
	httpConnBytes = 20 << 10
	// peerConnBytes is the same for gRPC: two buffers of 32 KiB and three goroutines. The
	// write buffer is not allocated at once.
	peerConnBytes = 64 << 10
	// MaxHeadBytes limits the heads that http.Server reads. It is four times the limit of
	// 16,384 bytes that all sites configure, because that limit counts neither the
	// separators nor the line ends of header fields, which are up to three quarters.
	MaxHeadBytes = 64 << 10
	// HeadTime limits the time for a head and for the opening of a connection between
	// instances, as configured at all sites.
	HeadTime = 3 * time.Second
	// logPeriod is the shortest time between two log lines on the budget.
	logPeriod = 10 * time.Second
)

// Guard applies one budget to the listeners of a process.
type Guard struct {
	budget  trintake.Budget
	clock   trclock.Clock
	log     logrus.FieldLogger
	metrics *trmetric.Registry

	mu       sync.Mutex
	peers    map[string]*Conn // connections of gRPC listeners by remote address
	counted  trintake.Usage   // as of the latest update of the metrics
	logged   trintake.Usage   // as of the latest log line
	loggedAt time.Time
}

// New returns a guard for a process with a memory limit, or 0 for none. The number of
// connections is bounded by the limit of open files of the process.
func New(memoryMB float64, clock trclock.Clock, metrics *trmetric.Registry, log logrus.FieldLogger) *Guard {
	g := &Guard{clock: clock, metrics: metrics, log: log, peers: make(map[string]*Conn)}
	g.budget.Bytes = int64(clientShare * memoryMB * (1 << 20))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.WithError(err).Warn("the limit of open files is unknown; connections are not bounded")
	} else {
		g.budget.Conns = connShareOf(min(uint64(limit.Cur), maxDescriptors))
	}
	metrics.Gauge("ClientBytes", func() int64 { return g.budget.Usage().Bytes })
	metrics.Gauge("ClientConnections", func() int64 { return int64(g.budget.Usage().Conns) })
	return g
}

// connShareOf returns the connections of clients for a limit of open files.
func connShareOf(descriptors uint64) int { return int(connShare * float64(descriptors)) }

// maxDescriptors stands for an unlimited number of open files.
const maxDescriptors = 1 << 20

// Start begins to observe the connections. The returned function ends that.
func (g *Guard) Start() (stop func()) {
	return g.clock.Every(trintake.SweepPeriod, func(now time.Time) {
		g.budget.Sweep(now)
		g.report(now)
	})
}

// report counts and logs what the budget has cut off and refused.
func (g *Guard) report(now time.Time) {
	u := g.budget.Usage()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.Add("ClientsRefused", "", u.Refused-g.counted.Refused)
	total := u.Refused - g.logged.Refused
	for cause, n := range u.Cut {
		g.metrics.Add("ClientsCut", cause.String(), n-g.counted.Cut[cause])
		total += n - g.logged.Cut[cause]
	}
	g.counted = u
	if total == 0 || !g.loggedAt.IsZero() && now.Sub(g.loggedAt) < logPeriod {
		return
	}
	fields := logrus.Fields{
		"Bytes": u.Bytes, "BytesLimit": g.budget.Bytes, "Connections": u.Conns, "ConnectionsLimit": g.budget.Conns,
		"Refused": u.Refused - g.logged.Refused,
	}
	for cause, n := range u.Cut {
		fields[cause.String()] = n - g.logged.Cut[cause]
	}
	g.log.WithFields(fields).Warn("clients exceed the limits; the least useful are cut off")
	g.logged, g.loggedAt = u, now
}

// Listener wraps l so that its HTTP connections are within the budget.
func (g *Guard) Listener(l net.Listener, class trintake.Class) net.Listener {
	return &listener{l, g, class, httpConnBytes, false}
}

// PeerListener does the same for gRPC connections. Their server needs the stats handler
// PeerStats.
func (g *Guard) PeerListener(l net.Listener) net.Listener {
	return &listener{l, g, trintake.Internal, peerConnBytes, true}
}

// listener accepts connections within the budget.
type listener struct {
	net.Listener
	guard *Guard
	class trintake.Class
	size  int64
	peer  bool
}

// Accept implements net.Listener. Connections beyond the budget are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, guard: l.guard, peer: l.peer}
		host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
		if err != nil {
			host = nc.RemoteAddr().String() // not an IP address; the whole counts as one
		}
		if c.account, err = l.guard.budget.Open(host, l.class, l.size, c.cutOff); err != nil {
			_ = nc.Close() // nothing was read from it; the guard counts and logs the refusal
			continue
		}
		if l.peer {
			l.guard.mu.Lock()
			l.guard.peers[nc.RemoteAddr().String()] = c
			l.guard.mu.Unlock()
		}
		return c, nil
	}
}
