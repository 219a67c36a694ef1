package trcheck

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// badReplies are all kinds of bad reply of the stand-in.
var badReplies = []trfakeleaf.BadReply{
	trfakeleaf.BadWrongShard, trfakeleaf.BadCrossed, trfakeleaf.BadDoubled, trfakeleaf.BadTruncated, trfakeleaf.BadFrozen,
	trfakeleaf.BadEndless, trfakeleaf.BadGarbage, trfakeleaf.BadNotLoaded, trfakeleaf.BadFailed,
}

// Guards against coverage that does not match the replies of the leafs. Every kind of
// bad reply occurs on several leafs while both replicas of a shard are down or not
// loaded, in turn, and other leafs restart.
func TestCoverageMatchesReplies(t *testing.T) {
	const keys, shards = 200, 4
	f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: shards, Records: keys}, newDocument(func(d *trconfig.Defaults) {
		d.Service.AttemptMs = 150
		d.Class.TimeoutMs = 600
		d.Class.MaxAttempts = 2
		d.Class.AllowPartial = true
	}))
	f.startLoad(LoadConfig{Callers: 12, Request: RequestMix(searchService, keys), Seed: 2})
	leafs := f.Leafs.Leafs()
	for n, bad := range badReplies {
		for k := range 3 {
			f.applyFault(leafs[(n+2*k)%len(leafs)], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: bad, Count: 15})
		}
		f.awaitAnswers(30)
		// Shard s is on leafs 2s and 2s+1.
		lost := leafs[2*(n%shards) : 2*(n%shards)+2]
		for _, l := range lost {
			if n%2 == 0 {
				l.Restart(testTimeout)
			} else {
				f.applyFault(l, trfakeleaf.FaultLoaded, trfakeleaf.Fault{Version: 1})
			}
		}
		f.awaitAnswers(60)
		for _, l := range lost {
			if n%2 == 0 {
				l.Restart(0)
			} else {
				f.applyFault(l, trfakeleaf.FaultLoaded, trfakeleaf.Fault{Version: 1, Loaded: true})
			}
		}
		leafs[(2*n+5)%len(leafs)].Restart(0)
		f.awaitAnswers(30)
	}
	outcomes, events := f.finish()
	assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
	assertNoViolations(t, "coverage", Coverage(outcomes, events))
	assert.Assert(t, Summary(outcomes)["Partial"] > 0)
	corrupted := map[string]int{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventBadReply {
			corrupted[e.Reason]++
		}
	}
	assert.Equal(t, len(corrupted), len(badReplies), "kinds of bad reply: %v", corrupted)
}

// Guards against an order of records that depends on the instance or on the order in
// which the leafs reply. All instances answer the same queries at one version while
// replies are slow or corrupted and leafs restart.
func TestSameRecordsFromEveryInstance(t *testing.T) {
	const keys = 200
	f := startTestFleet(t, trfakeleaf.ServiceConfig{
		Shards: 4, Records: keys, Limits: trfakeleaf.Limits{ServiceMs: 1, ServiceSigma: 1, Queue: 8},
	}, newDocument())
	f.startLoad(LoadConfig{Callers: 9, Request: RequestMix(searchService, keys), Seed: 3})
	leafs := f.Leafs.Leafs()
	for n := range 6 {
		f.awaitAnswers(60)
		f.applyFault(leafs[n], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: badReplies[n], Count: 5})
		leafs[(n+3)%len(leafs)].Restart(0)
	}
	f.awaitAnswers(60)
	outcomes, events := f.finish()
	assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
	assertNoViolations(t, "coverage", Coverage(outcomes, events))
	assertNoViolations(t, "same records", SameRecords(outcomes))
	instances := map[string]bool{}
	for i := range outcomes {
		if a := outcomes[i].Answer; a != nil {
			instances[a.Instance] = true
		}
	}
	assert.Equal(t, len(instances), 3)
}

// Guards against checks that find nothing: each fault injected into an outcome or a
// journal must be found.
func TestChecksFindInjectedFaults(t *testing.T) {
	data := trfakeleaf.Dataset{Service: searchService, Seed: 1, Records: 60}
	const shards = 3
	validOutcome := func() (*Outcome, []trfakeleaf.Event) {
		records := data.ExpectedRecords(5, "", 0)
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
		name   string
		inject func(o *Outcome, events []trfakeleaf.Event) []trfakeleaf.Event
		want   int
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
		{"shard served by a corrupted reply", func(_ *Outcome, e []trfakeleaf.Event) []trfakeleaf.Event {
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
			o, events := validOutcome()
			events = c.inject(o, events)
			outcomes := []Outcome{*o}
			violations := append(Answers(data, outcomes), Coverage(outcomes, events)...)
			assert.Equal(t, len(violations), c.want, "%v", violations)
		})
	}
}
