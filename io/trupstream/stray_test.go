package trupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
	"tanagerrock/io/trupstream"
)

// newCopyingUpstream starts an upstream that sends each reply a second time, transformed
// by copied, when the next request arrives on the same connection: after the client has
// found the connection idle and before the reply to that request.
func newCopyingUpstream(t *testing.T, answer func(r *http.Request, n int64) string, copied func(string) string) (addr string, conns *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	conns = new(atomic.Int64)
	var requests atomic.Int64
	serve := func(nc net.Conn) {
		defer nc.Close()
		br := bufio.NewReader(nc)
		var last string
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if last != "" {
				_, _ = io.WriteString(nc, copied(last))
			}
			last = answer(r, requests.Add(1))
			_, _ = io.WriteString(nc, last)
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serve(nc)
		}
	}()
	return l.Addr().String(), conns
}

func sendTo(c *trupstream.Client, addr, id string) trgateway.Outcome {
	up := &trdirectory.Upstream{ID: "u", Service: "s", Addr: addr, Slots: 2, BornMs: 1}
	return c.Send(context.Background(), up, request(id), time.Second)
}

// TestLateCopyOfRefusalIsNotTakenForRetry guards against a request that runs although
// it counts as not run: a second copy of the refusal of its first attempt arrives when
// the request is sent again to the same upstream.
func TestLateCopyOfRefusalIsNotTakenForRetry(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: order\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	addr, _ := newCopyingUpstream(t, func(r *http.Request, n int64) string {
		if n == 1 {
			return refusal
		}
		return reply(r.Header.Get("Id"), "ran")
	}, func(last string) string { return last })
	c := newClient()
	defer c.Close()
	assert.Equal(t, sendTo(c, addr, "order").Kind, trgateway.NotRun)
	out := sendTo(c, addr, "order")
	assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
	assert.Equal(t, string(out.Reply.Body), "ran")
}

// TestLateCopyWithoutIDIsNotTakenForNextReply guards against a caller that gets the
// reply to another request, and against a wrong "not run", if the second copy of a
// reply on a reused connection does not name its request.
func TestLateCopyWithoutIDIsNotTakenForNextReply(t *testing.T) {
	for _, first := range []string{
		"HTTP/1.1 200 OK\r\nId: first\r\nSigned: sig\r\nContent-Length: 3\r\n\r\nold",
		"HTTP/1.1 503 Busy\r\nId: first\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 No\r\nId: first\r\nContent-Length: 0\r\n\r\n",
	} {
		addr, _ := newCopyingUpstream(t, func(r *http.Request, n int64) string {
			if n == 1 {
				return first
			}
			return reply(r.Header.Get("Id"), "new")
		}, func(last string) string { return strings.Replace(last, "Id: first\r\n", "", 1) })
		c := newClient()
		sendTo(c, addr, "first")
		out := sendTo(c, addr, "second")
		if out.Kind == trgateway.Answered {
			assert.Equal(t, string(out.Reply.Body), "new")
		}
		assert.Assert(t, out.Kind != trgateway.NotRun && out.Kind != trgateway.NotSent, "the second request ran")
		c.Close()
	}
}

// TestConnectionWithStrayReplyIsClosed guards against further requests on a connection
// whose upstream sends replies twice.
func TestConnectionWithStrayReplyIsClosed(t *testing.T) {
	addr, conns := newCopyingUpstream(t, func(r *http.Request, _ int64) string { return reply(r.Header.Get("Id"), r.Header.Get("Id")) },
		func(last string) string { return last })
	c := newClient()
	defer c.Close()
	for i := range 6 {
		id := fmt.Sprint("r", i)
		out := sendTo(c, addr, id)
		assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
		assert.Equal(t, string(out.Reply.Body), id)
	}
	assert.Equal(t, conns.Load(), int64(3))
}

