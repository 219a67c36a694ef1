package trconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"tanagerrock/core/trwire"
)

// Limits on the size of a document.
const (
	// MaxExceptions is the maximum number of exceptions. It bounds the compiled
	// tables, which have at most about its square in cells.
	MaxExceptions = 1024
	// MaxRecentChangeIDs is the maximum length of Document.RecentChangeIDs.
	MaxRecentChangeIDs = 32
)

// Finding is one fault in a configuration file or document.
type Finding struct {
	File    string // empty if the document was not read from a file
	Line    int    // 1-based, or 0 without a file
	Column  int    // in bytes, 1-based, or 0 without a file
	Message string // starts with the path of the field, if any
}

// String returns the finding as file:line:column: message, or the message alone if
// there is no position.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// InvalidError reports the faults of an invalid document.
type InvalidError struct {
	Findings []Finding
}

// Error returns all findings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return "invalid configuration: " + strings.Join(lines, "\n")
}

// Check returns every fault of a decoded document. The findings have no position.
func Check(doc *Document) []Finding {
	var findings []Finding
	for _, f := range checkDocument(doc) {
		findings = append(findings, Finding{Message: f.message()})
	}
	return findings
}

// fault is a fault of the field at a path such as Exceptions[2].Set.Class.Worth. It
// becomes a Finding once its position in the file, if any, is known.
type fault struct {
	path string
	text string
}

func (f fault) message() string {
	if f.path == "" {
		return f.text
	}
	return f.path + ": " + f.text
}

type checker struct {
	doc    *Document
	faults []fault
}

func checkDocument(doc *Document) []fault {
	c := &checker{doc: doc}
	c.checkNames("Tenants", doc.Tenants)
	c.checkNames("Classes", doc.Classes)
	c.checkNames("Services", doc.Services)
	c.checkNames("ZonesOut", doc.ZonesOut)
	c.checkNames("InstancesOut", doc.InstancesOut)
	c.checkNames("UpstreamsOut", doc.UpstreamsOut)
	c.checkNames("RecentChangeIDs", doc.RecentChangeIDs)
	if len(doc.RecentChangeIDs) > MaxRecentChangeIDs {
		c.report("RecentChangeIDs", "has %d entries, more than %d", len(doc.RecentChangeIDs), MaxRecentChangeIDs)
	}
	if len(doc.ChangeID) > trwire.MaxNameBytes {
		c.report("ChangeID", "is longer than %d bytes", trwire.MaxNameBytes)
	}
	c.checkRanges("Defaults.Fleet", reflect.ValueOf(doc.Defaults.Fleet))
	c.checkRanges("Defaults.Service", reflect.ValueOf(doc.Defaults.Service))
	c.checkRanges("Defaults.Class", reflect.ValueOf(doc.Defaults.Class))
	c.checkFleet("Defaults.Fleet", &doc.Defaults.Fleet)
	c.checkService("Defaults.Service", &doc.Defaults.Service)
	c.checkClass("Defaults.Class", &doc.Defaults.Class)
	c.checkExceptions()
	return c.faults
}

func (c *checker) report(path, format string, args ...any) {
	c.faults = append(c.faults, fault{path, fmt.Sprintf(format, args...)})
}

func (c *checker) checkNames(path string, names []string) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		c.checkName(entryPath, name)
		if j, dup := first[name]; dup && name != "" {
			c.report(entryPath, "%q repeats entry %d", name, j)
			continue
		}
		first[name] = i
	}
}

func (c *checker) checkName(path, name string) {
	switch {
	case name == "":
		c.report(path, "name is empty")
	case len(name) > trwire.MaxNameBytes:
		c.report(path, "name is longer than %d bytes", trwire.MaxNameBytes)
	case strings.TrimSpace(name) != name:
		c.report(path, "name %q starts or ends with white space", name)
	}
}

// checkRanges checks the fields of a policy against their range tags.
func (c *checker) checkRanges(path string, policy reflect.Value) {
	for i := range policy.NumField() {
		c.checkRange(path, policy.Type().Field(i), policy.Field(i))
	}
}

func (c *checker) checkRange(path string, field reflect.StructField, value reflect.Value) {
	tag, ok := field.Tag.Lookup("range")
	if !ok {
		return
	}
	low, high := parseRange(tag)
	var n float64
	if value.CanInt() {
		n = float64(value.Int())
	} else {
		n = value.Float()
	}
	if !(n >= low && n <= high) { // also catches NaN
		c.report(path+"."+field.Name, "%v is not between %v and %v", value.Interface(), formatNumber(low), formatNumber(high))
	}
}

