package trlimit

import "sync/atomic"

// unitsPerToken is the number of units in a token. A Budget counts in units, to
// represent fractions of tokens.
const unitsPerToken = 1_000_000

// Budget is a token bucket that limits hedges, retries and other extra sub-queries
// to a share of the first attempts. At most Burst + Share * (first attempts) tokens
// are spent in all. A new budget holds Burst tokens, so that a failure soon after
// the process starts can be retried. All methods are safe for concurrent use.
type Budget struct {
	Share float64 // tokens earned per first attempt
	Burst float64 // largest number of tokens held

	debt atomic.Int64 // units missing from Burst
}

// Earn adds the tokens for n first attempts.
func (b *Budget) Earn(n int) {
	earned := int64(float64(n) * b.Share * unitsPerToken)
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
	maxDebt := int64(b.Burst * unitsPerToken)
	for {
		debt := b.debt.Load()
		if debt+unitsPerToken > maxDebt {
			return false
		}
		if b.debt.CompareAndSwap(debt, debt+unitsPerToken) {
			return true
		}
	}
}
