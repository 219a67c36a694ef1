package trfakelink

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"tanagerrock/core/trclock"
)

// DelayedConn is a connection whose data takes a fixed time in each direction. It
// stands in for a distance between two ends in one process, where a forwarder
// per pair would double the number of sockets. Deadlines have no effect.
type DelayedConn struct {
	net.Conn
	clock trclock.Clock
	delay time.Duration
	ctx   context.Context // ends when the connection is closed
	end   context.CancelFunc
	out   chan chunk
	in    chan chunk
	rest  []byte // of the chunk that is being read
	mu    sync.Mutex
	err   error // of the last write or read
}

// NewDelayedConn returns a connection over nc that delays its data by delay one way.
func NewDelayedConn(clock trclock.Clock, nc net.Conn, delay time.Duration) *DelayedConn {
	d := &DelayedConn{Conn: nc, clock: clock, delay: delay, out: make(chan chunk, maxChunks), in: make(chan chunk, maxChunks)}
	d.ctx, d.end = context.WithCancel(context.Background())
	go d.writeLoop()
	go d.readLoop()
	return d
}

// DelayedDialer returns a function that dials over TCP. Dialling takes one round trip
// of the delay that delayTo returns for the address.
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

// Write takes b over and returns at once unless too much is in transit.
func (d *DelayedConn) Write(b []byte) (int, error) {
	if err := d.failure(); err != nil {
		return 0, err
	}
	select {
	case d.out <- chunk{data: append([]byte(nil), b...), due: d.clock.Now().Add(d.delay)}:
		return len(b), nil
	case <-d.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read returns data that has arrived.
func (d *DelayedConn) Read(b []byte) (int, error) {
	for len(d.rest) == 0 {
		select {
		case c, ok := <-d.in:
			if !ok {
				return 0, d.failure()
			}
			if wait := c.due.Sub(d.clock.Now()); wait > 0 && trclock.Sleep(d.ctx, d.clock, wait) != nil {
				return 0, net.ErrClosed
			}
			d.rest = c.data
		case <-d.ctx.Done():
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Close ends the connection at this side at once. The other side sees the end
// after the delay.
func (d *DelayedConn) Close() error {
	d.end()
	return nil
}

// SetDeadline has no effect.
func (d *DelayedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline has no effect.
func (d *DelayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline has no effect.
func (d *DelayedConn) SetWriteDeadline(time.Time) error { return nil }

func (d *DelayedConn) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (d *DelayedConn) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

// writeLoop delivers what was written and closes the connection at the end.
func (d *DelayedConn) writeLoop() {
	defer d.Conn.Close()
	for {
		select {
		case c := <-d.out:
			if !d.deliver(c) {
				return
			}
		case <-d.ctx.Done():
			d.drain()
			return
		}
	}
}

func (d *DelayedConn) deliver(c chunk) bool {
	if wait := c.due.Sub(d.clock.Now()); wait > 0 {
		// Data in transit still arrives after this side has closed.
		_ = trclock.Sleep(context.Background(), d.clock, wait)
	}
	if _, err := d.Conn.Write(c.data); err != nil {
		d.fail(err)
		return false
	}
	return true
}

// drain delivers what is in transit when this side closes, then lets the close
// travel.
func (d *DelayedConn) drain() {
	closed := d.clock.Now().Add(d.delay)
	for {
		select {
		case c := <-d.out:
			if !d.deliver(c) {
				return
			}
		default:
			_ = trclock.Sleep(context.Background(), d.clock, closed.Sub(d.clock.Now()))
			return
		}
	}
}

func (d *DelayedConn) readLoop() {
	defer close(d.in)
	for {
		data := make([]byte, delayedBytes)
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
			d.fail(err)
			return
		}
	}
}

// delayedBytes is the largest chunk of a Delayed. It is smaller than that of a
// forwarder because thousands of connections are open at once.
const delayedBytes = 4 << 10
