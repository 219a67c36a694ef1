package trupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trgateway"
)

// FuzzReply guards against bytes of an upstream that end the process, that are taken for
// the reply to another request, or that are passed on with an incomplete body.
func FuzzReply(f *testing.F) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: x\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: r\r\nUnrun: 1\r\nRetry-After: 1.5\r\nGoing: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No\r\nId: r\r\n\r\n",
		"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r\r\nSigned: sig\r\n\r\nrest", "HTTP/1.1 304 Same\r\nId: r\r\nSigned: sig\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nId: r\r\nBusy: 1,-2,x\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\nrest",
		"HTTP/1.1 000 X\r\nId: r\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999 X\r\nId: r\r\nUnrun: 1\r\n\r\nrest",
		"HTTP/1.1 +42 X\r\nId: r\r\n\r\n", "HTTP/2.0 200 OK\r\nId: r\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r\r\nConte",
		"HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\n\r\n", "HTTP/1.1 100 X\r\n\r\n",
		"HTTP/1.1 204 No\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 304 Same\r\nId: r\r\n\r\nbody",
	} {
		f.Add([]byte(raw))
	}
	for _, stray := range strayReplies {
		for cut := range len(stray) {
			f.Add([]byte(stray[:cut] + trueReplies[cut%len(trueReplies)]))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = server.Write(raw)
			server.Close()
		}()
		c := newTestClient()
		c.Headers.NotRun, c.Headers.Load, c.Headers.Leaving, c.Headers.Stamp = "Unrun", "Busy", "Going", "Signed"
		out, reusable := exchangeOn(c, client)
		_, _ = io.Copy(io.Discard, client) // so that the server's goroutine ends
		if out.Pause < 0 || out.Pause > trgateway.MaxPause {
			t.Fatalf("pause of %v", out.Pause)
		}
		switch out.Kind {
		case trgateway.Answered:
			assert.Assert(t, out.Reply.Status >= 200 && out.Reply.Status <= 599)
			assert.Assert(t, len(out.Reply.Body) == 0 || !bodiless(out.Reply.Status))
			assert.Assert(t, out.Reply.Stamp != "" || out.Reply.Failed())
			id := out.Reply.Header.Get("Id")
			assert.Assert(t, id == "r" || id == "")
			assert.Assert(t, !holdsStatusLine(&http.Response{Header: out.Reply.Header}))
			assert.Assert(t, bytes.Contains(raw, out.Reply.Body) || bytes.Contains(bytes.ToLower(raw), []byte("chunked")))
		case trgateway.NotRun:
			assert.Assert(t, out.Err != nil)
		default:
			assert.Assert(t, out.Err != nil && !reusable)
		}
	})
}
