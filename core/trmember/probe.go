package trmember

import (
	"slices"
	"sync/atomic"
	"time"

	"tanagerrock/core/trclock"
)

// startJoin contacts seeds or members until one answers, in place of an earlier call that goes on.
func (g *Group) startJoin() {
	g.mu.Lock()
	g.joins++
	n := g.joins
	g.mu.Unlock()
	g.join(n, joinBackoff)
}

// join contacts the seeds in random order until one answers, and then some of the members that
// have sent messages to this process: it may be the only seed that is left, through which they
// have joined. If none answers, it tries again after a backoff. n identifies the call of startJoin.
func (g *Group) join(n uint64, backoff time.Duration) {
	g.mu.Lock()
	if n != g.joins {
		g.mu.Unlock()
		return
	}
	seeds := slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(a string) bool { return a == g.self.PeerAddr })
	g.rnd.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	addrs := seeds
	for _, m := range g.pickRandom(joinMembers, nil) {
		addrs = append(addrs, m.PeerAddr)
	}
	wait := backoff/2 + time.Duration(g.rnd.Int64N(int64(backoff)))
	g.mu.Unlock()
	if len(seeds) == 0 {
		return
	}
	g.cfg.Spawn(func() {
		var err error
		for _, addr := range addrs {
			if g.ctx.Err() != nil {
				return
			}
			if err = g.contact(addr); err == nil {
				return
			}
		}
		if backoff == joinBackoff && g.cfg.OnJoin != nil {
			g.cfg.OnJoin(err)
		}
		g.after(wait, func() { g.join(n, min(2*backoff, joinBackoffMax)) })
	})
}

// contact exchanges full member lists with the process at addr.
func (g *Group) contact(addr string) error {
	timeout := fullTimeoutFactor * g.cfg.ProbeTimeout
	reply, err := g.exchange(g.ctx, Member{PeerAddr: addr}, true, timeout)
	if err != nil {
		return err
	}
	m := g.message(&reply.From, false)
	m.Members = g.missingFrom(reply)
	if len(m.Members) > 0 || len(m.Updates) > 0 {
		if _, err := g.send(g.ctx, addr, m, timeout); err != nil {
			return err
		}
	}
	g.mu.Lock()
	first := g.joinedAt.IsZero()
	if first {
		g.joinedAt = g.cfg.Clock.Now()
	}
	g.mu.Unlock()
	if !first {
		return nil
	}
	g.after(pullInterval, g.refresh)
	if g.cfg.OnJoin != nil {
		g.cfg.OnJoin(nil)
	}
	return nil
}

// refresh exchanges state with a seed, or another member if no seed is present, at intervals until
// joinTime has passed. Instances that start together are known to the seeds first.
func (g *Group) refresh() {
	g.mu.Lock()
	over := g.cfg.Clock.Now().Sub(g.joinedAt) >= joinTime
	isSeed := func(m *Member) bool { return slices.Contains(g.cfg.Seeds, m.PeerAddr) }
	targets := g.pickRandom(1, func(m *Member) bool { return !isSeed(m) })
	if len(targets) == 0 {
		targets = g.pickRandom(1, nil)
	}
	g.mu.Unlock()
	if over || len(targets) == 0 {
		return
	}
	g.cfg.Spawn(func() { _, _ = g.exchange(g.ctx, targets[0], false, g.cfg.ProbeTimeout) })
	g.after(pullInterval, g.refresh)
}

