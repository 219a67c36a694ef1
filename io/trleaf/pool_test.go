package trleaf

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// silentLeaf returns a leaf that is silent to sub-queries while on is set.
func silentLeaf(t *testing.T, on *atomic.Bool) *testLeaf {
	leaf := newTestLeaf(t, nil)
	leaf.answer = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		if on.Load() && path != trwire.PathHello {
			return nil, true
		}
		return leaf.good(path, q)
	}
	return leaf
}

// sendUntilServed sends a sub-query and ends its context with cause once the
// leaf has read n sub-queries in all.
func sendUntilServed(t *testing.T, c *Client, leaf *testLeaf, n int64, cause error) *trwire.AttemptError {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		defer cancel(cause)
		until(t, func() bool { return leaf.subs.Load() >= n })
	}()
	_, err := c.Send(ctx, leaf.target(), query(trwire.Query, "x"))
	return attemptError(t, err)
}

// fill opens n connections and leaves them idle.
func fill(t *testing.T, c *Client, leaf *testLeaf, n int) {
	t.Helper()
	held := make([]*conn, n)
	for i := range held {
		cn, _, failure := c.acquire(t.Context(), leaf.target(), false)
		assert.Assert(t, failure == nil, "%v", failure)
		held[i] = cn
	}
	for _, cn := range held {
		cn.pool.release(cn)
	}
}

// Guards against silent connections that stay in use, and against trusting the
// connections that were opened before a silent one.
func TestSilentConnection(t *testing.T) {
	var silent atomic.Bool
	leaf := silentLeaf(t, &silent)
	c, _ := newTestClient(t, 3)
	fill(t, c, leaf, 3)
	silent.Store(true)
	failure := sendUntilServed(t, c, leaf, 1, context.DeadlineExceeded)
	assert.Equal(t, failure.Kind, trwire.AttemptTimeout)
	assert.Assert(t, failure.MayHaveRun)
	assert.Equal(t, c.Counters.Silent.Load(), int64(1))
	silent.Store(false)
	hellos := leaf.hellos.Load()
	for i := range 3 {
		_, err := c.Send(t.Context(), leaf.target(), query(trwire.Query, fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	assert.Equal(t, leaf.hellos.Load(), hellos+1, "the connection in use is probed once")
	fill(t, c, leaf, 2)
	assert.Equal(t, leaf.hellos.Load(), hellos+2, "the other one is probed before its use")
	assert.Equal(t, c.Counters.Dials.Load(), int64(3))
}

// Guards against counting a canceled call as a silent connection, and against
// reusing its connection.
func TestCancelClosesConnection(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	leaf := silentLeaf(t, &silent)
	c, _ := newTestClient(t, 3)
	failure := sendUntilServed(t, c, leaf, 1, context.Canceled)
	assert.Equal(t, failure.Kind, trwire.AttemptCanceled)
	assert.Assert(t, failure.MayHaveRun)
	until(t, func() bool { return leaf.open.Load() == 0 && c.Counters.Open.Load() == 0 })
	assert.Equal(t, c.Counters.Silent.Load(), int64(0))
}

// Guards against calling a slow reply a silent connection.
func TestHalfReply(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	leaf.answer = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		raw, _ := leaf.good(path, q)
		if path != trwire.PathHello {
			raw = raw[:len(raw)-5]
		}
		return raw, true
	}
	c, _ := newTestClient(t, 1)
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		defer cancel(context.DeadlineExceeded)
		p := c.pool(leaf.target())
		until(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			for cn := range p.conns {
				pending := cn.pending.Load()
				return pending != nil && pending.started.Load()
			}
			return false
		})
	}()
	_, err := c.Send(ctx, leaf.target(), query(trwire.Query, "1"))
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptTimeout)
	assert.Assert(t, failure.MayHaveRun)
	assert.Equal(t, c.Counters.Silent.Load(), int64(0))
}

