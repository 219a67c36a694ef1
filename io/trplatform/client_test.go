package trplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// serve starts a server that answers each route with the given status and body.
func serve(t testing.TB, answers map[string]string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := 418, `{"Message":"no route"}`
		if a, ok := answers[r.Method+" "+r.URL.RequestURI()]; ok {
			_, _ = fmt.Sscanf(a, "%d", &status)
			_, body, _ = strings.Cut(a, " ")
		}
		w.Header().Set(trwire.HeaderStoreTimeMs, "5000")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s
}

// Guards against calls that do not use the path or query of the protocol, and against
// statuses that are mapped to the wrong error.
func TestCallsFollowTheProtocol(t *testing.T) {
	entry := `{"Key":"once/1","Value":"YQ==","Version":3}`
	s := serve(t, map[string]string{
		"GET /v1/kv/once%2F1":                          "200 " + entry,
		"GET /v1/kv/absent":                            "404 {\"Message\":\"absent\"}",
		"GET /v1/kv/broken":                            "200 {\"Key\":",
		"GET /v1/kv/down":                              "503 {}",
		"PUT /v1/kv/once%2F1":                          "409 {\"Message\":\"version\",\"Present\":" + entry + "}",
		"PUT /v1/kv/broken":                            "200 {",
		"PUT /v1/kv/down":                              "500 ",
		"DELETE /v1/kv/once%2F1?PrevVersion=3":         "204 ",
		"DELETE /v1/kv/once%2F1?PrevVersion=2":         "409 not JSON",
		"GET /v1/kv?Prefix=once%2F":                    "200 {\"Entries\":[" + entry + "]}",
		"GET /v1/watch/config?After=4&WaitMs=1500":     "200 " + entry,
		"GET /v1/watch/config?After=5&WaitMs=0":        "304 ",
		"POST /v1/leases":                              "200 {\"ID\":\"L\",\"TTLMs\":7000}",
		"PUT /v1/leases/L":                             "200 {\"ID\":\"L\",\"TTLMs\":7000}",
		"PUT /v1/leases/gone":                          "404 {}",
		"DELETE /v1/leases/L":                          "204 ",
		"DELETE /v1/leases/gone":                       "404 {}",
		"GET /v1/instances?After=0&WaitMs=0":           "200 {\"Revision\":2,\"Instances\":[]}",
		"GET /v1/instances?After=2&WaitMs=0":           "304 ",
		"GET /v1/instances?After=3&WaitMs=0":           "200 {\"Revision\":4,\"Instances\":[{\"ID\":\"x\"}]}",
		"GET /v1/kv?Prefix=" + strings.Repeat("x", 99): "200 {\"Entries\":[],\"Nope\":1}",
	})
	c := New(s.URL + "/")
	ctx := context.Background()
	put := &trwire.PutRequest{Value: []byte("a")}
	for _, tc := range []struct {
		call string
		do   func() (any, error)
		want string // JSON of the result, or the start of the error
	}{
		{"get", func() (any, error) { return c.Get(ctx, "once/1") }, entry},
		{"get absent", func() (any, error) { return c.Get(ctx, "absent") }, "platform: key not found"},
		{"get broken", func() (any, error) { return c.Get(ctx, "broken") }, "platform unavailable: reply to Get"},
		{"get down", func() (any, error) { return c.Get(ctx, "down") }, "platform unavailable: Get was answered with status 503"},
		{"get unknown", func() (any, error) { return c.Get(ctx, "x") }, "platform: rejected with status 418: no route"},
		{"put conflict", func() (any, error) { return c.Put(ctx, "once/1", put) }, "platform: conflict with version 3 of key \"once/1\""},
		{"put broken", func() (any, error) { return c.Put(ctx, "broken", put) }, "platform unavailable, the write may have taken effect"},
		{"put down", func() (any, error) { return c.Put(ctx, "down", put) }, "platform unavailable, the write may have taken effect"},
		{"put too large", func() (any, error) {
			return c.Put(ctx, "k", &trwire.PutRequest{Value: make([]byte, trwire.MaxValueBytes+1)})
		}, "value has 1048577 bytes"},
		{"delete", func() (any, error) { return nil, c.Delete(ctx, "once/1", 3) }, "null"},
		{"delete conflict", func() (any, error) { return nil, c.Delete(ctx, "once/1", 2) }, "platform: conflict: no readable message"},
		{"list", func() (any, error) { return c.List(ctx, "once/") }, "[" + entry + "]"},
		{"list unknown field", func() (any, error) { return c.List(ctx, strings.Repeat("x", 99)) }, "platform unavailable: reply to List"},
		{"watch", func() (any, error) { return c.Watch(ctx, "config", 4, 1500*time.Millisecond) }, entry},
		{"watch unchanged", func() (any, error) { return c.Watch(ctx, "config", 5, 0) }, "platform: unchanged"},
		{"grant", func() (any, error) { return c.Grant(ctx, 7*time.Second) }, `{"ID":"L","TTLMs":7000}`},
		{"renew", func() (any, error) { return c.Renew(ctx, "L") }, `{"ID":"L","TTLMs":7000}`},
		{"renew missing lease", func() (any, error) { return c.Renew(ctx, "gone") }, "platform: lease not found"},
		{"revoke", func() (any, error) { return nil, c.Revoke(ctx, "L") }, "null"},
		{"revoke missing lease", func() (any, error) { return nil, c.Revoke(ctx, "gone") }, "platform: lease not found"},
		{"instances", func() (any, error) { return c.Instances(ctx, 0, 0) }, `{"Revision":2,"Instances":[]}`},
		{"instances unchanged", func() (any, error) { return c.Instances(ctx, 2, 0) }, "platform: unchanged"},
		{"instances invalid", func() (any, error) { return c.Instances(ctx, 3, 0) }, "platform unavailable: reply to Instances: Zone is missing"},
	} {
		t.Run(tc.call, func(t *testing.T) {
			v, err := tc.do()
			if err != nil {
				assert.Assert(t, strings.HasPrefix(err.Error(), tc.want), err.Error())
				return
			}
			data, err := json.Marshal(v)
			assert.NilError(t, err)
			assert.Equal(t, string(data), tc.want)
		})
	}
	assert.Equal(t, c.Calls.Get("Get").String(), "5")
	assert.Equal(t, c.Calls.Get("Put").String(), "3")
}

