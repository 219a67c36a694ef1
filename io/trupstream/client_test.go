package trupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
	"tanagerrock/io/trupstream"
)

// upstream is a TCP server that answers each request with scripted raw bytes.
type upstream struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
	// answer returns the bytes to write for the n-th request and what to do with the
	// connection afterwards.
	answer func(r *http.Request, n int64) (raw string, after connAction)
}

// connAction is what an upstream does with a connection after a reply.
type connAction int

const (
	keepOpen connAction = iota
	closeConn
	resetConn
)

// newUpstream starts an upstream that is closed at the end of the test.
func newUpstream(t testing.TB, answer func(r *http.Request, n int64) (string, connAction)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{listener: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.serve(nc)
		}
	}()
	return u
}

// newBlockedUpstream starts an upstream that answers no request until release is
// called.
func newBlockedUpstream(t testing.TB) (u *upstream, release func()) {
	blocked := make(chan struct{})
	u = newUpstream(t, func(r *http.Request, _ int64) (string, connAction) {
		<-blocked
		return reply(r.Header.Get("Id"), "x"), keepOpen
	})
	return u, func() { close(blocked) }
}

func (u *upstream) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		raw, after := u.answer(r, u.requests.Add(1))
		_, _ = io.WriteString(nc, raw)
		switch after {
		case closeConn:
			return
		case resetConn:
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (u *upstream) directoryEntry() *trdirectory.Upstream {
	return &trdirectory.Upstream{ID: "u", Service: "s", Addr: u.listener.Addr().String(), Slots: 2, BornMs: 1}
}

func newClient() *trupstream.Client {
	return &trupstream.Client{
		Clock:    trclock.System(),
		Metrics:  new(trmetric.Registry),
		MaxConns: func(*trdirectory.Upstream) int { return 2 },
		Headers:  trupstream.Headers{RequestID: "Id", TimeoutMs: "Left", Expect: "For", Stamp: "Signed", NotRun: "Unrun", Load: "Busy"},
	}
}

func request(id string) *trgateway.Request {
	return &trgateway.Request{ID: id, Method: "POST", Target: "/a%2Fb?c=1", Host: "h.example",
		Header: http.Header{"Id": {id}, "X-Own": {"1"}}, Body: []byte("body")}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: sig\r\nBusy: 1,2,3\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(c *trupstream.Client, u *upstream, id string) trgateway.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.Send(ctx, u.directoryEntry(), request(id), time.Second)
}

// TestRequestIsForwardedUnchanged guards against changes to the caller's request on
// its way to the upstream.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	u := newUpstream(t, func(r *http.Request, _ int64) (string, connAction) {
		left, err := strconv.Atoi(r.Header.Get("Left"))
		if err != nil || left <= 0 || left > 1000 || r.RequestURI != "/a%2Fb?c=1" || r.Host != "h.example" || r.Header.Get("For") != "u" || r.Header.Get("X-Own") != "1" ||
			r.Header.Get("User-Agent") != "" || r.ContentLength != 4 {
			return reply(r.Header.Get("Id"), fmt.Sprint(r.RequestURI, r.Host, r.Header)), keepOpen
		}
		return reply(r.Header.Get("Id"), "good"), keepOpen
	})
	c := newClient()
	defer c.Close()
	for i := range 3 {
		out := send(c, u, fmt.Sprint(i))
		assert.Equal(t, out.Kind, trgateway.Answered)
		assert.Equal(t, string(out.Reply.Body), "good")
		assert.Equal(t, out.Reply.Stamp, "sig")
		assert.DeepEqual(t, out.Load, &trgateway.Load{Running: 1, Waiting: 2, Slots: 3})
	}
	assert.Equal(t, u.conns.Load(), int64(1))
}

