// Package tronce runs requests that are not idempotent at most once per request
// ID.
//
// A Table must run on the home of the request IDs that are passed to it, the one
// instance that executes requests with these IDs. It keeps every outcome for the
// retention period, so that a caller that repeats a request receives the outcome
// of the first run instead of causing a second one. Before a run it claims the
// request ID in the platform's store, so that a later home does not run the
// request again. While the store is unavailable, the table relies on its own
// memory, provided that this process has been the home of the request ID for the
// whole retention period.
//
// # Usage
//
//	table := tronce.NewTable(tronce.Options{
//		Retention:       func() time.Duration { return 10 * time.Minute },
//		Owner:           incarnation,
//		Claimer:         &tronce.StoreClaimer{Store: store, Retention: retention},
//		HistoryComplete: homeThroughRetention,
//	})
//	answer, err := table.Run(ctx, req, func(ctx context.Context) (*trwire.Answer, error) {
//		return engine.Execute(ctx, req)
//	})
//
// A refusal that promises that the request was not run is returned only if this
// process can prove it: it holds the claim, or its history of the request ID is
// complete. Otherwise the refusal is OutcomeUnknown.
package tronce

import (
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trpanic"
	"tanagerrock/core/trwire"
)

// Defaults for limits that are not set in Options.
const (
	defaultMaxEntries = 100_000
	defaultMaxBytes   = 64 << 20
	defaultRunTimeout = trwire.MaxTimeoutMs * time.Millisecond

	entryBytes   = 512      // estimated size of an entry without request ID and answer
	reserveBytes = 16 << 10 // reserved for the answer of a run in progress
)

// ClaimResult is the result of claiming a request ID.
type ClaimResult int

// Values of ClaimResult.
const (
	Unavailable ClaimResult = iota // the store gave no usable reply
	Granted                        // the claim was created by this call
	HeldBySelf                     // the owner already held the claim
	HeldByOther                    // another process holds the claim
)

// Claimer claims request IDs in a store that all processes share. An error that is
// a *trwire.Refusal means that no claim was attempted; it is passed on to the
// caller. With any other error the result is Unavailable.
type Claimer interface {
	Claim(ctx context.Context, id, owner string) (ClaimResult, error)
}

// Options configure a Table.
type Options struct {
	Clock     trclock.Clock        // nil for the system clock
	Retention func() time.Duration // returns the retention period; called with a lock held, so it must not block
	Owner     string               // incarnation of this process
	Claimer   Claimer
	// HistoryComplete reports whether this process has been the home of id for the
	// whole retention period, so that an ID that is not in the table was not run.
	// If it is nil, no history is complete.
	HistoryComplete func(id string) bool
	// MayHaveRun reports whether an earlier home may have run id without a claim in
	// the store. Such a request is refused with OutcomeUnknown. If MayHaveRun is nil,
	// no request is refused for this reason.
	MayHaveRun func(id string) bool
	MaxEntries int           // maximum number of request IDs, 0 for the default
	MaxBytes   int64         // maximum estimated memory, 0 for the default
	RunTimeout time.Duration // limit of one run, 0 for the longest timeout of a request
}

// Table keeps the outcome of each request ID for the retention period. It is safe
// for concurrent use.
type Table struct {
	options Options

	mu        sync.Mutex
	entries   map[string]*entry
	finished  list.List // of *entry, oldest outcome first
	bytes     int64
	queued    []string // request IDs that were run without a claim, which is still to be written
	conflicts int64
}

// entry is the state of one request ID. All fields are guarded by Table.mu. An
// outcome does not change once its done channel is closed; a retry replaces it.
type entry struct {
	id      string
	digest  [sha256.Size]byte // of the request, see contentDigest
	outcome *outcome
	running bool
	final   bool // the outcome is kept; otherwise a later call runs the request again
	// claimTried is set if a claim was attempted for this entry. A claim already held
	// by this owner then comes from this entry, not from an expired one.
	claimTried bool
	claimed    bool
	queued     bool  // the request ID is in Table.queued
	bytes      int64 // estimated size, included in Table.bytes
	finishedAt time.Time
	element    *list.Element // in Table.finished, nil while running
}

