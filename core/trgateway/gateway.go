// Package trgateway forwards callers' requests to upstreams without interpreting
// them: a request is a method, a target, headers and bytes.
//
// A route either sends a request to one upstream and relays its reply, or sends it
// to one upstream of each shard and merges their records. Both use the same
// machinery: a part is the share of a request that goes to one service, and an
// attempt is one request to one upstream. Failed attempts are retried at another
// upstream of the service, and unusually slow ones are hedged, as far as the route
// and the budget allow; retries and hedges are both counted as repeats. The
// package opens no sockets; attempts go through a Sender.
//
// # Usage
//
//	gw := trgateway.New(trgateway.Config{Clock: clock, Tables: &cache, Sender: client, Zone: "a"})
//	resp := gw.Serve(ctx, req) // ctx ends when the caller disconnects
//
// # Structure
//
// Tracker (tracker.go, reachability.go, cold.go) ranks the upstreams of a service by
// expected latency, with package trcost, and records which zones are reachable. LeavingSet (leaving.go) and
// Pauses (pause.go) hold the upstreams that want no requests. Budget (budget.go) limits
// the repeats of a service. LatencyTracker (latency.go) estimates when a reply is
// late. A query (query.go) serves one request: it decides when to respond and with
// what; its parts (part.go) are sent, held, hedged and retried. RelaySet (relay.go) chooses
// the instances with more processor time that serve merged queries in place of this one.
// The client accounts of requests are checked in account.go, and charged in quota.go. Which
// queries an overloaded instance serves is decided in overload.go, and what gives way at upstreams
// that do not run all requests in yield.go. The upstreams that get requests while a version is
// rolled out are filtered in version.go.
package trgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trclock"
	"tanagerrock/core/trcost"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmetric"
)

// Request is a caller's request. It must not be modified while it is served.
type Request struct {
	ID     string
	Method string
	Target string // path and query as received
	Path   string // path of Target
	Host   string
	Header http.Header // without hop-by-hop headers
	Body   []byte
	// Head is the encoded form, as sent to upstreams, of all the fields above
	// except Body. It is set by whoever creates the request for the Sender; if it
	// is nil, the Sender encodes it itself.
	Head []byte
	// Timeout is how long the caller waits, counted from Began; 0 if not stated.
	Timeout time.Duration
	// Began is the estimated time at which the caller sent the request.
	Began time.Time
	// Key is the digest of the client key that the caller sent, zero if it sent none.
	Key trdirectory.KeyDigest
	// Account is the name of the client account that holds Key. It is set by the gateway,
	// and empty if the route needs no key.
	Account string
}

// Reply is the complete reply of an upstream.
type Reply struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Body   []byte
	Stamp  string // the upstream's signature of the reply
	// Unsigned is set if the signature is missing although upstreams sign their replies. The
	// reply may be that of another server; callers do not get it.
	Unsigned bool
}

// OK reports whether the status is 2xx.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 }

// Failed reports whether the upstream failed to serve the request. A status that implies
// that the request was not run is such a failure: an upstream that did not run it says so,
// which is the outcome NotRun. So is a status that no reply may have.
func (r *Reply) Failed() bool {
	return !r.valid() || r.Status >= http.StatusInternalServerError || impliesNotRun(r.Status)
}

// valid reports whether a final reply may have the status.
func (r *Reply) valid() bool { return r.Status >= http.StatusOK && r.Status <= maxStatus }

// maxStatus is the highest status of a valid reply.
const maxStatus = 599

// impliesNotRun reports whether callers take a response with the status as the promise that
// the request was not run and never will be.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// OutcomeKind says whether an upstream received, ran and answered a request.
type OutcomeKind int

// Kinds of outcomes.
const (
	OutcomeUnknown OutcomeKind = iota // sent, may have run
	NotSent                           // no byte was sent
	NotRun                            // the upstream reported that it did not and will not run it
	Answered                          // a complete reply was received
)

