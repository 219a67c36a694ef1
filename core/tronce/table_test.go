package tronce

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

const retention = 10 * time.Minute

// fakeStore is an in-memory Store whose calls can fail before or after they take
// effect.
type fakeStore struct {
	mu        sync.Mutex
	entries   map[string]*trwire.Entry
	grants    int    // calls of Grant that took effect
	puts      int    // calls of Put
	down      bool   // every call fails without effect
	losePuts  int    // number of coming puts whose reply is lost although they take effect
	failGets  int    // number of coming gets that fail
	lostLease string // a put with this lease ID fails
}

var errStore = errors.New("store failed")

func (f *fakeStore) Get(_ context.Context, key string) (*trwire.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failGets > 0 {
		f.failGets--
		return nil, errStore
	}
	if f.down {
		return nil, errStore
	}
	return f.entries[key], nil
}

func (f *fakeStore) Put(_ context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if f.down || put.LeaseID == f.lostLease {
		return nil, false, errStore
	}
	if current := f.entries[key]; current != nil {
		return current, false, nil
	}
	e := &trwire.Entry{Key: key, Value: put.Value, Version: 1, LeaseID: put.LeaseID}
	f.entries[key] = e
	if f.losePuts > 0 {
		f.losePuts--
		return nil, false, errStore
	}
	return e, true, nil
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (*trwire.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errStore
	}
	f.grants++
	return &trwire.Lease{ID: fmt.Sprint("lease", f.grants), TTLMs: ttl.Milliseconds()}, nil
}

type fixture struct {
	*Table
	clock           *trclock.Manual
	store           *fakeStore
	historyComplete atomic.Bool  // result of Options.HistoryComplete
	runs            atomic.Int64 // counted by succeed and refuse
}

func newFixture(store *fakeStore, owner string, change func(*Options)) *fixture {
	f := &fixture{clock: new(trclock.Manual), store: store}
	retain := func() time.Duration { return retention }
	options := Options{
		Clock: f.clock, Retention: retain, Owner: owner,
		Claimer:         &StoreClaimer{Store: store, Clock: f.clock, Retention: retain, Instance: "i1", PerSecond: 1000},
		HistoryComplete: func(string) bool { return f.historyComplete.Load() },
	}
	if change != nil {
		change(&options)
	}
	f.Table = NewTable(options)
	return f
}

func newStore() *fakeStore {
	return &fakeStore{entries: make(map[string]*trwire.Entry), lostLease: "none"}
}

func newRequest(id string) *trwire.Request {
	return &trwire.Request{RequestID: id, Kind: trwire.Execute, Key: "k", Body: json.RawMessage(`{"a": 1}`), TimeoutMs: 5}
}

// succeed counts a run and answers with its number.
func (f *fixture) succeed(context.Context) (*trwire.Answer, error) {
	return &trwire.Answer{Version: uint64(f.runs.Add(1))}, nil
}

// refuse returns a run that fails with a refusal.
func (f *fixture) refuse(kind trwire.RefusalKind) func(context.Context) (*trwire.Answer, error) {
	return func(context.Context) (*trwire.Answer, error) {
		f.runs.Add(1)
		return nil, trwire.Refuse(kind, "test")
	}
}

// expect submits a request with ID id and checks the kind of refusal, "" for an
// answer, and the number of runs so far.
func (f *fixture) expect(t *testing.T, id string, run func(context.Context) (*trwire.Answer, error), kind trwire.RefusalKind, runs int64) {
	t.Helper()
	answer, err := f.Run(t.Context(), newRequest(id), run)
	if kind == "" {
		assert.NilError(t, err)
		assert.Assert(t, answer != nil)
	} else {
		assert.Assert(t, err != nil)
		assert.Equal(t, trwire.AsRefusal(err).Kind, kind, "%v", err)
		assert.Equal(t, trwire.AsRefusal(err).RequestID, id)
	}
	assert.Equal(t, f.runs.Load(), runs)
}

