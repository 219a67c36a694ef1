package trconfig

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"tanagerrock/core/trwire"
)

// maxBrackets bounds the opening brackets of a file, and with them the depth of
// the recursive parser. A document of MaxExceptions needs fewer than 10,000.
const maxBrackets = 50_000

// Parse reads a configuration file in JSON with comments and trailing commas.
// It reports every fault of the file at once, ordered by place; after a syntax
// error the rest of the file is not examined. Fields that are not mentioned have
// the values of BuiltIn. The document is nil if there are findings.
func Parse(file string, data []byte) (*Document, []Finding) {
	p := &parser{file: file, data: data, places: map[string]int{}, misread: map[string]bool{}}
	if len(data) > trwire.MaxValueBytes {
		return nil, []Finding{p.finding(0, fmt.Sprintf("file has %d bytes, more than %d", len(data), trwire.MaxValueBytes))}
	}
	if bytes.Count(data, []byte("{"))+bytes.Count(data, []byte("[")) > maxBrackets {
		return nil, []Finding{p.finding(0, fmt.Sprintf("file has more than %d brackets", maxBrackets))}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, []Finding{p.syntax(err)}
	}
	doc := &Document{Defaults: BuiltInDefaults()}
	p.value("", root, reflect.ValueOf(doc).Elem())
	for _, f := range checkDocument(doc) {
		if !p.misread[f.path] {
			p.report(p.place(f.path), f)
		}
	}
	if len(p.found) > 0 {
		return nil, p.sorted()
	}
	return doc, nil
}

type parser struct {
	file    string
	data    []byte
	places  map[string]int  // path -> offset of the value, or of the name of an unknown field
	misread map[string]bool // paths whose value has the wrong type
	found   []located
	lines   []int // offsets of the line starts, filled by finding
}

type located struct {
	offset  int
	message string
}

func (p *parser) report(offset int, f problem) {
	p.found = append(p.found, located{offset, f.message()})
}

// reportType reports a value of the wrong type. Its path gets no other finding,
// since the document does not hold the value.
func (p *parser) reportType(offset int, path, text string) {
	p.misread[path] = true
	p.report(offset, problem{path, text})
}

func (p *parser) sorted() []Finding {
	slices.SortStableFunc(p.found, func(a, b located) int { return a.offset - b.offset })
	findings := make([]Finding, len(p.found))
	for i, l := range p.found {
		findings[i] = p.finding(l.offset, l.message)
	}
	return findings
}

func (p *parser) finding(offset int, message string) Finding {
	if p.lines == nil {
		p.lines = lineStarts(p.data)
	}
	line, exact := slices.BinarySearch(p.lines, offset)
	if exact {
		line++
	}
	return Finding{File: p.file, Line: line, Column: offset - p.lines[line-1] + 1, Message: message}
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// syntaxPlace matches the place in the errors of hujson, which has no typed error.
var syntaxPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (p *parser) syntax(err error) Finding {
	text := err.Error()
	m := syntaxPlace.FindStringSubmatch(text)
	if m == nil {
		return p.finding(0, "syntax: "+text)
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Finding{File: p.file, Line: line, Column: column, Message: "syntax: " + text[len(m[0]):]}
}

// place returns the offset of the value at path. For a value that is not in the
// file it returns the offset of the nearest enclosing one.
func (p *parser) place(path string) int {
	for path != "" {
		if offset, ok := p.places[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p.places[""]
}

// value stores v in dst. On a fault dst keeps its value, so that one fault does
// not cause others.
func (p *parser) value(path string, v hujson.Value, dst reflect.Value) {
	p.places[path] = v.StartOffset
	isNull := v.Value.Kind() == 'n'
	switch {
	case path == "" || dst.Kind() == reflect.Struct:
		p.object(path, v, dst)
	case dst.Type() == setType:
		p.raw(path, v)
		standard := v.Clone()
		standard.Minimize()
		dst.SetBytes(standard.Pack())
	case dst.Kind() == reflect.Slice && isNull: // encoding/json writes an empty list so
	case dst.Kind() == reflect.Slice:
		p.list(path, v, dst)
	default:
		if text := setLiteral(dst, hujson.Value{Value: v.Value}.Pack()); text != "" {
			p.reportType(v.StartOffset, path, text)
		}
	}
}

var setType = reflect.TypeOf(Exception{}.Set)

func (p *parser) object(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.reportType(v.StartOffset, path, "want an object")
		return
	}
	p.members(path, obj, func(at, name string, m hujson.ObjectMember) {
		field, ok := dst.Type().FieldByName(name)
		if !ok {
			p.report(m.Name.StartOffset, problem{at, "unknown field"})
			return
		}
		p.value(at, m.Value, dst.FieldByIndex(field.Index))
	})
}

// members visits the members of an object and reports repeated names.
func (p *parser) members(path string, obj *hujson.Object, visit func(at, name string, m hujson.ObjectMember)) {
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			p.report(m.Name.StartOffset, problem{at, "field is repeated"})
			continue
		}
		seen[name] = true
		visit(at, name, m)
	}
}

func (p *parser) list(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		p.reportType(v.StartOffset, path, "want a list")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		p.value(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i))
	}
	dst.Set(list)
}

// raw records the places inside a Set, whose content checkDocument examines.
func (p *parser) raw(path string, v hujson.Value) {
	p.places[path] = v.StartOffset
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	p.members(path, obj, func(at, _ string, m hujson.ObjectMember) { p.raw(at, m.Value) })
}
