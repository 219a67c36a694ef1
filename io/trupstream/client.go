// Package trupstream is the HTTP/1.1 client of a gateway for its upstreams.
//
// A Client keeps a bounded number of connections to each upstream and sends one
// request at a time on each. It never repeats a request: an outcome tells
// whether anything was sent, and the gateway decides. It reads a reply whole
// and checks that it belongs to the request. A connection is used again only if
// nothing beyond its last reply has arrived on it.
//
// # Usage
//
//	client := &trupstream.Client{Clock: clock, Headers: headers, Limit: limit}
//	defer client.Close()
//	out := client.Send(ctx, upstream, req, left)
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
	// idleMargin is kept before the time at which an upstream closes an idle
	// connection: the way there and timers that fire late.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept whose upstream states no time.
	defaultIdle = 10 * time.Second
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxStrayReplies is how many replies to other requests are skipped on a
	// connection before it is given up.
	maxStrayReplies = 2
)

// Headers are the names of the headers that the gateway and its upstreams
// exchange beyond those of HTTP.
type Headers struct {
	RequestID string // of a request, echoed in replies
	TimeoutMs string // time left, in milliseconds
	Expect    string // ID of the upstream a request is meant for
	Stamp     string // signature of a reply
	NotRun    string // set if the request was not run
	Load      string // running, waiting and slots, separated by commas
	Stamps    string // signatures of the parts of a merged answer
	Missing   string // number of shards that a merged answer lacks
}

// Client sends requests to upstreams. Its fields are set before the first call.
type Client struct {
	Clock   trclock.Clock
	Headers Headers
	// Limit returns how many connections may be open to an upstream.
	Limit func(up *trdirectory.Upstream) int
	// Usable reports whether an upstream may still get new work. It is asked
	// before each request is written, since a request may have waited for a
	// connection for seconds. nil permits all.
	Usable  func(key trdirectory.UpstreamKey) bool
	Metrics *trmetric.Registry

	mu    sync.Mutex
	pools map[trdirectory.UpstreamKey]*pool
}

// Send implements trgateway.Sender.
func (c *Client) Send(ctx context.Context, up *trdirectory.Upstream, req *trgateway.Request, left time.Duration) trgateway.Outcome {
	began := c.Clock.Now()
	end := began.Add(left + trgateway.ReplyGrace)
	cn, err := c.pool(up).take(ctx, c, up, end)
	if err != nil {
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: err}
	}
	if c.Usable != nil && !c.Usable(up.Key()) {
		cn.pool.release(cn, true)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.New("the upstream takes no new work any more")}
	}
	left -= c.Clock.Now().Sub(began)
	if left < time.Millisecond || ctx.Err() != nil {
		cn.pool.release(cn, true)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.New("no time left for the upstream")}
	}
	stop := context.AfterFunc(ctx, cn.close)
	// A deadline of the connection costs less than a context with a timer.
	if err := cn.nc.SetDeadline(end); err != nil {
		cn.pool.release(cn, false)
		return trgateway.Outcome{Kind: trgateway.NotSent, Err: errors.Wrap(err, "set deadline")}
	}
	out, reusable := cn.exchange(c, up, req, left)
	if !stop() || cn.nc.SetDeadline(time.Time{}) != nil {
		reusable = false
	}
	cn.pool.release(cn, reusable)
	return out
}

// Probe implements trgateway.Sender. It opens a connection of its own: one from
// before proves nothing, and all of those may be in use.
func (c *Client) Probe(ctx context.Context, up *trdirectory.Upstream) error {
	nc, err := c.dial(ctx, up.Addr)
	if err != nil {
		return err
	}
	return nc.Close()
}

// pool returns the connections of an upstream.
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

// Sweep closes idle connections that have ended or are too old, and all idle
// connections of upstreams that keep does not report.
func (c *Client) Sweep(keep func(trdirectory.UpstreamKey) bool) {
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for key, p := range c.pools {
		if !keep(key) {
			p.retire()
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

// Close closes all idle connections. Running exchanges end by themselves.
func (c *Client) Close() { c.Sweep(func(trdirectory.UpstreamKey) bool { return false }) }

// dial opens a connection.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	c.Metrics.Add("Dials", "", 1)
	return trdial.Context(ctx, "tcp", addr)
}

// load decodes a reported load. It returns nil if there is none or it cannot be
// read, since a reply without load is as good.
func load(value string) *trgateway.Load {
	fields := strings.Split(value, ",")
	if len(fields) != 3 {
		return nil
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &trgateway.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// idleTime returns how long a connection may stay idle after a reply.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// ConnectionHeaders are the headers that concern one connection and are not
// passed on.
var ConnectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripConnectionHeaders removes the headers that concern one connection,
// those named by Connection included.
func StripConnectionHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range ConnectionHeaders {
		h.Del(name)
	}
}
