// Package trleaf is the HTTP/1.1 client for leafs, with its own connection pool.
//
// The pool exists because the number of connections to a leaf, the process a
// connection leads to and the bytes that were written decide about the promises
// of the tier, and net/http's transport hides all three. A connection begins
// with a hello exchange and is pinned to the StartID of the answer. It carries
// one request at a time. The end of a request's context closes its connection,
// which cancels the request at the leaf.
//
// # Usage
//
//	client := trleaf.NewClient(trleaf.Options{OnHello: catalog.Report})
//	defer client.Close()
//	reply, err := client.Send(ctx, trleaf.Target{LeafID: "l1", Addr: "10.0.0.7:80", Service: "search"}, q)
//	var failed *trwire.AttemptError
//	if errors.As(err, &failed) && !failed.MayRun {
//		// The leaf did not run q, so another replica may be tried.
//	}
//
// A context that ends by its deadline (context.Cause is DeadlineExceeded) marks
// a connection without any returned byte as silent. A context that is canceled
// for another reason says nothing about the connection.
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

// Limits are the limits for the leafs of one service.
type Limits struct {
	Connections int           // connections of this client per leaf, dials included; 0 permits none
	DialTimeout time.Duration // limit for dial and hello, and for a probe; 0 for the default
	IdleProbe   time.Duration // idle time after which a connection is probed before an Execute; 0 for the default
}

// Target names a leaf and where it is. A hello that names another leaf or
// service makes the connection fail.
type Target struct {
	LeafID  string
	Addr    string
	Service string
}

// Options configure a Client. The zero value selects the system clock, TCP and
// the built-in policy.
type Options struct {
	Clock trclock.Clock
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	// OnHello is called with every hello of the expected leaf. It must not block.
	OnHello func(leafID string, h *trwire.Hello)
	Limits  func(service string) Limits
	Seed    uint64 // of the jitter of dial delays
}

// Counters count events of a Client. Counters is an expvar.Var.
type Counters struct {
	Dials        atomic.Int64 // started dials
	DialFailures atomic.Int64 // dials without connection or valid hello
	Silent       atomic.Int64 // connections closed because no byte came back in time
	BadReplies   atomic.Int64 // malformed, oversized, unexpected or mismatched replies
	Open         atomic.Int64 // open connections, dials included
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
	mu      sync.Mutex // taken before a pool's mutex
	pools   map[string]*pool
	closed  bool

	randomMu sync.Mutex
	random   *rand.Rand
}

// NewClient returns a client with the given options.
func NewClient(options Options) *Client { return &Client{options: options} }

// Refused is the cause of an AttemptError when the leaf answered with an error
// kind.
type Refused struct {
	trwire.LeafError
}

// Error returns kind and message.
func (r *Refused) Error() string { return fmt.Sprintf("leaf answered %s: %s", r.Kind, r.Message) }

// Send runs q on the target and returns the reply that matches it. The error is
// always a *trwire.AttemptError. q itself is not changed: the copy that is sent
// names the StartID of the connection if q names none, and the time that is
// left after waiting for a connection.
func (c *Client) Send(ctx context.Context, target Target, q *trwire.SubQuery) (*trwire.SubReply, error) {
	return c.SendChecked(ctx, target, q, func() *trwire.AttemptError { return nil })
}

// SendChecked is Send with a check that runs immediately before the write. If
// check fails, nothing is written and its error is returned.
func (c *Client) SendChecked(ctx context.Context, target Target, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error) {
	began := c.clock().Now()
	for {
		cn, fresh, failure := c.acquire(ctx, target, q.Kind == trwire.Execute)
		if failure != nil {
			return nil, failure
		}
		if startID := cn.hello.StartID; q.StartID != "" && q.StartID != startID {
			cn.pool.releaseSuspect(cn)
			return nil, notRun(trwire.AttemptStart, errors.Errorf("connection leads to start %q, not %q", startID, q.StartID))
		}
		sub := *q
		sub.StartID = cn.hello.StartID
		sub.TimeoutMs = max(1, q.TimeoutMs-c.clock().Now().Sub(began).Milliseconds())
		reply, failure := c.sendOn(ctx, cn, &sub, check)
		if failure == nil {
			return reply, nil
		}
		if failure.Kind == trwire.AttemptBroken && !failure.MayHaveRun && !fresh {
			continue // the leaf had closed the idle connection
		}
		return nil, failure
	}
}

