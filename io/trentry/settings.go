// Package trentry is the process of a gateway instance: it accepts requests of
// callers over HTTP/1.1, follows the store and the other instances, and ends
// without cutting requests.
//
// The store of the platform is reached through Store, which an adapter
// implements. What the instances tell each other goes over package trpeer.
//
// # Usage
//
//	settings := trentry.DefaultSettings()
//	findings := trsettings.Load("instance.jsonc", settings)
//	server, err := trentry.New(settings, store, headers, log)
//	err = server.Run(ctx) // until ctx ends, then drains
package trentry

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trgateway"
	"tanagerrock/io/trsettings"
)

// Settings are what one process is told at its start.
type Settings struct {
	InstanceID  string   `json:"InstanceID"`  // unique in the fleet
	Zone        string   `json:"Zone"`        // availability zone
	CallerAddr  string   `json:"CallerAddr"`  // IP:port for callers
	ReadyAddr   string   `json:"ReadyAddr"`   // IP:port for readiness checks
	ReadyPath   string   `json:"ReadyPath"`   // of readiness checks
	PeerAddr    string   `json:"PeerAddr"`    // IP:port for other instances
	MetricsAddr string   `json:"MetricsAddr"` // IP:port for metrics and status; empty for none
	StoreAddr   string   `json:"StoreAddr"`   // IP:port of the platform's store
	Seeds       []string `json:"Seeds"`       // peer addresses to join through
	LogLevel    string   `json:"LogLevel"`    // debug, info, warning or error
	Seed        uint64   `json:"Seed"`        // of random choices; 0 draws one

	// FirstStart tells that the whole fleet starts for the first time, so that
	// there is time to learn the directory from others.
	FirstStart bool `json:"FirstStart"`

	GraceMs        int64   `json:"GraceMs"`        // from the signal to stop to the kill
	RepeatShare    float64 `json:"RepeatShare"`    // repeats per request of a service, whole fleet
	RepeatSlack    float64 `json:"RepeatSlack"`    // repeats per window beyond the share, whole fleet
	RepeatWindowMs int64   `json:"RepeatWindowMs"` // in which repeats are counted
	ColdOverage    float64 `json:"ColdOverage"`    // factor on the stated rate of a cold upstream
	ColdSlack      float64 `json:"ColdSlack"`      // requests a second beyond that
	MemoryMB       int64   `json:"MemoryMB"`       // that the process may use; 0 if not limited
}

// Defaults of Settings.
const (
	defaultReadyPath = "/readyz"
	defaultGrace     = 6 * time.Second
	defaultWindow    = 10 * time.Second
	// defaultRepeatShare and defaultSlack are the bounds of both users' sites.
	defaultRepeatShare = 0.2
	defaultSlack       = 50
)

// DefaultSettings returns settings whose addresses and names are missing.
func DefaultSettings() *Settings {
	return &Settings{
		ReadyPath:      defaultReadyPath,
		LogLevel:       "info",
		GraceMs:        defaultGrace.Milliseconds(),
		RepeatShare:    defaultRepeatShare,
		RepeatSlack:    defaultSlack,
		RepeatWindowMs: defaultWindow.Milliseconds(),
		ColdOverage:    1,
	}
}

// Check implements trsettings.Checker.
func (s *Settings) Check() []trsettings.FieldError {
	var faults []trsettings.FieldError
	report := func(field, format string, args ...any) {
		faults = append(faults, trsettings.FieldError{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ field, value string }{{"InstanceID", s.InstanceID}, {"Zone", s.Zone}} {
		if f.value == "" {
			report(f.field, "%s is missing", f.field)
		}
	}
	addrs := []struct{ field, addr string }{
		{"CallerAddr", s.CallerAddr}, {"ReadyAddr", s.ReadyAddr}, {"PeerAddr", s.PeerAddr}, {"StoreAddr", s.StoreAddr},
	}
	if s.MetricsAddr != "" {
		addrs = append(addrs, struct{ field, addr string }{"MetricsAddr", s.MetricsAddr})
	}
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil {
			report(a.field, "%s %q is not an IP number with a port", a.field, a.addr)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"GraceMs", float64(s.GraceMs)}, {"RepeatShare", s.RepeatShare}, {"RepeatSlack", s.RepeatSlack},
		{"RepeatWindowMs", float64(s.RepeatWindowMs)}, {"ColdOverage", s.ColdOverage}, {"ColdSlack", s.ColdSlack},
		{"MemoryMB", float64(s.MemoryMB)},
	} {
		if f.value < 0 {
			report(f.field, "%s must not be negative", f.field)
		}
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		report("LogLevel", "LogLevel: %v", err)
	}
	return faults
}

func (s *Settings) bounds() trgateway.Bounds {
	return trgateway.Bounds{
		RepeatShare:  s.RepeatShare,
		RepeatSlack:  s.RepeatSlack,
		RepeatWindow: milliseconds(s.RepeatWindowMs),
		ColdOverage:  s.ColdOverage,
		ColdSlack:    s.ColdSlack,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
