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

// Guards against an estimate that follows the slowest replies of the last query.
// The replies of a query with 90 shards come in the order of their times; the
// estimate was up to three times the median at the start of each query, and hedges
// came too late for an objective of 100 ms.
func TestMedianDoesNotFollowTheEndOfAQuery(t *testing.T) {
	const (
		shards  = 90
		work    = 9 * time.Millisecond
		queries = 50
	)
	rnd := rand.New(rand.NewPCG(1, 0))
	route := &trdirectory.Route{Name: "r", ObjectiveMs: 100}
	var p trgateway.LatencyTracker
	for range queries {
		var replies []time.Duration
		for range shards {
			replies = append(replies, time.Duration(float64(work)*math.Exp(0.35*rnd.NormFloat64())))
		}
		slices.Sort(replies)
		for _, took := range replies {
			p.Record(route, took)
		}
		median, _ := p.Thresholds(route)
		assert.Assert(t, median > work*4/5 && median < work*5/4, "median %v", median)
	}
}
