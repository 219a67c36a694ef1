package trmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the n present members of zone that rank highest by
// rendezvous hashing, best first.
func (g *Group) Watchers(zone string, n int) []Member {
	return watchers(g.Members(), zone, n)
}

func watchers(members []Member, zone string, n int) []Member {
	type candidate struct {
		rank   uint64
		member *Member
	}
	var list []candidate
	for i := range members {
		if m := &members[i]; m.Zone == zone && m.State == Alive {
			list = append(list, candidate{rank(zone, m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.rank != b.rank {
			return compareRank(b.rank, a.rank)
		}
		return compareMembers(*a.member, *b.member)
	})
	best := make([]Member, min(n, len(list)))
	for i := range best {
		best[i] = *list[i].member
	}
	return best
}

// watcherCheck is the answer of IsWatcher for one member list.
type watcherCheck struct {
	members *[]Member
	n       int
	is      bool
}

// IsWatcher reports whether this process is one of the n watchers of its zone.
// It is asked several times a second, so the answer is kept until the member
// list changes.
func (g *Group) IsWatcher(n int) bool {
	members := g.snapshot.Load()
	if c := g.watcher.Load(); c != nil && c.members == members && c.n == n {
		return c.is
	}
	is := slices.ContainsFunc(watchers(*members, g.cfg.Self.Zone, n), func(m Member) bool { return m.ID == g.cfg.Self.ID })
	g.watcher.Store(&watcherCheck{members, n, is})
	return is
}

// rank is the weight of a candidate for a key in rendezvous hashing.
func rank(key, candidate string) uint64 {
	b := make([]byte, 0, 64)
	b = binary.AppendUvarint(b, uint64(len(key)))
	b = append(b, key...)
	return xxhash.Sum64(append(b, candidate...))
}

func compareRank(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
