package trquery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// fixture is an engine with fake leafs. Its service has two shards with two
// replicas each: leafs 0 and 1 hold shard 0, leafs 2 and 3 hold shard 1.
type fixture struct {
	clock  *trclock.Manual
	router *trroute.Router
	engine *Engine
	policy trconfig.Controller

	mu       sync.Mutex
	handlers map[string]func(q *trwire.SubQuery) (*trwire.SubReply, error) // by leaf ID; reply if absent
	sent     []trwire.SubQuery
	ids      int
}

const (
	shards       = 2
	shardRecords = 5
)

func (f *fixture) Sender(time.Time) (int, int, bool) { return 0, 1, true }

func (f *fixture) Estimate(now time.Time) (time.Time, time.Duration, bool) { return now, 0, true }

func (f *fixture) Send(_ context.Context, leaf *trroute.Leaf, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error) {
	if err := check(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.sent = append(f.sent, *q)
	handler := f.handlers[leaf.ID]
	f.mu.Unlock()
	if handler == nil {
		return reply(q), nil
	}
	return handler(q)
}

// reply returns a valid reply to q.
func reply(q *trwire.SubQuery) *trwire.SubReply {
	r := &trwire.SubReply{
		RequestID: q.RequestID, SubID: q.SubID, StartID: q.StartID, Service: q.Service, Version: q.Version,
		Shard: q.Shard, ShardCount: q.ShardCount, ShardRecords: shardRecords, Loaded: true,
	}
	for i := range 3 {
		r.Records = append(r.Records, trwire.Record{Key: fmt.Sprintf("k%d-%d", i, q.Shard), Score: float64(3 - i)})
	}
	return r
}

// failWith returns a leaf handler whose attempts fail with an AttemptError.
func failWith(kind trwire.AttemptErrorKind, mayHaveRun bool) func(*trwire.SubQuery) (*trwire.SubReply, error) {
	return func(*trwire.SubQuery) (*trwire.SubReply, error) {
		return nil, &trwire.AttemptError{Kind: kind, MayHaveRun: mayHaveRun, Err: context.Canceled}
	}
}

func newFixture(t *testing.T, class func(*trconfig.ClassPolicy)) *fixture {
	t.Helper()
	f := &fixture{clock: trclock.NewManual(time.Unix(1_000, 0)), handlers: map[string]func(*trwire.SubQuery) (*trwire.SubReply, error){}}
	doc := &trconfig.Document{Revision: 1, ChangeID: "first", Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0
	doc.Defaults.Fleet.SlowStartMs = 0
	doc.Defaults.Class.Hedge = false
	doc.Defaults.Class.MaxAttempts = 3
	class(&doc.Defaults.Class)
	_, err := f.policy.Adopt(doc)
	assert.NilError(t, err)
	f.router = trroute.NewRouter(trroute.Options{Zone: "a", Clock: f.clock, Seed: 1, Sender: f, StoreTime: f})
	f.router.SetPolicy(f.policy.Current())
	list := &trwire.InstanceList{Revision: 1}
	for i := range 2 * shards {
		id := fmt.Sprint("leaf-", i)
		list.Instances = append(list.Instances, trwire.Instance{ID: id, Role: trwire.RoleLeaf, Service: "s", Zone: "a", Addr: "x", State: trwire.StateLive})
	}
	f.router.SetInstances(list)
	f.setVersions(1)
	budget := func() Budget { return &trlimit.Budget{Share: 0.1, Burst: 10} }
	f.engine = &Engine{
		Clock: f.clock, Instance: "i", Zone: "a", Router: f.router, Dispatcher: trroute.NewDispatcher(f.router), Leafs: f,
		Hedges: budget(), Retries: budget(), Repins: budget(), NewID: f.newID,
	}
	return f
}

// setVersions makes every leaf report the given versions.
func (f *fixture) setVersions(versions ...uint64) {
	for i := range 2 * shards {
		h := &trwire.Hello{LeafID: fmt.Sprint("leaf-", i), StartID: "start", Zone: "a", Service: "s"}
		for _, v := range versions {
			h.Holdings = append(h.Holdings, trwire.Holding{Version: v, Shard: i / 2, ShardCount: shards, Records: shardRecords, Loaded: true})
		}
		f.router.ObserveHello(h.LeafID, h)
	}
	f.clock.Advance(time.Second) // the router coalesces table rebuilds
}

func (f *fixture) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	return fmt.Sprint("sub-", f.ids)
}

func (f *fixture) do(req trwire.Request) (*trwire.Answer, error) {
	req.Tenant, req.Class, req.Service, req.RequestID = "t", "c", "s", "r"
	serve := Chain(f.engine.Serve, Validate(f.clock, &f.policy, f.newID))
	return serve(context.Background(), &Call{Request: &req})
}

// Guards against answers whose records are in the wrong order or whose coverage
// exceeds the replies, for each way in which replicas fail.
func TestQuery(t *testing.T) {
	partial := func(c *trconfig.ClassPolicy) { c.AllowPartial = true; c.MinCoverage = 0.5 }
	completeOnly := func(c *trconfig.ClassPolicy) {}
	notLoaded := func(q *trwire.SubQuery) (*trwire.SubReply, error) {
		r := reply(q)
		r.ShardRecords = 0
		return r, nil
	}
	both := func(a, b string, handler func(*trwire.SubQuery) (*trwire.SubReply, error)) func(*fixture) {
		return func(f *fixture) { f.handlers[a], f.handlers[b] = handler, handler }
	}
	for _, test := range []struct {
		name    string
		class   func(*trconfig.ClassPolicy)
		arrange func(*fixture)
		refusal trwire.RefusalKind
		shards  int
		reason  trwire.MissReason
	}{
		{"all replicas answer", completeOnly, func(*fixture) {}, "", 2, ""},
		{"one replica per shard fails", completeOnly, both("leaf-0", "leaf-2", failWith(trwire.AttemptBroken, true)), "", 2, ""},
		{"one replica per shard is not loaded", completeOnly, both("leaf-1", "leaf-3", notLoaded), "", 2, ""},
		{"shard fails, partial accepted", partial, both("leaf-0", "leaf-1", failWith(trwire.AttemptBroken, true)), "", 1, trwire.MissFailed},
		{"shard sheds, partial accepted", partial, both("leaf-0", "leaf-1", failWith(trwire.AttemptShed, false)), "", 1, trwire.MissOverload},
		{"shard not loaded, partial accepted", partial, both("leaf-0", "leaf-1", notLoaded), "", 1, trwire.MissFailed},
		{"shard fails, partial not accepted", completeOnly, both("leaf-0", "leaf-1", failWith(trwire.AttemptBroken, true)), trwire.Incomplete, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.class)
			test.arrange(f)
			answer, err := f.do(trwire.Request{Kind: trwire.Query, Limit: 4})
			if test.refusal != "" {
				assert.Equal(t, trwire.AsRefusal(err).Kind, test.refusal)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, answer.Coverage.Shards, test.shards)
			assert.Equal(t, answer.Coverage.Records, uint64(test.shards*shardRecords))
			assert.Equal(t, answer.Coverage.RecordsTotal, uint64(shards*shardRecords))
			if test.reason != "" {
				assert.Equal(t, answer.Coverage.Missing[0].Reason, test.reason)
				return
			}
			var keys []string
			for _, r := range answer.Records {
				keys = append(keys, r.Key)
			}
			assert.DeepEqual(t, keys, []string{"k0-0", "k0-1", "k1-0", "k1-1"})
		})
	}
}

