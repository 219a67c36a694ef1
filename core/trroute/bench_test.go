package trroute

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func BenchmarkRebuild(bm *testing.B) {
	for _, leafs := range []int{20, 700, 6700} {
		bm.Run(fmt.Sprint("leafs", leafs), func(bm *testing.B) {
			b := large(leafs)
			for bm.Loop() {
				b.router.SetPolicy(b.policy)
				b.clock.Advance(rebuildGap)
			}
		})
	}
}

func BenchmarkChooseAcquire(bm *testing.B) {
	for _, leafs := range []int{20, 700, 6700} {
		bm.Run(fmt.Sprint("leafs", leafs), func(bm *testing.B) {
			b := large(leafs)
			bm.ReportAllocs()
			for bm.Loop() {
				g, refused := b.d.Acquire(context.Background(), b.want())
				if refused != nil {
					bm.Fatal(refused)
				}
				g.Done(Outcome{Latency: time.Millisecond, StartID: "s1"})
			}
		})
	}
}