// Guards against more connections than the limit and against calls that wait for
// ever or promise nothing.
func TestConnectionLimit(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, _ := newTestClient(t, 3)
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := range 20 {
				_, err := c.Send(context.Background(), leaf.target(), query(trwire.Query, fmt.Sprint(worker, "-", i)))
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, leaf.maxOpen.Load() <= 3)

	var held []*conn
	for range 3 {
		cn, _, _ := c.acquire(t.Context(), leaf.target(), false)
		held = append(held, cn)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(context.DeadlineExceeded)
	p := c.pool(leaf.target())
	_, _, failure := p.take(ctx, leaf.target(), c.limits("search"))
	assert.Equal(t, failure.Kind, trwire.AttemptNoCapacity)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, len(p.waiters), 0)
	c.CloseLeaf("l1")
	assert.Equal(t, c.Counters.Open.Load(), int64(3), "running requests keep their connections")
	for _, cn := range held {
		p.release(cn)
	}
	assert.Equal(t, c.Counters.Open.Load(), int64(0))
}

// Guards against requests to a leaf start that the caller did not mean, and
// against a connection that keeps leading to an earlier start.
func TestStartID(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, _ := newTestClient(t, 2)
	q := query(trwire.Query, "1")
	q.StartID = "s2"
	_, err := c.Send(t.Context(), leaf.target(), q)
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptStart)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, leaf.subs.Load(), int64(0))
	leaf.startID.Store("s2")
	_, err = c.Send(t.Context(), leaf.target(), q) // the probe finds the new start
	assert.NilError(t, err)
	assert.Equal(t, c.Counters.Dials.Load(), int64(2))

	old, _, _ := c.acquire(t.Context(), leaf.target(), false)
	leaf.startID.Store("s3")
	fill(t, c, leaf, 1)
	old.pool.release(old)
	assert.Assert(t, old.closed.Load())
}

// Guards against sub-queries to another leaf that took over an address.
func TestOtherLeafAtAddress(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, _ := newTestClient(t, 2)
	target := leaf.target()
	target.LeafID = "l2"
	_, err := c.Send(t.Context(), target, query(trwire.Query, "1"))
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptBadReply)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, leaf.subs.Load(), int64(0))
	until(t, func() bool { return c.Counters.Open.Load() == 0 })
}

// Guards against dials without delay after failures and against parallel dials.
func TestDialBackoff(t *testing.T) {
	var atOnce atomic.Int64
	var dialled []time.Time
	c, clock := newTestClient(t, 5)
	c.options.Dial = func(context.Context, string) (net.Conn, error) {
		assert.Check(t, atOnce.Add(1) == 1)
		defer atOnce.Add(-1)
		dialled = append(dialled, clock.Now())
		return nil, errors.New("refused")
	}
	target := Target{LeafID: "l1", Addr: "a", Service: "search"}
	for n := range 6 {
		result := make(chan error, 1)
		go func() {
			_, err := c.Send(t.Context(), target, query(trwire.Query, "1"))
			result <- err
		}()
		p := c.pool(target)
		until(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiters) == 1 || len(result) == 1
		})
		// The dialer may subscribe to the clock after an advance, so repeat it.
		until(t, func() bool { clock.Advance(time.Millisecond); return len(result) == 1 })
		failure := attemptError(t, <-result)
		assert.Equal(t, len(dialled), n+1)
		if n > 0 {
			gap := dialled[n].Sub(dialled[n-1])
			assert.Assert(t, gap >= firstDialDelay<<(n-1)/2, "%v before dial %d", gap, n)
		}
		assert.Equal(t, failure.Kind, trwire.AttemptDial)
		assert.Assert(t, !failure.MayHaveRun)
	}
	assert.Equal(t, c.Counters.DialFailures.Load(), int64(6))
	for range 100 {
		jittered := c.jitter(time.Second)
		assert.Assert(t, jittered >= time.Second/2 && jittered <= time.Second)
	}
}

