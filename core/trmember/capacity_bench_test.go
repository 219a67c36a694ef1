package trmember

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"tanagerrock/core/trclock"
)

// hopDelay is the delay before each call passed to Spawn: the time from the adoption
// of a document to the arrival of the pushes that follow, one way between zones. If the
// document is announced, it covers both messages, the announcement and the document.
const hopDelay = 10 * time.Millisecond

var (
	fleetSizes = []int{10, 100, 400, 1300}
	benchZones = []string{"eu1-a", "eu1-b", "eu1-c", "eu1-d", "eu2-a", "eu2-b", "eu2-c"}
)

// benchFleet returns groups that know each other, as after a long steady state.
func benchFleet(b *testing.B, size int) (*network, []*Group) {
	n := newNetwork(b, 1)
	groups := make([]*Group, size)
	members := make([]Member, size)
	for i := range size {
		groups[i] = n.benchMember(fmt.Sprintf("entry-%08x", uint32(i)*2654435761), benchZones[i%len(benchZones)])
		members[i] = groups[i].Self()
	}
	for _, g := range groups {
		g.merge(members, true)
		g.queue = changeQueue{}
		g.Documents().Set(Document{Name: DocumentConfig, Revision: 1, Body: []byte("config")})
		now := n.clock.Now()
		g.cfg.StoreClock.Observe(now, now, now.Add(time.Millisecond))
	}
	n.clock.Advance(3 * time.Second)
	return n, groups
}

func (n *network) benchMember(id, zone string) *Group {
	g := NewGroup(Config{
		Self:       Member{ID: id, Zone: zone, Addr: "10.1.200.100:7000", PeerAddr: id + ":7001"},
		Clock:      n.clock,
		Seed:       n.rnd.Uint64(),
		Transport:  endpoint{n, id + ":7001"},
		StoreClock: new(StoreClock),
		Spawn:      func(f func()) { n.clock.After(hopDelay, func(time.Time) { f() }) },
	})
	n.groups[id+":7001"] = g
	g.Start()
	return g
}

// BenchmarkCapacitySteady measures one second of a fleet in steady state.
func BenchmarkCapacitySteady(b *testing.B) {
	const seconds = 20
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n, groups := benchFleet(b, size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for range b.N {
				n.bytes, n.calls = 0, 0
				start := time.Now()
				n.clock.Advance(seconds * time.Second)
				elapsed := time.Since(start)
				total := float64(size * seconds)
				b.ReportMetric(2*float64(n.bytes)/total, "B/s-in+out")
				b.ReportMetric(float64(n.calls)/total, "calls/s")
				b.ReportMetric(elapsed.Seconds()*1e6/total, "cpu-us/s")
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heap-B")
			runtime.KeepAlive(groups)
		})
	}
}

// BenchmarkCapacityDocument measures the dissemination of one document from two
// watchers of each zone.
func BenchmarkCapacityDocument(b *testing.B) {
	for _, size := range fleetSizes {
		for _, kb := range []int{1, 32, 256} {
			b.Run(fmt.Sprintf("%d/%dKB", size, kb), func(b *testing.B) {
				n, groups := benchFleet(b, size)
				body := []byte(strings.Repeat("x", kb<<10))
				for i := range b.N {
					n.bytes, n.calls = 0, 0
					doc := Document{Name: DocumentConfig, Revision: uint64(i + 2), Body: body}
					for _, zone := range benchZones {
						for _, w := range groups[0].Watchers(zone, 2) {
							n.groups[w.PeerAddr].Documents().Set(doc)
						}
					}
					elapsed := time.Duration(0)
					// share of members that hold the document after 20 hops, or 100 if all
					// did earlier
					pushedPercent := 0.0
					var converged time.Duration
					for converged == 0 && elapsed < time.Minute {
						n.clock.Advance(hopDelay)
						elapsed += hopDelay
						holders := 0
						for _, g := range groups {
							if d, _ := g.Documents().Get(DocumentConfig); d.Revision == doc.Revision {
								holders++
							}
						}
						if elapsed == 20*hopDelay {
							pushedPercent = 100 * float64(holders) / float64(size)
						}
						if holders == size {
							converged = elapsed
						}
					}
					if pushedPercent == 0 {
						pushedPercent = 100
					}
					n.clock.Advance(20 * hopDelay)
					b.ReportMetric(converged.Seconds()*1000, "all-ms")
					b.ReportMetric(pushedPercent, "pushed-%")
					b.ReportMetric(2*float64(n.bytes)/float64(size)/float64(len(body)), "bodies-in+out")
					b.ReportMetric(float64(n.calls)/float64(size), "calls")
				}
			})
		}
	}
}

