// Package trserver is the serve process: it reads the settings, connects the
// parts, answers callers over HTTP/JSON and shuts down without cutting requests.
//
// # Usage
//
//	settings, findings := trserver.LoadSettings("instance.jsonc")
//	if len(findings) > 0 { ... }
//	server, err := trserver.New(settings, logger)
//	if err != nil { ... }
//	err = server.Run(ctx) // until ctx ends, then drains
//
// Callers use POST /v1/query, /v1/fetch and /v1/execute. Operators use GET
// /v1/status, /readyz, /livez and /debug/vars.
package trserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"
)

// Settings are what one process is told at its start. Everything that operators
// change while the fleet runs is in the configuration instead.
type Settings struct {
	InstanceID string   `json:"InstanceID"` // unique in the fleet
	Zone       string   `json:"Zone"`       // availability zone
	CallerAddr string   `json:"CallerAddr"` // IP:port for callers and operators
	PeerAddr   string   `json:"PeerAddr"`   // IP:port for other instances
	Platform   []string `json:"Platform"`   // base URLs of the platform's service
	Seeds      []string `json:"Seeds"`      // peer addresses to join through
	LogLevel   string   `json:"LogLevel"`   // debug, info, warning or error
	Seed       uint64   `json:"Seed"`       // seed of random choices; 0 draws one
	DrainMs    int64    `json:"DrainMs"`    // longest wait for connections of callers at shutdown
	ReadyOffMs int64    `json:"ReadyOffMs"` // time between not-ready and the start of the drain
}

// Limits of a shutdown that the settings leave open.
const (
	defaultDrain    = 15 * time.Second
	defaultReadyOff = 2 * time.Second // balancers probe readiness about once a second
)

// LoadSettings reads a settings file in JSON with comments. It returns every
// fault it finds as file:line:column: message.
func LoadSettings(file string) (*Settings, []string) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []string{err.Error()}
	}
	s, faults := parseSettings(data)
	var findings []string
	for _, f := range faults {
		findings = append(findings, fmt.Sprintf("%s:%d:%d: %s", file, f.line, f.column, f.message))
	}
	return s, findings
}

// fault is a finding with its place, both counted from 1.
type fault struct {
	line, column int
	message      string
}

// place returns the line and column of an offset in data.
func place(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// parseSettings reads and checks settings. Fields of a wrong type or name do not
// keep the others from being checked.
func parseSettings(data []byte) (*Settings, []fault) {
	v, err := hujson.Parse(data)
	if err != nil {
		return nil, []fault{{1, 1, err.Error()}} // the message has line and column
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, []fault{{1, 1, "settings are not an object"}}
	}
	s := &Settings{LogLevel: "info", DrainMs: defaultDrain.Milliseconds(), ReadyOffMs: defaultReadyOff.Milliseconds()}
	places := make(map[string]int)
	var faults []fault
	report := func(offset int, format string, args ...any) {
		line, column := place(data, offset)
		faults = append(faults, fault{line, column, fmt.Sprintf(format, args...)})
	}
	fields := reflect.ValueOf(s).Elem()
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
	for _, f := range s.check() {
		report(places[f.field], "%s", f.message)
	}
	return s, faults
}

// fieldFault is a fault of the value of a field. A field that is missing has its
// place at the start of the file.
type fieldFault struct{ field, message string }

func (s *Settings) check() []fieldFault {
	var faults []fieldFault
	report := func(field, format string, args ...any) {
		faults = append(faults, fieldFault{field, fmt.Sprintf(format, args...)})
	}
	if s.InstanceID == "" {
		report("InstanceID", "InstanceID is missing")
	}
	if s.Zone == "" {
		report("Zone", "Zone is missing")
	}
	for _, a := range []struct{ field, addr string }{{"CallerAddr", s.CallerAddr}, {"PeerAddr", s.PeerAddr}} {
		host, _, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil {
			report(a.field, "%s %q is not an IP number with a port", a.field, a.addr)
		}
	}
	if len(s.Platform) == 0 {
		report("Platform", "Platform names no address")
	}
	if s.DrainMs < 0 {
		report("DrainMs", "DrainMs must not be negative")
	}
	if s.ReadyOffMs < 0 {
		report("ReadyOffMs", "ReadyOffMs must not be negative")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		report("LogLevel", "LogLevel: %v", err)
	}
	return faults
}