// sendOn runs sub on cn and gives cn back.
func (c *Client) sendOn(ctx context.Context, cn *conn, sub *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, *trwire.AttemptError) {
	body, err := json.Marshal(sub)
	if err != nil {
		cn.pool.release(cn)
		return nil, notRun(trwire.AttemptFailed, errors.Wrap(err, "encode sub-query"))
	}
	if refused := check(); refused != nil {
		cn.pool.release(cn)
		return nil, refused
	}
	var reply *trwire.SubReply
	var refused *trwire.LeafError
	failure := cn.exchange(ctx, http.MethodPost, sub.Path(), body, func(resp *http.Response) (err error) {
		if resp.StatusCode == http.StatusOK {
			reply, err = trwire.Decode[trwire.SubReply](resp.Body, trwire.MaxReplyBytes)
			return err
		}
		refused, err = trwire.Decode[trwire.LeafError](resp.Body, trwire.MaxReplyBytes)
		return errors.Wrapf(err, "status %d", resp.StatusCode)
	})
	if failure == nil {
		failure = judge(cn, sub, reply, refused)
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

// judge returns the failure that a complete reply or leaf error stands for. A
// leaf error counts only if it names the sub-query, since a doubled reply to an
// earlier one must not be taken for a promise about this one.
func judge(cn *conn, sub *trwire.SubQuery, reply *trwire.SubReply, refused *trwire.LeafError) *trwire.AttemptError {
	if refused == nil {
		err := reply.CheckMatch(sub)
		if err == nil && reply.LeafID != cn.hello.LeafID {
			err = errors.Errorf("reply is from leaf %q", reply.LeafID)
		}
		if err != nil {
			return mayRun(trwire.AttemptBadReply, err)
		}
		return nil
	}
	if refused.SubID != sub.SubID {
		return mayRun(trwire.AttemptBadReply, errors.Errorf("leaf error %s is for sub-query %q", refused.Kind, refused.SubID))
	}
	kind := trwire.AttemptFailed
	switch refused.Kind {
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
		MayHaveRun: refused.Kind == trwire.LeafFailed,
		Err:        &Refused{LeafError: *refused},
	}
}

// Hello returns what the leaf says of itself, over an idle connection or a new
// one. The error is always a *trwire.AttemptError.
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
		h, failure := cn.sayHello(ctx)
		cn.pool.release(cn)
		if failure == nil {
			return h, nil
		}
		if failure.Kind != trwire.AttemptBroken {
			return nil, failure
		}
	}
}

// CloseLeaf closes the idle connections of a leaf and fails the calls that wait
// for one. Running requests finish, then their connections close.
func (c *Client) CloseLeaf(leafID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[leafID]
	if p != nil && p.retire() {
		delete(c.pools, leafID)
	}
}

// Close closes all connections, running requests included. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = nil
	c.closed = true
	c.mu.Unlock()
	for _, p := range pools {
		p.shut()
	}
}

// acquire returns a connection that may be used now, probed if it needs to be.
// fresh tells that its hello was exchanged for this call.
func (c *Client) acquire(ctx context.Context, target Target, execute bool) (cn *conn, fresh bool, failure *trwire.AttemptError) {
	limits := c.limits(target.Service)
	for {
		if ctx.Err() != nil {
			return nil, false, notRun(kindOfEnd(ctx), context.Cause(ctx))
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
			continue // the pool was shut between lookup and use
		}
		idle := c.clock().Now().Sub(cn.lastUsed)
		if fresh || !p.isSuspect(cn) && !(execute && idle > limits.IdleProbe) {
			return cn, fresh, nil
		}
		probeCtx, cancel := trclock.WithTimeout(ctx, c.clock(), limits.DialTimeout)
		_, failure = cn.sayHello(probeCtx)
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

// jitter returns a random duration between half of d and d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.options.Seed, 0))
	}
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

func (c *Client) report(target Target, h *trwire.Hello) {
	if c.options.OnHello != nil {
		c.options.OnHello(target.LeafID, h)
	}
}

// kindOfEnd returns the kind of failure of an ended context.
func kindOfEnd(ctx context.Context) trwire.AttemptErrorKind {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return trwire.AttemptTimeout
	}
	return trwire.AttemptCanceled
}

func notRun(kind trwire.AttemptErrorKind, err error) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, Err: err}
}

func mayRun(kind trwire.AttemptErrorKind, err error) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, MayHaveRun: true, Err: err}
}

func newRequest(method, addr, path string, body []byte) *http.Request {
	req := &http.Request{
		Method:        method,
		URL:           urlOf(addr, path),
		Host:          addr,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"User-Agent": {"tanagerrock"}},
		ContentLength: int64(len(body)),
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Body = bodyOf(bytes.NewReader(body))
	}
	return req
}
