package trupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// conn is a connection to an upstream. It is used by one exchange at a time.
type conn struct {
	pool        *pool
	nc          net.Conn
	raw         syscall.RawConn // of nc, nil if it has none
	limited     *replyReader
	reader      *bufio.Reader // of limited
	idleTimeout time.Duration // since lastUsed
	lastUsed    time.Time     // when it was last returned to the pool
	closeOnce   sync.Once

	// The IDs of the latest requests, as a ring buffer. An upstream may send its reply
	// to one of them a second time, at any later moment.
	recentIDs [recentRequests]string
	exchanges int // requests written so far
}

// recentRequests is the number of latest requests whose IDs a connection remembers. A
// request is repeated at an upstream within milliseconds, so that few others come
// between.
const recentRequests = 8

func newConn(p *pool, nc net.Conn) *conn {
	limited := &replyReader{src: nc}
	return &conn{pool: p, nc: nc, raw: rawConn(nc), limited: limited, reader: bufio.NewReader(limited), idleTimeout: defaultIdleTimeout, lastUsed: p.clock.Now()}
}

// rawConn returns the raw connection of nc, or nil if it has none or is closed.
func rawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

func (cn *conn) close() { cn.closeOnce.Do(func() { cn.nc.Close() }) }

// carried reports whether a recent request on the connection had the given ID. Another
// one with this ID could not tell a second copy of the earlier reply from its own.
func (cn *conn) carried(id string) bool {
	return slices.Contains(cn.recentIDs[:min(cn.exchanges, recentRequests)], id)
}

// recordRequest records that a request is about to be written.
func (cn *conn) recordRequest(id string) {
	cn.recentIDs[cn.exchanges%recentRequests] = id
	cn.exchanges++
}

// healthy reports whether the connection is open and has no unread data.
func (cn *conn) healthy() bool {
	if cn.raw == nil || cn.reader.Buffered() > 0 {
		return false
	}
	healthy := false
	err := cn.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && healthy
}

// write writes a request and waits until the reply can be read. A read before the reply
// has arrived is a system call that achieves nothing, and package net starts with one. The
// error concerns only the request.
func (cn *conn) write(request []byte) (n int, err error) {
	if cn.raw == nil {
		return cn.nc.Write(request)
	}
	waited := cn.raw.Read(func(fd uintptr) bool {
		if n > 0 {
			return true // there is something to read
		}
		n, err = syscall.Write(int(fd), request)
		n = max(n, 0)
		return n < len(request)
	})
	switch {
	case n == len(request):
		return n, nil // if the wait failed, so will the next read
	case err == nil && n == 0 && waited != nil:
		return 0, waited // nothing was tried
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		return n, err
	}
	rest, err := cn.nc.Write(request[n:])
	return n + rest, err
}

// exchange sends a request and reads its reply. It also reports whether the
// connection can be reused.
func (cn *conn) exchange(c *Client, up *trdirectory.Upstream, req *trgateway.Request, timeLeft time.Duration) (trgateway.Outcome, bool) {
	encoded := c.encodeRequest(up, req, timeLeft)
	cn.recordRequest(req.ID)
	sent := c.Clock.Now()
	n, err := cn.write(encoded)
	if err != nil && n == 0 {
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.Wrap(err, "write request")}, false
	}
	// An upstream may reply before it has read all of a long request. The reply is
	// valid, but the connection cannot be reused.
	writeErr := err
	resp, body, inOrder, err := cn.readReply(c, req)
	if err != nil {
		return trgateway.Outcome{Kind: trgateway.OutcomeUnknown, Sent: sent, Err: err}, false
	}
	delimited := resp.ContentLength != -1 || len(resp.TransferEncoding) > 0
	reusable := writeErr == nil && inOrder && !resp.Close && delimited
	if cn.reader.Buffered() > 0 {
		c.Metrics.Add("StrayBytes", "", 1)
		reusable = false
		if bodiless(resp.StatusCode) {
			err := errors.Errorf("bytes follow a reply with status %d, which has no body", resp.StatusCode)
			return trgateway.Outcome{Kind: trgateway.OutcomeUnknown, Sent: sent, Err: err}, false
		}
	}
	if resp.StatusCode == http.StatusNotModified && resp.Header.Get("Content-Length") != "" {
		reusable = false // a body may follow
	}
	cn.idleTimeout = keepAliveTimeout(resp.Header)
	out := newOutcome(&c.Headers, resp, body, sent)
	if out.Kind != trgateway.Answered {
		return out, reusable
	}
	if out.Reply.Unsigned {
		// Any server at the upstream's address, or a proxy in front of it, can send a
		// well-formed reply.
		c.Metrics.Add("UnsignedReplies", "", 1)
		reusable = false
	}
	if out.Reply.Unsigned && !out.Reply.Failed() {
		err := errors.Errorf("reply with status %d has no signature", resp.StatusCode)
		return trgateway.Outcome{Kind: trgateway.OutcomeUnknown, Sent: sent, Err: err}, false
	}
	if !delimited && writeErr != nil {
		// The failed write has taken the error of a reset connection, after which reads
		// end as if the upstream had closed it. The body may lack its end.
		out.Kind, out.Reply = trgateway.OutcomeUnknown, nil
		out.Err = errors.Wrap(writeErr, "reply without a length after a failed write")
	}
	return out, reusable
}

