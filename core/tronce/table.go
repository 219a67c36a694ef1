// Package tronce runs requests that are not idempotent at most once per
// identifier.
//
// A Table belongs to the home of the identifiers that are passed to it. It keeps
// every outcome for the retention, so that a caller that repeats a request gets
// the outcome of the first run instead of a second run. Before a run it claims
// the identifier in the platform's store, so that a later home does not run the
// request again. While the store is unavailable, memory alone decides, provided
// that this process has been the identifier's home for the whole retention.
//
// # Usage
//
//	table := tronce.NewTable(tronce.Options{
//		Retention: func() time.Duration { return 10 * time.Minute },
//		Owner:     incarnation,
//		Claims:    &tronce.StoreClaims{Store: store, Retention: retention},
//		Complete:  senderTable.HomeThroughout,
//	})
//	answer, err := table.Run(ctx, req, func(ctx context.Context) (*trwire.Answer, error) {
//		return engine.Execute(ctx, req)
//	})
//
// A refusal that promises that the request was not run is given only if this
// process can prove it: it holds the claim, or memory is complete for the
// identifier. Otherwise the refusal is OutcomeUnknown.
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
	"tanagerrock/core/trwire"
)

// Bounds that apply where Options name none.
const (
	defaultMaxEntries = 100_000
	defaultMaxBytes   = 64 << 20
	defaultRunLimit   = trwire.MaxTimeoutMs * time.Millisecond

	entryBytes   = 512      // estimate of an entry without identifier and answer
	reserveBytes = 16 << 10 // set aside for the answer of a run in progress
)

// ClaimResult is the result of claiming an identifier.
type ClaimResult int

// Results of a claim.
const (
	Unavailable ClaimResult = iota // the store gave no usable answer
	Granted                        // the claim was created by this call
	HeldBySelf                     // the owner already held the claim
	HeldByOther                    // another process holds the claim
)

// Claimer claims identifiers in a store that all processes share. An error that
// is a *trwire.Refusal means that the claim was not tried, and is passed on to
// the caller. Any other error goes with Unavailable.
type Claimer interface {
	Claim(ctx context.Context, id, owner string) (ClaimResult, error)
}

// Options configure a Table.
type Options struct {
	Clock     trclock.Clock        // nil for the system clock
	Retention func() time.Duration // called with a lock held, so it must not block
	Owner     string               // incarnation of this process
	Claimer   Claimer
	// HistoryComplete reports whether this process was the home of id for the whole
	// retention, so that an identifier that is not in the table was not run.
	// nil means never.
	HistoryComplete func(id string) bool
	// MayHaveRun reports whether an earlier home may have run id without a claim
	// in the store. Such an identifier is answered OutcomeUnknown. nil means never.
	MayHaveRun func(id string) bool
	MaxEntries int           // most identifiers, 0 for the default
	MaxBytes   int64         // estimated memory of the table, 0 for the default
	RunTimeout time.Duration // longest run, 0 for the longest timeout of a request
}

// Table remembers the outcome of each identifier. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	entries  map[string]*entry
	finished list.List // of *entry, oldest outcome first
	bytes    int64
	queued   []string // identifiers run from memory whose claim is not yet written
	conflict int64
}

// entry is the state of one identifier. All members are guarded by Table.mu; the
// outcome does not change once done is closed, until a retry replaces it.
type entry struct {
	id       string
	content  [sha256.Size]byte
	outcome  *outcome
	running  bool
	final    bool // the outcome stays; otherwise a later call runs the request
	tried    bool // a claim was attempted, so a claim of this owner is not from a forgotten run
	claimed  bool
	queued   bool // the identifier is in Table.queued
	bytes    int64
	finished time.Time
	place    *list.Element // in Table.finished, nil while running
}

// outcome is the result of one run, for all calls that wait for it.
type outcome struct {
	done    chan struct{}
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
		options.RunTimeout = defaultRunLimit
	}
	return &Table{options: options, entries: make(map[string]*entry)}
}

type callerKey struct{}

// CallerContext returns the context of the call that started a run, from the context
// that the run was given. A run uses it for all work before the first byte is
// sent, so that nothing is sent for a caller that has left.
func CallerContext(ctx context.Context) context.Context {
	if caller, ok := ctx.Value(callerKey{}).(context.Context); ok {
		return caller
	}
	return ctx
}