// Load is the load that an upstream reported with a reply.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the upstream's machine at this moment, in percent of
	// the usual time; 0 if not reported.
	Pace int
}

// Outcome is the result of an attempt.
type Outcome struct {
	Kind  OutcomeKind
	Reply *Reply // if Kind is Answered
	Err   error  // unless Kind is Answered
	Load  *Load  // nil if not reported
	// Misdirected is set if the address belongs to another upstream.
	Misdirected bool
	// Leaving is set if the upstream announced with its reply that it is leaving.
	Leaving bool
	// Pause is how long the upstream wants no further requests from this instance, 0
	// if it did not ask for a pause.
	Pause time.Duration
	// PauseError tells why the stated pause was ignored or shortened.
	PauseError error
	// Sent is when the request was written, zero if it was not.
	Sent time.Time
}

// ErrWithheld is the cause of a NotSent outcome if the upstream stopped taking
// requests after it was chosen, or the client key of the request was withdrawn.
var ErrWithheld = errors.New("the upstream takes no new work any more, or the client key was withdrawn")

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends req once. Immediately before it writes the request, it asks Gateway.Admit
	// whether the upstream still wants it. left is the remaining time announced to the
	// upstream. Send waits for the reply until ReplyGrace after that, or until ctx ends.
	Send(ctx context.Context, up *trdirectory.Upstream, req *Request, left time.Duration) Outcome
	// Probe opens a connection to up and closes it without sending anything.
	Probe(ctx context.Context, up *trdirectory.Upstream) error
}

// TableSource returns the current table.
type TableSource interface {
	Table() *trdirectory.Table
}

// Response is the gateway's response to a caller.
type Response struct {
	Status     int
	Reply      *Reply           // relayed unchanged, nil if the gateway generated the response
	Stamps     []string         // signatures of the parts of a merged response
	Missing    int              // number of shards not included in a merged response
	Records    []byte           // body of a merged response
	RetryAfter time.Duration    // when the caller may retry, 0 if not stated
	Reason     string           // why the request was refused or failed, for the log
	Version    uint64           // of the configuration that was used
	Route      string           // empty if none matched
	Merged     bool             // Stamps, Missing and Records are set
	Attempts   int              // requests sent to upstreams
	Hedges     int              // attempts sent because another one was slow
	Revision   uint64           // of the directory that was used
	Relay      string           // ID of the instance that served the request; empty if this one did
	Unanswered []UnansweredPart // parts without a reply, at most maxUnansweredParts
	// MayRun is set if Status is StatusClientClosedRequest and an upstream may have run
	// the request or may still run it.
	MayRun bool
}

// UnansweredPart describes why a part of a request has no reply.
type UnansweredPart struct {
	Service string   `json:"Service"`
	Asked   []string `json:"Asked"` // upstream IDs
	State   string   `json:"State"` // Held, Waiting or Closed
	Error   string   `json:"Error,omitempty"`
}

const (
	// configWait is how long after the start requests wait for the first
	// configuration. Reading it takes 60 to 90 ms, which is less than the time
	// after which a refused caller retries.
	configWait = 250 * time.Millisecond
	// configPollInterval is the time between checks for the first configuration.
	configPollInterval = 4 * time.Millisecond
)

// maxUnansweredParts limits the parts that are listed for one request.
const maxUnansweredParts = 6

