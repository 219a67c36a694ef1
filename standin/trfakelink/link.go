// Package trfakelink is a stand-in for the network between groups of processes. It
// consists of TCP forwarders that can be delayed, cut, or made to drop all data
// silently.
//
// A Network holds links. Each link listens on its own address, forwards to a target
// and belongs to a pair of named groups, for example two availability zones. Faults
// apply to all links from one group to another.
//
// # Usage
//
//	n := trfakelink.New(trfakelink.Config{Seed: 1})
//	defer n.Close()
//	addr, err := n.Add(trfakelink.Link{From: "a", To: "b", Target: leaf.Addr()})
//	n.Cut("a", "b", true)
//
// The number of chunks in transit is bounded per connection and direction. At the bound
// a link stops reading, so that the sender gets backpressure.
package trfakelink

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// AnyGroup matches every group when a fault is applied.
const AnyGroup = "*"

// Limits of the data in transit per connection and direction.
const (
	chunkBytes = 16 << 10
	maxChunks  = 32
)

// dialTimeout limits dialing a target, which is on the same machine.
const dialTimeout = 2 * time.Second

// Config configures a Network. The zero value is usable.
type Config struct {
	Clock trclock.Clock `json:"-"`     // trclock.System if nil
	Seed  uint64        `json:"Seed"`  // seed of the jitter
	Links []Link        `json:"Links"` // links that New opens
}

// Link configures a TCP forwarder from its own address to a target.
type Link struct {
	From     string `json:"From"`     // group of the clients
	To       string `json:"To"`       // group of the target
	Listen   string `json:"Listen"`   // 127.0.0.1:0 if empty
	Target   string `json:"Target"`   // address
	DelayMs  int64  `json:"DelayMs"`  // one way
	JitterMs int64  `json:"JitterMs"` // extra delay, uniformly distributed from 0 to JitterMs
}

// Network is a set of links. Its methods are safe for concurrent use.
type Network struct {
	clock  trclock.Clock
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	links []*activeLink
}

// activeLink is a Link that accepts connections, with its state.
type activeLink struct {
	net      *Network
	listener net.Listener

	// Guarded by Network.mu.
	Link
	cut   bool
	pairs map[*connPair]bool
}

// connPair is a forwarded connection.
type connPair struct {
	client, target net.Conn
	silent         atomic.Bool
	closeOnce      sync.Once
}

// New returns a network with the links of cfg open.
func New(cfg Config) (*Network, error) {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	n := &Network{clock: cfg.Clock, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, l := range cfg.Links {
		if _, err := n.Add(l); err != nil {
			n.Close()
			return nil, err
		}
	}
	return n, nil
}

// Add opens a link and returns the address that it listens on.
func (n *Network) Add(l Link) (string, error) {
	if l.Listen == "" {
		l.Listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return "", errors.Wrapf(err, "listen for link to %q", l.Target)
	}
	l.Listen = ln.Addr().String()
	f := &activeLink{net: n, listener: ln, Link: l, pairs: map[*connPair]bool{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = ln.Close() // nothing was accepted
		return "", errors.New("network is closed")
	}
	n.links = append(n.links, f)
	n.active.Add(1)
	go f.acceptLoop()
	return l.Listen, nil
}

// Close closes all links and connections and waits for them to end.
func (n *Network) Close() {
	n.mu.Lock()
	n.cancel()
	links := n.links
	n.mu.Unlock()
	for _, f := range links {
		_ = f.listener.Close() // fails only if closed already
		f.resetPairs()
	}
	n.active.Wait()
}

// Links returns the current state of all links.
func (n *Network) Links() []Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := []Status{}
	for _, f := range n.links {
		list = append(list, Status{Link: f.Link, Cut: f.cut, Conns: len(f.pairs)})
	}
	return list
}

// Status is a link with its state.
type Status struct {
	Link
	Cut   bool `json:"Cut"`
	Conns int  `json:"Conns"`
}

// SetDelay sets the delay and the jitter of the links from one group to another and
// returns the number of these links.
func (n *Network) SetDelay(from, to string, delayMs, jitterMs int64) int {
	return n.updateLinks(from, to, func(f *activeLink) { f.DelayMs, f.JitterMs = delayMs, jitterMs })
}

// Cut cuts the links from one group to another if on is true, and restores them
// otherwise. It returns the number of these links. A cut link resets its connections
// and all new ones.
func (n *Network) Cut(from, to string, on bool) int {
	var cut []*activeLink
	count := n.updateLinks(from, to, func(f *activeLink) {
		f.cut = on
		cut = append(cut, f)
	})
	if on {
		for _, f := range cut {
			f.resetPairs()
		}
	}
	return count
}

// Silence makes the current connections of the links from one group to another drop all
// data. They stay open until one end closes them. New connections work. Silence
// returns the number of these links.
func (n *Network) Silence(from, to string) int {
	return n.updateLinks(from, to, func(f *activeLink) {
		for p := range f.pairs {
			p.silent.Store(true)
		}
	})
}

// updateLinks calls change for each matching link and returns their number.
func (n *Network) updateLinks(from, to string, change func(*activeLink)) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, f := range n.links {
		if (from == AnyGroup || from == f.From) && (to == AnyGroup || to == f.To) {
			change(f)
			count++
		}
	}
	return count
}

