package trcapacity

import (
	"fmt"
	"slices"
	"testing"
)

// BenchmarkModelStraggler is a queueing model, not the product: a shard at 40% of
// the slots of two leafs, with all four slots and with the two of one leaf only,
// as if the other were too slow to be of use. One queue serves all senders. It
// reports the p99 of urgent sub-queries without one leaf over that with both: the
// least that any choice of replicas can reach, with and without order by worth.
func BenchmarkModelStraggler(b *testing.B) {
	for _, urgent := range []float64{0.1, 0.2, 0.4} {
		for _, byWorth := range []bool{true, false} {
			b.Run(fmt.Sprintf("urgent=%v/byWorth=%v", urgent, byWorth), func(b *testing.B) {
				var ratios []float64
				for seed := range uint64(5) {
					with := UrgentP99(seed, 4, urgent, byWorth)
					without := UrgentP99(seed+5, 2, urgent, byWorth)
					ratios = append(ratios, without/with)
				}
				slices.Sort(ratios)
				b.ReportMetric(ratios[2], "p99-ratio")
			})
		}
	}
}
