package trcheck

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
)

// Guards against answers that mix versions, and against an older version for a
// caller that hands its version back: versions roll and shards are repartitioned
// under load while leafs restart and, for a part of the time, the platform is
// down.
func TestOneSnapshot(t *testing.T) {
	const keys = 150
	b := startBench(t, trfakeleaf.ServiceConfig{Shards: 4, Leafs: 6, Records: keys}, document())
	b.startLoad(LoadConfig{Callers: 12, Request: Mix(searchService, keys), KeepVersion: true, Seed: 1})
	counts := []int{3, 4, 6, 5}
	leafs := b.Leafs.Leafs()
	for n := range 16 {
		b.await(60)
		r := trfakeleaf.Rollout{Service: searchService, Version: uint64(n + 2), ShardCount: counts[n%len(counts)], Loaded: n%2 == 0}
		assert.NilError(t, b.Leafs.Roll(r))
		leafs[n%len(leafs)].Restart(0)
		switch n {
		case 6:
			b.Platform.SetDown(trfakeplatform.DownRefuse)
		case 10:
			b.Platform.SetDown(trfakeplatform.DownNot)
		}
		if r.Loaded {
			continue
		}
		b.await(20)
		r.Loaded = true
		assert.NilError(t, b.Leafs.SetLoaded(r))
	}
	b.until("the last version is answered from", func() bool {
		return versionsOf(b.load.Outcomes())[17]
	})
	b.await(60)
	outcomes, _ := b.finish()
	none(t, "answers", Answers(b.Leafs.Dataset(searchService), outcomes))
	versions := versionsOf(outcomes)
	assert.Assert(t, len(versions) > 8, "answers from %d versions only", len(versions))
}

// versionsOf returns the versions that answers come from.
func versionsOf(outcomes []Outcome) map[uint64]bool {
	versions := map[uint64]bool{}
	for i := range outcomes {
		if a := outcomes[i].Answer; a != nil {
			versions[a.Version] = true
		}
	}
	return versions
}
