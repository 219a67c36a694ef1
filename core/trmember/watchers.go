package trmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the members that watch the store on behalf of zone: the n alive
// ones with the highest weights in rendezvous hashing, highest first.
func (g *Group) Watchers(zone string, n int) []Member {
	return watchers(g.Members(), zone, n)
}

func watchers(members []Member, zone string, n int) []Member {
	type candidate struct {
		weight uint64
		member *Member
	}
	var list []candidate
	for i := range members {
		if m := &members[i]; m.Zone == zone && m.State == Alive {
			list = append(list, candidate{weight(zone, m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.weight != b.weight {
			return compareWeights(b.weight, a.weight)
		}
		return compareMembers(*a.member, *b.member)
	})
	best := make([]Member, min(n, len(list)))
	for i := range best {
		best[i] = *list[i].member
	}
	return best
}

// watcherCache is the result of IsWatcher for one member list.
type watcherCache struct {
	members   *[]Member
	n         int
	isWatcher bool
}

// IsWatcher reports whether this process is one of the n watchers of its zone.
// It is called several times a second, so the result is cached until the member
// list changes.
func (g *Group) IsWatcher(n int) bool {
	members := g.snapshot.Load()
	if c := g.watcher.Load(); c != nil && c.members == members && c.n == n {
		return c.isWatcher
	}
	isWatcher := slices.ContainsFunc(watchers(*members, g.cfg.Self.Zone, n), func(m Member) bool { return m.ID == g.cfg.Self.ID })
	g.watcher.Store(&watcherCache{members, n, isWatcher})
	return isWatcher
}

// weight returns the weight of a candidate for a key in rendezvous hashing.
func weight(key, candidate string) uint64 {
	b := make([]byte, 0, 64)
	b = binary.AppendUvarint(b, uint64(len(key)))
	b = append(b, key...)
	return xxhash.Sum64(append(b, candidate...))
}

func compareWeights(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
