package trpeer

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
)

// Defaults of ClientConfig.
const (
	DefaultMaxConnections = 64 // about 70 KB of memory each
	DefaultConnectTimeout = 250 * time.Millisecond
	DefaultCallTimeout    = 2 * time.Second // timeout of calls whose context has no deadline; Forward adds the timeout of the request
)

const (
	// A connection is replaced after replaceAfterTimeouts consecutive timeouts and
	// replaceAfterSilence without any reply. A peer that is merely slow still replies to
	// some calls within that time. Keepalive alone would take up to 13 s to detect an
	// unresponsive connection.
	replaceAfterTimeouts = 2
	replaceAfterSilence  = time.Second
	// maxRedialDelay limits how long calls to a peer keep failing after it has become
	// reachable again.
	maxRedialDelay = time.Second
	// A connection without calls for idleTimeout is closed and not redialed.
	idleTimeout = time.Minute
	// retireDelay is how long calls may continue on a replaced connection.
	retireDelay = 60 * time.Second
)

// ErrClosed is returned by calls made after Close.
var ErrClosed = errors.New("peer client is closed")

// ForwardError reports that a forwarded request got no valid reply and whether the peer
// may have received it.
type ForwardError struct {
	MayHaveRun bool // false only if nothing was passed to a connection
	Err        error
}

// Error returns the cause and whether the request may have arrived.
func (e *ForwardError) Error() string {
	if e.MayHaveRun {
		return fmt.Sprintf("forward, request may have arrived: %v", e.Err)
	}
	return fmt.Sprintf("forward, request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Err }

// ClientConfig configures a Client. Zero values select the defaults.
type ClientConfig struct {
	MaxConnections int
	ConnectTimeout time.Duration
	CallTimeout    time.Duration
	Clock          trclock.Clock     // nil for the system clock
	DialOptions    []grpc.DialOption // appended to the client's own options
}

// Client calls other instances. It caches a limited number of connections.
type Client struct {
	cfg   ClientConfig
	stats *statsHandler

	mu     sync.Mutex
	closed bool
	conns  map[string]*list.Element // of *peerConn, by address
	lru    *list.List               // most recently used first
	opened uint64
}

var _ trmember.Transport = (*Client)(nil)

// peerConn is a connection to one peer.
type peerConn struct {
	addr string
	grpc *grpc.ClientConn

	// The following are guarded by Client.mu.
	timeouts  int       // consecutive calls that timed out
	lastReply time.Time // or when the connection was created
	calls     int       // running calls
	retired   bool      // no longer in the cache
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	return &Client{cfg: cfg, stats: newStatsHandler(), conns: make(map[string]*list.Element), lru: list.New()}
}

// Close closes all cached connections, which cancels their calls, and makes later calls
// fail. A replaced connection is closed when its running calls end, or after retireDelay
// at the latest.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for e := c.lru.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*peerConn).grpc.Close()
	}
	c.conns, c.lru = nil, list.New()
}

// Traffic returns the bytes received and sent per method.
func (c *Client) Traffic() map[string]Traffic { return c.stats.traffic() }

// Connections returns the number of cached connections and the number opened so far.
func (c *Client) Connections() (cached int, opened uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Len(), c.opened
}

// Exchange implements trmember.Transport.
func (c *Client) Exchange(ctx context.Context, addr string, m *trmember.Exchange) (*trmember.Exchange, error) {
	return call[trmember.Exchange](ctx, c, addr, "Exchange", m)
}

// ProbeFor implements trmember.Transport.
func (c *Client) ProbeFor(ctx context.Context, addr string, m *trmember.ProbeRequest) (*trmember.ProbeReply, error) {
	return call[trmember.ProbeReply](ctx, c, addr, "ProbeFor", m)
}

// Push implements trmember.Transport.
func (c *Client) Push(ctx context.Context, addr string, m *trmember.Push) (*trmember.PushReply, error) {
	return call[trmember.PushReply](ctx, c, addr, "Push", m)
}

