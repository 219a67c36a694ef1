package trquery

import (
	"context"
	"slices"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/tronce"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// LeafClient sends sub-queries to leafs.
type LeafClient interface {
	// Send calls check immediately before it writes the sub-query and writes
	// nothing if check returns an error. The error of Send is a
	// *trwire.AttemptError.
	Send(ctx context.Context, leaf *trroute.Leaf, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error)
}

// Budget bounds extra work to a share of the regular work.
type Budget interface {
	Earn(n int)
	Spend() bool
}

// maxRepins is how often a query starts again on another version. Leafs keep two
// versions, so a second restart means that versions change faster than queries
// run.
const maxRepins = 2

// coldTimeoutShare divides a turn: a sub-query at a cold leaf may take one such
// part, so that it can start in most of the turn.
const coldTimeoutShare = 6

// Engine pins requests to a snapshot, fans them out and merges the replies.
type Engine struct {
	Clock      trclock.Clock
	Instance   string // ID of this instance
	Zone       string
	Router     *trroute.Router
	Dispatcher *trroute.Dispatcher
	Leafs      LeafClient
	Hedges     Budget
	Retries    Budget
	Repins     Budget
	NewID      func() string // identifiers of sub-queries, unique in the fleet
	// Refresh asks the leafs of a service for what they hold. It returns when the
	// catalog has been updated or ctx has ended.
	Refresh func(ctx context.Context, service string)
}

// Serve is the last handler of the chain.
func (e *Engine) Serve(ctx context.Context, call *Call) (*trwire.Answer, error) {
	if call.Request.Kind == trwire.Execute {
		return e.execute(ctx, call)
	}
	return e.query(ctx, call)
}

// query serves a Query or a Fetch. It starts again on another version if the
// pinned one is lost while time remains.
func (e *Engine) query(ctx context.Context, call *Call) (*trwire.Answer, error) {
	var lost []uint64
	for {
		snap, err := e.pin(ctx, call, lost)
		if err != nil {
			return nil, err
		}
		f := newFanOut(e, call, snap)
		f.run(ctx)
		if !f.versionLost() || len(lost) >= maxRepins || !e.spendRepin(len(f.shards)) {
			return f.merge(ctx)
		}
		lost = append(lost, snap.Version)
		call.Stats.Repins++
		e.refresh(ctx, call.Request.Service)
		if ctx.Err() != nil || e.choose(call, lost) == nil {
			return f.merge(ctx)
		}
	}
}

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

// pin chooses the snapshot of a request. It refreshes the catalog once if the
// known versions do not serve.
func (e *Engine) pin(ctx context.Context, call *Call, lost []uint64) (*trroute.Snapshot, error) {
	if snap := e.choose(call, lost); snap != nil {
		return snap, nil
	}
	e.refresh(ctx, call.Request.Service)
	if snap := e.choose(call, lost); snap != nil {
		return snap, nil
	}
	kind := trwire.NotRun
	if call.Stats.SubQueries > 0 {
		kind = trwire.Incomplete
	}
	refusal := trwire.Refuse(kind, "no usable version of service %q from %d on", call.Request.Service, call.Request.MinVersion)
	refusal.RetryAfterMs = retryAfterVersion
	return nil, refusal
}

// choose returns the version to use, or nil. A version with missing shards is
// used only if the class takes partial answers or the request needs one shard
// only and that shard is there.
func (e *Engine) choose(call *Call, lost []uint64) *trroute.Snapshot {
	service := e.Router.Table().Service(call.Request.Service)
	if service == nil {
		return nil
	}
	if call.Request.Kind != trwire.Query {
		return chooseForKey(service, call.Request, lost)
	}
	snap, complete := service.Choose(call.Request.MinVersion)
	if snap != nil && slices.Contains(lost, snap.Version) {
		snap, complete = chooseOther(service, call.Request.MinVersion, lost)
	}
	if snap == nil || (!complete && !call.Class.AllowPartial) {
		return nil
	}
	return snap
}

func chooseOther(service *trroute.Service, minVersion uint64, lost []uint64) (*trroute.Snapshot, bool) {
	for i := range service.Snapshots {
		snap := &service.Snapshots[i]
		if snap.Version >= minVersion && !slices.Contains(lost, snap.Version) && snap.Complete() {
			return snap, true
		}
	}
	return nil, false
}

// chooseForKey prefers the newest complete version, so that a key moves between
// versions together with the queries. If none is complete, it takes the newest
// one that has the key's shard.
func chooseForKey(service *trroute.Service, req *trwire.Request, lost []uint64) *trroute.Snapshot {
	if snap, _ := chooseOther(service, req.MinVersion, lost); snap != nil {
		return snap
	}
	for i := range service.Snapshots {
		snap := &service.Snapshots[i]
		shard := trwire.ShardOf(req.Key, snap.ShardCount)
		if snap.Version >= req.MinVersion && !slices.Contains(lost, snap.Version) && len(snap.Shards[shard].Replicas) > 0 {
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

// attempt sends one sub-query: it waits for a leaf with capacity, sends and
// records the outcome. sent is called just before the write.
func (e *Engine) attempt(ctx context.Context, call *Call, snap *trroute.Snapshot, want trroute.AcquireRequest, q trwire.SubQuery, sent func(g *trroute.Grant)) (*trwire.SubReply, *trwire.AttemptError) {
	want.Timeout = e.attemptTimeout(call, e.Clock.Now())
	want.ColdTimeout = time.Duration(call.Policy.Fleet().TurnMs) * time.Millisecond / coldTimeoutShare
	// A caller that has left waits for no leaf; ctx itself outlives the caller of
	// a request that is not idempotent, so that its outcome is seen.
	grant, refused := e.Dispatcher.Acquire(tronce.CallerContext(ctx), want)
	if refused != nil {
		return nil, refused
	}
	started := e.Clock.Now()
	timeout := min(grant.Timeout, e.attemptTimeout(call, started))
	if timeout < time.Millisecond {
		late := &trwire.AttemptError{Kind: trwire.AttemptCanceled, Err: context.DeadlineExceeded}
		grant.Done(trroute.Outcome{Err: late})
		return nil, late
	}
	q.SubID = e.NewID()
	q.StartID = grant.StartID
	q.TimeoutMs = timeout.Milliseconds()
	sent(grant)
	reply, failure := e.send(ctx, grant, &q, timeout)
	if failure == nil {
		failure = checkRecords(reply, snap)
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
	ends := e.Clock.Now().Add(timeout)
	check := func() *trwire.AttemptError {
		now := e.Clock.Now()
		return grant.Permit.Check(now, ends.Sub(now))
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

// checkRecords compares the size of the shard a leaf answered from with what
// the catalog knows of the version. A leaf that answers from a shard it has not
// read in completely would otherwise count as coverage.
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
