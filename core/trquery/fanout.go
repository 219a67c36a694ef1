package trquery

import (
	"context"
	"slices"
	"time"

	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// fanOut sends the sub-queries of a request to the shards of a snapshot and
// collects the replies.
type fanOut struct {
	engine *Engine
	call   *Call
	snap   *trroute.Snapshot
	shards []int // shards to query
	state  []shardState
	events chan event
}

// shardState is the state of the sub-queries to one shard. It is accessed only by
// the goroutine that calls run.
type shardState struct {
	reply      *trwire.SubReply
	ctx        context.Context // context of all attempts, canceled when the shard is done
	cancel     context.CancelFunc
	tried      []*trroute.Leaf      // leafs to exclude from further attempts
	attempts   int                  // attempts started
	running    int                  // attempts in progress
	failure    *trwire.AttemptError // last failure; a hedge only sets it if it is nil
	mayHaveRun bool                 // an attempt may have run
	done       bool
	stop       func() // stops the hedge timer
}

// event tells run of the progress of an attempt or of an expired timer.
type event struct {
	index   int // position in shards
	kind    eventKind
	leaf    *trroute.Leaf
	hedge   bool
	probe   bool // the sub-query probes a slow leaf; a second attempt is already paid from the budget of hedges
	reply   *trwire.SubReply
	failure *trwire.AttemptError
}

type eventKind int

const (
	eventSending    eventKind = iota // a sub-query is about to be passed to the leaf client
	eventEnded                       // an attempt has ended
	eventHedgeDue                    // the hedge delay of a shard has passed
	eventPartialDue                  // a partial answer may be returned from now on
)

func newFanOut(e *Engine, call *Call, snap *trroute.Snapshot) *fanOut {
	f := &fanOut{engine: e, call: call, snap: snap}
	if call.Request.Kind == trwire.Query {
		f.shards = make([]int, snap.ShardCount)
		for i := range f.shards {
			f.shards[i] = i
		}
	} else {
		f.shards = []int{trwire.ShardOf(call.Request.Key, snap.ShardCount)}
	}
	f.state = make([]shardState, len(f.shards))
	return f
}

// run queries all shards. It returns when every shard has replied or failed, when
// PartialMs of the class has passed and the replies reach MinCoverage, or when ctx
// ends. Attempts still in progress are then canceled.
func (f *fanOut) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// eventSending and eventEnded of each attempt, eventHedgeDue and one spare, so that
	// no sender blocks.
	eventsPerShard := 2*f.call.Class.MaxAttempts + 2
	f.events = make(chan event, len(f.shards)*eventsPerShard+1)
	f.call.Stats.ShardsNeeded = len(f.shards)
	f.engine.Hedges.Earn(len(f.shards))
	f.engine.Retries.Earn(len(f.shards))
	f.engine.Repins.Earn(len(f.shards))
	defer f.startPartialTimer()()

	pending := len(f.shards)
	for i := range f.shards {
		if !f.startShard(ctx, i) {
			pending--
		}
	}
	partialDue := false
	for pending > 0 && !(partialDue && f.minCoverageReached()) {
		select {
		case <-ctx.Done():
			pending = 0
		case ev := <-f.events:
			switch ev.kind {
			case eventPartialDue:
				partialDue = true
			case eventSending:
				f.onSending(ev)
			case eventHedgeDue:
				f.onHedgeDue(ev)
			case eventEnded:
				if f.onEnded(ctx, ev) {
					pending--
				}
			}
		}
	}
	for i := range f.state {
		f.stopTimer(i)
	}
}

// startPartialTimer schedules eventPartialDue if the class accepts partial answers.
func (f *fanOut) startPartialTimer() (stop func()) {
	class := f.call.Class
	if !class.AllowPartial || class.PartialMs <= 0 {
		return func() {}
	}
	return f.engine.Clock.After(time.Duration(class.PartialMs)*time.Millisecond, func(time.Time) {
		f.events <- event{kind: eventPartialDue}
	})
}

// minCoverageReached reports whether the replies so far reach MinCoverage of the
// class.
func (f *fanOut) minCoverageReached() bool {
	answered := 0
	for i := range f.state {
		if f.state[i].reply != nil {
			answered++
		}
	}
	return answered > 0 && float64(answered) >= f.call.Class.MinCoverage*float64(len(f.state))
}

// startShard starts the first attempt at a shard. It returns false if the shard has
// no replica.
func (f *fanOut) startShard(ctx context.Context, i int) bool {
	st := &f.state[i]
	if len(f.replicas(i)) == 0 {
		st.done = true
		return false
	}
	st.ctx, st.cancel = context.WithCancel(ctx)
	f.startAttempt(i, false)
	return true
}

func (f *fanOut) replicas(i int) []*trroute.Leaf { return f.snap.Shards[f.shards[i]].Replicas }

