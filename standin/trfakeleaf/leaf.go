// Package trfakeleaf is a stand-in for an upstream (leaf): an HTTP/1.1 server that
// holds shards of a service and answers sub-queries.
//
// A leaf has slots, a queue, a connection limit, a service time and a cold phase after
// each start. A cold leaf that receives more load than its limits allow crashes and
// restarts, cold again, after Limits.FallMs. Faults are injected by Apply or over the
// control endpoints of ControlHandler.
//
// The journal is the reference that tests check results against. Each event is recorded
// where it happens, under the lock that guards the counters in it.
//
// # Usage
//
//	leaf, err := trfakeleaf.Start(trfakeleaf.Config{
//		LeafID: "leaf-1", Zone: "a", Addr: "127.0.0.1:0",
//		Data:     trfakeleaf.Dataset{Service: "search", Seed: 1, Records: 1000},
//		Holdings: []trfakeleaf.Holding{{Version: 1, ShardCount: 1, Shards: []int{0}, Loaded: true}},
//	})
//	defer leaf.Close()
//	err = leaf.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 10})
//
// A Fleet runs many leafs, with the shards of several services distributed over them.
package trfakeleaf

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trjournal"
)

// Config configures a leaf.
type Config struct {
	Clock       trclock.Clock         `json:"-"` // trclock.System if nil
	EventClock  *trjournal.EventClock `json:"-"` // timestamps of the journal; a new one based on Clock if nil
	LeafID      string                `json:"LeafID"`
	Zone        string                `json:"Zone"`
	Addr        string                `json:"Addr"` // 127.0.0.1:0 if empty
	Data        Dataset               `json:"Data"` // also determines the service
	Holdings    []Holding             `json:"Holdings"`
	JournalSize int                   `json:"JournalSize"`
	Seed        uint64                `json:"Seed"` // seed of service times and random shedding
	Limits
}

// Limits describes the capacity of a leaf. Zero values are replaced by the defaults
// given here.
type Limits struct {
	Slots          int     `json:"Slots"`          // sub-queries run concurrently, default 2
	Queue          int     `json:"Queue"`          // sub-queries that may wait for a slot; with 0, excess ones are shed immediately
	Connections    int     `json:"Connections"`    // maximum number of open connections, default 25
	ConnectMs      int64   `json:"ConnectMs"`      // time before a new connection is served
	ServiceMs      float64 `json:"ServiceMs"`      // median service time; with 0, replies are immediate
	ServiceSigma   float64 `json:"ServiceSigma"`   // sigma of the log-normal service time
	ColdMs         int64   `json:"ColdMs"`         // length of the cold phase; 0 for none
	ColdConcurrent int     `json:"ColdConcurrent"` // maximum number of sub-queries in flight on a cold leaf, default 1
	ColdPerSecond  float64 `json:"ColdPerSecond"`  // maximum rate of sub-queries to a cold leaf, default 50
	FallMs         int64   `json:"FallMs"`         // time until a crashed leaf restarts
}

// withDefaults returns l with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.Slots == 0 {
		l.Slots = 2
	}
	if l.Connections == 0 {
		l.Connections = 25
	}
	if l.ColdConcurrent == 0 {
		l.ColdConcurrent = 1
	}
	if l.ColdPerSecond == 0 {
		l.ColdPerSecond = 50
	}
	return l
}

// EventType is the type of a journal event.
type EventType string

