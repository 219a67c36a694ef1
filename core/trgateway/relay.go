package trgateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// RelayRatio is how many times the processor time of this instance a relay must have.
	// Passing a query on costs both some work, and a relay serves many instances.
	RelayRatio = 3
	// minRelayAvoidTime and maxRelayAvoidTime bound the time for which a relay that failed
	// gets no queries. The time doubles with each further failure.
	minRelayAvoidTime = 500 * time.Millisecond
	maxRelayAvoidTime = 8 * time.Second
	// relayDeclineTime is the time for which a relay that declined a query gets no others:
	// it has no room, or another configuration, which lasts a moment.
	relayDeclineTime = 100 * time.Millisecond
	// relayMargin is how long after the target, and after the final deadline, the response
	// of a relay may arrive.
	relayMargin = 10 * time.Millisecond
	// relaySilentTime is the time for which a relay gets no queries if its response to one
	// did not arrive by the target. It may be frozen or cut off, or wait for the least
	// share of the parts.
	relaySilentTime = 300 * time.Millisecond
)

// RelayOutcome is the result of passing a query on to a relay.
type RelayOutcome struct {
	Response *Response // nil if the relay served nothing
	Declined bool      // the relay took no part in the query
	Sent     bool      // the relay may have sent requests to upstreams
	Err      error
}

// RelaySender passes queries on to other instances.
type RelaySender interface {
	// SendRelay passes req on to the instance, which must have the given version of the
	// configuration. It returns when the response has arrived or ctx ends.
	SendRelay(ctx context.Context, instance RelayInstance, req *Request, version uint64) RelayOutcome
}

// RelayInstance is an instance that may serve queries for others.
type RelayInstance struct {
	ID         string
	Zone       string
	PeerAddr   string
	MilliCores int
}

// RelaySet chooses the instances that serve the merged queries of this one.
//
// The load is a query of a hundred parts that arrives at an instance with a fifth of a
// core once in some seconds: sending the parts and reading the replies takes it most of
// the objective, its connections have ended meanwhile, and what it knew of slow upstreams
// is out of date. An instance with several times its processor time serves the queries of
// many such instances faster, over connections in use, and knows the upstreams.
//
// The zero value with Zone and MilliCores is ready to use.
type RelaySet struct {
	Zone       string // of this instance
	MilliCores int    // of this instance; 0 if not known

	mu        sync.Mutex
	instances []RelayInstance
	states    map[string]*relayState // by ID
}

// relayState is what this instance knows of a relay.
type relayState struct {
	pending    int // queries passed on that have not ended
	failures   int // consecutive
	avoidUntil time.Time
}

// Update sets the instances that are present. Those of other zones, and those with too
// little processor time, are left out: a query must not cross zones twice.
func (s *RelaySet) Update(present []RelayInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.DeleteFunc(slices.Clone(present), func(i RelayInstance) bool {
		return i.Zone != s.Zone || s.MilliCores == 0 || i.MilliCores < RelayRatio*s.MilliCores
	})
	states := make(map[string]*relayState)
	for _, i := range s.instances {
		if states[i.ID] = s.states[i.ID]; states[i.ID] == nil {
			states[i.ID] = new(relayState)
		}
	}
	s.states = states
}

// Acquire returns the relay for a query: of those that are not avoided, one with the
// fewest pending queries. random, from 0 to 1, decides between equals. Release must be
// called when the query has ended there.
func (s *RelaySet) Acquire(now time.Time, random float64) (RelayInstance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best []RelayInstance
	least := 0
	for _, i := range s.instances {
		state := s.states[i.ID]
		if now.Before(state.avoidUntil) {
			continue
		}
		if len(best) == 0 || state.pending < least {
			best, least = best[:0], state.pending
		}
		if state.pending == least {
			best = append(best, i)
		}
	}
	if len(best) == 0 {
		return RelayInstance{}, false
	}
	chosen := best[min(int(random*float64(len(best))), len(best)-1)]
	s.states[chosen.ID].pending++
	return chosen, true
}

