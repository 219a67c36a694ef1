package trfakeleaf

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// FleetConfig describes the leafs of several services.
type FleetConfig struct {
	Clock       trclock.Clock   `json:"-"` // System if nil
	Zones       []string        `json:"Zones"`
	Services    []ServiceConfig `json:"Services"`
	Seed        uint64          `json:"Seed"`
	JournalSize int             `json:"JournalSize"` // per leaf
}

// ServiceConfig describes the leafs of one service.
type ServiceConfig struct {
	Name     string `json:"Name"`
	Shards   int    `json:"Shards"`   // default 1
	Replicas int    `json:"Replicas"` // per shard, in different zones as far as possible, default 2
	Leafs    int    `json:"Leafs"`    // default Shards x Replicas, that is one shard per leaf
	Records  int    `json:"Records"`  // keys of the service, default 200
	Version  uint64 `json:"Version"`  // first version, default 1
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

// layout returns the shards that each leaf holds. Leaf i is in zone i modulo
// zones. The replicas of a shard are on different leafs, and in different zones
// as long as there are enough.
func layout(shards, replicas, leafs, zones int) [][]int {
	held := make([][]int, leafs)
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
			held[leaf] = append(held[leaf], shard)
		}
	}
	return held
}

// Fleet is a set of running leafs.
type Fleet struct {
	cfg   FleetConfig
	leafs []*Leaf // by service, then by number
}

// StartFleet starts all leafs on ports of 127.0.0.1 that the system chooses.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	if len(cfg.Zones) == 0 {
		return nil, errors.New("fleet has no zones")
	}
	cfg.Services = slices.Clone(cfg.Services)
	f := &Fleet{cfg: cfg}
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
	for i, shards := range layout(s.Shards, s.Replicas, s.Leafs, len(f.cfg.Zones)) {
		leaf, err := Start(Config{
			Clock:       f.cfg.Clock,
			LeafID:      fmt.Sprintf("%s-leaf-%d", s.Name, i),
			Zone:        f.cfg.Zones[i%len(f.cfg.Zones)],
			Data:        Data{Service: s.Name, Seed: f.cfg.Seed, Records: s.Records},
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

// Leaf returns the leaf with an ID, or nil.
func (f *Fleet) Leaf(id string) *Leaf {
	for _, l := range f.leafs {
		if l.ID() == id {
			return l
		}
	}
	return nil
}

// Of returns the leafs of a service.
func (f *Fleet) Of(service string) []*Leaf {
	return slices.DeleteFunc(f.Leafs(), func(l *Leaf) bool { return l.cfg.Data.Service != service })
}

// Instances returns the lines of all leafs for the platform's list.
func (f *Fleet) Instances() []trwire.Instance {
	instances := make([]trwire.Instance, 0, len(f.leafs))
	for _, l := range f.leafs {
		instances = append(instances, l.Instance())
	}
	return instances
}

// Data returns the description of a service's records.
func (f *Fleet) Data(service string) Data {
	for _, l := range f.Of(service) {
		return l.cfg.Data
	}
	return Data{}
}
