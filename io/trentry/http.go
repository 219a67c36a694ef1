package trentry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trintake"
	"tanagerrock/core/trmetric"
	"tanagerrock/core/trpanic"
	"tanagerrock/io/trguard"
	"tanagerrock/io/trupstream"
)

const (
	// callerOneWayDelay is the network delay from a caller to an instance: 3 ms at
	// both sites where the gateway is deployed. Opening a connection adds a round trip.
	callerOneWayDelay = 3 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies until a configuration sets a limit.
	defaultMaxBodyBytes = 256 << 10
	// headerTimeout is the time in which a client must send a request header. Both
	// sites configure 3 s.
	headerTimeout = 3 * time.Second
	// defaultIdleTimeout applies until a configuration sets an idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// logLinesPerSecond and logLinesBurst limit the log lines about requests and
	// upstreams to about 20 KB per second; the burst covers an outage of all shards at
	// once.
	logLinesPerSecond = 50
	logLinesBurst     = 200
	// idleGrace is added to the idle timeout, because callers may measure it from the
	// arrival of a response.
	idleGrace = time.Second
)

// frontend serves callers' requests: it reads them, passes them to the gateway and
// writes the responses.
type frontend struct {
	clock      trclock.Clock
	gateway    *trgateway.Gateway
	directory  *trdirectory.Cache
	headers    trupstream.Headers
	log        *logrus.Logger
	metrics    *trmetric.Registry
	logLimiter *rate.Limiter
	drain      drainState
	// isolated is set while this instance reaches no other zone although it needs
	// upstreams there. Callers should then use instances of other zones.
	isolated atomic.Bool
	conns    callerConns
	answers  trintake.Sizes // of the answers of each route
	// stopCtx is canceled at the end of a drain to end the requests still running.
	stopCtx context.Context
}

// middleware wraps a handler with one step of request processing.
type middleware func(next http.Handler) http.Handler

// handler returns the handler for callers. Its middleware runs in the listed order.
func (f *frontend) handler() http.Handler {
	var h http.Handler = http.HandlerFunc(f.serve)
	chain := []middleware{f.countRunning}
	for i := len(chain) - 1; i >= 0; i-- {
		h = chain[i](h)
	}
	return h
}

// countRunning keeps the number of running requests, so that a drain can wait for them.
func (f *frontend) countRunning(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.drain.requestStarted()
		defer f.drain.requestDone()
		next.ServeHTTP(w, r)
	})
}

// reportPanic logs and counts a recovered panic. Lines beyond the rate limit are dropped
// and counted.
func (f *frontend) reportPanic(err error) {
	f.metrics.Add("Panics", "", 1)
	if !f.logLimiter.Allow() {
		f.metrics.Add("DroppedLines", "", 1)
		return
	}
	f.log.WithFields(trpanic.Fields(err)).Error("recovered from a panic")
}

// serve answers a request. A panic while it is handled fails this request only.
func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	var resp *trgateway.Response
	var held holds
	defer held.release()
	if err := trpanic.Do(func() { resp = f.handle(w, r, &held) }); err != nil {
		f.reportPanic(err)
		resp = &trgateway.Response{Status: http.StatusInternalServerError, Reason: "internal error"}
	}
	if resp == nil {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	f.writeResponse(w, resp)
}

// handle parses a request and passes it to the gateway. It returns the response, or nil
// if the caller has disconnected. What the request holds is added to held.
func (f *frontend) handle(w http.ResponseWriter, r *http.Request, held *holds) *trgateway.Response {
	start := f.clock.Now().Add(-callerOneWayDelay)
	if countRequest(r) {
		// This is the first request on its connection, which the caller had to open.
		start = start.Add(-2 * callerOneWayDelay)
	}
	req, status := f.readRequest(w, r, start, held)
	held.add(trguard.Begin(w, r))
	if req == nil {
		return refuseUnread(status)
	}
	resp := f.reserveAnswer(w, r, req, held)
	if resp == nil {
		resp = f.forward(r, req)
		f.recordAnswer(resp)
	}
	f.logFailure(req, resp)
	if r.Context().Err() != nil {
		return nil
	}
	return resp
}

// forward passes a request to the gateway, unless the instance is stopping and there is
// no time left for it.
func (f *frontend) forward(r *http.Request, req *trgateway.Request) *trgateway.Response {
	if f.drain.refuses(f.clock.Now()) {
		return &trgateway.Response{Status: http.StatusServiceUnavailable, RetryAfter: drainRetry, Reason: stopReason}
	}
	return f.serveUntilStop(r.Context(), func(ctx context.Context) *trgateway.Response { return f.gateway.Serve(ctx, req) })
}