// Event is a change in the observed state of an upstream or an availability zone.
type Event struct {
	// Kind is Unserving, Serving, AddressLost, Leaving, Paused, InvalidPause, Panic,
	// RelayFailed, QueriesLimited, QueriesShared, ZoneUnreachable or ZoneReachable.
	Kind     string
	Upstream string // ID, of the relay if Kind is RelayFailed; empty if the event concerns a zone
	Zone     string
	Pause    time.Duration // until requests resume, if Kind is Paused
	Account  string        // of the query that waits, if Kind is QueriesShared
	Rank     int           // of the query that waits, if Kind is QueriesShared
	Running  int           // merged queries that run, if Kind is QueriesShared
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
	// OnEvent, if set, is called for each event. It must not block.
	OnEvent func(Event)
	// FailoverTime is how long load balancers take to move callers to other
	// instances after this one has stopped being ready.
	FailoverTime time.Duration
	// RelaySender passes merged queries on to the instances of Relays. If it is nil, this
	// instance serves all queries itself.
	RelaySender RelaySender
	Relays      *RelaySet
	// Connections returns the number of connections that this instance may have to an
	// upstream. If it is nil, that is not limited.
	Connections func(up *trdirectory.Upstream) int
	// MaxRelayed limits the queries of other instances that run here at once; 0 means no limit.
	MaxRelayed int64
	// Fleet returns the instances that share the limits. If it is nil, this
	// instance is the only one.
	Fleet func() Fleet
	// Quotas limits the requests of client accounts. If it is nil, they are not limited.
	Quotas Quotas
	// Stale reports whether the table may lack changes that other instances have. Then an
	// unknown client key may be a new one. If it is nil, the table is never stale.
	Stale func() bool
	// Versions decides which upstreams of a service get requests while a version is rolled
	// out. If it is nil, all get them whatever their version.
	Versions Versions
}

// Fleet describes the position of an instance among those that share limits.
type Fleet struct {
	Size int // at least 1
	Rank int // of this instance, from 0; unique within the fleet
	// Unknown is the part of the fleet that may exist beside those that are counted, 0 to 1.
	// The limits of the others are not used here.
	Unknown float64
}

// Bounds are limits on the sum over all instances.
type Bounds struct {
	RepeatShare  float64       // repeats per request of a service
	RepeatSlack  float64       // repeats per window beyond RepeatShare
	RepeatWindow time.Duration // over which repeats are counted
	ColdOverage  float64       // factor on a service's configured rate for cold upstreams
	ColdSlack    float64       // requests per second to a cold upstream beyond that
}

// Gateway serves requests. Its methods are safe for concurrent use.
type Gateway struct {
	cfg     Config
	tracker Tracker
	budget  Budget
	latency LatencyTracker
	fleets  fleetHistory
	limit   queryLimit
	costs   trcost.Estimator // of requests
	sheds   shedLog
	relayed atomic.Int64 // queries of other instances that run here

	started       time.Time                 // when the gateway was created
	isolatedSince atomic.Pointer[time.Time] // nil if not isolated
	stopAt        atomic.Pointer[time.Time] // when the instance stops; nil if it does not
	lastAttemptID atomic.Uint64

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
	if cfg.Stale == nil {
		cfg.Stale = func() bool { return false }
	}
	g := &Gateway{cfg: cfg, started: cfg.Clock.Now(), rnd: rand.New(rand.NewPCG(cfg.Seed, 0))}
	g.tracker.Instance, g.tracker.Zone, g.tracker.OnEvent = cfg.Instance, cfg.Zone, g.handleEvent
	g.tracker.Connections = cfg.Connections
	g.budget.Bounds = cfg.Bounds
	g.fleets.started = g.started
	return g
}

// Tracker returns the gateway's Tracker.
func (g *Gateway) Tracker() *Tracker { return &g.tracker }

// ExhaustedBudgets returns the number of services for which no repeat is permitted now.
func (g *Gateway) ExhaustedBudgets() int {
	return g.budget.Exhausted(g.cfg.Fleet(), g.now())
}

// StopAt announces that this instance stops at a time. Attempts whose reply is not
// expected before it are not started, so that they are not interrupted.
func (g *Gateway) StopAt(at time.Time) { g.stopAt.Store(&at) }

// handleEvent counts an event of the tracker and passes it on.
func (g *Gateway) handleEvent(e Event) {
	g.cfg.Metrics.Add("UpstreamEvents", e.Kind, 1)
	if g.cfg.OnEvent != nil {
		g.cfg.OnEvent(e)
	}
}

