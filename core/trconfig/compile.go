package trconfig

import (
	"iter"
	"slices"
)

// Policy is a document compiled for lookups on the request path. It is immutable
// and safe for concurrent use. Callers must not modify the policies it returns.
type Policy struct {
	doc          Document
	tables       policyTables
	tenants      nameSet
	classes      nameSet
	services     nameSet
	zonesOut     nameSet
	instancesOut nameSet
	upstreamsOut nameSet
}

// Compile checks doc and resolves its defaults and exceptions. Later exceptions
// take precedence over earlier ones. The error for an invalid document is an
// *InvalidError. The policy does not retain doc.
func Compile(doc *Document) (*Policy, error) {
	if findings := Check(doc); len(findings) > 0 {
		return nil, &InvalidError{Findings: findings}
	}
	c := &checker{doc: doc}
	patches := make([]*patch, len(doc.Exceptions))
	for i := range doc.Exceptions {
		patches[i] = c.decodeSet("", &doc.Exceptions[i])
	}
	return &Policy{
		doc:          *Clone(doc),
		tables:       compileTables(doc, patches),
		tenants:      newNameSet(doc.Tenants),
		classes:      newNameSet(doc.Classes),
		services:     newNameSet(doc.Services),
		zonesOut:     newNameSet(doc.ZonesOut),
		instancesOut: newNameSet(doc.InstancesOut),
		upstreamsOut: newNameSet(doc.UpstreamsOut),
	}, nil
}

// Service returns the policy for the leafs of a service in an availability zone.
func (p *Policy) Service(service, zone string) *ServicePolicy {
	return p.tables.services.lookup(service, zone)
}

// Class returns the policy for requests of a class from a tenant.
func (p *Policy) Class(tenant, class string) *ClassPolicy {
	return p.tables.classes.lookup(tenant, class)
}

// Fleet returns the settings that all instances share.
func (p *Policy) Fleet() *FleetPolicy { return &p.doc.Defaults.Fleet }

// Revision returns the revision of the document.
func (p *Policy) Revision() uint64 { return p.doc.Revision }

// ChangeID returns the identifier of the write that made the document.
func (p *Policy) ChangeID() string { return p.doc.ChangeID }

// Document returns a copy of the document that the policy was compiled from.
func (p *Policy) Document() *Document { return Clone(&p.doc) }

// ZoneOut reports whether the availability zone is taken out of service.
func (p *Policy) ZoneOut(zone string) bool { return p.zonesOut.has(zone) }

// InstanceOut reports whether the instance of the tier is taken out of service.
func (p *Policy) InstanceOut(id string) bool { return p.instancesOut.has(id) }

// UpstreamOut reports whether the leaf is taken out of service.
func (p *Policy) UpstreamOut(id string) bool { return p.upstreamsOut.has(id) }

// KnownTenant reports whether requests of the tenant are accepted.
func (p *Policy) KnownTenant(name string) bool { return len(p.tenants) == 0 || p.tenants.has(name) }

// KnownClass reports whether requests of the class are accepted.
func (p *Policy) KnownClass(name string) bool { return len(p.classes) == 0 || p.classes.has(name) }

// KnownService reports whether requests to the service are accepted.
func (p *Policy) KnownService(name string) bool { return len(p.services) == 0 || p.services.has(name) }

type nameSet map[string]struct{}

func newNameSet(names []string) nameSet {
	s := make(nameSet, len(names))
	for _, name := range names {
		s[name] = struct{}{}
	}
	return s
}

func (s nameSet) has(name string) bool {
	_, ok := s[name]
	return ok
}

type policyTables struct {
	services policyTable[ServicePolicy] // by service and zone
	classes  policyTable[ClassPolicy]   // by tenant and class
}

func compileTables(doc *Document, patches []*patch) policyTables {
	service, class := scopePatches(doc, patches)
	return policyTables{
		services: newPolicyTable(doc.Defaults.Service, service),
		classes:  newPolicyTable(doc.Defaults.Class, class),
	}
}

// scopePatches returns the patches of service policies and those of class policies.
func scopePatches(doc *Document, patches []*patch) (service, class []scopedPatch) {
	for i, e := range doc.Exceptions {
		if patches[i].isClass {
			class = append(class, scopedPatch{i, e.Scope.Tenant, e.Scope.Class, patches[i]})
		} else {
			service = append(service, scopedPatch{i, e.Scope.Service, e.Scope.Zone, patches[i]})
		}
	}
	return service, class
}

// scopedPatch is the patch of an exception with the row and the column of the table that it
// applies to. An empty name matches all rows or columns.
type scopedPatch struct {
	exception   int
	row, column string
	patch       *patch
}

// policyTable holds a policy for every combination of the names that exceptions
// mention. Row 0 and column 0 are for all other names.
type policyTable[P any] struct {
	rows    map[string]int
	columns map[string]int
	cells   []P // in row-major order
}

func newPolicyTable[P any](defaults P, patches []scopedPatch) policyTable[P] {
	t := newDefaultTable(defaults, patches)
	for _, p := range patches {
		t.apply(p)
	}
	return t
}

// newDefaultTable returns a table for the names of patches in which all policies are defaults.
func newDefaultTable[P any](defaults P, patches []scopedPatch) policyTable[P] {
	t := policyTable[P]{rows: map[string]int{}, columns: map[string]int{}}
	for _, p := range patches {
		addName(t.rows, p.row)
		addName(t.columns, p.column)
	}
	t.cells = slices.Repeat([]P{defaults}, (len(t.rows)+1)*(len(t.columns)+1))
	return t
}

func addName(index map[string]int, name string) {
	if _, ok := index[name]; !ok && name != "" {
		index[name] = len(index) + 1
	}
}

func (t *policyTable[P]) apply(p scopedPatch) {
	for cell := range t.matching(p) {
		p.patch.apply(cell)
	}
}

// matching yields the policies that a patch applies to.
func (t *policyTable[P]) matching(p scopedPatch) iter.Seq[*P] {
	return func(yield func(*P) bool) {
		width := len(t.columns) + 1
		firstRow, lastRow := matchingRange(t.rows, p.row)
		firstColumn, lastColumn := matchingRange(t.columns, p.column)
		for row := firstRow; row <= lastRow; row++ {
			for column := firstColumn; column <= lastColumn; column++ {
				if !yield(&t.cells[row*width+column]) {
					return
				}
			}
		}
	}
}

// matchingRange returns the first and the last index that name matches. An empty
// name matches all.
func matchingRange(index map[string]int, name string) (first, last int) {
	if name == "" {
		return 0, len(index)
	}
	return index[name], index[name]
}

// lookup returns the policy for a row and a column. A name that no exception
// mentions gets index 0, since it is not in the map.
func (t *policyTable[P]) lookup(row, column string) *P {
	return &t.cells[t.rows[row]*(len(t.columns)+1)+t.columns[column]]
}
