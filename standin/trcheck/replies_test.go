package trcheck

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// withExecutes makes every sixth request an Execute.
func withExecutes(keys int) func(rng *rand.Rand, n int) trwire.Request {
	mix := Mix(searchService, keys)
	return func(rng *rand.Rand, n int) trwire.Request {
		req := mix(rng, n)
		if n%6 == 5 {
			req.Kind, req.Terms, req.Limit = trwire.Execute, "", 0
			req.Key = fmt.Sprintf("%s-%06d", searchService, rng.IntN(keys))
		}
		return req
	}
}

// Guards against an answer that is another caller's, a part of an answer that
// passes as whole, and an Execute that runs twice: each kind of bad reply under
// load with different requests at once, while another leaf restarts.
func TestOwnWholeAnswer(t *testing.T) {
	const keys = 200
	for i, bad := range badReplies {
		t.Run(string(bad), func(t *testing.T) {
			t.Parallel()
			b := startBench(t, trfakeleaf.ServiceConfig{Shards: 2, Records: keys, Limits: trfakeleaf.Limits{Slots: 4, Queue: 16}},
				document(func(d *trconfig.Defaults) {
					d.Service.AttemptMs = 200
					d.Class.TimeoutMs = 1_000
				}))
			b.startLoad(LoadConfig{Callers: 10, Request: withExecutes(keys), Seed: uint64(10 + i)})
			leafs := b.Leafs.Leafs()
			for round := range 6 {
				b.await(25)
				b.apply(leafs[round%len(leafs)], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: bad, Count: 8})
				leafs[(round+2)%len(leafs)].Restart(0)
			}
			b.await(60)
			outcomes, events := b.finish()
			none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
			none(t, "coverage", Served(outcomes, events))
			none(t, "executions", Executed(outcomes, events))
			assert.Equal(t, Summary(outcomes)["Partial"], 0)
			assert.Assert(t, Count(events, trfakeleaf.EventBadReply) > 0)
		})
	}
}
