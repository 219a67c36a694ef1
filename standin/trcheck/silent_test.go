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

// Guards against requests that hang on silent connections, a storm of dials and
// an Execute that is sent again: all open connections of several leafs go silent
// under load, the second time while the platform is down.
func TestSilentConnections(t *testing.T) {
	const keys, connections, senders, silences = 200, 40, 4, 2
	b := startBench(t, trfakeleaf.ServiceConfig{Shards: 4, Records: keys, Limits: trfakeleaf.Limits{
		Slots: 8, Queue: 32, Connections: connections, ServiceMs: 1,
	}}, document(func(d *trconfig.Defaults) {
		d.Fleet.SenderIndexes = senders
		d.Service.Connections = connections
		d.Service.AttemptMs = 1_000
		d.Service.DialTimeoutMs = 400
		d.Class.TimeoutMs = 6_000
		// A hedge that wins closes a connection, which would hide needless dials.
		d.Class.Hedge = false
	}))
	// Many callers open more connections than are used later. If each of them cost
	// a retry, the retry budget would not suffice.
	b.startLoad(LoadConfig{Callers: 40, Pause: time.Millisecond, Request: Mix(searchService, keys), Seed: 50})
	b.await(600)
	b.load.Stop()
	// At most 16 sub-queries are on silent connections at once, which the burst of
	// the retry budget (20) covers even if one instance has them all.
	b.startLoad(LoadConfig{Callers: 4, Pause: time.Millisecond, Request: withExecutes(keys), Seed: 5})
	leafs := b.Leafs.Leafs()
	for n := range silences {
		b.await(300)
		if n == 1 {
			b.Platform.SetDown(trfakeplatform.DownRefuse)
		}
		// One replica of each shard.
		for i := n; i < len(leafs); i += 2 {
			b.apply(leafs[i], trfakeleaf.FaultSilent, trfakeleaf.Fault{})
		}
	}
	b.await(300)
	b.Platform.SetDown(trfakeplatform.DownNot)
	outcomes, events := b.finish()
	none(t, "whole answers", Whole(outcomes))
	none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
	none(t, "executions", Executed(outcomes, events))
	// Each instance may open its share, and once more what went silent.
	share := connections / senders
	none(t, "dials", Dials(3*share*2, events))
	assert.Equal(t, Count(events, trfakeleaf.EventReset), 0)
	answered := 0
	for i := range outcomes {
		if o := &outcomes[i]; o.Request.Kind == trwire.Execute && o.Answer != nil {
			answered++
		}
	}
	assert.Assert(t, answered > 0)
}
