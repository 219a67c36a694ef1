package trmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an estimate of the store's time whose error exceeds its stated
// uncertainty.
func TestStoreClock(t *testing.T) {
	base := time.Unix(1_800_000_000, 0)
	for _, ppm := range []int64{-200, 0, 200} {
		var c, peer StoreClock
		store := func(local time.Time) time.Time {
			d := local.Sub(base)
			return base.Add(time.Minute + d + d*time.Duration(ppm)/1_000_000)
		}
		_, _, ok := c.Estimate(base)
		assert.Assert(t, !ok)
		var last time.Duration
		for i, rtt := range []time.Duration{40, 4, 400, 2} {
			sent := base.Add(time.Duration(i) * time.Minute)
			received := sent.Add(rtt * time.Millisecond)
			// The store reads its clock at the very end of the round trip.
			c.Observe(store(received).Truncate(time.Millisecond), sent, received)
			est, unc, _ := c.Estimate(received)
			ms := est.UnixMilli()
			peer.ObservePeer(ms, unc.Milliseconds()+1, sent, received)
			for _, later := range []time.Duration{0, time.Minute, time.Hour} {
				for _, clock := range []*StoreClock{&c, &peer} {
					got, unc, ok := clock.Estimate(received.Add(later))
					diff := got.Sub(store(received.Add(later))).Abs()
					assert.Assert(t, ok && diff <= unc, "%d ppm after %v: error %v, uncertainty %v", ppm, later, diff, unc)
					last = unc
				}
			}
		}
		assert.Assert(t, last < time.Second)
		now := base.Add(10 * time.Minute)
		_, before, _ := c.Estimate(now)
		c.ObservePeer(store(now).Add(-time.Hour).UnixMilli(), 1, now, now)
		_, wide, _ := c.Estimate(now)
		assert.Assert(t, wide > time.Hour && before < time.Second)
		c.Observe(store(now), now, now)
		_, after, _ := c.Estimate(now)
		assert.Equal(t, after, clockRounding)
	}
}