// serveUntilStop calls serve with a context that ends when ctx ends or the drain does. A
// response to a request that the drain canceled says so. serve may return nil.
func (f *frontend) serveUntilStop(ctx context.Context, serve func(ctx context.Context) *trgateway.Response) *trgateway.Response {
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.stopCtx, cancel)()
	resp := serve(serveCtx)
	if resp != nil && ctx.Err() == nil && f.stopCtx.Err() != nil && resp.Status == trgateway.StatusClientClosedRequest {
		resp.Status, resp.Reason = http.StatusGatewayTimeout, stopReason
		if !resp.MayRun {
			resp.Status, resp.RetryAfter = http.StatusServiceUnavailable, drainRetry
		}
	}
	return resp
}

// readRequest converts an HTTP request to a gateway request. It returns nil and the
// status of the response if the request is invalid or exceeds the limits. start
// estimates when the caller sent it.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request, start time.Time, held *holds) (*trgateway.Request, int) {
	limits := f.directory.Table().Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		w.Header().Set("Connection", "close") // the body is not read
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, release, status := trguard.ReadBody(w, r, limit, 1)
	if status != 0 {
		return nil, status
	}
	held.add(release)
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // the target was in absolute form
	}
	path, _, _ := strings.Cut(target, "?")
	req := &trgateway.Request{
		ID:     r.Header.Get(f.headers.RequestID),
		Method: r.Method,
		Target: target,
		Path:   path,
		Host:   r.Host,
		Header: r.Header,
		Body:   body,
		Began:  start,
	}
	if keys := r.Header.Values(f.headers.Key); len(keys) == 1 {
		req.Key = trdirectory.DigestKey(keys[0])
	}
	if ms, err := strconv.ParseInt(r.Header.Get(f.headers.TimeoutMs), 10, 64); err == nil && ms > 0 {
		req.Timeout = milliseconds(ms)
	}
	trupstream.StripHopByHopHeaders(req.Header)
	req.Head = f.headers.EncodeHead(req)
	return req, 0
}

// headerBytes returns the size of a request's line and header fields without
// separators.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// writeResponse sends a response to the caller.
func (f *frontend) writeResponse(w http.ResponseWriter, resp *trgateway.Response) {
	h := w.Header()
	if f.drain.started() || f.isolated.Load() {
		h.Set("Connection", "close")
	}
	h["Date"] = nil
	h["Content-Type"] = nil
	body := resp.Records
	switch {
	case resp.Reply != nil:
		for name, values := range resp.Reply.Header {
			h[name] = values
		}
		body = resp.Reply.Body
	case resp.Merged:
		h[f.headers.Stamps] = []string{strings.Join(resp.Stamps, ", ")}
		h[f.headers.Missing] = []string{strconv.Itoa(resp.Missing)}
	default:
		body = []byte(resp.Reason + "\n")
		h["Content-Type"] = []string{"text/plain; charset=utf-8"}
		if resp.RetryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(resp.RetryAfter.Seconds(), 'f', 3, 64)}
		}
	}
	if resp.Reply == nil || len(body) > 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// logFailure logs a request that failed or whose response lacks shards. Lines beyond
// the rate limit are dropped and counted.
func (f *frontend) logFailure(req *trgateway.Request, resp *trgateway.Response) {
	took := f.clock.Now().Sub(req.Began)
	if resp.Status < http.StatusMultipleChoices && resp.Missing == 0 {
		return
	}
	if !f.logLimiter.Allow() {
		f.metrics.Add("DroppedLines", "", 1)
		return
	}
	f.log.WithFields(logrus.Fields{
		"RequestID": req.ID, "Route": resp.Route, "ConfigVersion": resp.Version, "Revision": resp.Revision,
		"Status": resp.Status, "Missing": resp.Missing, "Attempts": resp.Attempts, "Hedges": resp.Hedges,
		"Reason": resp.Reason, "Open": resp.Unanswered, "TookMs": took.Milliseconds(), "TimeoutMs": req.Timeout.Milliseconds(),
		"RetryAfterMs": resp.RetryAfter.Milliseconds(), "Isolated": f.isolated.Load(), "Relay": resp.Relay,
	}).Info("request not answered whole")
}

// logEvent logs a change in the gateway's view of its upstreams. Lines beyond the
// rate limit are dropped and counted.
func (f *frontend) logEvent(e trgateway.Event) {
	if !f.logLimiter.Allow() {
		f.metrics.Add("DroppedLines", "", 1)
		return
	}
	entry := f.log.WithFields(logrus.Fields{"Event": e.Kind, "Upstream": e.Upstream, "Zone": e.Zone})
	if e.Error != nil {
		entry = entry.WithFields(trpanic.Fields(e.Error))
	}
	if e.Pause > 0 {
		entry = entry.WithField("PauseMs", e.Pause.Milliseconds())
	}
	entry.Info("upstream state changed")
}
