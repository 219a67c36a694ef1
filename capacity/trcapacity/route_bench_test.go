package trcapacity

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"tanagerrock/core/trwire"
)

var leafCounts = []int{20, 200, 1340, 6700}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTableBuild measures the rebuild of the routing table after one leaf in the
// list has changed its state. It also reports the heap size of the routing state per
// leaf.
func BenchmarkTableBuild(b *testing.B) {
	for _, leafs := range leafCounts {
		b.Run(fmt.Sprint(leafs), func(b *testing.B) {
			list := instanceList(0, leafs)
			before := heapBytes()
			r, clock := newRouter(b, list)
			perLeaf := float64(int64(heapBytes())-int64(before)) / float64(leafs)
			states := []trwire.InstanceState{trwire.StateLeaving, trwire.StateLive}
			b.ResetTimer()
			for n := range b.N {
				list.Instances[0].State = states[n%2]
				r.SetInstances(list)
				clock.Advance(time.Second)
			}
			b.ReportMetric(perLeaf, "B/leaf")
		})
	}
}

// BenchmarkTableRead measures choosing a snapshot and iterating over its shards.
func BenchmarkTableRead(b *testing.B) {
	for _, leafs := range leafCounts {
		b.Run(fmt.Sprint(leafs), func(b *testing.B) {
			r, _ := newRouter(b, instanceList(0, leafs))
			b.ReportAllocs()
			b.ResetTimer()
			replicas := 0
			for range b.N {
				snap, _ := r.Table().Service("service-00").Choose(0)
				for i := range snap.Shards {
					replicas += len(snap.Shards[i].Replicas)
				}
			}
			if replicas == 0 {
				b.Fatal("no replica")
			}
		})
	}
}

// BenchmarkNeedHello measures the search for leafs whose hello is too old, which an
// instance runs ten times per second.
func BenchmarkNeedHello(b *testing.B) {
	for _, leafs := range leafCounts {
		b.Run(fmt.Sprint(leafs), func(b *testing.B) {
			r, clock := newRouter(b, instanceList(0, leafs))
			now := clock.Now()
			r.NeedHello(now.Add(time.Minute))
			b.ResetTimer()
			for range b.N {
				r.NeedHello(now)
			}
		})
	}
}

// BenchmarkInstanceList measures the cost of one revision of the platform's instance
// list for an instance that adopts it: decoding, validation and the update of the
// router. It also reports the encoded sizes with and without compression.
func BenchmarkInstanceList(b *testing.B) {
	for _, size := range [][2]int{{9, 166}, {90, 600}, {400, 2000}, {1300, 6700}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			list := instanceList(size[0], size[1])
			body, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			var compressed bytes.Buffer
			w, _ := flate.NewWriter(&compressed, flate.DefaultCompression)
			_, _ = w.Write(body)
			_ = w.Close()
			r, _ := newRouter(b, list)
			b.ResetTimer()
			for range b.N {
				got := new(trwire.InstanceList)
				if err := json.Unmarshal(body, got); err != nil || got.Check() != nil {
					b.Fatal(err, got.Check())
				}
				r.SetInstances(got)
			}
			b.ReportMetric(float64(len(body)), "JSON-B")
			b.ReportMetric(float64(compressed.Len()), "flate-B")
		})
	}
}

// BenchmarkMerge measures sorting 20 records from each shard. 700 shards are merged by an
// instance without relays; with relays, it merges 16 partial results and each relay
// merges 44 shards (700/16).
func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{16, 44, 700} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			records := make([]trwire.Record, shards*20)
			for i := range records {
				records[i] = trwire.Record{Key: fmt.Sprint("record-", rnd.Uint32()), Score: rnd.Float64()}
			}
			work := make([]trwire.Record, len(records))
			b.ResetTimer()
			for range b.N {
				copy(work, records)
				slices.SortFunc(work, trwire.CompareRecords)
			}
		})
	}
}
