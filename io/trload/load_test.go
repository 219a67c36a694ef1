package trload

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakelink"
	"tanagerrock/standin/trfleet"
)

const (
	bertoldi = "../../examples/bertoldi.jsonc"
	kadewal  = "../../examples/kadewal.jsonc"
)

// Guards against deployment files that differ from the sizes in docs/design.md,
// section 2.3.
func TestDeploymentsMatchTheDesign(t *testing.T) {
	type size struct {
		services, leafs, slots, connections int
		connectMs                           int64
	}
	want := map[string][]size{
		bertoldi: {{20, 2, 2, 25, 6}, {30, 2, 2, 25, 6}, {1, 13, 3, 100, 1}, {1, 6, 3, 100, 1}},
		kadewal:  {{20, 2, 3, 30, 6}, {30, 2, 3, 30, 6}, {1, 9, 6, 50, 1}, {1, 4, 6, 50, 1}},
	}
	for file, sizes := range want {
		s, err := ReadDeployment(file)
		assert.NilError(t, err)
		assert.Equal(t, s.Instances, 9)
		assert.Equal(t, len(s.Zones), 3)
		for i, g := range s.Groups {
			assert.Equal(t, size{g.Services, g.Leafs, g.Slots, g.Connections, g.ConnectMs}, sizes[i], g.Name)
			// The limits in the configuration must be those of the leafs.
			policy, compileErr := trconfig.Compile(s.document)
			assert.NilError(t, compileErr)
			p := policy.Service(g.service(0), "a")
			assert.Equal(t, p.Slots, g.Slots, g.Name)
			assert.Equal(t, p.Connections, g.Connections, g.Name)
		}
	}
}

// Guards against arrivals that differ between runs with the same seed or do not depend
// on the seed, and against a load other than the requested one.
func TestScheduleSeedAndLoad(t *testing.T) {
	s, err := ReadDeployment(bertoldi)
	assert.NilError(t, err)
	a, b := NewSchedule(s, 0.4, 1), NewSchedule(s, 0.4, 1)
	capacity := 0.0
	for i := range s.Groups {
		capacity += s.Groups[i].capacity()
	}
	needed, last := 0, time.Duration(0)
	for range 50_000 {
		x, y := a.Next(), b.Next()
		assert.DeepEqual(t, x, y)
		assert.Assert(t, x.At >= last)
		needed, last = needed+x.Needed, x.At
	}
	load := float64(needed) / last.Seconds() / capacity
	assert.Assert(t, math.Abs(load-0.4) < 0.01, "%g", load)
	assert.Assert(t, NewSchedule(s, 0.4, 2).Next().At != NewSchedule(s, 0.4, 1).Next().At)
}

// Guards against baselines that keep the hedges and retries of the tier or lose the
// Worth of a class.
func TestBaselinesReplaceHedgesAndRetries(t *testing.T) {
	s, err := ReadDeployment(bertoldi)
	assert.NilError(t, err)
	attempts := map[string]int{"random": 1, "roundrobin": 2, "reported": 1}
	for _, p := range Policies() {
		doc, err := p.document(s)
		assert.NilError(t, err)
		assert.Equal(t, len(trconfig.Check(doc)), 0, p.Name)
		policy, compileErr := trconfig.Compile(doc)
		assert.NilError(t, compileErr, p.Name)
		rush := policy.Class("counter", "rush")
		assert.Equal(t, rush.Worth, 10.0, p.Name)
		if want, baseline := attempts[p.Name]; baseline {
			assert.Equal(t, rush.MaxAttempts, want, p.Name)
			assert.Equal(t, rush.Hedge, false, p.Name)
		}
	}
}

