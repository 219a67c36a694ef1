package trroute

import (
	"cmp"
	"slices"
	"time"
)

// maxShards is the largest shard count accepted from a leaf. It limits the memory
// that a wrong report makes an instance allocate.
const maxShards = 100_000

// Table is an immutable routing table.
type Table struct {
	services map[string]*Service
}

// Service returns the named service, or nil if no leaf of it is listed.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls f for each service, in no particular order.
func (t *Table) Services(f func(s *Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Conflicts returns the number of reported holdings that are left out, in all
// services.
func (t *Table) Conflicts() int {
	n := 0
	for _, s := range t.services {
		n += s.Conflicts
	}
	return n
}

// Service holds the snapshots and leafs of one service.
type Service struct {
	Name      string
	Snapshots []Snapshot // newest first, each with at least one usable replica
	Leafs     []*Leaf    // usable leafs
	Conflicts int        // reported holdings left out because they contradict others or exceed maxShards
}

// Snapshot is one version of an index.
type Snapshot struct {
	Version    uint64
	ShardCount int
	Records    uint64 // records in all shards whose record count is known
	Shards     []Shard
	Covered    int // shards with a usable replica
}

// Complete reports whether every shard has a usable replica.
func (s *Snapshot) Complete() bool { return s.Covered == s.ShardCount }

// Shard is one shard of a snapshot.
type Shard struct {
	Replicas []*Leaf // usable when the table was built
	Records  uint64  // 0 if unknown

	service string
	version uint64
	index   int
}

// Choose returns the newest complete snapshot, or else the one with the largest
// share of covered shards, the newer one on ties. It returns nil if there is none
// of at least minVersion.
func (s *Service) Choose(minVersion uint64) (snap *Snapshot, complete bool) {
	if s == nil {
		return nil, false
	}
	for i := range s.Snapshots {
		c := &s.Snapshots[i]
		if c.Version < minVersion {
			break
		}
		if c.Complete() {
			return c, true
		}
		if snap == nil || c.Covered*snap.ShardCount > snap.Covered*c.ShardCount {
			snap = c
		}
	}
	return snap, false
}

// Snapshot returns the given version, or nil.
func (s *Service) Snapshot(version uint64) *Snapshot {
	if s == nil {
		return nil
	}
	for i := range s.Snapshots {
		if s.Snapshots[i].Version == version {
			return &s.Snapshots[i]
		}
	}
	return nil
}

// current returns the entry of the shard in t, or s if t has none.
func (s *Shard) current(t *Table) *Shard {
	snap := t.Service(s.service).Snapshot(s.version)
	if snap == nil || s.index >= len(snap.Shards) {
		return s
	}
	return &snap.Shards[s.index]
}

// report is one holding in the hello of one leaf.
type report struct {
	version    uint64
	shardCount int
	shard      int
	records    uint64
	leaf       *Leaf
	at         time.Time // when the hello arrived
}

func compareReports(a, b report) int {
	return cmp.Or(
		cmp.Compare(b.version, a.version),
		cmp.Compare(a.shardCount, b.shardCount),
		cmp.Compare(a.shard, b.shard),
		cmp.Compare(a.records, b.records),
		cmp.Compare(a.leaf.ID, b.leaf.ID),
	)
}

// buildService builds a Service from the hellos of its leafs. Leafs that are not
// usable count in the majority decisions, but not as replicas.
func buildService(name string, leafs []*Leaf) *Service {
	s := &Service{Name: name}
	reports := make([]report, 0, 2*len(leafs))
	for _, l := range leafs {
		if l.Usable() {
			s.Leafs = append(s.Leafs, l)
		}
		if l.info.hello == nil {
			continue
		}
		for _, h := range l.info.hello.Holdings {
			if !h.Loaded {
				continue
			}
			if h.ShardCount > maxShards {
				s.Conflicts++
				continue
			}
			reports = append(reports, report{h.Version, h.ShardCount, h.Shard, h.Records, l, l.info.helloAt})
		}
	}
	slices.SortFunc(reports, compareReports)
	for len(reports) > 0 {
		n := groupEnd(reports, func(r report) uint64 { return r.version })
		s.addSnapshot(reports[:n])
		reports = reports[n:]
	}
	return s
}

// addSnapshot adds the snapshot of one version from the reports of that version.
func (s *Service) addSnapshot(reports []report) {
	kept := majority(reports, func(r report) int { return r.shardCount })
	s.Conflicts += len(reports) - len(kept)
	snap := Snapshot{Version: kept[0].version, ShardCount: kept[0].shardCount}
	snap.Shards = make([]Shard, snap.ShardCount)
	for i := range snap.Shards {
		snap.Shards[i] = Shard{service: s.Name, version: snap.Version, index: i}
	}
	replicas := make([]*Leaf, 0, len(kept))
	for len(kept) > 0 {
		n := groupEnd(kept, func(r report) int { return r.shard })
		same := majority(kept[:n], func(r report) uint64 { return r.records })
		s.Conflicts += n - len(same)
		first := len(replicas)
		for _, r := range same {
			if r.leaf.Usable() && !slices.Contains(replicas[first:], r.leaf) {
				replicas = append(replicas, r.leaf)
			}
		}
		shard := &snap.Shards[kept[0].shard]
		shard.Records = same[0].records
		shard.Replicas = replicas[first:len(replicas):len(replicas)]
		snap.Records += shard.Records
		if len(shard.Replicas) > 0 {
			snap.Covered++
		}
		kept = kept[n:]
	}
	if snap.Covered > 0 {
		s.Snapshots = append(s.Snapshots, snap)
	}
}

// groupEnd returns the number of leading reports whose key equals that of the first.
func groupEnd[K comparable](reports []report, key func(report) K) int {
	n := 1
	for n < len(reports) && key(reports[n]) == key(reports[0]) {
		n++
	}
	return n
}

// majority returns the reports with the key that most leafs report. On a tie it
// returns the group with the newest report. reports must be ordered by key.
func majority[K comparable](reports []report, key func(report) K) []report {
	best := reports[:groupEnd(reports, key)]
	if len(best) == len(reports) {
		return best
	}
	bestLeafs, bestAt := countReporters(best)
	for rest := reports[len(best):]; len(rest) > 0; {
		group := rest[:groupEnd(rest, key)]
		leafs, at := countReporters(group)
		if leafs > bestLeafs || leafs == bestLeafs && at.After(bestAt) {
			best, bestLeafs, bestAt = group, leafs, at
		}
		rest = rest[len(group):]
	}
	return best
}

// countReporters returns the number of distinct leafs and the time of the newest
// report.
func countReporters(reports []report) (leafs int, newest time.Time) {
	seen := make(map[*Leaf]struct{}, len(reports))
	for _, r := range reports {
		seen[r.leaf] = struct{}{}
		if r.at.After(newest) {
			newest = r.at
		}
	}
	return len(seen), newest
}
