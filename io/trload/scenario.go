package trload

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfleet"
)

// Phase is a part of a scenario with a constant load. Only the requests after its
// warm-up are measured.
type Phase struct {
	Name string
	Load float64 // offered load, as a share of the capacity of all slots
	// Setup prepares the fleet before the phase. It may be nil.
	Setup   func(ctx context.Context, f *trfleet.Fleet, s *Deployment) error
	Actions []Action
}

// Action changes the fleet during the measured part of a phase.
type Action struct {
	At float64 // time of the change, as a share of the measured part
	Do func(ctx context.Context, f *trfleet.Fleet, s *Deployment) error
}

const (
	steadyLoad = 0.4
	slowFactor = 10 // of the service time of slow leafs
)

// Scenarios returns the phases of each scenario by name.
func Scenarios() map[string][]Phase {
	return map[string][]Phase{
		"steady":    {{Name: "steady", Load: steadyLoad}},
		"straggler": {{Name: "steady", Load: steadyLoad}, {Name: "straggler", Load: steadyLoad, Setup: slowFirstLeafs}},
		"overload":  {{Name: "100%", Load: 1}, {Name: "150%", Load: 1.5}},
		"zone": {{Name: "zone out and back", Load: steadyLoad, Actions: []Action{
			{At: 0.2, Do: setZonesOut("b")},
			{At: 0.55, Do: setZonesOut()},
		}}},
		"slow": {{Name: "everything slow", Load: steadyLoad, Actions: []Action{
			{At: 0.2, Do: slowAll(slowFactor)},
			{At: 0.6, Do: slowAll(1)},
		}}},
	}
}

func scenarioPhases(name string) ([]Phase, error) {
	phases, ok := Scenarios()[name]
	if !ok {
		return nil, errors.Errorf("unknown scenario %q", name)
	}
	return phases, nil
}

// slowFirstLeafs slows down the first leaf of each service.
func slowFirstLeafs(_ context.Context, f *trfleet.Fleet, s *Deployment) error {
	for _, service := range s.services() {
		leaf := f.Leafs.ByService(service.Name)[0]
		if err := leaf.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: slowFactor}); err != nil {
			return errors.Wrapf(err, "set service time factor of leaf %s", leaf.ID())
		}
	}
	return nil
}

func slowAll(factor float64) func(context.Context, *trfleet.Fleet, *Deployment) error {
	return func(_ context.Context, f *trfleet.Fleet, _ *Deployment) error {
		for _, leaf := range f.Leafs.Leafs() {
			if err := leaf.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: factor}); err != nil {
				return errors.Wrapf(err, "set service time factor of leaf %s", leaf.ID())
			}
		}
		return nil
	}
}

func setZonesOut(zones ...string) func(context.Context, *trfleet.Fleet, *Deployment) error {
	return func(ctx context.Context, f *trfleet.Fleet, _ *Deployment) error {
		return f.ChangeConfig(ctx, func(d *trconfig.Document) error {
			d.ZonesOut = slices.Clone(zones)
			return nil
		})
	}
}

// durations holds the lengths of the warm-up and the measured part of a phase.
type durations struct{ warmup, measure time.Duration }
