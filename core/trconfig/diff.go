package trconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Difference is a field whose values differ between two documents.
type Difference struct {
	Path string // an exception is identified by its scope, as in Exceptions[Class=rush]
	Old  string // JSON, empty if absent
	New  string // JSON, empty if absent
}

// String returns the difference as path: old -> new.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Path, orNone(d.Old), orNone(d.New))
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the differences between a and b, ordered by path. It ignores
// Revision, ChangeID and RecentChangeIDs, which differ between any two writes. If
// exceptions common to both documents are in a different order, the last difference
// says so.
func Diff(a, b *Document) []Difference {
	var d differ
	d.compareTrees("", documentTree(a), documentTree(b))
	d.compareOrder(scopeStrings(a), scopeStrings(b))
	return d.differences
}

type differ struct {
	differences []Difference
}

// documentTree returns doc as a tree of decoded JSON, with exceptions keyed by
// scope.
func documentTree(doc *Document) map[string]any {
	t := jsonTree(struct {
		*Document
		Revision, ChangeID, RecentChangeIDs, Exceptions *int `json:",omitempty"` // shadow the fields of the document
	}{Document: doc}).(map[string]any)
	for i, scope := range scopeStrings(doc) {
		t["Exceptions["+scope+"]"] = jsonTree(doc.Exceptions[i])
	}
	return t
}

func jsonTree(v any) any {
	data, err := json.Marshal(v)
	if err != nil { // only for a malformed Set or a NaN, which a valid document does not contain
		return map[string]any{"Invalid": err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var t any
	if err := dec.Decode(&t); err != nil {
		return map[string]any{"Invalid": err.Error()}
	}
	return t
}

func scopeStrings(doc *Document) []string {
	list := make([]string, len(doc.Exceptions))
	for i, e := range doc.Exceptions {
		list[i] = e.Scope.String()
	}
	return list
}

// String returns the fields that are set, as in Service=search,Zone=a.
func (s Scope) String() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("Service", s.Service)
	add("Zone", s.Zone)
	add("Class", s.Class)
	add("Tenant", s.Tenant)
	return strings.Join(parts, ",")
}

func (d *differ) compareTrees(path string, a, b any) {
	am, aIsMap := a.(map[string]any)
	bm, bIsMap := b.(map[string]any)
	if !aIsMap || !bIsMap {
		d.compareValues(path, a, b)
		return
	}
	names := maps.Clone(am)
	maps.Copy(names, bm)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d.compareTrees(strings.TrimPrefix(path+"."+name, "."), am[name], bm[name])
	}
}

func (d *differ) compareValues(path string, a, b any) {
	if formatValue(a) != formatValue(b) && !reflect.DeepEqual(a, b) {
		d.differences = append(d.differences, Difference{path, formatValue(a), formatValue(b)})
	}
}

// formatValue returns v as JSON, or "" for an absent value or an empty list.
func formatValue(v any) string {
	if list, ok := v.([]any); v == nil || ok && len(list) == 0 {
		return ""
	}
	data, _ := json.Marshal(v) // cannot fail, since v was decoded from JSON
	return string(data)
}

// compareOrder reports a different order of the exceptions that both documents
// have. The order matters because later exceptions take precedence.
func (d *differ) compareOrder(a, b []string) {
	common := func(list, other []string) string {
		kept := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return !slices.Contains(other, s) })
		return strings.Join(kept, "; ")
	}
	if inA, inB := common(a, b), common(b, a); inA != inB {
		d.differences = append(d.differences, Difference{"Exceptions (order)", inA, inB})
	}
}
