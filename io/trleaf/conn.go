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

	"tanagerrock/core/trpanic"
	"tanagerrock/core/trwire"
)

// maxHeaderBytes limits the status line, headers and chunk framing of a reply.
// http.ReadResponse has no limit of its own.
const maxHeaderBytes = 64 << 10

var (
	errTooLarge  = errors.New("reply is too large")
	errConnEnded = errors.New("connection is closed")
)

// conn is a connection to one start of a leaf, identified by the StartID in its first
// hello. It has one user at a time, the goroutine that acquired it and has not yet
// released it. The reader goroutine reads replies while a call is pending and closes
// the connection on any byte or error that arrives while none is.
type conn struct {
	pool   *pool
	target Target
	hello  *trwire.Hello // latest hello; all have the same StartID; written by the user
	nc     net.Conn
	reader *bufio.Reader
	in     limitedReader
	writer *bufio.Writer
	out    countingWriter

	pending    atomic.Pointer[call]
	readerDone chan struct{} // closed when the reader goroutine returns
	closeOnce  sync.Once
	closed     atomic.Bool

	suspect  bool      // must be probed before the next use; guarded by pool.mu
	lastUsed time.Time // time of the dial or the latest release; written under pool.mu by the dialer or the user
	began    time.Time // start of the latest call; accessed only by the user
}

// call is one request and its reply on a connection.
type call struct {
	req          *http.Request
	read         func(*http.Response) error // consumes the reply
	replyStarted atomic.Bool                // the first byte of the reply has arrived
	done         chan error                 // receives the result once
}

// terminated is a sentinel that readLoop stores in conn.pending if the connection ends,
// or receives a byte, while no call is pending. It makes later exchanges fail.
var terminated = new(call)

func newConn(p *pool, target Target, nc net.Conn) *conn {
	c := &conn{pool: p, target: target, nc: nc, readerDone: make(chan struct{})}
	c.in = limitedReader{r: nc}
	c.reader = bufio.NewReader(&c.in)
	c.out = countingWriter{w: nc}
	c.writer = bufio.NewWriter(&c.out)
	c.in.remaining = maxHeaderBytes
	go c.readLoop()
	return c
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		c.nc.Close()
	})
}

// readLoop reads replies until the connection fails or cannot be reused.
func (c *conn) readLoop() {
	defer c.pool.discard(c)
	defer close(c.readerDone)
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		if c.pending.CompareAndSwap(nil, terminated) {
			if err == nil {
				c.pool.client.Counters.BadReplies.Add(1)
			}
			return
		}
		pending := c.pending.Load()
		if err != nil {
			c.close()
			pending.done <- errors.Wrap(err, "read reply")
			return
		}
		pending.replyStarted.Store(true)
		var reusable bool
		if panicked := trpanic.Do(func() { reusable, err = c.readReply(pending) }); panicked != nil {
			reusable, err = false, panicked
		}
		if !reusable {
			c.close()
			pending.done <- err
			return
		}
		c.pending.Store(nil)
		pending.done <- nil
	}
}

// readReply reads one reply and reports whether the connection can carry another
// request.
func (c *conn) readReply(pending *call) (reusable bool, err error) {
	c.in.remaining = trwire.MaxReplyBytes + maxHeaderBytes
	resp, err := http.ReadResponse(c.reader, pending.req)
	if err != nil {
		return false, c.classifyReplyError(err)
	}
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 || resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		return false, &badReplyError{errors.Errorf("invalid reply: %.16s %.64s", resp.Proto, resp.Status)}
	}
	if err := pending.read(resp); err != nil {
		return false, c.classifyReplyError(err)
	}
	if c.reader.Buffered() > 0 {
		c.pool.client.Counters.BadReplies.Add(1)
		return false, nil
	}
	return !resp.Close, nil
}

// classifyReplyError distinguishes a reply that was truncated by a connection error
// from an invalid one, for which it returns a *badReplyError.
func (c *conn) classifyReplyError(err error) error {
	if c.in.err != nil && c.in.err != errTooLarge {
		return errors.Wrap(c.in.err, "reply truncated")
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
		return notRun(contextErrorKind(ctx), context.Cause(ctx))
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
			kind = contextErrorKind(ctx)
		}
		return &trwire.AttemptError{Kind: kind, MayHaveRun: c.out.n > 0, Err: errors.Wrap(err, "write request")}
	}
	failure := c.await(ctx, pending)
	if !stop() {
		c.close()
	}
	return failure
}

// await waits for the reply to pending or for the end of ctx.
func (c *conn) await(ctx context.Context, pending *call) *trwire.AttemptError {
	var err error
	select {
	case err = <-pending.done:
	case <-ctx.Done():
		c.close()
		<-c.readerDone
		err = callResult(pending)
	case <-c.readerDone:
		err = callResult(pending)
	}
	if err == nil {
		return nil
	}
	c.close()
	if ctx.Err() != nil {
		kind := contextErrorKind(ctx)
		if kind == trwire.AttemptTimeout && !pending.replyStarted.Load() {
			c.pool.markSilent(c)
		}
		return mayHaveRun(kind, context.Cause(ctx))
	}
	var bad *badReplyError
	if errors.As(err, &bad) {
		return mayHaveRun(trwire.AttemptBadReply, bad.error)
	}
	return mayHaveRun(trwire.AttemptBroken, err)
}

// callResult returns the result of a call after the reader goroutine of its
// connection has returned.
func callResult(pending *call) error {
	select {
	case err := <-pending.done:
		return err
	default:
		return errConnEnded
	}
}

// requestHello requests a hello and checks that it comes from the expected leaf and
// has the same StartID as earlier ones on this connection.
func (c *conn) requestHello(ctx context.Context) (*trwire.Hello, *trwire.AttemptError) {
	var h *trwire.Hello
	failure := c.exchange(ctx, http.MethodGet, trwire.PathHello, nil, func(resp *http.Response) (err error) {
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("hello returned status %d", resp.StatusCode)
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
		failure.MayHaveRun = false // a hello runs no sub-query
		return nil, failure
	}
	c.hello = h
	c.pool.client.reportHello(c.target, h)
	return h, nil
}

func (c *conn) checkHello(h *trwire.Hello) *trwire.AttemptError {
	switch {
	case c.target.LeafID != "" && h.LeafID != c.target.LeafID:
		return notRun(trwire.AttemptBadReply, errors.Errorf("address belongs to leaf %q, not %q", h.LeafID, c.target.LeafID))
	case c.target.Service != "" && h.Service != c.target.Service:
		return notRun(trwire.AttemptBadReply, errors.Errorf("leaf %q serves service %q, not %q", h.LeafID, h.Service, c.target.Service))
	case c.hello != nil && h.StartID != c.hello.StartID:
		return notRun(trwire.AttemptStart, errors.Errorf("StartID on the connection changed from %q to %q", c.hello.StartID, h.StartID))
	}
	return nil
}

// limitedReader reads at most remaining bytes from r and records the error that
// ended reading.
type limitedReader struct {
	r         io.Reader
	remaining int64
	err       error
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		l.err = errTooLarge
		return 0, l.err
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.r.Read(b)
	l.remaining -= int64(n)
	if err != nil {
		l.err = err
	}
	return n, err
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += int64(n)
	return n, err
}

func requestURL(addr, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: addr, Path: path}
}

func requestBody(r io.Reader) io.ReadCloser { return io.NopCloser(r) }
