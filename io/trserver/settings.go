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
	"time"

	"github.com/pkg/errors"
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
// fault it finds.
func LoadSettings(file string) (*Settings, []string) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []string{err.Error()}
	}
	s, err := parseSettings(data)
	if err != nil {
		return nil, []string{errors.Wrap(err, file).Error()}
	}
	findings := s.check()
	for i := range findings {
		findings[i] = file + ": " + findings[i]
	}
	return s, findings
}

func parseSettings(data []byte) (*Settings, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, err
	}
	s := &Settings{LogLevel: "info", DrainMs: defaultDrain.Milliseconds(), ReadyOffMs: defaultReadyOff.Milliseconds()}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() []string {
	var findings []string
	report := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	if s.InstanceID == "" {
		report("InstanceID is missing")
	}
	if s.Zone == "" {
		report("Zone is missing")
	}
	for _, a := range []struct{ field, addr string }{{"CallerAddr", s.CallerAddr}, {"PeerAddr", s.PeerAddr}} {
		host, _, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil {
			report("%s %q is not an IP number with a port", a.field, a.addr)
		}
	}
	if len(s.Platform) == 0 {
		report("Platform names no address")
	}
	if s.DrainMs < 0 || s.ReadyOffMs < 0 {
		report("DrainMs and ReadyOffMs must not be negative")
	}
	return findings
}
