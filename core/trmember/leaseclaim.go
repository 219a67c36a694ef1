package trmember

import (
	"cmp"
	"slices"
	"time"

	"tanagerrock/core/trconfig"
)

// withEntry returns a copy of t with entry replaced or added.
func (t *SenderTable) withEntry(entry SenderEntry) *SenderTable {
	next := &SenderTable{Revision: t.Revision + 1, Entries: slices.Clone(t.Entries)}
	i, found := slices.BinarySearchFunc(next.Entries, entry.Index, func(e SenderEntry, index int) int {
		return cmp.Compare(e.Index, index)
	})
	if found {
		next.Entries[i] = entry
	} else {
		next.Entries = slices.Insert(next.Entries, i, entry)
	}
	return next
}

// propose returns the entry that this process should write next, given the table t,
// or false if it has to wait.
func (l *SenderLease) propose(t *SenderTable, local time.Time) (SenderEntry, bool) {
	now, unc, ok := l.cfg.StoreClock.Estimate(local)
	if !ok {
		return SenderEntry{}, false
	}
	self := l.cfg.Self()
	// The latest store time at which this renewal can have been sent, rounded up.
	latest := now.Add(unc).UnixMilli() + 1
	earliest := now.Add(-unc).UnixMilli()
	policy := l.cfg.Policy()
	own := t.EntryOf(self.ID)
	if own != nil && own.Incarnation > self.Incarnation && !own.Released {
		return SenderEntry{}, false // a newer process has this ID
	}
	if own != nil && own.Incarnation == self.Incarnation && !own.Released {
		renewed := *own
		renewed.Zone, renewed.PeerAddr = self.Zone, self.PeerAddr
		renewed.RenewedMs = max(latest, own.RenewedMs)
		renewed.RenewedRevision = t.Revision + 1
		// An index beyond a reduced SenderIndexes is released; the next step claims
		// another one.
		renewed.Released = own.Index >= policy.SenderIndexes
		return renewed, true
	}
	var former SenderEntry
	if own != nil && !own.Released && own.Index < policy.SenderIndexes {
		former, ok = *own, true
	} else {
		former, ok = l.freeIndex(t, policy, earliest)
	}
	if !ok {
		return SenderEntry{}, false
	}
	claim := SenderEntry{
		Index: former.Index, InstanceID: self.ID, Incarnation: self.Incarnation, Zone: self.Zone, PeerAddr: self.PeerAddr,
		Epoch: former.Epoch + 1, RenewedMs: latest, ClaimedRevision: t.Revision + 1, RenewedRevision: t.Revision + 1, Reclaimed: former.Reclaimed, ReclaimedMs: former.ReclaimedMs,
	}
	if former.InstanceID != "" && !former.Released && !l.endedWhileConnected(former, latest, policy) {
		claim.Reclaimed, claim.ReclaimedMs = true, latest
	}
	return claim, true
}

// endedWhileConnected reports whether the former holder ended before it could run
// requests without the store. Every request that it ran then had its request ID
// claimed in the store, so such IDs need not be answered with OutcomeUnknown. The
// former process of an instance that was restarted at the same address has ended by now,
// since it has released the address. Any other process ended no later than its instance
// disappeared from the platform's list.
func (l *SenderLease) endedWhileConnected(former SenderEntry, latestMs int64, p trconfig.FleetPolicy) bool {
	endedMs := latestMs
	self := l.cfg.Self()
	if former.InstanceID != self.ID || former.PeerAddr != self.PeerAddr {
		if l.cfg.Instances == nil {
			return false
		}
		absentFor, absent := l.cfg.Instances.AbsentFor(former.InstanceID)
		if !absent {
			return false
		}
		endedMs -= absentFor.Milliseconds()
	}
	return endedMs-former.RenewedMs < p.OnceMemoryMs
}

// freeIndex returns the entry of the preferred index that may be claimed: an unused
// one, a released one, one past its quarantine, or one that was not renewed for
// SenderLapseMs and whose instance is presumed gone, in this order. Indexes that were
// not released cleanly come last, since their request IDs may be answered with
// OutcomeUnknown for a time.
func (l *SenderLease) freeIndex(t *SenderTable, p trconfig.FleetPolicy, earliestMs int64) (SenderEntry, bool) {
	best, bestPriority := SenderEntry{}, 0
	consider := func(e SenderEntry, priority int) {
		if bestPriority == 0 || priority < bestPriority {
			best, bestPriority = e, priority
		}
	}
	for index := range min(p.SenderIndexes, MaxSenderIndexes) {
		e := t.Entry(index)
		switch {
		case e == nil:
			consider(SenderEntry{Index: index}, 1)
		case e.Released:
			consider(*e, 2)
		case earliestMs-e.RenewedMs >= p.SenderQuarantineMs:
			consider(*e, 3)
		case earliestMs-e.RenewedMs >= p.SenderLapseMs && l.presumedGone(e.InstanceID, p):
			consider(*e, 4)
		}
	}
	return best, bestPriority > 0
}

// presumedGone reports whether the platform's list has not contained the instance for
// SenderGoneMs. It is false if SenderGoneMs is 0.
func (l *SenderLease) presumedGone(instanceID string, p trconfig.FleetPolicy) bool {
	if p.SenderGoneMs <= 0 || l.cfg.Instances == nil {
		return false
	}
	d, ok := l.cfg.Instances.AbsentFor(instanceID)
	return ok && d >= milliseconds(p.SenderGoneMs)
}
