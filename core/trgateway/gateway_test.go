package trgateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// sender is a Sender whose upstreams are a function.
type sender struct {
	reply func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome
	probe func(ctx context.Context, up *trdirectory.Upstream) error // nil succeeds

	mu   sync.Mutex
	sent []string // upstream IDs
}

func (s *sender) Send(ctx context.Context, up *trdirectory.Upstream, _ *trgateway.Request, left time.Duration) trgateway.Outcome {
	ctx, cancel := context.WithTimeout(ctx, left+trgateway.ReplyGrace)
	defer cancel()
	s.mu.Lock()
	s.sent = append(s.sent, up.ID)
	s.mu.Unlock()
	began := time.Now()
	out := s.reply(ctx, up)
	out.Sent = began
	return out
}

func (s *sender) Probe(ctx context.Context, up *trdirectory.Upstream) error {
	if s.probe == nil {
		return nil
	}
	return s.probe(ctx, up)
}

func (s *sender) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, x := range s.sent {
		if x == id {
			n++
		}
	}
	return n
}

func ok(body string) trgateway.Outcome {
	return trgateway.Outcome{Kind: trgateway.Answered, Reply: &trgateway.Reply{Status: 200, Stamp: "stamp-" + body, Body: []byte(body)}}
}

func status(code int) trgateway.Outcome {
	return trgateway.Outcome{Kind: trgateway.Answered, Reply: &trgateway.Reply{Status: code, Stamp: "stamp"}}
}

func fate(f trgateway.OutcomeKind) trgateway.Outcome {
	return trgateway.Outcome{Kind: f, Err: errors.New("planted")}
}

// after waits for d, or returns Unknown if the attempt ends before.
func after(ctx context.Context, d time.Duration, out trgateway.Outcome) trgateway.Outcome {
	select {
	case <-time.After(d):
		return out
	case <-ctx.Done():
		return fate(trgateway.OutcomeUnknown)
	}
}

const (
	objective = 200 * time.Millisecond
	leaveTime = 2500 * time.Millisecond
)

// directory returns n shards "s0", ... with two upstreams each, "s0/a" in zone a
// and "s0/b" in zone b, and the service "orders" likewise.
func directory(n int) *trdirectory.Directory {
	search := trdirectory.Route{Name: "search", Host: "h", Prefix: "/search/", Idempotent: true, TimeoutMs: 800,
		ObjectiveMs: objective.Milliseconds(), Attempts: 2, Top: 3, LeastShare: 0.75}
	d := &trdirectory.Directory{Revision: 1, Config: &trdirectory.Config{Version: 1}}
	services := []string{"orders"}
	for i := range n {
		search.Shards = append(search.Shards, fmt.Sprintf("s%d", i))
	}
	for _, s := range append(services, search.Shards...) {
		for _, zone := range []string{"a", "b"} {
			id := s + "/" + zone
			d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: id, Service: s, Zone: zone, Addr: id, Slots: 2, BornMs: 1})
		}
	}
	order := trdirectory.Route{Name: "order", Host: "h", Prefix: "/order/", TimeoutMs: 4000, ObjectiveMs: 600, Attempts: 2,
		Split: []trdirectory.WeightedService{{Service: "orders", Weight: 1}}}
	status := order
	status.Name, status.Prefix, status.Idempotent = "status", "/status/", true
	d.Config.Routes = []trdirectory.Route{search, order, status}
	return d
}

// fixture is a gateway of zone a over a fake sender.
type fixture struct {
	*trgateway.Gateway
	sender *sender
	keeper trdirectory.Cache
}

func newFixture(d *trdirectory.Directory, reply func(context.Context, *trdirectory.Upstream) trgateway.Outcome) *fixture {
	f := &fixture{sender: &sender{reply: reply}}
	f.keeper.Clock = trclock.System()
	f.keeper.Adopt(d)
	f.Gateway = trgateway.New(trgateway.Config{
		Clock: trclock.System(), Tables: &f.keeper, Sender: f.sender, Zone: "a", Seed: 1,
		Bounds:       trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second},
		FailoverTime: leaveTime,
	})
	return f
}

