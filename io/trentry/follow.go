package trentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

// ErrHistoryGone is returned by Watch if the store no longer has the changes
// after a revision.
var ErrHistoryGone = errors.New("the store has no history of that revision")

// Change is the present content of one key of the store.
type Change struct {
	Key      string
	Revision uint64 // of the change
	trdirectory.Entry
}

// Store reads the operators' configuration and the upstreams' registrations.
type Store interface {
	// List returns all keys and the revision after which Watch continues. Unless
	// it is to be fresh, the store may answer with a state of seconds ago, which
	// costs it less.
	List(ctx context.Context, fresh bool) ([]Change, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none when wait has passed, and the revision to continue from.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}

const (
	// watchWait is how long a watch waits. A longer wait saves calls, which are
	// priced; a store that hangs is noticed by it and watchSlack.
	watchWait = 8 * time.Second
	// watchSlack is the time for the reply of a watch beyond its wait: the
	// store answers in 4 ms, or some 60 times that when it is slow.
	watchSlack = 1500 * time.Millisecond
	// listTimeout bounds a listing of some pages from a slow store.
	listTimeout = 4 * time.Second
	// The delay before a failed call is repeated doubles from firstRetry to
	// lastRetry, with jitter, so that a store that returns is not flooded.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// retryEvery is the number of instances of a zone for which lastRetry grows by
	// itself, up to mostSpread times: one that reaches the store again tells the
	// others, so the calls of a zone matter, not those of an instance.
	retryEvery = 4
	mostSpread = 4
	// dutyPeriod is the time between looks at whether this instance watches.
	dutyPeriod = 150 * time.Millisecond
	// gatherPause is the time in which changes gather before the next watch, so
	// that upstreams that register together cost one call.
	gatherPause = 200 * time.Millisecond
)

// follower keeps the directory up to date with the store.
type follower struct {
	store  Store
	clock  trclock.Clock
	keeper *trdirectory.Cache
	log    *logrus.Logger
	needed func() bool // whether this instance watches the store
	// zoneSize returns the number of instances of the zone, this one included.
	// nil is one.
	zoneSize func() int
	// onReach is called when the store begins or ceases to be watched with success.
	onReach func(reached bool)

	entries  trdirectory.Entries
	after    uint64 // watched up to here
	ahead    uint64 // newest revision of the last listing
	adopted  uint64 // revision of the directory made last
	fresh    bool   // the next listing must not be of seconds ago
	behind   bool   // the listing may be of seconds ago, and no watch has told
	failures int    // in a row
	reached  bool   // the last call got an answer
}

// run follows the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var err error
		if !f.needed() {
			f.reach(false)
			// An ended context is seen by the loop.
			_ = trclock.Sleep(ctx, f.clock, dutyPeriod)
			continue
		}
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.log.WithField("After", f.after).Info("the store dropped its history; reading all keys")
			f.fresh = f.behind // of seconds ago is too old for this history
			listed = false
		case err != nil:
			f.failed(ctx, err)
		default:
			listed = true
		}
	}
}

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := trclock.WithTimeout(ctx, f.clock, listTimeout)
	defer cancel()
	changes, revision, err := f.store.List(ctx, f.fresh)
	if err != nil {
		return err
	}
	f.behind, f.fresh = !f.fresh, false
	f.succeeded()
	f.entries.Reset()
	for _, c := range changes {
		f.entries.Set(c.Key, c.Revision, c.Entry)
	}
	// The pages of a listing are no snapshot: those read later hold changes after
	// revision, but not all of them. The directory counts as one of revision, so
	// that the changes between the pages are adopted when the watch tells them.
	f.after, f.ahead = revision, f.entries.Revision()
	if !f.behind {
		f.adopt(revision)
	}
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := trclock.WithTimeout(ctx, f.clock, watchWait+watchSlack)
	defer cancel()
	wait := watchWait
	if f.behind {
		wait = 0 // only what has changed since
	}
	changes, revision, err := f.store.Watch(ctx, f.after, wait)
	if err != nil {
		return err
	}
	f.succeeded()
	if revision > f.after {
		f.after = revision
	}
	changed := false
	for _, c := range changes {
		changed = f.entries.Set(c.Key, c.Revision, c.Entry) || changed
	}
	if changed || f.behind || f.adopted < f.ahead {
		f.adopt(f.after)
	}
	if f.behind {
		f.behind = false
		return nil
	}
	if len(changes) > 0 {
		// An ended context is seen by the loop.
		_ = trclock.Sleep(ctx, f.clock, gatherPause)
	}
	return nil
}

func (f *follower) adopt(revision uint64) {
	f.adopted = revision
	d := f.entries.Directory(revision)
	if !f.keeper.Adopt(d) {
		return
	}
	fields := logrus.Fields{"Revision": d.Revision, "Upstreams": len(d.Upstreams), "ZonesOut": d.ZonesOut, "Source": "store"}
	if d.Config != nil {
		fields["ConfigVersion"] = d.Config.Version
	}
	f.log.WithFields(fields).Info("directory adopted")
}

func (f *follower) succeeded() {
	if f.failures > 0 {
		f.keeper.StoreRecovered()
		f.log.WithField("Failures", f.failures).Info("the store answers again")
	}
	f.failures = 0
	f.reach(true)
}

func (f *follower) reach(reached bool) {
	if f.reached != reached {
		f.reached = reached
		f.onReach(reached)
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.reach(false)
	if f.failures == 0 {
		f.log.WithError(err).WithField("After", f.after).Warn("the store does not answer")
	}
	longest := lastRetry
	if f.zoneSize != nil {
		longest *= time.Duration(min(max(f.zoneSize()/retryEvery, 1), mostSpread))
	}
	delay := min(firstRetry<<min(f.failures, 8), longest)
	f.failures++
	delay = delay/2 + time.Duration(rand.Int64N(int64(delay)))
	// An ended context is seen by the loop.
	_ = trclock.Sleep(ctx, f.clock, delay)
}
