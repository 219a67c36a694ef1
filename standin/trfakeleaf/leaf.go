// Package trfakeleaf is a stand-in for an upstream: an HTTP/1.1 server that
// holds shards of a service and answers sub-queries.
//
// A leaf has slots, a queue, a connection limit, a service time and a cold phase
// after each start. If a cold leaf receives more than it can bear, it falls over
// and starts again, cold, after a while. Faults are switched on by Apply or over
// the control endpoints of ControlHandler.
//
// The journal is the oracle of tests. Each event is recorded at the point where
// it happens, under the same lock as the counters it shows.
//
// # Usage
//
//	leaf, err := trfakeleaf.Start(trfakeleaf.Config{
//		LeafID: "leaf-1", Zone: "a", Addr: "127.0.0.1:0",
//		Data:     trfakeleaf.Data{Service: "search", Seed: 1, Records: 1000},
//		Holdings: []trfakeleaf.Holding{{Version: 1, ShardCount: 1, Shards: []int{0}, Loaded: true}},
//	})
//	defer leaf.Close()
//	err = leaf.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 10})
//
// Fleet starts many leafs with the shards of several services spread over them.
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

// Config configures a leaf. Zero limits take the defaults given here.
type Config struct {
	Clock       trclock.Clock    `json:"-"` // System if nil
	Timer       *trjournal.Timer `json:"-"` // of the journal; a new one on Clock if nil
	LeafID      string           `json:"LeafID"`
	Zone        string           `json:"Zone"`
	Addr        string           `json:"Addr"` // 127.0.0.1:0 if empty
	Data        Dataset          `json:"Data"` // names the service
	Holdings    []Holding        `json:"Holdings"`
	JournalSize int              `json:"JournalSize"`
	Seed        uint64           `json:"Seed"` // of service times and shed choices
	Limits
}

// Limits holds what a leaf can bear.
type Limits struct {
	Slots          int     `json:"Slots"`          // sub-queries run at once, default 2
	Queue          int     `json:"Queue"`          // sub-queries waiting for a slot; 0 sheds at once
	Connections    int     `json:"Connections"`    // default 25
	ConnectMs      int64   `json:"ConnectMs"`      // time before a new connection is served
	ServiceMs      float64 `json:"ServiceMs"`      // median service time; 0 answers at once
	ServiceSigma   float64 `json:"ServiceSigma"`   // sigma of the lognormal service time
	ColdMs         int64   `json:"ColdMs"`         // length of the cold phase; 0 means never cold
	ColdConcurrent int     `json:"ColdConcurrent"` // sub-queries in flight that a cold leaf bears, default 1
	ColdPerSecond  float64 `json:"ColdPerSecond"`  // sub-queries per second that a cold leaf bears, default 50
	FallMs         int64   `json:"FallMs"`         // time a leaf that fell over is down
}

// withDefaults returns the limits with defaults in place of zeros.
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
	EventStart    EventType = "Start"    // the leaf started, cold
	EventAccepted EventType = "Accepted" // connection taken
	EventReset    EventType = "Reset"    // connection not taken, Reason says why
	EventReceived EventType = "Received" // sub-query read, before any check but its form
	EventShed     EventType = "Shed"     // not run
	EventRefused  EventType = "Refused"  // not run, Reason is the kind of the error
	EventStarted  EventType = "Started"  // sub-query got a slot
	EventExecuted EventType = "Executed" // an Execute took effect
	EventFinished EventType = "Finished" // sub-query done, the reply follows
	EventCanceled EventType = "Canceled" // sub-query ended early, Reason says when and why
	EventBadReply EventType = "BadReply" // the reply is spoilt on purpose, Reason says how
	EventFell     EventType = "Fell"     // more load than a cold leaf bears
	EventRolled   EventType = "Rolled"   // a version was added or its state changed
)

// Event is one line of a leaf's journal. InFlight counts the sub-queries
// admitted and not ended, the present one included once it is admitted.
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

// Leaf is the stand-in. Its methods are safe for concurrent use.
type Leaf struct {
	cfg      Config
	journal  *trjournal.Journal[Event]
	index    index
	listener net.Listener
	server   *http.Server
	handlers sync.WaitGroup
	served   chan struct{} // closed when the server has ended

	mu         sync.Mutex
	process    *process // nil while the leaf is down
	closed     bool
	revive     func() // stops the pending start of a leaf that is down
	rng        *rand.Rand
	executions uint64
	faults     faults
}

