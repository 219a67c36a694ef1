package trcheck

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trmember"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
)

const (
	coldMs         = 2_000
	coldConcurrent = 1
	coldPerSecond  = 50
	coldSenders    = 4
	// warmWork is the number of sub-queries after which a leaf counts as warm.
	warmWork = 20
)

var coldLimits = ColdLimits{Concurrent: coldConcurrent, PerSecond: coldPerSecond}

// coldDocument has short turns, and as many sender indexes as instances with one
// being replaced, so that nearly every turn is used.
func coldDocument() *trconfig.Document {
	return document(func(d *trconfig.Defaults) {
		d.Fleet.SenderIndexes = coldSenders
		d.Fleet.TurnMs = 100
		d.Fleet.SlowStartMs = 200
		d.Service.ColdMs = coldMs
		d.Service.ColdConcurrent = coldConcurrent
		d.Service.ColdPerSecond = coldPerSecond
		d.Service.AttemptMs = 40
		// Hedges cancel many sub-queries to cold leafs.
		d.Fleet.HedgeShare = 1
		d.Class.HedgeQuantile = 0.5
	})
}

// Guards against a leaf that receives more than it bears after a start, summed
// over all instances, and against one that is never used again.
func TestColdLeafs(t *testing.T) {
	cases := []struct {
		name string
		run  func(b *bench)
	}{
		{"restarts under load", func(b *bench) {
			b.restartWarm(b.Leafs.Leafs()[1])
		}},
		{"restarts again while the platform is down", func(b *bench) {
			l := b.Leafs.Leafs()[0]
			b.Platform.SetDown(trfakeplatform.DownRefuse)
			l.Restart(0)
			b.await(100)
			b.restartWarm(l)
			b.Platform.SetDown(trfakeplatform.DownNot)
			b.await(50)
		}},
		{"restarts while an instance is replaced", func(b *bench) {
			l := b.Leafs.Leafs()[2]
			l.Restart(0)
			b.replace(0)
			l.Restart(0)
			b.replace(0)
			b.awaitWarm(l)
		}},
		{"restarts while it is slow, so that hedges cancel its sub-queries", func(b *bench) {
			l := b.Leafs.Leafs()[1]
			b.apply(l, trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 8})
			b.restartWarm(l)
		}},
		{"all leafs of a zone restart while the platform hangs", func(b *bench) {
			b.Platform.SetDown(trfakeplatform.DownHang)
			var zone []*trfakeleaf.Leaf
			for _, l := range b.Leafs.Leafs() {
				if l.Instance().Zone == "a" {
					zone = append(zone, l)
					l.Restart(0)
				}
			}
			assert.Assert(b.t, len(zone) > 1)
			b.awaitWarm(zone...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const keys = 60
			b := startBench(t, trfakeleaf.ServiceConfig{Shards: 2, Records: keys, Limits: trfakeleaf.Limits{
				Slots: 2, Queue: 8, ServiceMs: 3, ServiceSigma: 1,
				ColdMs: coldMs, ColdConcurrent: coldConcurrent, ColdPerSecond: coldPerSecond,
			}}, coldDocument())
			b.startLoad(LoadConfig{Callers: 8, Request: Mix(searchService, keys), Seed: 4})
			b.awaitWarm(b.Leafs.Leafs()...)
			c.run(b)
			outcomes, events := b.finish()
			none(t, "cold leafs", Cold(coldLimits, events))
			none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
			b.checkSenders()
			cold, canceled := 0, 0
			for _, e := range events {
				if e.Type == trfakeleaf.EventReceived && e.Cold {
					cold++
				}
				if e.Type == trfakeleaf.EventCanceled && e.Cold {
					canceled++
				}
			}
			t.Logf("%d sub-queries to cold leafs, %d canceled", cold, canceled)
			assert.Assert(t, cold > 0)
		})
	}
}

// checkSenders guards against a claim under a configuration that is not in force:
// it would be for an index that has no turn.
func (b *bench) checkSenders() {
	b.t.Helper()
	entry, ok := b.Platform.Get(trmember.SenderKeyPrefix + "fleet")
	assert.Assert(b.t, ok)
	table, err := trmember.DecodeSenderTable(entry.Value, entry.Version)
	assert.NilError(b.t, err)
	for _, e := range table.Entries {
		assert.Assert(b.t, e.Index < coldSenders, "index %d of %d is claimed", e.Index, coldSenders)
	}
}

// restartWarm restarts a leaf and waits until it serves normal work again.
func (b *bench) restartWarm(l *trfakeleaf.Leaf) {
	b.t.Helper()
	l.Restart(0)
	b.awaitWarm(l)
}

// awaitWarm waits until the present start of each leaf has served normal work.
func (b *bench) awaitWarm(leafs ...*trfakeleaf.Leaf) {
	b.t.Helper()
	for _, l := range leafs {
		b.until("leaf "+l.ID()+" serves normal work", func() bool {
			events := l.Journal().Events()
			none(b.t, "cold leafs", Cold(coldLimits, events))
			if b.t.Failed() {
				b.t.FailNow() // a leaf that falls over may never get warm
			}
			_, warm := StartLoadOf(l.StartID(), events)
			return warm >= warmWork
		})
	}
}
