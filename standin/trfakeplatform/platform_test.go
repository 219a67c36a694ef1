package trfakeplatform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

type client struct {
	t    *testing.T
	base string
}

func startPlatform(t *testing.T, cfg Config) (*Platform, client) {
	p := New(cfg)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(p.Close)
	return p, client{t, srv.URL}
}

// call sends a request and decodes the body of the response into reply. It returns the
// status, or 0 if the platform closed the connection.
func (c client) call(method, path string, body, reply any) int {
	c.t.Helper()
	raw, err := json.Marshal(body)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(method, c.base+path, bytes.NewReader(raw))
	assert.NilError(c.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	if reply != nil && len(got) > 0 {
		assert.NilError(c.t, json.Unmarshal(got, reply), string(got))
	}
	return resp.StatusCode
}

// Guards against writes that ignore the version and against a version that restarts
// after a deletion, so that a watch would miss the new entry.
func TestCompareAndSwap(t *testing.T) {
	_, c := startPlatform(t, Config{})
	for i, step := range []struct {
		method, path string
		prev         uint64
		status       int
		version      uint64
	}{
		{"PUT", "/v1/kv/once/a", 0, 200, 1},
		{"PUT", "/v1/kv/once/a", 0, 409, 0},
		{"PUT", "/v1/kv/once/a", 1, 200, 2},
		{"GET", "/v1/kv/once/a", 0, 200, 2},
		{"DELETE", "/v1/kv/once/a?PrevVersion=1", 0, 409, 0},
		{"DELETE", "/v1/kv/once/a?PrevVersion=2", 0, 204, 0},
		{"GET", "/v1/kv/once/a", 0, 404, 0},
		{"PUT", "/v1/kv/once/a", 0, 200, 3},
	} {
		var e trwire.Entry
		status := c.call(step.method, step.path, trwire.PutRequest{PrevVersion: step.prev}, &e)
		assert.Equal(t, status, step.status, "step %d", i)
		assert.Equal(t, e.Version, step.version, "step %d", i)
	}
	var l trwire.EntryList
	c.call("PUT", "/v1/kv/other", trwire.PutRequest{}, nil)
	assert.Equal(t, c.call("GET", "/v1/kv?Prefix=once/", nil, &l), 200)
	assert.Equal(t, len(l.Entries), 1)
}

// Guards against a lost response that also loses the write, and against a stale read
// that affects compare-and-swap.
func TestLostResponseAndStaleRead(t *testing.T) {
	p, c := startPlatform(t, Config{})
	c.call("PUT", "/v1/kv/k", trwire.PutRequest{Value: []byte("1")}, nil)
	assert.Equal(t, c.call("POST", "/control/lose", ControlRequest{Count: 1}, nil), 204)
	assert.Equal(t, c.call("PUT", "/v1/kv/k", trwire.PutRequest{Value: []byte("2"), PrevVersion: 1}, nil), 0)
	e, _ := p.Get("k")
	assert.Equal(t, string(e.Value), "2")
	assert.Equal(t, c.call("POST", "/control/stale", ControlRequest{Key: "k", Back: 1}, nil), 204)
	assert.Equal(t, c.call("GET", "/v1/kv/k", nil, &e), 200)
	assert.Equal(t, string(e.Value), "1")
	assert.Equal(t, c.call("PUT", "/v1/kv/k", trwire.PutRequest{PrevVersion: 2}, nil), 200)
}

// Guards against keys that outlive their lease and against leases that expire in spite
// of a renewal.
func TestExpiredLeaseDeletesKeys(t *testing.T) {
	var clock trclock.Manual
	p, c := startPlatform(t, Config{Clock: &clock})
	var l trwire.Lease
	c.call("POST", "/v1/leases", trwire.LeaseRequest{TTLMs: 1000}, &l)
	assert.Equal(t, c.call("PUT", "/v1/kv/k", trwire.PutRequest{LeaseID: l.ID}, nil), 200)
	clock.Advance(900 * time.Millisecond)
	assert.Equal(t, c.call("PUT", "/v1/leases/"+l.ID, nil, nil), 200)
	clock.Advance(900 * time.Millisecond)
	_, ok := p.Get("k")
	assert.Assert(t, ok)
	clock.Advance(100 * time.Millisecond)
	_, ok = p.Get("k")
	assert.Assert(t, !ok)
	assert.Equal(t, c.call("PUT", "/v1/leases/"+l.ID, nil, nil), 404)
	assert.Equal(t, c.call("PUT", "/v1/kv/k", trwire.PutRequest{LeaseID: l.ID}, nil), 404)
}

// Guards against a list that shows changes before the lag has passed or hides them
// again when the lag is increased.
func TestListLag(t *testing.T) {
	var clock trclock.Manual
	p, c := startPlatform(t, Config{Clock: &clock, ListLagMs: 2000})
	leaf := trwire.Instance{ID: "l", Role: trwire.RoleLeaf, Zone: "a", Addr: "x:1", State: trwire.StateLive}
	assert.Equal(t, c.call("POST", "/control/instances", ListChange{Add: []trwire.Instance{leaf}}, nil), 204)
	assert.Equal(t, len(p.Instances().Instances), 0)
	clock.Advance(2 * time.Second)
	assert.Equal(t, len(p.Instances().Instances), 1)
	p.SetListLag(10_000)
	p.ChangeInstances(ListChange{Leaving: []string{"l"}})
	assert.Equal(t, p.Instances().Instances[0].State, trwire.StateLive)
	clock.Advance(10 * time.Second)
	assert.Equal(t, p.Instances().Instances[0].State, trwire.StateLeaving)
}

// Guards against a watch that misses the write it waits for or that outlives the start
// of an outage, and against calls that are not counted.
func TestWatchEndsWithWriteAndWithOutage(t *testing.T) {
	p, c := startPlatform(t, Config{})
	status := make(chan int)
	watch := func() { status <- c.call("GET", "/v1/watch/k?After=0&WaitMs=60000", nil, nil) }
	go watch()
	p.Put("k", trwire.PutRequest{})
	assert.Equal(t, <-status, 200)
	go func() { status <- c.call("GET", "/v1/watch/k?After=1&WaitMs=60000", nil, nil) }()
	p.SetDown(DownRefuse)
	assert.Equal(t, <-status, 0)
	assert.Equal(t, c.call("GET", "/v1/kv/k", nil, nil), 0)
	p.SetDown(DownNone)
	assert.Equal(t, c.call("GET", "/v1/kv/k", nil, nil), 200)
	var counts map[string]uint64
	assert.Equal(t, c.call("GET", "/control/counts", nil, &counts), 200)
	assert.Assert(t, counts[countGet] >= 2 && counts[countWatch] >= 2, "%v", counts)
}

// Guards against a hanging platform that responds, or that performs a write received
// during the outage.
func TestHangingCallsHaveNoEffect(t *testing.T) {
	p, c := startPlatform(t, Config{})
	p.SetDown(DownHang)
	status := make(chan int)
	go func() { status <- c.call("PUT", "/v1/kv/k", trwire.PutRequest{}, nil) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Counts()[countWhileDown] == 1 {
			return poll.Success()
		}
		return poll.Continue("no call yet")
	}, poll.WithDelay(time.Millisecond))
	p.SetDown(DownNone)
	assert.Equal(t, <-status, 0)
	_, ok := p.Get("k")
	assert.Assert(t, !ok)
}