// outcome is the result of one run, shared by all calls that wait for it.
type outcome struct {
	done    chan struct{} // closed when answer or refusal is set
	answer  *trwire.Answer
	refusal *trwire.Refusal
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	if options.Clock == nil {
		options.Clock = trclock.System()
	}
	if options.MaxEntries <= 0 {
		options.MaxEntries = defaultMaxEntries
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = defaultMaxBytes
	}
	if options.RunTimeout <= 0 {
		options.RunTimeout = defaultRunTimeout
	}
	return &Table{options: options, entries: make(map[string]*entry)}
}

type callerKey struct{}

// CallerContext returns the context of the call that started a run, given the
// context of the run; any other context it returns unchanged. A run uses it for all
// work before the first byte is sent, so that nothing is sent once the caller has
// gone.
func CallerContext(ctx context.Context) context.Context {
	if callerCtx, ok := ctx.Value(callerKey{}).(context.Context); ok {
		return callerCtx
	}
	return ctx
}

// Run returns the outcome of req. It calls run unless an earlier call has done so
// within the retention period. The error is always a *trwire.Refusal. The context
// passed to run does not end with ctx, so that the outcome of a request that is
// already being sent is recorded.
//
// If run returns a refusal of kind NotRun, Overloaded or BadRequest, a later call
// runs the request again. Any other error is kept as OutcomeUnknown.
func (t *Table) Run(ctx context.Context, req *trwire.Request, run func(context.Context) (*trwire.Answer, error)) (*trwire.Answer, error) {
	digest, err := contentDigest(req)
	if err != nil {
		return nil, withRequestID(req.RequestID, trwire.Refuse(trwire.BadRequest, "%v", err))
	}
	e, o, first, refusal := t.register(req.RequestID, digest, t.historyComplete(req.RequestID))
	if refusal != nil {
		return nil, withRequestID(req.RequestID, refusal)
	}
	if first {
		t.start(ctx, e, o, run)
	}
	// An outcome that is available takes precedence over the end of ctx.
	select {
	case <-o.done:
		return o.result(req.RequestID)
	default:
	}
	select {
	case <-o.done:
		return o.result(req.RequestID)
	case <-ctx.Done():
		return nil, withRequestID(req.RequestID, trwire.Refuse(trwire.OutcomeUnknown, "request is still running: %v", context.Cause(ctx)))
	}
}

// register finds or creates the entry of id. If the entry has neither a run in
// progress nor a final outcome, it is marked running and first is true: Run must
// then start the request.
func (t *Table) register(id string, digest [sha256.Size]byte, historyComplete bool) (e *entry, o *outcome, first bool, refusal *trwire.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e = t.entries[id]
	if e == nil {
		cost := entryBytes + int64(len(id))
		if len(t.entries) >= t.options.MaxEntries || t.bytes+cost+reserveBytes > t.options.MaxBytes {
			return nil, nil, false, notRunOrUnknown(historyComplete, trwire.Refuse(trwire.NotRun, "table of identifiers is full"))
		}
		e = &entry{id: id, digest: digest, bytes: cost}
		t.entries[id] = e
		t.bytes += cost
	}
	if e.digest != digest {
		return nil, nil, false, trwire.Refuse(trwire.BadRequest, "identifier was used for a request with different content")
	}
	if e.running || e.final {
		return e, e.outcome, false, nil
	}
	if t.bytes+reserveBytes > t.options.MaxBytes {
		return nil, nil, false, notRunOrUnknown(historyComplete || e.claimed, trwire.Refuse(trwire.NotRun, "table of identifiers is full"))
	}
	if e.element != nil {
		t.finished.Remove(e.element)
		e.element = nil
	}
	e.running = true
	e.outcome = &outcome{done: make(chan struct{})}
	e.bytes += reserveBytes
	t.bytes += reserveBytes
	return e, e.outcome, true, nil
}

