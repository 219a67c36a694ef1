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

// maxWriteAttempts limits the writes of one change. Repeating a write is safe: by
// compare-and-swap, at most one of them takes effect.
const maxWriteAttempts = 3

// Store is the part of the platform's store that an Editor uses. Its errors may
// implement these methods: NotFound() bool for an absent key, NotApplied() bool for
// a write that certainly had no effect, and PresentEntry() *trwire.Entry for a
// conflict that includes the current entry.
type Store interface {
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	Put(ctx context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, error)
}

// Editor reads the stored document and changes it by compare-and-swap.
type Editor struct {
	Store Store
}

// ConflictError reports that another change was written first and that the
// requested change was not made.
type ConflictError struct {
	Base        *Document // document the change was based on
	Current     *Document // document now in the store
	Differences []Difference
}

// Error returns the two revisions and the differences between them.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("conflict: the change is based on revision %d, but the stored revision is %d (change %s)",
		e.Base.Revision, e.Current.Revision, e.Current.ChangeID)}
	for _, d := range e.Differences {
		lines = append(lines, "  "+d.String())
	}
	return strings.Join(lines, "\n")
}

// OutcomeUnknownError reports that a write got no response and that reading the
// document back did not show whether the write took effect.
type OutcomeUnknownError struct {
	ChangeID string
	Err      error
}

// Error returns the ChangeID and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// storedDocument is a document with the version of its entry in the store, 0 if
// there is none.
type storedDocument struct {
	doc     *Document
	version uint64
}

// Change reads the document, calls edit with a copy and writes the copy as the next
// revision. It returns the written document. If the stored document already
// contains changeID, Change writes nothing and returns the stored document. An
// error of edit is returned unchanged; other errors are *InvalidError,
// *ConflictError, *OutcomeUnknownError, or errors of the store or of the encoding.
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
	next.RecentChangeIDs = prependChangeID(changeID, base.doc.RecentChangeIDs)
	if findings := Check(next); len(findings) > 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return e.write(ctx, base, next)
}

// Read returns the stored document, or the built-in defaults at revision 0 if there
// is none.
func (e *Editor) Read(ctx context.Context) (*Document, error) {
	s, err := e.read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return s.doc, nil
}

func prependChangeID(changeID string, older []string) []string {
	list := append([]string{changeID}, older...)
	return list[:min(len(list), MaxRecentChangeIDs)]
}

func (e *Editor) read(ctx context.Context) (*storedDocument, error) {
	entry, err := e.Store.Get(ctx, Key)
	var notFound interface{ NotFound() bool }
	if errors.As(err, &notFound) && notFound.NotFound() {
		return &storedDocument{doc: &Document{Defaults: BuiltInDefaults()}}, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeEntry(entry)
}

func decodeEntry(entry *trwire.Entry) (*storedDocument, error) {
	doc, err := Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	return &storedDocument{doc, entry.Version}, nil
}

// contains reports whether the document includes the change, as far back as
// RecentChangeIDs reaches.
func (s *storedDocument) contains(changeID string) bool {
	return s.doc.ChangeID == changeID || slices.Contains(s.doc.RecentChangeIDs, changeID)
}

func (e *Editor) write(ctx context.Context, base *storedDocument, next *Document) (*Document, error) {
	data, err := Encode(next)
	if err != nil {
		return nil, err
	}
	put := &trwire.PutRequest{Value: data, PrevVersion: base.version}
	mayBeApplied := false // an earlier write may have taken effect
	for range maxWriteAttempts {
		_, err = e.Store.Put(ctx, Key, put)
		if err == nil {
			return next, nil
		}
		if !mayBeApplied && notApplied(err) {
			return nil, errors.Wrap(err, "write configuration")
		}
		mayBeApplied = true
		current, readErr := e.readBack(ctx, err)
		if readErr != nil {
			return nil, &OutcomeUnknownError{ChangeID: next.ChangeID, Err: errors.Wrap(readErr, "read back")}
		}
		if current.contains(next.ChangeID) {
			return next, nil
		}
		if current.version > base.version { // none of the writes can take effect any more
			return nil, &ConflictError{Base: base.doc, Current: current.doc, Differences: Diff(base.doc, current.doc)}
		}
		// The write may still be in flight, or the store returned an older value.
	}
	return nil, &OutcomeUnknownError{ChangeID: next.ChangeID, Err: err}
}

func notApplied(err error) bool {
	var e interface{ NotApplied() bool }
	return errors.As(err, &e) && e.NotApplied()
}

// readBack returns the stored document after a failed write. It takes the document
// from the error if that includes the current entry.
func (e *Editor) readBack(ctx context.Context, writeErr error) (*storedDocument, error) {
	var conflict interface{ PresentEntry() *trwire.Entry }
	if errors.As(writeErr, &conflict) && conflict.PresentEntry() != nil {
		return decodeEntry(conflict.PresentEntry())
	}
	return e.read(ctx)
}
