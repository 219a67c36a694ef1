package trfakeleaf

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts connections for a leaf and enforces its connection limit.
type listener struct {
	net.Listener
	leaf *Leaf
}

// Accept returns the next connection that the leaf admits. It resets connections beyond
// the limit, and all connections while the leaf is down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.leaf.admitConn(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

// reset closes a connection with a TCP reset.
func reset(nc net.Conn) {
	raw := nc
	if c, ok := nc.(*conn); ok {
		raw = c.Conn
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = nc.Close()
}

// conn is an accepted connection to one process of a leaf.
type conn struct {
	net.Conn
	leaf        *Leaf
	process     *process
	readableAt  time.Time // end of the simulated connect time
	connectOnce sync.Once
	silent      atomic.Bool
}

// Read reads from the connection after the connect time has passed. On a silent
// connection it discards all data until the peer closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.connectOnce.Do(func() {
		// The sleep ends early only if the process ends, which also closes the connection.
		_ = c.leaf.sleep(c.process.ctx, c.readableAt.Sub(c.leaf.cfg.Clock.Now()))
	})
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes b to the connection. On a silent connection it discards b.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, which then no longer counts toward the limit.
func (c *conn) Close() error {
	c.leaf.mu.Lock()
	delete(c.process.conns, c)
	c.leaf.mu.Unlock()
	return c.Conn.Close()
}
