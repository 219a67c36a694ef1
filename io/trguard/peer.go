package trguard

import (
	"context"

	"google.golang.org/grpc/stats"

	"tanagerrock/core/trintake"
)

// callOverhead is what the headers and frames of a gRPC call take on the connection, in
// bytes, beside its message. It is an upper estimate, so that the bytes of ended calls do
// not add up on a connection that always has one running.
const callOverhead = 1 << 10

// messageFactor is the memory of a gRPC message in relation to its bytes: it is copied into
// one piece before it is decoded.
const messageFactor = 2

// freePeerBytes is what peerConnBytes includes for messages: most exchanges between
// instances fit.
const freePeerBytes = 8 << 10

// reservePeer reserves the memory of gRPC messages as their bytes arrive. A connection for
// which there is none is cut off.
func (c *Conn) reservePeer(n int64) {
	c.mu.Lock()
	c.received += messageFactor * n
	missing := c.received - freePeerBytes - c.msgHeld
	c.mu.Unlock()
	if missing <= 0 {
		return
	}
	step := missing + peerStep
	if c.account.Reserve(step) != nil {
		c.cutOff()
		return
	}
	c.mu.Lock()
	c.msgHeld += step
	c.mu.Unlock()
}

// enterPeer derives the stage of the connection from its calls. The caller holds mu.
func (c *Conn) enterPeer() {
	switch {
	case c.calls == 0:
		c.account.Enter(trintake.Idle)
	case c.complete < c.calls:
		c.account.Enter(trintake.Head)
	default:
		c.account.Enter(trintake.Running)
	}
}

// beginCall counts a running call.
func (c *Conn) beginCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.enterPeer()
}

// completeCall counts a call whose message was read completely.
func (c *Conn) completeCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete++
	c.enterPeer()
}

// endCall gives back what a call with a message of size bytes took; 0 if the message was
// not read completely.
func (c *Conn) endCall(size int64) {
	c.mu.Lock()
	c.calls--
	if size > 0 {
		c.complete--
	}
	c.enterPeer()
	c.received = max(0, c.received-messageFactor*size-callOverhead)
	if c.calls == 0 {
		c.received = 0
	}
	release := int64(0)
	if c.calls == 0 || c.msgHeld-c.received > 4*peerStep {
		release = max(0, c.msgHeld-c.received)
		c.msgHeld -= release
	}
	c.mu.Unlock()
	c.account.Release(release)
}

// PeerStats is a stats.Handler of the gRPC server of a PeerListener. It gives back the
// memory of calls that have ended.
type PeerStats struct{ Guard *Guard }

// peerConnKey and peerCallKey are context keys of a connection and of a call.
type (
	peerConnKey struct{}
	peerCallKey struct{}
)

// peerCall is a running call. Its events are handled one after the other.
type peerCall struct {
	conn *Conn
	size int64
}

// TagConn implements stats.Handler.
func (s PeerStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	s.Guard.mu.Lock()
	defer s.Guard.mu.Unlock()
	return context.WithValue(ctx, peerConnKey{}, s.Guard.peers[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (s PeerStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (s PeerStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c, _ := ctx.Value(peerConnKey{}).(*Conn)
	if c == nil {
		return ctx
	}
	c.beginCall()
	return context.WithValue(ctx, peerCallKey{}, &peerCall{conn: c})
}

// HandleRPC implements stats.Handler.
func (s PeerStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	call, _ := ctx.Value(peerCallKey{}).(*peerCall)
	if call == nil {
		return
	}
	switch event := event.(type) {
	case *stats.InPayload:
		call.size = int64(event.WireLength)
		call.conn.completeCall()
	case *stats.End:
		call.conn.endCall(call.size)
	}
}
