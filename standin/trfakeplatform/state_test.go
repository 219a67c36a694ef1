package trfakeplatform

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// Guards against a platform that loses acknowledged writes when its process ends:
// compare-and-swap must continue with the version from before the restart.
func TestPersist(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	first := New(Config{})
	assert.NilError(t, first.Persist(file))
	lease := first.Grant(60_000)
	_, ok, err := first.Put("k", trwire.PutRequest{Value: []byte("v"), LeaseID: lease.ID})
	assert.NilError(t, err)
	assert.Assert(t, ok)
	first.SetInstances([]trwire.Instance{{ID: "leaf"}})
	first.Close()

	second := New(Config{})
	defer second.Close()
	assert.NilError(t, second.Persist(file))
	entry, ok := second.Get("k")
	assert.Assert(t, ok)
	assert.DeepEqual(t, entry, trwire.Entry{Key: "k", Value: []byte("v"), Version: 1, LeaseID: lease.ID})
	_, ok = second.Renew(lease.ID)
	assert.Assert(t, ok)
	assert.Equal(t, second.Instances().Revision, uint64(2))
	_, ok, _ = second.Put("k", trwire.PutRequest{PrevVersion: 0})
	assert.Assert(t, !ok)
}
