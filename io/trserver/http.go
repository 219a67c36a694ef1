package trserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trquery"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trguard"
)

// callerAPI is the HTTP/JSON API for callers and operators.
type callerAPI struct {
	serve        trquery.Handler
	status       func() Status
	ready        func() bool
	vars         http.Handler
	shuttingDown atomic.Bool // readyz reports not-ready
	draining     atomic.Bool // connections are closed after their next response
	conns        connTracker
}

func (a *callerAPI) mux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/query", a.requestHandler(trwire.Query))
	mux.Handle("POST /v1/fetch", a.requestHandler(trwire.Fetch))
	mux.Handle("POST /v1/execute", a.requestHandler(trwire.Execute))
	handle := func(pattern string, h http.HandlerFunc) { mux.Handle(pattern, trguard.Handler(h)) }
	handle("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, http.StatusOK, a.status()) })
	handle("GET /livez", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) })
	handle("GET /readyz", a.readyz)
	handle("GET /debug/vars", a.vars.ServeHTTP)
	return a.closeWhileDraining(mux)
}

// closeWhileDraining closes each connection after its next response while draining, so
// that no connection is left at the end on which a request could still arrive.
func (a *callerAPI) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (a *callerAPI) readyz(w http.ResponseWriter, r *http.Request) {
	if a.shuttingDown.Load() || !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *callerAPI) requestHandler(kind trwire.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A body above the limit is read up to it and refused by decodeRequest.
		body, release, status := trguard.ReadBody(w, r, trwire.MaxRequestBytes+1, bodyFactor)
		defer trguard.Begin(w, r)()
		defer release()
		if status != 0 {
			writeUnread(w, status)
			return
		}
		req, err := decodeRequest(bytes.NewReader(body), r.URL.Path, kind)
		if err != nil {
			writeRefusal(w, trwire.Refuse(trwire.BadRequest, "%v", err))
			return
		}
		answer, err := a.serve(r.Context(), &trquery.Call{Request: req})
		if err != nil {
			writeRefusal(w, trwire.AsRefusal(err))
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

// requestBody is a trwire.Request whose Kind comes from the path.
type requestBody struct{ trwire.Request }

// Check accepts every body. decodeRequest checks the request once its kind is known.
func (*requestBody) Check() error { return nil }

// bodyFactor is the memory that a request takes for each byte of its body: the body, the
// decoder's copy, which grows by doubling, the decoded request and its sub-queries to the
// shards, which are encoded one after the other.
const bodyFactor = 6

// writeUnread refuses a request that was not read and has not run.
func writeUnread(w http.ResponseWriter, status int) {
	refusal := trwire.Refuse(trwire.BadRequest, "request cannot be read")
	switch status {
	case http.StatusServiceUnavailable:
		refusal = trwire.Refuse(trwire.NotRun, "memory for requests is exhausted")
	case http.StatusRequestTimeout:
		refusal = trwire.Refuse(trwire.NotRun, "body arrives too slowly")
	case http.StatusRequestEntityTooLarge:
		status = http.StatusBadRequest // as for any request outside the wire format
	}
	writeJSON(w, status, refusal)
}

func decodeRequest(r io.Reader, path string, kind trwire.Kind) (*trwire.Request, error) {
	body, err := trwire.Decode[requestBody](r, trwire.MaxRequestBytes)
	if err != nil {
		return nil, err
	}
	req := &body.Request
	if req.Kind == "" {
		req.Kind = kind
	}
	if req.Kind != kind {
		return nil, errors.Errorf("Kind %q does not match path %s", req.Kind, path)
	}
	return req, req.Check()
}

var refusalStatus = map[trwire.RefusalKind]int{
	trwire.NotRun:           http.StatusServiceUnavailable,
	trwire.Overloaded:       http.StatusTooManyRequests,
	trwire.OutcomeUnknown:   http.StatusBadGateway,
	trwire.BadRequest:       http.StatusBadRequest,
	trwire.DeadlineExceeded: http.StatusGatewayTimeout,
	trwire.Incomplete:       http.StatusBadGateway,
}

func writeRefusal(w http.ResponseWriter, refusal *trwire.Refusal) {
	if refusal.RetryAfterMs > 0 {
		seconds := (refusal.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, refusalStatus[refusal.Kind], refusal)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the connection is closed
}

// connTracker tracks the open connections of callers.
type connTracker struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

func (t *connTracker) observe(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.open, c)
		return
	}
	t.open[c] = state
}

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// drainPollPeriod is how often a drain checks for remaining connections or requests.
const drainPollPeriod = 20 * time.Millisecond

// drain stops accepting connections, closes every open one after its next response and
// waits until none is left or ctx is done. An idle keep-alive connection stays open
// until then, because closing it at once could abort a request that the caller has just
// written.
func (a *callerAPI) drain(ctx context.Context, srv *http.Server, ln net.Listener) error {
	a.draining.Store(true)
	_ = ln.Close() // stops the accept loop; open connections continue
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for a.conns.count() > 0 {
		select {
		case <-ctx.Done():
			return srv.Shutdown(context.Background())
		case <-ticker.C:
		}
	}
	return srv.Shutdown(ctx)
}
