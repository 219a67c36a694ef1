// Package trdirectory keeps what a gateway instance knows of the routes that
// operators configured and of the upstreams that serve them.
//
// A Directory is one consistent state: a configuration, the registered
// upstreams and the availability zones that are out of service, as of one
// revision of the store. It travels between instances as a document and checks
// itself when it is decoded. A Keeper holds the Directory in force and
// publishes it as an immutable Table, which requests read without a lock.
//
// # Usage
//
//	keeper := trdirectory.Keeper{Clock: clock}
//	keeper.Adopt(dir, trdirectory.FromStore)
//	table := keeper.Table()
//	route := table.Route(host, path)
//	for _, up := range table.Upstreams(route.Shards[0]) { ... }
package trdirectory

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxDirectoryBytes bounds a decoded Directory. A configuration of several
// thousand routes takes about 2 MB.
const MaxDirectoryBytes = 16 << 20

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"Name"`
	Host       string `json:"Host"`
	Prefix     string `json:"Prefix"`     // begins and ends with a slash
	Idempotent bool   `json:"Idempotent"` // a request may run more than once
	// TimeoutMs is the longest time a caller is kept waiting.
	TimeoutMs int64 `json:"TimeoutMs"`
	// ObjectiveMs is the latency objective. Later answers are worth less.
	ObjectiveMs int64 `json:"ObjectiveMs"`
	Rank        int   `json:"Rank"`     // 0 is the most urgent; no decision uses it yet
	Attempts    int   `json:"Attempts"` // upstreams of one service that one request may be sent to

	// Split holds the services of a route that asks one upstream.
	Split []WeightedService `json:"Split,omitempty"`
	// Shards holds the services of a route that asks one upstream of each.
	Shards     []string `json:"Shards,omitempty"`
	Top        int      `json:"Top,omitempty"`        // records in a merged answer
	LeastShare float64  `json:"LeastShare,omitempty"` // least part of the shards in an answer
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Timeout returns the longest time a caller is kept waiting, 0 if unlimited.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// Objective returns the latency objective, 0 if there is none.
func (r *Route) Objective() time.Duration { return milliseconds(r.ObjectiveMs) }

// MinShards returns the number of shards that an answer must contain.
func (r *Route) MinShards() int {
	n := len(r.Shards)
	for least := 1; least < n; least++ {
		if float64(least) >= r.LeastShare*float64(n) {
			return least
		}
	}
	return n
}

// Check reports the first fault of the route.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return errors.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
	case len(r.Split) == 0 && len(r.Shards) == 0:
		return errors.Errorf("route %q names no service", r.Name)
	case r.LeastShare < 0 || r.LeastShare > 1:
		return errors.Errorf("route %q has a least share of %v", r.Name, r.LeastShare)
	}
	for _, p := range r.Split {
		if p.Weight < 0 {
			return errors.Errorf("route %q gives service %q weight %v", r.Name, p.Service, p.Weight)
		}
	}
	return nil
}

// Service describes the upstreams of one name.
type Service struct {
	Name string `json:"Name"`
	// Connections is how many an upstream accepts from all callers together.
	Connections int `json:"Connections"`
	// ColdPerSecond is the rate of requests that a cold upstream bears, from
	// all callers together. It is 0 if none is stated.
	ColdPerSecond float64 `json:"ColdPerSecond"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int   `json:"HeaderBytes"`
	BodyBytes     int64 `json:"BodyBytes"`
	IdleTimeoutMs int64 `json:"IdleTimeoutMs"` // of a caller's connection between requests
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64    `json:"Version"`
	Routes   []Route   `json:"Routes"`
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Check reports the first fault of the configuration.
func (c *Config) Check() error {
	for i := range c.Routes {
		if err := c.Routes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Upstream is one registered upstream process.
type Upstream struct {
	ID       string `json:"ID"`
	Service  string `json:"Service"`
	Addr     string `json:"Addr"` // IP:port
	Zone     string `json:"Zone"`
	Slots    int    `json:"Slots"` // requests it runs at the same time
	Draining bool   `json:"Draining"`
	// BornMs tells apart starts under the same ID, in Unix milliseconds.
	BornMs int64 `json:"BornMs"`
	// ColdMs is how long after BornMs the upstream stays cold.
	ColdMs int64 `json:"ColdMs"`
	// Vanished is set while the entry is missing from the store and may be back.
	Vanished bool `json:"Vanished,omitempty"`
}

// Key identifies one start of an upstream.
func (u *Upstream) Key() UpstreamKey { return UpstreamKey{u.ID, u.BornMs} }

// UpstreamKey identifies one start of an upstream.
type UpstreamKey struct {
	ID     string
	BornMs int64
}

// Check reports the first fault of the upstream.
func (u *Upstream) Check() error {
	switch {
	case u.ID == "":
		return errors.New("upstream has no ID")
	case u.Service == "" || u.Addr == "":
		return errors.Errorf("upstream %q has no service or address", u.ID)
	case u.Slots < 0 || u.BornMs < 0 || u.ColdMs < 0:
		return errors.Errorf("upstream %q has a negative number", u.ID)
	}
	return nil
}

// Directory is a state of configuration, upstreams and zones.
type Directory struct {
	Revision  uint64     `json:"Revision"`         // of the store
	Config    *Config    `json:"Config,omitempty"` // nil before the first one
	Upstreams []Upstream `json:"Upstreams"`
	ZonesOut  []string   `json:"ZonesOut"` // no new work for their upstreams
}

// Check reports the first fault of the directory.
func (d *Directory) Check() error {
	if d.Revision == 0 {
		return errors.New("directory has no revision")
	}
	if d.Config != nil {
		if err := d.Config.Check(); err != nil {
			return err
		}
	}
	for i := range d.Upstreams {
		if err := d.Upstreams[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the directory as compressed msgpack with the names of its JSON
// form. JSON takes an instance with a fifth of a core three times as long to read,
// several times a second while upstreams come and go.
func (d *Directory) Encode() ([]byte, error) {
	var plain, packed bytes.Buffer
	enc := msgpack.NewEncoder(&plain)
	enc.SetCustomStructTag("json")
	if err := enc.Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode directory")
	}
	zw, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := zw.Write(plain.Bytes()); err != nil {
		return nil, errors.Wrap(err, "encode directory")
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Decode reads a directory made by Encode and checks it.
func Decode(data []byte) (*Directory, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	plain, err := io.ReadAll(io.LimitReader(zr, MaxDirectoryBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	if len(plain) > MaxDirectoryBytes {
		return nil, errors.Errorf("directory has more than %d bytes", MaxDirectoryBytes)
	}
	d := new(Directory)
	dec := msgpack.NewDecoder(bytes.NewReader(plain))
	dec.SetCustomStructTag("json")
	if err := dec.Decode(d); err != nil {
		return nil, errors.Wrap(err, "directory")
	}
	return d, d.Check()
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
