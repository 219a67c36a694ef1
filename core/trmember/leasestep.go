package trmember

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// schedule runs the next step after delay, instead of any step scheduled before. The
// caller holds l.mu.
func (l *SenderLease) schedule(delay time.Duration) {
	if l.cancelStep != nil {
		l.cancelStep()
	}
	if !l.stopped {
		l.cancelStep = l.cfg.Clock.After(delay, func(time.Time) { l.step() })
	}
}

// step runs one step of the lease and schedules the next one.
func (l *SenderLease) step() {
	l.mu.Lock()
	if l.running || l.stopped {
		l.mu.Unlock()
		return
	}
	l.running, l.early = true, false
	base := l.table
	l.mu.Unlock()

	ctx, cancel := trclock.WithTimeout(context.Background(), l.cfg.Clock, storeTimeout)
	delay := l.runStep(ctx, base)
	cancel()

	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	if l.failures == 0 && l.hasUnacknowledgedClaim() {
		delay = min(delay, l.earlyDelay())
	}
	l.schedule(delay)
}

// runStep claims or renews on the table base, or reads the table if none is known,
// and returns the time to the next step.
func (l *SenderLease) runStep(ctx context.Context, base *SenderTable) time.Duration {
	if base == nil {
		if err := l.get(ctx); err != nil {
			return l.recordFailure(err)
		}
		return 0
	}
	// The entry and the pendingWrite use the same clock reading. If the process were
	// paused between two readings, its lease would seem valid for longer than the
	// entry in the store allows.
	now := l.cfg.Clock.Now()
	if _, _, ok := l.cfg.StoreClock.Estimate(now); !ok {
		// Read the table only because the reply carries the store's time. The next step
		// then claims or renews.
		return l.recordFailure(cmp.Or(l.get(ctx), errNoStoreTime))
	}
	entry, ok := l.propose(base, now)
	if !ok {
		// The release of an index may not have reached this process.
		if l.idleSteps++; l.idleSteps%idleStepsPerRead == 0 {
			if err := l.get(ctx); err != nil {
				return l.recordFailure(err)
			}
		}
		return l.randomDelay(milliseconds(l.cfg.Policy().SenderRenewMs))
	}
	if err := l.put(ctx, base, entry, &pendingWrite{entry.Index, entry.Epoch, entry.RenewedMs, now}); err != nil {
		return l.recordFailure(err)
	}
	l.mu.Lock()
	l.failures, l.conflicts = 0, 0
	l.mu.Unlock()
	return l.renewDelay()
}

func (l *SenderLease) renewDelay() time.Duration {
	period := float64(l.cfg.Policy().SenderRenewMs) * float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(period * (1 + renewJitter*(2*l.rnd.Float64()-1)))
}

// randomDelay returns a random duration between 0.1 and 1.1 times base.
func (l *SenderLease) randomDelay(base time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return base/10 + time.Duration(l.rnd.Int64N(int64(base)))
}

// recordFailure counts an error and returns the delay before the next attempt.
func (l *SenderLease) recordFailure(err error) time.Duration {
	_, conflict := ConflictOf(err)
	period := milliseconds(l.cfg.Policy().SenderRenewMs)
	// The conflict was with a write of this process that did take effect, so there
	// is nothing to repeat.
	if h := l.held.Load(); conflict && h != nil && l.cfg.Clock.Now().Sub(h.sent) < period/2 {
		return l.renewDelay()
	}
	l.mu.Lock()
	var wait time.Duration
	if conflict {
		l.conflicts++
		if l.conflicts%2 == 1 && l.table != nil && len(l.table.Entries) > maxDisseminatedEntries {
			l.mu.Unlock()
			return 0 // the table returned with the conflict would be stale after a wait
		}
		wait = conflictDelay << min(l.conflicts-1, 5)
	} else {
		l.stats.Failures++
		l.failures++
		wait = failureDelay << min(l.failures-1, 10)
	}
	l.mu.Unlock()
	return l.randomDelay(min(wait, period))
}

func (l *SenderLease) get(ctx context.Context) error {
	l.updateStats(func(s *LeaseStats) { s.Gets++ })
	entry, err := l.cfg.Store.Get(ctx, l.key)
	if IsNotFound(err) {
		entry, err = &trwire.Entry{Key: l.key}, nil
	}
	if err != nil {
		return errors.Wrap(err, "read sender table")
	}
	return l.adoptEntry(entry)
}

// put writes base with entry replaced or added. On a conflict it adopts the current
// table, which also shows whether an earlier write without a reply took effect, and
// returns the conflict.
func (l *SenderLease) put(ctx context.Context, base *SenderTable, entry SenderEntry, write *pendingWrite) error {
	next := base.withEntry(entry)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode sender table")
	}
	l.mu.Lock()
	l.stats.Puts++
	if write != nil {
		l.pending = append(l.pending, *write)
		l.pending = l.pending[max(0, len(l.pending)-maxPending):]
	}
	l.mu.Unlock()
	written, err := l.cfg.Store.Put(ctx, l.key, &trwire.PutRequest{Value: value, PrevVersion: base.Revision})
	if err == nil {
		next.Revision = written.Version
		l.publish(next, value)
		return nil
	}
	current, conflict := ConflictOf(err)
	if !conflict {
		return errors.Wrap(err, "write sender table")
	}
	l.updateStats(func(s *LeaseStats) { s.Conflicts++ })
	if current == nil {
		return cmp.Or(l.get(ctx), err)
	}
	return cmp.Or(l.adoptEntry(current), err)
}

func (l *SenderLease) updateStats(f func(*LeaseStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}
