// Package trserver implements the serve process: it reads the settings, builds the
// components of an instance, answers callers over HTTP/JSON and shuts down without
// aborting requests.
//
// # Usage
//
//	settings, diagnostics := trserver.LoadSettings("instance.jsonc")
//	if len(diagnostics) > 0 { ... }
//	server, err := trserver.New(settings, logger)
//	if err != nil { ... }
//	err = server.Run(ctx) // until ctx is done, then drains
//
// Callers use POST /v1/query, /v1/fetch and /v1/execute. Operators use GET
// /v1/status, /readyz, /livez and /debug/vars.
package trserver

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/io/trsettings"
)

// Settings holds the start-up settings of one process. Everything that operators
// change while the fleet runs is in the configuration instead.
type Settings struct {
	InstanceID string   `json:"InstanceID"` // unique in the fleet
	Zone       string   `json:"Zone"`       // availability zone
	CallerAddr string   `json:"CallerAddr"` // IP:port for callers and operators
	PeerAddr   string   `json:"PeerAddr"`   // IP:port for other instances
	Platform   []string `json:"Platform"`   // base URLs of the platform's service
	Seeds      []string `json:"Seeds"`      // peer addresses used to join the group
	LogLevel   string   `json:"LogLevel"`   // debug, info, warning or error
	Seed       uint64   `json:"Seed"`       // seed of the random generators; 0 selects a random seed
	DrainMs    int64    `json:"DrainMs"`    // longest wait for connections of callers at shutdown
	ReadyOffMs int64    `json:"ReadyOffMs"` // time between not-ready and the start of the drain
	MemoryMB   float64  `json:"MemoryMB"`   // memory limit of the process; 0 for none
}

// Defaults of DrainMs and ReadyOffMs.
const (
	defaultDrain    = 15 * time.Second
	defaultReadyOff = 2 * time.Second // load balancers probe readiness about once a second
)

// maxMemoryMB is the highest value of MemoryMB; the limit in bytes does not overflow.
const maxMemoryMB = 1e9

// LoadSettings reads a settings file in JSON with comments. It returns all errors it
// finds, each as file:line:column: message.
func LoadSettings(file string) (*Settings, []string) {
	s := defaultSettings()
	return s, trsettings.Load(file, s)
}

func defaultSettings() *Settings {
	return &Settings{LogLevel: "info", DrainMs: defaultDrain.Milliseconds(), ReadyOffMs: defaultReadyOff.Milliseconds()}
}

// Check implements trsettings.Checker.
func (s *Settings) Check() []trsettings.FieldError {
	var errs []trsettings.FieldError
	report := func(field, format string, args ...any) {
		errs = append(errs, trsettings.FieldError{Field: field, Message: fmt.Sprintf(format, args...)})
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
			report(a.field, "%s %q is not an IP address with a port", a.field, a.addr)
		}
	}
	if len(s.Platform) == 0 {
		report("Platform", "Platform lists no base URL")
	}
	if s.DrainMs < 0 {
		report("DrainMs", "DrainMs must not be negative")
	}
	if s.ReadyOffMs < 0 {
		report("ReadyOffMs", "ReadyOffMs must not be negative")
	}
	if !(s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB) {
		report("MemoryMB", "MemoryMB is %v, not between 0 and %v", s.MemoryMB, float64(maxMemoryMB))
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		report("LogLevel", "LogLevel: %v", err)
	}
	return errs
}