// Guards against a hello without limit of time.
func TestSlowHello(t *testing.T) {
	leaf := newTestLeaf(t, func(string, *trwire.SubQuery) ([]byte, bool) { return nil, true })
	c, clock := newTestClient(t, 1)
	go func() {
		until(t, func() bool { return leaf.hellos.Load() == 1 })
		clock.Advance(time.Minute)
	}()
	_, err := c.Send(t.Context(), leaf.target(), query(trwire.Query, "1"))
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptDial)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, c.Counters.Silent.Load(), int64(1))
}

// Guards against an Execute on a connection that was idle for long, and against
// a probe before every other request.
func TestIdleProbe(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, clock := newTestClient(t, 1)
	send := func(kind trwire.Kind, hellos int64) {
		t.Helper()
		_, err := c.Send(t.Context(), leaf.target(), query(kind, "1"))
		assert.NilError(t, err)
		assert.Equal(t, leaf.hellos.Load(), hellos)
	}
	send(trwire.Execute, 1)
	send(trwire.Execute, 1)
	clock.Advance(2 * time.Second)
	send(trwire.Query, 1)
	clock.Advance(2 * time.Second)
	send(trwire.Execute, 2)
	h, err := c.Hello(t.Context(), leaf.target())
	assert.NilError(t, err)
	assert.Equal(t, h.StartID, "s1")
	assert.Equal(t, leaf.hellos.Load(), int64(3))
	assert.Equal(t, leaf.accepted.Load(), int64(1))
}

// Guards against an unknown outcome for a request that met a connection which
// the leaf had closed while it was idle, and against early bytes.
func TestIdleConnectionEnds(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	leaf.answer = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		raw, _ := leaf.good(path, q)
		return raw, path == trwire.PathHello
	}
	c, _ := newTestClient(t, 1)
	for i := range 5 {
		_, err := c.Send(t.Context(), leaf.target(), query(trwire.Execute, fmt.Sprint(i)))
		assert.NilError(t, err)
		until(t, func() bool { return c.Counters.Open.Load() == 0 })
	}
	assert.Equal(t, leaf.subs.Load(), int64(5))
}

// FuzzReply checks that no reply crashes the client, and that only a leaf error
// for this sub-query is taken as a promise that it was not run.
func FuzzReply(f *testing.F) {
	q := query(trwire.Execute, "1")
	q.StartID = "s1"
	hello := response(200, trwire.Hello{LeafID: "l1", StartID: "s1", Service: "search"})
	f.Add(response(200, replyTo(q)))
	f.Add(response(503, trwire.LeafError{SubID: q.SubID, Kind: trwire.LeafShed}))
	f.Add(response(503, trwire.LeafError{SubID: "other", Kind: trwire.LeafShed}))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		dial := func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				buf := make([]byte, 64<<10)
				for _, answer := range [][]byte{hello, raw} {
					if _, err := far.Read(buf); err != nil {
						return
					}
					if _, err := far.Write(answer); err != nil {
						return
					}
				}
			}()
			return near, nil
		}
		c := NewClient(Options{Dial: dial, Limits: fixedLimits(1)})
		defer c.Close()
		reply, err := c.Send(t.Context(), Target{LeafID: "l1", Service: "search"}, q)
		if err == nil {
			assert.NilError(t, reply.CheckMatch(q))
			return
		}
		failure := attemptError(t, err)
		var refused *Refused
		promised := errors.As(failure.Err, &refused) && refused.SubID == q.SubID && refused.Kind != trwire.LeafFailed
		assert.Assert(t, failure.MayHaveRun || promised || failure.Kind == trwire.AttemptBroken, "%v", err)
	})
}

// Guards against trusting a connection that was opened after a silent one but not
// heard of since the silent call began, and against probing one that was.
func TestSilentCallMakesOthersSuspect(t *testing.T) {
	p := newPool(new(Client))
	began := time.Unix(1_000, 0)
	older := &conn{pool: p, lastUsed: began.Add(-time.Second)}
	heard := &conn{pool: p, lastUsed: began.Add(time.Second)}
	silent := &conn{pool: p, began: began}
	p.conns = map[*conn]bool{older: true, heard: true}
	p.silent(silent)
	assert.Assert(t, older.suspect)
	assert.Assert(t, !heard.suspect)
}
