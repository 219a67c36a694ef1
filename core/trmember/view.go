package trmember

import (
	"slices"
	"time"
)

// View is what a process knows of the fleet. Whoever takes a part of a bound that holds as a sum
// over all instances takes it from a View: an instance that knows only some of the others must not
// act as if there were no more.
type View struct {
	// Members holds all that have not left, including this process, ordered by ID. Those that
	// cannot be reached are among them, as they may still be serving. It must not be modified.
	Members []Member
	// JoinedAt is since when Members holds what others knew; zero if this process knows only
	// itself and those that have sent messages to it, although there may be others.
	JoinedAt time.Time
	// Covered is the part of the fleet that Members covers: the part of the seeds that are or
	// were members, 0 to 1. Instances that started while their zone was cut off know only those
	// that did too; an unknown seed shows that there are others. If none of them ever was a
	// member, they may all be gone for good: it is metShare then while an alive member has Met.
	Covered float64
}

// metShare is the part of the fleet that instances cover which know all that write to the store.
// Others may be cut off from it, but hardly most of the fleet.
const metShare = 0.5

// Unknown returns the part of the fleet that may exist beside Members, 0 to 1.
func (v *View) Unknown() float64 {
	if v.JoinedAt.IsZero() {
		return 1
	}
	return 1 - v.Covered
}

// View returns what this process knows of the fleet now.
func (g *Group) View() View {
	g.mu.Lock()
	seeds, joinedAt := g.cfg.Seeds, g.joinedAt
	g.mu.Unlock()
	// The members are read later: earlier ones may be those from before the join.
	all := g.Members()
	v := View{Members: notLeft(all), JoinedAt: joinedAt, Covered: 1}
	known, others := 0, false
	for _, addr := range seeds {
		isMember := func(m Member) bool { return m.PeerAddr == addr }
		switch {
		case addr == g.cfg.Self.PeerAddr:
			known++
		case slices.ContainsFunc(all, isMember):
			known++
			others = true
		default:
			others = true
		}
	}
	if !others && v.JoinedAt.IsZero() {
		v.JoinedAt = g.created // the only seed of its fleet has nobody to join
	}
	if len(seeds) > 0 {
		v.Covered = float64(known) / float64(len(seeds))
	}
	if known == 0 && slices.ContainsFunc(v.Members, func(m Member) bool { return m.Met && m.State == Alive }) {
		v.Covered = max(v.Covered, metShare)
	}
	return v
}

// notLeft returns the members that have not left.
func notLeft(members []Member) []Member {
	left := func(m Member) bool { return m.State == Left }
	if !slices.ContainsFunc(members, left) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), left)
}
