package trconfig

import (
	"fmt"
	"reflect"
)

// Warnings returns the fields of exceptions that equal the value they override, and the
// exceptions that later ones override completely, ordered by position. It returns none for a
// file for which Parse reports faults. It is meant for operators, not for instances.
func Warnings(file string, data []byte) []Finding {
	p, doc, _ := parse(file, data)
	if doc == nil {
		return nil
	}
	c := &checker{doc: doc}
	patches := make([]*patch, len(doc.Exceptions))
	for i := range doc.Exceptions {
		patches[i] = c.decodeSet("", &doc.Exceptions[i])
	}
	service, class := scopePatches(doc, patches)
	for _, f := range append(exceptionWarnings("Service", doc.Defaults.Service, service), exceptionWarnings("Class", doc.Defaults.Class, class)...) {
		p.report(p.offsetOf(f.path), f)
	}
	return p.findings()
}

// exceptionWarnings returns the warnings of the exceptions for one type of policy, which is
// the member of their Set with the given name.
func exceptionWarnings[P any](member string, defaults P, patches []scopedPatch) []fault {
	var warnings []fault
	t := newDefaultTable(defaults, patches)
	for n, p := range patches {
		path := fmt.Sprintf("Exceptions[%d]", p.exception)
		if by := overriddenBy(p, patches[n+1:]); by >= 0 {
			warnings = append(warnings, fault{path, fmt.Sprintf("has no effect: later exceptions, the last of them Exceptions[%d], override all its fields", by)})
		}
		for _, f := range p.patch.fields {
			if !changesField(&t, p, f) {
				name := reflect.TypeFor[P]().Field(f.index).Name
				warnings = append(warnings, fault{path + ".Set." + member + "." + name, fmt.Sprintf("equals the value that it overrides, %v", f.value)})
			}
		}
		t.apply(p)
	}
	return warnings
}

// changesField reports whether a field of a patch differs from the value in some policy that
// the patch applies to.
func changesField[P any](t *policyTable[P], p scopedPatch, f patchField) bool {
	for cell := range t.matching(p) {
		if !reflect.ValueOf(cell).Elem().Field(f.index).Equal(f.value) {
			return true
		}
	}
	return false
}

// overriddenBy returns the exception that overrides the last field of p that the others have not
// overridden, or -1 if p keeps an effect.
func overriddenBy(p scopedPatch, later []scopedPatch) int {
	left := make(map[int]bool, len(p.patch.fields))
	for _, f := range p.patch.fields {
		left[f.index] = true
	}
	for _, l := range later {
		if l.row != "" && l.row != p.row || l.column != "" && l.column != p.column {
			continue // l does not apply to all policies that p applies to
		}
		for _, f := range l.patch.fields {
			delete(left, f.index)
		}
		if len(left) == 0 {
			return l.exception
		}
	}
	return -1
}