// Guards against sending a write to two base URLs, and against an unreachable base URL
// that prevents reads or unsent writes from reaching the next one.
func TestBaseURLsInOrder(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}))
	t.Cleanup(aborting.Close)
	good := serve(t, map[string]string{
		"GET /v1/kv/k": `200 {"Key":"k","Value":null,"Version":1}`,
		"PUT /v1/kv/k": `200 {"Key":"k","Value":null,"Version":2}`,
	})
	for _, tc := range []struct {
		name      string
		bases     []string
		getErr    bool
		putEffect string // "none" or "possible"; "" if the write succeeds
	}{
		{"second after closed", []string{closed.URL, good.URL}, false, ""},
		{"second after aborted connection", []string{aborting.URL, good.URL}, false, "possible"},
		{"all closed", []string{closed.URL, closed.URL}, true, "none"},
		{"no base URL", nil, true, "none"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(tc.bases...).Get(context.Background(), "k")
			assert.Equal(t, err != nil, tc.getErr)
			_, err = New(tc.bases...).Put(context.Background(), "k", &trwire.PutRequest{PrevVersion: 1})
			var unavailable *UnavailableError
			assert.Equal(t, errors.As(err, &unavailable), tc.putEffect != "")
			if unavailable != nil {
				assert.Equal(t, unavailable.MayHaveTakenEffect, tc.putEffect == "possible")
			}
		})
	}
	c := New(closed.URL, good.URL)
	for range 3 {
		_, err := c.Get(context.Background(), "k")
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Calls.Get("Get").String(), "4") // the closed server is tried only once
}

// Guards against a call that outlives its context, and against reporting that a write
// that was sent had no effect.
func TestCanceledWriteMayHaveTakenEffect(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		cancel()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	_, err := New(s.URL).Grant(ctx, time.Second)
	var unavailable *UnavailableError
	assert.Assert(t, errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = New(s.URL).Grant(ctx, time.Second)
	assert.Assert(t, errors.As(err, &unavailable) && !unavailable.MayHaveTakenEffect)
}

// Guards against exhausting memory with an oversized reply.
func TestOversizedReply(t *testing.T) {
	s := serve(t, map[string]string{"GET /v1/kv/k": `200 {"Key":"` + strings.Repeat("x", MaxEntryBytes)})
	_, err := New(s.URL).Get(context.Background(), "k")
	assert.ErrorContains(t, err, "message is larger than")
}

// TestEndlessHeadIsAbandoned guards against memory that grows with a head without end.
func TestEndlessHeadIsAbandoned(t *testing.T) {
	client, server := net.Pipe()
	read := make(chan int, 1)
	go func() {
		n := 0
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n")
			for block := strings.Repeat("X: x\r\n", 200); err == nil && n < 32<<20; n += len(block) {
				_, err = io.WriteString(server, block)
			}
		}
		server.Close()
		read <- n
	}()
	c := New("http://platform")
	c.HTTP.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	_, err := c.Get(t.Context(), "k")
	assert.Assert(t, err != nil)
	client.Close()
	n := <-read
	assert.Assert(t, n <= 2*maxHeadBytes, "%d bytes were read", n)
}

// Guards against store times that are not reported or have the wrong unit.
func TestStoreTimeHook(t *testing.T) {
	c := New(serve(t, nil).URL)
	c.Clock = trclock.NewManual(time.Unix(7, 0))
	var got []string
	c.OnStoreTime = func(store, sent, received time.Time) {
		got = append(got, fmt.Sprint(store.Unix(), sent.Unix(), received.Unix()))
	}
	_, err := c.Get(context.Background(), "k")
	var rejected *RejectedError
	assert.Assert(t, errors.As(err, &rejected))
	assert.DeepEqual(t, got, []string{"5 7 7"})
}

func ExampleClient() {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	_, err := New(s.URL).Get(context.Background(), "config")
	fmt.Println(err, errors.Is(err, ErrNotFound))
	// Output: platform: key not found true
}