// missingFrom returns the entries that are newer than those in the full list of reply
// or missing from it.
func (g *Group) missingFrom(reply *Exchange) []Member {
	known := make(map[string]*Member, len(reply.Members))
	for i := range reply.Members {
		known[reply.Members[i].ID] = &reply.Members[i]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var missing []Member
	for _, e := range g.members {
		if e.ID == reply.From.ID {
			continue
		}
		if k := known[e.ID]; k == nil || supersedes(&e.Member, k) {
			missing = append(missing, e.Member)
		}
	}
	slices.SortFunc(missing, compareMembers)
	return missing[:min(len(missing), maxMembersInMessage)]
}

// tick runs one probe period.
func (g *Group) tick() {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	g.ticks++
	changed := g.expire(now)
	target, ok := g.nextTarget()
	suspects := g.ownSuspects()
	var addr string
	if g.ticks%recontactPeriods == 0 {
		addr = g.recontactAddr()
	}
	g.mu.Unlock()
	if changed {
		g.publish()
	}
	if ok {
		g.cfg.Spawn(func() { g.probe(target) })
	}
	for _, m := range suspects {
		g.cfg.Spawn(func() { _, _ = g.exchange(g.ctx, m, false, g.cfg.ProbeTimeout) })
	}
	if addr != "" {
		g.cfg.Spawn(func() { _ = g.contact(addr) })
	}
}

// expire declares suspects dead at their deadline and removes members that have been
// dead or left for deadRetention. The caller holds g.mu.
func (g *Group) expire(now time.Time) (changed bool) {
	// Suspects had no time to refute while this process was paused.
	if pause := now.Sub(g.lastTick) - 2*g.cfg.Period; pause > 0 {
		for _, e := range g.members {
			e.deadline = e.deadline.Add(pause)
		}
	}
	g.lastTick = now
	for id, e := range g.members {
		switch {
		case e.State == Suspect && !now.Before(e.deadline):
			e.State, e.since = Dead, now
			g.queue.add(id)
			changed = true
		case !e.Present() && now.Sub(e.since) > deadRetention:
			delete(g.members, id)
			g.queue.drop(id)
			changed = true
		}
	}
	return changed
}

// nextTarget returns the next member to probe. Each round covers all present members
// in random order. The caller holds g.mu.
func (g *Group) nextTarget() (Member, bool) {
	for {
		if len(g.probeOrder) == 0 {
			g.probeOrder = g.presentIDs(nil)
			if len(g.probeOrder) == 0 {
				return Member{}, false
			}
			g.rnd.Shuffle(len(g.probeOrder), func(i, k int) { g.probeOrder[i], g.probeOrder[k] = g.probeOrder[k], g.probeOrder[i] })
		}
		id := g.probeOrder[len(g.probeOrder)-1]
		g.probeOrder = g.probeOrder[:len(g.probeOrder)-1]
		if e := g.members[id]; e != nil && e.Present() {
			return e.Member, true
		}
	}
}

// ownSuspects returns up to IndirectProbes suspects that this process's own probes did
// not reach. tick probes them again in every period. The probe carries the suspicion,
// so that the member can refute it and a single lost probe does not cause it to be
// declared dead. The caller holds g.mu.
func (g *Group) ownSuspects() []Member {
	var list []Member
	for _, e := range g.members {
		if e.ownSuspicion && e.State == Suspect {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, compareMembers)
	return list[:min(len(list), g.cfg.IndirectProbes)]
}

// presentIDs returns the sorted IDs of the present members, except those for which
// skip returns true; a nil skip excludes none. The caller holds g.mu.
func (g *Group) presentIDs(skip func(*Member) bool) []string {
	var ids []string
	for id, e := range g.members {
		if e.Present() && (skip == nil || !skip(&e.Member)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pickRandom returns up to n random present members, except those for which skip
// returns true; a nil skip excludes none. The caller holds g.mu.
func (g *Group) pickRandom(n int, skip func(*Member) bool) []Member {
	ids := g.presentIDs(skip)
	n = min(n, len(ids))
	picked := make([]Member, n)
	for i := range picked {
		k := i + g.rnd.IntN(len(ids)-i)
		ids[i], ids[k] = ids[k], ids[i]
		picked[i] = g.members[ids[i]].Member
	}
	return picked
}

// recontactAddr returns a random address of a dead member or of a seed that belongs to
// no present member, or "". The caller holds g.mu.
func (g *Group) recontactAddr() string {
	present := g.presentAddrs()
	addrs := g.unknownSeeds()
	for _, e := range g.members {
		if e.State == Dead && !present[e.PeerAddr] {
			addrs = append(addrs, e.PeerAddr)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	slices.Sort(addrs)
	return addrs[g.rnd.IntN(len(addrs))]
}

// unknownSeeds returns the seeds that belong to no present member. The caller holds g.mu.
func (g *Group) unknownSeeds() []string {
	present := g.presentAddrs()
	return slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(addr string) bool { return present[addr] })
}

// presentCount returns the number of present members, this process included. The caller holds
// g.mu.
func (g *Group) presentCount() int {
	n := 1
	for _, e := range g.members {
		if e.Present() {
			n++
		}
	}
	return n
}

// presentAddrs returns the peer addresses of the present members and of this process. The caller
// holds g.mu.
func (g *Group) presentAddrs() map[string]bool {
	present := map[string]bool{g.self.PeerAddr: true}
	for _, e := range g.members {
		if e.Present() {
			present[e.PeerAddr] = true
		}
	}
	return present
}

// probe probes a member directly and, if that fails, through other members. It
// suspects the member if none reaches it.
func (g *Group) probe(target Member) {
	g.stats.probes.Add(1)
	if _, err := g.exchange(g.ctx, target, false, g.cfg.ProbeTimeout); err == nil || g.ctx.Err() != nil {
		return
	}
	g.stats.failed.Add(1)
	g.mu.Lock()
	relays := g.pickRandom(g.cfg.IndirectProbes, func(m *Member) bool { return m.ID == target.ID || m.State != Alive })
	g.mu.Unlock()
	if len(relays) == 0 {
		g.suspect(target)
		return
	}
	var failed atomic.Int32
	for _, relay := range relays {
		g.cfg.Spawn(func() {
			if !g.probeThrough(relay, target) && int(failed.Add(1)) == len(relays) {
				g.suspect(target)
			}
		})
	}
}

func (g *Group) probeThrough(relay, target Member) bool {
	g.stats.indirect.Add(1)
	ctx, cancel := trclock.WithTimeout(g.ctx, g.cfg.Clock, 2*g.cfg.ProbeTimeout)
	defer cancel()
	req := &ProbeRequest{TargetID: target.ID, Addr: target.PeerAddr, TimeoutMs: g.cfg.ProbeTimeout.Milliseconds()}
	reply, err := g.cfg.Transport.ProbeFor(ctx, relay.PeerAddr, req)
	if err != nil || !reply.Reached {
		return false
	}
	if reply.Target != nil && reply.Target.ID == target.ID {
		g.merge([]Member{*reply.Target}, false)
	}
	return true
}

// suspect marks a member as suspect unless a newer entry has arrived meanwhile.
func (g *Group) suspect(target Member) {
	if g.ctx.Err() != nil {
		return
	}
	g.stats.suspicions.Add(1)
	target.State = Suspect
	g.merge([]Member{target}, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.members[target.ID]; e != nil && e.Member == target {
		e.ownSuspicion = true
	}
}
