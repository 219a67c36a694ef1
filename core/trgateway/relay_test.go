package trgateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// fakeRelaySender calls a function in place of other instances.
type fakeRelaySender struct {
	send func(ctx context.Context, req *trgateway.Request, version uint64) trgateway.RelayOutcome

	mu   sync.Mutex
	sent int
}

func (s *fakeRelaySender) SendRelay(ctx context.Context, _ trgateway.RelayInstance, req *trgateway.Request, version uint64) trgateway.RelayOutcome {
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	return s.send(ctx, req, version)
}

// total returns the number of queries passed on.
func (s *fakeRelaySender) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// relayTo makes the fixture pass its merged queries on to one relay.
func (f *fixture) relayTo(send func(ctx context.Context, req *trgateway.Request, version uint64) trgateway.RelayOutcome) *fakeRelaySender {
	relays := &trgateway.RelaySet{Zone: "a", MilliCores: 200}
	relays.Update([]trgateway.RelayInstance{{ID: "big", Zone: "a", MilliCores: 800}})
	sender := &fakeRelaySender{send: send}
	f.Gateway = trgateway.New(trgateway.Config{
		Clock: trclock.System(), Tables: &f.cache, Sender: f.sender, Zone: "a", Seed: 1, RelaySender: sender, Relays: relays,
		Bounds: trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second},
	})
	return sender
}

// processor is the processor of an instance. Work of several goroutines takes turns.
type processor struct {
	free chan struct{} // holds a value while the processor is free
	cost time.Duration // of one message
}

func newProcessor(cost time.Duration) *processor {
	p := &processor{free: make(chan struct{}, 1), cost: cost}
	p.free <- struct{}{}
	return p
}

// reply returns a reply function of upstreams that answer after 10 ms, for an instance that
// needs time to send each request and to read each reply.
func (p *processor) reply(ctx context.Context, _ *trdirectory.Upstream) trgateway.Outcome {
	p.use()
	out := after(ctx, 10*time.Millisecond, ok("x"))
	p.use()
	return out
}

func (p *processor) use() {
	<-p.free
	time.Sleep(p.cost)
	p.free <- struct{}{}
}

// TestSlowInstanceAnswersWholeThroughRelay guards against partial answers of an instance
// that needs longer for the parts of a query than its objective, beside an instance with
// four times its processor time.
func TestSlowInstanceAnswersWholeThroughRelay(t *testing.T) {
	const shards, queries = 100, 20
	whole := func(t *testing.T, relayed bool) (n int) {
		bubble(t, func(t *testing.T) {
			slow := newProcessor(time.Millisecond)
			fast := newProcessor(time.Millisecond / 4)
			f := newFixture(directory(shards), slow.reply)
			big := newFixture(directory(shards), fast.reply)
			if relayed {
				f.relayTo(func(ctx context.Context, req *trgateway.Request, version uint64) trgateway.RelayOutcome {
					return trgateway.RelayOutcome{Response: big.ServeRelayed(ctx, req, version)}
				})
			}
			for range queries {
				if resp := f.get("/search/x"); resp.Status == 200 && resp.Missing == 0 {
					n++
				}
				time.Sleep(4 * time.Second)
			}
		})
		return n
	}
	assert.Assert(t, whole(t, false) < queries/2)
	assert.Equal(t, whole(t, true), queries)
}

// TestFailureOfRelay guards against queries that fail although their relay has sent
// nothing, queries for which both instances ask upstreams, and a failing relay that is
// asked again at once.
func TestFailureOfRelay(t *testing.T) {
	failed := func(sent bool) func(context.Context, *trgateway.Request, uint64) trgateway.RelayOutcome {
		return func(context.Context, *trgateway.Request, uint64) trgateway.RelayOutcome {
			return trgateway.RelayOutcome{Sent: sent, Err: errors.New("injected")}
		}
	}
	for _, tc := range []struct {
		name   string
		relay  func(context.Context, *trgateway.Request, uint64) trgateway.RelayOutcome
		status int
	}{
		{"declined", func(context.Context, *trgateway.Request, uint64) trgateway.RelayOutcome {
			return trgateway.RelayOutcome{Declined: true}
		}, http.StatusOK},
		{"not sent", failed(false), http.StatusOK},
		{"sent", failed(true), http.StatusBadGateway},
		{"silent", func(ctx context.Context, _ *trgateway.Request, _ uint64) trgateway.RelayOutcome {
			<-ctx.Done()
			return trgateway.RelayOutcome{Sent: true, Err: ctx.Err()}
		}, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFixture(directory(4), func(ctx context.Context, _ *trdirectory.Upstream) trgateway.Outcome {
					return after(ctx, 10*time.Millisecond, ok("x"))
				})
				relay := f.relayTo(tc.relay)
				began := time.Now()
				resp := f.get("/search/x")
				assert.Equal(t, resp.Status, tc.status)
				assert.Equal(t, f.sender.total() > 0, tc.status == http.StatusOK)
				assert.Assert(t, time.Since(began) < 800*time.Millisecond)
				resp = f.get("/search/x")
				assert.Equal(t, resp.Status, http.StatusOK)
				assert.Equal(t, resp.Missing, 0)
				assert.Equal(t, relay.total(), 1)
			})
		})
	}
}

