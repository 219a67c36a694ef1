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

// Difference is one field that two documents have different values for.
type Difference struct {
	Path string // an exception is named by its scope, as in Exceptions[Class=rush]
	Old  string // JSON, empty if absent
	New  string // JSON, empty if absent
}

// String returns path: old -> new.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Path, orNone(d.Old), orNone(d.New))
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns what differs between a and b, ordered by path. It leaves out
// Revision, ChangeID and RecentChangeIDs, which differ between any two writes.
func Diff(a, b *Document) []Difference {
	var d differ
	d.walk("", tree(a), tree(b))
	d.order(scopes(a), scopes(b))
	return d.found
}

type differ struct {
	found []Difference
}

// tree returns the JSON of doc as maps, with exceptions by scope.
func tree(doc *Document) map[string]any {
	t := jsonTree(struct {
		*Document
		Revision, ChangeID, RecentChangeIDs, Exceptions *int `json:",omitempty"` // hide those of the document
	}{Document: doc}).(map[string]any)
	for i, scope := range scopes(doc) {
		t["Exceptions["+scope+"]"] = jsonTree(doc.Exceptions[i])
	}
	return t
}

func jsonTree(v any) any {
	data, err := json.Marshal(v)
	if err != nil { // only a malformed Set or NaN, neither of which a valid document has
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

func scopes(doc *Document) []string {
	list := make([]string, len(doc.Exceptions))
	for i, e := range doc.Exceptions {
		list[i] = e.Scope.String()
	}
	return list
}

// String returns the members that are set, as in Service=search,Zone=a.
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

func (d *differ) walk(path string, a, b any) {
	am, aIsMap := a.(map[string]any)
	bm, bIsMap := b.(map[string]any)
	if !aIsMap || !bIsMap {
		d.leaf(path, a, b)
		return
	}
	names := maps.Clone(am)
	maps.Copy(names, bm)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d.walk(strings.TrimPrefix(path+"."+name, "."), am[name], bm[name])
	}
}

func (d *differ) leaf(path string, a, b any) {
	if shown(a) != shown(b) && !reflect.DeepEqual(a, b) {
		d.found = append(d.found, Difference{path, shown(a), shown(b)})
	}
}

// shown returns JSON, and nothing for an absent value or an empty list.
func shown(v any) string {
	if list, ok := v.([]any); v == nil || ok && len(list) == 0 {
		return ""
	}
	data, _ := json.Marshal(v) // v came from JSON
	return string(data)
}

// order reports exceptions that both documents have in another order, which
// matters because later ones win.
func (d *differ) order(a, b []string) {
	common := func(list, other []string) string {
		kept := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return !slices.Contains(other, s) })
		return strings.Join(kept, "; ")
	}
	if inA, inB := common(a, b), common(b, a); inA != inB {
		d.found = append(d.found, Difference{"Exceptions (order)", inA, inB})
	}
}