// Forward forwards a request to the instance at addr. The error is a *trwire.Refusal of
// that instance or a *ForwardError.
func (c *Client) Forward(ctx context.Context, addr string, m *ForwardRequest) (*trwire.Answer, error) {
	if err := m.Check(); err != nil {
		return nil, &ForwardError{Err: err}
	}
	if _, ok := ctx.Deadline(); !ok {
		// Normally the peer answers or refuses within the timeout of the request. The limit
		// below only ends a call to a peer that does neither.
		limit := time.Duration(m.Request.TimeoutMs)*time.Millisecond + c.cfg.CallTimeout
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	sent := new(atomic.Bool)
	reply, err := call[ForwardReply](context.WithValue(ctx, sentKey{}, sent), c, addr, "Forward", m)
	if err != nil {
		return nil, &ForwardError{MayHaveRun: sent.Load(), Err: err}
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal
	}
	if reply.Answer.RequestID != m.Request.RequestID {
		err := errors.Errorf("answer is for request %q", reply.Answer.RequestID)
		return nil, &ForwardError{MayHaveRun: true, Err: err}
	}
	return reply.Answer, nil
}

func call[Rep any](ctx context.Context, c *Client, addr, name string, req any) (*Rep, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.CallTimeout)
		defer cancel()
	}
	conn, err := c.acquire(addr)
	if err != nil {
		return nil, err
	}
	defer c.release(conn)
	if err := c.connect(ctx, conn); err != nil {
		return nil, err
	}
	reply := new(Rep)
	if err := conn.grpc.Invoke(ctx, "/"+serviceName+"/"+name, req, reply); err != nil {
		// Only a timeout indicates an unresponsive connection, not a cancellation. The
		// cause is checked because a trmember.Group ends a timed-out probe by canceling
		// its context with the cause DeadlineExceeded.
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.recordTimeout(conn)
		}
		return nil, errors.Wrapf(err, "call %s of %s", name, addr)
	}
	c.recordReply(conn)
	return reply, nil
}

// connect waits until conn is established. No call is sent before that.
func (c *Client) connect(ctx context.Context, conn *peerConn) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	for {
		state := conn.grpc.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			conn.grpc.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.Errorf("connection to %s is in state %s", conn.addr, state)
		}
		if !conn.grpc.WaitForStateChange(ctx, state) {
			return errors.Wrapf(ctx.Err(), "connect to %s", conn.addr)
		}
	}
}

// acquire returns the connection to addr and protects it from eviction until release.
func (c *Client) acquire(addr string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if e := c.conns[addr]; e != nil {
		c.lru.MoveToFront(e)
		conn := e.Value.(*peerConn)
		conn.calls++
		return conn, nil
	}
	if !c.evict() {
		return nil, errors.Errorf("all %d peer connections are in use", c.cfg.MaxConnections)
	}
	grpcConn, err := grpc.NewClient("passthrough:///"+addr, c.dialOptions()...)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	c.opened++
	conn := &peerConn{addr: addr, grpc: grpcConn, calls: 1, lastReply: c.cfg.Clock.Now()}
	c.conns[addr] = c.lru.PushFront(conn)
	return conn, nil
}

// evict makes room for one connection by closing the least recently used one that has no
// running calls. It reports whether there is room. The caller holds c.mu.
func (c *Client) evict() bool {
	if c.lru.Len() < c.cfg.MaxConnections {
		return true
	}
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		if conn := e.Value.(*peerConn); conn.calls == 0 {
			c.retire(conn)
			return true
		}
	}
	return false
}

// retire removes conn from the cache and closes it once no calls are running on it, but
// after retireDelay at the latest. The caller holds c.mu.
func (c *Client) retire(conn *peerConn) {
	if conn.retired || c.closed {
		return
	}
	conn.retired = true
	c.lru.Remove(c.conns[conn.addr])
	delete(c.conns, conn.addr)
	if conn.calls == 0 {
		_ = conn.grpc.Close()
		return
	}
	c.cfg.Clock.After(retireDelay, func(time.Time) { _ = conn.grpc.Close() })
}

func (c *Client) release(conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	if conn.retired && conn.calls == 0 {
		_ = conn.grpc.Close()
	}
}

// recordTimeout counts a timeout on conn and retires an unresponsive connection.
func (c *Client) recordTimeout(conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.timeouts++
	if conn.timeouts >= replaceAfterTimeouts && c.cfg.Clock.Now().Sub(conn.lastReply) >= replaceAfterSilence {
		c.retire(conn)
	}
}

func (c *Client) recordReply(conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.timeouts, conn.lastReply = 0, c.cfg.Clock.Now()
}

func (c *Client) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodec(codec{}),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithMaxHeaderListSize(maxHeaderList),
		grpc.WithStatsHandler(c.stats),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: c.cfg.ConnectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	}
	return append(options, c.cfg.DialOptions...)
}