// BenchmarkCapacityReplace measures what the loss of one instance and the join of its
// replacement cost every other instance beyond a steady state, and the time until all
// instances know of the loss.
func BenchmarkCapacityReplace(b *testing.B) {
	const seconds = 60
	for _, size := range []int{10, 100, 400, 1300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, groups := benchFleet(b, size)
			n.bytes = 0
			start := time.Now()
			n.clock.Advance(seconds * time.Second)
			steady, steadyTime := n.bytes, time.Since(start)
			lost := groups[size/2]
			lost.cancel()
			delete(n.groups, lost.self.PeerAddr)
			watchers := groups[0].Watchers(lost.self.Zone, 2)
			n.bytes = 0
			start = time.Now()
			replacement := n.benchMember("entry-replacement", lost.self.Zone)
			_ = replacement.contact(groups[0].self.PeerAddr)
			join := n.bytes
			known := 0
			for s := 1; s <= seconds; s++ {
				n.clock.Advance(time.Second)
				dead := 0
				for _, g := range groups {
					g.mu.Lock()
					if e := g.members[lost.self.ID]; e != nil && e.State == Dead {
						dead++
					}
					g.mu.Unlock()
				}
				if known == 0 && dead == size-1 {
					known = s
				}
			}
			elapsed := time.Since(start) - steadyTime
			moved := 0
			for _, w := range groups[0].Watchers(lost.self.Zone, 2) {
				if w.ID != watchers[0].ID && w.ID != watchers[min(1, len(watchers)-1)].ID {
					moved++
				}
			}
			b.ReportMetric(float64(known), "known-s")
			b.ReportMetric(2*float64(n.bytes-join-steady)/float64(size), "B-in+out")
			b.ReportMetric(elapsed.Seconds()*1e6/float64(size), "cpu-us")
			b.ReportMetric(float64(join), "join-B")
			b.ReportMetric(float64(moved), "watchers-moved")
		})
	}
}

// BenchmarkCapacityWatcher measures IsWatcher, which each instance calls eight times a
// second.
func BenchmarkCapacityWatcher(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := benchGroup(size)
			b.ResetTimer()
			for range 1000 * b.N {
				g.IsWatcher(2)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(1000*b.N), "us/call")
			start := time.Now()
			for range 1000 * b.N {
				g.Watchers(benchZones[0], 2)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(1000*b.N), "us/new-list")
		})
	}
}

// BenchmarkCapacityPublish measures a message that changes one member's
// ConfigRevision. After each change of the configuration, every message from another
// member is of this kind.
func BenchmarkCapacityPublish(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := benchGroup(size)
			m := g.Members()[size/2]
			b.ResetTimer()
			for range 1000 * b.N {
				m.ConfigRevision++
				g.mergeFrom(m)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(1000*b.N), "us/call")
			start := time.Now()
			for range 1000 * b.N {
				m.Refutation++
				g.mergeFrom(m)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(1000*b.N), "us/change")
		})
	}
}

// benchGroup returns a group that knows size members and is not started.
func benchGroup(size int) *Group {
	rnd := rand.New(rand.NewPCG(1, 1))
	g := NewGroup(Config{Self: Member{ID: "entry-self", Zone: benchZones[0], PeerAddr: "self"}, Clock: trclock.System()})
	members := make([]Member, size)
	for i := range members {
		id := fmt.Sprintf("entry-%08x", rnd.Uint32())
		members[i] = Member{ID: id, Incarnation: 1, Zone: benchZones[i%len(benchZones)], PeerAddr: id, State: Alive, SenderIndex: -1}
	}
	g.merge(members, true)
	return g
}

// BenchmarkCapacityCut partitions the two regions for three minutes. It reports the
// bytes per second of an instance in the first minute of the partition, in its other
// two minutes and in the 10 seconds after its end, and the seconds from its end until
// every instance holds every other one as alive.
func BenchmarkCapacityCut(b *testing.B) {
	for _, size := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, groups := benchFleet(b, size)
			region := make(map[string]bool)
			for _, g := range groups {
				region[g.self.PeerAddr] = strings.HasPrefix(g.self.Zone, "eu2")
			}
			n.cut = func(from, to string) bool { return region[from] != region[to] }
			n.clock.Advance(time.Minute)
			first := n.bytes
			n.clock.Advance(2 * time.Minute)
			cut := n.bytes - first
			n.cut, n.bytes = nil, 0
			allAlive := 0
			for s := 1; s <= 300 && allAlive == 0; s++ {
				n.clock.Advance(time.Second)
				if s == 10 {
					b.ReportMetric(2*float64(n.bytes)/float64(10*size), "heal-10s-B/s")
				}
				alive := 0
				for _, g := range groups {
					for _, m := range g.Members() {
						if m.State == Alive {
							alive++
						}
					}
				}
				if alive == size*size {
					allAlive = s
				}
			}
			b.ReportMetric(2*float64(first)/float64(60*size), "cut-first-min-B/s")
			b.ReportMetric(2*float64(cut)/float64(120*size), "cut-B/s")
			b.ReportMetric(float64(allAlive), "whole-s")
		})
	}
}