// Types of event.
const (
	EventStart    EventType = "Start"    // the leaf has started, cold
	EventAccepted EventType = "Accepted" // connection accepted
	EventReset    EventType = "Reset"    // connection refused by a reset, Reason is the cause
	EventReceived EventType = "Received" // sub-query decoded, before all other checks
	EventShed     EventType = "Shed"     // sub-query not run: no free slot or place in the queue, or FaultShed
	EventRefused  EventType = "Refused"  // sub-query not run, Reason is the kind of the error
	EventStarted  EventType = "Started"  // sub-query has got a slot
	EventExecuted EventType = "Executed" // an Execute has taken effect
	EventFinished EventType = "Finished" // sub-query done, the reply is sent next
	EventCanceled EventType = "Canceled" // sub-query ended early, Reason is its state (queued or running) and the cause
	EventBadReply EventType = "BadReply" // the reply is corrupted by FaultBad, Reason is the BadReply
	EventFell     EventType = "Fell"     // the leaf was cold and crashed under load, Reason is the exceeded limit
	EventRolled   EventType = "Rolled"   // a version was added, dropped, or its Loaded flag was set
)

// Event is an entry of a leaf's journal. InFlight counts the sub-queries that are
// admitted and have not ended, including the one of the event if it is admitted.
type Event struct {
	TimeNs     int64       `json:"TimeNs"`
	Type       EventType   `json:"Type"`
	LeafID     string      `json:"LeafID"`
	StartID    string      `json:"StartID"`
	Cold       bool        `json:"Cold"`
	InFlight   int         `json:"InFlight"`
	Conns      int         `json:"Conns"` // open connections
	Sender     string      `json:"Sender,omitempty"`
	RequestID  string      `json:"RequestID,omitempty"`
	SubID      string      `json:"SubID,omitempty"`
	Kind       trwire.Kind `json:"Kind,omitempty"`
	Class      string      `json:"Class,omitempty"`
	Version    uint64      `json:"Version,omitempty"`
	Shard      int         `json:"Shard"`
	ShardCount int         `json:"ShardCount,omitempty"`
	Key        string      `json:"Key,omitempty"`
	Reason     string      `json:"Reason,omitempty"`
}

// Leaf is a stand-in for an upstream. Its methods are safe for concurrent use.
type Leaf struct {
	cfg       Config
	journal   *trjournal.Journal[Event]
	index     index
	listener  net.Listener
	server    *http.Server
	handlers  sync.WaitGroup
	serveDone chan struct{} // closed when the server has stopped

	mu            sync.Mutex
	process       *process // nil while the leaf is down
	closed        bool
	cancelRestart func() // stops the timer of a scheduled restart
	rng           *rand.Rand
	executions    uint64
	faults        faultState
}

// Start listens on cfg.Addr and serves until Close.
func Start(cfg Config) (*Leaf, error) {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	if cfg.EventClock == nil {
		cfg.EventClock = trjournal.NewEventClock(cfg.Clock)
	}
	cfg.Limits = cfg.withDefaults()
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for leaf %q", cfg.LeafID)
	}
	l := &Leaf{
		cfg:           cfg,
		journal:       trjournal.New[Event](cfg.JournalSize),
		index:         index{data: cfg.Data},
		listener:      ln,
		serveDone:     make(chan struct{}),
		cancelRestart: func() {},
		rng:           rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.LeafID))),
		faults:        faultState{factor: 1},
	}
	for _, h := range cfg.Holdings {
		l.index.add(h)
	}
	l.server = newServer(l)
	l.startProcess()
	go func() {
		defer close(l.serveDone)
		// Serve returns only after Close has closed the listener.
		_ = l.server.Serve(&listener{Listener: ln, leaf: l})
	}()
	return l, nil
}

// Close stops the leaf and waits until its handlers have ended.
func (l *Leaf) Close() {
	l.mu.Lock()
	l.closed = true
	l.cancelRestart()
	p := l.detach()
	l.mu.Unlock()
	l.endProcess(p)
	// Close fails only if the listener is closed already.
	_ = l.server.Close()
	<-l.serveDone
	l.handlers.Wait()
}

// Addr returns the address that the leaf listens on.
func (l *Leaf) Addr() string { return l.listener.Addr().String() }

// ID returns the leaf's ID.
func (l *Leaf) ID() string { return l.cfg.LeafID }

// StartID returns the ID of the current start, or "" while the leaf is down.
func (l *Leaf) StartID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return ""
	}
	return l.process.startID
}