// Guards against a report that counts requests of the warm-up, counts partial answers
// as complete ones or omits a time without complete answers.
func TestTally(t *testing.T) {
	s, err := ReadDeployment(bertoldi)
	assert.NilError(t, err)
	from := time.Unix(1_000, 0)
	tally := newTally(s, from, 10*time.Second)
	at := func(sec float64) time.Time { return from.Add(time.Duration(sec * float64(time.Second))) }
	a := &Arrival{Request: trwire.Request{Class: "rush"}, Needed: 2}
	whole := &trwire.Answer{Coverage: trwire.Coverage{Shards: 2, ShardsTotal: 2}}
	partial := &trwire.Answer{Coverage: trwire.Coverage{Shards: 1, ShardsTotal: 2}}
	tally.record(a, at(-1), at(0.5), 0, whole, nil)
	tally.record(a, at(1), at(1.1), 0, whole, nil)
	tally.record(a, at(2), at(2.1), 0, partial, nil)
	tally.record(a, at(3), at(3.1), 0, nil, trwire.Refuse(trwire.Overloaded, "full"))
	tally.record(a, at(4), at(4.1), 0, nil, io.EOF)
	tally.recordNotSent(a, at(5))
	tally.record(a, at(7), at(7.1), 0, whole, nil)
	r := tally.report(counters{Sent: 11, Needed: 10})
	rush := r.Classes[0]
	assert.Equal(t, rush.Requests, int64(6))
	assert.Equal(t, rush.Whole, int64(2))
	assert.Equal(t, rush.Partial, int64(1))
	assert.DeepEqual(t, rush.Failures, map[string]int64{"Overloaded": 1, failNoAnswer: 1, failNotSent: 1})
	assert.Equal(t, rush.Coverage, 5.0/12)
	assert.Equal(t, r.Goodput, 10*2.0/10)
	assert.Assert(t, math.Abs(r.ExtraLoad-0.1) < 1e-9)
	assert.Equal(t, r.GapMs, 6000.0)
	_, err = json.Marshal(r)
	assert.NilError(t, err)
}

// Guards against a simulated network delay that has no effect, and against losing data
// that is in transit when the connection is closed.
func TestDelayedConnection(t *testing.T) {
	clock := trclock.NewManual(time.Unix(1_000, 0))
	clientConn, serverConn := net.Pipe()
	d := trfakelink.NewDelayedConn(clock, clientConn, 5*time.Millisecond)
	_, err := d.Write([]byte("hello"))
	assert.NilError(t, err)
	assert.NilError(t, d.Close())
	got := make(chan string, 1)
	go func() {
		data := make([]byte, 5)
		_, _ = io.ReadFull(serverConn, data) // a failure makes the comparison below fail
		got <- string(data)
	}()
	// Nothing can arrive while the clock does not advance.
	for range 10_000 {
		runtime.Gosched()
		assert.Equal(t, len(got), 0)
	}
	for len(got) == 0 {
		clock.Advance(time.Millisecond)
		runtime.Gosched()
	}
	assert.Equal(t, <-got, "hello")
}

// Guards against a dial per sub-query. If connections are reused, the number of dials
// depends on the numbers of instances, leafs and connections per leaf, not on the number
// of sub-queries. The limit in the test leaves room for hellos that time out on a busy
// machine.
func TestDialsPerSubQuery(t *testing.T) {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0
	doc.Defaults.Service.AttemptMs = 30_000
	doc.Defaults.Service.DialTimeoutMs = 30_000
	doc.Defaults.Class.TimeoutMs = 60_000
	doc.Defaults.Class.Hedge = false // a canceled hedge closes its connection
	fleet, err := trfleet.Start(trfleet.Config{
		Zones: []string{"a"}, Instances: 2, Document: doc, Seed: 1,
		Services: []trfakeleaf.ServiceConfig{{Name: "search", Shards: 2, Limits: trfakeleaf.Limits{Queue: 4}}},
	})
	assert.NilError(t, err)
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // ends a test that hangs
	defer cancel()
	assert.NilError(t, fleet.AwaitReady(ctx))
	client := trcaller.New(4)
	defer client.Close()
	const queries = 400
	for n := range queries {
		i := fleet.Instances()[n%2]
		_, err := client.Do(ctx, i.Addr(), &trwire.Request{Kind: trwire.Query, Tenant: "t", Class: "c", Service: "search", Limit: 5})
		assert.NilError(t, err)
	}
	var sent, needed, dials int64
	for _, i := range fleet.Instances() {
		s, n := i.Server.SubQueries()
		sent, needed, dials = sent+s, needed+n, dials+i.Server.Dials()
	}
	assert.Equal(t, needed, int64(2*queries))
	assert.Equal(t, sent, needed)
	assert.Assert(t, float64(dials) <= 0.1*float64(needed), "%d dials for %d sub-queries", dials, needed)
}
