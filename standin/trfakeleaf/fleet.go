package trfakeleaf

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trjournal"
)

// FleetConfig describes the leafs of several services.
type FleetConfig struct {
	Clock       trclock.Clock   `json:"-"` // trclock.System if nil
	Zones       []string        `json:"Zones"`
	Services    []ServiceConfig `json:"Services"`
	Seed        uint64          `json:"Seed"`
	JournalSize int             `json:"JournalSize"` // maximum number of events kept per leaf
}

// ServiceConfig describes the leafs of one service.
type ServiceConfig struct {
	Name     string `json:"Name"`
	Shards   int    `json:"Shards"`   // default 1
	Replicas int    `json:"Replicas"` // per shard, in different zones if possible, default 2
	Leafs    int    `json:"Leafs"`    // default Shards x Replicas, which gives one shard per leaf
	Records  int    `json:"Records"`  // number of keys of the service, default 200
	Version  uint64 `json:"Version"`  // initial version, default 1
	Limits
}

func (s ServiceConfig) withDefaults() ServiceConfig {
	if s.Shards == 0 {
		s.Shards = 1
	}
	if s.Replicas == 0 {
		s.Replicas = 2
	}
	if s.Leafs == 0 {
		s.Leafs = s.Shards * s.Replicas
	}
	if s.Records == 0 {
		s.Records = 200
	}
	if s.Version == 0 {
		s.Version = 1
	}
	return s
}

// placeShards returns the shards that each leaf holds. Leaf i is in zone i modulo
// zones. The replicas of a shard are placed on different leafs, and in different zones
// as long as there are enough zones.
func placeShards(shards, replicas, leafs, zones int) [][]int {
	assigned := make([][]int, leafs)
	for shard := range shards {
		chosen := []int{}
		for _, newZoneOnly := range []bool{true, false} {
			for step := range leafs {
				leaf := (shard*leafs/shards + step) % leafs
				sameZone := func(other int) bool { return other%zones == leaf%zones }
				switch {
				case len(chosen) == replicas, slices.Contains(chosen, leaf):
				case newZoneOnly && slices.ContainsFunc(chosen, sameZone):
				default:
					chosen = append(chosen, leaf)
				}
			}
		}
		for _, leaf := range chosen {
			assigned[leaf] = append(assigned[leaf], shard)
		}
	}
	return assigned
}

// Fleet is a set of running leafs.
type Fleet struct {
	cfg        FleetConfig
	eventClock *trjournal.EventClock
	leafs      []*Leaf // ordered by service, then by number
}