// TestReplies guards against the acceptance of a reply that is incomplete or belongs to
// another request, and against retries by the client itself.
func TestReplies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		raw   func(id string) string
		after connAction
		want  trgateway.OutcomeKind
		body  string
	}{
		{"complete", func(id string) string { return reply(id, "x") }, keepOpen, trgateway.Answered, "x"},
		{"no length, closed", func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: sig\r\n\r\nrest" }, closeConn, trgateway.Answered, "rest"},
		{"truncated", func(id string) string { return reply(id, "xyz")[:len(reply(id, "xyz"))-1] }, closeConn, trgateway.OutcomeUnknown, ""},
		{"no reply, closed", func(string) string { return "" }, closeConn, trgateway.OutcomeUnknown, ""},
		{"no reply, reset", func(string) string { return "" }, resetConn, trgateway.OutcomeUnknown, ""},
		{"garbage", func(string) string { return "\x00\x01 no reply\r\n\r\n" }, closeConn, trgateway.OutcomeUnknown, ""},
		{"reply to another request first", func(id string) string { return reply("other", "old") + reply(id, "new") }, keepOpen, trgateway.Answered, "new"},
		{"only replies to other requests", func(string) string { return reply("a", "1") + reply("b", "2") + reply("c", "3") }, keepOpen, trgateway.OutcomeUnknown, ""},
		{"bytes after the reply", func(id string) string { return reply(id, "x") + "more" }, keepOpen, trgateway.Answered, "x"},
		{"content encoding", func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: sig\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
		}, keepOpen, trgateway.OutcomeUnknown, ""},
		{"not run", func(id string) string {
			return "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
		}, keepOpen, trgateway.NotRun, ""},
		{"misdirected", func(id string) string { return "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n" }, keepOpen, trgateway.NotRun, ""},
		{"upstream failure", func(id string) string { return "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n" }, keepOpen, trgateway.Answered, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(r *http.Request, n int64) (string, connAction) {
				if n > 1 {
					return reply(r.Header.Get("Id"), "next"), keepOpen
				}
				return tc.raw(r.Header.Get("Id")), tc.after
			})
			c := newClient()
			defer c.Close()
			out := send(c, u, "first")
			assert.Equal(t, out.Kind, tc.want, "%v", out.Err)
			assert.Equal(t, u.requests.Load(), int64(1))
			if out.Kind == trgateway.Answered {
				assert.Equal(t, string(out.Reply.Body), tc.body)
			}
			// Data left on the connection must not become the reply to a later request.
			next := send(c, u, "second")
			assert.Equal(t, next.Kind, trgateway.Answered, "%v", next.Err)
			assert.Equal(t, string(next.Reply.Body), "next")
		})
	}
}

// TestCanceledAttemptEnds guards against an attempt that continues to wait for a reply
// after its context is canceled.
func TestCanceledAttemptEnds(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, nil)
	u.answer = func(*http.Request, int64) (string, connAction) {
		<-release
		return "", closeConn
	}
	c := newClient()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for u.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	out := c.Send(ctx, u.directoryEntry(), request("x"), time.Minute)
	assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
	close(release)
}

// TestOutcomeOfRefusedConnection guards against the outcome OutcomeUnknown for a
// request that was never sent.
func TestOutcomeOfRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	c := newClient()
	out := c.Send(context.Background(), &trdirectory.Upstream{ID: "u", Addr: addr}, request("x"), time.Second)
	assert.Equal(t, out.Kind, trgateway.NotSent)
}

// TestIdleConnectionOutlivesRequestDeadline guards against an idle connection that is
// closed because the deadline of its last request has passed.
func TestIdleConnectionOutlivesRequestDeadline(t *testing.T) {
	u := newUpstream(t, nil)
	u.answer = func(r *http.Request, _ int64) (string, connAction) { return reply(r.Header.Get("Id"), "x"), keepOpen }
	c := newClient()
	defer c.Close()
	const left = 20 * time.Millisecond
	for i := range 2 {
		out := c.Send(context.Background(), u.directoryEntry(), request(fmt.Sprint(i)), left)
		assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
		time.Sleep(left + 2*trgateway.ReplyGrace)
	}
	assert.Equal(t, u.conns.Load(), int64(1))
}

// TestSilentUpstreamTimesOut guards against an attempt that waits for a reply beyond
// its deadline.
func TestSilentUpstreamTimesOut(t *testing.T) {
	u, release := newBlockedUpstream(t)
	defer release()
	c := newClient()
	defer c.Close()
	out := c.Send(context.Background(), u.directoryEntry(), request("x"), 20*time.Millisecond)
	assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
}

// TestConnectionsAreBounded guards against more connections to an upstream than
// Client.MaxConns allows.
func TestConnectionsAreBounded(t *testing.T) {
	u, release := newBlockedUpstream(t)
	c := newClient()
	defer c.Close()
	results := make(chan trgateway.Outcome, 6)
	for i := range 6 {
		go func() { results <- send(c, u, fmt.Sprint(i)) }()
	}
	for u.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	release()
	for range 6 {
		out := <-results
		assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
	}
	assert.Assert(t, u.conns.Load() <= 2, "%d connections", u.conns.Load())
}

// TestQueuedRequestIsNotSentToDrainingUpstream guards against a request that is sent
// to an upstream that started to drain while the request waited for a connection.
func TestQueuedRequestIsNotSentToDrainingUpstream(t *testing.T) {
	u, release := newBlockedUpstream(t)
	c := newClient()
	defer c.Close()
	var draining atomic.Bool
	c.MaxConns = func(*trdirectory.Upstream) int { return 1 }
	c.Admit = func(trdirectory.UpstreamKey, *trgateway.Request) bool { return !draining.Load() }
	results := make(chan trgateway.Outcome, 2)
	for i := range 2 {
		go func() { results <- send(c, u, fmt.Sprint(i)) }()
	}
	for u.requests.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	draining.Store(true)
	release()
	kinds := map[trgateway.OutcomeKind]int{(<-results).Kind: 1}
	kinds[(<-results).Kind]++
	assert.Equal(t, kinds[trgateway.Answered], 1)
	assert.Equal(t, kinds[trgateway.NotSent], 1)
	assert.Equal(t, u.requests.Load(), int64(1))
}
