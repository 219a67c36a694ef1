package trpeer

import (
	"context"
	"path"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the payload of one method with its gRPC frame header, without
// HTTP/2 headers.
type Traffic struct {
	Calls, BytesIn, BytesOut uint64
}

type trafficCounter struct {
	calls, in, out atomic.Uint64
}

// byteCounter is a stats.Handler that counts bytes per method and marks calls of
// which something was handed to the connection.
type byteCounter struct {
	methods map[string]*trafficCounter // fixed after construction
}

func newByteCounter() *byteCounter {
	b := &byteCounter{methods: make(map[string]*trafficCounter)}
	for _, name := range []string{"Exchange", "ProbeFor", "Push", "Forward"} {
		b.methods[name] = new(trafficCounter)
	}
	return b
}

func (b *byteCounter) traffic() map[string]Traffic {
	all := make(map[string]Traffic, len(b.methods))
	for name, c := range b.methods {
		all[name] = Traffic{c.calls.Load(), c.in.Load(), c.out.Load()}
	}
	return all
}

type counterKey struct{}

// sentKey is the context key of an *atomic.Bool that is set when a call's header
// has been handed to the connection.
type sentKey struct{}

func (b *byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, counterKey{}, b.methods[path.Base(info.FullMethodName)])
}

func (b *byteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(counterKey{}).(*trafficCounter)
	switch s := s.(type) {
	case *stats.OutHeader:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	case *stats.InPayload:
		if c != nil {
			c.in.Add(uint64(s.WireLength))
		}
	case *stats.OutPayload:
		if c != nil {
			c.out.Add(uint64(s.WireLength))
		}
	case *stats.Begin:
		if c != nil {
			c.calls.Add(1)
		}
	}
}

func (b *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (b *byteCounter) HandleConn(context.Context, stats.ConnStats) {}
