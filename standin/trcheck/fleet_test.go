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

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = 60 * time.Second

const searchService = "search"

// shownFaults bounds the faults that a failed test prints.
const shownFaults = 5

// bench is a fleet under load.
type bench struct {
	*trfleet.Fleet
	t    *testing.T
	ctx  context.Context
	load *Load

	mu   sync.Mutex
	live []*trfleet.Instance
}

// document returns the built-in configuration with leafs that are never cold,
// changed by edits.
func document(edits ...func(d *trconfig.Defaults)) *trconfig.Document {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0
	doc.Defaults.Fleet.SlowStartMs = 0
	for _, edit := range edits {
		edit(&doc.Defaults)
	}
	return doc
}

// startBench starts a fleet of three zones with one instance each.
func startBench(t *testing.T, s trfakeleaf.ServiceConfig, doc *trconfig.Document) *bench {
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
	return &bench{Fleet: fleet, t: t, ctx: ctx, live: fleet.Instances()}
}

func (b *bench) startLoad(cfg LoadConfig) {
	cfg.Targets = b.addrs
	b.load = StartLoad(cfg)
	b.t.Cleanup(func() { b.load.Stop() })
}

func (b *bench) addrs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	addrs := make([]string, len(b.live))
	for i, instance := range b.live {
		addrs[i] = instance.Addr()
	}
	return addrs
}

// await waits for n more answers.
func (b *bench) await(n int) {
	b.t.Helper()
	assert.NilError(b.t, b.load.Await(b.ctx, n))
}

// poll is how often until looks.
const poll = 25 * time.Millisecond

// until waits for a condition.
func (b *bench) until(what string, holds func() bool) {
	b.t.Helper()
	for !holds() {
		assert.NilError(b.t, trclock.Sleep(b.ctx, trclock.System(), poll), "waiting until %s", what)
	}
}

// replace stops an instance and starts another one in its zone.
func (b *bench) replace(i int) {
	b.t.Helper()
	b.mu.Lock()
	old := b.live[i]
	b.live = append(b.live[:i:i], b.live[i+1:]...)
	b.mu.Unlock()
	assert.NilError(b.t, old.Stop())
	b.Platform.ChangeInstances(trfakeplatform.ListChange{Remove: []string{old.ID}})
	fresh, err := b.StartInstance(old.Zone)
	assert.NilError(b.t, err)
	b.until("the new instance is ready", func() bool { return fresh.Server.HasCompleteSnapshot(searchService) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = append(b.live, fresh)
}

func (b *bench) apply(l *trfakeleaf.Leaf, name trfakeleaf.FaultName, f trfakeleaf.Fault) {
	b.t.Helper()
	assert.NilError(b.t, l.Apply(name, f))
}

// finish stops the load and returns the outcomes and the journals, which must be
// complete.
func (b *bench) finish() ([]Outcome, []trfakeleaf.Event) {
	b.t.Helper()
	outcomes := b.load.Stop()
	b.t.Log(Summary(outcomes))
	assert.Equal(b.t, b.Leafs.Dropped(), uint64(0))
	return outcomes, b.Leafs.Events()
}

// none fails the test if a check found faults.
func none(t *testing.T, check string, faults []string) {
	t.Helper()
	if len(faults) == 0 {
		return
	}
	t.Errorf("%s: %d faults", check, len(faults))
	for _, fault := range faults[:min(shownFaults, len(faults))] {
		t.Log(fault)
	}
}
