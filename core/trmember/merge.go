package trmember

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// merge takes over newer entries. In a full list a dead entry may come from the
// other side of a partition, so a member alive here gets time to refute it.
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

// mergeOwner takes over the entry of the member that sent it. Only there are the
// lagging fields newer than the ones held.
func (g *Group) mergeOwner(m Member) {
	g.merge([]Member{m}, false)
	g.mu.Lock()
	e := g.members[m.ID]
	lagging := e != nil && m != e.Member && !supersedes(&m, &e.Member) && !supersedes(&e.Member, &m)
	if !lagging {
		g.mu.Unlock()
		return
	}
	e.Member = m
	list := g.republish(m)
	g.mu.Unlock()
	g.subs.call(list)
}

// republish replaces one entry of the member list. After a change of the
// configuration every message of another member brings a lagging field, and at
// 1,300 members a copy of the list takes a small part of the time of a sort. The
// caller holds g.mu.
func (g *Group) republish(m Member) []Member {
	list := slices.Clone(*g.snapshot.Load())
	if i, found := slices.BinarySearchFunc(list, m, compareMembers); found {
		list[i] = m
	}
	g.snapshot.Store(&list)
	return list
}

// apply replaces an entry by a newer one. The caller holds g.mu.
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

// refute answers an entry about this process. The caller holds g.mu.
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

// suspicionTimeout is longer in larger groups, since a refutation takes more
// periods to arrive. The caller holds g.mu.
func (g *Group) suspicionTimeout() time.Duration {
	periods := max(minSuspicion, suspicionPeriods*bits.Len(uint(len(g.members))))
	return time.Duration(periods) * g.cfg.Period
}

// publish replaces the member list and calls the subscribers. The list is made
// from the previous one, so that the sort finds it in order but for new members.
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
		for id, e := range g.members {
			if _, found := slices.BinarySearchFunc(old, Member{ID: id}, compareMembers); !found {
				list = append(list, e.Member)
			}
		}
	}
	slices.SortFunc(list, compareMembers)
	g.snapshot.Store(&list)
	g.mu.Unlock()
	g.subs.call(list)
}

func compareMembers(a, b Member) int { return strings.Compare(a.ID, b.ID) }
