package trfakeleaf

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

func post(t *testing.T, c *http.Client, addr string, q trwire.SubQuery) (int, []byte) {
	t.Helper()
	raw, err := json.Marshal(q)
	assert.NilError(t, err)
	resp, err := c.Post("http://"+addr+q.Path(), "application/json", bytes.NewReader(raw))
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, body
}

// Guards against shards that lose or repeat records: the merged replies of all
// shards must equal the generated answer.
func TestShardsMergeToTheExpectedAnswer(t *testing.T) {
	f, err := StartFleet(FleetConfig{
		Zones:    []string{"a", "b", "c"},
		Services: []ServiceConfig{{Name: "search", Shards: 4, Replicas: 2, Leafs: 5}},
		Seed:     7,
	})
	assert.NilError(t, err)
	defer f.Close()
	var merged []trwire.Record
	for _, shard := range []int{0, 1, 2, 3} {
		for _, l := range f.Of("search") {
			held := slices.ContainsFunc(l.index.holdings(), func(h trwire.Holding) bool { return h.Shard == shard })
			if !held {
				continue
			}
			status, body := post(t, http.DefaultClient, l.Addr(), trwire.SubQuery{
				SubID: "s", Service: "search", StartID: l.StartID(), Kind: trwire.Query,
				Version: 1, Shard: shard, ShardCount: 4, Terms: "oak", TimeoutMs: 5000,
			})
			assert.Equal(t, status, http.StatusOK, string(body))
			reply, err := trwire.Decode[trwire.SubReply](bytes.NewReader(body), trwire.MaxReplyBytes)
			assert.NilError(t, err)
			merged = append(merged, reply.Records...)
			break
		}
	}
	slices.SortFunc(merged, trwire.CompareRecords)
	want := f.Data("search").Expect(1, "oak", 0)
	assert.Assert(t, len(want) > 10)
	assert.DeepEqual(t, merged, want)
}
