package trmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two running instances that hold the same index under random outages,
// lost replies, partitions, kills, restarts and releases.
func TestLeaseRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		f := newLeaseFleet(t, seed)
		f.policy.SenderIndexes = 4
		f.policy.SenderQuarantineMs = 120_000
		ids := []string{"a0", "b1", "c2", "a3", "b4", "c5"}
		live := make(map[string]*SenderLease)
		killed := make(map[string]time.Time)
		var claims, held int
		for second := range 2_000 {
			id := ids[f.rnd.IntN(len(ids))]
			switch l := live[id]; {
			case f.rnd.IntN(5) > 0:
			case l == nil:
				live[id] = f.lease(id)
				delete(f.absent, id)
				delete(killed, id)
			case f.rnd.IntN(6) == 0:
				f.kill(l)
				delete(live, id)
				killed[id] = f.clock.Now()
			case f.rnd.IntN(6) == 0 && !f.store.down && !f.links[l].cut:
				assert.NilError(t, f.release(l))
				f.kill(l)
				delete(live, id)
				killed[id] = f.clock.Now()
			case f.rnd.IntN(3) == 0:
				f.links[l].cut = !f.links[l].cut
			case f.rnd.IntN(3) == 0:
				f.store.down = f.rnd.IntN(3) == 0
			case f.rnd.IntN(2) == 0:
				f.store.lose = f.rnd.IntN(3)
			default:
				// Partition one zone (the first letter of an ID). No instance is in zone x,
				// so it ends the partition.
				zone := "abcx"[f.rnd.IntN(4)]
				f.cut = func(from, to string) bool { return (from[0] == zone) != (to[0] == zone) }
			}
			for id, at := range killed {
				f.absent[id] = f.clock.Now().Sub(at)
			}
			f.clock.Advance(time.Second)
			holder := make(map[int]string)
			for id, l := range live {
				if i := f.index(l); i >= 0 {
					assert.Equal(t, holder[i], "", "seed %d second %d: index %d is also held by %s", seed, second, i, id)
					holder[i] = id
					held++
				}
			}
		}
		table, err := DecodeSenderTable(f.store.entry.Value, f.store.entry.Version)
		assert.NilError(t, err)
		for _, e := range table.Entries {
			claims += int(e.Epoch)
		}
		t.Logf("seed %d: %d claims, %.1f indexes held on average", seed, claims, float64(held)/2_000)
		assert.Assert(t, held > 2_000 && claims > 30)
	}
}