func parseRange(tag string) (low, high float64) {
	l, h, _ := strings.Cut(tag, ",")
	low, errLow := strconv.ParseFloat(l, 64)
	high, errHigh := strconv.ParseFloat(h, 64)
	if errLow != nil || errHigh != nil {
		panic("trconfig: malformed range tag " + tag)
	}
	return low, high
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

func (c *checker) checkFleet(path string, p *FleetPolicy) {
	if p.SenderLapseMs < 2*p.SenderRenewMs {
		c.report(path+".SenderLapseMs", "%d is less than two renewal periods of %d", p.SenderLapseMs, p.SenderRenewMs)
	}
	if p.SenderQuarantineMs < p.SenderLapseMs {
		c.report(path+".SenderQuarantineMs", "%d is less than SenderLapseMs %d", p.SenderQuarantineMs, p.SenderLapseMs)
	}
}

// checkService checks that each sender index is allotted at least one connection
// per leaf, because a sender opens floor(Connections / SenderIndexes).
func (c *checker) checkService(path string, p *ServicePolicy) {
	if senders := c.doc.Defaults.Fleet.SenderIndexes; p.Connections < senders {
		c.report(path+".Connections", "%d is less than the %d sender indexes", p.Connections, senders)
	}
}

func (c *checker) checkClass(path string, p *ClassPolicy) {
	if p.PartialMs > p.TimeoutMs {
		c.report(path+".PartialMs", "%d is more than TimeoutMs %d", p.PartialMs, p.TimeoutMs)
	}
}

func (c *checker) checkExceptions() {
	doc := c.doc
	if len(doc.Exceptions) > MaxExceptions {
		c.report("Exceptions", "has %d entries, more than %d", len(doc.Exceptions), MaxExceptions)
		return
	}
	patches := make([]*patch, len(doc.Exceptions))
	first := make(map[Scope]int, len(doc.Exceptions))
	for i := range doc.Exceptions {
		path := fmt.Sprintf("Exceptions[%d]", i)
		patches[i] = c.checkException(path, &doc.Exceptions[i])
		scope := doc.Exceptions[i].Scope
		if j, dup := first[scope]; dup && scope != (Scope{}) {
			c.report(path+".Scope", "repeats the scope of exception %d", j)
			continue
		}
		first[scope] = i
	}
	if len(c.faults) > 0 {
		return // the checks of combined values below would repeat these faults
	}
	t := compileTables(doc, patches)
	for i, e := range doc.Exceptions {
		path := fmt.Sprintf("Exceptions[%d].Set", i)
		if patches[i].isClass {
			c.checkClass(path+".Class", t.classes.lookup(e.Scope.Tenant, e.Scope.Class))
		} else {
			c.checkService(path+".Service", t.services.lookup(e.Scope.Service, e.Scope.Zone))
		}
	}
}

func (c *checker) checkException(path string, e *Exception) *patch {
	if strings.TrimSpace(e.Reason) == "" {
		c.report(path+".Reason", "Reason is missing")
	}
	scope := path + ".Scope"
	if e.Scope == (Scope{}) {
		c.report(scope, "Scope is missing or empty")
	}
	c.checkListed(scope+".Service", e.Scope.Service, "Services", c.doc.Services)
	c.checkListed(scope+".Class", e.Scope.Class, "Classes", c.doc.Classes)
	c.checkListed(scope+".Tenant", e.Scope.Tenant, "Tenants", c.doc.Tenants)
	c.checkListed(scope+".Zone", e.Scope.Zone, "", nil)
	return c.decodeSet(path+".Set", e)
}

func (c *checker) checkListed(path, name, list string, names []string) {
	if name == "" {
		return
	}
	c.checkName(path, name)
	if len(names) > 0 && !slices.Contains(names, name) {
		c.report(path, "%q is not in %s", name, list)
	}
}

// patch is the decoded Set of an exception: the fields it overrides.
type patch struct {
	isClass bool // the fields belong to ClassPolicy, else to ServicePolicy
	fields  []patchField
}

type patchField struct {
	index int // of the field in its policy type
	value reflect.Value
}

// apply sets the fields in policy, which is a pointer to the policy type of the
// patch.
func (p *patch) apply(policy any) {
	v := reflect.ValueOf(policy).Elem()
	for _, f := range p.fields {
		v.Field(f.index).Set(f.value)
	}
}

// decodeSet decodes the Set of an exception and checks that it agrees with the
// scope.
func (c *checker) decodeSet(path string, e *Exception) *patch {
	var members map[string]json.RawMessage
	if len(e.Set) == 0 || json.Unmarshal(e.Set, &members) != nil || len(members) == 0 {
		c.report(path, "want an object with a Service or a Class member")
		return &patch{}
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if name != "Service" && name != "Class" {
			c.report(path+"."+name, "unknown field; Set has a Service or a Class member")
		}
	}
	service, hasService := members["Service"]
	class, hasClass := members["Class"]
	switch {
	case hasService && hasClass:
		c.report(path, "sets both Service and Class; write one exception for each")
	case hasService:
		if e.Scope.Class != "" || e.Scope.Tenant != "" {
			c.report(path+".Service", "does not match the scope: a scope with Class or Tenant selects no service policy")
		}
		return c.decodePatch(path+".Service", service, reflect.TypeFor[ServicePolicy]())
	case hasClass:
		if e.Scope.Service != "" || e.Scope.Zone != "" {
			c.report(path+".Class", "does not match the scope: a scope with Service or Zone selects no class policy")
		}
		p := c.decodePatch(path+".Class", class, reflect.TypeFor[ClassPolicy]())
		p.isClass = true
		return p
	}
	return &patch{}
}

func (c *checker) decodePatch(path string, raw json.RawMessage, policy reflect.Type) *patch {
	p := &patch{}
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil || len(members) == 0 {
		c.report(path, "want an object with at least one field")
		return p
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, ok := policy.FieldByName(name)
		if !ok {
			c.report(path+"."+name, "unknown field of %s", policy.Name())
			continue
		}
		value := reflect.New(field.Type).Elem()
		if text := decodeLiteral(value, members[name]); text != "" {
			c.report(path+"."+name, "%s", text)
			continue
		}
		c.checkRange(path, field, value)
		p.fields = append(p.fields, patchField{field.Index[0], value})
	}
	return p
}

// decodeLiteral stores a JSON literal in dst. It returns a description of the
// fault, or "" if there is none.
func decodeLiteral(dst reflect.Value, literal []byte) string {
	if string(literal) == "null" || json.Unmarshal(literal, dst.Addr().Interface()) != nil {
		const maxShown = 40 // keeps findings on one line
		shown := string(literal)
		if len(shown) > maxShown {
			shown = strings.ToValidUTF8(shown[:maxShown], "") + "..."
		}
		return fmt.Sprintf("want %s, not %s", describeKind(dst.Kind()), shown)
	}
	return ""
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of 0 or more"
	}
	return "a whole number"
}
