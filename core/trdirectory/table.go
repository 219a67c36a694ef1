package trdirectory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Table is an immutable index of a Directory for lookups during requests.
type Table struct {
	Revision uint64
	Version  uint64 // of the configuration
	Limits   Limits

	hasAccounts bool
	meanRate    float64             // of the client accounts that have one
	routes      map[string][]*Route // by host, longest prefix first
	services    map[string]*Service
	accounts    map[KeyDigest]*Account
	upstreams   map[string][]*Upstream // by service; those that accept new work
	zones       map[string][]*Upstream // the same upstreams by availability zone
	zoneNames   []string               // sorted
	byKey       map[UpstreamKey]*Upstream
	orders      map[string]*Order // by service; nil if there are none
	plans       map[string]*Plan  // the same
}

// NewTable indexes a directory, which must not be modified afterwards. Upstreams
// that are draining, or whose zone is out of service, get no new work.
func NewTable(d *Directory) *Table {
	t := &Table{
		Revision:  d.Revision,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service),
		accounts:  make(map[KeyDigest]*Account),
		upstreams: make(map[string][]*Upstream),
		zones:     make(map[string][]*Upstream),
		byKey:     make(map[UpstreamKey]*Upstream),
	}
	if d.Config != nil {
		t.indexConfig(d.Config)
	}
	t.indexRollouts(d)
	for i := range d.Upstreams {
		up := &d.Upstreams[i]
		t.byKey[up.Key()] = up
		if up.Draining || slices.Contains(d.ZonesOut, up.Zone) {
			continue
		}
		t.upstreams[up.Service] = append(t.upstreams[up.Service], up)
		t.zones[up.Zone] = append(t.zones[up.Zone], up)
	}
	t.zoneNames = slices.Sorted(maps.Keys(t.zones))
	for _, list := range t.upstreams {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return t
}

func (t *Table) indexConfig(c *Config) {
	t.Version = c.Version
	t.Limits = c.Limits
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			if t.accounts[key] == nil { // of two accounts with the same key, the first has it
				t.accounts[key] = &c.Accounts[i]
			}
		}
	}
	t.hasAccounts = len(c.Accounts) > 0
	t.meanRate = meanRate(c.Accounts)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

func (t *Table) indexRollouts(d *Directory) {
	if len(d.Orders) > 0 {
		t.orders = make(map[string]*Order, len(d.Orders))
	}
	for i := range d.Orders {
		t.orders[d.Orders[i].Service] = &d.Orders[i]
	}
	if len(d.Plans) > 0 {
		t.plans = make(map[string]*Plan, len(d.Plans))
	}
	for i := range d.Plans {
		t.plans[d.Plans[i].Service] = &d.Plans[i]
	}
}

// Order returns the order to roll out a version of a service, or nil.
func (t *Table) Order(service string) *Order { return t.orders[service] }

// Plan returns the plan of the roll-out of a service, or nil.
func (t *Table) Plan(service string) *Plan { return t.plans[service] }

// Orders returns the orders by service. Callers must not modify the map.
func (t *Table) Orders() map[string]*Order { return t.orders }

// Plans returns the plans by service. Callers must not modify the map.
func (t *Table) Plans() map[string]*Plan { return t.plans }

// Configured reports whether the table has a configuration.
func (t *Table) Configured() bool { return t.Version > 0 || len(t.routes) > 0 }

// Route returns the route of the host with the longest matching prefix of path,
// or nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether the requests of a route need the key of a client account.
func (t *Table) NeedsKey(r *Route) bool { return t.hasAccounts && !r.Public }

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key KeyDigest) *Account { return t.accounts[key] }

// Weight returns the weight of an account in the division of capacity that is short: its rate,
// as the rates are set by what the accounts usually ask for. An account without one counts as
// the mean of those that have one.
func (t *Table) Weight(a *Account) float64 {
	if a.PerSecond > 0 {
		return a.PerSecond
	}
	return t.meanRate
}

// meanRate returns the mean rate of the accounts that have one, 1 if none has.
func meanRate(accounts []Account) float64 {
	sum, n := 0.0, 0
	for i := range accounts {
		if rate := accounts[i].PerSecond; rate > 0 {
			sum += rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Upstreams returns the upstreams of a service that accept new work, sorted by
// ID. Callers must not modify the slice.
func (t *Table) Upstreams(service string) []*Upstream { return t.upstreams[service] }

// Zones returns the names of the availability zones with upstreams that accept
// new work. Callers must not modify the slice.
func (t *Table) Zones() []string { return t.zoneNames }

// ZoneUpstreams returns the upstreams of a zone that accept new work. Callers
// must not modify the slice.
func (t *Table) ZoneUpstreams(zone string) []*Upstream { return t.zones[zone] }

// HasUnservedRoute reports whether some route with shards has too few shards with
// a usable upstream.
func (t *Table) HasUnservedRoute(usable func(*Upstream) bool) bool {
	for _, list := range t.routes {
		for _, r := range list {
			if len(r.Shards) > 0 && t.servedShards(r, usable) < r.MinShards() {
				return true
			}
		}
	}
	return false
}

func (t *Table) servedShards(r *Route, usable func(*Upstream) bool) int {
	n := 0
	for _, shard := range r.Shards {
		if slices.ContainsFunc(t.upstreams[shard], usable) {
			n++
		}
	}
	return n
}

// Service returns the service with the given name, or one without settings.
func (t *Table) Service(name string) *Service {
	if s := t.services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// Usable reports whether the upstream process is registered and accepts new work.
func (t *Table) Usable(key UpstreamKey) bool {
	up := t.byKey[key]
	return up != nil && slices.Contains(t.upstreams[up.Service], up)
}

// Upstream returns the registered upstream process, or nil.
func (t *Table) Upstream(key UpstreamKey) *Upstream { return t.byKey[key] }

// Known reports whether the upstream process is registered.
func (t *Table) Known(key UpstreamKey) bool { return t.byKey[key] != nil }
