package trquery

import (
	"context"
	"slices"

	"tanagerrock/core/trwire"
)

// merge builds the answer from the replies, or a refusal if shards are missing and
// the class does not accept the partial answer.
func (f *fanOut) merge(ctx context.Context) (*trwire.Answer, error) {
	coverage := f.coverage()
	if !coverage.Complete() && !f.partialAccepted(coverage) {
		return nil, f.refusal(ctx, coverage)
	}
	return &trwire.Answer{
		RequestID: f.call.Request.RequestID,
		Service:   f.call.Request.Service,
		Version:   f.snap.Version,
		Records:   f.records(),
		Coverage:  coverage,
		Instance:  f.engine.Instance,
	}, nil
}

func (f *fanOut) partialAccepted(coverage trwire.Coverage) bool {
	class := f.call.Class
	return class.AllowPartial && coverage.Shards > 0 &&
		float64(coverage.Shards) >= class.MinCoverage*float64(coverage.ShardsTotal)
}

// coverage counts only shards whose reply passed the checks and is in the answer.
func (f *fanOut) coverage() trwire.Coverage {
	c := trwire.Coverage{ShardsTotal: len(f.shards)}
	for i, shard := range f.shards {
		known := f.snap.Shards[shard].Records
		c.RecordsTotal += known
		if reply := f.state[i].reply; reply != nil {
			c.Shards++
			c.Records += reply.ShardRecords
			continue
		}
		c.Missing = append(c.Missing, trwire.MissingShard{Shard: shard, Reason: f.missReason(i)})
	}
	c.RecordsTotal = max(c.RecordsTotal, c.Records)
	return c
}

// missReason returns why shard i has no reply.
func (f *fanOut) missReason(i int) trwire.MissReason {
	st := &f.state[i]
	switch {
	case len(f.replicas(i)) == 0:
		return trwire.MissNoReplica
	case st.failure == nil || st.running > 0:
		return trwire.MissTimeout
	}
	switch st.failure.Kind {
	case trwire.AttemptTimeout, trwire.AttemptCanceled:
		return trwire.MissTimeout
	case trwire.AttemptShed, trwire.AttemptNoCapacity, trwire.AttemptNoTurn:
		return trwire.MissOverload
	}
	return trwire.MissFailed
}

// records merges the records of all replies, sorts them by CompareRecords and
// applies the limit of the request.
func (f *fanOut) records() []trwire.Record {
	total := 0
	for i := range f.state {
		if reply := f.state[i].reply; reply != nil {
			total += len(reply.Records)
		}
	}
	records := make([]trwire.Record, 0, total)
	for i := range f.state {
		if reply := f.state[i].reply; reply != nil {
			records = append(records, reply.Records...)
		}
	}
	slices.SortFunc(records, trwire.CompareRecords)
	if limit := f.call.Request.Limit; limit > 0 && len(records) > limit {
		records = records[:limit]
	}
	return records
}

// refusal explains why no answer is returned. It is NotRun or Overloaded only if no
// sub-query was written.
func (f *fanOut) refusal(ctx context.Context, coverage trwire.Coverage) *trwire.Refusal {
	missing := coverage.Missing[0]
	const format = "%d of %d shards are missing, shard %d first: %s"
	args := []any{len(coverage.Missing), coverage.ShardsTotal, missing.Shard, missing.Reason}
	switch {
	case ctx.Err() != nil || f.call.remaining(f.engine.Clock.Now()) <= 0:
		return trwire.Refuse(trwire.DeadlineExceeded, format, args...)
	case f.call.Stats.SubQueries > 0:
		return trwire.Refuse(trwire.Incomplete, format, args...)
	case missing.Reason == trwire.MissOverload:
		refusal := trwire.Refuse(trwire.Overloaded, format, args...)
		refusal.RetryAfterMs = retryAfterDefaultMs
		return refusal
	}
	refusal := trwire.Refuse(trwire.NotRun, format, args...)
	refusal.RetryAfterMs = retryAfterRefreshMs
	return refusal
}
