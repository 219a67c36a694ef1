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

// Accept returns the next connection that the leaf takes. Connections beyond the
// limit, and all connections while the leaf is down, are reset at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.leaf.takeConn(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

// reset closes a connection so that the peer sees a reset, not an orderly end.
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

// conn is an accepted connection of one process of a leaf.
type conn struct {
	net.Conn
	leaf    *Leaf
	process *process
	ready   time.Time // bytes are read from here on
	opened  sync.Once
	silent  atomic.Bool
}

// Read reads from the connection once the connect time has passed. On a silent
// connection it discards everything until the peer closes it.
func (c *conn) Read(b []byte) (int, error) {
	c.opened.Do(func() {
		// The sleep ends early only with the process, whose connections are closed.
		_ = c.leaf.sleep(c.process.ctx, c.ready.Sub(c.leaf.cfg.Clock.Now()))
	})
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent connection it discards b.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.leaf.mu.Lock()
	delete(c.process.conns, c)
	c.leaf.mu.Unlock()
	return c.Conn.Close()
}