// Guards against more than one run of a request ID by concurrent calls.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	release := make(chan struct{})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			answer, err := f.Run(context.Background(), newRequest("a"), func(ctx context.Context) (*trwire.Answer, error) {
				<-release
				return f.succeed(ctx)
			})
			if err != nil || answer.Version != 1 {
				t.Errorf("got %v, %v", answer, err)
			}
		})
	}
	close(release)
	wg.Wait()
	f.expect(t, "a", f.succeed, "", 1)
	assert.Equal(t, f.store.puts, 1)
}

// Guards against a second run after an outcome that leaves open whether the request
// was run, and against refusing a repetition after a refusal that promises that it was
// not.
func TestRepeatAfterOutcome(t *testing.T) {
	tests := []struct {
		kind   trwire.RefusalKind // of the first call
		repeat trwire.RefusalKind // of the second call
		runs   int64
	}{
		{trwire.NotRun, "", 2},
		{trwire.Overloaded, "", 2},
		{trwire.OutcomeUnknown, trwire.OutcomeUnknown, 1},
		{trwire.DeadlineExceeded, trwire.OutcomeUnknown, 1},
	}
	for _, test := range tests {
		f := newFixture(newStore(), "p1", nil)
		_, err := f.Run(t.Context(), newRequest("a"), f.refuse(test.kind))
		assert.Assert(t, err != nil)
		f.expect(t, "a", f.succeed, test.repeat, test.runs)
		assert.Equal(t, f.store.puts, 1, "the claim is written once")
	}
}

// Guards against running or answering a different request under a request ID that is
// already used.
func TestContentMismatch(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.expect(t, "a", f.succeed, "", 1)
	same := newRequest("a")
	same.TimeoutMs, same.Body = 77, json.RawMessage(`{"a":1}`)
	_, err := f.Run(t.Context(), same, f.succeed)
	assert.NilError(t, err)
	other := newRequest("a")
	other.Body = json.RawMessage(`{"a":2}`)
	_, err = f.Run(t.Context(), other, f.succeed)
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.BadRequest)
	assert.Equal(t, f.runs.Load(), int64(1))
}

// Guards against a second run by a later home, or by the same owner when its table no
// longer has the request ID.
func TestClaimOfAnotherProcess(t *testing.T) {
	store := newStore()
	first := newFixture(store, "p1", nil)
	first.expect(t, "a", first.succeed, "", 1)
	f := newFixture(store, "p2", nil)
	f.historyComplete.Store(true)
	f.expect(t, "a", f.succeed, trwire.OutcomeUnknown, 0)
	sameOwner := newFixture(store, "p1", nil)
	sameOwner.expect(t, "a", sameOwner.succeed, trwire.OutcomeUnknown, 0)
}

// Guards against refusing a request whose claim was written although the store's reply
// was lost, and against a run while it is unknown whether the claim was written.
func TestLostClaimReply(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.store.losePuts = 1
	f.expect(t, "a", f.succeed, "", 1)
	f.store.losePuts, f.store.failGets = 1, 1
	f.expect(t, "b", f.succeed, trwire.OutcomeUnknown, 1)
	f.expect(t, "b", f.succeed, "", 2)
	f.store.lostLease = "lease1"
	f.expect(t, "c", f.succeed, "", 3)
	assert.Equal(t, f.store.entries["once/c"].LeaseID, "lease2")
}

// Guards against runs during a store outage without a complete history, and against
// claims that are not written after the outage.
func TestStoreOutage(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.store.down = true
	f.expect(t, "a", f.succeed, trwire.OutcomeUnknown, 0)
	f.historyComplete.Store(true)
	f.expect(t, "a", f.succeed, "", 1)
	f.expect(t, "b", f.refuse(trwire.NotRun), trwire.NotRun, 2)
	f.expect(t, "b", f.succeed, "", 3)
	f.expect(t, "c", f.succeed, "", 4)
	written, err := f.Flush(t.Context())
	assert.ErrorIs(t, err, errStore)
	assert.Equal(t, written, 0)
	assert.Equal(t, f.Stats().Queued, 3)
	f.store.down = false
	f.store.entries["once/c"] = &trwire.Entry{Value: []byte(`{"Owner":"p0"}`), Version: 1}
	written, err = f.Flush(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, written, 3)
	assert.Equal(t, f.Stats().Queued, 0)
	assert.Equal(t, f.Stats().Conflicts, int64(1))
	f.historyComplete.Store(false)
	f.expect(t, "a", f.succeed, "", 4)
}

