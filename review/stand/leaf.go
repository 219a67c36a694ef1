package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	// idleTime is how long a leaf keeps an idle connection. It is no whole second, so that
	// answers have no Keep-Alive header.
	idleTime = 100 * time.Millisecond
	// Segments of an Ethernet link and a small receive buffer, so that a leaf that does not
	// read blocks the writer, as DEPLOY.md says of the users' network.
	segmentBytes = 1460
	windowBytes  = 8 << 10
	// tcpMaxSegment is the socket option TCP_MAXSEG.
	tcpMaxSegment = 2
)

// run is a request that a leaf began to work on, and its answer.
type run struct {
	id     string // of the request
	leaf   string
	at     time.Time
	status int
	stamp  string
	body   []byte // the whole body of the answer
}

// journal holds all runs by the ID of the request.
type journal struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (j *journal) add(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.runs == nil {
		j.runs = make(map[string][]run)
	}
	j.runs[r.id] = append(j.runs[r.id], r)
}

func (j *journal) of(id string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs[id]...)
}

// leaf plays one process of a service.
type leaf struct {
	w             *world
	id, service   string
	addr, zone    string
	born          time.Time
	warm          time.Time // when it stops being cold
	journal       *journal
	serveExchange func(*exchange) // answers one request

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	arrivals []time.Time // of requests that it did not turn away with 421
	stop     context.CancelFunc
}

// exchange is one request at a leaf.
type exchange struct {
	leaf *leaf
	conn net.Conn
	req  *http.Request
	id   string
	n    int // number of the request on its connection, from 0
	// late holds bytes to send before the answer to the next request.
	late *[]byte
	// closeAfter is set by the handler to close the connection.
	closeAfter bool
}

// start registers the leaf and serves it at its address.
func (l *leaf) start() error {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var optErr error
		err := rc.Control(func(fd uintptr) {
			if optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpMaxSegment, segmentBytes); optErr == nil {
				optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := lc.Listen(ctx, "tcp", l.addr)
	if err != nil {
		cancel()
		return err
	}
	l.mu.Lock()
	l.listener, l.stop, l.conns, l.arrivals = listener, cancel, make(map[net.Conn]bool), nil
	l.born = time.Now()
	l.mu.Unlock()
	l.beat(0)
	go l.beats(ctx)
	go l.accept(listener)
	return nil
}

// beats writes the registration regularly, as a live leaf does.
func (l *leaf) beats(ctx context.Context) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.beat(seq)
		}
	}
}

func (l *leaf) beat(seq int) {
	left := max(time.Until(l.warm), 0).Milliseconds()
	l.w.store.put("servers/"+l.id, map[string]any{
		"service": l.service, "addr": l.addr, "zone": l.zone, "version": "v1", "concurrency": 3, "state": "ready",
		"warmup_left_ms": left, "seq": seq, "born": l.born.UnixMilli(),
	})
	if left > 0 {
		l.w.record(l.id, "registers with warmup_left_ms %d", left)
	}
}

// silence is the time after the last beat at which a registration is removed.
const silence = 3 * beatInterval

// crash closes all connections at once. The registration is removed after silence.
func (l *leaf) crash() {
	time.AfterFunc(silence, func() { l.w.store.remove("servers/" + l.id) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop()
	_ = l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
}

func (l *leaf) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		l.mu.Unlock()
		go l.serve(conn)
	}
}

func (l *leaf) serve(conn net.Conn) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	var late []byte
	for n := 0; ; n++ {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		_, err := r.Peek(1)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := &exchange{leaf: l, conn: conn, req: req, id: req.Header.Get("Request-Id"), n: n, late: &late}
		if req.Header.Get("Target-Instance") != l.id {
			x.refuse(http.StatusMisdirectedRequest, "Instance-Id: "+l.id+"\r\n")
			continue
		}
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mu.Unlock()
		if len(late) > 0 {
			_, _ = conn.Write(late)
			late = nil
			time.Sleep(5 * time.Millisecond)
		}
		l.serveExchange(x)
		if x.closeAfter {
			return
		}
	}
}

// refuse sends an answer that says that the request has not run.
func (x *exchange) refuse(status int, header string) {
	_, _ = io.Copy(io.Discard, x.req.Body)
	_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), x.id, header)
}

// run records that the leaf works on the request, and returns its answer.
func (x *exchange) run(status int, body []byte) run {
	r := run{id: x.id, leaf: x.leaf.id, at: time.Now(), status: status, body: body}
	r.stamp = fmt.Sprintf("%s.%d.%d.%08x", x.leaf.id, status, len(body), crc32.ChecksumIEEE(append([]byte(x.id), body...)))
	x.leaf.journal.add(r)
	x.leaf.w.record(x.leaf.id, "runs %s: %d, stamp %s", x.id, status, r.stamp)
	return r
}

// head returns the head of an answer. A negative length is left out.
func (r *run) head(length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n", r.status, http.StatusText(r.status), r.id, r.stamp)
	if length >= 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	} else {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer reads the whole request, works for a moment and answers it whole.
func (x *exchange) answer(status int, body []byte) {
	_, _ = io.Copy(io.Discard, x.req.Body)
	r := x.run(status, body)
	time.Sleep(x.leaf.w.workTime)
	_, _ = x.conn.Write(append(r.head(len(body)), body...))
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
