package trentry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
)

const (
	// directoryDocument is the name of the group document that holds the directory.
	// Instances of versions that always send it whole call theirs "directory", because
	// they could not read changes.
	directoryDocument = "directory-changes"
	// minAdoptInterval is the minimum time between directories adopted from peers. The
	// watchers of all zones send changes whenever upstreams change, and each adopted
	// directory of hundreds of upstreams is indexed anew.
	minAdoptInterval = 200 * time.Millisecond
)

// shareDirectory publishes each adopted directory to the other instances and adopts
// theirs, so that instances that cannot reach the store stay up to date.
func (s *Server) shareDirectory() {
	documents := s.group.Documents()
	documents.Provide(directoryDocument, s.wholeDirectory.encoded)
	s.directory.OnAdopt = func(d *trdirectory.Directory, changes *trdirectory.Changes) {
		if o, ok := s.storeWatcher.store.(EraObserver); ok {
			o.ObserveRevision(d.Revision)
		}
		s.configureQuotas(d)
		s.publishDirectory(d, changes)
	}
	documents.Subscribe(directoryDocument, s.peerDirectories.submit)
}

// publishDirectory sends an adopted directory to other instances, by the changes that led
// to it where they are known.
func (s *Server) publishDirectory(d *trdirectory.Directory, changes *trdirectory.Changes) {
	s.rollouts.update()
	documents := s.group.Documents()
	if held, ok := documents.Get(directoryDocument); ok && held.Revision >= d.Revision {
		return // it came from another instance
	}
	if changes != nil {
		body, err := changes.Encode()
		if err != nil {
			s.log.WithError(err).Error("failed to encode changes of the directory; it is sent whole")
		} else if documents.Set(trmember.Document{Name: directoryDocument, Revision: changes.To, Base: changes.From, Body: body}) {
			return
		}
	}
	if doc, ok := s.wholeDirectory.encoded(); ok {
		documents.Set(doc)
	} else {
		documents.Withhold(directoryDocument, doc.Revision)
	}
}

// lacksDirectory reports whether other instances have a newer directory that is too large to be
// sent, so that this instance must read it from the store.
func (s *Server) lacksDirectory() bool { return s.group.Documents().Missing(directoryDocument) }

// adoptPeerDirectories adopts directories and changes received from peers, in the order of
// their revisions.
func (s *Server) adoptPeerDirectories(docs []trmember.Document) {
	before := s.directory.Revision()
	onInvalid := func(err error) {
		s.log.WithError(err).Warn("ignoring an invalid upstream in a directory from another instance")
	}
	var changes []*trdirectory.Changes
	for _, doc := range docs {
		var err error
		switch {
		case doc.Revision <= before:
			// It was published by this instance.
		case doc.Base > 0:
			var c *trdirectory.Changes
			if c, err = trdirectory.DecodeChanges(doc.Body, onInvalid); err == nil {
				changes = append(changes, c)
			}
		default:
			var d *trdirectory.Directory
			if d, err = trdirectory.Decode(doc.Body, onInvalid); err == nil {
				s.directory.Adopt(d)
			}
		}
		if err != nil {
			s.log.WithError(err).Warn("failed to decode a directory from another instance")
		}
	}
	s.directory.AdoptChanges(changes...)
	d := s.directory.Directory()
	if d.Revision > before {
		s.log.WithFields(directoryFields(&d, "peer")).Info("directory adopted")
	}
	if received := docs[len(docs)-1].Revision; d.Revision < received {
		s.log.WithFields(logrus.Fields{"Revision": d.Revision, "Received": received}).Warn("changes of the directory are missing; other instances send them again")
		s.group.Documents().Retract(directoryDocument, d.Revision)
	}
}

// confirmDirectory records that the directory received from a watcher agreed with the store at
// a time, unless a part of it is still to be adopted.
func (s *Server) confirmDirectory(at time.Time) {
	if s.lacksDirectory() {
		return
	}
	if held, ok := s.group.Documents().Get(directoryDocument); !ok || held.Revision <= s.directory.Revision() {
		s.directory.Confirm(at)
	}
}

// wholeDirectory encodes the current directory when an instance needs all of it.
type wholeDirectory struct {
	directory *trdirectory.Cache
	log       *logrus.Logger

	mu   sync.Mutex
	last trmember.Document // result of the last call that encoded
}

// encoded returns the current directory as a document, and whether it can be sent to other
// instances. Its revision is 0 if there is none.
func (w *wholeDirectory) encoded() (trmember.Document, bool) {
	d := w.directory.Directory()
	if d.Revision == 0 {
		return trmember.Document{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last.Revision < d.Revision {
		body, err := d.Encode()
		if err != nil {
			w.log.WithError(err).Error("failed to encode the directory; other instances read it from the store")
			return trmember.Document{Name: directoryDocument, Revision: d.Revision}, false
		}
		w.last = trmember.Document{Name: directoryDocument, Revision: d.Revision, Body: body}
		if err := w.last.Check(); err != nil {
			w.log.WithError(err).Warn("the directory cannot be sent to other instances, which read it from the store")
		}
	}
	return w.last, w.last.Check() == nil
}

// documentThrottle applies submitted documents at most once per minAdoptInterval: those
// submitted in between together, in the order of their revisions, without those that
// precede a whole document. The zero value with a clock and apply is ready to use.
type documentThrottle struct {
	clock trclock.Clock
	apply func([]trmember.Document)

	mu          sync.Mutex
	lastApplied time.Time           // when documents were last applied
	pending     []trmember.Document // to be applied
	scheduled   bool                // a timer will apply them
}

// submit applies doc now if the interval has elapsed, and by a timer otherwise.
func (t *documentThrottle) submit(doc trmember.Document) {
	now := t.clock.Now()
	t.mu.Lock()
	t.pending = append(t.pending, doc)
	wait := t.lastApplied.Add(minAdoptInterval).Sub(now)
	if t.scheduled || wait > 0 {
		schedule := !t.scheduled
		t.scheduled = true
		t.mu.Unlock()
		if schedule {
			t.clock.After(wait, t.applyPending)
		}
		return
	}
	t.mu.Unlock()
	t.applyPending(now)
}

// applyPending applies the pending documents.
func (t *documentThrottle) applyPending(now time.Time) {
	t.mu.Lock()
	docs := t.pending
	t.pending, t.scheduled, t.lastApplied = nil, false, now
	t.mu.Unlock()
	slices.SortFunc(docs, func(a, b trmember.Document) int { return cmp.Compare(a.Revision, b.Revision) })
	for i := len(docs) - 1; i > 0; i-- {
		if docs[i].Base == 0 {
			docs = docs[i:]
			break
		}
	}
	if len(docs) > 0 {
		t.apply(docs)
	}
}