// Journal returns the journal of the leaf.
func (l *Leaf) Journal() *trjournal.Journal[Event] { return l.journal }

// Instance returns the leaf's entry for the platform's instance list.
func (l *Leaf) Instance() trwire.Instance {
	return trwire.Instance{
		ID: l.cfg.LeafID, Role: trwire.RoleLeaf, Service: l.cfg.Data.Service,
		Zone: l.cfg.Zone, Addr: l.Addr(), State: trwire.StateLive,
	}
}

// startProcess starts a new process, unless the leaf is running or closed.
func (l *Leaf) startProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.process != nil {
		return
	}
	l.process = newProcess(uuid.NewString(), l.cfg.Clock.Now())
	l.recordEvent(l.process, EventStart, nil, "")
}

// detach marks the leaf as down. It returns the process, which the caller must pass to
// endProcess, or nil if the leaf was down already. The caller holds mu.
func (l *Leaf) detach() *process {
	p := l.process
	l.process = nil
	return p
}

// endProcess ends a detached process and resets its connections. p may be nil.
func (l *Leaf) endProcess(p *process) {
	if p == nil {
		return
	}
	p.cancel()
	l.resetConns(p)
}

// resetConns resets all connections of p.
func (l *Leaf) resetConns(p *process) {
	l.mu.Lock()
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// startAfter starts a new process after delay. A delayed start replaces the one that was
// scheduled before.
func (l *Leaf) startAfter(delay time.Duration) {
	if delay <= 0 {
		l.startProcess()
		return
	}
	stop := l.cfg.Clock.After(delay, func(time.Time) { l.startProcess() })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelRestart()
	l.cancelRestart = stop
}

// Restart stops the leaf, resets its connections and starts it after down, cold and
// with a new StartID.
func (l *Leaf) Restart(down time.Duration) {
	l.mu.Lock()
	p := l.detach()
	l.mu.Unlock()
	l.endProcess(p)
	l.startAfter(down)
}

// admitConn assigns nc to the running process. It returns nil if nc must be reset.
func (l *Leaf) admitConn(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil {
		return nil
	}
	if len(p.conns) >= l.cfg.Connections {
		l.recordEvent(p, EventReset, nil, "too many connections")
		return nil
	}
	delay := time.Duration(l.cfg.ConnectMs) * time.Millisecond
	c := &conn{Conn: nc, leaf: l, process: p, readableAt: l.cfg.Clock.Now().Add(delay)}
	p.conns[c] = true
	l.recordEvent(p, EventAccepted, nil, "")
	return c
}

// recordEvent appends an event to the journal. q may be nil. The caller holds mu.
func (l *Leaf) recordEvent(p *process, t EventType, q *trwire.SubQuery, reason string) {
	e := Event{
		TimeNs: l.cfg.EventClock.UnixNano(), Type: t, LeafID: l.cfg.LeafID, StartID: p.startID,
		Cold: p.cold(&l.cfg, l.cfg.Clock.Now()), InFlight: p.inFlight, Conns: len(p.conns),
		Reason: reason,
	}
	if q != nil {
		e.Sender, e.RequestID, e.SubID = q.Sender, q.RequestID, q.SubID
		e.Kind, e.Class, e.Key = q.Kind, q.Class, q.Key
		e.Version, e.Shard, e.ShardCount = q.Version, q.Shard, q.ShardCount
	}
	l.journal.Append(e)
}

// sleep waits for d on the leaf's clock or until ctx is done.
func (l *Leaf) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return trclock.Sleep(ctx, l.cfg.Clock, d)
}

// drawServiceTime returns the random service time of a sub-query.
func (l *Leaf) drawServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := l.cfg.ServiceMs * math.Exp(l.cfg.ServiceSigma*l.rng.NormFloat64()) * l.faults.factor
	return time.Duration(ms * float64(time.Millisecond))
}
