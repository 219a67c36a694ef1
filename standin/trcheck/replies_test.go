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
	mix := RequestMix(searchService, keys)
	return func(rng *rand.Rand, n int) trwire.Request {
		req := mix(rng, n)
		if n%6 == 5 {
			req.Kind, req.Terms, req.Limit = trwire.Execute, "", 0
			req.Key = fmt.Sprintf("%s-%06d", searchService, rng.IntN(keys))
		}
		return req
	}
}

// Guards against an answer to another request, a partial answer that is reported as
// complete, and an Execute that is executed twice. Each kind of bad reply occurs under a
// load of different concurrent requests while another leaf restarts.
func TestAnswersAreCompleteAndNotMixedUp(t *testing.T) {
	const keys = 200
	for i, bad := range badReplies {
		t.Run(string(bad), func(t *testing.T) {
			t.Parallel()
			f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: 2, Records: keys, Limits: trfakeleaf.Limits{Slots: 4, Queue: 16}},
				newDocument(func(d *trconfig.Defaults) {
					d.Service.AttemptMs = 200
					d.Class.TimeoutMs = 1_000
				}))
			f.startLoad(LoadConfig{Callers: 10, Request: withExecutes(keys), Seed: uint64(10 + i)})
			leafs := f.Leafs.Leafs()
			for round := range 6 {
				f.awaitAnswers(25)
				f.applyFault(leafs[round%len(leafs)], trfakeleaf.FaultBad, trfakeleaf.Fault{Bad: bad, Count: 8})
				leafs[(round+2)%len(leafs)].Restart(0)
			}
			f.awaitAnswers(60)
			outcomes, events := f.finish()
			assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
			assertNoViolations(t, "coverage", Coverage(outcomes, events))
			assertNoViolations(t, "executions", Executions(outcomes, events))
			assert.Equal(t, Summary(outcomes)["Partial"], 0)
			assert.Assert(t, CountEvents(events, trfakeleaf.EventBadReply) > 0)
		})
	}
}
