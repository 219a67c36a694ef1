package trmember

import (
	"slices"
	"time"

	"tanagerrock/core/trwire"
)

// adoptEntry adopts and disseminates the table in an entry of the store.
func (l *SenderLease) adoptEntry(entry *trwire.Entry) error {
	t, err := DecodeSenderTable(entry.Value, entry.Version)
	if err != nil {
		return err
	}
	l.publish(t, entry.Value)
	return nil
}

// publish adopts a table that was read from or written to the store and disseminates
// it, unless it is a mere renewal of a table larger than maxDisseminatedEntries.
func (l *SenderLease) publish(t *SenderTable, value []byte) {
	old := l.Table()
	l.Observe(t)
	if old != nil && len(t.Entries) > maxDisseminatedEntries && sameHomes(old, t) {
		return
	}
	if l.cfg.Documents != nil && t.Revision > 0 {
		l.cfg.Documents.Set(Document{Name: DocumentSenders, Revision: t.Revision, Body: value})
	}
}

// adopt replaces the table by t if t is newer and updates the index held. The
// returned function reports a change of the index held and must be called without
// the lock. The caller holds l.mu.
func (l *SenderLease) adopt(t *SenderTable) (notify func()) {
	if l.table != nil && t.Revision <= l.table.Revision {
		if t.Revision < l.table.Revision {
			l.stats.StaleTables++
		}
		return func() {}
	}
	l.table = t
	l.recordTable(t)
	notify = func() {}
	if h := l.held.Load(); h != nil {
		switch e := t.Entry(h.index); {
		case e != nil && e.Epoch > h.epoch:
			notify = l.yield()
		case e != nil && e.Released:
			notify = l.dropHeld()
		}
	}
	e := l.ownEntry()
	if e == nil || e.Released || l.stopped {
		return notify
	}
	i := slices.IndexFunc(l.pending, func(a pendingWrite) bool {
		return a.index == e.Index && a.epoch == e.Epoch && a.renewedMs == e.RenewedMs
	})
	if i < 0 {
		return notify
	}
	sent := l.pending[i].sent
	l.pending = slices.Clone(l.pending[i+1:])
	if h := l.held.Load(); h != nil && h.index == e.Index && h.epoch == e.Epoch {
		l.held.Store(&heldIndex{h.index, h.epoch, sent, h.since})
		return notify
	}
	l.stats.Claims++
	l.held.Store(&heldIndex{e.Index, e.Epoch, sent, sent})
	return l.notifier(e.Index, e.Epoch)
}

// yield gives up the index held to a newer holder. The caller holds l.mu.
func (l *SenderLease) yield() (notify func()) {
	l.stats.Yields++
	return l.dropHeld()
}

func (l *SenderLease) dropHeld() (notify func()) {
	if l.held.Swap(nil) == nil {
		return func() {}
	}
	return l.notifier(-1, 0)
}

func (l *SenderLease) notifier(index int, epoch uint64) func() {
	return func() {
		if l.cfg.Changed != nil {
			l.cfg.Changed(index, epoch)
		}
	}
}

// recordTable adds t to the history if its homes differ from the last one. The
// caller holds l.mu.
func (l *SenderLease) recordTable(t *SenderTable) {
	now := l.cfg.Clock.Now()
	if n := len(l.history); n == 0 || !sameHomes(l.history[n-1].Table, t) {
		l.history = append(l.history, SeenTable{t, now})
	}
	l.trimHistory(now)
}

// trimHistory removes tables that were superseded before the retention time began,
// and the oldest ones beyond maxHistory. The caller holds l.mu.
func (l *SenderLease) trimHistory(now time.Time) {
	start := now.Add(-milliseconds(l.cfg.Policy().OnceRetentionMs))
	for len(l.history) > 1 && (!l.history[1].Seen.After(start) || len(l.history) > maxHistory) {
		l.history = l.history[1:]
	}
}

// sameHomes reports whether every request ID has the same home in both tables.
func sameHomes(a, b *SenderTable) bool {
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y SenderEntry) bool {
		return x.Index == y.Index && x.InstanceID == y.InstanceID && x.Incarnation == y.Incarnation &&
			x.Epoch == y.Epoch && x.Released == y.Released && a.claimsSeenBy(&x) == b.claimsSeenBy(&y)
	})
}
