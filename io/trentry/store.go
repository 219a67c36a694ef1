package trentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trstore"
)

// ErrCompacted is returned by Store.Watch if the store no longer holds the changes
// after the given revision.
var ErrCompacted = errors.New("required revision has been compacted")

// ErrReplyTooLarge is returned by Store.List and Store.Watch if a reply exceeds the limit of
// the client.
var ErrReplyTooLarge = errors.New("reply exceeds the size limit")

// ErrNewEra is an ErrCompacted. It is returned by Store.Watch if the store has begun a new
// era, which means that it came back from an older copy: after a fresh listing, earlier
// revisions mean nothing.
var ErrNewEra = errors.WithMessage(ErrCompacted, "the store has begun a new era")

// ErrEarlierEra is returned if an answer of the store was dropped, because it belongs to an
// earlier era than the newest one that is known.
var ErrEarlierEra = errors.New("answer belongs to an earlier era of the store")

// Change is a store key as of a change to it, in a listing the last one. The Entry is
// empty if the key was deleted, is irrelevant or has a value that cannot be decoded.
type Change struct {
	Key      string
	Revision uint64 // of the change, composed with the era
	trdirectory.Entry
	Contact *trmember.Contact // of an instance; the Entry is empty then
}

// Store provides the operators' configuration and the registrations of upstreams. Its
// revisions are composed with the era of the store (see trdirectory.ComposeRevision); those of
// a Page and its changes have the same era.
type Store interface {
	// List returns the page of all keys that begins at a cursor, which is empty for the
	// first page. Unless fresh is set, the store may serve a snapshot that is some
	// seconds old, which is cheaper.
	List(ctx context.Context, cursor string, fresh bool) (Page, error)
	// Watch is a long poll: it returns the changes after a revision as soon as there
	// are any, or none once wait has elapsed, and the revision to continue from. It
	// returns ErrCompacted if those changes are no longer available, and ErrReplyTooLarge
	// if there are too many for one reply.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// MeetingStore is implemented by stores in which instances leave their addresses, so that those
// that know none of each other's members meet. Listings and watches include the contacts.
type MeetingStore interface {
	trstore.Store
	// ContactKey returns the key of the contact of an instance.
	ContactKey(id string) string
}

// Page is a page of a listing.
type Page struct {
	Changes  []Change
	Revision uint64 // of the store when the page was read
	Next     string // cursor of the next page; empty after the last one
}

// EraObserver is implemented by a Store that must know of a new era as soon as possible, also
// if another instance tells of it.
type EraObserver interface {
	// ObserveRevision records a revision that another instance has got from the store.
	ObserveRevision(revision uint64)
}

// eraEnded reports whether the directory, which other instances may have provided, belongs to
// a later era than a revision.
func (w *storeWatcher) eraEnded(revision uint64) bool {
	return trdirectory.EraOf(w.directory.Revision()) > trdirectory.EraOf(revision)
}
