package trupstream

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// scriptedConn is a connection on which the given pieces arrive, then the end of the stream.
type scriptedConn struct {
	net.Conn // nil
	pieces   []string
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	for len(c.pieces) > 0 && c.pieces[0] == "" {
		c.pieces = c.pieces[1:]
	}
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.pieces[0])
	c.pieces[0] = c.pieces[0][n:]
	return n, nil
}

func (c *scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// strayReplies are whole replies to a request with the ID "old", of which an upstream may send
// any beginning late. The ones without an ID arrive on reused connections only.
var strayReplies = []string{
	"HTTP/1.1 200 OK\r\nId: old\r\nSigned: old\r\nContent-Length: 14\r\n\r\nbody of old 14",
	"HTTP/1.1 200 OK\r\nSigned: old\r\nId: old\r\nUnrun: 1\r\nContent-Length: 0\r\nDate: Sat, 05 Dec 2026 13:00:00 GMT\r\n\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 300\r\nId: old\r\n\r\n" + longBody,
	"HTTP/1.1 503 Busy: try later\r\nUnrun: 1\r\nId: old\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\nId: old\r\n\r\n",
	"HTTP/1.1 204 No\r\nId: old\r\nSigned: old\r\n\r\n",
	"HTTP/1.0 200 OK\nId: old\nSigned: old\nContent-Length: 4\n\nbody",
	"HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\n\tc\r\nId: old\r\nSigned: old\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: old\r\nSigned: old\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: old\r\nSigned: old\r\n\r\nuntil the end",
	"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: old\r\nSigned: old\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSigned: old\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
}

// longBody is longer than a whole reply of trueReplies.
var longBody = fmt.Sprintf("%0300d", 0)

// trueReplies are replies to the request with the ID "r".
var trueReplies = []string{
	"HTTP/1.1 200 OK\r\nId: r\r\nSigned: new\r\nContent-Length: 4\r\n\r\ntrue",
	"HTTP/1.1 500 Internal Server Error\r\nId: r\r\nSigned: new\r\nContent-Length: 7\r\n\r\nfailure",
	"HTTP/1.1 500 Error: disk\r\nSigned: new\r\nId: r\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Ran\r\nId: r\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nId: r\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 No\r\nId: r\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 204 No\r\nId: r\r\nSigned: new\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: r\r\nSigned: new\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n0\r\n\r\n",
	"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\nId: r\r\n\r\n7\r\nfailure\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: r\r\nSigned: new\r\n\r\nuntil the end",
	"HTTP/1.0 500 No\nId: r\n\nuntil the end",
	"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 500 No\r\nId: r\r\nContent-Length: 0\r\n\r\n",
}

// exchangeScripted sends the request "r" on a connection on which the pieces arrive.
func exchangeScripted(c *Client, reused bool, pieces ...string) trgateway.Outcome {
	cn := newConn(&pool{clock: c.Clock}, &scriptedConn{pieces: pieces})
	if reused {
		cn.recordRequest("old")
	}
	out, _ := cn.exchange(c, &trdirectory.Upstream{ID: "u"}, &trgateway.Request{ID: "r", Method: "POST", Target: "/", Host: "h", Body: []byte("x")}, time.Second)
	out.Sent = time.Time{}
	return out
}

// newScriptedClient returns a client with the header names of the scripted replies.
func newScriptedClient() *Client {
	c := newTestClient()
	c.Headers.NotRun, c.Headers.Stamp, c.Headers.Leaving = "Unrun", "Signed", "Going"
	return c
}

// TestStrayBytesAreNotJoinedToReply guards against a caller that gets a success for a request
// that failed, another reply than its own, or a wrong "not run": the beginning of a stray
// reply, of any length, arrives just before the true one.
func TestStrayBytesAreNotJoinedToReply(t *testing.T) {
	c := newScriptedClient()
	joins, answered := 0, 0
	for _, genuine := range trueReplies {
		want := exchangeScripted(c, false, genuine)
		assert.Assert(t, want.Kind == trgateway.Answered || want.Kind == trgateway.NotRun, "%q: %v", genuine, want.Err)
		for _, stray := range strayReplies {
			for cut := 1; cut <= len(stray); cut++ {
				for _, pieces := range [][]string{{stray[:cut] + genuine}, {stray[:cut], genuine}} {
					out := exchangeScripted(c, true, pieces...)
					joins++
					switch out.Kind {
					case trgateway.Answered:
						answered++
						assert.Equal(t, want.Kind, trgateway.Answered, "%q", pieces)
						assert.DeepEqual(t, out.Reply, want.Reply)
					case trgateway.NotRun:
						assert.Equal(t, want.Kind, trgateway.NotRun, "%q", pieces)
					case trgateway.NotSent:
						t.Fatalf("%q: the request was sent", pieces)
					}
				}
			}
		}
	}
	t.Logf("%d joins, %d answered", joins, answered)
}