// readReply reads the reply to req. It skips informational replies and replies to
// other requests, maxStrayReplies in total. inOrder is false if it skipped a reply to
// another request, or if the reply does not name its request.
func (cn *conn) readReply(c *Client, req *trgateway.Request) (resp *http.Response, body []byte, inOrder bool, err error) {
	request := &http.Request{Method: req.Method}
	defer cn.limited.end()
	inOrder = true
	for range 1 + maxStrayReplies {
		buffered, _ := cn.reader.Peek(cn.reader.Buffered()) // what is buffered can be peeked
		if err = cn.limited.beginHead(c, buffered); err != nil {
			return nil, nil, false, errors.Wrap(err, "read reply")
		}
		if err = checkStatusLine(cn.reader); err != nil {
			return nil, nil, false, errors.Wrap(err, "read reply")
		}
		resp, err = http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, nil, false, errors.Wrap(err, "read reply")
		}
		if err = checkReply(resp); err != nil {
			return nil, nil, false, err
		}
		if holdsStatusLine(resp) {
			c.Metrics.Add("StrayBytes", "", 1)
			return nil, nil, false, errors.New("stray bytes precede the status line of the reply")
		}
		if resp.StatusCode < http.StatusOK {
			continue // an informational reply
		}
		cn.limited.beginBody(c)
		body, err = io.ReadAll(resp.Body)
		if err != nil {
			return nil, nil, false, errors.Wrap(err, "read body of reply")
		}
		switch id := resp.Header.Get(c.Headers.RequestID); {
		case id == "" && req.ID != "" && cn.exchanges > 1:
			// It may be a late copy of the reply to an earlier request.
			c.Metrics.Add("StrayReplies", "", 1)
			return nil, nil, false, errors.New("reply on a reused connection does not name its request")
		case id == "":
			inOrder = req.ID == ""
		case id != req.ID:
			c.Metrics.Add("StrayReplies", "", 1)
			inOrder = false
			continue
		}
		if resp.Header.Get("Content-Encoding") != "" {
			return nil, nil, false, errors.New("reply is encoded, which was not asked for")
		}
		return resp, body, inOrder, nil
	}
	return nil, nil, false, errors.New("replies belong to other requests")
}

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// holdsStatusLine reports whether the head of a reply holds a further status line. Then it
// begins with stray bytes, such as those of a second reply that broke off within a line, and
// the rest is the head of the expected reply.
func holdsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	for name := range resp.Trailer { // announced in the head
		if statusLine.MatchString(name) {
			return true
		}
	}
	return false
}

// EncodeHead encodes the part of a request that is the same for all upstreams: the
// request line and the header, without the fields that depend on the upstream and
// without the final empty line.
func (h *Headers) EncodeHead(req *trgateway.Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = req.Header.WriteSubset(&b, map[string]bool{
		h.TimeoutMs: true, h.Expect: true, h.Key: true, h.Account: true, "Content-Length": true, "Host": true,
	})
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	return b.Bytes()
}

// perUpstreamHeaderBytes is the space reserved for header fields that depend on the
// upstream.
const perUpstreamHeaderBytes = 128

// encodeRequest encodes req for an upstream.
func (c *Client) encodeRequest(up *trdirectory.Upstream, req *trgateway.Request, timeLeft time.Duration) []byte {
	head := req.Head
	if head == nil {
		head = c.Headers.EncodeHead(req)
	}
	var b bytes.Buffer
	b.Grow(len(head) + len(req.Body) + perUpstreamHeaderBytes)
	b.Write(head)
	writeHeader(&b, c.Headers.TimeoutMs, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	writeHeader(&b, c.Headers.Expect, up.ID)
	if req.Account != "" {
		writeHeader(&b, c.Headers.Account, req.Account)
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

// writeHeader appends a header field to b.
func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// newOutcome returns the outcome of an attempt that got a complete reply.
func newOutcome(headers *Headers, resp *http.Response, body []byte, sent time.Time) trgateway.Outcome {
	reported := parseLoad(resp.Header.Get(headers.Load))
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return trgateway.Outcome{Kind: trgateway.NotRun, Misdirected: true, Sent: sent, Load: reported,
			Err: errors.New("another upstream has the address")}
	}
	out := trgateway.Outcome{Kind: trgateway.Answered, Sent: sent, Load: reported}
	if resp.Header.Get(headers.RequestID) != "" {
		// What a reply says of its upstream counts only if it is certain to be this one's.
		out.Leaving = resp.Header.Get(headers.Leaving) == leavingValue
		if resp.StatusCode == http.StatusServiceUnavailable {
			out.Pause, out.PauseError = parseRetryAfter(resp.Header.Get("Retry-After"))
		}
	}
	if resp.Header.Get(headers.NotRun) != "" {
		out.Kind, out.Err = trgateway.NotRun, errors.Errorf("upstream refused with status %d", resp.StatusCode)
		return out
	}
	stamp := resp.Header.Get(headers.Stamp)
	StripHopByHopHeaders(resp.Header)
	out.Reply = &trgateway.Reply{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Stamp: stamp, Unsigned: headers.Stamp != "" && stamp == "",
	}
	return out
}

// leavingValue is the value of the header field Headers.Leaving.
const leavingValue = "1"

// parseRetryAfter parses the pause that a reply states, in seconds with an optional
// fraction. An invalid value means no pause, one beyond trgateway.MaxPause means
// MaxPause; both are reported as an error. An empty value means no pause.
func parseRetryAfter(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	if strings.Trim(value, "0123456789.") != "" {
		return 0, errors.Errorf("Retry-After %.40q is not a number of seconds", value)
	}
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case errors.Is(err, strconv.ErrRange), err == nil && seconds > trgateway.MaxPause.Seconds():
		return trgateway.MaxPause, errors.Errorf("Retry-After of %.40s s exceeds the limit of %v", value, trgateway.MaxPause)
	case err != nil:
		return 0, errors.Errorf("Retry-After %.40q is not a number of seconds", value)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
