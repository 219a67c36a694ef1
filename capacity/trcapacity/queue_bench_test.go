package trcapacity

import (
	"fmt"
	"slices"
	"testing"
)

// BenchmarkModelStraggler runs the queueing model of UrgentP99, not the product. A shard
// has two leafs with two slots each, and its load is 40% of the four slots. The model
// runs with all four slots and with the two slots of one leaf only, as if the other
// leaf were too slow to be used. The reported metric is the p99 of urgent sub-queries
// with one leaf divided by that with both leafs. With one queue for all senders, this is
// a lower bound for any choice of replicas, both with and without priority for urgent
// sub-queries.
func BenchmarkModelStraggler(b *testing.B) {
	for _, urgent := range []float64{0.1, 0.2, 0.4} {
		for _, byPriority := range []bool{true, false} {
			b.Run(fmt.Sprintf("urgent=%v/byWorth=%v", urgent, byPriority), func(b *testing.B) {
				var ratios []float64
				for seed := range uint64(5) {
					with := UrgentP99(seed, 4, urgent, byPriority)
					without := UrgentP99(seed+5, 2, urgent, byPriority)
					ratios = append(ratios, without/with)
				}
				slices.Sort(ratios)
				b.ReportMetric(ratios[2], "p99-ratio")
			})
		}
	}
}
