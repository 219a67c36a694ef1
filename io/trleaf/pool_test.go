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

// silentLeaf returns a leaf that does not respond to sub-queries while silent is set.
func silentLeaf(t *testing.T, silent *atomic.Bool) *testLeaf {
	leaf := newTestLeaf(t, nil)
	leaf.respond = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		if silent.Load() && path != trwire.PathHello {
			return nil, true
		}
		return leaf.defaultResponse(path, q)
	}
	return leaf
}

// sendUntilReceived sends a sub-query and ends its context with cause once the
// leaf has received n sub-queries in total.
func sendUntilReceived(t *testing.T, c *Client, leaf *testLeaf, n int64, cause error) *trwire.AttemptError {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		defer cancel(cause)
		waitFor(t, func() bool { return leaf.subQueries.Load() >= n })
	}()
	_, err := c.Send(ctx, leaf.target(), query(trwire.Query, "x"))
	return attemptError(t, err)
}

// openIdle opens n connections and leaves them idle.
func openIdle(t *testing.T, c *Client, leaf *testLeaf, n int) {
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

// Guards against reusing a connection on which no reply arrived before the deadline,
// and against using the connections opened before it without a probe.
func TestSilentConnection(t *testing.T) {
	var silent atomic.Bool
	leaf := silentLeaf(t, &silent)
	c, _ := newTestClient(t, 3)
	openIdle(t, c, leaf, 3)
	silent.Store(true)
	failure := sendUntilReceived(t, c, leaf, 1, context.DeadlineExceeded)
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
	openIdle(t, c, leaf, 2)
	assert.Equal(t, leaf.hellos.Load(), hellos+2, "the other one is probed before its use")
	assert.Equal(t, c.Counters.Dials.Load(), int64(3))
}

// Guards against counting a canceled call as Silent and against reusing its
// connection.
func TestCancelClosesConnection(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	leaf := silentLeaf(t, &silent)
	c, _ := newTestClient(t, 3)
	failure := sendUntilReceived(t, c, leaf, 1, context.Canceled)
	assert.Equal(t, failure.Kind, trwire.AttemptCanceled)
	assert.Assert(t, failure.MayHaveRun)
	waitFor(t, func() bool { return leaf.open.Load() == 0 && c.Counters.Open.Load() == 0 })
	assert.Equal(t, c.Counters.Silent.Load(), int64(0))
}

// Guards against counting a timeout in the middle of a reply as Silent.
func TestTimeoutDuringReply(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	leaf.respond = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		raw, _ := leaf.defaultResponse(path, q)
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
		waitFor(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			for cn := range p.conns {
				pending := cn.pending.Load()
				return pending != nil && pending.replyStarted.Load()
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

// Guards against more connections than the limit, and against calls that wait for a
// connection forever or fail without the guarantee that nothing was run.
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

// Guards against sending a sub-query to another start of the leaf than the caller
// requested, and against keeping a connection to an earlier start.
func TestStartID(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, _ := newTestClient(t, 2)
	q := query(trwire.Query, "1")
	q.StartID = "s2"
	_, err := c.Send(t.Context(), leaf.target(), q)
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptStart)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, leaf.subQueries.Load(), int64(0))
	leaf.startID.Store("s2")
	_, err = c.Send(t.Context(), leaf.target(), q) // the probe finds the new start
	assert.NilError(t, err)
	assert.Equal(t, c.Counters.Dials.Load(), int64(2))

	old, _, _ := c.acquire(t.Context(), leaf.target(), false)
	leaf.startID.Store("s3")
	openIdle(t, c, leaf, 1)
	old.pool.release(old)
	assert.Assert(t, old.closed.Load())
}

// Guards against sending sub-queries to another leaf that has taken over the address.
func TestOtherLeafAtAddress(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	c, _ := newTestClient(t, 2)
	target := leaf.target()
	target.LeafID = "l2"
	_, err := c.Send(t.Context(), target, query(trwire.Query, "1"))
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptBadReply)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, leaf.subQueries.Load(), int64(0))
	waitFor(t, func() bool { return c.Counters.Open.Load() == 0 })
}

