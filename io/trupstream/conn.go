package trupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// conn is one connection to an upstream. It is used by one exchange at a time.
type conn struct {
	pool     *pool
	nc       net.Conn
	reader   *bufio.Reader
	idleTime time.Duration // after a reply
	used     time.Time     // when it was given back last
	closing  sync.Once
}

func newConn(p *pool, nc net.Conn) *conn {
	return &conn{pool: p, nc: nc, reader: bufio.NewReader(nc), idleTime: defaultIdle, used: p.clock.Now()}
}

func (cn *conn) close() { cn.closing.Do(func() { cn.nc.Close() }) }

// quiet reports whether the connection is open and nothing has arrived on it.
func (cn *conn) quiet() bool {
	sc, ok := cn.nc.(syscall.Conn)
	if !ok || cn.reader.Buffered() > 0 {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false // closed
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads its reply. It reports whether the
// connection may carry another request.
func (cn *conn) exchange(c *Client, up *trdirectory.Upstream, req *trgateway.Request, left time.Duration) (trgateway.Outcome, bool) {
	message := c.message(up, req, left)
	sent := c.Clock.Now()
	n, err := cn.nc.Write(message)
	if err != nil && n == 0 {
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.Wrap(err, "write request")}, false
	}
	// An upstream may reply before it has read all of a long request. Its reply
	// counts, but the connection is out of step.
	whole := err == nil
	resp, body, err := cn.readReply(c, req)
	if err != nil {
		return trgateway.Outcome{Kind: trgateway.OutcomeUnknown, Sent: sent, Err: err}, false
	}
	reusable := whole && !resp.Close && resp.ContentLength != -1 || whole && !resp.Close && len(resp.TransferEncoding) > 0
	if cn.reader.Buffered() > 0 {
		c.Metrics.Add("StrayBytes", "", 1)
		reusable = false
	}
	cn.idleTime = idleTime(resp.Header)
	return outcome(&c.Headers, resp, body, sent), reusable
}

// readReply reads the reply to req and skips replies to earlier requests.
func (cn *conn) readReply(c *Client, req *trgateway.Request) (*http.Response, []byte, error) {
	asked := &http.Request{Method: req.Method}
	for range 1 + maxStrayReplies {
		resp, err := http.ReadResponse(cn.reader, asked)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read reply")
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
		if err != nil {
			return nil, nil, errors.Wrap(err, "read body of reply")
		}
		if len(body) > maxReplyBytes {
			return nil, nil, errors.Errorf("reply has more than %d bytes", maxReplyBytes)
		}
		if id := resp.Header.Get(c.Headers.RequestID); id != "" && id != req.ID {
			c.Metrics.Add("StrayReplies", "", 1)
			continue
		}
		if resp.Header.Get("Content-Encoding") != "" {
			return nil, nil, errors.New("reply is encoded, which was not asked for")
		}
		return resp, body, nil
	}
	return nil, nil, errors.New("replies belong to other requests")
}

// Head returns the part of a request that is the same for all upstreams: the
// request line and the header, without the fields that differ and the empty line.
func (h *Headers) Head(req *trgateway.Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = req.Header.WriteSubset(&b, map[string]bool{
		h.TimeoutMs: true, h.Expect: true, "Content-Length": true, "Host": true,
	})
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	return b.Bytes()
}

// mostDifferingBytes is room for the header fields that differ by upstream.
const mostDifferingBytes = 128

// message returns the bytes of a request to an upstream.
func (c *Client) message(up *trdirectory.Upstream, req *trgateway.Request, left time.Duration) []byte {
	head := req.Head
	if head == nil {
		head = c.Headers.Head(req)
	}
	var b bytes.Buffer
	b.Grow(len(head) + len(req.Body) + mostDifferingBytes)
	b.Write(head)
	writeHeader(&b, c.Headers.TimeoutMs, strconv.FormatInt(left.Milliseconds(), 10))
	writeHeader(&b, c.Headers.Expect, up.ID)
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// outcome translates a complete reply.
func outcome(names *Headers, resp *http.Response, body []byte, sent time.Time) trgateway.Outcome {
	reported := load(resp.Header.Get(names.Load))
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return trgateway.Outcome{Kind: trgateway.NotRun, Misdirected: true, Sent: sent, Load: reported,
			Err: errors.New("another upstream has the address")}
	}
	if resp.Header.Get(names.NotRun) != "" {
		return trgateway.Outcome{Kind: trgateway.NotRun, Sent: sent, Load: reported,
			Err: errors.Errorf("upstream refused with status %d", resp.StatusCode)}
	}
	stamp := resp.Header.Get(names.Stamp)
	StripConnectionHeaders(resp.Header)
	return trgateway.Outcome{Kind: trgateway.Answered, Sent: sent, Load: reported, Reply: &trgateway.Reply{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Stamp: stamp,
	}}
}
