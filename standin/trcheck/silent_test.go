package trcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
)

// Guards against requests that hang on silent connections, against more dials than are
// needed to replace them, and against an Execute that is run twice. Under load, all
// connections of one replica of each shard go silent, then those of the other replica
// while the platform is down.
func TestSilentConnections(t *testing.T) {
	const keys, connections, senderIndexes, rounds = 200, 40, 4, 2
	f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: 4, Records: keys, Limits: trfakeleaf.Limits{
		Slots: 8, Queue: 32, Connections: connections, ServiceMs: 1,
	}}, newDocument(func(d *trconfig.Defaults) {
		d.Fleet.SenderIndexes = senderIndexes
		d.Service.Connections = connections
		d.Service.AttemptMs = 1_000
		d.Service.DialTimeoutMs = 400
		d.Class.TimeoutMs = 6_000
		// A successful hedge closes a connection, which would hide unnecessary dials.
		d.Class.Hedge = false
	}))
	// Many callers open more connections than are used later. If each of these
	// connections cost a retry, the retry budget would not suffice.
	f.startLoad(LoadConfig{Callers: 40, Pause: time.Millisecond, Request: RequestMix(searchService, keys), Seed: 50})
	f.awaitAnswers(600)
	f.load.Stop()
	// At most 16 sub-queries (4 callers, 4 shards) are on silent connections at once.
	// The burst of the retry budget (20) covers them even if one instance sent them all.
	f.startLoad(LoadConfig{Callers: 4, Pause: time.Millisecond, Request: withExecutes(keys), Seed: 5})
	leafs := f.Leafs.Leafs()
	for n := range rounds {
		f.awaitAnswers(300)
		if n == 1 {
			f.Platform.SetDown(trfakeplatform.DownRefuse)
		}
		// One replica of each shard.
		for i := n; i < len(leafs); i += 2 {
			f.applyFault(leafs[i], trfakeleaf.FaultSilent, trfakeleaf.Fault{})
		}
	}
	f.awaitAnswers(300)
	f.Platform.SetDown(trfakeplatform.DownNone)
	outcomes, events := f.finish()
	assertNoViolations(t, "complete answers", Complete(outcomes))
	assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
	assertNoViolations(t, "executions", Executions(outcomes, events))
	// Each of the three instances may open its share of a leaf's connections once, and
	// once more to replace the silent ones.
	share := connections / senderIndexes
	assertNoViolations(t, "dials", Dials(3*share*2, events))
	assert.Equal(t, CountEvents(events, trfakeleaf.EventReset), 0)
	answered := 0
	for i := range outcomes {
		if o := &outcomes[i]; o.Request.Kind == trwire.Execute && o.Answer != nil {
			answered++
		}
	}
	assert.Assert(t, answered > 0)
}
