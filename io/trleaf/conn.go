package trleaf

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// maxHeaderBytes bounds status line, headers and chunk framing of a reply,
// which http.ReadResponse itself does not bound.
const maxHeaderBytes = 64 << 10

var (
	errTooLarge  = errors.New("reply is too large")
	errConnEnded = errors.New("connection is closed")
)

// conn is one connection, pinned to the leaf start of its first hello. Its
// reader goroutine reads replies while a call is pending and closes the
// connection on any byte or error that arrives while none is.
type conn struct {
	pool   *pool
	target Target
	hello  *trwire.Hello // the latest; all have the same StartID. Owned by the holder
	nc     net.Conn
	reader *bufio.Reader
	in     meter
	writer *bufio.Writer
	out    countWriter

	pending atomic.Pointer[call]
	ended   chan struct{} // closed when the reader goroutine has ended
	closing sync.Once
	closed  atomic.Bool

	suspect  bool      // to be probed before the next use; guarded by pool.mu
	lastUsed time.Time // when it was given back last; written by the holder under pool.mu
	began    time.Time // when the latest call began; owned by the holder
}

// call is one exchange on a connection.
type call struct {
	req     *http.Request
	read    func(*http.Response) error
	started atomic.Bool // a byte came back
	done    chan error  // receives one value
}

// noCall is the pending call of a connection whose reader has ended.
var noCall = new(call)

func newConn(p *pool, target Target, nc net.Conn) *conn {
	c := &conn{pool: p, target: target, nc: nc, ended: make(chan struct{})}
	c.in = meter{r: nc}
	c.reader = bufio.NewReader(&c.in)
	c.out = countWriter{w: nc}
	c.writer = bufio.NewWriter(&c.out)
	c.in.left = maxHeaderBytes
	go c.readLoop()
	return c
}

func (c *conn) close() {
	c.closing.Do(func() {
		c.closed.Store(true)
		c.nc.Close()
	})
}

// readLoop reads replies until the connection fails or may not be used again.
func (c *conn) readLoop() {
	defer c.pool.discard(c)
	defer close(c.ended)
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		if c.pending.CompareAndSwap(nil, noCall) {
			if err == nil {
				c.pool.client.Counters.BadReplies.Add(1)
			}
			return
		}
		pending := c.pending.Load()
		if err != nil {
			c.close()
			pending.done <- errors.Wrap(err, "no reply")
			return
		}
		pending.started.Store(true)
		reusable, err := c.readReply(pending)
		if !reusable {
			c.close()
			pending.done <- err
			return
		}
		c.pending.Store(nil)
		pending.done <- nil
	}
}

// readReply reads one reply and reports whether the connection may carry
// another request.
func (c *conn) readReply(pending *call) (reusable bool, err error) {
	c.in.left = trwire.MaxReplyBytes + maxHeaderBytes
	resp, err := http.ReadResponse(c.reader, pending.req)
	if err != nil {
		return false, c.replyError(err)
	}
	if err := pending.read(resp); err != nil {
		return false, c.replyError(err)
	}
	if c.reader.Buffered() > 0 {
		c.pool.client.Counters.BadReplies.Add(1)
		return false, nil
	}
	return !resp.Close, nil
}

// replyError separates replies that were cut off from replies that are wrong.
func (c *conn) replyError(err error) error {
	if c.in.err != nil && c.in.err != errTooLarge {
		return errors.Wrap(c.in.err, "reply cut off")
	}
	return &badReplyError{err}
}

type badReplyError struct{ error }

