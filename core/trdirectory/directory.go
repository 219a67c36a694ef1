// Package trdirectory holds the routes that operators configured and the upstreams
// that serve them, as known to a gateway instance.
//
// A Directory is one consistent state: a configuration, the registered upstreams
// and the availability zones that are out of service, as of one revision of the
// store. It is sent between instances in encoded form, mostly as the Changes since an
// earlier revision, and is validated when it is decoded. A Cache holds the current
// Directory and publishes it as an immutable Table, which requests read without a lock.
//
// # Usage
//
//	cache := trdirectory.Cache{Clock: clock}
//	cache.Adopt(dir)
//	cache.AdoptChanges(changes)
//	table := cache.Table()
//	route := table.Route(host, path)
//	for _, up := range table.Upstreams(route.Shards[0]) { ... }
package trdirectory

import (
	"fmt"
	"iter"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"Name"`
	Host       string `json:"Host"`
	Prefix     string `json:"Prefix"`     // begins and ends with a slash
	Idempotent bool   `json:"Idempotent"` // a request may run more than once
	// TimeoutMs is the longest time a caller is kept waiting.
	TimeoutMs int64 `json:"TimeoutMs"`
	// ObjectiveMs is the latency objective. Later responses are worth less.
	ObjectiveMs int64 `json:"ObjectiveMs"`
	Rank        int   `json:"Rank"` // 0 is the highest priority
	// Public is set if requests need no client key, although the configuration has client
	// accounts.
	Public   bool `json:"Public,omitempty"`
	Attempts int  `json:"Attempts"` // upstreams of one service that may receive the same request

	// Split holds the services of a route that sends a request to one upstream.
	Split []WeightedService `json:"Split,omitempty"`
	// Shards holds the services of a route that sends a request to one upstream
	// of each.
	Shards     []string `json:"Shards,omitempty"`
	Top        int      `json:"Top,omitempty"`        // records in a merged response
	LeastShare float64  `json:"LeastShare,omitempty"` // minimum share of the shards in a response
}

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Timeout returns the longest time a caller is kept waiting, 0 if unlimited.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// Objective returns the latency objective, 0 if there is none.
func (r *Route) Objective() time.Duration { return milliseconds(r.ObjectiveMs) }

// MinShards returns the number of shards that a response must contain.
func (r *Route) MinShards() int {
	n := len(r.Shards)
	for least := 1; least < n; least++ {
		if float64(least) >= r.LeastShare*float64(n) {
			return least
		}
	}
	return n
}

// Check returns an error for the first invalid field of the route.
func (r *Route) Check() error { return first(r.faults) }

func (r *Route) faults(yield func(path string, err error) bool) {
	switch {
	case r.Host == "" && !yield("Host", errors.Errorf("route %q has no host", r.Name)):
		return
	case !(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")) &&
		!yield("Prefix", errors.Errorf("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)):
		return
	case len(r.Split) == 0 && len(r.Shards) == 0 && !yield("Split", errors.Errorf("route %q names no service", r.Name)):
		return
	case !(r.LeastShare >= 0 && r.LeastShare <= 1) &&
		!yield("LeastShare", errors.Errorf("route %q has a least share of %v, not between 0 and 1", r.Name, r.LeastShare)):
		return
	}
	for _, f := range []struct {
		path, name string
		value      int64
	}{
		{"TimeoutMs", "timeout", r.TimeoutMs}, {"ObjectiveMs", "objective", r.ObjectiveMs},
		{"Attempts", "number of attempts", int64(r.Attempts)}, {"Top", "top", int64(r.Top)},
	} {
		if (f.value < 0 || f.value > maxConfigured) &&
			!yield(f.path, errors.Errorf("route %q has a %s of %d, not between 0 and %d", r.Name, f.name, f.value, int64(maxConfigured))) {
			return
		}
	}
	for i, p := range r.Split {
		if !(p.Weight >= 0 && p.Weight <= maxConfigured) &&
			!yield(fmt.Sprintf("Split[%d].Weight", i), errors.Errorf("route %q assigns an invalid weight to service %q: %v", r.Name, p.Service, p.Weight)) {
			return
		}
	}
}

// maxConfigured is the highest value of a number in a configuration, in its unit. Durations and
// sums of values within it do not overflow.
const maxConfigured = 1e12

// Service describes the upstreams of a service.
type Service struct {
	Name string `json:"Name"`
	// Connections is how many connections an upstream accepts from all callers
	// together.
	Connections int `json:"Connections"`
	// ColdPerSecond is the rate of requests that a cold upstream can handle, from
	// all callers together; 0 if not stated.
	ColdPerSecond float64 `json:"ColdPerSecond"`
}

// Check returns an error for the first invalid field of the service.
func (s *Service) Check() error { return first(s.faults) }

func (s *Service) faults(yield func(path string, err error) bool) {
	switch {
	case (s.Connections < 0 || s.Connections > maxConfigured) &&
		!yield("Connections", errors.Errorf("service %q accepts %d connections, not 0 to %d", s.Name, s.Connections, int64(maxConfigured))):
	case !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxConfigured) &&
		!yield("ColdPerSecond", errors.Errorf("service %q has a rate of %v for cold upstreams", s.Name, s.ColdPerSecond)):
	}
}

// Limits limit the requests and connections of callers.
type Limits struct {
	HeaderBytes   int   `json:"HeaderBytes"`
	BodyBytes     int64 `json:"BodyBytes"`
	IdleTimeoutMs int64 `json:"IdleTimeoutMs"` // of a caller's connection between requests
}

// Check returns an error for the first limit that is out of range.
func (l *Limits) Check() error { return first(l.faults) }

func (l *Limits) faults(yield func(path string, err error) bool) {
	for _, f := range []struct {
		path  string
		value int64
	}{{"HeaderBytes", int64(l.HeaderBytes)}, {"BodyBytes", l.BodyBytes}, {"IdleTimeoutMs", l.IdleTimeoutMs}} {
		if (f.value < 0 || f.value > maxConfigured) &&
			!yield(f.path, errors.Errorf("limit %s is %d, not between 0 and %d", f.path, f.value, int64(maxConfigured))) {
			return
		}
	}
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64    `json:"Version"`
	Routes   []Route   `json:"Routes"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
	// Accounts holds the client accounts. If there are none, requests need no key.
	Accounts []Account `json:"Accounts,omitempty"`
}