// Guards against an answer from a version below MinVersion, and against an answer
// that combines replies of different versions.
func TestVersions(t *testing.T) {
	f := newFixture(t, func(*trconfig.ClassPolicy) {})
	_, err := f.do(trwire.Request{Kind: trwire.Query, MinVersion: 2})
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.NotRun)
	assert.Equal(t, len(f.sent), 0)

	f.engine.Refresh = func(context.Context, string) { f.setVersions(1, 2) }
	answer, err := f.do(trwire.Request{Kind: trwire.Query, MinVersion: 2})
	assert.NilError(t, err)
	assert.Equal(t, answer.Version, uint64(2))

	// Both replicas of shard 0 drop version 2 while the query runs.
	f.engine.Refresh = func(context.Context, string) { f.setVersions(2, 3) }
	versionGone := func(q *trwire.SubQuery) (*trwire.SubReply, error) {
		if q.Version == 2 {
			return failWith(trwire.AttemptVersion, false)(q)
		}
		return reply(q), nil
	}
	f.handlers["leaf-0"], f.handlers["leaf-1"] = versionGone, versionGone
	answer, err = f.do(trwire.Request{Kind: trwire.Query, MinVersion: 2})
	assert.NilError(t, err)
	assert.Equal(t, answer.Version, uint64(3))
	assert.Equal(t, answer.Coverage.Shards, shards)
}

