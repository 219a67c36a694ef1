package trlimit

import "sync/atomic"

// budgetUnit is the number of units of account in one token.
const budgetUnit = 1_000_000

// Budget bounds extra sub-queries to a share of the first ones. At most
// Burst + Share * (first sub-queries) are spent in all. A new budget holds Burst
// tokens, so that a failure soon after a start can be retried. All methods are
// safe for concurrent use.
type Budget struct {
	Share float64 // tokens earned per first sub-query
	Burst float64 // most tokens held

	debt atomic.Int64 // units missing from Burst
}

// Earn adds the share of n first sub-queries.
func (b *Budget) Earn(n int) {
	earned := int64(float64(n) * b.Share * budgetUnit)
	for {
		debt := b.debt.Load()
		if debt == 0 {
			return
		}
		if b.debt.CompareAndSwap(debt, max(0, debt-earned)) {
			return
		}
	}
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	most := int64(b.Burst * budgetUnit)
	for {
		debt := b.debt.Load()
		if debt+budgetUnit > most {
			return false
		}
		if b.debt.CompareAndSwap(debt, debt+budgetUnit) {
			return true
		}
	}
}
