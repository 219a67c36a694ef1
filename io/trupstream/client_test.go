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

// upstream is a TCP server that answers each request with raw bytes.
type upstream struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
	// answer returns what is written for a request, and whether the connection
	// is then closed or reset.
	answer func(r *http.Request, n int64) (raw string, end ending)
}

type ending int

const (
	keep ending = iota
	closed
	reset
)

func newUpstream(t testing.TB, answer func(r *http.Request, n int64) (string, ending)) *upstream {
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

// newBlockedUpstream answers no request until release is called.
func newBlockedUpstream(t testing.TB) (u *upstream, release func()) {
	blocked := make(chan struct{})
	u = newUpstream(t, func(r *http.Request, _ int64) (string, ending) {
		<-blocked
		return reply(r.Header.Get("Id"), "x"), keep
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
		raw, end := u.answer(r, u.requests.Add(1))
		_, _ = io.WriteString(nc, raw)
		switch end {
		case closed:
			return
		case reset:
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (u *upstream) entry() *trdirectory.Upstream {
	return &trdirectory.Upstream{ID: "u", Service: "s", Addr: u.listener.Addr().String(), Slots: 2, BornMs: 1}
}

func newClient() *trupstream.Client {
	return &trupstream.Client{
		Clock:   trclock.System(),
		Metrics: new(trmetric.Registry),
		Limit:   func(*trdirectory.Upstream) int { return 2 },
		Headers: trupstream.Headers{RequestID: "Id", TimeoutMs: "Left", Expect: "For", Stamp: "Signed", NotRun: "Unrun", Load: "Busy"},
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
	return c.Send(ctx, u.entry(), request(id), time.Second)
}

// Guards against changes of what the caller sent on its way to the upstream.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, func(r *http.Request, _ int64) (string, ending) {
		left, err := strconv.Atoi(r.Header.Get("Left"))
		if err != nil || left <= 0 || left > 1000 || r.RequestURI != "/a%2Fb?c=1" || r.Host != "h.example" || r.Header.Get("For") != "u" || r.Header.Get("X-Own") != "1" ||
			r.Header.Get("User-Agent") != "" || r.ContentLength != 4 {
			return reply(r.Header.Get("Id"), fmt.Sprint(r.RequestURI, r.Host, r.Header)), keep
		}
		return reply(r.Header.Get("Id"), "good"), keep
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

// Guards against replies that are not the whole reply to the request, and
// against a request that the client repeats by itself.
func TestFaultyReplies(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  func(id string) string
		end  ending
		want trgateway.OutcomeKind
		body string
	}{
		{"whole", func(id string) string { return reply(id, "x") }, keep, trgateway.Answered, "x"},
		{"no length, closed", func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nrest" }, closed, trgateway.Answered, "rest"},
		{"truncated", func(id string) string { return reply(id, "xyz")[:len(reply(id, "xyz"))-1] }, closed, trgateway.OutcomeUnknown, ""},
		{"nothing", func(string) string { return "" }, closed, trgateway.OutcomeUnknown, ""},
		{"nothing, reset", func(string) string { return "" }, reset, trgateway.OutcomeUnknown, ""},
		{"noise", func(string) string { return "\x00\x01 no reply\r\n\r\n" }, closed, trgateway.OutcomeUnknown, ""},
		{"reply to another request first", func(id string) string { return reply("other", "old") + reply(id, "new") }, keep, trgateway.Answered, "new"},
		{"only replies to others", func(string) string { return reply("a", "1") + reply("b", "2") + reply("c", "3") }, keep, trgateway.OutcomeUnknown, ""},
		{"bytes after the reply", func(id string) string { return reply(id, "x") + "more" }, keep, trgateway.Answered, "x"},
		{"encoded", func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
		}, keep, trgateway.OutcomeUnknown, ""},
		{"not run", func(id string) string {
			return "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
		}, keep, trgateway.NotRun, ""},
		{"other upstream", func(id string) string { return "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n" }, keep, trgateway.NotRun, ""},
		{"own failure", func(id string) string { return "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n" }, keep, trgateway.Answered, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(r *http.Request, n int64) (string, ending) {
				if n > 1 {
					return reply(r.Header.Get("Id"), "next"), keep
				}
				return tc.raw(r.Header.Get("Id")), tc.end
			})
			c := newClient()
			defer c.Close()
			out := send(c, u, "first")
			assert.Equal(t, out.Kind, tc.want, "%v", out.Err)
			assert.Equal(t, u.requests.Load(), int64(1))
			if out.Kind == trgateway.Answered {
				assert.Equal(t, string(out.Reply.Body), tc.body)
			}
			// What was left on the connection belongs to no later request.
			next := send(c, u, "second")
			assert.Equal(t, next.Kind, trgateway.Answered, "%v", next.Err)
			assert.Equal(t, string(next.Reply.Body), "next")
		})
	}
}

// Guards against work that goes on at an upstream after the attempt has ended.
func TestEndedAttemptClosesItsConnection(t *testing.T) {
	gone := make(chan struct{})
	u := newUpstream(t, nil)
	u.answer = func(*http.Request, int64) (string, ending) {
		<-gone
		return "", closed
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
	out := c.Send(ctx, u.entry(), request("x"), time.Minute)
	assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
	close(gone)
}

// Guards against an outcome "unknown" for a request that was never sent.
func TestRefusedConnectionSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	l.Close()
	c := newClient()
	out := c.Send(context.Background(), &trdirectory.Upstream{ID: "u", Addr: addr}, request("x"), time.Second)
	assert.Equal(t, out.Kind, trgateway.NotSent)
}

// Guards against a connection that is given up because the time of the request it
// carried last has passed.
func TestIdleConnectionOutlivesTheTimeOfItsRequest(t *testing.T) {
	u := newUpstream(t, nil)
	u.answer = func(r *http.Request, _ int64) (string, ending) { return reply(r.Header.Get("Id"), "x"), keep }
	c := newClient()
	defer c.Close()
	const left = 20 * time.Millisecond
	for i := range 2 {
		out := c.Send(context.Background(), u.entry(), request(fmt.Sprint(i)), left)
		assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
		time.Sleep(left + 2*trgateway.ReplyGrace)
	}
	assert.Equal(t, u.conns.Load(), int64(1))
}

// Guards against a reply that is awaited beyond the time of its request.
func TestSilentUpstreamEndsTheAttempt(t *testing.T) {
	u, release := newBlockedUpstream(t)
	defer release()
	c := newClient()
	defer c.Close()
	out := c.Send(context.Background(), u.entry(), request("x"), 20*time.Millisecond)
	assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
}

// Guards against more connections to an upstream than this instance's share.
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

// Guards against work for an upstream that has begun to drain while the request
// waited for a connection.
func TestRequestThatWaitedIsNotSentToADrainingUpstream(t *testing.T) {
	u, release := newBlockedUpstream(t)
	c := newClient()
	defer c.Close()
	var drains atomic.Bool
	c.Limit = func(*trdirectory.Upstream) int { return 1 }
	c.Usable = func(trdirectory.UpstreamKey) bool { return !drains.Load() }
	results := make(chan trgateway.Outcome, 2)
	for i := range 2 {
		go func() { results <- send(c, u, fmt.Sprint(i)) }()
	}
	for u.requests.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	drains.Store(true)
	release()
	fates := map[trgateway.OutcomeKind]int{(<-results).Kind: 1}
	fates[(<-results).Kind]++
	assert.Equal(t, fates[trgateway.Answered], 1)
	assert.Equal(t, fates[trgateway.NotSent], 1)
	assert.Equal(t, u.requests.Load(), int64(1))
}
