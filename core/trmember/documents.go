package trmember

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Names of the disseminated documents.
const (
	DocumentConfig    = "config"
	DocumentInstances = "instances"
	DocumentSenders   = "senders"
)

// announceBytes is the body size above which a push first asks the receiver
// whether it wants the document. With a fan-out of 4, each member is offered a
// document about four times; an announcement takes some 50 bytes.
const announceBytes = 1 << 10

// A document that is provided whole on demand keeps its latest changes, at most
// maxChanges with maxChangeBytes in total, so that members that lag a few revisions behind
// need not be sent the whole document.
const (
	maxChanges     = 8
	maxChangeBytes = 64 << 10
)

// Revision identifies one revision of a document.
type Revision struct {
	Name     string `json:"Name"`
	Revision uint64 `json:"Revision"`
	// Base is the base of an announced document, see Document.Base. In a digest it is 0.
	Base uint64 `json:"Base,omitempty"`
}

// Check returns an error if the revision is invalid.
func (r *Revision) Check() error {
	if r.Name == "" || len(r.Name) > trwire.MaxNameBytes || r.Revision == 0 {
		return errors.Errorf("invalid document name %.32q or revision %d", r.Name, r.Revision)
	}
	return nil
}

// Document is a named value that is disseminated to the whole fleet. The highest
// revision wins. Body must not be modified once the document is shared.
type Document struct {
	Name     string `json:"Name"`
	Revision uint64 `json:"Revision"`
	Body     []byte `json:"Body"`
	// Base is 0 if Body is the whole document. Otherwise Body holds the changes since
	// revision Base, and applies to every revision from there on.
	Base uint64 `json:"Base,omitempty"`
}

// Check returns an error if the document is invalid.
func (d *Document) Check() error {
	if len(d.Body) > trwire.MaxValueBytes {
		return errors.Errorf("document %.32q is too large: %d bytes", d.Name, len(d.Body))
	}
	if d.Base >= d.Revision {
		return errors.Errorf("document %.32q has revision %d and a base of %d", d.Name, d.Revision, d.Base)
	}
	return d.id().Check()
}

func (d *Document) id() *Revision { return &Revision{d.Name, d.Revision, d.Base} }

// heldDocument is what a member holds of a document.
type heldDocument struct {
	revision uint64
	whole    Document // empty if provide is set
	// provide returns the whole document, of the newest revision that the provider has
	// applied, and whether it can be sent. It may be called at any time.
	provide func() (Document, bool)
	// changes are the latest changes, up to revision. The base of each is at most the
	// revision of the one before.
	changes []Document
	// withheld is the newest revision that another member is known to hold but cannot send.
	withheld uint64
}

// addChange appends a change and drops the oldest ones beyond the limits.
func (h *heldDocument) addChange(doc Document) {
	h.changes = append(h.changes, doc)
	size := 0
	for i := len(h.changes) - 1; i >= 0; i-- {
		size += len(h.changes[i].Body)
		if size > maxChangeBytes || len(h.changes)-i > maxChanges {
			h.changes = slices.Clone(h.changes[i+1:])
			return
		}
	}
}

// changesSince returns the changes that lead from a revision to the newest one, or false if
// they are not known.
func (h *heldDocument) changesSince(revision uint64) ([]Document, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].Base <= revision {
			return slices.Clone(h.changes[i:]), true
		}
	}
	return nil, false
}

// Documents holds the newest known revision of each document. It belongs to a
// Group, which disseminates the changes.
type Documents struct {
	check func(Document) error // nil accepts all
	push  func(Document)

	mu       sync.Mutex
	docs     map[string]*heldDocument
	subs     map[string]*subscribers[Document]
	rejected uint64
}

// Get returns the newest known revision of the document called name, without its body if
// the document is provided on demand.
func (d *Documents) Get(name string) (doc Document, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.docs[name]
	if held == nil || held.revision == 0 {
		return Document{}, false
	}
	doc = held.whole
	doc.Name, doc.Revision = name, held.revision
	return doc, true
}

// Provide makes whole the source of the document called name, for members that cannot be
// brought up to date with the changes held. Without it, changes of the document are
// rejected. If whole returns a revision and false, the document cannot be sent; members that
// lack it are told so.
func (d *Documents) Provide(name string, whole func() (Document, bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held(name).provide = whole
}

// Withhold records that this member has applied a revision of a document provided on demand
// that cannot be sent. Without it, other members would take theirs for the newest.
func (d *Documents) Withhold(name string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.held(name); revision > h.revision {
		h.revision, h.changes = revision, nil
	}
}

// Missing reports whether another member holds a newer revision of a document than this one
// and cannot send it, so that it must be read from its source.
func (d *Documents) Missing(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.docs[name]
	return h != nil && h.withheld > h.revision
}

// recordWithheld records the revisions that another member cannot send. Those of documents
// without a source are ignored.
func (d *Documents) recordWithheld(list []Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		if h := d.docs[r.Name]; h != nil && h.provide != nil {
			h.withheld = max(h.withheld, r.Revision)
		}
	}
}

// held returns the entry of a document, which it creates if necessary. The caller holds mu.
func (d *Documents) held(name string) *heldDocument {
	h := d.docs[name]
	if h == nil {
		h = new(heldDocument)
		d.docs[name] = h
	}
	return h
}