// start claims the request ID and calls run in a new goroutine.
func (t *Table) start(ctx context.Context, e *entry, o *outcome, run func(context.Context) (*trwire.Answer, error)) {
	refusal, final := t.claim(ctx, e)
	if refusal == nil && ctx.Err() != nil {
		refusal = trwire.Refuse(trwire.NotRun, "caller left before the request was sent: %v", context.Cause(ctx))
	}
	if refusal != nil {
		t.finish(e, o, nil, refusal, final)
		return
	}
	runCtx, cancel := context.WithCancelCause(context.WithValue(context.WithoutCancel(ctx), callerKey{}, ctx))
	stop := t.options.Clock.After(t.options.RunTimeout, func(time.Time) { cancel(context.DeadlineExceeded) })
	go func() {
		defer cancel(context.Canceled)
		defer stop()
		var answer *trwire.Answer
		var err error
		if panicked := trpanic.Do(func() { answer, err = run(runCtx) }); panicked != nil {
			answer, err = nil, panicked
		}
		t.recordResult(e, o, answer, err)
	}()
}

// claim claims the request ID of e. It returns nil if the request may run now,
// otherwise a refusal and whether it is the final outcome.
func (t *Table) claim(ctx context.Context, e *entry) (refusal *trwire.Refusal, final bool) {
	t.mu.Lock()
	claimed, claimTried := e.claimed, e.claimTried
	t.mu.Unlock()
	if claimed {
		return nil, false
	}
	if !claimTried && t.options.MayHaveRun != nil && t.options.MayHaveRun(e.id) {
		return trwire.Refuse(trwire.OutcomeUnknown, "an earlier home of the identifier may have run it without the store"), false
	}
	result, err := t.options.Claimer.Claim(ctx, e.id, t.options.Owner)
	var refused *trwire.Refusal
	if errors.As(err, &refused) {
		return notRunOrUnknown(t.historyComplete(e.id), refused), false
	}
	t.recordClaim(e, result)
	switch result {
	case Granted:
		return nil, false
	case HeldBySelf:
		if !claimTried {
			return trwire.Refuse(trwire.OutcomeUnknown, "identifier was claimed by an earlier run of this process"), true
		}
		return nil, false
	case HeldByOther:
		return trwire.Refuse(trwire.OutcomeUnknown, "identifier is claimed by another instance"), true
	}
	if !t.historyComplete(e.id) {
		return trwire.Refuse(trwire.OutcomeUnknown, "claim store is unavailable: %v", err), false
	}
	t.queueClaim(e)
	return nil, false
}

// recordClaim records the result of a claim made before the run.
func (t *Table) recordClaim(e *entry, result ClaimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.claimTried = true
	e.claimed = result == Granted || result == HeldBySelf
}

// queueClaim queues e for Flush, which writes its claim later.
func (t *Table) queueClaim(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !e.queued {
		e.queued = true
		t.queued = append(t.queued, e.id)
	}
}

// recordResult records the result of a run.
func (t *Table) recordResult(e *entry, o *outcome, answer *trwire.Answer, err error) {
	if err == nil && answer != nil {
		t.finish(e, o, answer, nil, true)
		return
	}
	if err == nil {
		err = errors.New("run returned neither an answer nor an error")
	}
	refusal := trwire.AsRefusal(err)
	switch refusal.Kind {
	case trwire.NotRun, trwire.Overloaded, trwire.BadRequest:
		t.finish(e, o, nil, refusal, false)
	default:
		t.finish(e, o, nil, trwire.Refuse(trwire.OutcomeUnknown, "%s", refusal.Reason), true)
	}
}

// finish sets the outcome, wakes the waiting calls and replaces the space reserved
// for the answer by its actual size. An answer that does not fit into MaxBytes is
// returned to the waiting calls only, and later calls receive OutcomeUnknown.
func (t *Table) finish(e *entry, o *outcome, answer *trwire.Answer, refusal *trwire.Refusal, final bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.answer, o.refusal = answer, refusal
	kept := o
	size := o.size()
	if size > reserveBytes && t.bytes-reserveBytes+size > t.options.MaxBytes {
		kept = &outcome{done: o.done, refusal: trwire.Refuse(trwire.OutcomeUnknown, "request has run, but its answer was too large to keep")}
		size = kept.size()
	}
	e.outcome = kept
	e.running, e.final = false, final
	previous := e.bytes
	e.bytes = entryBytes + int64(len(e.id)) + size
	t.bytes += e.bytes - previous
	e.finishedAt = t.options.Clock.Now()
	e.element = t.finished.PushBack(e)
	close(o.done)
}

