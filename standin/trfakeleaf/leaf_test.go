package trfakeleaf

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// post sends a sub-query and returns the status and the body of the response.
func post(t *testing.T, c *http.Client, addr string, q trwire.SubQuery) (int, []byte) {
	t.Helper()
	raw, err := json.Marshal(q)
	assert.NilError(t, err)
	resp, err := c.Post("http://"+addr+q.Path(), "application/json", bytes.NewReader(raw))
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, body
}

// Guards against shards that lose or repeat records: the merged replies of all shards
// must equal the generated answer.
func TestShardsMergeToTheExpectedAnswer(t *testing.T) {
	f, err := StartFleet(FleetConfig{
		Zones:    []string{"a", "b", "c"},
		Services: []ServiceConfig{{Name: "search", Shards: 4, Replicas: 2, Leafs: 5}},
		Seed:     7,
	})
	assert.NilError(t, err)
	defer f.Close()
	var merged []trwire.Record
	for _, shard := range []int{0, 1, 2, 3} {
		for _, l := range f.ByService("search") {
			held := slices.ContainsFunc(l.index.holdings(), func(h trwire.Holding) bool { return h.Shard == shard })
			if !held {
				continue
			}
			status, body := post(t, http.DefaultClient, l.Addr(), trwire.SubQuery{
				SubID: "s", Service: "search", StartID: l.StartID(), Kind: trwire.Query,
				Version: 1, Shard: shard, ShardCount: 4, Terms: "oak", TimeoutMs: 5000,
			})
			assert.Equal(t, status, http.StatusOK, string(body))
			reply, err := trwire.Decode[trwire.SubReply](bytes.NewReader(body), trwire.MaxReplyBytes)
			assert.NilError(t, err)
			merged = append(merged, reply.Records...)
			break
		}
	}
	slices.SortFunc(merged, trwire.CompareRecords)
	want := f.Dataset("search").ExpectedRecords(1, "oak", 0)
	assert.Assert(t, len(want) > 10)
	assert.DeepEqual(t, merged, want)
}

// startLeaf starts a leaf with one shard at version 1.
func startLeaf(t *testing.T, cfg Config) *Leaf {
	t.Helper()
	cfg.LeafID, cfg.Zone = "leaf-1", "a"
	cfg.Data = Dataset{Service: "s", Seed: 3, Records: 64}
	cfg.Holdings = []Holding{{Version: 1, ShardCount: 1, Shards: []int{0}, Loaded: true}}
	l, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l
}

// query returns a valid Query for the shard of a leaf started by startLeaf.
func (l *Leaf) query(subID string) trwire.SubQuery {
	return trwire.SubQuery{
		RequestID: "r", SubID: subID, Service: "s", StartID: l.StartID(), Kind: trwire.Query,
		Version: 1, ShardCount: 1, Limit: 5, TimeoutMs: 60_000,
	}
}

// sendOnNewConn sends a sub-query on a new connection. It returns status 0 if
// the leaf closed the connection or ctx ended.
func sendOnNewConn(ctx context.Context, l *Leaf, q trwire.SubQuery) (int, []byte) {
	raw, err := json.Marshal(q)
	if err != nil {
		return -1, nil
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+l.Addr()+q.Path(), bytes.NewReader(raw))
	if err != nil {
		return -1, nil
	}
	c := http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, trwire.MaxReplyBytes+1))
	if err != nil {
		return 0, body
	}
	return resp.StatusCode, body
}

// countEvents counts the events of the given types.
func countEvents(l *Leaf, types ...EventType) int {
	n := 0
	for _, e := range l.Journal().Events() {
		if slices.Contains(types, e.Type) {
			n++
		}
	}
	return n
}

// awaitEvents waits until the journal has n events of a type.
func awaitEvents(t *testing.T, l *Leaf, event EventType, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if countEvents(l, event) >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d events %s", countEvents(l, event), n, event)
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a cold leaf that sustains more than its rate limit, and against one
// that restarts with its former StartID or without a cold phase.
func TestColdLeafCrashesAboveRateLimit(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1000, 0))
	l := startLeaf(t, Config{Clock: clock, Limits: Limits{ColdMs: 5000, ColdPerSecond: 2, FallMs: 300}})
	first := l.query("a")
	for range 2 {
		status, _ := sendOnNewConn(t.Context(), l, first)
		assert.Equal(t, status, 200)
		clock.Advance(999 * time.Millisecond / 2)
	}
	status, _ := sendOnNewConn(t.Context(), l, first)
	assert.Equal(t, status, 0)
	assert.Equal(t, countEvents(l, EventFell), 1)
	status, _ = sendOnNewConn(t.Context(), l, first)
	assert.Equal(t, status, 0)
	clock.Advance(300 * time.Millisecond)
	status, _ = sendOnNewConn(t.Context(), l, first)
	assert.Equal(t, status, http.StatusConflict)
	second := l.query("b")
	assert.Assert(t, second.StartID != first.StartID)
	clock.Advance(5 * time.Second)
	for range 5 {
		status, _ = sendOnNewConn(t.Context(), l, second)
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, countEvents(l, EventFell), 1)
}

