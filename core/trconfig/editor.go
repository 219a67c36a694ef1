package trconfig

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Key is the key of the document in the platform's store.
const Key = "config"

// maxWrites bounds the writes of one change. Writing again is safe: the
// compare-and-swap lets at most one copy take effect.
const maxWrites = 3

// Store is the part of the platform's store that an Editor uses. Its errors may
// have these methods: NotFound() bool for an absent key, NotApplied() bool for a
// write that certainly had no effect, and PresentEntry() *trwire.Entry for a
// conflict that tells the present entry.
type Store interface {
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	Put(ctx context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, error)
}

// Editor changes the stored document by compare-and-swap.
type Editor struct {
	Store Store
}

// ConflictError says that another change was written first and that the
// operator's change is not in force.
type ConflictError struct {
	Base        *Document // what the change was based on
	Present     *Document // what is there now
	Differences []Difference
}

// Error returns the two revisions and what differs between them.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("conflict: the change was based on revision %d, but revision %d (change %s) is there now",
		e.Base.Revision, e.Present.Revision, e.Present.ChangeID)}
	for _, d := range e.Differences {
		lines = append(lines, "  "+d.String())
	}
	return strings.Join(lines, "\n")
}

// UncertainError says that a write was not answered and that reading back did
// not settle whether it took effect.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error returns the change and the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("change %s may or may not take effect: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// stored is a document with its version in the store.
type stored struct {
	doc     *Document
	version uint64
}

// Change reads the document, lets edit change a copy and writes it as the next
// revision. It returns the written document. If the document already contains
// changeID, nothing is written and the present document is returned. An error of
// edit is returned as it is; other errors are *InvalidError, *ConflictError,
// *UncertainError, or say that the store could not be reached.
func (e *Editor) Change(ctx context.Context, changeID string, edit func(*Document) error) (*Document, error) {
	if changeID == "" {
		return nil, errors.New("ChangeID is missing")
	}
	base, err := e.read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if base.contains(changeID) {
		return base.doc, nil
	}
	next := Clone(base.doc)
	if err := edit(next); err != nil {
		return nil, err
	}
	next.Revision = base.doc.Revision + 1
	next.ChangeID = changeID
	next.RecentChangeIDs = recent(changeID, base.doc.RecentChangeIDs)
	if findings := Check(next); len(findings) > 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return e.write(ctx, base, next)
}

// Read returns the stored document, or one of revision 0 if there is none.
func (e *Editor) Read(ctx context.Context) (*Document, error) {
	s, err := e.read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return s.doc, nil
}

func recent(changeID string, older []string) []string {
	list := append([]string{changeID}, older...)
	return list[:min(len(list), MaxRecentChangeIDs)]
}

func (e *Editor) read(ctx context.Context) (*stored, error) {
	entry, err := e.Store.Get(ctx, Key)
	var notFound interface{ NotFound() bool }
	if errors.As(err, &notFound) && notFound.NotFound() {
		return &stored{doc: &Document{Defaults: BuiltInDefaults()}}, nil
	}
	if err != nil {
		return nil, err
	}
	return fromEntry(entry)
}

func fromEntry(entry *trwire.Entry) (*stored, error) {
	doc, err := Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	return &stored{doc, entry.Version}, nil
}

// contains reports whether the document includes the change.
func (s *stored) contains(changeID string) bool {
	return s.doc.ChangeID == changeID || slices.Contains(s.doc.RecentChangeIDs, changeID)
}

func (e *Editor) write(ctx context.Context, base *stored, next *Document) (*Document, error) {
	data, err := Encode(next)
	if err != nil {
		return nil, err
	}
	put := &trwire.PutRequest{Value: data, PrevVersion: base.version}
	sent := false // a write may have reached the store
	for range maxWrites {
		_, err = e.Store.Put(ctx, Key, put)
		if err == nil {
			return next, nil
		}
		if !sent && notApplied(err) {
			return nil, errors.Wrap(err, "write configuration")
		}
		sent = true
		present, readErr := e.present(ctx, err)
		if readErr != nil {
			return nil, &UncertainError{ChangeID: next.ChangeID, Err: errors.Wrap(readErr, "read back")}
		}
		if present.contains(next.ChangeID) {
			return next, nil
		}
		if present.version > base.version { // no copy of the write can take effect any more
			return nil, &ConflictError{Base: base.doc, Present: present.doc, Differences: Diff(base.doc, present.doc)}
		}
		// The write may still be under way, or the store answered with an older value.
	}
	return nil, &UncertainError{ChangeID: next.ChangeID, Err: err}
}

func notApplied(err error) bool {
	var e interface{ NotApplied() bool }
	return errors.As(err, &e) && e.NotApplied()
}

// present returns the stored document after a failed write.
func (e *Editor) present(ctx context.Context, writeErr error) (*stored, error) {
	var conflict interface{ PresentEntry() *trwire.Entry }
	if errors.As(writeErr, &conflict) && conflict.PresentEntry() != nil {
		return fromEntry(conflict.PresentEntry())
	}
	return e.read(ctx)
}
