package trmember

import (
	"cmp"
	"slices"
	"time"

	"tanagerrock/core/trconfig"
)

// with returns a copy of t with entry replaced or added.
func (t *SenderTable) with(entry SenderEntry) *SenderTable {
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

// propose returns the entry that this process should write on the table, or
// false if it has to wait.
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
		// An index that a smaller SenderIndexes excludes is given up; the next
		// step claims another one.
		renewed.Released = own.Index >= policy.SenderIndexes
		return renewed, true
	}
	var free SenderEntry
	if own != nil && !own.Released && own.Index < policy.SenderIndexes {
		free, ok = *own, true
	} else {
		free, ok = l.freeIndex(t, policy, earliest)
	}
	if !ok {
		return SenderEntry{}, false
	}
	claim := SenderEntry{
		Index: free.Index, InstanceID: self.ID, Incarnation: self.Incarnation, Zone: self.Zone, PeerAddr: self.PeerAddr,
		Epoch: free.Epoch + 1, RenewedMs: latest, ClaimedRevision: t.Revision + 1, RenewedRevision: t.Revision + 1, Reclaimed: free.Reclaimed, ReclaimedMs: free.ReclaimedMs,
	}
	if free.InstanceID != "" && !free.Released && !l.endedInContact(free, latest, policy) {
		claim.Reclaimed, claim.ReclaimedMs = true, latest
	}
	return claim, true
}

// endedInContact reports whether the former holder ended before it could run
// requests without the store. Then all that it ran is claimed in the store, and
// its identifiers need not answer OutcomeUnknown. A restarted instance's former
// process has ended by now; another instance ended at the latest when the
// platform's list stopped showing it.
func (l *SenderLease) endedInContact(former SenderEntry, latestMs int64, p trconfig.FleetPolicy) bool {
	endedMs := latestMs
	if former.InstanceID != l.cfg.Self().ID {
		if l.cfg.Instances == nil {
			return false
		}
		goneFor, gone := l.cfg.Instances.AbsentFor(former.InstanceID)
		if !gone {
			return false
		}
		endedMs -= goneFor.Milliseconds()
	}
	return endedMs-former.RenewedMs < p.OnceMemoryMs
}

// freeIndex returns the entry of the best index that may be claimed: an unused
// one, a released one, one past its quarantine, one whose instance is gone. The
// order avoids indexes taken over without a clean release, since their
// identifiers answer OutcomeUnknown for a time.
func (l *SenderLease) freeIndex(t *SenderTable, p trconfig.FleetPolicy, earliestMs int64) (SenderEntry, bool) {
	best, bestRank := SenderEntry{}, 0
	offer := func(e SenderEntry, rank int) {
		if bestRank == 0 || rank < bestRank {
			best, bestRank = e, rank
		}
	}
	for index := range min(p.SenderIndexes, MaxSenderIndexes) {
		e := t.Entry(index)
		switch {
		case e == nil:
			offer(SenderEntry{Index: index}, 1)
		case e.Released:
			offer(*e, 2)
		case earliestMs-e.RenewedMs >= p.SenderQuarantineMs:
			offer(*e, 3)
		case earliestMs-e.RenewedMs >= p.SenderLapseMs && l.gone(e.InstanceID, p):
			offer(*e, 4)
		}
	}
	return best, bestRank > 0
}

func (l *SenderLease) gone(instanceID string, p trconfig.FleetPolicy) bool {
	if p.SenderGoneMs <= 0 || l.cfg.Instances == nil {
		return false
	}
	d, ok := l.cfg.Instances.AbsentFor(instanceID)
	return ok && d >= milliseconds(p.SenderGoneMs)
}
