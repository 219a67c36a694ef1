// Package trpeer carries messages between instances over gRPC with msgpack encoding.
//
// The service has the methods Exchange, ProbeFor and Push of a trmember.Group
// and Forward, which forwards a whole request to another instance. Gateway instances also
// pass on merged queries with Relay. The service
// descriptor is written by hand; there is no generated code.
//
// # Usage
//
//	server := trpeer.NewServer(handler) // handler may embed a *trmember.Group
//	go server.Serve(listener)
//	defer server.Stop(ctx)
//
//	client := trpeer.NewClient(trpeer.ClientConfig{})
//	defer client.Close()
//	answer, err := client.Forward(ctx, addr, &trpeer.ForwardRequest{Request: req, Hops: 1})
//
// A Client is a trmember.Transport. An error of Forward is either a *trwire.Refusal
// returned by the peer or a *ForwardError, which tells whether the request may have
// reached the peer.
package trpeer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"tanagerrock/core/trmember"
	"tanagerrock/core/trpanic"
	"tanagerrock/core/trwire"
)

const serviceName = "tanagerrock.Peer"

// MaxMessageBytes limits the size of a message. It leaves room for a full member list, a
// document of trwire.MaxValueBytes, or an answer of trwire.MaxReplyBytes with its framing.
const MaxMessageBytes = trwire.MaxReplyBytes + 1<<20

// MaxHops limits how often a request is forwarded: to a sender, to the home of its
// request ID, and once more if a sender table was stale.
const MaxHops = 3

const (
	// keepaliveTime is the shortest interval that grpc-go allows a client.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// minPingPeriod is below keepaliveTime, so that the server does not close a
	// connection because of a slightly early ping.
	minPingPeriod = 5 * time.Second
	// maxStreams limits the concurrent calls of one peer on a connection.
	maxStreams = 1_024
	// maxHeaderList limits the headers of a call in bytes; those of instances take some
	// hundred. grpc-go would accept 16 MB.
	maxHeaderList = 16 << 10
	// openTime limits the time in which a client must open the connection. grpc-go would
	// wait for two minutes.
	openTime = 3 * time.Second
)

// ForwardRequest forwards a whole request to another instance.
type ForwardRequest struct {
	Request trwire.Request `json:"Request"`
	From    string         `json:"From"` // ID of the forwarding instance
	Hops    int            `json:"Hops"` // forwards so far, including this one
}

// Check reports the first error in the message.
func (f *ForwardRequest) Check() error {
	if f.Hops < 1 || f.Hops > MaxHops {
		return errors.Errorf("hop count %d is not between 1 and %d", f.Hops, MaxHops)
	}
	if size := len(f.Request.Body) + len(f.Request.Terms); size > trwire.MaxRequestBytes {
		return errors.Errorf("body and terms of the request have %d bytes, limit is %d", size, trwire.MaxRequestBytes)
	}
	return f.Request.Check()
}

// ForwardReply holds either an answer or a refusal.
type ForwardReply struct {
	Answer  *trwire.Answer  `json:"Answer,omitempty"`
	Refusal *trwire.Refusal `json:"Refusal,omitempty"`
}

// Check reports the first error in the message.
func (f *ForwardReply) Check() error {
	switch {
	case (f.Answer == nil) == (f.Refusal == nil):
		return errors.New("reply must hold exactly one of answer and refusal")
	case f.Answer != nil:
		return f.Answer.Check()
	}
	return f.Refusal.Check()
}

// Handler handles the messages of other instances. The server checks each message
// before it calls the handler.
type Handler interface {
	Exchange(ctx context.Context, m *trmember.Exchange) (*trmember.Exchange, error)
	ProbeFor(ctx context.Context, m *trmember.ProbeRequest) (*trmember.ProbeReply, error)
	Push(ctx context.Context, m *trmember.Push) (*trmember.PushReply, error)
	// Forward runs a forwarded request. ctx is done when the forwarding instance cancels
	// the call or the deadline of the call passes.
	Forward(ctx context.Context, m *ForwardRequest) (*trwire.Answer, *trwire.Refusal)
}

// Server serves a Handler over gRPC. A panic while a message is decoded or handled fails
// the call with codes.Internal; the process goes on.
type Server struct {
	// OnPanic, if set, is called with each recovered panic. It must be set before Serve.
	OnPanic func(err error)

	grpc  *grpc.Server
	stats *statsHandler
}

// NewServer returns a server for h with further options. Serve starts it.
func NewServer(h Handler, options ...grpc.ServerOption) *Server {
	s := &Server{stats: newStatsHandler()}
	s.grpc = grpc.NewServer(append([]grpc.ServerOption{
		grpc.ForceServerCodec(codec{}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.StatsHandler(s.stats),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingPeriod, PermitWithoutStream: true}),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.ConnectionTimeout(openTime),
	}, options...)...)
	s.grpc.RegisterService(&serviceDesc, &guardedHandler{h, s})
	return s
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop waits for running calls to finish and closes all connections. Calls that are
// still running when ctx is done are canceled.
func (s *Server) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
}

// Traffic returns the number of calls and the bytes received and sent per method.
func (s *Server) Traffic() map[string]Traffic { return s.stats.traffic() }

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		method("Exchange", Handler.Exchange),
		method("ProbeFor", Handler.ProbeFor),
		method("Push", Handler.Push),
		method("Forward", forward),
		relayMethod(),
	},
}

// guardedHandler is a Handler whose server learns of panics.
type guardedHandler struct {
	Handler
	server *Server
}

// guard calls f and turns a panic into an error.
func (h *guardedHandler) guard(method string, f func() (any, error)) (reply any, err error) {
	panicked := trpanic.Do(func() { reply, err = f() })
	if panicked == nil {
		return reply, err
	}
	if h.server.OnPanic != nil {
		h.server.OnPanic(errors.Wrap(panicked, "message "+method))
	}
	return nil, status.Error(codes.Internal, "internal error")
}

func forward(h Handler, ctx context.Context, m *ForwardRequest) (*ForwardReply, error) {
	answer, refusal := h.Forward(ctx, m)
	return &ForwardReply{Answer: answer, Refusal: refusal}, nil
}

func method[Req, Rep any](name string, call func(Handler, context.Context, *Req) (*Rep, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			h := srv.(*guardedHandler)
			return h.guard(name, func() (any, error) {
				req := new(Req)
				if err := decode(req); err != nil {
					return nil, err
				}
				return call(h.Handler, ctx, req)
			})
		},
	}
}