// Guards against a cold leaf that sustains more than its concurrency limit, and against
// sub-queries that survive the crash.
func TestColdLeafCrashesAboveConcurrencyLimit(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1000, 0))
	l := startLeaf(t, Config{Clock: clock, Limits: Limits{ColdMs: 5000, ServiceMs: 10, FallMs: 300}})
	q := l.query("a")
	status := make(chan int)
	go func() { s, _ := sendOnNewConn(t.Context(), l, q); status <- s }()
	awaitEvents(t, l, EventStarted, 1)
	s, _ := sendOnNewConn(t.Context(), l, l.query("b"))
	assert.Equal(t, s, 0)
	assert.Equal(t, <-status, 0)
	awaitEvents(t, l, EventCanceled, 1)
	assert.Equal(t, countEvents(l, EventFell), 1)
	assert.Equal(t, countEvents(l, EventFinished), 0)
}

// Guards against sub-queries admitted beyond slots and queue, and against running a
// sub-query that was canceled or timed out in the queue.
func TestQueueShedsAndDropsCanceledWork(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1000, 0))
	l := startLeaf(t, Config{Clock: clock, Limits: Limits{Slots: 1, Queue: 2, ServiceMs: 10}})
	statuses := make(chan int, 3)
	send := func(ctx context.Context, q trwire.SubQuery) {
		before := countEvents(l, EventReceived)
		go func() { s, _ := sendOnNewConn(ctx, l, q); statuses <- s }()
		awaitEvents(t, l, EventReceived, before+1)
	}
	send(t.Context(), l.query("runs"))
	awaitEvents(t, l, EventStarted, 1)
	ctx, cancel := context.WithCancel(t.Context())
	send(ctx, l.query("canceled"))
	short := l.query("short")
	short.TimeoutMs = 5
	send(t.Context(), short)
	s, body := sendOnNewConn(t.Context(), l, l.query("shed"))
	assert.Equal(t, s, 503)
	assert.Assert(t, bytes.Contains(body, []byte(`"Shed"`)), string(body))
	cancel()
	assert.Equal(t, <-statuses, 0)
	awaitEvents(t, l, EventCanceled, 1)
	clock.Advance(5 * time.Millisecond)
	assert.Equal(t, <-statuses, 503)
	clock.Advance(5 * time.Millisecond)
	assert.Equal(t, <-statuses, 200)
	assert.Equal(t, countEvents(l, EventStarted), 1)
}

// Guards against a leaf that deduplicates an Execute, which would hide repeated sends,
// and against an Execute that stops when its sender disconnects: then it would be
// harmless to repeat a request with an unknown outcome, and tests would not notice a
// wrong repetition.
func TestExecuteOutlivesSenderAndIsNotDeduplicated(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1000, 0))
	l := startLeaf(t, Config{Clock: clock, Limits: Limits{ServiceMs: 10}})
	q := l.query("a")
	q.Kind, q.Key = trwire.Execute, "k"
	for n := range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan int)
		go func() { s, _ := sendOnNewConn(ctx, l, q); done <- s }()
		awaitEvents(t, l, EventStarted, n+1)
		cancel()
		assert.Equal(t, <-done, 0)
		clock.Advance(10 * time.Millisecond)
		awaitEvents(t, l, EventExecuted, n+1)
	}
}

// Guards against refusals of the wrong kind. All of these kinds guarantee that the
// sub-query was not run.
func TestRefusals(t *testing.T) {
	l := startLeaf(t, Config{})
	assert.NilError(t, l.AddVersion(Holding{Version: 2}))
	for _, c := range []struct {
		kind   trwire.LeafErrorKind
		status int
		change func(*trwire.SubQuery)
	}{
		{trwire.LeafBadRequest, 400, func(q *trwire.SubQuery) { q.Service = "other" }},
		{trwire.LeafBadRequest, 400, func(q *trwire.SubQuery) { q.TimeoutMs = 0 }},
		{trwire.LeafWrongStart, 409, func(q *trwire.SubQuery) { q.StartID = "other" }},
		{trwire.LeafVersionGone, 409, func(q *trwire.SubQuery) { q.Version = 9 }},
		{trwire.LeafVersionGone, 409, func(q *trwire.SubQuery) { q.ShardCount = 2 }},
		{trwire.LeafNotLoaded, 409, func(q *trwire.SubQuery) { q.Version = 2 }},
		{trwire.LeafDraining, 503, func(*trwire.SubQuery) { _ = l.Apply(FaultDrain, Fault{On: true, Refuse: true}) }},
	} {
		q := l.query("a")
		c.change(&q)
		status, body := post(t, http.DefaultClient, l.Addr(), q)
		assert.Equal(t, status, c.status, string(body))
		e, err := trwire.Decode[trwire.LeafError](bytes.NewReader(body), trwire.MaxReplyBytes)
		assert.NilError(t, err)
		assert.Equal(t, e.Kind, c.kind)
	}
	assert.Equal(t, countEvents(l, EventStarted), 0)
}

