package trpeer

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
)

// testPeer is an instance on loopback with a group, a server and a client.
type testPeer struct {
	*trmember.Group
	addr    string
	server  *Server
	client  *Client
	forward func(ctx context.Context, m *ForwardRequest) (*trwire.Answer, *trwire.Refusal)
}

func (p *testPeer) Forward(ctx context.Context, m *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	return p.forward(ctx, m)
}

func newPeer(t *testing.T, id string, seeds ...string) *testPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &testPeer{addr: l.Addr().String(), client: NewClient(ClientConfig{ConnectTimeout: 5 * time.Second, CallTimeout: time.Minute})}
	p.Group = trmember.NewGroup(trmember.Config{
		Self: trmember.Member{ID: id, Zone: "a", PeerAddr: p.addr}, Seeds: seeds,
		Clock: trclock.System(), Seed: 1, Transport: p.client,
		Period: 20 * time.Millisecond, ProbeTimeout: 5 * time.Second,
	})
	p.server = NewServer(p)
	go func() { _ = p.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.client.Close()
		p.server.Stop(ctx)
	})
	return p
}

func testRequest() *ForwardRequest {
	return &ForwardRequest{From: "a", Hops: 1, Request: trwire.Request{
		RequestID: "r1", Tenant: "t", Class: "c", Service: "s", Kind: trwire.Execute, Key: "k", Body: json.RawMessage(`{"a":1}`),
	}}
}

// Guards against groups that do not find each other or do not disseminate documents over
// real connections.
func TestGroupsOverLoopback(t *testing.T) {
	a := newPeer(t, "a")
	b := newPeer(t, "b", a.addr)
	joined, got := make(chan bool, 64), make(chan trmember.Document, 64)
	a.Subscribe(func(list []trmember.Member) {
		if len(list) == 2 {
			joined <- true
		}
	})
	b.Documents().Subscribe(trmember.DocumentConfig, func(d trmember.Document) { got <- d })
	a.Start()
	b.Start()
	<-joined
	body := strings.Repeat("x", 100_000)
	assert.Assert(t, a.Documents().Set(trmember.Document{Name: trmember.DocumentConfig, Revision: 3, Body: []byte(body)}))
	assert.Equal(t, string((<-got).Body), body)
	a.Leave(context.Background())
	b.Leave(context.Background())
	assert.Assert(t, a.server.Traffic()["Exchange"].BytesIn > 0)
	assert.Assert(t, b.client.Traffic()["Exchange"].BytesOut > 0)
}

// Guards against answers and refusals that are altered in transit.
func TestForward(t *testing.T) {
	a, b := newPeer(t, "a"), newPeer(t, "b")
	b.forward = func(_ context.Context, m *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
		return &trwire.Answer{
			RequestID: m.Request.RequestID, Version: 1 << 60, Result: m.Request.Body,
			Records:  []trwire.Record{{Key: "k", Score: 0.1}},
			Coverage: trwire.Coverage{Shards: 1, ShardsTotal: 2, Missing: []trwire.MissingShard{{Shard: 1, Reason: trwire.MissTimeout}}},
		}, nil
	}
	answer, err := a.client.Forward(context.Background(), b.addr, testRequest())
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, &trwire.Answer{
		RequestID: "r1", Version: 1 << 60, Result: json.RawMessage(`{"a":1}`),
		Records:  []trwire.Record{{Key: "k", Score: 0.1}},
		Coverage: trwire.Coverage{Shards: 1, ShardsTotal: 2, Missing: []trwire.MissingShard{{Shard: 1, Reason: trwire.MissTimeout}}},
	})
	b.forward = func(context.Context, *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
		return nil, &trwire.Refusal{Kind: trwire.Overloaded, Reason: "full", RetryAfterMs: 7}
	}
	_, err = a.client.Forward(context.Background(), b.addr, testRequest())
	assert.DeepEqual(t, trwire.AsRefusal(err), &trwire.Refusal{Kind: trwire.Overloaded, Reason: "full", RetryAfterMs: 7})
}

// Guards against reporting a request that may have run as not sent, and a request that
// was never sent as possibly run.
func TestForwardMayRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, but nothing responds
	assert.NilError(t, err)
	defer unresponsive.Close()
	a, b := newPeer(t, "a"), newPeer(t, "b")
	a.client.cfg.ConnectTimeout = 100 * time.Millisecond
	reached := make(chan bool, 8)
	emptyReply := func(context.Context, *ForwardRequest) (*trwire.Answer, *trwire.Refusal) { return nil, nil }
	for _, tc := range []struct {
		name   string
		addr   string
		req    *ForwardRequest
		mayRun bool
		act    func(cancel func())
	}{
		{"refused", closed.Addr().String(), testRequest(), false, func(func()) {}},
		{"no handshake", unresponsive.Addr().String(), testRequest(), false, func(func()) {}},
		{"too many hops", b.addr, &ForwardRequest{Hops: MaxHops + 1, Request: testRequest().Request}, false, func(func()) {}},
		{"canceled while running", b.addr, testRequest(), true, func(cancel func()) { <-reached; cancel() }},
		{"reply without answer", b.addr, testRequest(), true, func(func()) { b.forward = emptyReply }},
		{"server ends", b.addr, testRequest(), true, func(func()) { <-reached; b.server.grpc.Stop() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ended := make(chan bool, 1)
			b.forward = func(ctx context.Context, _ *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
				reached <- true
				<-ctx.Done()
				ended <- true
				return nil, trwire.Refuse(trwire.OutcomeUnknown, "canceled")
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tc.name == "reply without answer" {
				tc.act(cancel)
			} else {
				go tc.act(cancel)
			}
			_, err := a.client.Forward(ctx, tc.addr, tc.req)
			var forward *ForwardError
			assert.Assert(t, errors.As(err, &forward), "%v", err)
			assert.Equal(t, forward.MayHaveRun, tc.mayRun, "%v", err)
			if strings.Contains(tc.name, "while running") {
				<-ended
			}
		})
	}
}

