package trcheck

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/standin/trfakeleaf"
)

// Guards against hedges and retries beyond their budgets when everything is slow at
// once: all leafs become slow, some shed and one restarts. The sub-queries are counted
// in the journals of the leafs.
func TestBudgets(t *testing.T) {
	const keys, shards, instances, burst = 100, 4, 3, 20
	var hedgeShare, retryShare float64
	f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: shards, Records: keys, Limits: trfakeleaf.Limits{
		Slots: 4, Queue: 8, ServiceMs: 4, ServiceSigma: 0.5,
	}}, newDocument(func(d *trconfig.Defaults) {
		hedgeShare, retryShare = d.Fleet.HedgeShare, d.Fleet.RetryShare
		d.Service.AttemptMs = 100
		d.Class.TimeoutMs = 400
	}))
	f.startLoad(LoadConfig{Callers: 24, Request: RequestMix(searchService, keys), Seed: 6})
	f.awaitAnswers(200)
	for i, l := range f.Leafs.Leafs() {
		f.applyFault(l, trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 20})
		if i%3 == 0 {
			f.applyFault(l, trfakeleaf.FaultShed, trfakeleaf.Fault{Share: 0.3})
		}
	}
	f.Leafs.Leafs()[1].Restart(0)
	before := len(f.load.Outcomes())
	f.waitUntil("many requests ran on slow leafs", func() bool { return len(f.load.Outcomes()) >= before+700 })
	outcomes, events := f.finish()
	// Hedges and retries each have their own burst per instance.
	assertNoViolations(t, "extra sub-queries", ExtraLoad(shards, hedgeShare+retryShare, 2*burst*instances, outcomes, events))
	assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
	assert.Assert(t, CountEvents(events, trfakeleaf.EventCanceled) > 0)
}
