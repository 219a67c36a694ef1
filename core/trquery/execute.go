package trquery

import (
	"context"

	"tanagerrock/core/tronce"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// execute runs a request that is not idempotent on one replica of its shard. It
// tries another replica only if the failed attempt certainly did not run.
func (e *Engine) execute(ctx context.Context, call *Call) (*trwire.Answer, error) {
	call.Stats.ShardsNeeded = 1
	var tried []*trroute.Leaf
	var gone []uint64
	var last *trwire.AttemptError
	for range call.Class.MaxAttempts {
		snap, err := e.pin(tronce.CallerContext(ctx), call, gone)
		if err != nil {
			return nil, notRunRefusal(last, err)
		}
		shard := trwire.ShardOf(call.Request.Key, snap.ShardCount)
		want := trroute.AcquireRequest{
			Shard:    &snap.Shards[shard],
			Exclude:  tried,
			Worth:    call.Class.Worth,
			Deadline: call.Deadline,
		}
		reply, failure := e.attempt(ctx, call, snap, want, e.subQuery(call, snap, shard), func(g *trroute.Grant) {
			tried = append(tried, g.Leaf)
			call.Stats.SubQueries++
		})
		if failure == nil {
			return e.executeAnswer(call, snap, shard, reply), nil
		}
		if failure.MayHaveRun {
			return nil, trwire.Refuse(trwire.OutcomeUnknown, "the leaf did not confirm: %v", failure)
		}
		last = failure
		call.Stats.Retries++
		if failure.Kind == trwire.AttemptShed {
			tried = tried[:len(tried)-1] // the leaf is overloaded, not faulty
		}
		if failure.Kind == trwire.AttemptVersion {
			gone, tried = append(gone, snap.Version), nil
		}
		if len(tried) >= len(snap.Shards[shard].Replicas) {
			tried = nil
		}
		if tronce.CallerContext(ctx).Err() != nil {
			break
		}
	}
	return nil, notRunRefusal(last, nil)
}

// notRunRefusal refuses a request none of whose attempts ran. The reason is cause
// if it is set, otherwise the last failed attempt.
func notRunRefusal(last *trwire.AttemptError, cause error) *trwire.Refusal {
	if cause != nil {
		refusal := trwire.AsRefusal(cause)
		return &trwire.Refusal{Kind: trwire.NotRun, Reason: refusal.Reason, RetryAfterMs: refusal.RetryAfterMs}
	}
	refusal := trwire.Refuse(trwire.NotRun, "no replica took the request: %v", last)
	refusal.RetryAfterMs = retryAfterRefreshMs
	return refusal
}

func (e *Engine) executeAnswer(call *Call, snap *trroute.Snapshot, shard int, reply *trwire.SubReply) *trwire.Answer {
	return &trwire.Answer{
		RequestID: call.Request.RequestID,
		Service:   call.Request.Service,
		Version:   snap.Version,
		Records:   []trwire.Record{},
		Result:    reply.Result,
		Coverage: trwire.Coverage{
			Shards:       1,
			ShardsTotal:  1,
			Records:      reply.ShardRecords,
			RecordsTotal: max(reply.ShardRecords, snap.Shards[shard].Records),
		},
		Instance: e.Instance,
	}
}
