// Package trleaf is the HTTP/1.1 client for leafs, with its own connection pool.
//
// It does not use http.Transport, which hides the number of connections to a leaf,
// the process at the other end of a connection and the number of bytes written.
// The connection limits of the tier and its guarantees that a sub-query was not run
// depend on all three. A connection begins with a hello exchange and is bound to the
// StartID in the reply. It carries one request at a time. When the context of a
// request ends, its connection is closed, which cancels the request at the leaf.
//
// # Usage
//
//	client := trleaf.NewClient(trleaf.Options{OnHello: catalog.Report})
//	defer client.Close()
//	reply, err := client.Send(ctx, trleaf.Target{LeafID: "l1", Addr: "10.0.0.7:80", Service: "search"}, q)
//	var failed *trwire.AttemptError
//	if errors.As(err, &failed) && !failed.MayHaveRun {
//		// The leaf did not run q, so another replica may be tried.
//	}
//
// A call whose context ends by its deadline (context.Cause is DeadlineExceeded)
// before any byte of the reply has arrived counts as Silent. Connections to the leaf
// that have not been used since the call began are then probed before their next
// use. A context that is canceled for another reason has no effect on other
// connections.
package trleaf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

// Limits holds the connection limit and the timeouts for the leafs of one service.
type Limits struct {
	Connections int           // open connections per leaf, including dials in progress; 0 permits none
	DialTimeout time.Duration // timeout of dial and hello, and of a probe; 0 for the default
	IdleProbe   time.Duration // idle time after which a connection is probed before an Execute; 0 for the default
}

// Target is a leaf and its address. A connection fails if its hello names another
// leaf or service.
type Target struct {
	LeafID  string
	Addr    string
	Service string
}

// Options configures a Client. The zero value selects the system clock, TCP and
// the limits of trconfig.BuiltInDefaults.
type Options struct {
	Clock trclock.Clock
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	// OnHello is called with every hello from the expected leaf. It must not block.
	OnHello func(leafID string, h *trwire.Hello)
	Limits  func(service string) Limits
	Seed    uint64 // seed of the jitter in dial backoff
}

// Counters holds the event counts of a Client. It implements expvar.Var.
type Counters struct {
	Dials        atomic.Int64 // dials started
	DialFailures atomic.Int64 // dials that ended without a connection or a valid hello
	Silent       atomic.Int64 // connections closed because no byte of a reply arrived before the deadline
	BadReplies   atomic.Int64 // malformed, too large, unexpected or mismatched replies
	Open         atomic.Int64 // open connections, including dials in progress
}

// String returns the counters as JSON.
func (c *Counters) String() string {
	return fmt.Sprintf(`{"Dials":%d,"DialFailures":%d,"Silent":%d,"BadReplies":%d,"Open":%d}`,
		c.Dials.Load(), c.DialFailures.Load(), c.Silent.Load(), c.BadReplies.Load(), c.Open.Load())
}

// Client sends sub-queries to leafs. The zero value is ready to use. A Client is
// safe for concurrent use.
type Client struct {
	Counters Counters

	options Options
	mu      sync.Mutex // locked before pool.mu
	pools   map[string]*pool
	closed  bool

	randomMu sync.Mutex
	random   *rand.Rand
}

// NewClient returns a client with the given options.
func NewClient(options Options) *Client { return &Client{options: options} }

// RemoteError is the cause of an AttemptError if the leaf returned an error instead
// of a reply.
type RemoteError struct {
	trwire.LeafError
}

// Error returns the kind and the message.
func (e *RemoteError) Error() string { return fmt.Sprintf("leaf returned %s: %s", e.Kind, e.Message) }

// Send sends q to the target and returns the matching reply. The error is always a
// *trwire.AttemptError. Send does not modify q. The copy that it sends has the
// StartID of the connection if q has none, and a TimeoutMs reduced by the time spent
// waiting for a connection.
func (c *Client) Send(ctx context.Context, target Target, q *trwire.SubQuery) (*trwire.SubReply, error) {
	return c.SendChecked(ctx, target, q, func() *trwire.AttemptError { return nil })
}