// Guards against dials without backoff after failures and against concurrent dials.
func TestDialBackoff(t *testing.T) {
	var concurrent atomic.Int64
	var dialTimes []time.Time
	c, clock := newTestClient(t, 5)
	c.options.Dial = func(context.Context, string) (net.Conn, error) {
		assert.Check(t, concurrent.Add(1) == 1)
		defer concurrent.Add(-1)
		dialTimes = append(dialTimes, clock.Now())
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
		waitFor(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiters) == 1 || len(result) == 1
		})
		// The dialer may start its timer after an advance, so repeat it.
		waitFor(t, func() bool { clock.Advance(time.Millisecond); return len(result) == 1 })
		failure := attemptError(t, <-result)
		assert.Equal(t, len(dialTimes), n+1)
		if n > 0 {
			gap := dialTimes[n].Sub(dialTimes[n-1])
			assert.Assert(t, gap >= minDialBackoff<<(n-1)/2, "%v before dial %d", gap, n)
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

// Guards against a hello without a timeout.
func TestSlowHello(t *testing.T) {
	leaf := newTestLeaf(t, func(string, *trwire.SubQuery) ([]byte, bool) { return nil, true })
	c, clock := newTestClient(t, 1)
	go func() {
		waitFor(t, func() bool { return leaf.hellos.Load() == 1 })
		clock.Advance(time.Minute)
	}()
	_, err := c.Send(t.Context(), leaf.target(), query(trwire.Query, "1"))
	failure := attemptError(t, err)
	assert.Equal(t, failure.Kind, trwire.AttemptDial)
	assert.Assert(t, !failure.MayHaveRun)
	assert.Equal(t, c.Counters.Silent.Load(), int64(1))
}

// Guards against an Execute on a connection that was idle for longer than IdleProbe
// and has not been probed, and against probes before other requests.
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

// Guards against reporting an unknown outcome for a request that was about to use an
// idle connection which the leaf had closed.
func TestIdleConnectionEnds(t *testing.T) {
	leaf := newTestLeaf(t, nil)
	leaf.respond = func(path string, q *trwire.SubQuery) ([]byte, bool) {
		raw, _ := leaf.defaultResponse(path, q)
		return raw, path == trwire.PathHello
	}
	c, _ := newTestClient(t, 1)
	for i := range 5 {
		_, err := c.Send(t.Context(), leaf.target(), query(trwire.Execute, fmt.Sprint(i)))
		assert.NilError(t, err)
		waitFor(t, func() bool { return c.Counters.Open.Load() == 0 })
	}
	assert.Equal(t, leaf.subQueries.Load(), int64(5))
}

// FuzzReply checks that no reply crashes the client, and that a sub-query is reported
// as not run only after a leaf error for it other than LeafFailed or if its connection
// broke.
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
			clientConn, leafConn := net.Pipe()
			go func() {
				defer leafConn.Close()
				buf := make([]byte, 64<<10)
				for _, message := range [][]byte{hello, raw} {
					if _, err := leafConn.Read(buf); err != nil {
						return
					}
					if _, err := leafConn.Write(message); err != nil {
						return
					}
				}
			}()
			return clientConn, nil
		}
		c := NewClient(Options{Dial: dial, Limits: fixedLimits(1)})
		defer c.Close()
		reply, err := c.Send(t.Context(), Target{LeafID: "l1", Service: "search"}, q)
		if err == nil {
			assert.NilError(t, reply.CheckMatch(q))
			return
		}
		failure := attemptError(t, err)
		var remote *RemoteError
		guaranteed := errors.As(failure.Err, &remote) && remote.SubID == q.SubID && remote.Kind != trwire.LeafFailed
		assert.Assert(t, failure.MayHaveRun || guaranteed || failure.Kind == trwire.AttemptBroken, "%v", err)
	})
}

// Guards against using a connection without a probe if it was last released before a
// silent call began, and against probing one that was released later.
func TestSilentCallMakesOthersSuspect(t *testing.T) {
	p := newPool(new(Client))
	began := time.Unix(1_000, 0)
	stale := &conn{pool: p, lastUsed: began.Add(-time.Second)}
	recent := &conn{pool: p, lastUsed: began.Add(time.Second)}
	silent := &conn{pool: p, began: began}
	p.conns = map[*conn]bool{stale: true, recent: true}
	p.markSilent(silent)
	assert.Assert(t, stale.suspect)
	assert.Assert(t, !recent.suspect)
}
