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

// Revision identifies one revision of a document.
type Revision struct {
	Name     string `json:"Name"`
	Revision uint64 `json:"Revision"`
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
}

// Check returns an error if the document is invalid.
func (d *Document) Check() error {
	if len(d.Body) > trwire.MaxValueBytes {
		return errors.Errorf("document %.32q is too large: %d bytes", d.Name, len(d.Body))
	}
	return (&Revision{d.Name, d.Revision}).Check()
}

// Documents holds the newest known revision of each document. It belongs to a
// Group, which disseminates the changes.
type Documents struct {
	check func(Document) error // nil accepts all
	push  func(Document)

	mu       sync.Mutex
	docs     map[string]Document
	subs     map[string]*subscribers[Document]
	rejected uint64
}

// Get returns the newest known revision of the document called name.
func (d *Documents) Get(name string) (doc Document, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, ok = d.docs[name]
	return doc, ok
}

// Set adopts doc if it is valid and its revision is higher than the one held. It
// then calls the subscribers, pushes doc to a few members and returns true.
func (d *Documents) Set(doc Document) bool {
	if doc.Check() != nil || d.check != nil && d.check(doc) != nil {
		d.mu.Lock()
		d.rejected++
		d.mu.Unlock()
		return false
	}
	d.mu.Lock()
	held, known := d.docs[doc.Name]
	if doc.Revision <= held.Revision || !known && len(d.docs) >= maxDocuments {
		d.mu.Unlock()
		return false
	}
	d.docs[doc.Name] = doc
	subs := d.subs[doc.Name]
	d.mu.Unlock()
	subs.notify(doc)
	d.push(doc)
	return true
}

// Subscribe calls f with every adopted revision of name until stop is called,
// and immediately with the one held, if any. Calls may overlap and arrive out of
// order; f must ignore a revision lower than one it has seen.
func (d *Documents) Subscribe(name string, f func(Document)) (stop func()) {
	d.mu.Lock()
	subs := d.subs[name]
	if subs == nil {
		subs = new(subscribers[Document])
		d.subs[name] = subs
	}
	doc, ok := d.docs[name]
	d.mu.Unlock()
	stop = subs.add(f)
	if ok {
		f(doc)
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
	for _, doc := range d.docs {
		list = append(list, Revision{doc.Name, doc.Revision})
	}
	slices.SortFunc(list, func(a, b Revision) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// wants reports whether r is newer than the document held.
func (d *Documents) wants(r Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.Revision > d.docs[r.Name].Revision
}

// newerThan returns the documents that are newer than their revisions in digest,
// with at most trwire.MaxValueBytes of bodies in total.
func (d *Documents) newerThan(digest []Revision) []Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := make(map[string]uint64, len(digest))
	for _, r := range digest {
		known[r.Name] = r.Revision
	}
	var newer []Document
	for _, doc := range d.docs {
		if doc.Revision > known[doc.Name] {
			newer = append(newer, doc)
		}
	}
	// Smallest first, so that a large document does not delay the others.
	slices.SortFunc(newer, func(a, b Document) int {
		return cmp.Or(cmp.Compare(len(a.Body), len(b.Body)), strings.Compare(a.Name, b.Name))
	})
	size := 0
	for i := range newer {
		size += len(newer[i].Body)
		if size > trwire.MaxValueBytes {
			return newer[:i]
		}
	}
	return newer
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
