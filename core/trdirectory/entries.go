package trdirectory

import (
	"slices"
	"strings"
)

// Entry is what one key of the store says. At most one field is set. An entry
// without any says nothing: the key was deleted or cannot be read.
type Entry struct {
	Config   *Config
	Upstream *Upstream
	ZoneOut  string // availability zone that operators took out
}

func (e *Entry) empty() bool { return e.Config == nil && e.Upstream == nil && e.ZoneOut == "" }

// Entries collects the entries of the store. The zero value is empty.
type Entries struct {
	byKey    map[string]keyedEntry
	revision uint64
}

type keyedEntry struct {
	Entry
	revision uint64
}

// Reset forgets all entries, before all keys are read again.
func (e *Entries) Reset() { e.byKey, e.revision = nil, 0 }

// Set notes the content of a key as of a revision. It reports whether that is
// news; older content than is known is ignored.
func (e *Entries) Set(key string, revision uint64, entry Entry) bool {
	if e.byKey == nil {
		e.byKey = make(map[string]keyedEntry)
	}
	e.revision = max(e.revision, revision)
	held, known := e.byKey[key]
	switch {
	case known && held.revision >= revision:
		return false
	case !known && entry.empty():
		return false
	case entry.empty():
		// The revision is kept, so that an older write does not bring the key back.
		e.byKey[key] = keyedEntry{revision: revision}
		return !held.empty()
	}
	e.byKey[key] = keyedEntry{entry, revision}
	return true
}

// Revision returns the highest revision seen.
func (e *Entries) Revision() uint64 { return e.revision }

// Directory returns the directory that the entries make, as of a revision.
func (e *Entries) Directory(revision uint64) *Directory {
	d := &Directory{Revision: revision}
	for _, entry := range e.byKey {
		switch {
		case entry.Config != nil:
			if d.Config == nil || entry.Config.Version > d.Config.Version {
				d.Config = entry.Config
			}
		case entry.Upstream != nil:
			d.Upstreams = append(d.Upstreams, *entry.Upstream)
		case entry.ZoneOut != "":
			d.ZonesOut = append(d.ZonesOut, entry.ZoneOut)
		}
	}
	slices.SortFunc(d.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(d.ZonesOut)
	return d
}
