package trgateway_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// TestSlowInstanceDoesNotSpendRepeatsOfAllShards guards against hedges of all parts of a
// query that are late together, as when the instance is short of processor time. They use
// up the repeats that the next queries need, whose callers then lack shards.
func TestSlowInstanceDoesNotSpendRepeatsOfAllShards(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const usual = 10 * time.Millisecond
		latency := func(*trdirectory.Upstream) time.Duration { return usual }
		f := newFixture(directory(20), func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
			return after(ctx, latency(up), ok("x"))
		})
		f.Gateway = trgateway.New(trgateway.Config{
			Clock: trclock.System(), Tables: &f.cache, Sender: f.sender, Zone: "a", Seed: 1,
			Bounds: trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 2, RepeatWindow: 10 * time.Second},
		})
		for range 30 {
			f.get("/search/x")
		}
		time.Sleep(time.Minute) // the requests so far permit no repeats any more

		latency = func(*trdirectory.Upstream) time.Duration { return objective*3/5 + time.Millisecond }
		resp := f.get("/search/x")
		assert.Equal(t, resp.Missing, 0)
		assert.Equal(t, resp.Hedges, 0)

		time.Sleep(5 * time.Second) // the upstreams count as slow for a few seconds
		latency = func(up *trdirectory.Upstream) time.Duration {
			if up.ID == "s0/a" || up.ID == "s7/a" {
				return 10 * objective
			}
			return usual
		}
		resp = f.get("/search/x")
		assert.Equal(t, resp.Missing, 0)
		assert.Equal(t, resp.Hedges, 2)
	})
}
