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
	// warmSubQueries is the number of sub-queries that a leaf must finish after its cold
	// phase to count as warm.
	warmSubQueries = 20
)

var coldLimits = ColdLimits{Concurrent: coldConcurrent, PerSecond: coldPerSecond}

// coldDocument returns a configuration with short time slots for senders to cold leafs.
// It has only as many sender indexes as there are instances while one is being replaced,
// so that nearly every time slot is used.
func coldDocument() *trconfig.Document {
	return newDocument(func(d *trconfig.Defaults) {
		d.Fleet.SenderIndexes = coldSenders
		d.Fleet.TurnMs = 100
		d.Fleet.SlowStartMs = 200
		d.Service.ColdMs = coldMs
		d.Service.ColdConcurrent = coldConcurrent
		d.Service.ColdPerSecond = coldPerSecond
		d.Service.AttemptMs = 40
		// Many hedges, so that many sub-queries to cold leafs are canceled.
		d.Fleet.HedgeShare = 1
		d.Class.HedgeQuantile = 0.5
	})
}

// Guards against instances that together exceed the limits of a leaf during its cold
// phase, and against a leaf that never receives normal load again.
func TestColdLeafs(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *testFleet)
	}{
		{"restarts under load", func(f *testFleet) {
			f.restartAndAwaitWarm(f.Leafs.Leafs()[1])
		}},
		{"restarts again while the platform is down", func(f *testFleet) {
			l := f.Leafs.Leafs()[0]
			f.Platform.SetDown(trfakeplatform.DownRefuse)
			l.Restart(0)
			f.awaitAnswers(100)
			f.restartAndAwaitWarm(l)
			f.Platform.SetDown(trfakeplatform.DownNone)
			f.awaitAnswers(50)
		}},
		{"restarts while an instance is replaced", func(f *testFleet) {
			l := f.Leafs.Leafs()[2]
			l.Restart(0)
			f.replaceInstance(0)
			l.Restart(0)
			f.replaceInstance(0)
			f.awaitWarm(l)
		}},
		{"restarts while it is slow, so that hedges cancel its sub-queries", func(f *testFleet) {
			l := f.Leafs.Leafs()[1]
			f.applyFault(l, trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: 8})
			f.restartAndAwaitWarm(l)
		}},
		{"all leafs of a zone restart while the platform hangs", func(f *testFleet) {
			f.Platform.SetDown(trfakeplatform.DownHang)
			var zone []*trfakeleaf.Leaf
			for _, l := range f.Leafs.Leafs() {
				if l.Instance().Zone == "a" {
					zone = append(zone, l)
					l.Restart(0)
				}
			}
			assert.Assert(f.t, len(zone) > 1)
			f.awaitWarm(zone...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const keys = 60
			f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: 2, Records: keys, Limits: trfakeleaf.Limits{
				Slots: 2, Queue: 8, ServiceMs: 3, ServiceSigma: 1,
				ColdMs: coldMs, ColdConcurrent: coldConcurrent, ColdPerSecond: coldPerSecond,
			}}, coldDocument())
			f.startLoad(LoadConfig{Callers: 8, Request: RequestMix(searchService, keys), Seed: 4})
			f.awaitWarm(f.Leafs.Leafs()...)
			c.run(f)
			outcomes, events := f.finish()
			assertNoViolations(t, "cold leafs", ColdLoad(coldLimits, events))
			assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
			f.checkSenderIndexes()
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

// checkSenderIndexes guards against the claim of an index under a configuration that is
// not in force: such an index would have no time slot.
func (f *testFleet) checkSenderIndexes() {
	f.t.Helper()
	entry, ok := f.Platform.Get(trmember.SenderKeyPrefix + "fleet")
	assert.Assert(f.t, ok)
	table, err := trmember.DecodeSenderTable(entry.Value, entry.Version)
	assert.NilError(f.t, err)
	for _, e := range table.Entries {
		assert.Assert(f.t, e.Index < coldSenders, "index %d of %d is claimed", e.Index, coldSenders)
	}
}

// restartAndAwaitWarm restarts a leaf and waits until it serves normal load again.
func (f *testFleet) restartAndAwaitWarm(l *trfakeleaf.Leaf) {
	f.t.Helper()
	l.Restart(0)
	f.awaitWarm(l)
}

// awaitWarm waits until each leaf has served normal load in its current start.
func (f *testFleet) awaitWarm(leafs ...*trfakeleaf.Leaf) {
	f.t.Helper()
	for _, l := range leafs {
		f.waitUntil("leaf "+l.ID()+" serves normal load", func() bool {
			events := l.Journal().Events()
			assertNoViolations(f.t, "cold leafs", ColdLoad(coldLimits, events))
			if f.t.Failed() {
				f.t.FailNow() // a leaf that crashes may never become warm
			}
			_, warm := FinishedInStart(l.StartID(), events)
			return warm >= warmSubQueries
		})
	}
}
