package trentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trpanic"
)

const (
	// The long-poll time of a watch is the time within which a change must be in force
	// divided by watchWaitParts. The store may drop a pending watch without notice, which
	// shows only when the wait and replyTimeout are over. The remaining time is for
	// the retry, a listing and the distribution to other instances. A longer wait saves
	// calls, which are billed.
	watchWaitParts = 3
	// maxWatchWait limits the long-poll time, so that a dropped watch ends within seconds
	// however long a change may take.
	maxWatchWait = 8 * time.Second
	// replyTimeout is the time allowed for a page, and for the reply to a watch once the
	// wait is over. The store answers in 4 ms, or about 60 times that when it is slow.
	replyTimeout = time.Second
	// maxPages limits the number of pages of a listing. A page holds at least 50 keys.
	maxPages = 2000
	// The delay between retries of a failed call doubles from minRetryDelay up to
	// maxRetryDelay, with jitter, so that a recovering store is not flooded.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// The maximum delay is maxRetryDelay times the number of instances in the zone
	// divided by instancesPerBackoffStep, a factor from 1 to maxBackoffSteps. The first
	// instance that reaches the store again informs the others, so what matters is the
	// call rate of the zone, not of each instance.
	instancesPerBackoffStep = 4
	maxBackoffSteps         = 4
	// replyTransit is the time that a reply of the store takes, also of a slow one. A change
	// that precedes a call by more is in its reply.
	replyTransit = 250 * time.Millisecond
	// maxWatchGap is the longest time between a reply and the next watch of a watcher that
	// watches without interruption.
	maxWatchGap = 2 * changeBatchDelay
	// watchCheckPeriod is the interval at which an instance that does not watch checks
	// whether it should.
	watchCheckPeriod = 150 * time.Millisecond
	// changeBatchDelay is the pause before the next watch after a change, so that
	// upstreams that register at the same time cost a single call.
	changeBatchDelay = 200 * time.Millisecond
)

// storeWatcher keeps the directory up to date with the store: it lists all keys and then
// watches them for changes. It uses the store only while shouldWatch reports true.
type storeWatcher struct {
	store       Store
	clock       trclock.Clock
	directory   *trdirectory.Cache
	log         *logrus.Logger
	shouldWatch func() bool // whether this instance watches the store
	// lacksDirectory, if set, reports whether other instances have a directory of a newer
	// revision, possibly with the same contents, that they cannot send.
	lacksDirectory func() bool
	// applyTime is the time within which a change must be in force on all instances.
	// 0 means defaultApplyTime.
	applyTime time.Duration
	// zoneSize returns the number of instances in the zone, including this one.
	// nil means 1.
	zoneSize func() int
	// onWatching is called when this instance starts to watch the store successfully,
	// and when it stops watching or a call fails.
	onWatching func(watching bool)
	// onFailing, if set, is called after each call, with whether it failed, and when this
	// instance does not watch the store any more.
	onFailing func(failing bool)

	// meeting, if set, receives the contacts of instances.
	meeting *trmember.Meeting

	entries       trdirectory.Entries
	after         uint64    // revision up to which changes have been received
	newestListed  uint64    // newest revision of a key in the last listing
	builtRevision uint64    // revision of the last directory built, adopted or not
	needFresh     bool      // the next listing must not be a stale snapshot
	maybeStale    bool      // the listing may be stale and no watch has completed it yet
	failures      int       // consecutive failed calls
	watching      bool      // as last passed to onWatching
	repliedAt     time.Time // of the last watch or fresh listing
}

