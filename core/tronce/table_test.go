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

// fakeStore is a store whose calls can fail before or after they take effect.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]*trwire.Entry
	grants  int
	puts    int
	down    bool // every call fails without effect
	lose    int  // answers of the next puts that are lost
	lostGet int  // gets that fail
	dropped string
}

var errStore = errors.New("store failed")

func (f *fakeStore) Get(_ context.Context, key string) (*trwire.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostGet > 0 {
		f.lostGet--
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
	if f.down || put.LeaseID == f.dropped {
		return nil, false, errStore
	}
	if present := f.entries[key]; present != nil {
		return present, false, nil
	}
	e := &trwire.Entry{Key: key, Value: put.Value, Version: 1, LeaseID: put.LeaseID}
	f.entries[key] = e
	if f.lose > 0 {
		f.lose--
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
	clock    *trclock.Manual
	store    *fakeStore
	complete atomic.Bool
	runs     atomic.Int64
}

func newFixture(store *fakeStore, owner string, change func(*Options)) *fixture {
	f := &fixture{clock: new(trclock.Manual), store: store}
	keep := func() time.Duration { return retention }
	options := Options{
		Clock: f.clock, Retention: keep, Owner: owner,
		Claimer:         &StoreClaimer{Store: store, Clock: f.clock, Retention: keep, Instance: "i1", PerSecond: 1000},
		HistoryComplete: func(string) bool { return f.complete.Load() },
	}
	if change != nil {
		change(&options)
	}
	f.Table = NewTable(options)
	return f
}

func newStore() *fakeStore {
	return &fakeStore{entries: make(map[string]*trwire.Entry), dropped: "none"}
}

func order(id string) *trwire.Request {
	return &trwire.Request{RequestID: id, Kind: trwire.Execute, Key: "k", Body: json.RawMessage(`{"a": 1}`), TimeoutMs: 5}
}

// ok counts a run and answers with its number.
func (f *fixture) ok(context.Context) (*trwire.Answer, error) {
	return &trwire.Answer{Version: uint64(f.runs.Add(1))}, nil
}

func (f *fixture) fail(kind trwire.RefusalKind) func(context.Context) (*trwire.Answer, error) {
	return func(context.Context) (*trwire.Answer, error) {
		f.runs.Add(1)
		return nil, trwire.Refuse(kind, "test")
	}
}

// expect runs the identifier once and checks the kind of refusal, "" for an
// answer, and the number of runs so far.
func (f *fixture) expect(t *testing.T, id string, run func(context.Context) (*trwire.Answer, error), kind trwire.RefusalKind, runs int64) {
	t.Helper()
	answer, err := f.Run(t.Context(), order(id), run)
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

// Guards against two runs of one identifier by concurrent calls.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	release := make(chan struct{})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			answer, err := f.Run(context.Background(), order("a"), func(ctx context.Context) (*trwire.Answer, error) {
				<-release
				return f.ok(ctx)
			})
			if err != nil || answer.Version != 1 {
				t.Errorf("got %v, %v", answer, err)
			}
		})
	}
	close(release)
	wg.Wait()
	f.expect(t, "a", f.ok, "", 1)
	assert.Equal(t, f.store.puts, 1)
}

// Guards against a second run after an outcome that promises nothing, and
// against a lost retry after a refusal that does.
func TestRepeatAfterOutcome(t *testing.T) {
	tests := []struct {
		kind  trwire.RefusalKind
		again trwire.RefusalKind
		runs  int64
	}{
		{trwire.NotRun, "", 2},
		{trwire.Overloaded, "", 2},
		{trwire.OutcomeUnknown, trwire.OutcomeUnknown, 1},
		{trwire.DeadlineExceeded, trwire.OutcomeUnknown, 1},
	}
	for _, test := range tests {
		f := newFixture(newStore(), "p1", nil)
		_, err := f.Run(t.Context(), order("a"), f.fail(test.kind))
		assert.Assert(t, err != nil)
		f.expect(t, "a", f.ok, test.again, test.runs)
		assert.Equal(t, f.store.puts, 1, "a claim is written once")
	}
}

// Guards against running or answering a different request under a used identifier.
func TestContentMismatch(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.expect(t, "a", f.ok, "", 1)
	same := order("a")
	same.TimeoutMs, same.Body = 77, json.RawMessage(`{"a":1}`)
	_, err := f.Run(t.Context(), same, f.ok)
	assert.NilError(t, err)
	other := order("a")
	other.Body = json.RawMessage(`{"a":2}`)
	_, err = f.Run(t.Context(), other, f.ok)
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.BadRequest)
	assert.Equal(t, f.runs.Load(), int64(1))
}

// Guards against a second run by a later home or a restarted process.
func TestClaimOfAnotherProcess(t *testing.T) {
	store := newStore()
	first := newFixture(store, "p1", nil)
	first.expect(t, "a", first.ok, "", 1)
	f := newFixture(store, "p2", nil)
	f.complete.Store(true)
	f.expect(t, "a", f.ok, trwire.OutcomeUnknown, 0)
	forgotten := newFixture(store, "p1", nil)
	forgotten.expect(t, "a", forgotten.ok, trwire.OutcomeUnknown, 0)
}

