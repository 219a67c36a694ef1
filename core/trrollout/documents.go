package trrollout

import (
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trstore"
)

// Documents translates plans to keys of the store.
type Documents interface {
	// LeaderKey returns the key that the leader holds.
	LeaderKey() string
	// PlanKey returns the key of the plan of a service.
	PlanKey(service string) string
	// ReadPlan decodes and checks the value of a plan's key.
	ReadPlan(it trstore.Item) (*trdirectory.Plan, error)
	// Items returns the key of a plan, and the key of the status that operators read.
	Items(plan *trdirectory.Plan) ([]trstore.Item, error)
}
