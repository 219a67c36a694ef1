package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is what a client sends.
type request struct {
	method, path, id string
	header           map[string]string
	body             []byte
	timeout          time.Duration // Timeout-Ms
}

// answer is what a client got for a request.
type answer struct {
	status int // 0 without an answer
	stamp  string
	body   []byte
	err    error
}

// ask sends a request on a new connection, as clients do that don't keep theirs, and reads the
// answer. The exchange is recorded.
func (w *world) ask(g *gateway, req request) answer {
	a := exchange(g.front, req)
	w.log("%s: %s %s (%s, body of %d) -> %s", g.name, req.method, req.path, req.id, len(req.body), a)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, Server-Stamp %q, body of %d", a.status, a.stamp, len(a.body))
}

func exchange(addr string, req request) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(req.timeout + time.Second)); err != nil {
		return answer{err: err}
	}
	return exchangeOn(c, req)
}

// exchangeOn sends a request on a connection and reads the answer.
func exchangeOn(c net.Conn, req request) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n",
		req.method, req.path, host, req.id, req.timeout.Milliseconds())
	for _, k := range sorted(req.header) {
		head += k + ": " + req.header[k] + "\r\n"
	}
	if len(req.body) > 0 || req.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(req.body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), req.body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: req.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Server-Stamp")}
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
