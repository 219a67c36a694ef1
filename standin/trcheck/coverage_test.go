package trcheck

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// badReplies are all ways in which the stand-in spoils a reply.
var badReplies = []trfakeleaf.BadReply{
	trfakeleaf.BadWrongShard, trfakeleaf.BadCrossed, trfakeleaf.BadDoubled, trfakeleaf.BadTruncated, trfakeleaf.BadFrozen,
	trfakeleaf.BadEndless, trfakeleaf.BadGarbage, trfakeleaf.BadNotLoaded, trfakeleaf.BadFailed,
}

// Guards against coverage that is reported but not had: every kind of bad reply
// on several leafs, while in turn a shard loses both replicas, a leaf has its
// shard not loaded and a leaf restarts.
func TestCoverageIsTrue(t *testing.T) {
	const keys, shards = 200, 4
	b := startBench(t, trfakeleaf.ServiceConfig{Shards: shards, Records: keys}, document(func(d *trconfig.Defaults) {
		d.Service.AttemptMs = 150
		d.Class.TimeoutMs = 600
		d.Class.MaxAttempts = 2
		d.Class.AllowPartial = true
	}))
	b.startLoad(LoadConfig{Callers: 12, Request: Mix(searchService, keys), Seed: 2})
	leafs := b.Leafs.Leafs()
	for n, bad := range badReplies {
		for k := range 3 {
			b.apply(leafs[(n+2*k)%len(leafs)], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: bad, Count: 15})
		}
		b.await(30)
		// Shard s is on the leafs 2s and 2s+1.
		lost := leafs[2*(n%shards) : 2*(n%shards)+2]
		for _, l := range lost {
			if n%2 == 0 {
				l.Restart(testTimeout)
			} else {
				b.apply(l, trfakeleaf.FaultLoaded, trfakeleaf.Fault{Version: 1})
			}
		}
		b.await(60)
		for _, l := range lost {
			if n%2 == 0 {
				l.Restart(0)
			} else {
				b.apply(l, trfakeleaf.FaultLoaded, trfakeleaf.Fault{Version: 1, Loaded: true})
			}
		}
		leafs[(2*n+5)%len(leafs)].Restart(0)
		b.await(30)
	}
	outcomes, events := b.finish()
	none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
	none(t, "coverage", Served(outcomes, events))
	assert.Assert(t, Summary(outcomes)["Partial"] > 0)
	spoilt := map[string]int{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventBadReply {
			spoilt[e.Reason]++
		}
	}
	assert.Equal(t, len(spoilt), len(badReplies), "kinds of bad reply: %v", spoilt)
}

// Guards against an order of records that depends on the instance or on the
// order in which leafs reply: the same queries at one version from every instance
// while replies are slow or spoilt and leafs restart.
func TestSameRecordsFromEveryInstance(t *testing.T) {
	const keys = 200
	b := startBench(t, trfakeleaf.ServiceConfig{
		Shards: 4, Records: keys, Limits: trfakeleaf.Limits{ServiceMs: 1, ServiceSigma: 1, Queue: 8},
	}, document())
	b.startLoad(LoadConfig{Callers: 9, Request: Mix(searchService, keys), Seed: 3})
	leafs := b.Leafs.Leafs()
	for n := range 6 {
		b.await(60)
		b.apply(leafs[n], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: badReplies[n], Count: 5})
		leafs[(n+3)%len(leafs)].Restart(0)
	}
	b.await(60)
	outcomes, events := b.finish()
	none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
	none(t, "coverage", Served(outcomes, events))
	none(t, "same records", Same(outcomes))
	instances := map[string]bool{}
	for i := range outcomes {
		if a := outcomes[i].Answer; a != nil {
			instances[a.Instance] = true
		}
	}
	assert.Equal(t, len(instances), 3)
}

// Guards against checks that see nothing: each planted fault in a record or a
// journal must be found.
func TestChecksFindFaults(t *testing.T) {
	data := trfakeleaf.Dataset{Service: searchService, Seed: 1, Records: 60}
	const shards = 3
	good := func() (*Outcome, []trfakeleaf.Event) {
		records := data.Expect(5, "", 0)
		o := &Outcome{Request: trwire.Request{RequestID: "r", Kind: trwire.Query, Service: searchService, MinVersion: 5}}
		o.Answer = &trwire.Answer{RequestID: "r", Service: searchService, Version: 5, Records: records}
		o.Answer.Coverage = trwire.Coverage{Shards: shards, ShardsTotal: shards, Records: uint64(len(records)), RecordsTotal: uint64(len(records))}
		var events []trfakeleaf.Event
		for s := range shards {
			events = append(events, trfakeleaf.Event{
				Type: trfakeleaf.EventFinished, LeafID: "l", StartID: "s", RequestID: "r", SubID: fmt.Sprint(s),
				Version: 5, Shard: s, ShardCount: shards,
			})
		}
		return o, events
	}
	cases := []struct {
		name  string
		plant func(o *Outcome, events []trfakeleaf.Event) []trfakeleaf.Event
		want  int
	}{
		{"none", func(_ *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event { return e }, 0},
		{"older version", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event { o.Request.MinVersion = 6; return e }, 1},
		{"other request", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event { o.Request.RequestID = "q"; return e }, 1},
		{"record lost", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
			o.Answer.Records = o.Answer.Records[1:]
			return e
		}, 1},
		{"record of another version", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
			o.Answer.Records[0].Value = []byte(`{"Version":4}`)
			return e
		}, 1},
		{"records swapped", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
			r := o.Answer.Records
			r[0], r[1] = r[1], r[0]
			return e
		}, 1},
		{"shard not served", func(_ *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event { return e[1:] }, 1},
		{"shard served by a spoilt reply", func(_ *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
			return append(e, trfakeleaf.Event{Type: trfakeleaf.EventBadReply, SubID: "1", Reason: string(trfakeleaf.BadTruncated)})
		}, 1},
		{"coverage too low", func(o *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
			o.Answer.Coverage.Shards--
			o.Answer.Coverage.Missing = []trwire.MissingShard{{Shard: 0, Reason: trwire.MissFailed}}
			return e
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, events := good()
			events = c.plant(o, events)
			outcomes := []Outcome{*o}
			faults := append(Answers(data, outcomes), Served(outcomes, events)...)
			assert.Equal(t, len(faults), c.want, "%v", faults)
		})
	}
}