// Retract lowers the revision of a document that the provider failed to apply, so that
// other members send it again.
func (d *Documents) Retract(name string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.held(name); h.revision > revision {
		h.revision, h.changes = revision, nil
	}
}

// Set adopts doc if it is valid, its revision is higher than the one held, and it is whole
// or applies to that. It then calls the subscribers, pushes doc to a few members and
// returns true.
func (d *Documents) Set(doc Document) bool {
	if doc.Check() != nil || d.check != nil && d.check(doc) != nil {
		d.mu.Lock()
		d.rejected++
		d.mu.Unlock()
		return false
	}
	d.mu.Lock()
	if !d.wantsLocked(doc.id()) || d.docs[doc.Name] == nil && len(d.docs) >= maxDocuments {
		d.mu.Unlock()
		return false
	}
	held := d.held(doc.Name)
	held.revision = doc.Revision
	switch {
	case doc.Base > 0:
		held.addChange(doc)
	case held.provide != nil:
		held.changes = nil
	default:
		held.whole = doc
	}
	subs := d.subs[doc.Name]
	d.mu.Unlock()
	subs.notify(doc)
	d.push(doc)
	return true
}

// Subscribe calls f with every adopted revision of name until stop is called,
// and immediately with the one held, if any. Calls may overlap and arrive out of
// order; f must ignore a revision lower than one it has seen. Changes are passed as such.
func (d *Documents) Subscribe(name string, f func(Document)) (stop func()) {
	d.mu.Lock()
	subs := d.subs[name]
	if subs == nil {
		subs = new(subscribers[Document])
		d.subs[name] = subs
	}
	var whole Document
	if held := d.docs[name]; held != nil {
		whole = held.whole
	}
	d.mu.Unlock()
	stop = subs.add(f)
	if whole.Revision > 0 {
		f(whole)
	}
	return stop
}

// Rejected returns the number of documents that failed validation.
func (d *Documents) Rejected() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejected
}

func (d *Documents) digest() []Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Revision, 0, len(d.docs))
	for name, held := range d.docs {
		if held.revision > 0 {
			list = append(list, Revision{Name: name, Revision: held.revision})
		}
	}
	slices.SortFunc(list, func(a, b Revision) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// wants reports whether r is newer than the document held and applies to it.
func (d *Documents) wants(r *Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wantsLocked(r)
}

// wantsLocked is wants for a caller that holds mu.
func (d *Documents) wantsLocked(r *Revision) bool {
	held := d.docs[r.Name]
	if held == nil {
		return r.Base == 0
	}
	return r.Revision > held.revision && (r.Base == 0 || held.provide != nil && r.Base <= held.revision)
}

// newerThan returns what brings a member with the given digest up to date: whole documents
// and changes, with at most trwire.MaxValueBytes of bodies in total. withheld lists the
// documents that the member lacks and that cannot be sent.
func (d *Documents) newerThan(digest []Revision) (newer []Document, withheld []Revision) {
	known := make(map[string]uint64, len(digest))
	for _, r := range digest {
		known[r.Name] = r.Revision
	}
	var provide []func() (Document, bool)
	d.mu.Lock()
	for name, held := range d.docs {
		if held.revision <= known[name] {
			continue
		}
		changes, ok := held.changesSince(known[name])
		switch {
		case ok:
			newer = append(newer, changes...)
		case held.provide != nil:
			provide = append(provide, held.provide)
		default:
			newer = append(newer, held.whole)
		}
	}
	d.mu.Unlock()
	for _, whole := range provide {
		doc, ok := whole()
		switch {
		case doc.Revision <= known[doc.Name]:
		case ok:
			newer = append(newer, doc)
		default:
			withheld = append(withheld, *doc.id())
		}
	}
	// Smallest first, so that a large document does not delay the others. Changes must
	// arrive in order.
	sizes := make(map[string]int)
	for i := range newer {
		sizes[newer[i].Name] += len(newer[i].Body)
	}
	slices.SortFunc(newer, func(a, b Document) int {
		return cmp.Or(cmp.Compare(sizes[a.Name], sizes[b.Name]), strings.Compare(a.Name, b.Name), cmp.Compare(a.Revision, b.Revision))
	})
	size := 0
	for i := range newer {
		size += len(newer[i].Body)
		if size > trwire.MaxValueBytes || i == maxDocuments {
			return newer[:i], withheld
		}
	}
	return newer, withheld
}

// subscribers is a set of callbacks. The zero value is empty; notify may be called
// on a nil pointer.
type subscribers[T any] struct {
	mu   sync.Mutex
	next int
	list map[int]func(T)
}

func (s *subscribers[T]) add(f func(T)) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = make(map[int]func(T))
	}
	id := s.next
	s.next++
	s.list[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.list, id)
	}
}

// notify calls every subscriber in the order of subscription without holding the lock.
func (s *subscribers[T]) notify(v T) {
	if s == nil {
		return
	}
	s.mu.Lock()
	ids := make([]int, 0, len(s.list))
	for id := range s.list {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	calls := make([]func(T), len(ids))
	for i, id := range ids {
		calls[i] = s.list[id]
	}
	s.mu.Unlock()
	for _, f := range calls {
		f(v)
	}
}
