package trupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
)

// sendBytes sends a reply that begins with head and repeats rest until limit bytes are sent or
// the connection is closed. It returns the number of bytes that were read.
func sendBytes(nc net.Conn, head, rest string, limit int) int {
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return 0
	}
	n, err := io.WriteString(nc, head)
	block := strings.Repeat(rest, 1+1024/len(rest))
	for err == nil && n < limit {
		var more int
		more, err = io.WriteString(nc, block)
		n += more
	}
	return n
}

func newTestClient() *Client {
	return &Client{Clock: trclock.System(), Metrics: new(trmetric.Registry), Headers: Headers{RequestID: "Id", TimeoutMs: "Left", Expect: "For"}}
}

// exchangeOn sends a request on a connection and closes it after the reply.
func exchangeOn(c *Client, nc net.Conn) (trgateway.Outcome, bool) {
	cn := newConn(&pool{clock: c.Clock}, nc)
	defer cn.close()
	return cn.exchange(c, &trdirectory.Upstream{ID: "u"}, &trgateway.Request{ID: "r", Method: "GET", Target: "/", Host: "h"}, 1)
}

// TestEndlessRepliesAreAbandoned guards against memory that grows with bytes without end.
func TestEndlessRepliesAreAbandoned(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const bufferBytes = 8 << 10 // of a connection
	for _, tc := range []struct {
		name, head, rest string
		most             int // bytes read
	}{
		{"status line", "", "x", maxHeadBytes},
		{"header field", ok + "X: ", "x", maxHeadBytes},
		{"header fields", ok, "X: x\r\n", maxHeadBytes},
		{"body", ok + "Id: r\r\n\r\n", "x", maxHeadBytes + maxReplyBytes},
		{"chunks", ok + "Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", maxHeadBytes + maxReplyBytes},
		{"chunk size", ok + "Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "0", maxHeadBytes},
		{"trailer", ok + "Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", maxHeadBytes},
		{"informational replies", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes},
		{"replies to other requests", "", ok + "Id: other\r\nContent-Length: 0\r\n\r\n", maxHeadBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := net.Pipe()
			read := make(chan int, 1)
			go func() {
				read <- sendBytes(server, tc.head, tc.rest, 4*maxReplyBytes)
				server.Close()
			}()
			out, reusable := exchangeOn(newTestClient(), client)
			assert.Equal(t, out.Kind, trgateway.OutcomeUnknown)
			assert.Assert(t, !reusable)
			n := <-read
			assert.Assert(t, n <= tc.most+bufferBytes, "%d bytes were read", n)
		})
	}
}

// TestLargeRepliesShareALimit guards against memory that grows with the number of large replies.
func TestLargeRepliesShareALimit(t *testing.T) {
	c := newTestClient()
	c.MaxPendingBytes = 1 << 20
	const size, fit = 512 << 10, 2 // bytes of a reply, and how many replies fit
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	var wg sync.WaitGroup
	end := make(chan struct{})
	kinds := make([]trgateway.OutcomeKind, 3*fit)
	for i := range kinds {
		client, server := net.Pipe()
		read := make(chan int)
		wg.Go(func() {
			read <- sendBytes(server, ok+"\r\n", "x", size)
			<-end
			server.Close()
		})
		wg.Go(func() {
			out, _ := exchangeOn(c, client)
			kinds[i] = out.Kind
		})
		n := <-read
		assert.Equal(t, n >= size, i < fit, "%d bytes of reply %d were read", n, i)
	}
	client, server := net.Pipe()
	wg.Go(func() { sendBytes(server, ok+"Content-Length: 4096\r\n\r\n"+strings.Repeat("x", 4096), "x", 0) })
	out, _ := exchangeOn(c, client)
	assert.Equal(t, out.Kind, trgateway.Answered)
	close(end)
	wg.Wait()
	for i, kind := range kinds {
		assert.Equal(t, kind == trgateway.Answered, i < fit, "reply %d", i)
	}
	assert.Equal(t, c.pending.Load(), int64(0))
}
