// Package trquery serves requests: it checks them, admits them, pins them to a
// snapshot, sends sub-queries to leafs and merges the replies.
//
// A request passes a chain of filters. Identify checks it against the
// configuration, Report observes its result, Relocate forwards it to the
// instance that has to serve it, RunOnce keeps requests that are not idempotent
// from running twice, Admit limits how many run at once. The Engine
// at the end of the chain pins the request to one version of the index, fans it
// out over the shards and merges. The package uses no sockets: leafs and peers
// stand behind small interfaces.
//
// # Usage
//
//	engine := &trquery.Engine{Clock: clock, Router: router, Dispatcher: dispatcher, Leafs: leafs, ...}
//	serve := trquery.Chain(engine.Serve,
//		trquery.Identify(clock, policies, newID),
//		trquery.Report(clock, observer),
//		trquery.Admit(clock, admission))
//	answer, err := serve(ctx, &trquery.Call{Request: req})
//
// An error returned by the chain is a *trwire.Refusal.
package trquery

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

// MaxHops is the most instances a request is forwarded through. One hop leads
// to the home of an identifier; a second covers a sender table that has just
// changed.
const MaxHops = 2

// Call is a request on its way through the filters.
type Call struct {
	Request  *trwire.Request
	Hops     int // times the request was forwarded by peers
	Class    *trconfig.ClassPolicy
	Policy   *trconfig.Policy
	Deadline time.Time
	Stats    Stats
}

// Stats counts what a request cost.
type Stats struct {
	Started      time.Time
	Latency      time.Duration
	QueueTime    time.Duration
	ShardsNeeded int // shards of the pinned snapshot, or 1
	SubQueries   int // sub-queries written to leafs
	Hedges       int
	Retries      int
	Repins       int // restarts on another version
	Forwarded    bool
}

// Handler serves a call.
type Handler func(ctx context.Context, call *Call) (*trwire.Answer, error)

// Filter wraps a handler.
type Filter func(next Handler) Handler

// Chain returns a handler that passes calls through the filters in order and
// then to last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// PolicySource returns the policy in force, or nil before there is one.
type PolicySource interface {
	Current() *trconfig.Policy
}

// Validate checks the request, gives it an identifier if it has none, and sets
// class policy and deadline. It ends the context at the deadline.
func Validate(clock trclock.Clock, policies PolicySource, newID func() string) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if err := identify(clock, policies, newID, call); err != nil {
				err.RequestID = call.Request.RequestID
				return nil, err
			}
			ctx, cancel := trclock.WithTimeout(ctx, clock, call.Deadline.Sub(clock.Now()))
			defer cancel()
			answer, err := next(ctx, call)
			if err != nil {
				refusal := trwire.AsRefusal(err)
				refusal.RequestID = call.Request.RequestID
				return nil, refusal
			}
			return answer, nil
		}
	}
}

func identify(clock trclock.Clock, policies PolicySource, newID func() string, call *Call) *trwire.Refusal {
	req := call.Request
	if err := req.Check(); err != nil {
		return trwire.Refuse(trwire.BadRequest, "%v", err)
	}
	policy := policies.Current()
	if policy == nil && req.Kind == trwire.Execute {
		return unknown("no configuration is in force yet")
	}
	if policy == nil {
		return &trwire.Refusal{Kind: trwire.NotRun, Reason: "no configuration is in force yet", RetryAfterMs: retryAfterStart}
	}
	switch {
	case !policy.KnownTenant(req.Tenant):
		return trwire.Refuse(trwire.BadRequest, "tenant %q is unknown", req.Tenant)
	case !policy.KnownClass(req.Class):
		return trwire.Refuse(trwire.BadRequest, "class %q is unknown", req.Class)
	case !policy.KnownService(req.Service):
		return trwire.Refuse(trwire.BadRequest, "service %q is unknown", req.Service)
	}
	call.Policy = policy
	call.Class = policy.Class(req.Tenant, req.Class)
	if req.TimeoutMs == 0 {
		req.TimeoutMs = call.Class.TimeoutMs
	}
	if req.TimeoutMs > call.Class.TimeoutMs {
		return trwire.Refuse(trwire.BadRequest, "TimeoutMs %d is above the limit of class %q, %d", req.TimeoutMs, req.Class, call.Class.TimeoutMs)
	}
	if req.RequestID == "" {
		req.RequestID = newID()
	}
	call.Stats.Started = clock.Now()
	call.Deadline = call.Stats.Started.Add(time.Duration(req.TimeoutMs) * time.Millisecond)
	return nil
}

// Retry hints in milliseconds.
const (
	retryAfterStart   = 500 // an instance gets its configuration within a second of its start
	retryAfterVersion = 200 // a catalog refresh takes one round trip to the leafs
	retryAfterMove    = 1000
)

// Observer receives the result of every identified call.
type Observer interface {
	Observe(call *Call, answer *trwire.Answer, refusal *trwire.Refusal)
}

// Report passes the result of each call to the observer.
func Report(clock trclock.Clock, observer Observer) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			answer, err := next(ctx, call)
			call.Stats.Latency = clock.Now().Sub(call.Stats.Started)
			if err != nil {
				refusal := trwire.AsRefusal(err)
				observer.Observe(call, nil, refusal)
				return nil, refusal
			}
			observer.Observe(call, answer, nil)
			return answer, nil
		}
	}
}
