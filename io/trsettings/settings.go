// Package trsettings reads settings files of processes: JSON with comments.
//
// Every fault of a file is reported, with its line and column, so that one try
// shows all that has to be changed.
//
// # Usage
//
//	s := &Settings{LogLevel: "info"} // defaults
//	findings := trsettings.Load("instance.jsonc", s)
//	for _, f := range findings { fmt.Fprintln(os.Stderr, f) }
package trsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// Diagnostic is a finding with its place, both counted from 1.
type Diagnostic struct {
	Line, Column int
	Message      string
}

// FieldError is a fault of the value of a field. A field that is missing has its
// place at the start of the file.
type FieldError struct{ Field, Message string }

// Checker is a pointer to a struct of settings whose fields are named as in the
// file.
type Checker interface {
	// Check returns all faults of the values.
	Check() []FieldError
}

// Load reads a file into settings, which hold the defaults before. It returns
// every fault it finds as file:line:column: message.
func Load(file string, settings Checker) []string {
	data, err := os.ReadFile(file)
	if err != nil {
		return []string{err.Error()}
	}
	var findings []string
	for _, f := range Parse(data, settings) {
		findings = append(findings, fmt.Sprintf("%s:%d:%d: %s", file, f.Line, f.Column, f.Message))
	}
	return findings
}

// Parse reads and checks settings. Fields of a wrong type or name do not keep
// the others from being checked.
func Parse(data []byte, settings Checker) []Diagnostic {
	v, err := hujson.Parse(data)
	if err != nil {
		return []Diagnostic{{1, 1, err.Error()}} // the message has line and column
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return []Diagnostic{{1, 1, "settings are not an object"}}
	}
	places := make(map[string]int)
	var faults []Diagnostic
	report := func(offset int, format string, args ...any) {
		line, column := place(data, offset)
		faults = append(faults, Diagnostic{line, column, fmt.Sprintf(format, args...)})
	}
	fields := reflect.ValueOf(settings).Elem()
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		places[name] = m.Value.StartOffset
		field := fields.FieldByName(name)
		if !field.IsValid() {
			report(m.Name.StartOffset, "field %q is unknown", name)
			continue
		}
		value := m.Value.Clone()
		value.Standardize()
		if err := json.Unmarshal(value.Pack(), field.Addr().Interface()); err != nil {
			report(m.Value.StartOffset, "%s: %v", name, err)
		}
	}
	for _, f := range settings.Check() {
		report(places[f.Field], "%s", f.Message)
	}
	return faults
}

// place returns the line and column of an offset in data.
func place(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