func (f *fixture) get(path string) *trgateway.Response {
	return f.Serve(context.Background(), &trgateway.Request{ID: "id", Method: "GET", Target: path, Path: path, Host: "h", Began: time.Now()})
}

// bubble runs f in fake time and lets attempts end that nobody waits for.
func bubble(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		f(t)
	})
}

// Guards against a second run of a request that may have run, and against a
// refusal that says it has not.
func TestUnknownOutcomeIsNeitherRepeatedNorRefused(t *testing.T) {
	for _, tc := range []struct {
		name     string
		first    trgateway.Outcome
		sends    int
		statuses int
	}{
		{"unknown", fate(trgateway.OutcomeUnknown), 1, http.StatusBadGateway},
		{"failure", status(500), 1, 500},
		{"not run", fate(trgateway.NotRun), 2, 200},
		{"not sent", fate(trgateway.NotSent), 2, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				var once sync.Once
				f := newFixture(directory(1), func(context.Context, *trdirectory.Upstream) trgateway.Outcome {
					out := ok("x")
					once.Do(func() { out = tc.first })
					return out
				})
				resp := f.get("/order/1")
				assert.Equal(t, resp.Status, tc.statuses)
				assert.Equal(t, len(f.sender.sent), tc.sends)
			})
		})
	}
}

// Guards against a 503 for a request that no upstream ran being given up late,
// and against one that is not true.
func TestRefusalsAreAtOnceAndTrue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(&trdirectory.Directory{Revision: 1, Config: directory(1).Config}, nil)
		began := time.Now()
		resp := f.get("/order/1")
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Assert(t, resp.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(1), func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return fate(trgateway.NotRun) })
		resp := f.get("/order/1")
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	})
}

// Guards against refusals by an instance that has just started and reads its
// configuration, and against a long wait if there is none to be read.
func TestRequestsAtTheStartWaitForTheConfiguration(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(&trdirectory.Directory{}, func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return ok("x") })
		time.AfterFunc(80*time.Millisecond, func() { f.keeper.Adopt(directory(1)) })
		assert.Equal(t, f.get("/status/1").Status, http.StatusOK)
	})
	bubble(t, func(t *testing.T) {
		f := newFixture(&trdirectory.Directory{}, nil)
		assert.Equal(t, f.get("/status/1").Status, http.StatusServiceUnavailable)
		began := time.Now()
		assert.Equal(t, f.get("/status/1").Status, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against a request at more upstreams than its route permits.
func TestAttemptsAreBounded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		d := directory(1)
		for _, zone := range []string{"c", "d"} {
			d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: "orders/" + zone, Service: "orders", Zone: zone, Addr: zone, Slots: 2, BornMs: 1})
		}
		f := newFixture(d, func(context.Context, *trdirectory.Upstream) trgateway.Outcome { return status(500) })
		resp := f.get("/status/1")
		assert.Equal(t, resp.Status, 500)
		assert.Equal(t, len(f.sender.sent), 2)
	})
}

