package trentry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
	"tanagerrock/io/trupstream"
)

const (
	// callerOneWay is the time from a caller to an instance: 3 ms at both
	// users' sites. A new connection takes a round trip before that.
	callerOneWay = 3 * time.Millisecond
	// defaultBodyBytes bounds a request's body until a configuration does.
	defaultBodyBytes = 256 << 10
	// headerTimeout bounds the time in which a caller sends a header. Both users
	// configure 3 s.
	headerTimeout = 3 * time.Second
	// defaultIdleTimeout holds until a configuration states another.
	defaultIdleTimeout = 15 * time.Second
	// linesPerSecond and linesBurst bound the log of requests and upstreams: some
	// 20 KB a second, and an outage of all shards at once.
	linesPerSecond = 50
	linesBurst     = 200
	// idleSlack is added to the idle timeout: callers may count it from the
	// arrival of a reply.
	idleSlack = time.Second
)

// front answers callers. Its filters run in the order of handler.
type front struct {
	clock   trclock.Clock
	gateway *trgateway.Gateway
	keeper  *trdirectory.Cache
	headers trupstream.Headers
	log     *logrus.Logger
	metrics *trmetric.Registry
	lines   *rate.Limiter
	drain   drainState
	// isolated is set while instances of other zones serve callers better.
	isolated atomic.Bool
	conns    callerConns
	// stopping ends the requests that still run at the end of a drain.
	stopping context.Context
}

// filter is a step of the path of a request.
type filter func(next http.Handler) http.Handler

// handler returns the filter chain for callers.
func (f *front) handler() http.Handler {
	var h http.Handler = http.HandlerFunc(f.serve)
	filters := []filter{f.count}
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// count counts running requests, so that a drain can wait for them.
func (f *front) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.drain.enter()
		defer f.drain.leave()
		next.ServeHTTP(w, r)
	})
}

// serve reads a request, passes it to the gateway and writes the response.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	began := f.clock.Now().Add(-callerOneWay)
	if isFirst(r) {
		began = began.Add(-2 * callerOneWay)
	}
	req, status := f.read(w, r, began)
	if req == nil {
		f.write(w, &trgateway.Response{Status: status, Reason: "request cannot be read"})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	resp := f.gateway.Serve(ctx, req)
	if r.Context().Err() == nil && f.stopping.Err() != nil && resp.Status == trgateway.StatusClientClosedRequest {
		resp = &trgateway.Response{Status: http.StatusGatewayTimeout, Reason: "instance stops", Route: resp.Route, Version: resp.Version}
	}
	f.report(req, resp)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // nobody reads a response
	}
	f.write(w, resp)
}

// read makes a request of what the caller sent. It returns nil and a status if
// that is not a proper request.
func (f *front) read(w http.ResponseWriter, r *http.Request, began time.Time) (*trgateway.Request, int) {
	limits := f.keeper.Table().Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		if _, ok := err.(*http.MaxBytesError); ok {
			return nil, http.StatusRequestEntityTooLarge
		}
		return nil, http.StatusBadRequest
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // sent in absolute form
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
		Began:  began,
	}
	if ms, err := strconv.ParseInt(r.Header.Get(f.headers.TimeoutMs), 10, 64); err == nil && ms > 0 {
		req.Timeout = milliseconds(ms)
	}
	trupstream.StripConnectionHeaders(req.Header)
	req.Head = f.headers.Head(req)
	return req, 0
}

// headerBytes returns the size of a request's header without its framing.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// write sends a response to the caller.
func (f *front) write(w http.ResponseWriter, resp *trgateway.Response) {
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
	_, _ = w.Write(body) // an error means that the caller has left
}

// report logs what became of a request that was not answered whole and in time.
func (f *front) report(req *trgateway.Request, resp *trgateway.Response) {
	took := f.clock.Now().Sub(req.Began)
	if resp.Status < http.StatusMultipleChoices && resp.Missing == 0 {
		return
	}
	if !f.lines.Allow() {
		f.metrics.Add("DroppedLines", "", 1)
		return
	}
	f.log.WithFields(logrus.Fields{
		"RequestID": req.ID, "Route": resp.Route, "ConfigVersion": resp.Version, "Revision": resp.Revision,
		"Status": resp.Status, "Missing": resp.Missing, "Attempts": resp.Attempts, "Hedges": resp.Hedges,
		"Reason": resp.Reason, "Open": resp.Unanswered, "TookMs": took.Milliseconds(), "TimeoutMs": req.Timeout.Milliseconds(),
		"RetryAfterMs": resp.RetryAfter.Milliseconds(), "Isolated": f.isolated.Load(),
	}).Info("request not answered whole")
}

// note logs a change of what the gateway believes of upstreams.
func (f *front) note(e trgateway.Event) {
	if !f.lines.Allow() {
		f.metrics.Add("DroppedLines", "", 1)
		return
	}
	entry := f.log.WithFields(logrus.Fields{"Event": e.Kind, "Upstream": e.Upstream, "Zone": e.Zone})
	if e.Error != nil {
		entry = entry.WithError(e.Error)
	}
	entry.Info("upstream state changed")
}

// drainState counts running requests and tells whether the instance drains.
type drainState struct {
	mu       sync.Mutex
	draining bool
	running  int
}

func (d *drainState) enter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

func (d *drainState) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

func (d *drainState) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drainState) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}
