package trserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
)

const (
	// maxListBytes bounds the size of an instance list after it was decompressed.
	// 1,300 instances and 6,700 leafs take 0.94 MB.
	maxListBytes = 8 * trwire.MaxValueBytes
	// wholeListBytes is the size of the document up to which a list is always sent
	// whole: some 1,000 lines.
	wholeListBytes = 16 << 10
	// changesShare is the part of the whole list that the changes may take. With
	// some 40 bytes a change and 109 KB for 8,000 lines, the sum of both is least
	// at about 1/32.
	changesShare = 32
	// maxBaseAge bounds the revisions between a base and its changes.
	maxBaseAge = 1<<16 - 1
)

// listChanges is the document "instances-changes": what differs in the list of
// Revision from that of Base, which is the document "instances".
type listChanges struct {
	Base     uint64            `json:"Base"`
	Revision uint64            `json:"Revision"`
	Set      []trwire.Instance `json:"Set,omitempty"` // new and changed lines
	Removed  []string          `json:"Removed,omitempty"`
}

// Check reports the first fault of the changes.
func (c *listChanges) Check() error {
	if c.Base >= c.Revision || c.Revision-c.Base > maxBaseAge {
		return errors.Errorf("changes of the instance list lead from revision %d to %d", c.Base, c.Revision)
	}
	return (&trwire.InstanceList{Instances: c.Set}).Check()
}

// documentRevision orders changes by their revision and then by their base, so
// that the same list on a newer base replaces one that nobody can apply any more.
func (c *listChanges) documentRevision() uint64 {
	return c.Revision*(maxBaseAge+1) + maxBaseAge - (c.Revision - c.Base)
}

// changesBetween returns what differs in list from base.
func changesBetween(base, list *trwire.InstanceList) *listChanges {
	c := &listChanges{Base: base.Revision, Revision: list.Revision}
	old := make(map[string]*trwire.Instance, len(base.Instances))
	for i := range base.Instances {
		old[base.Instances[i].ID] = &base.Instances[i]
	}
	for i := range list.Instances {
		in := &list.Instances[i]
		if o := old[in.ID]; o == nil || *o != *in {
			c.Set = append(c.Set, *in)
		}
		delete(old, in.ID)
	}
	for i := range base.Instances {
		if id := base.Instances[i].ID; old[id] != nil {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// on returns base with the changes applied. New lines come last.
func (c *listChanges) on(base *trwire.InstanceList) *trwire.InstanceList {
	set := make(map[string]*trwire.Instance, len(c.Set))
	for i := range c.Set {
		set[c.Set[i].ID] = &c.Set[i]
	}
	removed := make(map[string]bool, len(c.Removed))
	for _, id := range c.Removed {
		removed[id] = true
	}
	list := &trwire.InstanceList{Revision: c.Revision, Instances: make([]trwire.Instance, 0, len(base.Instances)+len(c.Set))}
	for i := range base.Instances {
		in := &base.Instances[i]
		if removed[in.ID] {
			continue
		}
		if changed := set[in.ID]; changed != nil {
			list.Instances = append(list.Instances, *changed)
			delete(set, in.ID)
			continue
		}
		list.Instances = append(list.Instances, *in)
	}
	for i := range c.Set {
		if set[c.Set[i].ID] != nil {
			list.Instances = append(list.Instances, c.Set[i])
		}
	}
	return list
}

// listDocument returns the document by which an instance that holds base in
// baseBytes learns list: the changes, if they are small, or the whole list. base
// is nil if none is held.
func listDocument(base *trwire.InstanceList, baseBytes int, list *trwire.InstanceList) (trmember.Document, error) {
	if base != nil && baseBytes > wholeListBytes && base.Revision < list.Revision && list.Revision-base.Revision <= maxBaseAge {
		c := changesBetween(base, list)
		// A list with two lines of one ID cannot be told by changes.
		if len(c.on(base).Instances) == len(list.Instances) {
			body, err := encodeDocument(c)
			if err != nil {
				return trmember.Document{}, err
			}
			if len(body) <= baseBytes/changesShare {
				return trmember.Document{Name: docChanges, Revision: c.documentRevision(), Body: body}, nil
			}
		}
	}
	body, err := encodeDocument(list)
	return trmember.Document{Name: docInstances, Revision: list.Revision, Body: body}, err
}

// encodeDocument returns v as JSON in gzip. The lines of a list resemble each
// other, so that gzip leaves about an eighth.
func encodeDocument(v any) ([]byte, error) {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode instance list")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress instance list")
	}
	return body.Bytes(), nil
}

func decodeDocument(body []byte, v trwire.Checker) error {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "decompress instance list")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress instance list")
	}
	if len(plain) > maxListBytes {
		return errors.Errorf("instance list has more than %d bytes", maxListBytes)
	}
	if err := json.Unmarshal(plain, v); err != nil {
		return errors.Wrap(err, "decode instance list")
	}
	return v.Check()
}

func decodeChanges(body []byte) (*listChanges, error) {
	c := new(listChanges)
	return c, decodeDocument(body, c)
}

// listDecoder keeps the last decoded list, since a document is decoded once for
// its check and once for its adoption.
type listDecoder struct {
	mu   sync.Mutex
	body []byte
	list *trwire.InstanceList
}

// decode returns the list of body, which must not be changed by the caller.
func (d *listDecoder) decode(body []byte) (*trwire.InstanceList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list != nil && bytes.Equal(d.body, body) {
		return d.list, nil
	}
	list := new(trwire.InstanceList)
	if err := decodeDocument(body, list); err != nil {
		return nil, err
	}
	d.body, d.list = body, list
	return list, nil
}

// listState makes the present list from the two documents, which may arrive in
// any order, and passes on each list that is newer than the last one.
type listState struct {
	apply func(*trwire.InstanceList)

	mu        sync.Mutex
	base      *trwire.InstanceList
	baseBytes int
	changes   *listChanges
	applied   uint64               // revision of the last list
	read      *trwire.InstanceList // newest list read from the platform by this instance
}

// setBase takes over a whole list. It returns the list to publish again, if this
// instance has read one that is newer than the base.
func (l *listState) setBase(list *trwire.InstanceList, bytes int) (again *trwire.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base != nil && list.Revision <= l.base.Revision {
		return nil
	}
	l.base, l.baseBytes = list, bytes
	l.update()
	if l.read != nil && l.read.Revision > list.Revision {
		return l.read
	}
	return nil
}

// setChanges takes over changes.
func (l *listState) setChanges(c *listChanges) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes != nil && c.documentRevision() <= l.changes.documentRevision() {
		return
	}
	l.changes = c
	l.update()
}

// update passes the present list on if it is new. The caller holds l.mu.
func (l *listState) update() {
	if l.base == nil {
		return
	}
	list := l.base
	if l.changes != nil && l.changes.Base == l.base.Revision {
		list = l.changes.on(l.base)
	}
	if list.Revision <= l.applied {
		return
	}
	l.applied = list.Revision
	l.apply(list)
}

// document returns the document that tells list, which this instance has read.
func (l *listState) document(list *trwire.InstanceList) (trmember.Document, error) {
	l.mu.Lock()
	if l.read == nil || list.Revision > l.read.Revision {
		l.read = list
	}
	base, size := l.base, l.baseBytes
	l.mu.Unlock()
	return listDocument(base, size, list)
}