// Guards against merged answers that hide missing shards, take the failure of an
// upstream for a part, come below the least share, or wait beyond the aim.
func TestMergedAnswerTellsWhatItContains(t *testing.T) {
	serve := func(t *testing.T, bad int, failure func(ctx context.Context) trgateway.Outcome) (*trgateway.Response, time.Duration) {
		f := newFixture(directory(4), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			for i := range bad {
				if up.Service == fmt.Sprintf("s%d", i) {
					return failure(ctx)
				}
			}
			return after(ctx, 10*time.Millisecond, ok(up.Service+"-record-16byte")) // 2+14 bytes
		})
		began := time.Now()
		return f.get("/search/x"), time.Since(began)
	}
	failed := func(context.Context) trgateway.Outcome { return status(500) }
	slow := func(ctx context.Context) trgateway.Outcome { return after(ctx, time.Hour, ok("")) }
	bubble(t, func(t *testing.T) {
		resp, _ := serve(t, 0, nil)
		assert.Equal(t, resp.Missing, 0)
		assert.Equal(t, len(resp.Stamps), 4)
		assert.Equal(t, string(resp.Records), "s3-record-16bytes2-record-16bytes1-record-16byte")
	})
	bubble(t, func(t *testing.T) {
		resp, _ := serve(t, 1, failed)
		assert.Equal(t, resp.Status, 200)
		assert.Equal(t, resp.Missing, 1)
		assert.Equal(t, len(resp.Stamps), 3)
	})
	bubble(t, func(t *testing.T) {
		resp, took := serve(t, 1, slow)
		assert.Equal(t, resp.Missing, 1)
		assert.Assert(t, took <= objective, "answered after %v", took)
	})
	bubble(t, func(t *testing.T) {
		resp, _ := serve(t, 2, failed)
		assert.Equal(t, resp.Status, http.StatusBadGateway)
	})
	bubble(t, func(t *testing.T) {
		resp, took := serve(t, 2, slow)
		assert.Equal(t, resp.Status, http.StatusBadGateway) // its parts may have run
		assert.Assert(t, took <= 800*time.Millisecond, "answered after %v", took)
	})
}

// Guards against a query that waits for a silent upstream although another one
// has the shard.
func TestLateReplyIsHedged(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(4), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.ID == "s0/a" {
				return after(ctx, 10*objective, ok("x"))
			}
			return after(ctx, 10*time.Millisecond, ok("x"))
		})
		resp := f.get("/search/x")
		assert.Equal(t, resp.Missing, 0)
		assert.Equal(t, resp.Hedges, 1)
	})
}

// Guards against work that is queued at an upstream which owes a late reply: it
// would delay what comes after the pause.
func TestPartsAreHeldWhileTheirUpstreamIsSilent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		d := directory(4)
		d.Upstreams = d.Upstreams[:0:0]
		for i := range 4 {
			id := fmt.Sprintf("s%d", i)
			d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: id, Service: id, Zone: "a", Addr: id, Slots: 2, BornMs: 1})
		}
		f := newFixture(d, func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.ID == "s0" {
				return after(ctx, 10*objective, ok("x"))
			}
			return after(ctx, 10*time.Millisecond, ok("x"))
		})
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { assert.Check(t, f.get("/search/x").Missing == 1) })
			time.Sleep(objective / 2)
		}
		wg.Wait()
		assert.Assert(t, f.sender.count("s0") <= 4, "%d requests to a silent upstream", f.sender.count("s0"))
		assert.Equal(t, f.sender.count("s1"), 10)
	})
}

// Guards against repeats of another service: an address that another upstream
// holds gets requests until its old entry lapses.
func TestMisdirectedAddressGetsOneRequest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(1), func(_ context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.ID == "orders/a" {
				return trgateway.Outcome{Kind: trgateway.NotRun, Misdirected: true, Err: errors.New("planted")}
			}
			return ok("x")
		})
		for range 20 {
			assert.Equal(t, f.get("/order/1").Status, 200)
			time.Sleep(time.Second)
		}
		assert.Assert(t, f.sender.count("orders/a") <= 1)
	})
}

// Guards against an upstream that refuses at once and so looks fast.
func TestUpstreamThatRefusesIsAvoided(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFixture(directory(1), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.ID == "orders/a" {
				return fate(trgateway.NotRun)
			}
			return after(ctx, 50*time.Millisecond, ok("x"))
		})
		for range 100 {
			assert.Equal(t, f.get("/order/1").Status, 200)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, f.sender.count("orders/a") <= 30, "%d of 100 requests to an upstream that refuses", f.sender.count("orders/a"))
	})
}