// StartFleet starts all leafs on free ports of 127.0.0.1.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	if len(cfg.Zones) == 0 {
		return nil, errors.New("fleet has no zones")
	}
	if cfg.Clock == nil {
		cfg.Clock = trclock.System()
	}
	cfg.Services = slices.Clone(cfg.Services)
	f := &Fleet{cfg: cfg, eventClock: trjournal.NewEventClock(cfg.Clock)}
	for i, s := range cfg.Services {
		s = s.withDefaults()
		cfg.Services[i] = s
		if err := f.startService(s); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startService(s ServiceConfig) error {
	for i, shards := range placeShards(s.Shards, s.Replicas, s.Leafs, len(f.cfg.Zones)) {
		leaf, err := Start(Config{
			Clock:       f.cfg.Clock,
			EventClock:  f.eventClock,
			LeafID:      fmt.Sprintf("%s-leaf-%d", s.Name, i),
			Zone:        f.cfg.Zones[i%len(f.cfg.Zones)],
			Data:        Dataset{Service: s.Name, Seed: f.cfg.Seed, Records: s.Records},
			Holdings:    []Holding{{Version: s.Version, ShardCount: s.Shards, Shards: shards, Loaded: true}},
			JournalSize: f.cfg.JournalSize,
			Seed:        f.cfg.Seed,
			Limits:      s.Limits,
		})
		if err != nil {
			return err
		}
		f.leafs = append(f.leafs, leaf)
	}
	return nil
}

// Close stops all leafs.
func (f *Fleet) Close() {
	for _, l := range f.leafs {
		l.Close()
	}
}

// Leafs returns all leafs.
func (f *Fleet) Leafs() []*Leaf { return slices.Clone(f.leafs) }

// Leaf returns the leaf with the given ID, or nil.
func (f *Fleet) Leaf(id string) *Leaf {
	for _, l := range f.leafs {
		if l.ID() == id {
			return l
		}
	}
	return nil
}

// ByService returns the leafs of a service.
func (f *Fleet) ByService(service string) []*Leaf {
	return slices.DeleteFunc(f.Leafs(), func(l *Leaf) bool { return l.cfg.Data.Service != service })
}

// Instances returns the entries of all leafs for the platform's instance list.
func (f *Fleet) Instances() []trwire.Instance {
	instances := make([]trwire.Instance, 0, len(f.leafs))
	for _, l := range f.leafs {
		instances = append(instances, l.Instance())
	}
	return instances
}

// Dataset returns the dataset of a service.
func (f *Fleet) Dataset(service string) Dataset {
	for _, l := range f.ByService(service) {
		return l.cfg.Data
	}
	return Dataset{}
}

// Rollout describes a new version of a service, or a new Loaded flag of a version.
// SetLoaded ignores ShardCount.
type Rollout struct {
	Service    string `json:"Service"`
	Version    uint64 `json:"Version"`
	ShardCount int    `json:"ShardCount"` // 0 for the initial shard count of the service
	Loaded     bool   `json:"Loaded"`
}

// AddVersion adds a version to all leafs of a service. If r.ShardCount differs from the
// initial shard count of the service, the shards are redistributed over the leafs.
func (f *Fleet) AddVersion(r Rollout) error {
	i := slices.IndexFunc(f.cfg.Services, func(s ServiceConfig) bool { return s.Name == r.Service })
	if i < 0 {
		return errors.Errorf("unknown service %q", r.Service)
	}
	s := f.cfg.Services[i]
	if r.ShardCount == 0 {
		r.ShardCount = s.Shards
	}
	held := placeShards(r.ShardCount, s.Replicas, s.Leafs, len(f.cfg.Zones))
	for n, l := range f.ByService(r.Service) {
		h := Holding{Version: r.Version, ShardCount: r.ShardCount, Shards: held[n], Loaded: r.Loaded}
		if err := l.AddVersion(h); err != nil {
			return errors.Wrapf(err, "leaf %q", l.ID())
		}
	}
	return nil
}

// SetLoaded sets the Loaded flag of a version on all leafs of a service.
func (f *Fleet) SetLoaded(r Rollout) error {
	for _, l := range f.ByService(r.Service) {
		if err := l.Apply(FaultLoaded, Fault{Version: r.Version, Loaded: r.Loaded}); err != nil {
			return errors.Wrapf(err, "leaf %q", l.ID())
		}
	}
	return nil
}

// Events returns the events of all leafs ordered by time.
func (f *Fleet) Events() []Event {
	var events []Event
	for _, l := range f.leafs {
		events = append(events, l.journal.Events()...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.TimeNs, b.TimeNs) })
	return events
}

// Dropped returns the number of events that the journals of all leafs have dropped.
func (f *Fleet) Dropped() uint64 {
	var n uint64
	for _, l := range f.leafs {
		n += l.journal.Dropped()
	}
	return n
}

// ControlHandler returns the HTTP handler of the fleet's control endpoints.
//
//	POST /control/leafs/{leaf}/{fault}    Fault
//	GET  /control/leafs/{leaf}/journal    events of one leaf as JSON lines
//	POST /control/roll                    Rollout
//	POST /control/loaded                  Rollout
//	GET  /control/instances               entries for the platform's instance list
//	GET  /control/journal                 events of all leafs as JSON lines
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	// call is the name of a fault or "journal".
	mux.HandleFunc("/control/leafs/{leaf}/{call}", func(w http.ResponseWriter, r *http.Request) {
		l := f.Leaf(r.PathValue("leaf"))
		if l == nil {
			http.Error(w, "unknown leaf", http.StatusNotFound)
			return
		}
		http.StripPrefix("/control/leafs/"+l.ID(), withPathPrefix("/control", l.ControlHandler())).ServeHTTP(w, r)
	})
	mux.HandleFunc("POST /control/roll", func(w http.ResponseWriter, r *http.Request) {
		handleControl(w, r, f.AddVersion)
	})
	mux.HandleFunc("POST /control/loaded", func(w http.ResponseWriter, r *http.Request) {
		handleControl(w, r, f.SetLoaded)
	})
	mux.HandleFunc("GET /control/instances", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Instances())
	})
	mux.HandleFunc("GET /control/journal", func(w http.ResponseWriter, _ *http.Request) {
		f.serveJournal(w)
	})
	return mux
}

// withPathPrefix returns a handler that prepends prefix to the request path.
func withPathPrefix(prefix string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r = r.Clone(r.Context())
		r.URL.Path = prefix + r.URL.Path
		r.URL.RawPath = ""
		next.ServeHTTP(w, r)
	})
}

func (f *Fleet) serveJournal(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(trjournal.HeaderDropped, fmt.Sprint(f.Dropped()))
	enc := json.NewEncoder(w)
	for _, e := range f.Events() {
		if enc.Encode(e) != nil {
			return
		}
	}
}
