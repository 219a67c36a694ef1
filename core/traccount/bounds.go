package traccount

import (
	"time"

	"tanagerrock/core/trdirectory"
)

// Bounds limits the requests of an account that all instances together run in any window:
// (rate × Window + burst) × (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration // defaultWindow if 0
	Overage float64       // share of the limit
	Slack   float64       // requests
}

// defaultWindow is the window at the sites where client accounts have quotas.
const defaultWindow = 5 * time.Second

// The requests beyond the limit (Overage and Slack) are divided between the causes for which
// instances may run some. The remaining 0.15 cover requests that are written to an upstream
// later than they were admitted, and instances that know different members for a moment.
const (
	// reserveShare is added to the burst at the owner, so that credit that lies unused at
	// instances does not make it refuse requests below the limit.
	reserveShare = 0.25
	// aheadShare is the credit that may lie unused at instances.
	aheadShare = 0.15
	// allowanceShare is divided among the instances as their unreported allowance.
	allowanceShare = 0.30
	// freshShare is what a new owner starts with, for the requests until credit accrues.
	freshShare = 0.15
)

// window returns the window.
func (b Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// quota is the limit of an account.
type quota struct{ rate, burst float64 }

func quotaOf(a *trdirectory.Account) quota { return quota{a.PerSecond, a.Burst} }

// extra returns the requests beyond the limit that may run in a window.
func (b Bounds) extra(q quota) float64 {
	return max(0, b.Overage)*(q.rate*b.window().Seconds()+q.burst) + max(0, b.Slack)
}

// capacity returns the most credit that the owners hold for an account, at least one request.
func (b Bounds) capacity(q quota) float64 { return max(1, q.burst+reserveShare*b.extra(q)) }

// ahead returns how much credit may lie unused at instances.
func (b Bounds) ahead(q quota) float64 { return aheadShare * b.extra(q) }

// fresh returns the credit that an owner of all shares starts with.
func (b Bounds) fresh(q quota) float64 { return freshShare * b.extra(q) }

// allowance returns how many requests an instance may admit in a window that no owner has covered.
// Only counting instances have one; counters is the number of those that are known, and covered the
// part of the fleet to which they belong.
func (b Bounds) allowance(q quota, counters int, covered float64) int {
	return whole(allowanceShare * b.extra(q) * covered / float64(max(1, counters)))
}