// Guards against bad replies that a correct client would accept.
func TestBadRepliesAreDetectable(t *testing.T) {
	l := startLeaf(t, Config{})
	for _, bad := range badReplies {
		if bad == BadDoubled || bad == BadFrozen {
			continue // a doubled reply is valid by itself, a frozen one never ends
		}
		q := l.query(string(bad))
		assert.NilError(t, l.Apply(FaultBad, Fault{Bad: bad, Count: 1}))
		status, body := sendOnNewConn(t.Context(), l, q)
		reply, err := trwire.Decode[trwire.SubReply](bytes.NewReader(body), trwire.MaxReplyBytes)
		if err == nil {
			err = reply.CheckMatch(&q)
		}
		assert.Assert(t, status != 200 || err != nil, "%s", bad)
		status, _ = sendOnNewConn(t.Context(), l, q)
		assert.Equal(t, status, 200)
	}
}

// Guards against a doubled reply whose second copy is not sent on the connection, and
// against a frozen reply that ends.
func TestDoubledAndFrozenReplies(t *testing.T) {
	l := startLeaf(t, Config{})
	raw, err := json.Marshal(l.query("a"))
	assert.NilError(t, err)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: l\r\nContent-Length: %d\r\n\r\n%s", trwire.PathSearch, len(raw), raw)
	for _, c := range []struct {
		bad     BadReply
		replies int
	}{{BadDoubled, 2}, {BadFrozen, 0}} {
		assert.NilError(t, l.Apply(FaultBad, Fault{Bad: c.bad, Count: 1}))
		nc, err := net.Dial("tcp", l.Addr())
		assert.NilError(t, err)
		_, err = io.WriteString(nc, request)
		assert.NilError(t, err)
		in := bufio.NewReader(nc)
		for range c.replies {
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Contains(body, []byte(`"SubID":"a"`)))
		}
		if c.replies == 0 {
			_, err = http.ReadResponse(in, nil)
			assert.NilError(t, err)
			assert.NilError(t, nc.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
			_, err = io.ReadAll(in)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
		assert.NilError(t, nc.Close())
	}
}

// Guards against a silent fault that closes connections or affects new ones, and
// against a connection limit that is not enforced.
func TestSilentConnectionsAndConnectionLimit(t *testing.T) {
	l := startLeaf(t, Config{Limits: Limits{Connections: 2}})
	hello := "GET " + trwire.PathHello + " HTTP/1.1\r\nHost: l\r\n\r\n"
	dial := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", l.Addr())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		_, err = io.WriteString(nc, hello)
		assert.NilError(t, err)
		return nc, bufio.NewReader(nc)
	}
	old, oldIn := dial()
	_, err := http.ReadResponse(oldIn, nil)
	assert.NilError(t, err)
	assert.NilError(t, l.Apply(FaultSilent, Fault{}))
	_, err = io.WriteString(old, hello)
	assert.NilError(t, err)
	_, newIn := dial()
	_, err = http.ReadResponse(newIn, nil)
	assert.NilError(t, err)
	status, _ := sendOnNewConn(t.Context(), l, l.query("a"))
	assert.Equal(t, status, 0)
	assert.Equal(t, countEvents(l, EventReset), 1)
	_, err = oldIn.Discard(oldIn.Buffered())
	assert.NilError(t, err)
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = oldIn.ReadByte()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against replicas of a shard on the same leaf or, if there are enough zones, in
// the same zone, and against a repartitioning that loses shards.
func TestPlacementAndRepartitioning(t *testing.T) {
	for _, c := range []struct{ shards, replicas, leafs, zones int }{
		{1, 2, 2, 3}, {13, 2, 13, 3}, {4, 3, 12, 3}, {6, 2, 4, 2}, {2, 3, 5, 2},
	} {
		zones := make([]map[int]bool, c.shards)
		for leaf, shards := range placeShards(c.shards, c.replicas, c.leafs, c.zones) {
			for _, s := range shards {
				if zones[s] == nil {
					zones[s] = map[int]bool{}
				}
				zones[s][leaf%c.zones] = true
			}
		}
		for s := range zones {
			assert.Equal(t, len(zones[s]), min(c.replicas, c.zones), "%+v shard %d", c, s)
		}
	}
	f, err := StartFleet(FleetConfig{Zones: []string{"a", "b"}, Services: []ServiceConfig{{Name: "s", Shards: 2, Leafs: 2}}})
	assert.NilError(t, err)
	defer f.Close()
	for version := uint64(2); version <= 3; version++ {
		assert.NilError(t, f.AddVersion(Rollout{Service: "s", Version: version, ShardCount: 3}))
	}
	assert.NilError(t, f.SetLoaded(Rollout{Service: "s", Version: 3, Loaded: true}))
	for _, l := range f.Leafs() {
		loaded := 0
		for _, h := range l.index.holdings() {
			assert.Equal(t, h.ShardCount, 3) // version 1 is no longer held
			if h.Loaded {
				loaded++
			}
		}
		assert.Equal(t, loaded, 3)
	}
}
