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

// maxBrackets limits the number of opening brackets in a file, and thereby the
// depth of the recursive parser. A document with MaxExceptions exceptions needs
// fewer than 10,000.
const maxBrackets = 50_000

// Parse reads a configuration file in JSON with comments and trailing commas. It
// reports all faults of the file, ordered by position; a syntax error or a file
// over a limit is reported alone. Fields that are not mentioned get the values of
// BuiltInDefaults. The document is nil if there are findings.
func Parse(file string, data []byte) (*Document, []Finding) {
	_, doc, findings := parse(file, data)
	return doc, findings
}

// parse implements Parse. The parser knows the offsets of the fields.
func parse(file string, data []byte) (*parser, *Document, []Finding) {
	p := &parser{file: file, data: data, offsets: map[string]int{}, mistyped: map[string]bool{}}
	if len(data) > trwire.MaxValueBytes {
		return p, nil, []Finding{p.newFinding(0, fmt.Sprintf("file has %d bytes, more than %d", len(data), trwire.MaxValueBytes))}
	}
	if bytes.Count(data, []byte("{"))+bytes.Count(data, []byte("[")) > maxBrackets {
		return p, nil, []Finding{p.newFinding(0, fmt.Sprintf("file has more than %d brackets", maxBrackets))}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return p, nil, []Finding{p.syntaxFinding(err)}
	}
	doc := &Document{Defaults: BuiltInDefaults()}
	p.decodeValue("", root, reflect.ValueOf(doc).Elem())
	for _, f := range checkDocument(doc) {
		if !p.mistyped[f.path] {
			p.report(p.offsetOf(f.path), f)
		}
	}
	if len(p.faults) > 0 {
		return p, nil, p.findings()
	}
	return p, doc, nil
}

type parser struct {
	file        string
	data        []byte
	offsets     map[string]int  // path -> offset of the value, or of the name of an unknown field
	mistyped    map[string]bool // paths with a value of the wrong type
	faults      []faultAt
	lineOffsets []int // offsets of the line starts, set by newFinding
}

type faultAt struct {
	offset  int
	message string
}

func (p *parser) report(offset int, f fault) {
	p.faults = append(p.faults, faultAt{offset, f.message()})
}

// reportType reports a value of the wrong type. The faults of checkDocument at
// the same path are left out, since the document does not hold the value.
func (p *parser) reportType(offset int, path, text string) {
	p.mistyped[path] = true
	p.report(offset, fault{path, text})
}

func (p *parser) findings() []Finding {
	slices.SortStableFunc(p.faults, func(a, b faultAt) int { return a.offset - b.offset })
	findings := make([]Finding, len(p.faults))
	for i, f := range p.faults {
		findings[i] = p.newFinding(f.offset, f.message)
	}
	return findings
}

func (p *parser) newFinding(offset int, message string) Finding {
	if p.lineOffsets == nil {
		p.lineOffsets = lineStarts(p.data)
	}
	line, exact := slices.BinarySearch(p.lineOffsets, offset)
	if exact {
		line++
	}
	return Finding{File: p.file, Line: line, Column: offset - p.lineOffsets[line-1] + 1, Message: message}
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

// syntaxErrorPosition matches the position in an error of hujson, which has no
// typed syntax error.
var syntaxErrorPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (p *parser) syntaxFinding(err error) Finding {
	text := err.Error()
	m := syntaxErrorPosition.FindStringSubmatch(text)
	if m == nil {
		return p.newFinding(0, "syntax: "+text)
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Finding{File: p.file, Line: line, Column: column, Message: "syntax: " + text[len(m[0]):]}
}

// offsetOf returns the offset of the value at path or, if the file does not contain
// it, of the innermost enclosing value that the file contains.
func (p *parser) offsetOf(path string) int {
	for path != "" {
		if offset, ok := p.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p.offsets[""]
}

// decodeValue decodes v into dst. A value of the wrong type leaves dst unchanged, so
// that it does not cause further findings.
func (p *parser) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	p.offsets[path] = v.StartOffset
	isNull := v.Value.Kind() == 'n'
	switch {
	case path == "" || dst.Kind() == reflect.Struct:
		p.decodeObject(path, v, dst)
	case dst.Type() == setType:
		p.recordOffsets(path, v)
		standard := v.Clone()
		standard.Minimize()
		dst.SetBytes(standard.Pack())
	case dst.Kind() == reflect.Slice && isNull: // encoding/json encodes a nil slice as null
	case dst.Kind() == reflect.Slice:
		p.decodeList(path, v, dst)
	default:
		if text := decodeLiteral(dst, hujson.Value{Value: v.Value}.Pack()); text != "" {
			p.reportType(v.StartOffset, path, text)
		}
	}
}

var setType = reflect.TypeOf(Exception{}.Set)

func (p *parser) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.reportType(v.StartOffset, path, "want an object")
		return
	}
	p.visitMembers(path, obj, func(memberPath, name string, m hujson.ObjectMember) {
		field, ok := dst.Type().FieldByName(name)
		if !ok {
			p.report(m.Name.StartOffset, fault{memberPath, "unknown field"})
			return
		}
		p.decodeValue(memberPath, m.Value, dst.FieldByIndex(field.Index))
	})
}

// visitMembers calls visit for each member of an object and reports repeated names.
func (p *parser) visitMembers(path string, obj *hujson.Object, visit func(memberPath, name string, m hujson.ObjectMember)) {
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			p.report(m.Name.StartOffset, fault{memberPath, "field is repeated"})
			continue
		}
		seen[name] = true
		visit(memberPath, name, m)
	}
}

func (p *parser) decodeList(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		p.reportType(v.StartOffset, path, "want a list")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		p.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i))
	}
	dst.Set(list)
}

// recordOffsets records the offsets of the values inside a Set, which checkDocument
// decodes.
func (p *parser) recordOffsets(path string, v hujson.Value) {
	p.offsets[path] = v.StartOffset
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	p.visitMembers(path, obj, func(memberPath, _ string, m hujson.ObjectMember) { p.recordOffsets(memberPath, m.Value) })
}
