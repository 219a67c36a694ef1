package trcheck

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
)

// Guards against answers that mix versions, and against an answer from a version older
// than MinVersion. New versions with other shard counts are rolled out under load while
// leafs restart and, for part of the time, the platform is down.
func TestOneSnapshot(t *testing.T) {
	const keys = 150
	f := startTestFleet(t, trfakeleaf.ServiceConfig{Shards: 4, Leafs: 6, Records: keys}, newDocument())
	f.startLoad(LoadConfig{Callers: 12, Request: RequestMix(searchService, keys), MonotonicReads: true, Seed: 1})
	counts := []int{3, 4, 6, 5}
	leafs := f.Leafs.Leafs()
	for n := range 16 {
		f.awaitAnswers(60)
		r := trfakeleaf.Rollout{Service: searchService, Version: uint64(n + 2), ShardCount: counts[n%len(counts)], Loaded: n%2 == 0}
		assert.NilError(t, f.Leafs.AddVersion(r))
		leafs[n%len(leafs)].Restart(0)
		switch n {
		case 6:
			f.Platform.SetDown(trfakeplatform.DownRefuse)
		case 10:
			f.Platform.SetDown(trfakeplatform.DownNone)
		}
		if r.Loaded {
			continue
		}
		f.awaitAnswers(20)
		r.Loaded = true
		assert.NilError(t, f.Leafs.SetLoaded(r))
	}
	f.waitUntil("an answer comes from the last version", func() bool {
		return versionsOf(f.load.Outcomes())[17]
	})
	f.awaitAnswers(60)
	outcomes, _ := f.finish()
	assertNoViolations(t, "answers", Answers(f.Leafs.Dataset(searchService), outcomes))
	versions := versionsOf(outcomes)
	assert.Assert(t, len(versions) > 8, "answers from only %d versions", len(versions))
}

// versionsOf returns the set of versions that the answers come from.
func versionsOf(outcomes []Outcome) map[uint64]bool {
	versions := map[uint64]bool{}
	for i := range outcomes {
		if a := outcomes[i].Answer; a != nil {
			versions[a.Version] = true
		}
	}
	return versions
}
