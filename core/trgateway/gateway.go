// Package trgateway passes requests of callers on to upstreams that it need not
// understand: a request is a method, a target, headers and bytes.
//
// A route either asks one upstream and relays its reply, or asks one upstream
// of each shard and merges their records. Both use the same machinery: a part
// is what is asked of one service, an attempt is one request to one upstream.
// Attempts are repeated at another upstream of the service if they fail, and
// hedged if they take unusually long, as far as the route and the budget of
// repeats allow. The package opens no sockets; attempts go through Sender.
//
// # Usage
//
//	gw := trgateway.New(trgateway.Config{Clock: clock, Tables: &keeper, Sender: client, Zone: "a"})
//	resp := gw.Serve(ctx, req) // ctx ends when the caller leaves
//
// # Decisions
//
// Tracker (choice.go, reach.go, cold.go) ranks the upstreams of a service by the
// expected time of a reply and knows which zones answer. Budget (budget.go) shares
// out the repeats of a service. Patience (patience.go) tells when a reply is late.
// A query (query.go) decides when to answer and with what; its parts (part.go)
// are sent, held, hedged and repeated.
package trgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmetric"
)

// Request is a caller's request. It must not be changed while it is served.
type Request struct {
	ID     string
	Method string
	Target string // path and query as received
	Path   string // path of Target
	Host   string
	Header http.Header // without headers that concern one connection
	Body   []byte
	// Head is the encoded form of the above but Body that upstreams get, set by
	// whoever makes the request for the Sender. A Sender encodes it itself if it is
	// nil.
	Head []byte
	// Timeout is how long the caller waits from Began, 0 if it does not say.
	Timeout time.Duration
	// Began estimates when the caller sent the request.
	Began time.Time
}

// Reply is the complete reply of an upstream.
type Reply struct {
	Status int
	Header http.Header // without headers that concern one connection
	Body   []byte
	Stamp  string // the upstream's signature of the reply
}

// OK reports whether the upstream served the request.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }

// OutcomeKind tells what became of a request at an upstream.
type OutcomeKind int

// Fates of an attempt.
const (
	OutcomeUnknown OutcomeKind = iota // sent, and may have run
	NotSent                           // no byte was sent
	NotRun                            // the upstream said that it did not and will not run it
	Answered                          // a complete reply came
)

// Load is the load that an upstream reported with a reply.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome is the result of an attempt.
type Outcome struct {
	Kind  OutcomeKind
	Reply *Reply // if Fate is Answered
	Err   error  // unless Fate is Answered
	Load  *Load  // nil if not reported
	// Misdirected is set if another upstream has the address.
	Misdirected bool
	// Sent is when the request was written, zero if it was not.
	Sent time.Time
}

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends req once. left is the time the upstream is told it has; the
	// reply is awaited until ReplyGrace after that, or until ctx ends.
	Send(ctx context.Context, up *trdirectory.Upstream, req *Request, left time.Duration) Outcome
	// Probe opens a connection to up, sends nothing and closes it.
	Probe(ctx context.Context, up *trdirectory.Upstream) error
}

// TableSource gives the table in force.
type TableSource interface {
	Table() *trdirectory.Table
}

// Response is the gateway's answer to a caller.
type Response struct {
	Status     int
	Reply      *Reply           // relayed as it is, nil if the gateway answers itself
	Stamps     []string         // signatures of the parts of a merged answer
	Missing    int              // shards that are not in a merged answer
	Records    []byte           // body of a merged answer
	RetryAfter time.Duration    // when to come back, 0 if not stated
	Reason     string           // of a refusal or failure, for the log
	Version    uint64           // of the configuration that decided
	Route      string           // empty if none matched
	Merged     bool             // Stamps, Missing and Records are set
	Attempts   int              // requests sent to upstreams
	Hedges     int              // of these, sent because another took long
	Revision   uint64           // of the directory that decided
	Unanswered []UnansweredPart // parts without a reply; at most mostOpenParts
}

// UnansweredPart tells why a part of a request has no reply.
type UnansweredPart struct {
	Service string   `json:"Service"`
	Asked   []string `json:"Asked"` // upstream IDs
	State   string   `json:"State"` // Held, Waiting or Closed
	Error   string   `json:"Error,omitempty"`
}

const (
	// startWait is the time after the start for which requests wait for the first
	// configuration. Reading it takes 60 to 90 ms, less than the time after which
	// a refused caller returns.
	startWait = 250 * time.Millisecond
	// startPoll is the time between looks for the first configuration.
	startPoll = 4 * time.Millisecond
)

// mostOpenParts bounds what is told of a request with many parts.
const mostOpenParts = 6

