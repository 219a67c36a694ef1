// Package trfakelink is a stand-in for the network between groups of processes:
// TCP forwarders that can be slowed, cut or made silent.
//
// A Network holds links. Each link listens on an address of its own, forwards
// to a target and belongs to a pair of named groups, for example two zones.
// Faults apply to all links from one group to another.
//
// # Usage
//
//	n := trfakelink.New(trfakelink.Config{Seed: 1})
//	defer n.Close()
//	addr, err := n.Add(trfakelink.Link{From: "a", To: "b", Target: leaf.Addr()})
//	n.Cut("a", "b", true)
//
// Chunks in transit are bounded per connection and direction. A full link stops
// reading, so that the sender feels it.
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

// AnyGroup stands for every group in a fault.
const AnyGroup = "*"

// Bounds of the bytes in transit per connection and direction.
const (
	chunkBytes = 16 << 10
	maxChunks  = 32
)

// dialTimeout bounds the connection to a target, which is on the same machine.
const dialTimeout = 2 * time.Second

// Config configures a Network. The zero value is usable.
type Config struct {
	Clock trclock.Clock `json:"-"`     // System if nil
	Seed  uint64        `json:"Seed"`  // of the jitter
	Links []Link        `json:"Links"` // links to open at the start
}

// Link is one forwarder.
type Link struct {
	From     string `json:"From"`     // group of the clients
	To       string `json:"To"`       // group of the target
	Listen   string `json:"Listen"`   // 127.0.0.1:0 if empty
	Target   string `json:"Target"`   // address
	DelayMs  int64  `json:"DelayMs"`  // one way
	JitterMs int64  `json:"JitterMs"` // added to the delay, uniform from 0
}

// Network is a set of links. Its methods are safe for concurrent use.
type Network struct {
	clock  trclock.Clock
	ctx    context.Context
	end    context.CancelFunc
	active sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	links []*forwarder
}

type forwarder struct {
	net      *Network
	listener net.Listener

	// Guarded by Network.mu.
	Link
	cut   bool
	pairs map[*pair]bool
}

// pair is one forwarded connection.
type pair struct {
	client, target net.Conn
	silent         atomic.Bool
	close          sync.Once
}

// New returns a network with the links of cfg.
func New(cfg Config) (*Network, error) {
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	n := &Network{clock: cfg.Clock, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	n.ctx, n.end = context.WithCancel(context.Background())
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
	f := &forwarder{net: n, listener: ln, Link: l, pairs: map[*pair]bool{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = ln.Close() // nothing was accepted
		return "", errors.New("network is closed")
	}
	n.links = append(n.links, f)
	n.active.Add(1)
	go f.accept()
	return l.Listen, nil
}

// Close closes all links and connections and waits for them to end.
func (n *Network) Close() {
	n.mu.Lock()
	n.end()
	links := n.links
	n.mu.Unlock()
	for _, f := range links {
		_ = f.listener.Close() // fails only if closed already
		f.closePairs()
	}
	n.active.Wait()
}

// Links returns the links as they are now.
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

// SetDelay sets delay and jitter of the links from one group to another.
func (n *Network) SetDelay(from, to string, delayMs, jitterMs int64) int {
	return n.each(from, to, func(f *forwarder) { f.DelayMs, f.JitterMs = delayMs, jitterMs })
}

// Cut closes the connections of the links from one group to another and closes
// new ones at once, or ends this.
func (n *Network) Cut(from, to string, on bool) int {
	var cut []*forwarder
	count := n.each(from, to, func(f *forwarder) {
		f.cut = on
		cut = append(cut, f)
	})
	if on {
		for _, f := range cut {
			f.closePairs()
		}
	}
	return count
}

// Silence lets the present connections of the links from one group to another
// carry nothing any more. They stay open until one end closes. New connections
// work.
func (n *Network) Silence(from, to string) int {
	return n.each(from, to, func(f *forwarder) {
		for p := range f.pairs {
			p.silent.Store(true)
		}
	})
}

// each calls change for the matching links and returns their number.
func (n *Network) each(from, to string, change func(*forwarder)) int {
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

func (f *forwarder) accept() {
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

// forward connects client to the target and carries bytes both ways until one
// side ends.
func (f *forwarder) forward(client net.Conn) {
	defer f.net.active.Done()
	p := f.open(client)
	if p == nil {
		reset(client)
		return
	}
	defer f.remove(p)
	var both sync.WaitGroup
	both.Go(func() { f.carry(p, p.target, p.client) })
	both.Go(func() { f.carry(p, p.client, p.target) })
	both.Wait()
}

// open returns nil if the link is cut or the target cannot be reached.
func (f *forwarder) open(client net.Conn) *pair {
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
	p := &pair{client: client, target: target}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if f.cut || f.net.ctx.Err() != nil {
		reset(target)
		return nil
	}
	f.pairs[p] = true
	return p
}

func (f *forwarder) remove(p *pair) {
	f.net.mu.Lock()
	delete(f.pairs, p)
	f.net.mu.Unlock()
	p.end(closeInOrder)
}

func (f *forwarder) closePairs() {
	f.net.mu.Lock()
	pairs := make([]*pair, 0, len(f.pairs))
	for p := range f.pairs {
		pairs = append(pairs, p)
	}
	f.net.mu.Unlock()
	for _, p := range pairs {
		p.end(reset)
	}
}

// end closes both sides: with a reset if the link is cut, else in order, so that
// data written before still arrives.
func (p *pair) end(how func(net.Conn)) {
	p.close.Do(func() {
		how(p.client)
		how(p.target)
	})
}

func closeInOrder(c net.Conn) {
	_ = c.Close() // nothing is left to do about a failure
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// chunk is a piece of data that is due at the other side. Empty data stands for
// the end of the connection.
type chunk struct {
	data []byte
	due  time.Time
}

// carry copies from one side to the other with the link's delay. An end of the
// data closes both sides after the data before it has arrived.
func (f *forwarder) carry(p *pair, to, from net.Conn) {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
			n, err := from.Read(data)
			if n > 0 && !p.silent.Load() {
				chunks <- chunk{data: data[:n], due: f.due()}
			}
			if err != nil {
				chunks <- chunk{due: f.due()}
				return
			}
		}
	})
	f.deliver(p, to, chunks)
	p.end(closeInOrder)
	for range chunks { // lets the reader end
	}
	reading.Wait()
}

func (f *forwarder) deliver(p *pair, to net.Conn, chunks <-chan chunk) {
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

// due returns the time at which a chunk read now arrives. Chunks of one
// direction are delivered in order, so jitter may delay later ones further.
func (f *forwarder) due() time.Time {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delay := time.Duration(f.DelayMs) * time.Millisecond
	if f.JitterMs > 0 {
		delay += time.Duration(f.net.rng.Int64N(f.JitterMs * int64(time.Millisecond)))
	}
	return f.net.clock.Now().Add(delay)
}
