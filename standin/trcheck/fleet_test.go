package trcheck

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
	"tanagerrock/standin/trfleet"
)

// testTimeout aborts a test that hangs. No assertion depends on it.
const testTimeout = 60 * time.Second

const searchService = "search"

// maxShownViolations limits the number of violations that a failed check logs.
const maxShownViolations = 5

// testFleet is a fleet under load.
type testFleet struct {
	*trfleet.Fleet
	t    *testing.T
	ctx  context.Context
	load *Load

	mu   sync.Mutex
	live []*trfleet.Instance // instances that receive requests
}

// newDocument returns the built-in configuration without cold phases and slow start,
// changed by edits.
func newDocument(edits ...func(d *trconfig.Defaults)) *trconfig.Document {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0
	doc.Defaults.Fleet.SlowStartMs = 0
	for _, edit := range edits {
		edit(&doc.Defaults)
	}
	return doc
}

// startTestFleet starts a fleet of three zones with one instance each and waits until it
// is ready.
func startTestFleet(t *testing.T, s trfakeleaf.ServiceConfig, doc *trconfig.Document) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s.Name = searchService
	fleet, err := trfleet.Start(trfleet.Config{
		Zones:     []string{"a", "b", "c"},
		Instances: 3,
		Services:  []trfakeleaf.ServiceConfig{s},
		Document:  doc,
		Seed:      7,
		DrainMs:   1_000,
	})
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	assert.NilError(t, fleet.AwaitReady(ctx))
	return &testFleet{Fleet: fleet, t: t, ctx: ctx, live: fleet.Instances()}
}

func (f *testFleet) startLoad(cfg LoadConfig) {
	cfg.Targets = f.addrs
	f.load = StartLoad(cfg)
	f.t.Cleanup(func() { f.load.Stop() })
}

func (f *testFleet) addrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addrs := make([]string, len(f.live))
	for i, instance := range f.live {
		addrs[i] = instance.Addr()
	}
	return addrs
}

// awaitAnswers waits for n more answers.
func (f *testFleet) awaitAnswers(n int) {
	f.t.Helper()
	assert.NilError(f.t, f.load.AwaitAnswers(f.ctx, n))
}

// pollPeriod is the interval at which waitUntil polls its condition.
const pollPeriod = 25 * time.Millisecond

// waitUntil polls holds until it returns true.
func (f *testFleet) waitUntil(what string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		assert.NilError(f.t, trclock.Sleep(f.ctx, trclock.System(), pollPeriod), "waiting until %s", what)
	}
}

// replaceInstance stops the i-th live instance and starts another one in its zone.
func (f *testFleet) replaceInstance(i int) {
	f.t.Helper()
	f.mu.Lock()
	old := f.live[i]
	f.live = append(f.live[:i:i], f.live[i+1:]...)
	f.mu.Unlock()
	assert.NilError(f.t, old.Stop())
	f.Platform.ChangeInstances(trfakeplatform.ListChange{Remove: []string{old.ID}})
	fresh, err := f.StartInstance(old.Zone)
	assert.NilError(f.t, err)
	f.waitUntil("the new instance is ready", func() bool { return fresh.Server.HasCompleteSnapshot(searchService) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = append(f.live, fresh)
}

func (f *testFleet) applyFault(l *trfakeleaf.Leaf, name trfakeleaf.FaultName, fault trfakeleaf.Fault) {
	f.t.Helper()
	assert.NilError(f.t, l.Apply(name, fault))
}

// finish stops the load and returns the outcomes and the events of the leafs. It fails
// the test if a journal dropped events.
func (f *testFleet) finish() ([]Outcome, []trfakeleaf.Event) {
	f.t.Helper()
	outcomes := f.load.Stop()
	f.t.Log(Summary(outcomes))
	assert.Equal(f.t, f.Leafs.Dropped(), uint64(0))
	return outcomes, f.Leafs.Events()
}

// assertNoViolations fails the test if a check found violations, and logs the first ones.
func assertNoViolations(t *testing.T, check string, violations []string) {
	t.Helper()
	if len(violations) == 0 {
		return
	}
	t.Errorf("%s: %d violations", check, len(violations))
	for _, violation := range violations[:min(maxShownViolations, len(violations))] {
		t.Log(violation)
	}
}
