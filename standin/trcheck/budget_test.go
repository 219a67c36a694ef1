package trcheck

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/standin/trfakeleaf"
)

// Guards against extra load when everything is slow at once: all leafs become
// slow, some shed and one restarts, and still hedges and retries keep to their
// budgets by the journals of the leafs.
func TestBudgets(t *testing.T) {
	const keys, shards, instances, burst = 100, 4, 3, 20
	var hedgeShare, retryShare float64
	b := startBench(t, trfakeleaf.ServiceConfig{Shards: shards, Records: keys, Limits: trfakeleaf.Limits{
		Slots: 4, Queue: 8, ServiceMs: 4, ServiceSigma: 0.5,
	}}, document(func(d *trconfig.Defaults) {
		hedgeShare, retryShare = d.Fleet.HedgeShare, d.Fleet.RetryShare
		d.Service.AttemptMs = 100
		d.Class.TimeoutMs = 400
	}))
	b.startLoad(LoadConfig{Callers: 24, Request: Mix(searchService, keys), Seed: 6})
	b.await(200)
	for i, l := range b.Leafs.Leafs() {
		b.apply(l, trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 20})
		if i%3 == 0 {
			b.apply(l, trfakeleaf.FaultShed, trfakeleaf.Fault{Share: 0.3})
		}
	}
	b.Leafs.Leafs()[1].Restart(0)
	settled := len(b.load.Outcomes())
	b.until("many requests met slow leafs", func() bool { return len(b.load.Outcomes()) >= settled+700 })
	outcomes, events := b.finish()
	// Hedges and retries each have a burst per instance.
	none(t, "extra sub-queries", Extra(shards, hedgeShare+retryShare, 2*burst*instances, outcomes, events))
	none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
	assert.Assert(t, Count(events, trfakeleaf.EventCanceled) > 0)
}
