package trfakeleaf

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

type connKey struct{}

// errTimeout is the cancellation cause of a sub-query whose TimeoutMs has passed.
var errTimeout = errors.New("sub-query timed out")

// errProcessEnded is the cancellation cause of the sub-queries of a process that ends.
var errProcessEnded = errors.New("leaf process ended")

func newServer(l *Leaf) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+trwire.PathHello, l.serveHello)
	mux.HandleFunc("GET "+trwire.PathLoad, l.serveLoad)
	for _, kind := range []trwire.Kind{trwire.Query, trwire.Fetch, trwire.Execute} {
		path := (&trwire.SubQuery{Kind: kind}).Path()
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { l.serveSubQuery(w, r, kind) })
	}
	return &http.Server{
		Handler:  l.trackHandlers(mux),
		ErrorLog: log.New(io.Discard, "", 0), // aborted replies are injected faults
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
}

// trackHandlers counts the running handlers so that Close can wait for them.
func (l *Leaf) trackHandlers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		closed := l.closed
		if !closed {
			l.handlers.Add(1)
		}
		l.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		defer l.handlers.Done()
		next.ServeHTTP(w, r)
	})
}

// processOf returns the process that r's connection belongs to.
func processOf(r *http.Request) *process {
	return r.Context().Value(connKey{}).(*conn).process
}

func (l *Leaf) serveHello(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	draining := l.faults.draining
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, trwire.Hello{
		LeafID: l.cfg.LeafID, StartID: processOf(r).startID, Zone: l.cfg.Zone,
		Service: l.cfg.Data.Service, Draining: draining, Holdings: l.index.holdings(),
	})
}