// Guards against a run that stops when its caller's context ends, and against a run
// for a caller whose context has already ended.
func TestCallerCanceled(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	_, err := f.Run(ctx, newRequest("a"), func(runCtx context.Context) (*trwire.Answer, error) {
		cancel()
		<-release
		assert.Check(t, runCtx.Err())
		assert.Check(t, CallerContext(runCtx).Err() != nil)
		return f.succeed(runCtx)
	})
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.OutcomeUnknown)
	close(release)
	f.expect(t, "a", f.succeed, "", 1)
	_, err = f.Run(ctx, newRequest("b"), f.succeed)
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.NotRun)
	f.expect(t, "b", f.succeed, "", 2)
}

// Guards against entries that expire before the end of the retention period or never,
// and against claims that expire before its end.
func TestRetention(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.expect(t, "a", f.succeed, "", 1)
	f.expect(t, "b", f.succeed, "", 2)
	assert.Equal(t, f.store.grants, 1)
	f.clock.Advance(retention - time.Second)
	f.expect(t, "a", f.succeed, "", 2)
	f.expect(t, "c", f.succeed, "", 3)
	assert.Equal(t, f.store.grants, 2)
	f.clock.Advance(time.Second)
	assert.Equal(t, f.Stats().Entries, 1)
	f.expect(t, "a", f.succeed, trwire.OutcomeUnknown, 3) // the claim outlives the entry in the table
	f.clock.Advance(retention)
	assert.Equal(t, f.Stats(), Stats{})
}

// Guards against evicting unexpired request IDs for new ones, growth beyond
// MaxEntries and MaxBytes, and a NotRun refusal when an earlier home may have run the
// request.
func TestTableFull(t *testing.T) {
	f := newFixture(newStore(), "p1", func(o *Options) { o.MaxEntries = 2 })
	f.historyComplete.Store(true)
	f.expect(t, "a", f.succeed, "", 1)
	f.expect(t, "b", f.succeed, "", 2)
	f.expect(t, "c", f.succeed, trwire.NotRun, 2)
	f.expect(t, "a", f.succeed, "", 2)
	f.historyComplete.Store(false)
	f.expect(t, "c", f.succeed, trwire.OutcomeUnknown, 2)

	f = newFixture(newStore(), "p1", func(o *Options) { o.MaxBytes = 2 * reserveBytes })
	largeAnswer := func(context.Context) (*trwire.Answer, error) {
		return &trwire.Answer{Result: json.RawMessage(strings.Repeat("1", 3*reserveBytes))}, nil
	}
	f.historyComplete.Store(true)
	f.expect(t, "a", largeAnswer, "", 0)
	f.expect(t, "a", f.succeed, trwire.OutcomeUnknown, 0)
	for i := range 100 {
		_, _ = f.Run(t.Context(), newRequest(fmt.Sprint("n", i)), f.succeed)
		assert.Assert(t, f.Stats().Bytes <= 2*reserveBytes)
	}
	f.expect(t, "z", f.succeed, trwire.NotRun, f.runs.Load())
}

// Guards against more claims per second than the limit.
func TestClaimLimit(t *testing.T) {
	f := newFixture(newStore(), "p1", func(o *Options) { o.Claimer.(*StoreClaimer).PerSecond = 2 })
	f.historyComplete.Store(true)
	f.expect(t, "a", f.succeed, "", 1)
	f.expect(t, "b", f.succeed, "", 2)
	f.expect(t, "c", f.succeed, trwire.Overloaded, 2)
	f.expect(t, "a", f.succeed, "", 2)
	f.historyComplete.Store(false)
	f.expect(t, "c", f.succeed, trwire.OutcomeUnknown, 2)
	f.clock.Advance(time.Second)
	f.expect(t, "c", f.succeed, "", 3)
}
