package trroute

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func BenchmarkRebuild(b *testing.B) {
	for _, leafs := range []int{20, 700, 6700} {
		b.Run(fmt.Sprint("leafs", leafs), func(b *testing.B) {
			f := largeFixture(leafs)
			for b.Loop() {
				f.router.SetPolicy(f.policy)
				f.clock.Advance(minRebuildInterval)
			}
		})
	}
}

func BenchmarkChooseAcquire(b *testing.B) {
	for _, leafs := range []int{20, 700, 6700} {
		b.Run(fmt.Sprint("leafs", leafs), func(b *testing.B) {
			f := largeFixture(leafs)
			b.ReportAllocs()
			for b.Loop() {
				g, refused := f.d.Acquire(context.Background(), f.request())
				if refused != nil {
					b.Fatal(refused)
				}
				g.Done(Outcome{Latency: time.Millisecond, StartID: "s1"})
			}
		})
	}
}
