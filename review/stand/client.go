package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "pupu76.example"

// lastRequest numbers the requests of this run.
var lastRequest atomic.Uint64

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0 if there was no complete answer
	stamp  string
	body   []byte
	retry  string // Retry-After
	err    error
}

// caller is a client with one open connection to a gateway.
type caller struct {
	w    *world
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// send sends one attempt with an ID of its own and reads the answer.
func (c *caller) send(method, path string, body []byte, timeout time.Duration) (a answer) {
	a.id = fmt.Sprintf("%016x", 0x9c41d07be2000000+lastRequest.Add(1))
	defer func() {
		c.w.record("client", "%s %s %s (%d bytes): status %d, stamp %q, body of %d bytes, error %v", method, path, a.id, len(body), a.status, a.stamp, len(a.body), a.err)
		if a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp", c.addr, time.Second); a.err != nil {
			c.conn = nil
			return a
		}
		c.r = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n", method, path, host, a.id, timeout.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, a.err = c.conn.Write(b.Bytes()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	if a.body, a.err = io.ReadAll(resp.Body); a.err != nil {
		return a
	}
	a.status, a.stamp, a.retry = resp.StatusCode, strings.Join(resp.Header["Server-Stamp"], " | "), resp.Header.Get("Retry-After")
	if resp.Close {
		c.close()
	}
	return a
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