// SendChecked is like Send but calls check each time immediately before it writes the
// request, which can be more than once if an idle connection turns out to be closed. If
// check returns an error, nothing is written and that error is returned.
func (c *Client) SendChecked(ctx context.Context, target Target, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error) {
	began := c.clock().Now()
	for {
		cn, fresh, failure := c.acquire(ctx, target, q.Kind == trwire.Execute)
		if failure != nil {
			return nil, failure
		}
		if startID := cn.hello.StartID; q.StartID != "" && q.StartID != startID {
			// The leaf may have restarted since the hello on this connection.
			cn.pool.releaseSuspect(cn)
			return nil, notRun(trwire.AttemptStart, errors.Errorf("leaf has StartID %q, not %q", startID, q.StartID))
		}
		sub := *q
		sub.StartID = cn.hello.StartID
		sub.TimeoutMs = max(1, q.TimeoutMs-c.clock().Now().Sub(began).Milliseconds())
		reply, failure := c.sendOn(ctx, cn, &sub, check)
		if failure == nil {
			return reply, nil
		}
		if failure.Kind == trwire.AttemptBroken && !failure.MayHaveRun && !fresh {
			continue // the leaf closed the connection while it was idle
		}
		return nil, failure
	}
}

// sendOn sends sub on cn and releases cn.
func (c *Client) sendOn(ctx context.Context, cn *conn, sub *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, *trwire.AttemptError) {
	body, err := json.Marshal(sub)
	if err != nil {
		cn.pool.release(cn)
		return nil, notRun(trwire.AttemptFailed, errors.Wrap(err, "encode sub-query"))
	}
	if failure := check(); failure != nil {
		cn.pool.release(cn)
		return nil, failure
	}
	var reply *trwire.SubReply
	var leafErr *trwire.LeafError
	failure := cn.exchange(ctx, http.MethodPost, sub.Path(), body, func(resp *http.Response) (err error) {
		if resp.StatusCode == http.StatusOK {
			reply, err = trwire.Decode[trwire.SubReply](resp.Body, trwire.MaxReplyBytes)
			return err
		}
		leafErr, err = trwire.Decode[trwire.LeafError](resp.Body, trwire.MaxReplyBytes)
		return errors.Wrapf(err, "status %d", resp.StatusCode)
	})
	if failure == nil {
		failure = checkResponse(cn, sub, reply, leafErr)
	}
	if failure == nil {
		cn.pool.setSuspect(cn, false)
		cn.pool.release(cn)
		return reply, nil
	}
	switch failure.Kind {
	case trwire.AttemptBadReply:
		c.Counters.BadReplies.Add(1)
		cn.close()
	case trwire.AttemptStart:
		cn.close()
	}
	cn.pool.release(cn)
	return nil, failure
}

// checkResponse returns the failure of a sub-query whose response was read
// completely, or nil if the response is a valid reply. A leaf error is accepted only
// if it names the sub-query: a duplicate response to an earlier sub-query must not be
// taken as a guarantee that this one was not run.
func checkResponse(cn *conn, sub *trwire.SubQuery, reply *trwire.SubReply, leafErr *trwire.LeafError) *trwire.AttemptError {
	if leafErr == nil {
		err := reply.CheckMatch(sub)
		if err == nil && reply.LeafID != cn.hello.LeafID {
			err = errors.Errorf("reply is from leaf %q", reply.LeafID)
		}
		if err != nil {
			return mayHaveRun(trwire.AttemptBadReply, err)
		}
		return nil
	}
	if leafErr.SubID != sub.SubID {
		return mayHaveRun(trwire.AttemptBadReply, errors.Errorf("leaf error %s is for sub-query %q", leafErr.Kind, leafErr.SubID))
	}
	kind := trwire.AttemptFailed
	switch leafErr.Kind {
	case trwire.LeafShed:
		kind = trwire.AttemptShed
	case trwire.LeafDraining:
		kind = trwire.AttemptDraining
	case trwire.LeafVersionGone, trwire.LeafNotLoaded:
		kind = trwire.AttemptVersion
	case trwire.LeafWrongStart:
		kind = trwire.AttemptStart
	}
	return &trwire.AttemptError{
		Kind:       kind,
		MayHaveRun: leafErr.Kind == trwire.LeafFailed,
		Err:        &RemoteError{LeafError: *leafErr},
	}
}