func (l *Leaf) serveLoad(w http.ResponseWriter, r *http.Request) {
	p := processOf(r)
	l.mu.Lock()
	load := trwire.Load{InFlight: p.inFlight, Slots: l.cfg.Slots}
	load.Share = min(1, float64(p.inFlight)/float64(l.cfg.Slots))
	if l.faults.load != nil {
		load = *l.faults.load
	}
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// statusOf returns the HTTP status of a leaf error.
func statusOf(kind trwire.LeafErrorKind) int {
	switch kind {
	case trwire.LeafShed, trwire.LeafDraining:
		return http.StatusServiceUnavailable
	case trwire.LeafWrongStart, trwire.LeafVersionGone, trwire.LeafNotLoaded:
		return http.StatusConflict
	case trwire.LeafBadRequest:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// writeError replies with a LeafError.
func (l *Leaf) writeError(w http.ResponseWriter, p *process, subID string, kind trwire.LeafErrorKind, message string) {
	l.mu.Lock()
	draining := l.faults.draining
	l.mu.Unlock()
	writeJSON(w, statusOf(kind), trwire.LeafError{
		SubID: subID, StartID: p.startID, Kind: kind, Message: message, Draining: draining,
	})
}

func (l *Leaf) serveSubQuery(w http.ResponseWriter, r *http.Request, kind trwire.Kind) {
	p := processOf(r)
	q, err := trwire.Decode[trwire.SubQuery](r.Body, trwire.MaxRequestBytes)
	if err != nil {
		l.writeError(w, p, "", trwire.LeafBadRequest, err.Error())
		return
	}
	a, refusal := l.receive(p, q, kind)
	if refusal != "" {
		l.writeError(w, p, q.SubID, refusal, "not run")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timeout := time.Duration(q.TimeoutMs) * time.Millisecond
	defer l.cfg.Clock.After(timeout, func(time.Time) { cancel(errTimeout) })()
	defer context.AfterFunc(p.ctx, func() { cancel(errProcessEnded) })()
	if !l.awaitSlot(ctx, p, q, a) {
		l.replyCanceled(ctx, w, p, q, trwire.LeafShed)
		return
	}
	reply, ok := l.run(ctx, p, q, a)
	if !ok {
		l.replyCanceled(ctx, w, p, q, trwire.LeafFailed)
		return
	}
	l.sendReply(w, r, q, reply)
}

// replyCanceled replies to a sub-query that ended early: with an error if its timeout
// has passed, otherwise by aborting the handler, because the sender or the process is
// gone.
func (l *Leaf) replyCanceled(ctx context.Context, w http.ResponseWriter, p *process, q *trwire.SubQuery, kind trwire.LeafErrorKind) {
	if !errors.Is(context.Cause(ctx), errTimeout) {
		panic(http.ErrAbortHandler)
	}
	l.writeError(w, p, q.SubID, kind, errTimeout.Error())
}

// receive records a sub-query and admits it or returns the kind of its refusal. It
// aborts the handler if the process has ended or crashes because of the sub-query.
func (l *Leaf) receive(p *process, q *trwire.SubQuery, kind trwire.Kind) (*admission, trwire.LeafErrorKind) {
	l.mu.Lock()
	if l.process != p {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	l.recordEvent(p, EventReceived, q, "")
	refusal := l.check(p, q, kind)
	var a *admission
	exceeded := ""
	if refusal == "" {
		a, refusal, exceeded = p.admit(&l.cfg, l.cfg.Clock.Now())
	}
	switch {
	case exceeded != "":
		l.recordEvent(p, EventFell, q, exceeded)
		l.detach()
	case refusal == trwire.LeafShed:
		l.recordEvent(p, EventShed, q, "")
	case refusal != "":
		l.recordEvent(p, EventRefused, q, string(refusal))
	}
	l.mu.Unlock()
	if exceeded != "" {
		// The restart is scheduled first: once the connections are closed, clients may
		// rely on it.
		l.startAfter(time.Duration(l.cfg.FallMs) * time.Millisecond)
		l.endProcess(p)
		panic(http.ErrAbortHandler)
	}
	return a, refusal
}

// check returns why a sub-query is refused before admission, or "".
func (l *Leaf) check(p *process, q *trwire.SubQuery, kind trwire.Kind) trwire.LeafErrorKind {
	_, unavailable := l.index.lookup(q.Version, q.Shard, q.ShardCount)
	switch {
	case q.Kind != kind || q.Service != l.cfg.Data.Service:
		return trwire.LeafBadRequest
	case kind != trwire.Query && trwire.ShardOf(q.Key, q.ShardCount) != q.Shard:
		return trwire.LeafBadRequest
	case q.StartID != p.startID:
		return trwire.LeafWrongStart
	case l.faults.refusing:
		return trwire.LeafDraining
	case unavailable != "":
		return unavailable
	case l.faults.shedShare > 0 && l.rng.Float64() < l.faults.shedShare:
		return trwire.LeafShed
	}
	return ""
}

// awaitSlot waits until the sub-query gets a slot. It reports false if the sub-query was
// canceled while it was queued, so that it is not run.
func (l *Leaf) awaitSlot(ctx context.Context, p *process, q *trwire.SubQuery, a *admission) bool {
	select {
	case <-a.granted:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		p.release(a)
		l.recordEvent(p, EventCanceled, q, "queued: "+context.Cause(ctx).Error())
		return false
	}
	l.recordEvent(p, EventStarted, q, "")
	return true
}

// run runs a sub-query that holds a slot. It reports false if the sub-query was
// canceled. A started Execute runs to completion even if its sender has disconnected;
// only the end of the process stops it.
func (l *Leaf) run(ctx context.Context, p *process, q *trwire.SubQuery, a *admission) (*trwire.SubReply, bool) {
	workCtx := ctx
	if q.Kind == trwire.Execute {
		workCtx = p.ctx
	}
	began := l.cfg.Clock.Now()
	records, kind := l.index.lookup(q.Version, q.Shard, q.ShardCount)
	reply := &trwire.SubReply{
		RequestID: q.RequestID, SubID: q.SubID, LeafID: l.cfg.LeafID, StartID: p.startID,
		Service: q.Service, Version: q.Version, Shard: q.Shard, ShardCount: q.ShardCount,
		ShardRecords: uint64(len(records)), Loaded: kind == "", Records: matchingRecords(records, q),
	}
	// The search itself is part of the service time.
	err := l.sleep(workCtx, l.drawServiceTime()-l.cfg.Clock.Now().Sub(began))
	l.mu.Lock()
	defer l.mu.Unlock()
	defer p.release(a)
	if err != nil || l.process != p {
		l.recordEvent(p, EventCanceled, q, "running: "+cancelCause(ctx))
		return nil, false
	}
	if q.Kind == trwire.Execute {
		l.executions++
		reply.Result = encodeResult(q.Key, l.executions)
		l.recordEvent(p, EventExecuted, q, "")
	}
	l.recordEvent(p, EventFinished, q, "")
	reply.Draining = l.faults.draining
	return reply, true
}

// cancelCause describes why ctx is done. If it is not, the process has ended.
func cancelCause(ctx context.Context) string {
	if err := context.Cause(ctx); err != nil {
		return err.Error()
	}
	return errProcessEnded.Error()
}

// matchingRecords returns the records of a shard that a Query or a Fetch asks for.
func matchingRecords(records []trwire.Record, q *trwire.SubQuery) []trwire.Record {
	found := []trwire.Record{}
	switch q.Kind {
	case trwire.Query:
		return search(records, q.Terms, q.Limit)
	case trwire.Fetch:
		for _, r := range records {
			if r.Key == q.Key {
				found = append(found, r)
			}
		}
	}
	return found
}

// Result is the result of an Execute.
type Result struct {
	Key       string `json:"Key"`
	Execution uint64 `json:"Execution"` // number of the execution on this leaf
}

func encodeResult(key string, execution uint64) json.RawMessage {
	raw, err := json.Marshal(Result{Key: key, Execution: execution})
	if err != nil {
		panic(err) // Result has no field that can fail
	}
	return raw
}