// startAttempt starts an attempt at shard i. A hedge does not wait for capacity, so
// that it never delays another sub-query.
func (f *fanOut) startAttempt(i int, hedge bool) {
	st := &f.state[i]
	st.attempts++
	st.running++
	want := trroute.AcquireRequest{
		Shard:    &f.snap.Shards[f.shards[i]],
		Exclude:  slices.Clone(st.tried),
		Worth:    f.call.Class.Worth,
		Deadline: f.call.Deadline,
		NoWait:   hedge,
	}
	if st.attempts == 1 && f.call.Class.Hedge && f.call.Class.MaxAttempts > 1 {
		want.SpendProbe = f.engine.Hedges.Spend
	}
	q := f.engine.subQuery(f.call, f.snap, f.shards[i])
	go func() {
		var leaf *trroute.Leaf
		beforeSend := func(g *trroute.Grant) {
			leaf = g.Leaf
			f.events <- event{index: i, kind: eventSending, leaf: g.Leaf, hedge: hedge, probe: g.Probe}
		}
		reply, failure := f.engine.attempt(st.ctx, f.call, f.snap, want, q, beforeSend)
		f.events <- event{index: i, kind: eventEnded, leaf: leaf, hedge: hedge, reply: reply, failure: failure}
	}()
}

func (f *fanOut) onSending(ev event) {
	st := &f.state[ev.index]
	st.tried = append(st.tried, ev.leaf)
	f.call.Stats.SubQueries++
	if ev.hedge {
		f.call.Stats.Hedges++
	}
	if ev.probe && !st.done {
		// The probed replica is known to be slow, so a second attempt starts at once.
		f.call.Stats.Hedges++
		f.startAttempt(ev.index, false)
		return
	}
	if st.done || ev.hedge || st.stop != nil || !f.call.Class.Hedge || len(f.replicas(ev.index)) < 2 {
		return
	}
	delay := f.engine.Dispatcher.HedgeDelay(f.call.Request.Service, f.call.Class.HedgeQuantile)
	st.stop = f.engine.Clock.After(delay, func(time.Time) {
		f.events <- event{index: ev.index, kind: eventHedgeDue}
	})
}

func (f *fanOut) stopTimer(i int) {
	if st := &f.state[i]; st.stop != nil {
		st.stop()
	}
}

func (f *fanOut) onHedgeDue(ev event) {
	st := &f.state[ev.index]
	if st.done || st.running == 0 || st.attempts >= f.call.Class.MaxAttempts || !f.engine.Hedges.Spend() {
		return
	}
	f.startAttempt(ev.index, true)
}

// onEnded handles the end of an attempt and reports whether the shard is done.
func (f *fanOut) onEnded(ctx context.Context, ev event) bool {
	st := &f.state[ev.index]
	st.running--
	if st.done {
		return false
	}
	if ev.failure == nil {
		st.reply = ev.reply
		return f.finishShard(ev.index)
	}
	st.mayHaveRun = st.mayHaveRun || ev.failure.MayHaveRun
	if ev.failure.Kind == trwire.AttemptShed {
		// The leaf is overloaded, not faulty. Once its pause is over, it may be a
		// better choice than the remaining replicas.
		st.tried = slices.DeleteFunc(st.tried, func(l *trroute.Leaf) bool { return l == ev.leaf })
	}
	if !ev.hedge || st.failure == nil {
		st.failure = ev.failure
	}
	if st.running > 0 {
		return false // the other attempt may still succeed
	}
	if ctx.Err() == nil && f.mayRetry(ev.index, ev.failure) {
		f.call.Stats.Retries++
		f.startAttempt(ev.index, false)
		return false
	}
	return f.finishShard(ev.index)
}

func (f *fanOut) finishShard(i int) bool {
	st := &f.state[i]
	st.done = true
	f.stopTimer(i)
	st.cancel()
	return true
}

// mayRetry reports whether another attempt at shard i is allowed. A failure because
// a leaf no longer holds the version is retried too, since another replica may
// still hold it.
func (f *fanOut) mayRetry(i int, failure *trwire.AttemptError) bool {
	st := &f.state[i]
	if st.attempts >= f.call.Class.MaxAttempts || failure.Kind == trwire.AttemptCanceled {
		return false
	}
	if f.call.remaining(f.engine.Clock.Now()) <= 0 {
		return false
	}
	if len(st.tried) >= len(f.replicas(i)) {
		st.tried = st.tried[:0] // every replica was tried, so allow all again
	}
	return f.engine.Retries.Spend()
}

// versionGone reports whether a shard failed because the leaf does not hold the
// pinned version.
func (f *fanOut) versionGone() bool {
	for i := range f.state {
		st := &f.state[i]
		if st.reply == nil && st.failure != nil && st.failure.Kind == trwire.AttemptVersion {
			return true
		}
	}
	return false
}
