package trdirectory

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Order is an operator's order to move the traffic of a service to the upstreams of a version.
type Order struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"TargetVersion"`
	OverMs        int64  `json:"OverMs"` // time within which the roll-out must be over
	// Revision is that of the order in the store. It tells an order from an equal later one.
	Revision uint64 `json:"Revision"`
}

func (o *Order) id() string { return o.Service }

// maxOverMs is the longest time of an order.
const maxOverMs = 7 * 24 * 60 * 60 * 1000

// Check returns an error for the first invalid field of the order.
func (o *Order) Check() error {
	switch {
	case o.Service == "" || o.TargetVersion == "":
		return errors.Errorf("order for service %.64q has no service or version", o.Service)
	case max(len(o.Service), len(o.TargetVersion)) > MaxNameBytes:
		return errors.Errorf("order for service %.64q has a service or version of more than %d bytes", o.Service, MaxNameBytes)
	case o.OverMs <= 0 || o.OverMs > maxOverMs:
		return errors.Errorf("order for service %.64q has a time of %d ms, not 1 to %d", o.Service, o.OverMs, int64(maxOverMs))
	}
	return nil
}

// Phase is the phase of a roll-out.
type Phase string

// Phases of a roll-out, in order. The last two are final.
const (
	Waiting    Phase = "Waiting"    // no request goes to the target version
	Exposing   Phase = "Exposing"   // a share of the requests does
	Finishing  Phase = "Finishing"  // all requests do, and the old version is still there
	Complete   Phase = "Complete"   // the old version gets no requests any more
	RolledBack Phase = "RolledBack" // the target version gets no requests any more
)

var phases = []Phase{Waiting, Exposing, Finishing, Complete, RolledBack}

// Final reports whether no other phase follows.
func (p Phase) Final() bool { return p == Complete || p == RolledBack }

// Plan is the state of the roll-out of one service, as decided by the leader.
type Plan struct {
	Service       string  `json:"Service"`
	TargetVersion string  `json:"TargetVersion"`
	OrderRevision uint64  `json:"OrderRevision"`
	Sequence      uint64  `json:"Sequence"` // of the plans of one order, from 1
	Phase         Phase   `json:"Phase"`
	Share         float64 `json:"Share"`     // of the requests, to the target version
	ElapsedMs     int64   `json:"ElapsedMs"` // since the order, when the plan was made
	OverMs        int64   `json:"OverMs"`    // of the order
	// EndedMs is when a final plan was made, in Unix milliseconds. Upstreams that started
	// later are not the old ones of a complete roll-out.
	EndedMs int64  `json:"EndedMs,omitempty"`
	Reason  string `json:"Reason,omitempty"`
	Leader  string `json:"Leader"` // ID of the instance that made the plan and takes reports
	// Excluded holds versions that earlier orders rolled back and no order has named since.
	// Their upstreams get no requests.
	Excluded []string `json:"Excluded,omitempty"`
	// Revision is that of the plan in the store, 0 if the plan came from another instance
	// and is not known to be there.
	Revision uint64 `json:"Revision,omitempty"`
}

const (
	// MaxReasonBytes limits the reason of a plan.
	MaxReasonBytes = 1024
	// MaxExcluded limits the excluded versions of a plan. The oldest are dropped.
	MaxExcluded = 16
)

// Check returns an error for the first invalid field of the plan.
func (p *Plan) Check() error {
	switch {
	case p.Service == "" || p.TargetVersion == "" || max(len(p.Service), len(p.TargetVersion)) > MaxNameBytes:
		return errors.Errorf("plan for service %.64q has no valid service or version", p.Service)
	case !slices.Contains(phases, p.Phase):
		return errors.Errorf("plan for service %.64q has unknown phase %.64q", p.Service, p.Phase)
	case !(p.Share >= 0 && p.Share <= 1):
		return errors.Errorf("plan for service %.64q has a share of %v", p.Service, p.Share)
	case p.ElapsedMs < 0 || p.ElapsedMs > maxConfigured || p.OverMs < 0 || p.OverMs > maxOverMs || p.EndedMs < 0 || p.EndedMs > maxConfigured*10:
		return errors.Errorf("plan for service %.64q has a time out of range", p.Service)
	case len(p.Excluded) > MaxExcluded || len(p.Leader) > MaxNameBytes:
		return errors.Errorf("plan for service %.64q has too many excluded versions or an invalid leader", p.Service)
	case len(p.Reason) > MaxReasonBytes:
		return errors.Errorf("plan for service %.64q has a reason of %d bytes", p.Service, len(p.Reason))
	}
	return nil
}

func (p *Plan) id() string { return p.Service }

// Supersedes reports whether the plan takes the place of another one of the same service, which
// may be nil. A final plan of an order is followed by plans of later orders only; of two final
// ones, the one in the store counts.
func (p *Plan) Supersedes(other *Plan) bool {
	switch {
	case other == nil:
		return true
	case p.OrderRevision != other.OrderRevision:
		return p.OrderRevision > other.OrderRevision
	case other.Phase.Final() && p.Phase.Final():
		return p.Revision > 0 && other.Revision == 0
	case other.Phase.Final() || p.Phase.Final():
		return p.Phase.Final()
	}
	return p.Sequence > other.Sequence
}

// Replaces reports whether an upstream of the plan's service is one of those that a complete
// roll-out replaced. One that started after it was complete is not, whatever its version. If its
// start is unknown, it is one as long as there is an order.
func (p *Plan) Replaces(up *Upstream, ordered bool) bool {
	switch {
	case up.Version == p.TargetVersion:
		return false
	case up.BornMs == 0:
		return ordered
	}
	return up.BornMs < p.EndedMs
}

// Follows reports whether the plan is one of the given order. In a later era of the store, an
// equal order is the same one, written again. An order of a version that a roll-out has
// completed is one with nothing to do.
func (p *Plan) Follows(o *Order) bool {
	if p.TargetVersion == o.TargetVersion && p.Phase == Complete {
		return true
	}
	if p.TargetVersion != o.TargetVersion || p.OverMs != o.OverMs {
		return false
	}
	return p.OrderRevision == o.Revision || EraOf(o.Revision) > EraOf(p.OrderRevision)
}

// checkRollouts returns an error for the first invalid order or plan.
func checkRollouts(orders []Order, plans []Plan) error {
	for i := range orders {
		if err := orders[i].Check(); err != nil {
			return err
		}
	}
	for i := range plans {
		if err := plans[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// sortRollouts sorts orders and plans by service.
func sortRollouts(orders []Order, plans []Plan) {
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(plans, func(a, b Plan) int { return strings.Compare(a.Service, b.Service) })
}