// Guards against a second execution, and against the refusal NotRun after an attempt
// that may have run.
func TestExecute(t *testing.T) {
	key := "k"
	shard := trwire.ShardOf(key, shards)
	first, second := fmt.Sprint("leaf-", 2*shard), fmt.Sprint("leaf-", 2*shard+1)
	for _, test := range []struct {
		name       string
		kind       trwire.AttemptErrorKind
		mayHaveRun bool
		refusal    trwire.RefusalKind
		sent       int
	}{
		{"connection fails after the write", trwire.AttemptBroken, true, trwire.OutcomeUnknown, 1},
		{"bad reply", trwire.AttemptBadReply, true, trwire.OutcomeUnknown, 1},
		{"never written", trwire.AttemptDial, false, trwire.NotRun, 3},
		{"shed", trwire.AttemptShed, false, trwire.NotRun, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, func(*trconfig.ClassPolicy) {})
			f.handlers[first], f.handlers[second] = failWith(test.kind, test.mayHaveRun), failWith(test.kind, test.mayHaveRun)
			_, err := f.do(trwire.Request{Kind: trwire.Execute, Key: key})
			assert.Equal(t, trwire.AsRefusal(err).Kind, test.refusal)
			assert.Equal(t, len(f.sent), test.sent)
		})
	}
}

// Guards against unlimited retries. When every replica fails, the extra sub-queries
// stay within the share and the burst of the retry budget.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, func(*trconfig.ClassPolicy) {})
	for i := range 2 * shards {
		f.handlers[fmt.Sprint("leaf-", i)] = failWith(trwire.AttemptBroken, true)
	}
	const queries = 500
	for range queries {
		_, err := f.do(trwire.Request{Kind: trwire.Query})
		assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.Incomplete)
	}
	limit := queries*shards + 10 + queries*shards/10
	assert.Assert(t, len(f.sent) <= limit, "%d sub-queries, at most %d", len(f.sent), limit)
}

// Guards against unlimited retries after each kind of failure, also if the class
// allows many attempts. When every replica fails, the extra sub-queries stay within
// the share and the burst of the retry budget.
func TestRetryBudgetByFailure(t *testing.T) {
	const queries, share, burst = 500, 0.1, 10
	for _, kind := range []trwire.AttemptErrorKind{trwire.AttemptBroken, trwire.AttemptFailed, trwire.AttemptShed} {
		f := newFixture(t, func(c *trconfig.ClassPolicy) { c.MaxAttempts = 16 })
		for i := range 2 * shards {
			f.handlers[fmt.Sprint("leaf-", i)] = failWith(kind, kind != trwire.AttemptShed)
		}
		for range queries {
			_, err := f.do(trwire.Request{Kind: trwire.Query, Limit: 4})
			assert.Assert(t, err != nil)
		}
		needed := float64(queries * shards)
		assert.Assert(t, float64(len(f.sent)) <= needed*(1+share)+burst, "%s: %d sent, %g needed", kind, len(f.sent), needed)
		assert.Assert(t, float64(len(f.sent)) >= needed, "%s: %d sent, %g needed", kind, len(f.sent), needed)
	}
}