func (f *activeLink) acceptLoop() {
	defer f.net.active.Done()
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.net.active.Add(1)
		go f.forward(client)
	}
}

// forward connects client to the target and relays data in both directions until one
// end closes.
func (f *activeLink) forward(client net.Conn) {
	defer f.net.active.Done()
	p := f.connect(client)
	if p == nil {
		reset(client)
		return
	}
	defer f.remove(p)
	var wg sync.WaitGroup
	wg.Go(func() { f.relay(p, p.target, p.client) })
	wg.Go(func() { f.relay(p, p.client, p.target) })
	wg.Wait()
}

// connect dials the target for client. It returns nil if the link is cut or the target
// cannot be reached.
func (f *activeLink) connect(client net.Conn) *connPair {
	f.net.mu.Lock()
	cut := f.cut
	f.net.mu.Unlock()
	if cut {
		return nil
	}
	target, err := net.DialTimeout("tcp", f.Target, dialTimeout)
	if err != nil {
		return nil
	}
	p := &connPair{client: client, target: target}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if f.cut || f.net.ctx.Err() != nil {
		reset(target)
		return nil
	}
	f.pairs[p] = true
	return p
}

func (f *activeLink) remove(p *connPair) {
	f.net.mu.Lock()
	delete(f.pairs, p)
	f.net.mu.Unlock()
	p.closeWith(closeGracefully)
}

func (f *activeLink) resetPairs() {
	f.net.mu.Lock()
	pairs := make([]*connPair, 0, len(f.pairs))
	for p := range f.pairs {
		pairs = append(pairs, p)
	}
	f.net.mu.Unlock()
	for _, p := range pairs {
		p.closeWith(reset)
	}
}

// closeWith closes both ends by closeConn, which is reset if the link is cut or
// the network is closed, and closeGracefully otherwise. Only the first call has an effect.
func (p *connPair) closeWith(closeConn func(net.Conn)) {
	p.closeOnce.Do(func() {
		closeConn(p.client)
		closeConn(p.target)
	})
}

// closeGracefully closes a connection so that data written before still arrives.
func closeGracefully(c net.Conn) {
	_ = c.Close() // an error needs no handling, the connection is no longer used
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// chunk is a piece of data with the time at which it is due at the other end. Empty
// data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// relay copies from one end to the other with the link's delay. At the end of the
// stream it closes both ends, after the data before it has been delivered.
func (f *activeLink) relay(p *connPair, to, from net.Conn) {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			if n > 0 && !p.silent.Load() {
				chunks <- chunk{data: data[:n], due: f.dueTime()}
			}
			if err != nil {
				chunks <- chunk{due: f.dueTime()}
				return
			}
		}
	})
	f.deliver(p, to, chunks)
	p.closeWith(closeGracefully)
	for range chunks { // drain, so that the reader can finish
	}
	reading.Wait()
}

// deliver writes each chunk when it is due, until the end of the stream or an error.
func (f *activeLink) deliver(p *connPair, to net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		wait := c.due.Sub(f.net.clock.Now())
		if wait > 0 && trclock.Sleep(f.net.ctx, f.net.clock, wait) != nil {
			return
		}
		if len(c.data) == 0 {
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// dueTime returns the time at which a chunk read now is due. Chunks of one direction
// are delivered in order, so the jitter of one chunk may also delay later ones.
func (f *activeLink) dueTime() time.Time {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delay := time.Duration(f.DelayMs) * time.Millisecond
	if f.JitterMs > 0 {
		delay += time.Duration(f.net.rng.Int64N(f.JitterMs * int64(time.Millisecond)))
	}
	return f.net.clock.Now().Add(delay)
}
