package trserver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tanagerrock/core/trwire"
)

// BenchmarkCapacityList replaces leafs one by one. Each replacement takes three
// revisions: leaving, removed, new leaf live. The time per operation is the work of a
// member and a watcher to adopt one revision; the metrics are the mean document size per
// revision and the number of revisions per full list.
func BenchmarkCapacityList(b *testing.B) {
	for _, entries := range []int{166, 690, 2400, 8000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			leaf := func() trwire.Instance {
				return trwire.Instance{
					ID: fmt.Sprintf("leaf-%08x", rnd.Uint32()), Role: trwire.RoleLeaf, Service: fmt.Sprintf("service-%02d", rnd.IntN(10)),
					Zone: fmt.Sprintf("eu1-%c", "abcdefg"[rnd.IntN(7)]), Addr: fmt.Sprintf("10.%d.%d.%d:8080", rnd.IntN(8), rnd.IntN(256), rnd.IntN(256)), State: trwire.StateLive,
				}
			}
			list := &trwire.InstanceList{Revision: 1}
			for range entries {
				list.Instances = append(list.Instances, leaf())
			}
			watcher := listState{apply: func(*trwire.InstanceList) {}}
			member := listState{apply: func(*trwire.InstanceList) {}}
			bytes, full := 0, 0
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				next := &trwire.InstanceList{Revision: list.Revision + 1, Instances: slices.Clone(list.Instances)}
				k := rnd.IntN(len(next.Instances))
				switch n % 3 {
				case 0:
					next.Instances[k].State = trwire.StateLeaving
				case 1:
					next.Instances = slices.DeleteFunc(next.Instances, func(i trwire.Instance) bool { return i.State == trwire.StateLeaving })
				case 2:
					next.Instances = append(next.Instances, leaf())
				}
				list = next
				doc, err := watcher.documentFor(list)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(doc.Body)
				b.StartTimer()
				if doc.Name == docChanges {
					c, err := decodeChanges(doc.Body)
					if err != nil {
						b.Fatal(err)
					}
					member.setChanges(c)
					watcher.setChanges(c)
					continue
				}
				full++
				got := new(trwire.InstanceList)
				if err := decodeDocument(doc.Body, got); err != nil {
					b.Fatal(err)
				}
				member.setBase(got, len(doc.Body))
				watcher.setBase(got, len(doc.Body))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/revision")
			b.ReportMetric(float64(b.N)/float64(full), "revisions/whole")
		})
	}
}
