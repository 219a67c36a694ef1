// Package trentry runs a gateway instance. It accepts callers' requests over
// HTTP/1.1, keeps the directory of upstreams in step with the store and the other
// instances, and on shutdown drains running requests before it stops.
//
// The platform's store is accessed through the Store interface, which an adapter
// implements. Instances communicate with each other through package trpeer.
//
// # Usage
//
//	settings := trentry.DefaultSettings()
//	diagnostics := trsettings.Load("instance.jsonc", settings)
//	server := trentry.New(settings, store, headers, log)
//	server.FollowSettings(file, hangup) // if the settings may change while it runs
//	err := server.Run(ctx) // serves until ctx is done, then drains
package trentry

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/trgateway"
	"tanagerrock/io/trsettings"
)

// Settings is the configuration of one process. Seeds and LogLevel may change while it runs, see
// Server.FollowSettings; the other fields are read at startup.
type Settings struct {
	InstanceID  string   `json:"InstanceID"`  // unique within the fleet
	Zone        string   `json:"Zone"`        // availability zone
	CallerAddr  string   `json:"CallerAddr"`  // IP:port for callers
	ReadyAddr   string   `json:"ReadyAddr"`   // IP:port for readiness checks
	ReadyPath   string   `json:"ReadyPath"`   // HTTP path of readiness checks
	PeerAddr    string   `json:"PeerAddr"`    // IP:port for other instances
	MetricsAddr string   `json:"MetricsAddr"` // IP:port for metrics; empty for none
	StoreAddr   string   `json:"StoreAddr"`   // IP:port of the platform's store
	Seeds       []string `json:"Seeds"`       // peer addresses to join through
	LogLevel    string   `json:"LogLevel"`    // debug, info, warning or error
	Seed        uint64   `json:"Seed"`        // for random choices; 0 picks one at random

	// FirstStart is set when the whole fleet starts for the first time. An instance that
	// is not a seed then waits briefly for a directory from its peers before it reads
	// the store.
	FirstStart bool `json:"FirstStart"`

	GraceMs        float64 `json:"GraceMs"`        // from the stop signal to the forced kill
	ApplyMs        float64 `json:"ApplyMs"`        // within which a change of the configuration must be in force
	DrainMs        float64 `json:"DrainMs"`        // after its removal, within which an upstream must get no more requests
	RepeatShare    float64 `json:"RepeatShare"`    // repeats (retries and hedges) per request of a service, over the fleet
	RepeatSlack    float64 `json:"RepeatSlack"`    // repeats per window beyond RepeatShare, over the fleet
	RepeatWindowMs float64 `json:"RepeatWindowMs"` // window in which repeats are counted
	ColdOverage    float64 `json:"ColdOverage"`    // factor on a service's configured rate for cold upstreams
	ColdSlack      float64 `json:"ColdSlack"`      // requests per second to a cold upstream beyond that
	// A version that is rolled out and may be bad gets at most ExposeShare of the requests of
	// its service and ExposeSlack more, and none RollbackMs after it has given enough bad
	// replies. If ExposeShare or RollbackMs is 0, orders to roll out versions are ignored.
	ExposeShare   float64 `json:"ExposeShare"`
	ExposeSlack   float64 `json:"ExposeSlack"`
	RollbackMs    float64 `json:"RollbackMs"`
	QuotaWindowMs float64 `json:"QuotaWindowMs"` // window in which requests of a client account are counted
	QuotaOverage  float64 `json:"QuotaOverage"`  // share of its limit by which an account may exceed it in a window, over the fleet
	QuotaSlack    float64 `json:"QuotaSlack"`    // requests by which an account may exceed its limit beyond that
	MemoryMB      float64 `json:"MemoryMB"`      // memory limit of the process; 0 for none

	// The instance has CoreShare of a core that is CoreSpeed times as fast as a usual one.
	// If the product is 0, it neither relays queries nor serves relayed ones.
	CoreShare float64 `json:"CoreShare"`
	CoreSpeed float64 `json:"CoreSpeed"`
}