// TestOverdueRelayIsAvoided guards against further queries that are lost at a relay that
// has stopped to answer, while the first one is still waited for.
func TestOverdueRelayIsAvoided(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(4), func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return ok("x") })
		relay := f.relayTo(func(ctx context.Context, _ *trgateway.Request, _ uint64) trgateway.RelayOutcome {
			<-ctx.Done()
			return trgateway.RelayOutcome{Sent: true, Err: ctx.Err()}
		})
		var wg sync.WaitGroup
		wg.Go(func() { f.get("/search/x") })
		time.Sleep(objective)
		assert.Equal(t, f.get("/search/x").Status, http.StatusOK)
		assert.Equal(t, relay.total(), 1)
		wg.Wait()
	})
}

// TestOnlyMergedQueriesAreRelayed guards against relayed requests that run at most once.
func TestOnlyMergedQueriesAreRelayed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(2), func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return ok("x") })
		relay := f.relayTo(func(context.Context, *trgateway.Request, uint64) trgateway.RelayOutcome {
			return trgateway.RelayOutcome{Response: &trgateway.Response{Status: 200, Relay: "big"}}
		})
		assert.Equal(t, f.get("/search/x").Relay, "big")
		assert.Equal(t, f.sender.total(), 0)
		assert.Equal(t, f.get("/order/1").Status, 200)
		assert.Equal(t, f.get("/status/1").Status, 200)
		f.StopAt(time.Now().Add(time.Hour))
		assert.Equal(t, f.get("/search/x").Relay, "")
		assert.Equal(t, relay.total(), 1)
	})
}

// TestRelayDeclinesWhatItsSenderWouldServeOtherwise guards against a caller that sees an
// older configuration after a newer one, because a relay is behind, and against queries
// that a stopping relay would cut.
func TestRelayDeclinesWhatItsSenderWouldServeOtherwise(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(2), func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return ok("x") })
		req := &trgateway.Request{ID: "id", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "h", Began: time.Now()}
		assert.Equal(t, f.ServeRelayed(context.Background(), req, 1).Status, http.StatusOK)
		sent := f.sender.total()
		for _, version := range []uint64{0, 2} {
			assert.Assert(t, f.ServeRelayed(context.Background(), req, version) == nil)
		}
		other := *req
		other.Path = "/order/1"
		assert.Assert(t, f.ServeRelayed(context.Background(), &other, 1) == nil)
		f.StopAt(time.Now().Add(time.Hour))
		assert.Assert(t, f.ServeRelayed(context.Background(), req, 1) == nil)
		assert.Equal(t, f.sender.total(), sent)
	})
}

// TestCallerWhoLeavesDoesNotCountAgainstRelay guards against a relay that is avoided, or a
// query that is sent again, because a caller has disconnected.
func TestCallerWhoLeavesDoesNotCountAgainstRelay(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(2), func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return ok("x") })
		relay := f.relayTo(func(ctx context.Context, _ *trgateway.Request, _ uint64) trgateway.RelayOutcome {
			<-ctx.Done()
			return trgateway.RelayOutcome{Sent: true, Err: ctx.Err()}
		})
		for i := range 3 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Millisecond, cancel)
			resp := f.Serve(ctx, &trgateway.Request{ID: "id", Method: "GET", Path: "/search/x", Host: "h", Began: time.Now()})
			assert.Equal(t, resp.Status, trgateway.StatusClientClosedRequest)
			assert.Equal(t, relay.total(), i+1)
		}
		assert.Equal(t, f.sender.total(), 0)
	})
}

// TestRelaySet guards against relays of other zones or with too little processor time,
// queries that gather at one relay, and a failing relay that is asked again at once.
func TestRelaySet(t *testing.T) {
	now := time.Unix(1_000, 0)
	s := &trgateway.RelaySet{Zone: "a", MilliCores: 200}
	_, ok := s.Acquire(now, 0)
	assert.Assert(t, !ok)
	s.Update([]trgateway.RelayInstance{
		{ID: "far", Zone: "b", MilliCores: 800}, {ID: "equal", Zone: "a", MilliCores: 400}, {ID: "unknown", Zone: "a"},
		{ID: "one", Zone: "a", MilliCores: 800}, {ID: "two", Zone: "a", MilliCores: 600},
	})
	served := trgateway.RelayOutcome{Response: new(trgateway.Response)}
	acquire := func(random float64) string {
		relay, _ := s.Acquire(now, random)
		return relay.ID
	}
	assert.Equal(t, acquire(0), "one")
	assert.Equal(t, acquire(0), "two") // has fewer pending queries
	s.Release("one", served, now)
	assert.Equal(t, acquire(0.99), "one")
	s.Release("one", trgateway.RelayOutcome{Declined: true}, now)
	s.Release("two", served, now)
	assert.Equal(t, acquire(0), "two") // "one" declined just now
	s.Release("two", trgateway.RelayOutcome{}, now)
	assert.Equal(t, acquire(0), "")
	now = now.Add(150 * time.Millisecond)
	assert.Equal(t, acquire(0.99), "one")
	now = now.Add(time.Second)
	assert.Equal(t, acquire(0), "two") // "one" has a pending query
	s.Release("two", trgateway.RelayOutcome{}, now)
	now = now.Add(900 * time.Millisecond) // the second failure counts for longer
	assert.Equal(t, acquire(0), "one")
	s.Update(nil)
	s.Release("one", served, now)
	assert.Equal(t, acquire(0), "")
	equal := &trgateway.RelaySet{Zone: "a"}
	equal.Update([]trgateway.RelayInstance{{ID: "one", Zone: "a", MilliCores: 800}})
	_, ok = equal.Acquire(now, 0)
	assert.Assert(t, !ok) // its own processor time is not known
}
