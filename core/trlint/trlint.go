// Package trlint checks a configuration of a gateway before operators put it in force.
//
// Check returns all errors of a configuration, which instances refuse, and warnings of entries
// without effect and of limits that contradict each other. Diff returns the differences in
// meaning between two configurations. Both are pure functions, for use by operators; they are
// not called while requests are served.
//
// # Usage
//
//	for _, f := range trlint.Check(cfg, trlint.Fleet{Instances: 83}) {
//		fmt.Println(f)
//	}
//	for _, d := range trlint.Diff(current, cfg) {
//		fmt.Println(d)
//	}
package trlint

import (
	"fmt"
	"slices"
	"strings"

	"tanagerrock/core/trdirectory"
)

// Severity is how serious a finding is.
type Severity string

// Severities.
const (
	Error   Severity = "Error"   // instances refuse the configuration
	Warning Severity = "Warning" // the configuration is valid, but probably not as intended
)

// Finding is an error or a warning.
type Finding struct {
	Path     string   `json:"Path"` // of the field, such as Routes[3].Prefix
	Severity Severity `json:"Severity"`
	Message  string   `json:"Message"`
}

// String returns the finding as severity: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", strings.ToLower(string(f.Severity)), f.Path, f.Message)
}

// Fleet describes the instances for which a configuration is checked. A zero field is not
// known; the checks that need it are left out.
type Fleet struct {
	Instances   int
	MemoryBytes int64 // of the smallest instance
}

// quotaWindowSeconds is the window in which the quota of a client account is guaranteed. An
// account whose quota is less than one request in it is refused all the time.
const quotaWindowSeconds = 5

// Check returns all findings of a configuration, errors first.
func Check(cfg *trdirectory.Config, fleet Fleet) []Finding {
	l := &linter{cfg: cfg}
	for path, err := range cfg.Faults {
		l.findings = append(l.findings, Finding{path, Error, err.Error()})
	}
	l.checkRoutes()
	l.checkServices(fleet)
	l.checkAccounts()
	if fleet.MemoryBytes > 0 && cfg.Limits.BodyBytes > fleet.MemoryBytes {
		l.warn("Limits.BodyBytes", "a body of %d bytes is more than the memory of %d bytes", cfg.Limits.BodyBytes, fleet.MemoryBytes)
	}
	return l.findings
}

type linter struct {
	cfg      *trdirectory.Config
	findings []Finding
}

func (l *linter) warn(path, format string, args ...any) {
	l.findings = append(l.findings, Finding{path, Warning, fmt.Sprintf(format, args...)})
}

func (l *linter) checkRoutes() {
	type match struct{ host, prefix string }
	earlier := make(map[match]int)
	for i := range l.cfg.Routes {
		r := &l.cfg.Routes[i]
		path := fmt.Sprintf("Routes[%d]", i)
		// Of routes with the same host and prefix, trdirectory.Table uses the first.
		m := match{strings.ToLower(r.Host), r.Prefix}
		if j, repeated := earlier[m]; repeated {
			l.warn(path+".Prefix", "route %q never matches: route %q (Routes[%d]) has the same host and prefix", r.Name, l.cfg.Routes[j].Name, j)
		} else {
			earlier[m] = i
		}
		if r.TimeoutMs > 0 && r.ObjectiveMs > r.TimeoutMs {
			l.warn(path+".ObjectiveMs", "route %q has an objective of %d ms, beyond its timeout of %d ms", r.Name, r.ObjectiveMs, r.TimeoutMs)
		}
		l.checkSplit(path, r)
	}
}

func (l *linter) checkSplit(path string, r *trdirectory.Route) {
	if len(r.Shards) > 0 && len(r.Split) > 0 {
		l.warn(path+".Split", "route %q has shards; its other services get no requests", r.Name)
		return
	}
	if len(r.Split) < 2 {
		return // a single service gets all requests, whatever its weight
	}
	for i, p := range r.Split {
		if p.Weight == 0 {
			l.warn(fmt.Sprintf("%s.Split[%d].Weight", path, i), "service %q has weight 0 in route %q", p.Service, r.Name)
		}
	}
}

func (l *linter) checkServices(fleet Fleet) {
	named := make(map[string]bool)
	for i := range l.cfg.Routes {
		for _, p := range l.cfg.Routes[i].Split {
			named[p.Service] = true
		}
		for _, shard := range l.cfg.Routes[i].Shards {
			named[shard] = true
		}
	}
	for i, s := range l.cfg.Services {
		path := fmt.Sprintf("Services[%d]", i)
		if !named[s.Name] {
			l.warn(path+".Name", "no route names service %q", s.Name)
		}
		// 0 connections means that none are stated.
		if s.Connections > 0 && s.Connections < fleet.Instances {
			l.warn(path+".Connections", "service %q accepts %d connections, fewer than the %d instances", s.Name, s.Connections, fleet.Instances)
		}
	}
}

func (l *linter) checkAccounts() {
	keyless := len(l.cfg.Routes) > 0 && !slices.ContainsFunc(l.cfg.Routes, func(r trdirectory.Route) bool { return !r.Public })
	owners := make(map[trdirectory.KeyDigest]int)
	for i := range l.cfg.Accounts {
		a := &l.cfg.Accounts[i]
		path := fmt.Sprintf("Accounts[%d]", i)
		if keyless {
			l.warn(path, "client account %q is never used: all routes are public", a.Name)
		}
		for k, key := range a.Keys {
			keyPath := fmt.Sprintf("%s.Keys[%d]", path, k)
			switch j, used := owners[key]; {
			case !used:
				owners[key] = i
			case j == i:
				l.warn(keyPath, "key %v is listed twice in client account %q", key, a.Name)
			default: // trdirectory.Table uses the first
				l.warn(keyPath, "key %v of client account %q belongs to client account %q (Accounts[%d]) already", key, a.Name, l.cfg.Accounts[j].Name, j)
			}
		}
		// A rate of 0 means no limit.
		if n := a.PerSecond*quotaWindowSeconds + a.Burst; a.PerSecond > 0 && n < 1 {
			l.warn(path+".PerSecond", "client account %q may send %.3g requests in %d s, fewer than one", a.Name, n, quotaWindowSeconds)
		}
	}
}

// CheckSuccessor returns the findings about cfg as the successor of the configuration in force.
func CheckSuccessor(current, cfg *trdirectory.Config) []Finding {
	if cfg.Version >= current.Version {
		return nil
	}
	// trdirectory.Cache never replaces a version by a lower one.
	return []Finding{{"Version", Warning, fmt.Sprintf("version %d is lower than version %d in force, which instances keep", cfg.Version, current.Version)}}
}