// exchange writes one request and waits until read has consumed the reply. A
// failed exchange closes the connection.
func (c *conn) exchange(ctx context.Context, method, path string, body []byte, read func(*http.Response) error) *trwire.AttemptError {
	c.began = c.pool.client.clock().Now()
	req := newRequest(method, c.target.Addr, path, body)
	pending := &call{req: req, read: read, done: make(chan error, 1)}
	if !c.pending.CompareAndSwap(nil, pending) {
		return notRun(trwire.AttemptBroken, errConnEnded)
	}
	if ctx.Err() != nil {
		c.close()
		return notRun(kindOfEnd(ctx), context.Cause(ctx))
	}
	stop := context.AfterFunc(ctx, c.close)
	c.out.n = 0
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		stop()
		c.close()
		kind := trwire.AttemptBroken
		if ctx.Err() != nil {
			kind = kindOfEnd(ctx)
		}
		return &trwire.AttemptError{Kind: kind, MayHaveRun: c.out.n > 0, Err: errors.Wrap(err, "write request")}
	}
	failure := c.await(ctx, pending)
	if !stop() {
		c.close()
	}
	return failure
}

// await waits for the reply to pending or the end of ctx.
func (c *conn) await(ctx context.Context, pending *call) *trwire.AttemptError {
	var err error
	select {
	case err = <-pending.done:
	case <-ctx.Done():
		c.close()
		<-c.ended
		err = endOf(pending)
	case <-c.ended:
		err = endOf(pending)
	}
	if err == nil {
		return nil
	}
	c.close()
	if ctx.Err() != nil {
		kind := kindOfEnd(ctx)
		if kind == trwire.AttemptTimeout && !pending.started.Load() {
			c.pool.silent(c)
		}
		return mayRun(kind, context.Cause(ctx))
	}
	var bad *badReplyError
	if errors.As(err, &bad) {
		return mayRun(trwire.AttemptBadReply, bad.error)
	}
	return mayRun(trwire.AttemptBroken, err)
}

// endOf returns the result of a call on a connection whose reader has ended.
func endOf(pending *call) error {
	select {
	case err := <-pending.done:
		return err
	default:
		return errConnEnded
	}
}

// sayHello exchanges a hello and checks that it is from the expected leaf and,
// after the first, from the same start.
func (c *conn) sayHello(ctx context.Context) (*trwire.Hello, *trwire.AttemptError) {
	var h *trwire.Hello
	failure := c.exchange(ctx, http.MethodGet, trwire.PathHello, nil, func(resp *http.Response) (err error) {
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("hello answered with status %d", resp.StatusCode)
		}
		h, err = trwire.Decode[trwire.Hello](resp.Body, trwire.MaxReplyBytes)
		return err
	})
	if failure == nil {
		failure = c.checkHello(h)
	}
	if failure != nil {
		if failure.Kind == trwire.AttemptBadReply {
			c.pool.client.Counters.BadReplies.Add(1)
		}
		c.close()
		failure.MayHaveRun = false // a hello runs nothing
		return nil, failure
	}
	c.hello = h
	c.pool.client.report(c.target, h)
	return h, nil
}

func (c *conn) checkHello(h *trwire.Hello) *trwire.AttemptError {
	switch {
	case c.target.LeafID != "" && h.LeafID != c.target.LeafID:
		return notRun(trwire.AttemptBadReply, errors.Errorf("leaf %q answers at the address of %q", h.LeafID, c.target.LeafID))
	case c.target.Service != "" && h.Service != c.target.Service:
		return notRun(trwire.AttemptBadReply, errors.Errorf("leaf %q serves %q, not %q", h.LeafID, h.Service, c.target.Service))
	case c.hello != nil && h.StartID != c.hello.StartID:
		return notRun(trwire.AttemptStart, errors.Errorf("connection of start %q now leads to start %q", c.hello.StartID, h.StartID))
	}
	return nil
}

// meter reads from r until left bytes have been read, and keeps the error that
// ended the reading.
type meter struct {
	r    io.Reader
	left int64
	err  error
}

func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		m.err = errTooLarge
		return 0, m.err
	}
	if int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.r.Read(b)
	m.left -= int64(n)
	if err != nil {
		m.err = err
	}
	return n, err
}

// countWriter counts the bytes that w took.
type countWriter struct {
	w io.Writer
	n int64
}

func (c *countWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += int64(n)
	return n, err
}

func urlOf(addr, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: addr, Path: path}
}

func bodyOf(r io.Reader) io.ReadCloser { return io.NopCloser(r) }