// TestReplyCutInHeadIsNoReply guards against a reply that counts as complete although
// its upstream closed the connection within the head, on a new connection and on a
// reused one.
func TestReplyCutInHeadIsNoReply(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: cut\r\nSigned: sig\r\n"
	for name, whole := range map[string]string{
		"length":    start + "Content-Length: 12\r\n\r\ntwelve bytes",
		"chunked":   start + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"close":     start + "\r\ntwelve bytes",
		"no body":   "HTTP/1.1 204 None\r\nId: cut\r\nSigned: sig\r\n\r\n",
		"interim":   "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + start + "Content-Length: 0\r\n\r\n",
		"bare line": strings.ReplaceAll(start, "\r", "") + "Content-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := len(whole)
			if i := strings.LastIndex(whole, "\r\n\r\ntw"); i >= 0 {
				head = i + 4
			} else if i := strings.Index(whole, "\r\n\r\nc\r\n"); i >= 0 {
				head = i + 4
			}
			for cut := range head {
				for _, reused := range []bool{false, true} {
					for _, after := range []connAction{closeConn, resetConn} {
						u := newUpstream(t, func(r *http.Request, n int64) (string, connAction) {
							if reused && n == 1 {
								return reply(r.Header.Get("Id"), "x"), keepOpen
							}
							return whole[:cut], after
						})
						c := newClient()
						if reused {
							assert.Equal(t, send(c, u, "before").Kind, trgateway.Answered)
						}
						out := send(c, u, "cut")
						assert.Equal(t, out.Kind, trgateway.OutcomeUnknown, "cut after %d bytes: %q", cut, whole[:cut])
						c.Close()
						u.listener.Close()
					}
				}
			}
		})
	}
}

// TestReplyResetInBodyIsNoReply guards against a body without a length that counts as
// complete although the connection was reset.
func TestReplyResetInBodyIsNoReply(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\n\r\nhalf of a")
		time.Sleep(20 * time.Millisecond) // the client reads what is there
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}()
	c := newClient()
	defer c.Close()
	out := sendTo(c, l.Addr().String(), "r")
	assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
}

