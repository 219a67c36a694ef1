package trentry

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
	"tanagerrock/io/trupstream"
)

// newTestFrontend returns a frontend without sockets. Its gateway takes the table from
// tables and sends requests to echoSender.
func newTestFrontend(clock trclock.Clock, tables trgateway.TableSource, log *logrus.Logger) *frontend {
	f := &frontend{
		clock: clock, directory: &trdirectory.Cache{Clock: clock}, log: log, metrics: new(trmetric.Registry),
		headers:    trupstream.Headers{RequestID: "Id", TimeoutMs: "Left", Stamps: "Stamps", Missing: "Missing"},
		logLimiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst), stopCtx: context.Background(),
	}
	f.gateway = trgateway.New(trgateway.Config{Clock: clock, Tables: tables, Sender: echoSender{}, Zone: "a"})
	return f
}

// echoSender answers each request with its body.
type echoSender struct{}

func (echoSender) Send(_ context.Context, _ *trdirectory.Upstream, req *trgateway.Request, _ time.Duration) trgateway.Outcome {
	return trgateway.Outcome{Kind: trgateway.Answered, Sent: req.Began, Reply: &trgateway.Reply{Status: 200, Body: req.Body, Stamp: "s"}}
}

func (echoSender) Probe(context.Context, *trdirectory.Upstream) error { return nil }

// panickingTables panics for each request.
type panickingTables struct{}

func (panickingTables) Table() *trdirectory.Table { panic("injected") }

// TestPanicInHandlerFailsOnlyItsRequest guards against a request whose handling panics
// and whose caller gets no answer, and against a panic that is not logged and counted.
func TestPanicInHandlerFailsOnlyItsRequest(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	f := newTestFrontend(trclock.System(), panickingTables{}, log)
	w := httptest.NewRecorder()
	f.handler().ServeHTTP(w, httptest.NewRequest("GET", "/x/", nil))
	assert.Equal(t, w.Code, http.StatusInternalServerError)
	assert.Equal(t, f.metrics.Counter("Panics", "").Load(), int64(1))
	assert.Assert(t, strings.Contains(out.String(), "panickingTables"), "the stack is not logged: %s", out.String())
	assert.Equal(t, f.drain.count(), 0)
}

// panickingStore panics for the first calls and serves an empty store afterwards.
type panickingStore struct{ calls int }

func (s *panickingStore) List(context.Context, string, bool) (Page, error) {
	if s.calls++; s.calls <= 2 {
		panic("injected")
	}
	return Page{Revision: 1}, nil
}

func (s *panickingStore) Watch(ctx context.Context, _ uint64, _ time.Duration) ([]Change, uint64, error) {
	if s.calls++; s.calls <= 5 {
		panic("injected")
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestPanicInStoreCallIsRetried guards against a reply of the store that ends the
// process, or after which the store is not watched any more.
func TestPanicInStoreCallIsRetried(t *testing.T) {
	log := logrus.New()
	log.SetOutput(new(bytes.Buffer))
	ctx, cancel := context.WithCancel(t.Context())
	store := &panickingStore{}
	watching := make(chan bool, 100)
	w := storeWatcher{
		store: store, clock: trclock.System(), directory: &trdirectory.Cache{Clock: trclock.System()}, log: log,
		shouldWatch: func() bool { return true }, onWatching: func(on bool) { watching <- on },
	}
	done := make(chan struct{})
	go func() {
		w.run(ctx)
		close(done)
	}()
	for on := range watching {
		if on {
			break
		}
	}
	cancel()
	<-done
	assert.Assert(t, store.calls >= 3)
}

// FuzzCallerRequest guards against bytes of a caller that make the handler panic, that
// are passed on beyond the limits, or that get no valid response.
func FuzzCallerRequest(f *testing.F) {
	for _, raw := range []string{
		"GET /search/x HTTP/1.1\r\nHost: h\r\nId: r\r\nLeft: 1200\r\n\r\n",
		"POST /order/x?a=%2F HTTP/1.1\r\nHost: h:80\r\nContent-Length: 4\r\nLeft: -1\r\n\r\nbody",
		"POST http://h/order/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"GET /search/x HTTP/1.0\r\nConnection: Id, close\r\nLeft: 99999999999999999999\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: [::1]\r\n\r\n",
		"PUT /order/ HTTP/1.1\r\nHost: H\r\nExpect: 100-continue\r\nContent-Length: 999999999\r\n\r\n",
	} {
		f.Add([]byte(raw))
	}
	log := logrus.New()
	log.SetOutput(new(bytes.Buffer))
	log.SetLevel(logrus.FatalLevel)
	clock := trclock.System()
	cache := &trdirectory.Cache{Clock: clock}
	cache.Adopt(&trdirectory.Directory{
		Revision: 1,
		Config: &trdirectory.Config{Version: 1, Limits: trdirectory.Limits{HeaderBytes: 300, BodyBytes: 64}, Routes: []trdirectory.Route{
			{Name: "search", Host: "h", Prefix: "/search/", Idempotent: true, TimeoutMs: 500, ObjectiveMs: 200, Shards: []string{"s"}, LeastShare: 1},
			{Name: "order", Host: "h", Prefix: "/order/", TimeoutMs: 500, Split: []trdirectory.WeightedService{{Service: "s", Weight: 1}}},
		}},
		Upstreams: []trdirectory.Upstream{{ID: "u", Service: "s", Addr: "10.0.0.1:1", Zone: "a", Slots: 2, BornMs: 1}},
	})
	fe := newTestFrontend(clock, cache, log)
	fe.directory = cache
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		r = r.WithContext(t.Context())
		w := httptest.NewRecorder()
		fe.handler().ServeHTTP(w, r)
		switch w.Code {
		case http.StatusOK, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		case http.StatusServiceUnavailable:
			// The caller may state less time than the network takes.
			assert.Equal(t, w.Body.String(), "no time left on arrival\n")
		default:
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		assert.Equal(t, fe.metrics.Counter("Panics", "").Load(), int64(0))
	})
}