// expire removes entries whose outcome is older than the retention period. Entries
// of running requests are kept. The caller must hold t.mu.
func (t *Table) expire() {
	oldest := t.options.Clock.Now().Add(-t.options.Retention())
	for front := t.finished.Front(); front != nil; front = t.finished.Front() {
		e := front.Value.(*entry)
		if e.finishedAt.After(oldest) {
			return
		}
		t.finished.Remove(front)
		delete(t.entries, e.id)
		t.bytes -= e.bytes
	}
}

// Flush writes the claims of requests that were run while the store was unavailable.
// It returns the number of claims written and the error that stopped it, if any. It
// must be called when the store is available again and before a sender index is
// released.
func (t *Table) Flush(ctx context.Context) (written int, err error) {
	for {
		e := t.nextQueued()
		if e == nil {
			return written, nil
		}
		result, err := t.options.Claimer.Claim(ctx, e.id, t.options.Owner)
		if err == nil && result == Unavailable {
			err = errors.New("claim store is unavailable")
		}
		if err != nil {
			t.queueClaim(e)
			return written, errors.Wrapf(err, "write claim of %q", e.id)
		}
		t.recordQueuedClaim(e, result)
		written++
	}
}

// nextQueued removes and returns the next queued entry that still needs a claim,
// or nil.
func (t *Table) nextQueued() *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	for len(t.queued) > 0 {
		e := t.entries[t.queued[0]]
		t.queued = t.queued[1:]
		if e == nil {
			continue
		}
		e.queued = false
		if !e.claimed {
			return e
		}
	}
	return nil
}

// recordQueuedClaim records the result of a claim that was written after the run.
func (t *Table) recordQueuedClaim(e *entry, result ClaimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result == HeldByOther {
		t.conflicts++
		return
	}
	e.claimed = true
}

// Stats describes the usage of a table.
type Stats struct {
	Entries   int
	Bytes     int64 // estimated memory
	Queued    int   // claims not yet written
	Conflicts int64 // requests run without a claim although another process held it
}

// Stats returns the current usage.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return Stats{Entries: len(t.entries), Bytes: t.bytes, Queued: len(t.queued), Conflicts: t.conflicts}
}

// historyComplete reports whether an ID that is not in the table was not run.
func (t *Table) historyComplete(id string) bool {
	return t.options.HistoryComplete != nil && t.options.HistoryComplete(id)
}

// result returns a copy of the outcome, since all waiting calls share it.
func (o *outcome) result(id string) (*trwire.Answer, error) {
	if o.refusal != nil {
		return nil, withRequestID(id, o.refusal)
	}
	answer := *o.answer
	return &answer, nil
}

// size estimates the memory of the outcome.
func (o *outcome) size() int64 {
	if o.answer == nil {
		return int64(len(o.refusal.Reason))
	}
	size := len(o.answer.Result)
	for i := range o.answer.Records {
		r := &o.answer.Records[i]
		size += len(r.Key) + len(r.Value) + entryBytes/8
	}
	return int64(size + len(o.answer.Coverage.Missing)*entryBytes/8)
}

// notRunOrUnknown returns r, which promises that the request was not run, if that is
// proven. Otherwise an earlier home may have run the request, and the result is
// OutcomeUnknown.
func notRunOrUnknown(proven bool, r *trwire.Refusal) *trwire.Refusal {
	if proven {
		return r
	}
	unknown := trwire.Refuse(trwire.OutcomeUnknown, "not run by this instance (%s), but an earlier one may have run it", r.Reason)
	unknown.RetryAfterMs = r.RetryAfterMs
	return unknown
}

// withRequestID returns a copy of r that names the request.
func withRequestID(id string, r *trwire.Refusal) *trwire.Refusal {
	copied := *r
	copied.RequestID = id
	return &copied
}

// contentDigest returns a digest of req without TimeoutMs, which may differ between a
// request and its repetition.
func contentDigest(req *trwire.Request) (digest [sha256.Size]byte, err error) {
	content := *req
	content.TimeoutMs = 0
	encoded, err := json.Marshal(&content)
	if err != nil {
		return digest, errors.Wrap(err, "encode request")
	}
	return sha256.Sum256(encoded), nil
}
