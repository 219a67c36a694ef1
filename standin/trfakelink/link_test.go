package trfakelink

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagerrock/core/trclock"
)

// startEchoServer starts a server that sends back what it reads and returns its
// address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// openLink starts a network with a link to an echo server and returns the link's
// address.
func openLink(t *testing.T, cfg Config, l Link) (*Network, string) {
	n, err := New(cfg)
	assert.NilError(t, err)
	t.Cleanup(n.Close)
	l.From, l.To, l.Target = "a", "b", startEchoServer(t)
	addr, err := n.Add(l)
	assert.NilError(t, err)
	return n, addr
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a line and checks that it comes back.
func roundTrip(t *testing.T, c net.Conn, line string) {
	t.Helper()
	_, err := io.WriteString(c, line+"\n")
	assert.NilError(t, err)
	got, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, line+"\n")
}

// Guards against a cut that leaves connections open or that cannot be undone.
func TestCut(t *testing.T) {
	n, addr := openLink(t, Config{}, Link{})
	old := dial(t, addr)
	roundTrip(t, old, "one")
	assert.Equal(t, n.Cut("b", "a", true), 0)
	roundTrip(t, old, "two")
	assert.Equal(t, n.Cut("a", AnyGroup, true), 1)
	_, err := old.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	fresh, err := net.Dial("tcp", addr) // may fail with the reset already
	if err == nil {
		_, err = fresh.Read(make([]byte, 1))
		assert.NilError(t, fresh.Close())
	}
	assert.Assert(t, err != nil)
	n.Cut("a", "b", false)
	roundTrip(t, dial(t, addr), "three")
}

// Guards against a silent fault that closes connections or affects new ones.
func TestSilence(t *testing.T) {
	n, addr := openLink(t, Config{}, Link{})
	old := dial(t, addr)
	roundTrip(t, old, "one")
	assert.Equal(t, n.Silence("a", "b"), 1)
	_, err := io.WriteString(old, "two\n")
	assert.NilError(t, err)
	roundTrip(t, dial(t, addr), "three")
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against data that arrives before the delays of both directions have passed.
func TestDelay(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1000, 0))
	_, addr := openLink(t, Config{Clock: clock}, Link{DelayMs: 5})
	c := dial(t, addr)
	_, err := io.WriteString(c, "one\n")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	start := clock.Now()
	line := make([]byte, 4)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(time.Millisecond)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		if _, err := io.ReadFull(c, line); err != nil {
			return poll.Continue("no answer yet: %v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, string(line), "one\n")
	assert.Assert(t, clock.Now().Sub(start) >= 10*time.Millisecond)
}
