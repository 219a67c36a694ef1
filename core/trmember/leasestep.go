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

// schedule runs the next step after delay. The caller holds l.mu.
func (l *SenderLease) schedule(delay time.Duration) {
	if l.stop != nil {
		l.stop()
	}
	if !l.stopped {
		l.stop = l.cfg.Clock.After(delay, func(time.Time) { l.step() })
	}
}

// step makes one call to the store and schedules the next step.
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
	delay := l.call(ctx, base)
	cancel()

	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	if l.failures == 0 && l.claimUnseen() {
		delay = min(delay, l.earlyDelay())
	}
	l.schedule(delay)
}

// call claims or renews on the table base, or reads the table if none is known,
// and returns the time to the next step.
func (l *SenderLease) call(ctx context.Context, base *SenderTable) time.Duration {
	if base == nil {
		if err := l.get(ctx); err != nil {
			return l.failed(err)
		}
		return 0
	}
	// The entry and the attempt carry the same reading of the clock. Were the
	// process paused between two readings, its own lease would seem longer than
	// the store's entry allows.
	now := l.cfg.Clock.Now()
	if _, _, ok := l.cfg.StoreClock.Estimate(now); !ok {
		// The reply brings the store's time.
		return l.failed(cmp.Or(l.get(ctx), errNoStoreTime))
	}
	entry, ok := l.propose(base, now)
	if !ok {
		// The release of an index may not have been spread.
		if l.waits++; l.waits%waitsPerRead == 0 {
			if err := l.get(ctx); err != nil {
				return l.failed(err)
			}
		}
		return l.jitter(milliseconds(l.cfg.Policy().SenderRenewMs))
	}
	if err := l.put(ctx, base, entry, &attempt{entry.Index, entry.Epoch, entry.RenewedMs, now}); err != nil {
		return l.failed(err)
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

// jitter returns a random part of limit, at least a tenth.
func (l *SenderLease) jitter(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit/10 + time.Duration(l.rnd.Int64N(int64(limit)))
}

// failed counts an error and returns the time to wait before the next try.
func (l *SenderLease) failed(err error) time.Duration {
	_, conflict := ConflictOf(err)
	limit := milliseconds(l.cfg.Policy().SenderRenewMs)
	// A conflict with an own write that in fact took effect needs no repetition.
	if h := l.held.Load(); conflict && h != nil && l.cfg.Clock.Now().Sub(h.sent) < limit/2 {
		return l.renewDelay()
	}
	l.mu.Lock()
	var wait time.Duration
	if conflict {
		l.conflicts++
		if l.conflicts%2 == 1 && l.table != nil && len(l.table.Entries) > spreadRenewals {
			l.mu.Unlock()
			return 0 // the table that the conflict brought is stale after a wait
		}
		wait = conflictDelay << min(l.conflicts-1, 5)
	} else {
		l.stats.Failures++
		l.failures++
		wait = failureDelay << min(l.failures-1, 10)
	}
	l.mu.Unlock()
	return l.jitter(min(wait, limit))
}

func (l *SenderLease) get(ctx context.Context) error {
	l.count(func(s *LeaseStats) { s.Gets++ })
	entry, err := l.cfg.Store.Get(ctx, l.key)
	if IsNotFound(err) {
		entry, err = &trwire.Entry{Key: l.key}, nil
	}
	if err != nil {
		return errors.Wrap(err, "read sender table")
	}
	return l.adoptEntry(entry)
}

// put writes base with entry replaced. On a conflict it takes over the present
// table, which also shows whether an earlier write without an answer took
// effect, and returns the conflict.
func (l *SenderLease) put(ctx context.Context, base *SenderTable, entry SenderEntry, try *attempt) error {
	next := base.with(entry)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode sender table")
	}
	l.mu.Lock()
	l.stats.Puts++
	if try != nil {
		l.pending = append(l.pending, *try)
		l.pending = l.pending[max(0, len(l.pending)-maxPending):]
	}
	l.mu.Unlock()
	written, err := l.cfg.Store.Put(ctx, l.key, &trwire.PutRequest{Value: value, PrevVersion: base.Revision})
	if err == nil {
		next.Revision = written.Version
		l.publish(next, value)
		return nil
	}
	present, conflict := ConflictOf(err)
	if !conflict {
		return errors.Wrap(err, "write sender table")
	}
	l.count(func(s *LeaseStats) { s.Conflicts++ })
	if present == nil {
		return cmp.Or(l.get(ctx), err)
	}
	return cmp.Or(l.adoptEntry(present), err)
}

func (l *SenderLease) count(f func(*LeaseStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}