// Guards against refusing an own claim whose answer was lost, and against
// running from memory while the claim is uncertain.
func TestLostClaimAnswer(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.store.lose = 1
	f.expect(t, "a", f.ok, "", 1)
	f.store.lose, f.store.lostGet = 1, 1
	f.expect(t, "b", f.ok, trwire.OutcomeUnknown, 1)
	f.expect(t, "b", f.ok, "", 2)
	f.store.dropped = "lease1"
	f.expect(t, "c", f.ok, "", 3)
	assert.Equal(t, f.store.entries["once/c"].LeaseID, "lease2")
}

// Guards against runs during an outage without complete memory, and against
// claims that are never written afterwards.
func TestStoreOutage(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.store.down = true
	f.expect(t, "a", f.ok, trwire.OutcomeUnknown, 0)
	f.complete.Store(true)
	f.expect(t, "a", f.ok, "", 1)
	f.expect(t, "b", f.fail(trwire.NotRun), trwire.NotRun, 2)
	f.expect(t, "b", f.ok, "", 3)
	f.expect(t, "c", f.ok, "", 4)
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
	f.complete.Store(false)
	f.expect(t, "a", f.ok, "", 4)
}

// Guards against a run that stops with its caller, and against a run for a
// caller that has left already.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	_, err := f.Run(ctx, order("a"), func(runCtx context.Context) (*trwire.Answer, error) {
		cancel()
		<-release
		assert.Check(t, runCtx.Err())
		assert.Check(t, CallerContext(runCtx).Err() != nil)
		return f.ok(runCtx)
	})
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.OutcomeUnknown)
	close(release)
	f.expect(t, "a", f.ok, "", 1)
	_, err = f.Run(ctx, order("b"), f.ok)
	assert.Equal(t, trwire.AsRefusal(err).Kind, trwire.NotRun)
	f.expect(t, "b", f.ok, "", 2)
}

// Guards against forgetting within the retention and remembering for ever, and
// against claims that lapse before the retention.
func TestRetention(t *testing.T) {
	f := newFixture(newStore(), "p1", nil)
	f.expect(t, "a", f.ok, "", 1)
	f.expect(t, "b", f.ok, "", 2)
	assert.Equal(t, f.store.grants, 1)
	f.clock.Advance(retention - time.Second)
	f.expect(t, "a", f.ok, "", 2)
	f.expect(t, "c", f.ok, "", 3)
	assert.Equal(t, f.store.grants, 2)
	f.clock.Advance(time.Second)
	assert.Equal(t, f.Stats().Entries, 1)
	f.expect(t, "a", f.ok, trwire.OutcomeUnknown, 3) // the claim outlives the table's entry
	f.clock.Advance(retention)
	assert.Equal(t, f.Stats(), Stats{})
}

// Guards against dropping unexpired identifiers for new ones, growth beyond the
// bounds, and a false promise when an earlier home may have run the request.
func TestTableFull(t *testing.T) {
	f := newFixture(newStore(), "p1", func(o *Options) { o.MaxEntries = 2 })
	f.complete.Store(true)
	f.expect(t, "a", f.ok, "", 1)
	f.expect(t, "b", f.ok, "", 2)
	f.expect(t, "c", f.ok, trwire.NotRun, 2)
	f.expect(t, "a", f.ok, "", 2)
	f.complete.Store(false)
	f.expect(t, "c", f.ok, trwire.OutcomeUnknown, 2)

	f = newFixture(newStore(), "p1", func(o *Options) { o.MaxBytes = 2 * reserveBytes })
	big := func(context.Context) (*trwire.Answer, error) {
		return &trwire.Answer{Result: json.RawMessage(strings.Repeat("1", 3*reserveBytes))}, nil
	}
	f.complete.Store(true)
	f.expect(t, "a", big, "", 0)
	f.expect(t, "a", f.ok, trwire.OutcomeUnknown, 0)
	for i := range 100 {
		_, _ = f.Run(t.Context(), order(fmt.Sprint("n", i)), f.ok)
		assert.Assert(t, f.Stats().Bytes <= 2*reserveBytes)
	}
	f.expect(t, "z", f.ok, trwire.NotRun, f.runs.Load())
}

// Guards against more store writes per second than the limit.
func TestClaimLimit(t *testing.T) {
	f := newFixture(newStore(), "p1", func(o *Options) { o.Claimer.(*StoreClaimer).PerSecond = 2 })
	f.complete.Store(true)
	f.expect(t, "a", f.ok, "", 1)
	f.expect(t, "b", f.ok, "", 2)
	f.expect(t, "c", f.ok, trwire.Overloaded, 2)
	f.expect(t, "a", f.ok, "", 2)
	f.complete.Store(false)
	f.expect(t, "c", f.ok, trwire.OutcomeUnknown, 2)
	f.clock.Advance(time.Second)
	f.expect(t, "c", f.ok, "", 3)
}