// TestReplyAfterFailedWriteMustBeFramed guards against half of a body that counts as whole: an
// upstream replies before it has read the request, without a length, and resets the
// connection. The write takes the error of the connection, so that the reads after it end as
// if the upstream had closed the connection.
func TestReplyAfterFailedWriteMustBeFramed(t *testing.T) {
	const body = "half of a body"
	for _, tc := range []struct {
		name, raw string
		want      trgateway.OutcomeKind
	}{
		{"unframed", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\n\r\n" + body, trgateway.OutcomeUnknown},
		{"unframed failure", "HTTP/1.1 500 No\r\nId: r\r\nSigned: sig\r\n\r\n" + body, trgateway.OutcomeUnknown},
		{"unframed, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: r\r\nSigned: sig\r\n\r\n" + body, trgateway.OutcomeUnknown},
		{"half of a length", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\nContent-Length: 28\r\n\r\n" + body, trgateway.OutcomeUnknown},
		{"half of the chunks", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + body + "\r\n", trgateway.OutcomeUnknown},
		{"length", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\nContent-Length: 14\r\n\r\n" + body, trgateway.Answered},
		{"chunks", "HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + body + "\r\n0\r\n\r\n", trgateway.Answered},
		{"no content", "HTTP/1.1 204 No\r\nId: r\r\nSigned: sig\r\n\r\n", trgateway.Answered},
		{"unframed refusal", "HTTP/1.1 503 Busy\r\nId: r\r\nUnrun: 1\r\n\r\n" + body, trgateway.NotRun},
		{"unframed misdirection", "HTTP/1.1 421 No\r\nId: r\r\n\r\n" + body, trgateway.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = nc.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(nc, tc.raw)
				time.Sleep(20 * time.Millisecond) // the reply arrives before the reset
				_ = nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
			}()
			c := newClient()
			defer c.Close()
			req := request("r")
			req.Body = make([]byte, 16<<20) // more than the buffers of the connection
			up := &trdirectory.Upstream{ID: "u", Service: "s", Addr: l.Addr().String(), Slots: 2, BornMs: 1}
			out := c.Send(t.Context(), up, req, 5*time.Second)
			assert.Equal(t, out.Kind, tc.want, "%v", out.Err)
			if out.Kind == trgateway.Answered && out.Reply.Status == http.StatusOK {
				assert.Equal(t, string(out.Reply.Body), body)
			}
		})
	}
}

// TestAnnouncementsOfReplies guards against marks from replies that are not certain to
// be the upstream's own, and against bad values of Retry-After.
func TestAnnouncementsOfReplies(t *testing.T) {
	for _, tc := range []struct {
		name, status, fields string
		leaving              bool
		pause                time.Duration
		invalid              bool
	}{
		{"leaving", "200 OK", "Id: r\r\nSigned: sig\r\nGoing: 1\r\n", true, 0, false},
		{"leaving and refused", "503 Busy", "Id: r\r\nGoing: 1\r\nUnrun: 1\r\n", true, 0, false},
		{"not leaving", "200 OK", "Id: r\r\nSigned: sig\r\nGoing: 0\r\n", false, 0, false},
		{"misdirected", "421 No", "Id: r\r\nGoing: 1\r\nRetry-After: 3\r\n", false, 0, false},
		{"without ID", "200 OK", "Signed: sig\r\nGoing: 1\r\n", false, 0, false},
		{"pause", "503 Busy", "Id: r\r\nUnrun: 1\r\nRetry-After: 1.5\r\n", false, 1500 * time.Millisecond, false},
		{"pause after a run", "503 Busy", "Id: r\r\nRetry-After: 2\r\n", false, 2 * time.Second, false},
		{"pause of another status", "429 Many", "Id: r\r\nUnrun: 1\r\nRetry-After: 2\r\n", false, 0, false},
		{"zero", "503 Busy", "Id: r\r\nRetry-After: 0\r\n", false, 0, false},
		{"negative", "503 Busy", "Id: r\r\nRetry-After: -5\r\n", false, 0, true},
		{"no number", "503 Busy", "Id: r\r\nRetry-After: soon\r\n", false, 0, true},
		{"not a number", "503 Busy", "Id: r\r\nRetry-After: NaN\r\n", false, 0, true},
		{"two dots", "503 Busy", "Id: r\r\nRetry-After: 1.2.3\r\n", false, 0, true},
		{"infinity", "503 Busy", "Id: r\r\nRetry-After: Inf\r\n", false, 0, true},
		{"date", "503 Busy", "Id: r\r\nRetry-After: Fri, 04 Dec 2026 21:00:00 GMT\r\n", false, 0, true},
		{"hours", "503 Busy", "Id: r\r\nRetry-After: 7200\r\n", false, trgateway.MaxPause, true},
		{"out of range", "503 Busy", "Id: r\r\nRetry-After: " + strings.Repeat("9", 400) + "\r\n", false, trgateway.MaxPause, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(*http.Request, int64) (string, connAction) {
				return "HTTP/1.1 " + tc.status + "\r\n" + tc.fields + "Content-Length: 0\r\n\r\n", keepOpen
			})
			c := newClient()
			c.Headers.Leaving = "Going"
			c.Metrics = new(trmetric.Registry)
			defer c.Close()
			out := send(c, u, "r")
			assert.Equal(t, out.Leaving, tc.leaving)
			assert.Equal(t, out.Pause, tc.pause)
			assert.Equal(t, out.PauseError != nil, tc.invalid, "%v", out.PauseError)
		})
	}
}

// TestRequestIsWithheldFromPausedUpstream guards against a request that is written to an
// upstream that asked for a pause, or started to leave, while the request waited for
// a connection.
func TestRequestIsWithheldFromPausedUpstream(t *testing.T) {
	var taking atomic.Bool
	u := newUpstream(t, func(r *http.Request, _ int64) (string, connAction) { return reply(r.Header.Get("Id"), "x"), keepOpen })
	c := newClient()
	defer c.Close()
	c.Admit = func(trdirectory.UpstreamKey, *trgateway.Request) bool { return taking.Load() }
	out := send(c, u, "r")
	assert.Equal(t, out.Kind, trgateway.NotSent)
	assert.ErrorIs(t, out.Err, trgateway.ErrWithheld)
	assert.Equal(t, u.requests.Load(), int64(0))
	taking.Store(true)
	assert.Equal(t, send(c, u, "r").Kind, trgateway.Answered)
}
