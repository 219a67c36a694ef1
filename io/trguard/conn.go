package trguard

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trintake"
)

const (
	// freeHeadBytes is the size of a head that needs no memory beyond httpConnBytes.
	freeHeadBytes = 4 << 10
	// headFactor is the memory that a head takes in relation to its bytes: short fields of
	// different names take an entry of a map, a slice and two strings each.
	headFactor = 16
	// writeChunk is the size of the pieces in which large answers are written, so that
	// progress is visible.
	writeChunk = 16 << 10
	// peerStep is the size of the pieces in which the memory of gRPC messages is reserved.
	peerStep = 64 << 10
)

// Conn is a connection within the budget of a Guard.
type Conn struct {
	net.Conn
	guard   *Guard
	account *trintake.Account
	peer    bool // gRPC
	cut     atomic.Bool

	head     atomic.Int64 // bytes of heads since the connection was idle
	headHeld atomic.Int64 // reserved for them

	mu       sync.Mutex // orders cutOff and the setting of deadlines
	calls    int        // running gRPC calls
	complete int        // of these, those whose message was read completely
	received int64      // bytes of gRPC calls that have not ended
	msgHeld  int64      // reserved for them
}

// Read implements net.Conn. It fails once the connection is cut off, but delivers what
// arrived before.
func (c *Conn) Read(b []byte) (int, error) {
	if c.cut.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	c.account.Moved(n)
	if c.peer {
		c.reservePeer(int64(n))
		return n, err
	}
	if stage := c.account.Stage(); stage <= trintake.Head {
		if stage == trintake.Idle {
			c.account.Enter(trintake.Head)
		}
		if c.head.Add(int64(n)) > freeHeadBytes {
			c.reserveHead()
		}
	}
	return n, err
}

// reserveHead reserves the memory of a long head. A connection for which there is none is
// cut off.
func (c *Conn) reserveHead() {
	n := headFactor*(c.head.Load()-freeHeadBytes) - c.headHeld.Load()
	if c.account.Reserve(n) != nil {
		c.cutOff()
		return
	}
	c.headHeld.Add(n)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	c.account.Sending(true)
	defer c.account.Sending(false)
	for {
		n, err := c.Conn.Write(b[:min(len(b), writeChunk)])
		c.account.Moved(n)
		written += n
		if b = b[n:]; err != nil || len(b) == 0 {
			return written, err
		}
	}
}

// CloseWrite lets http.Server end the sending side first, so that an answer is not lost if
// the client still sends.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	if c.peer {
		addr := c.RemoteAddr().String()
		c.guard.mu.Lock()
		if c.guard.peers[addr] == c {
			delete(c.guard.peers, addr)
		}
		c.guard.mu.Unlock()
	}
	return c.Conn.Close()
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// cutOff makes reads fail, and writes as well if one is blocked or the connection is gRPC.
func (c *Conn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut.Store(true)
	// Setting a deadline fails only if the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
	if c.peer || c.account.IsSending() {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// SetReadDeadline implements net.Conn. It has no effect once the connection is cut off.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// unwrap returns the Conn of a connection that may be wrapped, or nil.
func unwrap(nc net.Conn) *Conn {
	for {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		w, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = w.NetConn()
	}
}

// ConnState is the ConnState hook of an http.Server.
func ConnState(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil || state != http.StateIdle {
		return
	}
	c.account.Enter(trintake.Idle)
	c.head.Store(0)
	c.account.Release(c.headHeld.Swap(0))
}

// connKey is the context key of the Conn of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(nc))
}

// connOf returns the Conn of a request, or nil if its listener has no guard.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// accountOf returns the account of a request's connection, or nil.
func accountOf(r *http.Request) *trintake.Account {
	if c := connOf(r); c != nil {
		return c.account
	}
	return nil
}