// Run returns the outcome of req, and runs it if no call has done so within the
// retention. The error is always a *trwire.Refusal. The context of run does not
// end with ctx, since a request that is being sent must be seen to its end.
//
// If run returns a refusal NotRun, Overloaded or BadRequest, a later call runs
// the request again. Every other error is kept as OutcomeUnknown.
func (t *Table) Run(ctx context.Context, req *trwire.Request, run func(context.Context) (*trwire.Answer, error)) (*trwire.Answer, error) {
	content, err := contentOf(req)
	if err != nil {
		return nil, named(req.RequestID, trwire.Refuse(trwire.BadRequest, "%v", err))
	}
	e, o, first, refusal := t.enter(req.RequestID, content, t.complete(req.RequestID))
	if refusal != nil {
		return nil, named(req.RequestID, refusal)
	}
	if first {
		t.start(ctx, e, o, run)
	}
	select {
	case <-o.done:
		return o.result(req.RequestID)
	default:
	}
	select {
	case <-o.done:
		return o.result(req.RequestID)
	case <-ctx.Done():
		return nil, named(req.RequestID, trwire.Refuse(trwire.OutcomeUnknown, "request is still running: %v", context.Cause(ctx)))
	}
}

// enter finds or makes the entry of id. first tells that the call must run it.
func (t *Table) enter(id string, content [sha256.Size]byte, complete bool) (e *entry, o *outcome, first bool, refusal *trwire.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e = t.entries[id]
	if e == nil {
		cost := entryBytes + int64(len(id))
		if len(t.entries) >= t.options.MaxEntries || t.bytes+cost+reserveBytes > t.options.MaxBytes {
			return nil, nil, false, unproven(complete, trwire.Refuse(trwire.NotRun, "table of identifiers is full"))
		}
		e = &entry{id: id, content: content, bytes: cost}
		t.entries[id] = e
		t.bytes += cost
	}
	if e.content != content {
		return nil, nil, false, trwire.Refuse(trwire.BadRequest, "identifier was used for a request with different content")
	}
	if e.running || e.final {
		return e, e.outcome, false, nil
	}
	if t.bytes+reserveBytes > t.options.MaxBytes {
		return nil, nil, false, unproven(complete || e.claimed, trwire.Refuse(trwire.NotRun, "table of identifiers is full"))
	}
	if e.place != nil {
		t.finished.Remove(e.place)
		e.place = nil
	}
	e.running = true
	e.outcome = &outcome{done: make(chan struct{})}
	e.bytes += reserveBytes
	t.bytes += reserveBytes
	return e, e.outcome, true, nil
}

// start claims the identifier and begins the run on a goroutine of its own.
func (t *Table) start(ctx context.Context, e *entry, o *outcome, run func(context.Context) (*trwire.Answer, error)) {
	refusal, final := t.permit(ctx, e)
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
		answer, err := run(runCtx)
		t.conclude(e, o, answer, err)
	}()
}

// permit claims the identifier. It returns nil if the request may run now, else
// a refusal and whether it stays.
func (t *Table) permit(ctx context.Context, e *entry) (refusal *trwire.Refusal, final bool) {
	t.mu.Lock()
	claimed, tried := e.claimed, e.tried
	t.mu.Unlock()
	if claimed {
		return nil, false
	}
	if !tried && t.options.MayHaveRun != nil && t.options.MayHaveRun(e.id) {
		return trwire.Refuse(trwire.OutcomeUnknown, "an earlier home of the identifier may have run it without the store"), false
	}
	result, err := t.options.Claimer.Claim(ctx, e.id, t.options.Owner)
	var refused *trwire.Refusal
	if errors.As(err, &refused) {
		return unproven(t.complete(e.id), refused), false
	}
	t.note(e, result)
	switch result {
	case Granted:
		return nil, false
	case HeldBySelf:
		if !tried {
			return trwire.Refuse(trwire.OutcomeUnknown, "identifier was claimed by an earlier run of this process"), true
		}
		return nil, false
	case HeldByOther:
		return trwire.Refuse(trwire.OutcomeUnknown, "identifier is claimed by another instance"), true
	}
	if !t.complete(e.id) {
		return trwire.Refuse(trwire.OutcomeUnknown, "claim store is unavailable: %v", err), false
	}
	t.queue(e)
	return nil, false
}