// Guards against passing malformed or oversized messages to the handler.
func TestServerRejectsBadMessages(t *testing.T) {
	a, b := newPeer(t, "a"), newPeer(t, "b")
	ctx := context.Background()
	_, err := a.client.Exchange(ctx, b.addr, &trmember.Exchange{From: trmember.Member{ID: "x", State: "Odd", PeerAddr: "y"}})
	assert.ErrorContains(t, err, "unknown state")
	big := &trmember.Push{From: "a", Document: &trmember.Document{Name: "config", Revision: 1, Body: make([]byte, MaxMessageBytes)}}
	_, err = a.client.Push(ctx, b.addr, big)
	assert.ErrorContains(t, err, "larger than max")
	assert.ErrorContains(t, codec{}.Unmarshal([]byte{0x80, 0x80}, new(trmember.PushReply)), "followed by")
	assert.ErrorContains(t, codec{}.Unmarshal([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}, new(trmember.Exchange)), "decode")
	assert.Equal(t, len(b.Members()), 1)
}

// Guards against exceeding MaxConnections, keeping an unresponsive connection, and
// replacing a connection to a peer that is merely slow.
func TestClientConnections(t *testing.T) {
	a := newPeer(t, "a")
	var clock trclock.Manual
	a.client.cfg.MaxConnections, a.client.cfg.Clock = 2, &clock
	var peers []*testPeer
	ctx := context.Background()
	for _, id := range []string{"b", "c", "d", "e"} {
		p := newPeer(t, id)
		peers = append(peers, p)
		_, err := a.client.Push(ctx, p.addr, &trmember.Push{From: "a"})
		assert.NilError(t, err)
	}
	cached, opened := a.client.Connections()
	assert.Equal(t, cached, 2)
	assert.Equal(t, opened, uint64(4))
	e := peers[3]
	reached := make(chan bool, 1)
	e.forward = func(ctx context.Context, _ *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
		reached <- true
		<-ctx.Done()
		return nil, trwire.Refuse(trwire.OutcomeUnknown, "late")
	}
	for i := range 2 * replaceAfterTimeouts {
		if i == replaceAfterTimeouts {
			_, opened = a.client.Connections()
			assert.Equal(t, opened, uint64(4), "connection was replaced before replaceAfterSilence")
			clock.Advance(replaceAfterSilence)
		}
		ctx, cancel := context.WithCancelCause(ctx)
		go func() {
			<-reached
			cancel(context.DeadlineExceeded)
		}()
		_, err := a.client.Forward(ctx, e.addr, testRequest())
		assert.Assert(t, err != nil)
	}
	_, err := a.client.Push(ctx, e.addr, &trmember.Push{From: "a"})
	assert.NilError(t, err)
	_, opened = a.client.Connections()
	assert.Equal(t, opened, uint64(5))
	a.client.Close()
	_, err = a.client.Push(ctx, e.addr, &trmember.Push{From: "a"})
	assert.ErrorIs(t, err, ErrClosed)
}

// panickingHandler panics while it handles a message.
type panickingHandler struct{ Handler }

func (panickingHandler) Push(context.Context, *trmember.Push) (*trmember.PushReply, error) {
	panic("injected")
}

func (panickingHandler) Forward(context.Context, *ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	panic("injected")
}

// Guards against a message of a peer that ends the process, and against a forwarded
// request that counts as not run although its handling had begun.
func TestPanicInMessageFailsOnlyItsCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(panickingHandler{})
	panics := make(chan error, 10)
	server.OnPanic = func(err error) { panics <- err }
	go func() { _ = server.Serve(l) }()
	client := NewClient(ClientConfig{})
	defer client.Close()
	defer server.Stop(context.Background())
	for range 3 {
		_, err = client.Push(context.Background(), l.Addr().String(), &trmember.Push{})
		assert.ErrorContains(t, err, "internal error")
		assert.ErrorContains(t, <-panics, "injected")
	}
	_, err = client.Forward(context.Background(), l.Addr().String(), testRequest())
	var failure *ForwardError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.MayHaveRun)
	assert.ErrorContains(t, <-panics, "injected")
}
