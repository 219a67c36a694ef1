package trcapacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
)

// leafsPerService is close to the 700 leafs that one query reaches at the target scale.
const leafsPerService = 670

var zones = []string{"eu1-a", "eu1-b", "eu1-c", "eu1-d", "eu2-a", "eu2-b", "eu2-c"}

// alwaysSender always holds the only sender index.
type alwaysSender struct{}

func (alwaysSender) Sender(time.Time) (index, count int, ok bool) { return 0, 1, true }

// exactStoreTime estimates the store's time as the local time, without uncertainty.
type exactStoreTime struct{ clock trclock.Clock }

func (c exactStoreTime) Estimate(now time.Time) (time.Time, time.Duration, bool) { return now, 0, true }

// instanceList returns a list of the given size. IDs contain a random part, as IDs of
// replaced instances do, because a list without it would compress better than a real
// one.
func instanceList(instances, leafs int) *trwire.InstanceList {
	rnd := rand.New(rand.NewPCG(1, 1))
	addr := func(port int) string {
		return fmt.Sprintf("10.%d.%d.%d:%d", rnd.IntN(8), rnd.IntN(256), rnd.IntN(256), port)
	}
	list := &trwire.InstanceList{Revision: 1}
	for i := range leafs {
		list.Instances = append(list.Instances, trwire.Instance{
			ID: fmt.Sprintf("leaf-%08x", rnd.Uint32()), Role: trwire.RoleLeaf, Service: fmt.Sprintf("service-%02d", i/leafsPerService),
			Zone: zones[i%len(zones)], Addr: addr(8080), State: trwire.StateLive,
		})
	}
	for i := range instances {
		list.Instances = append(list.Instances, trwire.Instance{
			ID: fmt.Sprintf("entry-%08x", rnd.Uint32()), Role: trwire.RoleEntry,
			Zone: zones[i%len(zones)], Addr: addr(7000), PeerAddr: addr(7001), State: trwire.StateLive,
		})
	}
	return list
}

// defaultPolicy returns the policy compiled from the built-in defaults.
func defaultPolicy(b *testing.B) *trconfig.Policy {
	doc := &trconfig.Document{Revision: 1, ChangeID: "c", Defaults: trconfig.BuiltInDefaults()}
	var controller trconfig.Controller
	body, err := json.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	if ok, err := controller.AdoptEncoded(body); !ok || err != nil {
		b.Fatal(ok, err)
	}
	return controller.Current()
}

// newRouter returns a router that has observed a hello of every leaf in the list. Each
// shard has two replicas.
func newRouter(b *testing.B, list *trwire.InstanceList) (*trroute.Router, *trclock.Manual) {
	clock := trclock.NewManual(time.Unix(1_800_000_000, 0))
	r := trroute.NewRouter(trroute.Options{Zone: zones[0], Clock: clock, Sender: alwaysSender{}, StoreTime: exactStoreTime{clock}})
	r.SetPolicy(defaultPolicy(b))
	r.SetInstances(list)
	assigned := make(map[string]int)
	count := make(map[string]int)
	for i := range list.Instances {
		count[list.Instances[i].Service]++
	}
	for i := range list.Instances {
		in := &list.Instances[i]
		if in.Role != trwire.RoleLeaf {
			continue
		}
		shards := max(1, count[in.Service]/2)
		r.ObserveHello(in.ID, &trwire.Hello{
			LeafID: in.ID, StartID: "s-" + in.ID, Zone: in.Zone, Service: in.Service,
			Holdings: []trwire.Holding{{Version: 1, Shard: assigned[in.Service] % shards, ShardCount: shards, Records: 1000, Loaded: true}},
		})
		assigned[in.Service]++
	}
	clock.Advance(time.Second)
	return r, clock
}
