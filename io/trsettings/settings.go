// Package trsettings reads the settings files of processes, which are JSON with
// comments.
//
// It reports all errors of a file with their line and column, so that they can be
// fixed in one go.
//
// # Usage
//
//	s := &Settings{LogLevel: "info"} // defaults
//	diagnostics := trsettings.Load("instance.jsonc", s)
//	for _, d := range diagnostics { fmt.Fprintln(os.Stderr, d) }
//
// A process whose settings may change while it runs uses a File:
//
//	file := &trsettings.File{Path: "instance.jsonc"}
//	diagnostics := file.Load(s)
//	if file.Changed() { diagnostics = file.Load(next) } // from time to time
package trsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// Diagnostic is an error in a settings file. Line and Column count from 1.
type Diagnostic struct {
	Line, Column int
	Message      string
}

// FieldError is an invalid or missing value of a field. Errors of fields that are
// absent from the file are reported at its start.
type FieldError struct{ Field, Message string }

// Checker is implemented by pointers to settings structs. The names of the struct
// fields are those of the fields in the file.
type Checker interface {
	// Check returns the errors of all fields.
	Check() []FieldError
}

// Load reads a file into settings, which must hold the defaults. It returns all
// diagnostics in the form "file:line:column: message", or the error of reading the
// file.
func Load(file string, settings Checker) []string {
	return (&File{Path: file}).Load(settings)
}

// File is a settings file that may be written again while the process runs. Its methods must not
// be called concurrently.
type File struct {
	Path string

	contents []byte // as last read
	readErr  string // of the last attempt to read it
}

// Changed reads the file and reports whether it differs from what was last read. It compares
// contents, as a file may be written twice within the resolution of its modification time. A
// file that cannot be read has changed if the error is another one than before.
func (f *File) Changed() bool {
	data, err := os.ReadFile(f.Path)
	if err != nil {
		return err.Error() != f.readErr
	}
	return f.readErr != "" || !bytes.Equal(data, f.contents)
}

// Load is like the function of that name.
func (f *File) Load(settings Checker) []string {
	data, err := os.ReadFile(f.Path)
	if err != nil {
		f.readErr = err.Error()
		return []string{f.readErr}
	}
	f.contents, f.readErr = data, ""
	var diagnostics []string
	for _, d := range Parse(data, settings) {
		diagnostics = append(diagnostics, fmt.Sprintf("%s:%d:%d: %s", f.Path, d.Line, d.Column, d.Message))
	}
	return diagnostics
}

// Parse decodes data into settings and checks them. An unknown field or a value of the
// wrong type does not prevent the other fields from being checked.
func Parse(data []byte, settings Checker) []Diagnostic {
	v, err := hujson.Parse(data)
	if err != nil {
		return []Diagnostic{{1, 1, err.Error()}} // the message contains line and column
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return []Diagnostic{{1, 1, "settings must be a JSON object"}}
	}
	offsets := make(map[string]int)
	var diagnostics []Diagnostic
	report := func(offset int, format string, args ...any) {
		line, column := position(data, offset)
		diagnostics = append(diagnostics, Diagnostic{line, column, fmt.Sprintf(format, args...)})
	}
	fields := reflect.ValueOf(settings).Elem()
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		offsets[name] = m.Value.StartOffset
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
		report(offsets[f.Field], "%s", f.Message)
	}
	return diagnostics
}

// position returns the line and column of a byte offset in data.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