// Release records how a query that was passed on to a relay has ended.
func (s *RelaySet) Release(id string, out RelayOutcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[id]
	if state == nil {
		return // the relay has left meanwhile
	}
	state.pending = max(state.pending-1, 0)
	switch {
	case out.Response != nil:
		state.failures = 0
	case out.Declined:
		state.avoidUntil = now.Add(relayDeclineTime)
	default:
		state.avoidUntil = now.Add(min(minRelayAvoidTime<<min(state.failures, 8), maxRelayAvoidTime))
		state.failures++
	}
}

// Suspect records that the response of a relay is overdue.
func (s *RelaySet) Suspect(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[id]; state != nil {
		state.avoidUntil = now.Add(relaySilentTime)
	}
}

// relay passes a merged query on to a relay and returns its response. It returns nil if
// this instance has to serve the query, because there is no relay or the relay has sent
// nothing. Once a relay may have asked upstreams, no others are asked: the limit of
// upstreams per part holds for both instances together.
func (g *Gateway) relay(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request) *Response {
	if g.cfg.RelaySender == nil || len(route.Shards) == 0 || !route.Idempotent || g.stopAt.Load() != nil {
		return nil
	}
	now := g.now()
	relay, ok := g.cfg.Relays.Acquire(now, g.randFloat())
	if !ok {
		return nil
	}
	d := newDeadlines(req, route)
	if !d.target.IsZero() {
		overdue := func(now time.Time) { g.cfg.Relays.Suspect(relay.ID, now) }
		defer g.cfg.Clock.After(d.target.Add(relayMargin).Sub(now), overdue)()
	}
	relayCtx, cancel := trclock.WithTimeout(ctx, g.cfg.Clock, d.final.Add(relayMargin).Sub(now))
	defer cancel()
	out := g.cfg.RelaySender.SendRelay(relayCtx, relay, req, table.Version)
	if ctx.Err() != nil {
		// The caller has left, which says nothing about the relay.
		mayRun := out.Sent || out.Response != nil
		out.Response = &Response{Status: StatusClientClosedRequest, Reason: "caller left", MayRun: mayRun}
	}
	g.cfg.Relays.Release(relay.ID, out, g.now())
	resp := out.Response
	switch {
	case resp != nil:
		g.cfg.Metrics.Add("Relays", "Served", 1)
	case out.Declined:
		g.cfg.Metrics.Add("Relays", "Declined", 1)
		return nil
	default:
		g.cfg.Metrics.Add("Relays", "Failed", 1)
		g.handleEvent(Event{Kind: "RelayFailed", Upstream: relay.ID, Zone: relay.Zone, Error: out.Err})
		if !out.Sent {
			return nil
		}
		resp = &Response{Status: http.StatusBadGateway, Reason: "relay failed: " + out.Err.Error()}
		if relayCtx.Err() != nil {
			resp = &Response{Status: http.StatusGatewayTimeout, Reason: "out of time at a relay"}
		}
	}
	resp.Version, resp.Route, resp.Relay = table.Version, route.Name, relay.ID
	return resp
}

// ServeRelayed serves a merged query that another instance passed on. It returns nil
// without having sent anything if this instance has another version of the configuration,
// no such route, is overloaded or is stopping. Which queries it declines when it is overloaded
// is decided as for those that callers send here.
func (g *Gateway) ServeRelayed(ctx context.Context, req *Request, version uint64) *Response {
	table := g.cfg.Tables.Table()
	if !table.Configured() || table.Version != version || g.stopAt.Load() != nil {
		return nil
	}
	route := table.Route(req.Host, req.Path)
	if route == nil || len(route.Shards) == 0 {
		return nil
	}
	if resp := g.authenticate(table, route, req); resp != nil {
		return resp
	}
	permit, resp := g.charge(ctx, table, route, req)
	if resp != nil {
		return resp
	}
	p, ok := g.enter(ctx, table, route, req)
	if !ok {
		permit.Return()
		return nil
	}
	defer g.leave(p)
	defer g.relayed.Add(-1)
	if n := g.relayed.Add(1); g.cfg.MaxRelayed > 0 && n > g.cfg.MaxRelayed {
		permit.Return()
		return nil
	}
	return g.serveAdmitted(ctx, table, route, req, permit, p.waited)
}
