// Package trupstream is the HTTP/1.1 client with which a gateway sends requests to
// its upstreams.
//
// A Client keeps a bounded pool of connections to each upstream, without pipelining.
// It never retries a request: the outcome tells whether anything was sent, and the
// gateway decides. Replies are read completely and matched to their request by its
// ID; one without the upstream's signature is no answer. A connection is reused only if
// no data beyond its last reply has arrived on it.
//
// # Usage
//
//	client := &trupstream.Client{Clock: clock, Headers: headers, MaxConns: maxConns, Metrics: metrics}
//	defer client.Close()
//	out := client.Send(ctx, upstream, req, timeLeft)
//
// Client implements trgateway.Sender.
package trupstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
	"tanagerrock/io/trdial"
)

const (
	// idleMargin is subtracted from the time after which an upstream closes an idle
	// connection. It allows for the network delay and for timers that fire late.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states
	// no Keep-Alive timeout.
	defaultIdleTimeout = 10 * time.Second
	// maxStrayReplies is the number of informational replies and replies to other
	// requests that are skipped while waiting for a reply. After more, the connection
	// is closed.
	maxStrayReplies = 2
)

// Headers holds the names of the header fields that callers, the gateway and its
// upstreams exchange in addition to those of HTTP.
type Headers struct {
	RequestID string // ID of a request, echoed in its reply
	TimeoutMs string // time left for the request, in milliseconds
	Expect    string // ID of the upstream that the request is intended for
	Stamp     string // signature of a reply; empty if upstreams do not sign their replies
	NotRun    string // set in a reply if the upstream did not run the request
	Load      string // load of the upstream: running, waiting, slots and pace, separated by commas
	Leaving   string // "1" in all replies of an upstream that is leaving
	Stamps    string // signatures of the parts of a merged response
	Missing   string // number of shards missing from a merged response
	Key       string // client key of a request; not forwarded
	Account   string // name of the client account of a request; set by the gateway only
}

// Client sends requests to upstreams. Its fields must not change after the first call.
type Client struct {
	Clock   trclock.Clock
	Headers Headers
	// MaxConns returns the maximum number of open connections to an upstream.
	MaxConns func(up *trdirectory.Upstream) int
	// Admit reports whether an upstream may receive a request. It is called
	// immediately before each request is written, because a request may have waited
	// seconds for a connection, or the process may have been suspended. If it is nil,
	// all requests are admitted.
	Admit   func(key trdirectory.UpstreamKey, req *trgateway.Request) bool
	Metrics *trmetric.Registry
	// MaxPendingBytes limits the bytes of all replies of which only a part has been
	// received: those up to mediumReplyBytes of each, without the first freeReplyBytes, and
	// separately those beyond. 0 means defaultMaxPendingBytes.
	MaxPendingBytes int64

	pending pendingBytes // bytes that count against MaxPendingBytes

	mu    sync.Mutex
	pools map[trdirectory.UpstreamKey]*pool
}

func (c *Client) maxPending() int64 {
	if c.MaxPendingBytes == 0 {
		return defaultMaxPendingBytes
	}
	return c.MaxPendingBytes
}

// Send implements trgateway.Sender.
func (c *Client) Send(ctx context.Context, up *trdirectory.Upstream, req *trgateway.Request, timeLeft time.Duration) trgateway.Outcome {
	start := c.Clock.Now()
	deadline := start.Add(timeLeft + trgateway.ReplyGrace)
	cn, err := c.pool(up).acquire(ctx, c, up, deadline)
	if err == nil && cn.carried(req.ID) {
		cn, err = cn.pool.replace(ctx, c, up, cn)
	}
	if err != nil {
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: err}
	}
	timeLeft -= c.Clock.Now().Sub(start)
	if timeLeft < time.Millisecond || ctx.Err() != nil {
		cn.pool.release(cn, true)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.New("no time left for the upstream")}
	}
	if c.Admit != nil && !c.Admit(up.Key(), req) {
		cn.pool.release(cn, true)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: trgateway.ErrWithheld}
	}
	stop := context.AfterFunc(ctx, cn.close)
	// A connection deadline is cheaper than a context with a timer.
	// Package net measures deadlines with the time of day and the monotonic clock.
	if err := cn.nc.SetDeadline(time.Now().Add(deadline.Sub(c.Clock.Now()))); err != nil {
		cn.pool.release(cn, false)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.Wrap(err, "set deadline")}
	}
	out, reusable := cn.exchange(c, up, req, timeLeft)
	if !stop() || cn.nc.SetDeadline(time.Time{}) != nil {
		reusable = false
	}
	cn.pool.release(cn, reusable)
	return out
}

// Probe implements trgateway.Sender. It opens a new connection: an existing one does
// not prove that the upstream can still be reached, and all of them may be in use.
func (c *Client) Probe(ctx context.Context, up *trdirectory.Upstream) error {
	nc, err := c.dial(ctx, up.Addr)
	if err != nil {
		return err
	}
	return nc.Close()
}

// pool returns the connection pool of an upstream, creating it if necessary.
func (c *Client) pool(up *trdirectory.Upstream) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[trdirectory.UpstreamKey]*pool)
	}
	p := c.pools[up.Key()]
	if p == nil {
		p = &pool{clock: c.Clock}
		c.pools[up.Key()] = p
	}
	return p
}

// Sweep closes idle connections that are broken or have expired, and all idle
// connections to upstreams for which keep returns false.
func (c *Client) Sweep(keep func(trdirectory.UpstreamKey) bool) {
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for key, p := range c.pools {
		if !keep(key) {
			p.close()
			delete(c.pools, key)
			continue
		}
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.sweep()
	}
}

// Close closes all idle connections. Connections in use are closed when their exchange
// ends.
func (c *Client) Close() { c.Sweep(func(trdirectory.UpstreamKey) bool { return false }) }

// dial opens and counts a connection.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	c.Metrics.Add("Dials", "", 1)
	return trdial.DialContext(ctx, "tcp", addr)
}

// parseLoad parses a reported load: running, waiting, slots and, from some upstreams, the
// pace. Further figures are ignored. It returns nil if one of the first three is missing or
// invalid, because a reply is valid without a load. An invalid pace counts as not reported.
func parseLoad(value string) *trgateway.Load {
	fields := strings.SplitN(value, ",", loadFields+1)
	if len(fields) < loadFields-1 {
		return nil
	}
	var n [loadFields]int
	for i, f := range fields[:min(len(fields), loadFields)] {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		switch {
		case err == nil && v >= 0:
			n[i] = v
		case i < loadFields-1:
			return nil
		}
	}
	return &trgateway.Load{Running: n[0], Waiting: n[1], Slots: n[2], Pace: n[3]}
}

// loadFields is the number of figures of a reported load that are used, the pace included.
const loadFields = 4

// keepAliveTimeout returns how long a connection may stay idle after a reply with
// header h, according to its Keep-Alive field.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// HopByHopHeaders are the header fields that apply to a single connection and are not
// forwarded.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHopHeaders removes the hop-by-hop header fields from h, including those
// named by its Connection field.
func StripHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range HopByHopHeaders {
		h.Del(name)
	}
}