// run keeps the directory up to date until ctx is done.
func (w *storeWatcher) run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var err error
		began := w.clock.Now()
		if !w.shouldWatch() {
			w.setWatching(false)
			w.setFailing(false)
			// The loop condition handles a canceled context.
			_ = trclock.Sleep(ctx, w.clock, watchCheckPeriod)
			continue
		}
		panicked := trpanic.Do(func() {
			if listed {
				err = w.watch(ctx)
			} else {
				err = w.list(ctx)
			}
		})
		if panicked != nil {
			w.log.WithFields(trpanic.Fields(panicked)).Error("recovered from a panic; listing all keys")
			err, listed, w.needFresh = panicked, false, true
		}
		switch {
		case errors.Is(err, ErrNewEra):
			w.log.WithField("After", w.after).Warn("the store has begun a new era; listing all keys")
			// A stale listing may still show the earlier era.
			listed, w.needFresh = false, true
		case errors.Is(err, ErrCompacted):
			w.log.WithField("After", w.after).Info("the store compacted the watched revision; listing all keys")
			w.needFresh = w.maybeStale // another stale listing may again be older than the compaction
			listed = false
		case listed && errors.Is(err, ErrReplyTooLarge):
			w.log.WithError(err).WithField("After", w.after).Warn("the changes since the watched revision are too large; listing all keys")
			// After a stale listing the next reply would be as large.
			w.needFresh, listed = true, false
			// The loop condition handles a canceled context.
			_ = trclock.Sleep(ctx, w.clock, changeBatchDelay)
		case err != nil:
			w.needFresh = w.needFresh || !listed && errors.Is(err, ErrEarlierEra)
			w.handleFailure(ctx, err, w.clock.Now().Sub(began))
		default:
			listed = true
		}
	}
}

// list reads all keys. A listing that may be stale is adopted only after the next
// watch has completed it.
func (w *storeWatcher) list(ctx context.Context) error {
	began := w.clock.Now()
	pages, err := w.listPages(ctx)
	if err != nil {
		return err
	}
	// The pages of a listing are not a snapshot: later pages may include some, but not
	// all, of the changes after revision. The directory is therefore adopted as of the
	// lowest revision, so that changes made between the pages still apply when the watch
	// returns them.
	revision := pages[0].Revision
	for _, page := range pages {
		revision = min(revision, page.Revision)
	}
	if w.eraEnded(revision) {
		return errors.Wrap(ErrEarlierEra, "listing")
	}
	w.maybeStale, w.needFresh = !w.needFresh, false
	w.recordSuccess()
	w.entries.Reset(revision)
	w.meeting.Reset()
	for _, page := range pages {
		for _, c := range page.Changes {
			w.entries.Set(c.Key, c.Revision, c.Entry)
			w.meeting.Set(c.Key, c.Contact)
		}
	}
	w.after, w.newestListed = revision, w.entries.Revision()
	if !w.maybeStale {
		w.adopt(revision)
		w.directory.Confirm(began)
		w.repliedAt = w.clock.Now()
	}
	return nil
}

// listPages reads all pages of a listing. Each has its own timeout, because a listing of
// many pages from a slow store takes longer than a call that hangs may.
func (w *storeWatcher) listPages(ctx context.Context) ([]Page, error) {
	var pages []Page
	cursor := ""
	for range maxPages {
		page, err := w.listPage(ctx, cursor)
		if err != nil {
			return nil, err
		}
		if len(pages) > 0 && trdirectory.EraOf(page.Revision) != trdirectory.EraOf(pages[0].Revision) {
			return nil, ErrNewEra
		}
		pages = append(pages, page)
		if page.Next == "" {
			return pages, nil
		}
		cursor = page.Next
	}
	return nil, errors.Errorf("listing exceeds %d pages", maxPages)
}

func (w *storeWatcher) listPage(ctx context.Context, cursor string) (Page, error) {
	ctx, cancel := trclock.WithTimeout(ctx, w.clock, replyTimeout)
	defer cancel()
	return w.store.List(ctx, cursor, w.needFresh)
}

// watchWait returns the long-poll time of the next watch.
func (w *storeWatcher) watchWait() time.Duration {
	if w.maybeStale {
		return 0 // fetch only the changes since the listing
	}
	applyTime := w.applyTime
	if applyTime == 0 {
		applyTime = defaultApplyTime
	}
	return min(applyTime/watchWaitParts, maxWatchWait)
}

