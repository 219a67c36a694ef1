package trquery

import (
	"context"
	"slices"
	"time"

	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// fanOut is one fan-out of a request over the shards of a snapshot.
type fanOut struct {
	engine *Engine
	call   *Call
	snap   *trroute.Snapshot
	shards []int // shards to ask
	state  []shardState
	events chan event
}

// shardState is the progress on one shard. Only the goroutine of run uses it.
type shardState struct {
	reply    *trwire.SubReply
	ctx      context.Context // of all attempts, ends when the shard is finished
	cancel   context.CancelFunc
	sent     []*trroute.Leaf
	attempts int
	running  int
	failure  *trwire.AttemptError // the last failed attempt
	mayRun   bool                 // some attempt may have run
	done     bool
	stop     func() // stops the hedge timer
}

// event is something that happened to a shard.
type event struct {
	index   int // position in shards
	kind    eventKind
	leaf    *trroute.Leaf
	hedge   bool
	probe   bool // the leaf is probed, and the budget has paid for a second attempt
	reply   *trwire.SubReply
	failure *trwire.AttemptError
}

type eventKind int

const (
	eventSent eventKind = iota
	eventEnd
	eventHedge
	eventPartial
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

// run asks all shards and returns when each is answered or given up, when the
// class's time for a partial answer has come, or when ctx ends. All attempts are
// canceled then.
func (f *fanOut) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	perShard := 2*f.call.Class.MaxAttempts + 2 // sent and end of each attempt, hedge timers
	f.events = make(chan event, len(f.shards)*perShard+1)
	f.call.Stats.ShardsNeeded = len(f.shards)
	f.engine.Hedges.Earn(len(f.shards))
	f.engine.Retries.Earn(len(f.shards))
	f.engine.Repins.Earn(len(f.shards))
	defer f.startPartialTimer()()

	open := len(f.shards)
	for i := range f.shards {
		if !f.begin(ctx, i) {
			open--
		}
	}
	partialDue := false
	for open > 0 && !(partialDue && f.enough()) {
		select {
		case <-ctx.Done():
			open = 0
		case ev := <-f.events:
			switch ev.kind {
			case eventPartial:
				partialDue = true
			case eventSent:
				f.onSent(ev)
			case eventHedge:
				f.onHedge(ev)
			case eventEnd:
				if f.onEnd(ctx, ev) {
					open--
				}
			}
		}
	}
	for i := range f.state {
		f.stopTimer(i)
	}
}

func (f *fanOut) startPartialTimer() (stop func()) {
	class := f.call.Class
	if !class.AllowPartial || class.PartialMs <= 0 {
		return func() {}
	}
	return f.engine.Clock.After(time.Duration(class.PartialMs)*time.Millisecond, func(time.Time) {
		f.events <- event{kind: eventPartial}
	})
}

// enough reports whether a partial answer has the least coverage of the class.
func (f *fanOut) enough() bool {
	answered := 0
	for i := range f.state {
		if f.state[i].reply != nil {
			answered++
		}
	}
	return answered > 0 && float64(answered) >= f.call.Class.MinCoverage*float64(len(f.state))
}

// begin starts the first attempt at a shard. It returns false if the shard has
// no replica.
func (f *fanOut) begin(ctx context.Context, i int) bool {
	st := &f.state[i]
	if len(f.replicas(i)) == 0 {
		st.done = true
		return false
	}
	st.ctx, st.cancel = context.WithCancel(ctx)
	f.launch(i, false)
	return true
}

func (f *fanOut) replicas(i int) []*trroute.Leaf { return f.snap.Shards[f.shards[i]].Replicas }

// launch starts an attempt. A hedge does not wait for capacity: waiting would
// put extra work in front of regular work.
func (f *fanOut) launch(i int, hedge bool) {
	st := &f.state[i]
	st.attempts++
	st.running++
	want := trroute.AcquireRequest{
		Shard:    &f.snap.Shards[f.shards[i]],
		Exclude:  slices.Clone(st.sent),
		Worth:    f.call.Class.Worth,
		Deadline: f.call.Deadline,
		NoWait:   hedge,
	}
	if st.attempts == 1 && f.call.Class.Hedge && f.call.Class.MaxAttempts > 1 {
		want.Probe = f.engine.Hedges.Spend
	}
	q := f.engine.subQuery(f.call, f.snap, f.shards[i])
	go func() {
		var leaf *trroute.Leaf
		sent := func(g *trroute.Grant) {
			leaf = g.Leaf
			f.events <- event{index: i, kind: eventSent, leaf: g.Leaf, hedge: hedge, probe: g.Probe}
		}
		reply, failure := f.engine.attempt(st.ctx, f.call, f.snap, want, q, sent)
		f.events <- event{index: i, kind: eventEnd, leaf: leaf, hedge: hedge, reply: reply, failure: failure}
	}()
}

func (f *fanOut) onSent(ev event) {
	st := &f.state[ev.index]
	st.sent = append(st.sent, ev.leaf)
	f.call.Stats.SubQueries++
	if ev.hedge {
		f.call.Stats.Hedges++
	}
	if ev.probe && !st.done {
		// The query must not wait for a replica that is known to be slow.
		f.call.Stats.Hedges++
		f.launch(ev.index, false)
		return
	}
	if st.done || ev.hedge || st.stop != nil || !f.call.Class.Hedge || len(f.replicas(ev.index)) < 2 {
		return
	}
	delay := f.engine.Dispatcher.HedgeDelay(f.call.Request.Service, f.call.Class.HedgeQuantile)
	st.stop = f.engine.Clock.After(delay, func(time.Time) {
		f.events <- event{index: ev.index, kind: eventHedge}
	})
}

func (f *fanOut) stopTimer(i int) {
	if st := &f.state[i]; st.stop != nil {
		st.stop()
	}
}

func (f *fanOut) onHedge(ev event) {
	st := &f.state[ev.index]
	if st.done || st.running == 0 || st.attempts >= f.call.Class.MaxAttempts || !f.engine.Hedges.Spend() {
		return
	}
	f.launch(ev.index, true)
}

// onEnd handles the end of an attempt and reports whether the shard is finished.
func (f *fanOut) onEnd(ctx context.Context, ev event) bool {
	st := &f.state[ev.index]
	st.running--
	if st.done {
		return false
	}
	if ev.failure == nil {
		st.reply = ev.reply
		return f.finish(ev.index)
	}
	st.mayRun = st.mayRun || ev.failure.MayHaveRun
	if ev.failure.Kind == trwire.AttemptShed {
		// The leaf is busy, not faulty: after its pause it may be better than the
		// replicas left.
		st.sent = slices.DeleteFunc(st.sent, func(l *trroute.Leaf) bool { return l == ev.leaf })
	}
	if !ev.hedge || st.failure == nil {
		st.failure = ev.failure
	}
	if st.running > 0 {
		return false // the other attempt may still answer
	}
	if ctx.Err() == nil && f.mayRetry(ev.index, ev.failure) {
		f.call.Stats.Retries++
		f.launch(ev.index, false)
		return false
	}
	return f.finish(ev.index)
}

func (f *fanOut) finish(i int) bool {
	st := &f.state[i]
	st.done = true
	f.stopTimer(i)
	st.cancel()
	return true
}

// mayRetry decides on another attempt. A shard whose version is gone at a leaf
// may be retried at another replica, which may still have it.
func (f *fanOut) mayRetry(i int, failure *trwire.AttemptError) bool {
	st := &f.state[i]
	if st.attempts >= f.call.Class.MaxAttempts || failure.Kind == trwire.AttemptCanceled {
		return false
	}
	if f.call.remaining(f.engine.Clock.Now()) <= 0 {
		return false
	}
	if len(st.sent) >= len(f.replicas(i)) {
		st.sent = st.sent[:0] // every replica was tried: start over
	}
	return f.engine.Retries.Spend()
}

// versionLost reports whether a shard failed because its version is no longer
// held.
func (f *fanOut) versionLost() bool {
	for i := range f.state {
		st := &f.state[i]
		if st.reply == nil && st.failure != nil && st.failure.Kind == trwire.AttemptVersion {
			return true
		}
	}
	return false
}
