package trgateway_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// Guards against a median that follows the slowest replies of the last query. The
// replies of a query with 90 shards arrive sorted by latency. A median over too few
// of them is up to three times too high when the next query starts, and its hedges
// come too late for an objective of 100 ms.
func TestMedianIsStableAcrossQueries(t *testing.T) {
	const (
		shards      = 90
		serviceTime = 9 * time.Millisecond
		queries     = 50
	)
	rnd := rand.New(rand.NewPCG(1, 0))
	route := &trdirectory.Route{Name: "r", ObjectiveMs: 100}
	var tracker trgateway.LatencyTracker
	for range queries {
		var replies []time.Duration
		for range shards {
			replies = append(replies, time.Duration(float64(serviceTime)*math.Exp(0.35*rnd.NormFloat64())))
		}
		slices.Sort(replies)
		for _, took := range replies {
			tracker.Record(route, took)
		}
		median, _ := tracker.Thresholds(route)
		assert.Assert(t, median > serviceTime*4/5 && median < serviceTime*5/4, "median %v", median)
	}
}
