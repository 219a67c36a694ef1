package trmember

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// merge applies the entries of list that are newer than those held. A dead entry in
// a full list may come from the other side of a network partition. A member that is
// present here then becomes suspect, which gives it time to refute the entry.
func (g *Group) merge(list []Member, full bool) {
	now := g.cfg.Clock.Now()
	changed := false
	g.mu.Lock()
	for _, m := range list {
		if m.ID == g.self.ID {
			changed = g.refute(&m) || changed
			continue
		}
		old := g.members[m.ID]
		if full && m.State == Dead && old != nil && old.Present() && m.Incarnation == old.Incarnation {
			m.State = Suspect
		}
		changed = g.apply(m, old, now) || changed
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
}

// mergeFrom merges the entry that a member sent of itself. Only such an entry updates
// ConfigRevision, StoreReachable and StoreFailing without a new refutation.
func (g *Group) mergeFrom(m Member) {
	g.merge([]Member{m}, false)
	g.mu.Lock()
	e := g.members[m.ID]
	updated := e != nil && m != e.Member && !supersedes(&m, &e.Member) && !supersedes(&e.Member, &m)
	if !updated {
		g.mu.Unlock()
		return
	}
	e.Member = m
	list := g.replaceSnapshotEntry(m)
	g.mu.Unlock()
	g.subs.notify(list)
}

// replaceSnapshotEntry replaces one entry of the member list. After a change of the
// configuration, every message from another member brings a new ConfigRevision, and
// at 1,300 members copying the list takes a small fraction of the time of sorting
// it. The caller holds g.mu.
func (g *Group) replaceSnapshotEntry(m Member) []Member {
	list := slices.Clone(*g.snapshot.Load())
	if i, found := slices.BinarySearchFunc(list, m, compareMembers); found {
		list[i] = m
	}
	g.snapshot.Store(&list)
	return list
}

// apply replaces the entry old by m if m is newer, and reports whether it did. The
// caller holds g.mu.
func (g *Group) apply(m Member, old *memberEntry, now time.Time) bool {
	if old == nil && !m.Present() {
		return false
	}
	if old != nil && !supersedes(&m, &old.Member) {
		return false
	}
	e := &memberEntry{Member: m, since: now}
	if m.State == Suspect {
		e.deadline = now.Add(g.suspicionTimeout())
	}
	g.members[m.ID] = e
	g.queue.add(m.ID)
	return true
}

// refute handles an entry about this process that another member sent. It refutes a
// newer entry of this incarnation; a higher incarnation means that a newer process
// has replaced this one. The caller holds g.mu.
func (g *Group) refute(m *Member) (changed bool) {
	if m.Incarnation > g.self.Incarnation {
		g.replaced = true
		return false
	}
	if m.Incarnation < g.self.Incarnation || g.self.State == Left || !supersedes(m, &g.self) {
		return false
	}
	g.self.Refutation = m.Refutation + 1
	g.stats.refutations.Add(1)
	return true
}

// suspicionTimeout returns the time after which a suspect is declared dead. It is
// longer in larger groups, since a refutation takes more periods to arrive. The
// caller holds g.mu.
func (g *Group) suspicionTimeout() time.Duration {
	periods := max(minSuspicionPeriods, suspicionFactor*bits.Len(uint(len(g.members))))
	return time.Duration(periods) * g.cfg.Period
}

// publish rebuilds the member list and calls the subscribers. The list is built from
// the previous one, so that only new members are out of order before the sort.
func (g *Group) publish() {
	g.mu.Lock()
	old := []Member{g.self}
	if p := g.snapshot.Load(); p != nil {
		old = *p
	}
	list := make([]Member, 0, len(g.members)+1)
	for i := range old {
		if e := g.members[old[i].ID]; e != nil {
			list = append(list, e.Member)
		} else if old[i].ID == g.self.ID {
			list = append(list, g.self)
		}
	}
	if len(list) <= len(g.members) {
		// The list lacks members that were not in the previous one.
		for id, e := range g.members {
			if _, found := slices.BinarySearchFunc(old, Member{ID: id}, compareMembers); !found {
				list = append(list, e.Member)
			}
		}
	}
	slices.SortFunc(list, compareMembers)
	g.snapshot.Store(&list)
	g.mu.Unlock()
	g.subs.notify(list)
}

func compareMembers(a, b Member) int { return strings.Compare(a.ID, b.ID) }
