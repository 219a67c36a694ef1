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

// errTimeout ends a sub-query whose TimeoutMs has passed.
var errTimeout = errors.New("time of the sub-query has passed")

// errEnded ends the sub-queries of a process that ends.
var errEnded = errors.New("leaf process ended")

func newServer(l *Leaf) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+trwire.PathHello, l.serveHello)
	mux.HandleFunc("GET "+trwire.PathLoad, l.serveLoad)
	for _, kind := range []trwire.Kind{trwire.Query, trwire.Fetch, trwire.Execute} {
		path := (&trwire.SubQuery{Kind: kind}).Path()
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { l.serveSub(w, r, kind) })
	}
	return &http.Server{
		Handler:  l.tracked(mux),
		ErrorLog: log.New(io.Discard, "", 0), // aborted replies are faults on purpose
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
}

// tracked lets Close wait for the handlers.
func (l *Leaf) tracked(next http.Handler) http.Handler {
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
	// A write fails only if the client is gone.
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

func (l *Leaf) refuse(w http.ResponseWriter, p *process, subID string, kind trwire.LeafErrorKind, message string) {
	l.mu.Lock()
	draining := l.faults.draining
	l.mu.Unlock()
	writeJSON(w, statusOf(kind), trwire.LeafError{
		SubID: subID, StartID: p.startID, Kind: kind, Message: message, Draining: draining,
	})
}

func (l *Leaf) serveSub(w http.ResponseWriter, r *http.Request, kind trwire.Kind) {
	p := processOf(r)
	q, err := trwire.Decode[trwire.SubQuery](r.Body, trwire.MaxRequestBytes)
	if err != nil {
		l.refuse(w, p, "", trwire.LeafBadRequest, err.Error())
		return
	}
	t, refusal := l.receive(p, q, kind)
	if refusal != "" {
		l.refuse(w, p, q.SubID, refusal, "not run")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timeout := time.Duration(q.TimeoutMs) * time.Millisecond
	defer l.cfg.Clock.After(timeout, func(time.Time) { cancel(errTimeout) })()
	defer context.AfterFunc(p.ctx, func() { cancel(errEnded) })()
	if !l.await(ctx, p, q, t) {
		l.giveUp(ctx, w, p, q, trwire.LeafShed)
		return
	}
	reply, ok := l.run(ctx, p, q, t)
	if !ok {
		l.giveUp(ctx, w, p, q, trwire.LeafFailed)
		return
	}
	l.send(w, r, q, reply)
}

// giveUp answers a sub-query that ended early, if anyone waits for the answer.
func (l *Leaf) giveUp(ctx context.Context, w http.ResponseWriter, p *process, q *trwire.SubQuery, kind trwire.LeafErrorKind) {
	if !errors.Is(context.Cause(ctx), errTimeout) {
		panic(http.ErrAbortHandler)
	}
	l.refuse(w, p, q.SubID, kind, errTimeout.Error())
}

// receive records a sub-query and admits it or returns the kind of its refusal.
// It aborts the handler if the process has ended or falls over.
func (l *Leaf) receive(p *process, q *trwire.SubQuery, kind trwire.Kind) (*ticket, trwire.LeafErrorKind) {
	l.mu.Lock()
	if l.process != p {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	l.note(p, EventReceived, q, "")
	refusal := l.check(p, q, kind)
	var t *ticket
	excess := ""
	if refusal == "" {
		t, refusal, excess = p.admit(&l.cfg, l.cfg.Clock.Now())
	}
	switch {
	case excess != "":
		l.note(p, EventFell, q, excess)
		l.detach()
	case refusal == trwire.LeafShed:
		l.note(p, EventShed, q, "")
	case refusal != "":
		l.note(p, EventRefused, q, string(refusal))
	}
	l.mu.Unlock()
	if excess != "" {
		// The start is scheduled first: once the connections close, clients may
		// rely on it.
		l.startAfter(time.Duration(l.cfg.FallMs) * time.Millisecond)
		l.end(p)
		panic(http.ErrAbortHandler)
	}
	return t, refusal
}

// check returns why a sub-query is refused before admission, or "".
func (l *Leaf) check(p *process, q *trwire.SubQuery, kind trwire.Kind) trwire.LeafErrorKind {
	_, missing := l.index.find(q.Version, q.Shard, q.ShardCount)
	switch {
	case q.Kind != kind || q.Service != l.cfg.Data.Service:
		return trwire.LeafBadRequest
	case kind != trwire.Query && trwire.ShardOf(q.Key, q.ShardCount) != q.Shard:
		return trwire.LeafBadRequest
	case q.StartID != p.startID:
		return trwire.LeafWrongStart
	case l.faults.refusing:
		return trwire.LeafDraining
	case missing != "":
		return missing
	case l.faults.shedShare > 0 && l.rng.Float64() < l.faults.shedShare:
		return trwire.LeafShed
	}
	return ""
}

// await waits for a slot. It reports false if the sub-query ended while it was
// queued; it is then not run.
func (l *Leaf) await(ctx context.Context, p *process, q *trwire.SubQuery, t *ticket) bool {
	select {
	case <-t.granted:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		p.release(t)
		l.note(p, EventCanceled, q, "queued: "+context.Cause(ctx).Error())
		return false
	}
	l.note(p, EventStarted, q, "")
	return true
}

// run does the work of a sub-query that holds a slot. An Execute that has
// started runs to its end even if the sender gives up; only the end of the
// process stops it.
func (l *Leaf) run(ctx context.Context, p *process, q *trwire.SubQuery, t *ticket) (*trwire.SubReply, bool) {
	work := ctx
	if q.Kind == trwire.Execute {
		work = p.ctx
	}
	began := l.cfg.Clock.Now()
	records, kind := l.index.find(q.Version, q.Shard, q.ShardCount)
	reply := &trwire.SubReply{
		RequestID: q.RequestID, SubID: q.SubID, LeafID: l.cfg.LeafID, StartID: p.startID,
		Service: q.Service, Version: q.Version, Shard: q.Shard, ShardCount: q.ShardCount,
		ShardRecords: uint64(len(records)), Loaded: kind == "", Records: answer(records, q),
	}
	// The search itself is part of the service time.
	err := l.sleep(work, l.serviceTime()-l.cfg.Clock.Now().Sub(began))
	l.mu.Lock()
	defer l.mu.Unlock()
	defer p.release(t)
	if err != nil || l.process != p {
		l.note(p, EventCanceled, q, "running: "+cause(ctx))
		return nil, false
	}
	if q.Kind == trwire.Execute {
		l.executions++
		reply.Result = result(q.Key, l.executions)
		l.note(p, EventExecuted, q, "")
	}
	l.note(p, EventFinished, q, "")
	reply.Draining = l.faults.draining
	return reply, true
}

func cause(ctx context.Context) string {
	if err := context.Cause(ctx); err != nil {
		return err.Error()
	}
	return errEnded.Error()
}

func answer(records []trwire.Record, q *trwire.SubQuery) []trwire.Record {
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

func result(key string, execution uint64) json.RawMessage {
	raw, err := json.Marshal(Result{Key: key, Execution: execution})
	if err != nil {
		panic(err) // Result has no field that can fail
	}
	return raw
}
