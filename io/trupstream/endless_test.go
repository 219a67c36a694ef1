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
	assert.Equal(t, c.pending.medium.Load(), int64(0))
	assert.Equal(t, c.pending.large.Load(), int64(0))
}

// TestHeadWithManyFieldsIsAbandoned guards against short header fields, which take many times their
// length when they are decoded, until a process runs out of memory.
func TestHeadWithManyFieldsIsAbandoned(t *testing.T) {
	const early, ok, end = "HTTP/1.1 103 Early\r\n", "HTTP/1.1 200 OK\r\nId: r\r\n", "Content-Length: 0\r\n\r\n"
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	const most = maxHeadLines - 4 // with ok and end
	for name, tc := range map[string]struct {
		raw  string
		want trgateway.OutcomeKind
	}{
		"most":                 {ok + fields(most) + end, trgateway.Answered},
		"one more":             {ok + fields(most+1) + end, trgateway.OutcomeUnknown},
		"bare line feeds":      {strings.ReplaceAll(ok+fields(most+1)+end, "\r", ""), trgateway.OutcomeUnknown},
		"continued lines":      {ok + "a: b\r\n" + strings.Repeat(" \n", maxHeadLines) + end, trgateway.OutcomeUnknown},
		"after informational":  {early + "\r\n" + ok + fields(most+1) + end, trgateway.OutcomeUnknown},
		"in informational":     {early + fields(maxHeadLines) + "\r\n" + ok + end, trgateway.OutcomeUnknown},
		"most in both":         {early + fields(most) + "\r\n" + ok + fields(most) + end, trgateway.Answered},
		"line feeds of a body": {ok + "Content-Length: 9000\r\n\r\n" + strings.Repeat("\n", 9000), trgateway.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			out, _ := exchangeRaw(tc.raw)
			assert.Equal(t, out.Kind, tc.want, "%v", out.Err)
		})
	}
	client, server := net.Pipe()
	read := make(chan int, 1)
	go func() {
		read <- sendBytes(server, ok, "a:\r\n", 4*maxHeadBytes)
		server.Close()
	}()
	exchangeOn(newTestClient(), client)
	n := <-read
	assert.Assert(t, n <= maxHeadLines*len("a:\r\n")+8<<10, "%d bytes were read", n)
}

// TestLinesOfHeadAreCountedAcrossReads guards against lines that are not counted because a read
// ends within them.
func TestLinesOfHeadAreCountedAcrossReads(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\na: b\r\n\t\nc: d\n \r\ne: f\r\n\r\n"
	const rest = "\n\n\n"
	for size := 1; size <= len(head); size++ {
		var h headLines
		for left := []byte(head + rest); len(left) > 0; left = left[min(size, len(left)):] {
			assert.NilError(t, h.count(left[:min(size, len(left))]))
		}
		assert.Equal(t, h, headLines{lines: 7, last: '\r', complete: true}, "reads of %d bytes", size)
	}
}

// TestMediumRepliesShareALimit guards against memory that grows with the number of connections
// whose upstreams stop just below the size of a large reply.
func TestMediumRepliesShareALimit(t *testing.T) {
	c := newTestClient()
	const size, fit = mediumReplyBytes - 2<<10, 4 // bytes of a reply, and how many replies fit
	c.MaxPendingBytes = fit * size
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	var wg sync.WaitGroup
	end := make(chan struct{})
	for i := range 4 * fit {
		client, server := net.Pipe()
		read := make(chan int)
		wg.Go(func() {
			read <- sendBytes(server, ok+"\r\n", "x", size)
			<-end
			server.Close()
		})
		wg.Go(func() { exchangeOn(c, client) })
		n := <-read
		assert.Equal(t, n >= size, i < fit, "%d bytes of reply %d were read", n, i)
	}
	client, server := net.Pipe()
	wg.Go(func() { sendBytes(server, ok+"Content-Length: 2048\r\n\r\n"+strings.Repeat("x", 2048), "x", 0) })
	out, _ := exchangeOn(c, client)
	assert.Equal(t, out.Kind, trgateway.Answered, "%v", out.Err)
	close(end)
	wg.Wait()
	assert.Equal(t, c.pending.medium.Load(), int64(0))
}
