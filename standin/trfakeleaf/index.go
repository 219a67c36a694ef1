package trfakeleaf

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagerrock/core/trwire"
)

// scoreLevels is the number of distinct scores. It is small so that many records have
// equal scores and tests cover the order among them.
const scoreLevels = 16

// absentOneIn makes one in absentOneIn keys absent from a version, so that versions
// differ in their keys as well as in their values.
const absentOneIn = 16

var words = []string{"oak", "ash", "brass", "linen", "slate", "copper", "cork", "wool", "steel", "glass", "pine", "felt"}

// Dataset describes the records of a service. Every leaf and every test with the
// same Dataset generates the same records.
type Dataset struct {
	Service string `json:"Service"`
	Seed    uint64 `json:"Seed"`
	Records int    `json:"Records"` // number of keys in all versions together
}

// Value is the value of a generated record.
type Value struct {
	Version uint64 `json:"Version"`
	Text    string `json:"Text"`
}

func (d Dataset) hash(parts ...any) uint64 {
	return xxhash.Sum64String(fmt.Sprint(d.Service, "/", d.Seed, "/", fmt.Sprint(parts...)))
}

// Key returns the i-th key of the service.
func (d Dataset) Key(i int) string { return fmt.Sprintf("%s-%06d", d.Service, i) }

// Generate returns the records of a version without scores, ordered by key.
func (d Dataset) Generate(version uint64) []trwire.Record {
	records := make([]trwire.Record, 0, d.Records)
	for i := range d.Records {
		if d.hash("absent", version, " ", i)%absentOneIn == 0 {
			continue
		}
		h := d.hash("text", i)
		n := uint64(len(words))
		text := fmt.Sprintf("%s %s v%d", words[h%n], words[h/n%n], version)
		value, err := json.Marshal(Value{Version: version, Text: text})
		if err != nil {
			panic(err) // Value has no field that can fail
		}
		records = append(records, trwire.Record{Key: d.Key(i), Value: value})
	}
	return records
}

// ExpectedRecords returns the records of a complete answer to a query: the first limit
// records of a version that match terms. A limit of 0 means all.
func (d Dataset) ExpectedRecords(version uint64, terms string, limit int) []trwire.Record {
	return search(d.Generate(version), terms, limit)
}

// search returns the first limit records, in the order of trwire.CompareRecords, that
// contain every word of terms.
func search(records []trwire.Record, terms string, limit int) []trwire.Record {
	if limit <= 0 {
		limit = trwire.MaxRecords
	}
	wanted := strings.Fields(terms)
	found := []trwire.Record{}
	for _, r := range records {
		if matches(r, wanted) {
			r.Score = score(r.Key, terms)
			found = append(found, r)
		}
	}
	slices.SortFunc(found, trwire.CompareRecords)
	return found[:min(limit, len(found))]
}

func matches(r trwire.Record, wanted []string) bool {
	for _, word := range wanted {
		if !strings.Contains(string(r.Value), word) && !strings.Contains(r.Key, word) {
			return false
		}
	}
	return true
}

func score(key, terms string) float64 {
	return float64(xxhash.Sum64String(key+"\x00"+terms)%scoreLevels) / scoreLevels
}

// Holding is a version and the shards of it that a leaf holds.
type Holding struct {
	Version    uint64 `json:"Version"`
	ShardCount int    `json:"ShardCount"`
	Shards     []int  `json:"Shards"`
	Loaded     bool   `json:"Loaded"` // false while the shards are listed but do not answer yet
}

// index holds the versions of a leaf, ordered from oldest to newest.
type index struct {
	data     Dataset
	mu       sync.Mutex
	versions []*heldVersion
}

// heldVersion is a version with its records by shard.
type heldVersion struct {
	Holding
	records map[int][]trwire.Record
}

// maxVersions is the number of versions that a leaf holds.
const maxVersions = 2

// add adds a version and drops the oldest ones beyond maxVersions.
func (x *index) add(h Holding) {
	v := &heldVersion{Holding: h, records: map[int][]trwire.Record{}}
	for _, shard := range h.Shards {
		v.records[shard] = nil
	}
	for _, r := range x.data.Generate(h.Version) {
		shard := trwire.ShardOf(r.Key, h.ShardCount)
		if list, held := v.records[shard]; held {
			v.records[shard] = append(list, r)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.versions = slices.DeleteFunc(x.versions, func(o *heldVersion) bool { return o.Version == h.Version })
	x.versions = append(x.versions, v)
	x.versions = x.versions[max(0, len(x.versions)-maxVersions):]
}

func (x *index) remove(number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.versions = slices.DeleteFunc(x.versions, func(o *heldVersion) bool { return o.Version == number })
}

// setLoaded sets the Loaded flag of a version. It reports false if the version is not
// held.
func (x *index) setLoaded(number uint64, loaded bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range x.versions {
		if v.Version == number {
			v.Loaded = loaded
			return true
		}
	}
	return false
}

// newest returns the newest holding, or false if there is none.
func (x *index) newest() (Holding, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.versions) == 0 {
		return Holding{}, false
	}
	return x.versions[len(x.versions)-1].Holding, true
}

func (x *index) holdings() []trwire.Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := []trwire.Holding{}
	for _, v := range x.versions {
		for _, shard := range v.Shards {
			list = append(list, trwire.Holding{
				Version: v.Version, Shard: shard, ShardCount: v.ShardCount,
				Records: uint64(len(v.records[shard])), Loaded: v.Loaded,
			})
		}
	}
	return list
}

// lookup returns the records of a shard, which must not be modified. The error kind is
// empty if the shard is held and loaded.
func (x *index) lookup(number uint64, shard, shardCount int) ([]trwire.Record, trwire.LeafErrorKind) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, v := range x.versions {
		if v.Version != number || v.ShardCount != shardCount {
			continue
		}
		records, held := v.records[shard]
		if !held {
			return nil, trwire.LeafVersionGone
		}
		if !v.Loaded {
			return records, trwire.LeafNotLoaded
		}
		return records, ""
	}
	return nil, trwire.LeafVersionGone
}
