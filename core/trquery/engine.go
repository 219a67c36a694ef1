package trquery

import (
	"context"
	"slices"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/tronce"
	"tanagerrock/core/trpanic"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// LeafClient sends sub-queries to leafs.
type LeafClient interface {
	// Send calls check immediately before it writes the sub-query, and writes
	// nothing if check returns an error. An error returned by Send is a
	// *trwire.AttemptError.
	Send(ctx context.Context, leaf *trroute.Leaf, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error)
}

// Budget limits extra sub-queries to a share of the regular ones.
type Budget interface {
	// Earn adds the share of n regular sub-queries.
	Earn(n int)
	// Spend takes one extra sub-query from the budget and reports whether one was
	// available.
	Spend() bool
}

// maxRepins is the maximum number of restarts of a query on another version. Leafs
// keep two versions, so a second restart means that versions change faster than
// queries run.
const maxRepins = 2

// coldTimeoutDivisor is the ratio of TurnMs, the time slot of one sender at a cold
// leaf, to the timeout of a sub-query sent there. A sub-query must end within the
// slot, so a short timeout lets it start during most of the slot.
const coldTimeoutDivisor = 6

// Engine pins each request to a snapshot, sends its sub-queries to the leafs and
// merges the replies.
type Engine struct {
	Clock      trclock.Clock
	Instance   string // ID of this instance
	Zone       string
	Router     *trroute.Router
	Dispatcher *trroute.Dispatcher
	Leafs      LeafClient
	Hedges     Budget
	Retries    Budget
	Repins     Budget        // for restarts of a query on another version
	NewID      func() string // returns a sub-query ID that is unique in the fleet
	// Refresh asks the leafs of a service which shards and versions they hold. It
	// returns when the catalog is updated or ctx ends. It may be nil.
	Refresh func(ctx context.Context, service string)
}

// Serve is the Handler at the end of the filter chain.
func (e *Engine) Serve(ctx context.Context, call *Call) (*trwire.Answer, error) {
	if call.Request.Kind == trwire.Execute {
		return e.execute(ctx, call)
	}
	return e.query(ctx, call)
}

// query serves a Query or a Fetch. If a leaf no longer holds the pinned version, it
// restarts on another version while time and budget remain.
func (e *Engine) query(ctx context.Context, call *Call) (*trwire.Answer, error) {
	var gone []uint64
	for {
		snap, err := e.pin(ctx, call, gone)
		if err != nil {
			return nil, err
		}
		f := newFanOut(e, call, snap)
		f.run(ctx)
		if !f.versionGone() || len(gone) >= maxRepins || !e.spendRepin(len(f.shards)) {
			return f.merge(ctx)
		}
		gone = append(gone, snap.Version)
		call.Stats.Repins++
		e.refresh(ctx, call.Request.Service)
		if ctx.Err() != nil || e.chooseSnapshot(call, gone) == nil {
			return f.merge(ctx)
		}
	}
}

// spendRepin takes one extra sub-query per shard from the budget for restarts.
func (e *Engine) spendRepin(shards int) bool {
	for range shards {
		if !e.Repins.Spend() {
			return false
		}
	}
	return true
}

func (e *Engine) refresh(ctx context.Context, service string) {
	if e.Refresh != nil {
		e.Refresh(ctx, service)
	}
}

// pin chooses the snapshot of a request. If no known version is usable, it
// refreshes the catalog once and tries again.
func (e *Engine) pin(ctx context.Context, call *Call, gone []uint64) (*trroute.Snapshot, error) {
	if snap := e.chooseSnapshot(call, gone); snap != nil {
		return snap, nil
	}
	e.refresh(ctx, call.Request.Service)
	if snap := e.chooseSnapshot(call, gone); snap != nil {
		return snap, nil
	}
	kind := trwire.NotRun
	if call.Stats.SubQueries > 0 {
		kind = trwire.Incomplete
	}
	refusal := trwire.Refuse(kind, "no usable version of service %q from %d on", call.Request.Service, call.Request.MinVersion)
	refusal.RetryAfterMs = retryAfterRefreshMs
	return nil, refusal
}

// chooseSnapshot returns the snapshot to use, or nil. gone lists versions that
// leafs reported as no longer held. A version with missing shards is used only if
// the class accepts partial answers, or if the request needs a single shard and
// that shard is available.
func (e *Engine) chooseSnapshot(call *Call, gone []uint64) *trroute.Snapshot {
	service := e.Router.Table().Service(call.Request.Service)
	if service == nil {
		return nil
	}
	if call.Request.Kind != trwire.Query {
		return chooseForKey(service, call.Request, gone)
	}
	snap, complete := service.Choose(call.Request.MinVersion)
	if snap != nil && slices.Contains(gone, snap.Version) {
		snap, complete = newestComplete(service, call.Request.MinVersion, gone)
	}
	if snap == nil || (!complete && !call.Class.AllowPartial) {
		return nil
	}
	return snap
}

// newestComplete returns the newest complete snapshot at or above minVersion whose
// version is not in gone.
func newestComplete(service *trroute.Service, minVersion uint64, gone []uint64) (*trroute.Snapshot, bool) {
	for i := range service.Snapshots {
		snap := &service.Snapshots[i]
		if snap.Version >= minVersion && !slices.Contains(gone, snap.Version) && snap.Complete() {
			return snap, true
		}
	}
	return nil, false
}

// chooseForKey returns the newest complete snapshot, so that requests for a key
// switch versions together with queries. If none is complete, it returns the newest
// one that has a replica of the key's shard.
func chooseForKey(service *trroute.Service, req *trwire.Request, gone []uint64) *trroute.Snapshot {
	if snap, _ := newestComplete(service, req.MinVersion, gone); snap != nil {
		return snap
	}
	for i := range service.Snapshots {
		snap := &service.Snapshots[i]
		shard := trwire.ShardOf(req.Key, snap.ShardCount)
		if snap.Version >= req.MinVersion && !slices.Contains(gone, snap.Version) && len(snap.Shards[shard].Replicas) > 0 {
			return snap
		}
	}
	return nil
}

// subQuery returns the sub-query of a request for one shard. StartID and
// TimeoutMs are set for each attempt.
func (e *Engine) subQuery(call *Call, snap *trroute.Snapshot, shard int) trwire.SubQuery {
	req := call.Request
	return trwire.SubQuery{
		RequestID:  req.RequestID,
		Sender:     e.Instance,
		Tenant:     req.Tenant,
		Class:      req.Class,
		Service:    req.Service,
		Kind:       req.Kind,
		Version:    snap.Version,
		Shard:      shard,
		ShardCount: snap.ShardCount,
		Terms:      req.Terms,
		Key:        req.Key,
		Body:       req.Body,
		Limit:      req.Limit,
	}
}

// attemptTimeout returns the timeout of a sub-query that starts at now.
func (e *Engine) attemptTimeout(call *Call, now time.Time) time.Duration {
	policy := call.Policy.Service(call.Request.Service, e.Zone)
	return min(time.Duration(policy.AttemptMs)*time.Millisecond, call.remaining(now))
}

// attempt waits for a leaf with capacity, sends one sub-query to it and reports the
// outcome to the dispatcher. It calls beforeSend immediately before it passes the
// sub-query to the leaf client.
func (e *Engine) attempt(ctx context.Context, call *Call, snap *trroute.Snapshot, want trroute.AcquireRequest, q trwire.SubQuery, beforeSend func(g *trroute.Grant)) (*trwire.SubReply, *trwire.AttemptError) {
	want.Timeout = e.attemptTimeout(call, e.Clock.Now())
	want.ColdTimeout = time.Duration(call.Policy.Fleet().TurnMs) * time.Millisecond / coldTimeoutDivisor
	// Stop waiting for a leaf when the caller has gone. For a request that is not
	// idempotent ctx outlives the caller, so that the outcome is still observed.
	grant, refused := e.Dispatcher.Acquire(tronce.CallerContext(ctx), want)
	if refused != nil {
		return nil, refused
	}
	started := e.Clock.Now()
	timeout := min(grant.Timeout, e.attemptTimeout(call, started))
	if timeout < time.Millisecond {
		expired := &trwire.AttemptError{Kind: trwire.AttemptCanceled, Err: context.DeadlineExceeded}
		grant.Done(trroute.Outcome{Err: expired})
		return nil, expired
	}
	q.SubID = e.NewID()
	q.StartID = grant.StartID
	q.TimeoutMs = timeout.Milliseconds()
	beforeSend(grant)
	var reply *trwire.SubReply
	var failure *trwire.AttemptError
	panicked := trpanic.Do(func() {
		if reply, failure = e.send(ctx, grant, &q, timeout); failure == nil {
			failure = checkRecords(reply, snap)
		}
	})
	if panicked != nil {
		reply, failure = nil, asAttemptError(panicked)
	}
	outcome := trroute.Outcome{Latency: e.Clock.Now().Sub(started), Err: failure}
	if reply != nil {
		outcome.StartID, outcome.Draining = reply.StartID, reply.Draining
	}
	grant.Done(outcome)
	if failure != nil {
		return nil, failure
	}
	return reply, nil
}

func (e *Engine) send(ctx context.Context, grant *trroute.Grant, q *trwire.SubQuery, timeout time.Duration) (*trwire.SubReply, *trwire.AttemptError) {
	attemptCtx, cancel := trclock.WithTimeout(ctx, e.Clock, timeout)
	defer cancel()
	deadline := e.Clock.Now().Add(timeout)
	check := func() *trwire.AttemptError {
		now := e.Clock.Now()
		return grant.Permit.Check(now, deadline.Sub(now))
	}
	reply, err := e.Leafs.Send(attemptCtx, grant.Leaf, q, check)
	if err == nil {
		return reply, nil
	}
	failure := asAttemptError(err)
	if failure.Kind == trwire.AttemptTimeout && ctx.Err() != nil && context.Cause(ctx) != context.DeadlineExceeded {
		failure.Kind = trwire.AttemptCanceled
	}
	return nil, failure
}

// checkRecords compares the record count of the shard in the reply with the count
// that the catalog has for the version. Otherwise a reply from a partially loaded
// shard would count as full coverage of the shard.
func checkRecords(reply *trwire.SubReply, snap *trroute.Snapshot) *trwire.AttemptError {
	known := snap.Shards[reply.Shard].Records
	if known == 0 || reply.ShardRecords == known {
		return nil
	}
	err := trwire.Refuse(trwire.Incomplete, "leaf answered from %d records, the shard has %d", reply.ShardRecords, known)
	return &trwire.AttemptError{Kind: trwire.AttemptBadReply, MayHaveRun: true, Err: err}
}

func asAttemptError(err error) *trwire.AttemptError {
	if failure, ok := err.(*trwire.AttemptError); ok {
		return failure
	}
	return &trwire.AttemptError{Kind: trwire.AttemptFailed, MayHaveRun: true, Err: err}
}