// Default values of Settings.
const (
	defaultReadyPath    = "/readyz"
	defaultGrace        = 6 * time.Second
	defaultApplyTime    = 3 * time.Second
	defaultDrainTime    = 3 * time.Second
	defaultRepeatWindow = 10 * time.Second
	// defaultRepeatShare and defaultRepeatSlack are the limits at both sites where
	// the gateway is deployed.
	defaultRepeatShare = 0.2
	defaultRepeatSlack = 50
	// defaultQuotaWindow is the window at the site whose client accounts have quotas. Without
	// settings, accounts may not exceed their limits: each request then waits for a message.
	defaultQuotaWindow = 5 * time.Second
	// maxSetting is the highest value of a number, in its unit: milliseconds, megabytes or
	// requests. Durations and sizes do not overflow below it.
	maxSetting = 1e9
)

// DefaultSettings returns the default settings. IDs and addresses are left empty.
func DefaultSettings() *Settings {
	return &Settings{
		ReadyPath:      defaultReadyPath,
		LogLevel:       "info",
		GraceMs:        inMilliseconds(defaultGrace),
		ApplyMs:        inMilliseconds(defaultApplyTime),
		DrainMs:        inMilliseconds(defaultDrainTime),
		RepeatShare:    defaultRepeatShare,
		RepeatSlack:    defaultRepeatSlack,
		RepeatWindowMs: inMilliseconds(defaultRepeatWindow),
		ColdOverage:    1,
		QuotaWindowMs:  inMilliseconds(defaultQuotaWindow),
	}
}

// Check implements trsettings.Checker.
func (s *Settings) Check() []trsettings.FieldError {
	var errs []trsettings.FieldError
	report := func(field, format string, args ...any) {
		errs = append(errs, trsettings.FieldError{Field: field, Message: fmt.Sprintf(format, args...)})
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
			report(a.field, "%s %q is not an IP address with a port", a.field, a.addr)
		}
	}
	for _, f := range []struct {
		field        string
		value, least float64
	}{
		{"GraceMs", s.GraceMs, 0}, {"ApplyMs", s.ApplyMs, 1}, {"DrainMs", s.DrainMs, 1}, {"RepeatShare", s.RepeatShare, 0},
		{"RepeatSlack", s.RepeatSlack, 0}, {"RepeatWindowMs", s.RepeatWindowMs, 0}, {"ColdOverage", s.ColdOverage, 0},
		{"ColdSlack", s.ColdSlack, 0}, {"ExposeShare", s.ExposeShare, 0}, {"ExposeSlack", s.ExposeSlack, 0},
		{"RollbackMs", s.RollbackMs, 0}, {"MemoryMB", s.MemoryMB, 0}, {"CoreShare", s.CoreShare, 0}, {"CoreSpeed", s.CoreSpeed, 0},
		{"QuotaWindowMs", s.QuotaWindowMs, 1}, {"QuotaOverage", s.QuotaOverage, 0}, {"QuotaSlack", s.QuotaSlack, 0},
	} {
		if f.value < f.least || f.value > maxSetting {
			report(f.field, "%s is %v, not between %v and %v", f.field, f.value, f.least, float64(maxSetting))
		}
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		report("LogLevel", "LogLevel: %v", err)
	}
	return errs
}

// bounds returns the fleet-wide limits of the gateway.
func (s *Settings) bounds() trgateway.Bounds {
	return trgateway.Bounds{
		RepeatShare:  s.RepeatShare,
		RepeatSlack:  s.RepeatSlack,
		RepeatWindow: fromMilliseconds(s.RepeatWindowMs),
		ColdOverage:  s.ColdOverage,
		ColdSlack:    s.ColdSlack,
	}
}

// RolloutsEnabled reports whether versions are rolled out on orders.
func (s *Settings) RolloutsEnabled() bool { return s.ExposeShare > 0 && s.RollbackMs > 0 }

// milliCores returns the processor time of the instance in thousandths of a core.
func (s *Settings) milliCores() int { return int(1000 * s.CoreShare * s.CoreSpeed) }

// maxRelayed returns how many queries of other instances may run here at once.
func (s *Settings) maxRelayed() int64 { return int64(s.milliCores() / milliCoresPerQuery) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// fromMilliseconds converts a setting to a duration.
func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// inMilliseconds converts a duration to a setting.
func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