// Hello returns a new hello of the target, requested over an idle connection or a
// new one. The error is always a *trwire.AttemptError.
func (c *Client) Hello(ctx context.Context, target Target) (*trwire.Hello, error) {
	for {
		cn, fresh, failure := c.acquire(ctx, target, false)
		if failure != nil {
			return nil, failure
		}
		if fresh {
			h := cn.hello
			cn.pool.release(cn)
			return h, nil
		}
		h, failure := cn.requestHello(ctx)
		cn.pool.release(cn)
		if failure == nil {
			return h, nil
		}
		if failure.Kind != trwire.AttemptBroken {
			return nil, failure
		}
	}
}

// CloseLeaf closes the idle connections to a leaf and fails the calls that wait for
// one. Connections in use are closed when their requests have finished.
func (c *Client) CloseLeaf(leafID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[leafID]
	if p != nil && p.retire() {
		delete(c.pools, leafID)
	}
}

// Close closes all connections, including those in use. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = nil
	c.closed = true
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// acquire returns a connection that is ready for use. It probes an idle connection
// that is suspect, and before an Execute also one that has been idle for longer than
// IdleProbe. fresh reports whether the hello was exchanged during this call.
func (c *Client) acquire(ctx context.Context, target Target, execute bool) (cn *conn, fresh bool, failure *trwire.AttemptError) {
	limits := c.limits(target.Service)
	for {
		if ctx.Err() != nil {
			return nil, false, notRun(contextErrorKind(ctx), context.Cause(ctx))
		}
		p := c.pool(target)
		if p == nil {
			return nil, false, notRun(trwire.AttemptNoCapacity, errors.New("client is closed"))
		}
		cn, fresh, failure = p.take(ctx, target, limits)
		if failure != nil {
			return nil, false, failure
		}
		if cn == nil {
			continue // the pool was closed after the lookup
		}
		idle := c.clock().Now().Sub(cn.lastUsed)
		if fresh || !p.isSuspect(cn) && !(execute && idle > limits.IdleProbe) {
			return cn, fresh, nil
		}
		probeCtx, cancel := trclock.WithTimeout(ctx, c.clock(), limits.DialTimeout)
		_, failure = cn.requestHello(probeCtx)
		cancel()
		if failure == nil {
			p.setSuspect(cn, false)
			return cn, true, nil
		}
		p.release(cn)
	}
}

func (c *Client) pool(target Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if p := c.pools[target.LeafID]; p != nil {
		return p
	}
	if c.pools == nil {
		c.pools = make(map[string]*pool)
	}
	p := newPool(c)
	c.pools[target.LeafID] = p
	return p
}

func (c *Client) clock() trclock.Clock {
	if c.options.Clock == nil {
		return trclock.System()
	}
	return c.options.Clock
}

func (c *Client) limits(service string) Limits {
	builtIn := trconfig.BuiltInDefaults().Service
	limits := Limits{Connections: builtIn.Connections}
	if c.options.Limits != nil {
		limits = c.options.Limits(service)
	}
	if limits.DialTimeout <= 0 {
		limits.DialTimeout = time.Duration(builtIn.DialTimeoutMs) * time.Millisecond
	}
	if limits.IdleProbe <= 0 {
		limits.IdleProbe = time.Duration(builtIn.IdleProbeMs) * time.Millisecond
	}
	return limits
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if c.options.Dial != nil {
		return c.options.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// jitter returns a random duration between d/2 and d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.options.Seed, 0))
	}
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

func (c *Client) reportHello(target Target, h *trwire.Hello) {
	if c.options.OnHello != nil {
		c.options.OnHello(target.LeafID, h)
	}
}

// contextErrorKind returns the kind of an attempt that failed because ctx ended.
func contextErrorKind(ctx context.Context) trwire.AttemptErrorKind {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return trwire.AttemptTimeout
	}
	return trwire.AttemptCanceled
}

func notRun(kind trwire.AttemptErrorKind, err error) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, Err: err}
}

func mayHaveRun(kind trwire.AttemptErrorKind, err error) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, MayHaveRun: true, Err: err}
}

func newRequest(method, addr, path string, body []byte) *http.Request {
	req := &http.Request{
		Method:        method,
		URL:           requestURL(addr, path),
		Host:          addr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"User-Agent": {"tanagerrock"}},
		ContentLength: int64(len(body)),
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Body = requestBody(bytes.NewReader(body))
	}
	return req
}