// watch waits for changes and adopts a new directory if there are any.
func (w *storeWatcher) watch(ctx context.Context) error {
	if w.eraEnded(w.after) {
		return ErrNewEra
	}
	wait := w.watchWait()
	ctx, cancel := trclock.WithTimeout(ctx, w.clock, wait+replyTimeout)
	defer cancel()
	began := w.clock.Now()
	changes, revision, err := w.store.Watch(ctx, w.after, wait)
	if err != nil {
		return err
	}
	if w.eraEnded(revision) {
		return ErrNewEra
	}
	w.recordSuccess()
	// The reply has all changes up to this time at least.
	current := began
	now := w.clock.Now()
	if pending := now.Add(-replyTransit); pending.After(began) && wait > 0 && began.Sub(w.repliedAt) <= maxWatchGap {
		// The call was pending, as the store would have returned changes of before at once.
		// After a longer gap a late reply would make old changes look new.
		current = pending
		w.directory.Confirm(current)
	}
	w.repliedAt = now
	if revision > w.after {
		if len(changes) == 0 && !w.maybeStale {
			w.log.WithFields(logrus.Fields{"After": w.after, "Revision": revision}).Warn("the store returned a newer revision without changes")
		}
		w.after = revision
	}
	changed := false
	for _, c := range changes {
		changed = w.entries.Set(c.Key, c.Revision, c.Entry) || changed
		w.meeting.Set(c.Key, c.Contact)
	}
	if changed || w.maybeStale || w.builtRevision < w.newestListed || w.lacking() {
		w.adopt(w.after)
	}
	w.directory.Confirm(current)
	if w.maybeStale {
		w.maybeStale = false
		return nil
	}
	if len(changes) > 0 {
		// The loop in run handles a canceled context.
		_ = trclock.Sleep(ctx, w.clock, changeBatchDelay)
	}
	return nil
}

// adopt brings the directory up to a revision, if it is older, by the changes since the
// previous call where these are known.
func (w *storeWatcher) adopt(revision uint64) {
	changes := w.entries.Changes(w.builtRevision, revision)
	w.builtRevision = revision
	if changes != nil && w.directory.AdoptChanges(changes) || w.directory.Adopt(w.entries.Directory(revision)) {
		d := w.directory.Directory()
		w.log.WithFields(directoryFields(&d, "store")).Info("directory adopted")
	}
}

// directoryFields returns the log fields that describe a directory from a source.
func directoryFields(d *trdirectory.Directory, source string) logrus.Fields {
	fields := logrus.Fields{"Revision": d.Revision, "Upstreams": len(d.Upstreams), "ZonesOut": d.ZonesOut, "Source": source}
	if d.Config != nil {
		fields["ConfigVersion"] = d.Config.Version
	}
	if era := trdirectory.EraOf(d.Revision); era > 0 {
		fields["Era"] = era
	}
	return fields
}

// recordSuccess notes that the store answered, and ends a series of failures.
func (w *storeWatcher) recordSuccess() {
	if w.failures > 0 {
		w.directory.StoreRecovered()
		w.log.WithField("Failures", w.failures).Info("the store answers again")
	}
	w.failures = 0
	w.setFailing(false)
	w.setWatching(true)
}

// setFailing calls onFailing if it is set.
func (w *storeWatcher) setFailing(failing bool) {
	if w.onFailing != nil {
		w.onFailing(failing)
	}
}

// lacking reports whether this instance lacks a directory that others cannot send.
func (w *storeWatcher) lacking() bool { return w.lacksDirectory != nil && w.lacksDirectory() }

// setWatching calls onWatching if watching has changed.
func (w *storeWatcher) setWatching(watching bool) {
	if w.watching != watching {
		w.watching = watching
		w.log.WithFields(logrus.Fields{"Watching": watching, "After": w.after, "LacksDirectory": w.lacking()}).Info("watch of the store started or ended")
		w.onWatching(watching)
	}
}

// handleFailure records a call that failed after it took the given time, and sleeps until
// the next retry.
func (w *storeWatcher) handleFailure(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	w.setWatching(false)
	w.setFailing(true)
	w.directory.StoreFailed()
	if w.failures == 0 {
		w.log.WithError(err).WithFields(logrus.Fields{"After": w.after, "TookMs": took.Milliseconds()}).Warn("the store does not answer")
	}
	maxDelay := maxRetryDelay
	if w.zoneSize != nil {
		maxDelay *= time.Duration(min(max(w.zoneSize()/instancesPerBackoffStep, 1), maxBackoffSteps))
	}
	delay := min(minRetryDelay<<min(w.failures, 8), maxDelay)
	w.failures++
	delay = delay/2 + time.Duration(rand.Int64N(int64(delay)))
	// The loop in run handles a canceled context.
	_ = trclock.Sleep(ctx, w.clock, delay)
}