// Check returns an error for the first invalid part of the configuration.
func (c *Config) Check() error { return first(c.Faults) }

// Faults yields all invalid fields of the configuration with their paths, such as
// Routes[3].Prefix. It can be used as an iter.Seq2.
func (c *Config) Faults(yield func(path string, err error) bool) {
	if faultsIn("Routes", c.Routes, (*Route).faults, yield) &&
		faultsIn("Services", c.Services, (*Service).faults, yield) &&
		faultsIn("Accounts", c.Accounts, (*Account).faults, yield) {
		c.Limits.faults(func(path string, err error) bool { return yield("Limits."+path, err) })
	}
}

// faultsIn yields the faults of the elements of a list and reports whether to go on.
func faultsIn[T any](name string, list []T, faults func(*T, func(string, error) bool), yield func(string, error) bool) bool {
	more := true
	for i := 0; i < len(list) && more; i++ {
		faults(&list[i], func(path string, err error) bool {
			more = yield(fmt.Sprintf("%s[%d].%s", name, i, path), err)
			return more
		})
	}
	return more
}

// first returns the first error of faults, or nil.
func first(faults iter.Seq2[string, error]) error {
	for _, err := range faults {
		return err
	}
	return nil
}

// Upstream is one registered upstream process.
type Upstream struct {
	ID       string `json:"ID"`
	Service  string `json:"Service"`
	Addr     string `json:"Addr"` // IP:port
	Zone     string `json:"Zone"`
	Version  string `json:"Version,omitempty"` // of its software
	Slots    int    `json:"Slots"`             // requests that it runs concurrently
	Draining bool   `json:"Draining"`
	// BornMs is the start time in Unix milliseconds. It distinguishes successive
	// processes with the same ID.
	BornMs int64 `json:"BornMs"`
	// ColdMs is how much longer the upstream remains cold, counted from its registration.
	ColdMs int64 `json:"ColdMs"`
	// ColdUntil is when the upstream stops being cold, by the clock of the Cache that
	// publishes it. It is not encoded.
	ColdUntil time.Time `json:"-"`
	// Vanished is set while the entry is missing from the store but may return.
	Vanished bool `json:"Vanished,omitempty"`
}

func (u *Upstream) id() string { return u.ID }

// Key returns the key of the upstream process.
func (u *Upstream) Key() UpstreamKey { return UpstreamKey{u.ID, u.BornMs} }

// UpstreamKey identifies an upstream process. A restarted upstream has a new key.
type UpstreamKey struct {
	ID     string
	BornMs int64
}

// Limits of the fields of an upstream. Sums and products of values within them do not
// overflow, and an upstream adds little to the size of a directory.
const (
	// MaxNameBytes limits the size of the ID, the service, the zone and the version.
	MaxNameBytes = 256
	maxSlots     = 1 << 20
	maxBornMs    = 1 << 53
	maxColdMs    = 30 * 24 * 60 * 60 * 1000
)