// Guards against a fleet whose repeats exceed the bound of a service.
func TestBudgetOfAllInstancesHoldsInEveryWindow(t *testing.T) {
	const instances, window = 9, 10 * time.Second
	bounds := trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 58, RepeatWindow: window}
	budgets := make([]trgateway.Budget, instances)
	for i := range budgets {
		budgets[i].Bounds = bounds
	}
	type event struct {
		at     time.Time
		repeat bool
	}
	var events []event
	start := time.Unix(0, 0)
	for step := range 4000 {
		at := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if step%1000 < 600 { // requests come in waves
			budgets[step%instances].Request("s", at)
			events = append(events, event{at, false})
		}
		for i := range budgets {
			if budgets[i].Spend("s", instances, at) {
				events = append(events, event{at, true})
			}
		}
	}
	for i := 0; i < 4000; i += 10 {
		from := start.Add(time.Duration(i) * 10 * time.Millisecond)
		requests := make(map[int]int) // by windows before this one, in halves
		repeats := 0
		for _, e := range events {
			for half := range 3 {
				begin := from.Add(-time.Duration(half) * window / 2)
				if !e.repeat && !e.at.Before(begin) && e.at.Before(begin.Add(window)) {
					requests[half]++
				}
			}
			if e.repeat && !e.at.Before(from) && e.at.Before(from.Add(window)) {
				repeats++
			}
		}
		most := max(requests[0], requests[1], requests[2])
		assert.Assert(t, float64(repeats) <= 0.2*float64(most)+58, "%d repeats for %d requests from %v", repeats, most, from.Sub(start))
	}
}

// Guards against cold upstreams that get more than they bear from all instances.
func TestColdSharesAddUp(t *testing.T) {
	for _, rate := range []float64{0, 1, 5, 7.5, 40} {
		for instances := 1; instances <= 70; instances++ {
			sum := 0
			for rank := range instances {
				sum += trgateway.ColdShare(rate, rank, instances)
			}
			assert.Equal(t, sum, int(rate))
		}
	}
}

// Guards against a wrong order and lost duplicates in merged answers.
func TestMergeTop(t *testing.T) {
	rec := func(b byte) []byte { return bytes.Repeat([]byte{b}, trgateway.RecordBytes) }
	parts := [][]byte{append(rec(1), rec(9)...), append(append(rec(9), rec(0xff)...), 0xff), nil}
	got := trgateway.MergeTop(parts, 3)
	assert.DeepEqual(t, got, bytes.Join([][]byte{rec(0xff), rec(9), rec(9)}, nil))
	assert.Equal(t, len(trgateway.MergeTop(parts, 10)), 4*trgateway.RecordBytes)
}

// Guards against a split that does not follow its weights, and against requests
// that are moved to another part because theirs turns them away.
func TestSplitFollowsItsWeights(t *testing.T) {
	bubble(t, func(t *testing.T) {
		d := directory(1)
		d.Config.Routes[2].Split = []trdirectory.WeightedService{{Service: "orders", Weight: 1}, {Service: "s0", Weight: 3}}
		f := newFixture(d, func(_ context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			if up.Service == "s0" {
				return fate(trgateway.NotRun)
			}
			return ok("x")
		})
		const requests = 2000
		served := 0
		for range requests {
			if f.get("/status/1").Status == 200 {
				served++
			}
		}
		share := float64(served) / requests
		assert.Assert(t, share > 0.2 && share < 0.3, "share %v of weight 0.25", share)
	})
}

// Guards against attempts that are started, or go on for long, after the caller
// has left.
func TestNothingIsSentAfterTheCallerHasLeft(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var ended []time.Duration
		var mu sync.Mutex
		began := time.Now()
		f := newFixture(directory(4), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			out := after(ctx, time.Hour, ok("x"))
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, time.Since(began))
			return out
		})
		ctx, leave := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer leave()
		f.Serve(ctx, &trgateway.Request{ID: "id", Method: "GET", Target: "/search/x", Path: "/search/x", Host: "h", Began: began})
		sent := len(f.sender.sent)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.sender.sent), sent)
		for _, at := range ended {
			assert.Assert(t, at <= 505*time.Millisecond, "an attempt ended %v after the start", at)
		}
	})
}
