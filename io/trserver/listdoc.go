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
	// maxListBytes limits the size of a decompressed instance list. 1,300 instances and
	// 6,700 leafs take 0.94 MB.
	maxListBytes = 8 * trwire.MaxValueBytes
	// alwaysFullBytes is the document size up to which a list is always sent in full:
	// about 1,000 entries.
	alwaysFullBytes = 16 << 10
	// changesDivisor limits a document of changes to 1/changesDivisor of the size of
	// the full list. With about 40 bytes per change and 109 KB for 8,000 entries, the
	// total of bytes sent as changes and as full lists is lowest at about 1/32.
	changesDivisor = 32
	// maxRevisionGap limits Revision-Base of changes, which documentRevision encodes in
	// its low 16 bits.
	maxRevisionGap = 1<<16 - 1
)

// listChanges is the document "instances-changes": the differences between the list at
// Revision and the list at Base, which is the document "instances".
type listChanges struct {
	Base     uint64            `json:"Base"`
	Revision uint64            `json:"Revision"`
	Set      []trwire.Instance `json:"Set,omitempty"` // new and changed entries
	Removed  []string          `json:"Removed,omitempty"`
}

// Check reports the first error in the changes.
func (c *listChanges) Check() error {
	if c.Base >= c.Revision || c.Revision-c.Base > maxRevisionGap {
		return errors.Errorf("instance list changes have the invalid revision range %d to %d", c.Base, c.Revision)
	}
	return (&trwire.InstanceList{Instances: c.Set}).Check()
}

// documentRevision is higher for a newer list and, for the same list, for a newer base.
// Changes from a base that instances no longer hold are thus replaced by changes from
// the newer base.
func (c *listChanges) documentRevision() uint64 {
	return c.Revision*(maxRevisionGap+1) + maxRevisionGap - (c.Revision - c.Base)
}

// changesBetween returns the changes that turn base into list.
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

// applyTo returns base with the changes applied. New entries come last.
func (c *listChanges) applyTo(base *trwire.InstanceList) *trwire.InstanceList {
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

// listDocument returns the document that updates instances from base to list: the
// changes, if they are small enough, or else the full list. baseBytes is the size of
// the document of base. base is nil if no list is known yet.
func listDocument(base *trwire.InstanceList, baseBytes int, list *trwire.InstanceList) (trmember.Document, error) {
	if base != nil && baseBytes > alwaysFullBytes && base.Revision < list.Revision && list.Revision-base.Revision <= maxRevisionGap {
		c := changesBetween(base, list)
		// Changes cannot represent a list with duplicate IDs.
		if len(c.applyTo(base).Instances) == len(list.Instances) {
			body, err := encodeDocument(c)
			if err != nil {
				return trmember.Document{}, err
			}
			if len(body) <= baseBytes/changesDivisor {
				return trmember.Document{Name: docChanges, Revision: c.documentRevision(), Body: body}, nil
			}
		}
	}
	body, err := encodeDocument(list)
	return trmember.Document{Name: docInstances, Revision: list.Revision, Body: body}, err
}

// encodeDocument returns v as gzip-compressed JSON. The entries of a list are similar,
// so that gzip reduces it to about an eighth.
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
		return errors.Errorf("decompressed instance list has more than %d bytes", maxListBytes)
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

// listDecoder caches the last decoded list, because a document is decoded once to check
// it and again to adopt it.
type listDecoder struct {
	mu   sync.Mutex
	body []byte
	list *trwire.InstanceList
}

// decode returns the list encoded in body. The caller must not modify body afterwards.
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

// listState combines the full list and its changes, which may arrive in any order, into
// the current list, and calls apply with each list that is newer than the last one.
type listState struct {
	apply func(*trwire.InstanceList)

	mu              sync.Mutex
	base            *trwire.InstanceList
	baseBytes       int
	changes         *listChanges
	appliedRevision uint64               // revision of the last list passed to apply
	newestRead      *trwire.InstanceList // newest list read from the platform by this instance
}

// setBase adopts a full list if it is newer than the base. If this instance has read a
// newer list from the platform, setBase returns that list, which must be published again
// because its changes refer to the previous base.
func (l *listState) setBase(list *trwire.InstanceList, size int) (republish *trwire.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base != nil && list.Revision <= l.base.Revision {
		return nil
	}
	l.base, l.baseBytes = list, size
	l.update()
	if l.newestRead != nil && l.newestRead.Revision > list.Revision {
		return l.newestRead
	}
	return nil
}

// setChanges adopts changes if their documentRevision is higher than that of the changes
// held.
func (l *listState) setChanges(c *listChanges) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes != nil && c.documentRevision() <= l.changes.documentRevision() {
		return
	}
	l.changes = c
	l.update()
}

// update calls apply with the current list if it is newer than the last one. The caller
// holds l.mu.
func (l *listState) update() {
	if l.base == nil {
		return
	}
	list := l.base
	if l.changes != nil && l.changes.Base == l.base.Revision {
		list = l.changes.applyTo(l.base)
	}
	if list.Revision <= l.appliedRevision {
		return
	}
	l.appliedRevision = list.Revision
	l.apply(list)
}

// documentFor returns the document that publishes list, which this instance has read
// from the platform.
func (l *listState) documentFor(list *trwire.InstanceList) (trmember.Document, error) {
	l.mu.Lock()
	if l.newestRead == nil || list.Revision > l.newestRead.Revision {
		l.newestRead = list
	}
	base, size := l.base, l.baseBytes
	l.mu.Unlock()
	return listDocument(base, size, list)
}
