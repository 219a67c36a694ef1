package trfakelink

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"tanagerrock/core/trclock"
)

// DelayedConn is a connection with a fixed latency in each direction. It simulates
// network latency between two ends in one process without a forwarder, which would double
// the number of sockets. Deadlines have no effect.
type DelayedConn struct {
	net.Conn
	clock  trclock.Clock
	delay  time.Duration
	ctx    context.Context // done when the connection is closed
	cancel context.CancelFunc
	out    chan chunk
	in     chan chunk
	unread []byte // rest of the chunk that is being read
	mu     sync.Mutex
	err    error // first error of a read or write
}

// NewDelayedConn returns a connection over nc that delays the data by delay in each
// direction.
func NewDelayedConn(clock trclock.Clock, nc net.Conn, delay time.Duration) *DelayedConn {
	d := &DelayedConn{Conn: nc, clock: clock, delay: delay, out: make(chan chunk, maxChunks), in: make(chan chunk, maxChunks)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	go d.writeLoop()
	go d.readLoop()
	return d
}

// DelayedDialer returns a function that dials over TCP. Its connections have the
// one-way delay that delayTo returns for the address, and dialing takes an additional
// round trip (twice that delay).
func DelayedDialer(clock trclock.Clock, delayTo func(addr string) time.Duration) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var dialer net.Dialer
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		delay := delayTo(addr)
		if delay <= 0 {
			return nc, nil
		}
		if err := trclock.Sleep(ctx, clock, 2*delay); err != nil {
			_ = nc.Close()
			return nil, err
		}
		return NewDelayedConn(clock, nc, delay), nil
	}
}

// Write queues a copy of b. It blocks only while maxChunks chunks are in transit.
func (d *DelayedConn) Write(b []byte) (int, error) {
	if err := d.storedErr(); err != nil {
		return 0, err
	}
	select {
	case d.out <- chunk{data: append([]byte(nil), b...), due: d.clock.Now().Add(d.delay)}:
		return len(b), nil
	case <-d.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read reads data whose delay has passed.
func (d *DelayedConn) Read(b []byte) (int, error) {
	for len(d.unread) == 0 {
		select {
		case c, ok := <-d.in:
			if !ok {
				return 0, d.storedErr()
			}
			if wait := c.due.Sub(d.clock.Now()); wait > 0 && trclock.Sleep(d.ctx, d.clock, wait) != nil {
				return 0, net.ErrClosed
			}
			d.unread = c.data
		case <-d.ctx.Done():
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Close closes this end of the connection immediately. The other end sees the close
// after the delay.
func (d *DelayedConn) Close() error {
	d.cancel()
	return nil
}

// SetDeadline has no effect.
func (d *DelayedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline has no effect.
func (d *DelayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline has no effect.
func (d *DelayedConn) SetWriteDeadline(time.Time) error { return nil }

// storedErr returns the first error of the connection.
func (d *DelayedConn) storedErr() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// storeErr keeps err if it is the first error of the connection.
func (d *DelayedConn) storeErr(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

// writeLoop delivers the written chunks until d is closed, then closes the underlying
// connection.
func (d *DelayedConn) writeLoop() {
	defer d.Conn.Close()
	for {
		select {
		case c := <-d.out:
			if !d.deliver(c) {
				return
			}
		case <-d.ctx.Done():
			d.flush()
			return
		}
	}
}

// deliver writes c when it is due. It reports false if the write failed.
func (d *DelayedConn) deliver(c chunk) bool {
	if wait := c.due.Sub(d.clock.Now()); wait > 0 {
		// Data in transit still arrives after this end has closed.
		_ = trclock.Sleep(context.Background(), d.clock, wait)
	}
	if _, err := d.Conn.Write(c.data); err != nil {
		d.storeErr(err)
		return false
	}
	return true
}

// flush delivers the chunks in transit when this end closes, then waits until the close
// itself is due at the other end.
func (d *DelayedConn) flush() {
	closeDue := d.clock.Now().Add(d.delay)
	for {
		select {
		case c := <-d.out:
			if !d.deliver(c) {
				return
			}
		default:
			_ = trclock.Sleep(context.Background(), d.clock, closeDue.Sub(d.clock.Now()))
			return
		}
	}
}

// readLoop queues the received data for Read.
func (d *DelayedConn) readLoop() {
	defer close(d.in)
	for {
		data := make([]byte, delayedChunkBytes)
		n, err := d.Conn.Read(data)
		if n > 0 {
			select {
			case d.in <- chunk{data: data[:n], due: d.clock.Now().Add(d.delay)}:
			case <-d.ctx.Done():
				return
			}
		}
		if err != nil {
			if err != io.EOF && d.ctx.Err() != nil {
				err = net.ErrClosed
			}
			d.storeErr(err)
			return
		}
	}
}

// delayedChunkBytes is the read buffer size of a DelayedConn. It is smaller than
// chunkBytes because thousands of connections are open at once.
const delayedChunkBytes = 4 << 10