// note records the result of a claim.
func (t *Table) note(e *entry, result ClaimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.tried = true
	e.claimed = result == Granted || result == HeldBySelf
}

// queue notes that the claim of e is to be written later.
func (t *Table) queue(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !e.queued {
		e.queued = true
		t.queued = append(t.queued, e.id)
	}
}

// conclude records what a run returned.
func (t *Table) conclude(e *entry, o *outcome, answer *trwire.Answer, err error) {
	if err == nil && answer != nil {
		t.finish(e, o, answer, nil, true)
		return
	}
	if err == nil {
		err = errors.New("run gave no answer")
	}
	refusal := trwire.AsRefusal(err)
	switch refusal.Kind {
	case trwire.NotRun, trwire.Overloaded, trwire.BadRequest:
		t.finish(e, o, nil, refusal, false)
	default:
		t.finish(e, o, nil, trwire.Refuse(trwire.OutcomeUnknown, "%s", refusal.Reason), true)
	}
}

// finish publishes an outcome and frees the space set aside for the answer. An
// answer for which there is no room is given to the present callers only.
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
	e.finished = t.options.Clock.Now()
	e.place = t.finished.PushBack(e)
	close(o.done)
}

// expire forgets outcomes that are older than the retention. Running entries
// stay.
func (t *Table) expire() {
	oldest := t.options.Clock.Now().Add(-t.options.Retention())
	for front := t.finished.Front(); front != nil; front = t.finished.Front() {
		e := front.Value.(*entry)
		if e.finished.After(oldest) {
			return
		}
		t.finished.Remove(front)
		delete(t.entries, e.id)
		t.bytes -= e.bytes
	}
}

// Flush writes the claims of requests that were run from memory. It returns the
// number of claims written and the error that stopped it, if any. Call it when
// the store is available again and before a sender index is released.
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
			t.queue(e)
			return written, errors.Wrapf(err, "write claim of %q", e.id)
		}
		t.settle(e, result)
		written++
	}
}

// nextQueued takes the next queued entry that still needs a claim.
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

// settle records the result of a claim that was written after the run.
func (t *Table) settle(e *entry, result ClaimResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result == HeldByOther {
		t.conflict++
		return
	}
	e.claimed = true
}

// Stats is the fill of a table.
type Stats struct {
	Entries   int
	Bytes     int64 // estimate
	Queued    int   // claims not yet written
	Conflicts int64 // identifiers run from memory that another process had claimed
}

// Stats returns the present fill.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return Stats{Entries: len(t.entries), Bytes: t.bytes, Queued: len(t.queued), Conflicts: t.conflict}
}

func (t *Table) complete(id string) bool {
	return t.options.HistoryComplete != nil && t.options.HistoryComplete(id)
}

// result returns copies, since all callers share the outcome.
func (o *outcome) result(id string) (*trwire.Answer, error) {
	if o.refusal != nil {
		return nil, named(id, o.refusal)
	}
	answer := *o.answer
	return &answer, nil
}

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

// unproven returns r if memory is complete for the identifier. Otherwise an
// earlier home may have run the request, so that r's promise could be false.
func unproven(complete bool, r *trwire.Refusal) *trwire.Refusal {
	if complete {
		return r
	}
	unknown := trwire.Refuse(trwire.OutcomeUnknown, "not run by this instance (%s), but an earlier one may have run it", r.Reason)
	unknown.RetryAfterMs = r.RetryAfterMs
	return unknown
}

func named(id string, r *trwire.Refusal) *trwire.Refusal {
	copied := *r
	copied.RequestID = id
	return &copied
}

// contentOf returns a digest of what req asks for. The time left differs between
// a request and its repetition and is not part of it.
func contentOf(req *trwire.Request) (digest [sha256.Size]byte, err error) {
	content := *req
	content.TimeoutMs = 0
	encoded, err := json.Marshal(&content)
	if err != nil {
		return digest, errors.Wrap(err, "encode request")
	}
	return sha256.Sum256(encoded), nil
}