// Event is a change of what an instance believes of upstreams.
type Event struct {
	Kind     string // Unserving, Serving, AddressLost, ZoneUnreachable or ZoneReachable
	Upstream string // ID, if it concerns one
	Zone     string
	Error    error
}

// Config holds the settings of a Gateway.
type Config struct {
	Clock    trclock.Clock
	Tables   TableSource
	Sender   Sender
	Instance string // ID of this instance
	Zone     string // availability zone of this instance
	Seed     uint64
	Metrics  *trmetric.Registry
	Bounds   Bounds
	// OnEvent, if set, is told events. It must not block.
	OnEvent func(Event)
	// FailoverTime is the time in which balancers move callers to other instances
	// after this one has stopped being ready.
	FailoverTime time.Duration
	// Fleet returns the instances that share the limits. nil is a fleet of one.
	Fleet func() Fleet
}

// Fleet is the place of an instance among those that share limits.
type Fleet struct {
	Size int // at least 1
	Rank int // of this instance, from 0; different for each
}

// Bounds are limits that hold for the sum over all instances.
type Bounds struct {
	RepeatShare  float64       // repeats per request of a service
	RepeatSlack  float64       // repeats per window beyond the share
	RepeatWindow time.Duration // in which repeats are counted
	ColdOverage  float64       // factor on the stated rate of a cold upstream
	ColdSlack    float64       // requests a second to a cold upstream beyond that
}

// Gateway serves requests. Its methods may be used from any number of goroutines.
type Gateway struct {
	cfg      Config
	tracker  Tracker
	budget   Budget
	patience LatencyTracker

	started     time.Time                 // when the gateway was made
	isolated    atomic.Pointer[time.Time] // since when, nil if it is not
	lastAttempt atomic.Uint64

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.Metrics == nil {
		cfg.Metrics = new(trmetric.Registry)
	}
	if cfg.Fleet == nil {
		cfg.Fleet = func() Fleet { return Fleet{Size: 1} }
	}
	g := &Gateway{cfg: cfg, started: cfg.Clock.Now(), rnd: rand.New(rand.NewPCG(cfg.Seed, 0))}
	g.tracker.Instance, g.tracker.Zone, g.tracker.OnEvent = cfg.Instance, cfg.Zone, cfg.OnEvent
	g.budget.Bounds = cfg.Bounds
	return g
}

// Tracker returns what the gateway knows of the upstreams' state.
func (g *Gateway) Tracker() *Tracker { return &g.tracker }

// Serve serves one request. ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, req *Request) *Response {
	table := g.startTable(ctx)
	if !table.Configured() {
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: unconfiguredRetry, Reason: "no configuration yet"}
	}
	route := table.Route(req.Host, req.Path)
	if route == nil {
		return &Response{Status: http.StatusNotFound, Reason: "no route", Version: table.Version}
	}
	q := newQuery(g, table, route, req)
	resp := q.run(ctx)
	resp.Version, resp.Revision, resp.Route = table.Version, table.Revision, route.Name
	resp.Unanswered = q.openParts()
	resp.Attempts, resp.Hedges = q.attempts, q.hedges
	g.count(route, resp, q.now().Sub(req.Began))
	return resp
}

// startTable returns the table in force. Shortly after the start it waits for a
// configuration if there is none yet.
func (g *Gateway) startTable(ctx context.Context) *trdirectory.Table {
	table := g.cfg.Tables.Table()
	for !table.Configured() && g.now().Sub(g.started) < startWait {
		if trclock.Sleep(ctx, g.cfg.Clock, startPoll) != nil {
			break // the caller has left
		}
		table = g.cfg.Tables.Table()
	}
	return table
}

func (g *Gateway) count(route *trdirectory.Route, resp *Response, took time.Duration) {
	m := g.cfg.Metrics
	label := "Whole"
	switch {
	case resp.Status >= 300:
		label = "Failed"
	case resp.Missing > 0:
		label = "Partial"
	case route.Objective() > 0 && took > route.Objective():
		label = "Late"
	}
	m.Add("Responses", label, 1)
	m.Add("Attempts", "", int64(resp.Attempts))
	m.Add("Hedges", "", int64(resp.Hedges))
	m.Record("Response", "", route.Name, took)
}

func (g *Gateway) now() time.Time { return g.cfg.Clock.Now() }

// float returns a random number in [0, 1).
func (g *Gateway) float() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rnd.Float64()
}

// service picks a service of a split by weight.
func (g *Gateway) service(split []trdirectory.WeightedService) string {
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0.0
	for _, p := range split {
		sum += p.Weight
	}
	at := g.float() * sum
	for _, p := range split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return split[len(split)-1].Service
}
