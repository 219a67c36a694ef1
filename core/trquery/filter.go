// Package trquery implements the request path of an instance: it validates and
// admits requests, pins them to a snapshot, sends sub-queries to leafs and merges
// the replies.
//
// A request passes through a chain of filters. Validate checks it against the
// configuration, Report passes its result to an observer, Forward sends it to
// another instance if this one must not serve it, RunOnce prevents a second
// execution of requests that are not idempotent, and Admit limits concurrency.
// The Engine at the end of the chain pins the request to one version of the
// index, fans it out over the shards and merges the replies. The package opens no
// connections: it reaches leafs and peers through LeafClient and Peers.
//
// # Usage
//
//	engine := &trquery.Engine{Clock: clock, Router: router, Dispatcher: dispatcher, Leafs: leafs, ...}
//	serve := trquery.Chain(engine.Serve,
//		trquery.Validate(clock, policies, newID),
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

// MaxHops is the maximum number of times a request is forwarded. One hop leads to
// the home of the request ID; a second one covers a sender table that has just
// changed.
const MaxHops = 2

// Call is a request that is being served, with its policy and statistics.
type Call struct {
	Request  *trwire.Request
	Hops     int // number of times peers have forwarded the request
	Class    *trconfig.ClassPolicy
	Policy   *trconfig.Policy
	Deadline time.Time
	Stats    Stats
}

// Stats records the timing and the number of sub-queries of a request.
type Stats struct {
	Started      time.Time
	Latency      time.Duration
	QueueTime    time.Duration
	ShardsNeeded int // shards queried: all of the snapshot for a Query, otherwise 1
	SubQueries   int // sub-queries passed to the leaf client
	Hedges       int
	Retries      int
	Repins       int // restarts on another version
	Forwarded    bool
}

// Handler serves a call and returns the answer. An error is a *trwire.Refusal.
type Handler func(ctx context.Context, call *Call) (*trwire.Answer, error)

// Filter wraps a handler, adding work before or after it.
type Filter func(next Handler) Handler

// Chain returns a handler that passes calls through the filters in order and
// then to handler.
func Chain(handler Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}

// PolicySource provides the configuration in force.
type PolicySource interface {
	// Current returns the policy in force, or nil before the first configuration.
	Current() *trconfig.Policy
}

// Validate checks the request, assigns a request ID if it has none, and sets the
// call's policy, class and deadline. The context passed on ends at the deadline.
func Validate(clock trclock.Clock, policies PolicySource, newID func() string) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if err := validate(clock, policies, newID, call); err != nil {
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

func validate(clock trclock.Clock, policies PolicySource, newID func() string, call *Call) *trwire.Refusal {
	req := call.Request
	if err := req.Check(); err != nil {
		return trwire.Refuse(trwire.BadRequest, "%v", err)
	}
	policy := policies.Current()
	if policy == nil && req.Kind == trwire.Execute {
		return outcomeUnknown("no configuration is in force yet")
	}
	if policy == nil {
		return &trwire.Refusal{Kind: trwire.NotRun, Reason: "no configuration is in force yet", RetryAfterMs: retryAfterStartMs}
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

// Values of Refusal.RetryAfterMs.
const (
	retryAfterStartMs   = 500 // an instance receives its configuration within a second of its start
	retryAfterRefreshMs = 200 // a catalog refresh takes one round trip to the leafs
	retryAfterDefaultMs = 1000
)

// Observer receives the result of every call that passed Validate.
type Observer interface {
	Observe(call *Call, answer *trwire.Answer, refusal *trwire.Refusal)
}

// Report measures the latency of each call and passes its result to observer.
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