// Check returns an error for the first invalid field of the upstream.
func (u *Upstream) Check() error {
	switch {
	case u.ID == "":
		return errors.New("upstream has no ID")
	case strings.ContainsFunc(u.ID, unicode.IsControl):
		// The ID is sent in a header field.
		return errors.Errorf("upstream %.64q has an ID with a control character", u.ID)
	case u.Service == "":
		return errors.Errorf("upstream %.64q has no service", u.ID)
	case max(len(u.ID), len(u.Service), len(u.Zone), len(u.Version)) > MaxNameBytes:
		return errors.Errorf("upstream %.64q has an ID, service, zone or version of more than %d bytes", u.ID, MaxNameBytes)
	case u.Slots < 0 || u.Slots > maxSlots:
		return errors.Errorf("upstream %.64q has %d slots, not 0 to %d", u.ID, u.Slots, maxSlots)
	case u.BornMs < 0 || u.BornMs > maxBornMs:
		return errors.Errorf("upstream %.64q has a start time of %d ms, not 0 to %d", u.ID, u.BornMs, int64(maxBornMs))
	case u.ColdMs < 0 || u.ColdMs > maxColdMs:
		return errors.Errorf("upstream %.64q is cold for %d ms, not 0 to %d", u.ID, u.ColdMs, int64(maxColdMs))
	}
	return errors.Wrapf(checkAddr(u.Addr), "upstream %.64q", u.ID)
}

// checkAddr returns an error if a connection to addr, which consists of an IP address and a
// port, is impossible.
func checkAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	switch ip := parsed.Addr(); {
	case err != nil:
		return errors.Errorf("address %.64q is not an IP address and a port", addr)
	case parsed.Port() == 0:
		return errors.Errorf("address %.64q has port 0", addr)
	case ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "":
		return errors.Errorf("address %.64q is not that of one host", addr)
	}
	return nil
}

// Directory is the state of the configuration, the upstreams and the zones.
type Directory struct {
	Revision  uint64     `json:"Revision"`         // of the store
	Config    *Config    `json:"Config,omitempty"` // nil if there is none yet
	Upstreams []Upstream `json:"Upstreams"`
	ZonesOut  []string   `json:"ZonesOut"`         // their upstreams get no new work
	Orders    []Order    `json:"Orders,omitempty"` // to roll out versions, at most one of a service
	Plans     []Plan     `json:"Plans,omitempty"`  // of the roll-outs, at most one of a service
}

// Check returns an error for the first invalid part of the directory.
func (d *Directory) Check() error {
	if d.Revision == 0 {
		return errors.New("directory has no revision")
	}
	if err := checkRollouts(d.Orders, d.Plans); err != nil {
		return err
	}
	return checkContents(d.Config, d.Upstreams)
}

// checkContents returns an error if the configuration, which may be nil, or an upstream is
// invalid.
func checkContents(config *Config, upstreams []Upstream) error {
	if config != nil {
		if err := config.Check(); err != nil {
			return err
		}
	}
	for i := range upstreams {
		if err := upstreams[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the directory in encoded form.
func (d *Directory) Encode() ([]byte, error) { return encode(d) }

// Decode decodes and checks a directory that was encoded by Encode. Invalid upstreams, orders
// and plans are left out: the sender, perhaps of another version, may have other checks. onInvalid, if not
// nil, is called with the error of each.
func Decode(data []byte, onInvalid func(error)) (*Directory, error) {
	d := new(Directory)
	if err := decode(data, d); err != nil {
		return nil, err
	}
	d.Upstreams, _ = splitInvalid(d.Upstreams, (*Upstream).Check, (*Upstream).id, onInvalid)
	d.Orders, _ = splitInvalid(d.Orders, (*Order).Check, (*Order).id, onInvalid)
	d.Plans, _ = splitInvalid(d.Plans, (*Plan).Check, (*Plan).id, onInvalid)
	return d, d.Check()
}

// splitInvalid returns the valid elements of a list and the IDs of the others. It calls
// onInvalid, if not nil, with the error of each of these.
func splitInvalid[T any](list []T, check func(*T) error, id func(*T) string, onInvalid func(error)) (valid []T, invalid []string) {
	valid = list[:0]
	for i := range list {
		err := check(&list[i])
		if err == nil {
			valid = append(valid, list[i])
			continue
		}
		invalid = append(invalid, id(&list[i]))
		if onInvalid != nil {
			onInvalid(err)
		}
	}
	return valid, invalid
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