// TakesRequests reports whether an upstream may get a request now: it is registered,
// neither it nor its zone is leaving service, and it is not paused.
func (g *Gateway) TakesRequests(key trdirectory.UpstreamKey) bool {
	return g.cfg.Tables.Table().Usable(key) && g.tracker.takesRequests(key, g.now())
}

// Admit reports whether a request may be written to an upstream now, and counts it against
// the rate of a cold upstream. A Sender calls it immediately before it writes a request, which
// may have waited seconds for a connection; meanwhile its client key may have been withdrawn.
func (g *Gateway) Admit(key trdirectory.UpstreamKey, req *Request) bool {
	now := g.now()
	up := g.cfg.Tables.Table().Upstream(key)
	return up != nil && g.holdsKey(req) && g.TakesRequests(key) && g.admitToCold(up, now) && (g.cfg.Versions == nil || g.cfg.Versions.Admit(up))
}

// Serve serves one request. ctx ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, req *Request) *Response {
	table := g.awaitTable(ctx)
	if !table.Configured() {
		return &Response{Status: http.StatusServiceUnavailable, RetryAfter: unconfiguredRetry, Reason: "no configuration yet"}
	}
	route := table.Route(req.Host, req.Path)
	if route == nil {
		return &Response{Status: http.StatusNotFound, Reason: "no route", Version: table.Version}
	}
	if resp := g.authenticate(table, route, req); resp != nil {
		return resp
	}
	resp := g.relay(ctx, table, route, req)
	if resp == nil {
		resp = g.serveHere(ctx, table, route, req)
	}
	g.recordResponse(route, resp, g.now().Sub(req.Began))
	return resp
}

// serveHere serves a request with attempts of this instance, if it has room.
func (g *Gateway) serveHere(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request) *Response {
	permit, resp := g.charge(ctx, table, route, req)
	if resp != nil {
		return resp
	}
	if len(route.Shards) == 0 {
		return g.serveAdmitted(ctx, table, route, req, permit, 0)
	}
	p, ok := g.enter(ctx, table, route, req)
	if !ok {
		permit.Return()
		return g.refuseOverload(ctx, table, route, req)
	}
	defer g.leave(p)
	return g.serveAdmitted(ctx, table, route, req, permit, p.waited)
}

// serveAdmitted serves a request that has a permit of its client account and has waited for a place
// for some time.
func (g *Gateway) serveAdmitted(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request, permit traccount.Permit, waited time.Duration) *Response {
	q := newQuery(g, table, route, req)
	q.waited = waited
	resp := q.run(ctx)
	if !q.mayRun() {
		permit.Return()
	}
	resp.Version, resp.Revision, resp.Route = table.Version, table.Revision, route.Name
	resp.Unanswered = q.unansweredParts()
	resp.Attempts, resp.Hedges = q.attempts, q.hedges
	return resp
}

// awaitTable returns the current table. Shortly after the start it waits for the
// first configuration.
func (g *Gateway) awaitTable(ctx context.Context) *trdirectory.Table {
	table := g.cfg.Tables.Table()
	for !table.Configured() && g.now().Sub(g.started) < configWait {
		if trclock.Sleep(ctx, g.cfg.Clock, configPollInterval) != nil {
			break // the caller has disconnected
		}
		table = g.cfg.Tables.Table()
	}
	return table
}

func (g *Gateway) recordResponse(route *trdirectory.Route, resp *Response, took time.Duration) {
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

// randFloat returns a random number in [0, 1).
func (g *Gateway) randFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rnd.Float64()
}

// pickService picks a service of a split at random, by weight.
func (g *Gateway) pickService(split []trdirectory.WeightedService) string {
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0.0
	for _, p := range split {
		sum += p.Weight
	}
	at := g.randFloat() * sum
	for _, p := range split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return split[len(split)-1].Service
}