// Start listens on cfg.Addr and serves until Close.
func Start(cfg Config) (*Leaf, error) {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	if cfg.Timer == nil {
		cfg.Timer = trjournal.NewTimer(cfg.Clock)
	}
	cfg.Limits = cfg.withDefaults()
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for leaf %q", cfg.LeafID)
	}
	l := &Leaf{
		cfg:      cfg,
		journal:  trjournal.New[Event](cfg.JournalSize),
		index:    index{data: cfg.Data},
		listener: ln,
		served:   make(chan struct{}),
		revive:   func() {},
		rng:      rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.LeafID))),
		faults:   faults{factor: 1},
	}
	for _, h := range cfg.Holdings {
		l.index.roll(h)
	}
	l.server = newServer(l)
	l.startProcess()
	go func() {
		defer close(l.served)
		// Serve returns only when Close has closed the listener.
		_ = l.server.Serve(&listener{Listener: ln, leaf: l})
	}()
	return l, nil
}

// Close stops the leaf and waits until its handlers have ended.
func (l *Leaf) Close() {
	l.mu.Lock()
	l.closed = true
	l.revive()
	p := l.detach()
	l.mu.Unlock()
	l.end(p)
	// Close fails only if the listener is closed already.
	_ = l.server.Close()
	<-l.served
	l.handlers.Wait()
}

// Addr returns the address that the leaf listens on.
func (l *Leaf) Addr() string { return l.listener.Addr().String() }

// ID returns the leaf's ID.
func (l *Leaf) ID() string { return l.cfg.LeafID }

// StartID returns the ID of the present start, or "" while the leaf is down.
func (l *Leaf) StartID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return ""
	}
	return l.process.startID
}

// Journal returns the events recorded so far.
func (l *Leaf) Journal() *trjournal.Journal[Event] { return l.journal }

// Instance returns the leaf's line for the platform's list.
func (l *Leaf) Instance() trwire.Instance {
	return trwire.Instance{
		ID: l.cfg.LeafID, Role: trwire.RoleLeaf, Service: l.cfg.Data.Service,
		Zone: l.cfg.Zone, Addr: l.Addr(), State: trwire.StateLive,
	}
}

// startProcess starts the leaf cold unless it is up or closed.
func (l *Leaf) startProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.process != nil {
		return
	}
	l.process = newProcess(uuid.NewString(), l.cfg.Clock.Now())
	l.note(l.process, EventStart, nil, "")
}

// detach takes the leaf down. It returns the process that must then be ended, or
// nil if the leaf is down already. The caller holds mu.
func (l *Leaf) detach() *process {
	p := l.process
	l.process = nil
	return p
}

// end ends a detached process and closes its connections.
func (l *Leaf) end(p *process) {
	if p == nil {
		return
	}
	p.end()
	l.closeConns(p)
}

func (l *Leaf) closeConns(p *process) {
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

// startAfter starts the leaf after delay.
func (l *Leaf) startAfter(delay time.Duration) {
	if delay <= 0 {
		l.startProcess()
		return
	}
	stop := l.cfg.Clock.After(delay, func(time.Time) { l.startProcess() })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revive()
	l.revive = stop
}

// Restart ends the present start of the leaf, closes its connections and starts
// it again, cold and with a new StartID, after down.
func (l *Leaf) Restart(down time.Duration) {
	l.mu.Lock()
	p := l.detach()
	l.mu.Unlock()
	l.end(p)
	l.startAfter(down)
}

// takeConn returns the connection for a process, or nil if it must be reset.
func (l *Leaf) takeConn(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil {
		return nil
	}
	if len(p.conns) >= l.cfg.Connections {
		l.note(p, EventReset, nil, "too many connections")
		return nil
	}
	delay := time.Duration(l.cfg.ConnectMs) * time.Millisecond
	c := &conn{Conn: nc, leaf: l, process: p, ready: l.cfg.Clock.Now().Add(delay)}
	p.conns[c] = true
	l.note(p, EventAccepted, nil, "")
	return c
}

// note records an event. The caller holds mu.
func (l *Leaf) note(p *process, t EventType, q *trwire.SubQuery, reason string) {
	e := Event{
		TimeNs: l.cfg.Timer.Ns(), Type: t, LeafID: l.cfg.LeafID, StartID: p.startID,
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

// sleep waits for d on the leaf's clock or until ctx ends.
func (l *Leaf) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return trclock.Sleep(ctx, l.cfg.Clock, d)
}

// serviceTime draws the time one sub-query takes.
func (l *Leaf) serviceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := l.cfg.ServiceMs * math.Exp(l.cfg.ServiceSigma*l.rng.NormFloat64()) * l.faults.factor
	return time.Duration(ms * float64(time.Millisecond))
}
