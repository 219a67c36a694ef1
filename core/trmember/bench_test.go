package trmember

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkExchange measures one probe with its reply, including their encoding, and
// reports the bytes of a probe in steady state and of a join.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{10, 100, 1300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newNetwork(b, 1)
			a, z := n.add("a00"), n.add("z00")
			var members []Member
			for i := range size - 2 {
				id := fmt.Sprintf("instance-%04d", i)
				members = append(members, Member{ID: id, Incarnation: 1 << 56, Zone: "zone-a", Addr: "10.0.0.1:7000", PeerAddr: "10.0.0.1:7001", State: Alive, SenderIndex: -1})
			}
			for _, g := range []*Group{a, z} {
				g.merge(members, true)
				g.merge([]Member{a.Self(), z.Self()}, false)
				g.queue = changeQueue{}
				g.Documents().Set(Document{Name: DocumentConfig, Revision: 7, Body: []byte("config")})
				g.cfg.StoreClock.Observe(n.clock.Now(), n.clock.Now(), n.clock.Now().Add(time.Millisecond))
			}
			ctx := context.Background()
			if err := a.contact("z00"); err != nil {
				b.Fatal(err)
			}
			join := n.bytes
			n.bytes = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := a.exchange(ctx, z.self, false, DefaultProbeTimeout); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n.bytes)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(join), "join-B")
		})
	}
}
