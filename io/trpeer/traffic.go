package trpeer

import (
	"context"
	"path"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the calls of one method and the bytes of their messages, including the
// gRPC frame headers and excluding the HTTP/2 headers.
type Traffic struct {
	Calls, BytesIn, BytesOut uint64
}

type trafficCounter struct {
	calls, in, out atomic.Uint64
}

// statsHandler is a stats.Handler that counts calls and bytes per method and marks the
// calls whose header was passed to the connection.
type statsHandler struct {
	methods map[string]*trafficCounter // fixed after construction
}

func newStatsHandler() *statsHandler {
	h := &statsHandler{methods: make(map[string]*trafficCounter)}
	for _, name := range []string{"Exchange", "ProbeFor", "Push", "Forward"} {
		h.methods[name] = new(trafficCounter)
	}
	return h
}

func (h *statsHandler) traffic() map[string]Traffic {
	all := make(map[string]Traffic, len(h.methods))
	for name, c := range h.methods {
		all[name] = Traffic{c.calls.Load(), c.in.Load(), c.out.Load()}
	}
	return all
}

type counterKey struct{}

// sentKey is the context key of an *atomic.Bool that is set when the header of a call
// has been passed to the connection.
type sentKey struct{}

func (h *statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, counterKey{}, h.methods[path.Base(info.FullMethodName)])
}

func (h *statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
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

func (h *statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h *statsHandler) HandleConn(context.Context, stats.ConnStats) {}
