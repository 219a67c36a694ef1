// Package trfleet runs a complete fleet in one process on loopback: the platform
// stand-in, leaf stand-ins and real instances of the query tier. The demo, tests,
// benchmarks and the load generator use it.
//
// # Usage
//
//	fleet, err := trfleet.Start(trfleet.Config{
//		Zones:     []string{"a", "b", "c"},
//		Instances: 3,
//		Services:  []trfakeleaf.ServiceConfig{{Name: "search", Shards: 8}},
//	})
//	defer fleet.Close()
//	err = fleet.AwaitReady(ctx)
package trfleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trplatform"
	"tanagerrock/io/trserver"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
)

// Config describes a fleet.
type Config struct {
	Zones       []string
	Instances   int // distributed over the zones round-robin
	Services    []trfakeleaf.ServiceConfig
	Document    *trconfig.Document // initial configuration; nil for the built-in defaults
	Seed        uint64
	JournalSize int
	ListLagMs   int64
	Log         *logrus.Logger // nil to discard the logs
	DrainMs     int64          // Settings.DrainMs of the instances, 0 for 3 s
	ReadyOffMs  int64          // Settings.ReadyOffMs of the instances, 0 for 100 ms
	// InstanceOptions returns the options of the instances in a zone. It may be nil.
	InstanceOptions func(f *Fleet, zone string) trserver.Options
}

// Fleet is a running fleet.
type Fleet struct {
	Platform    *trfakeplatform.Platform
	PlatformURL string
	Leafs       *trfakeleaf.Fleet

	cfg       Config
	http      *http.Server
	mu        sync.Mutex
	instances []*Instance
	started   int
}

// Instance is a running instance of the query tier.
type Instance struct {
	ID     string
	Zone   string
	Server *trserver.Server

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Addr returns the address that serves callers.
func (i *Instance) Addr() string { return i.Server.CallerAddr() }

// Stop drains the instance and waits until it has ended.
func (i *Instance) Stop() error {
	i.stop()
	<-i.done
	return i.err
}

// Start starts the stand-ins, writes the initial configuration and starts the
// instances.
func Start(cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = logrus.New()
		cfg.Log.SetOutput(io.Discard)
	}
	if cfg.DrainMs == 0 {
		cfg.DrainMs = 3_000
	}
	if cfg.ReadyOffMs == 0 {
		cfg.ReadyOffMs = 100
	}
	leafs, err := trfakeleaf.StartFleet(trfakeleaf.FleetConfig{
		Zones:       cfg.Zones,
		Services:    cfg.Services,
		Seed:        cfg.Seed,
		JournalSize: cfg.JournalSize,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start leafs")
	}
	f := &Fleet{cfg: cfg, Leafs: leafs}
	if err := f.startPlatform(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.writeConfig(); err != nil {
		f.Close()
		return nil, err
	}
	for n := range cfg.Instances {
		if _, err := f.StartInstance(cfg.Zones[n%len(cfg.Zones)]); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	f.Platform = trfakeplatform.New(trfakeplatform.Config{
		ListLagMs:   f.cfg.ListLagMs,
		JournalSize: f.cfg.JournalSize,
		Instances:   f.Leafs.Instances(),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	f.PlatformURL = "http://" + ln.Addr().String()
	f.http = &http.Server{Handler: f.Platform.Handler()}
	go func() { _ = f.http.Serve(ln) }()
	return nil
}

func (f *Fleet) writeConfig() error {
	doc := f.cfg.Document
	if doc == nil {
		doc = &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	}
	return f.ChangeConfig(context.Background(), func(d *trconfig.Document) error {
		revision, change, recent := d.Revision, d.ChangeID, d.RecentChangeIDs
		*d = *trconfig.Clone(doc)
		d.Revision, d.ChangeID, d.RecentChangeIDs = revision, change, recent
		return nil
	})
}

// ChangeConfig edits the configuration as an operator would.
func (f *Fleet) ChangeConfig(ctx context.Context, edit func(*trconfig.Document) error) error {
	editor := &trconfig.Editor{Store: trplatform.New(f.PlatformURL)}
	_, err := editor.Change(ctx, uuid.NewString(), edit)
	return err
}

// StartInstance starts another instance in a zone and adds it to the platform's
// instance list.
func (f *Fleet) StartInstance(zone string) (*Instance, error) {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("entry-%s-%d", zone, f.started)
	var seeds []string
	for _, i := range f.instances {
		seeds = append(seeds, i.Server.PeerAddr())
	}
	f.mu.Unlock()
	options := trserver.Options{}
	if f.cfg.InstanceOptions != nil {
		options = f.cfg.InstanceOptions(f, zone)
	}
	server, err := trserver.NewWithOptions(&trserver.Settings{
		InstanceID: id,
		Zone:       zone,
		CallerAddr: "127.0.0.1:0",
		PeerAddr:   "127.0.0.1:0",
		Platform:   []string{f.PlatformURL},
		Seeds:      seeds,
		Seed:       f.cfg.Seed + uint64(f.started),
		DrainMs:    f.cfg.DrainMs,
		ReadyOffMs: f.cfg.ReadyOffMs,
	}, options, f.cfg.Log)
	if err != nil {
		return nil, errors.Wrapf(err, "start instance %s", id)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{ID: id, Zone: zone, Server: server, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(i.done)
		i.err = server.Run(ctx)
	}()
	f.Platform.ChangeInstances(trfakeplatform.ListChange{Add: []trwire.Instance{{
		ID:       id,
		Role:     trwire.RoleEntry,
		Zone:     zone,
		Addr:     server.CallerAddr(),
		PeerAddr: server.PeerAddr(),
		State:    trwire.StateLive,
	}}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i, nil
}

// Instances returns all instances started so far, including those that have been
// stopped.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// readyPoll is the interval at which AwaitReady polls the instances.
const readyPoll = 20 * time.Millisecond

// AwaitReady waits until every instance is ready and knows a complete snapshot of every
// service.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		if err := trclock.Sleep(ctx, trclock.System(), readyPoll); err != nil {
			return errors.Wrap(err, "fleet is not ready")
		}
	}
}

func (f *Fleet) ready() bool {
	for _, i := range f.Instances() {
		for _, s := range f.cfg.Services {
			if !i.Server.HasCompleteSnapshot(s.Name) {
				return false
			}
		}
	}
	return true
}

// Close drains and stops all instances concurrently and then stops the stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, i := range f.Instances() {
		wg.Go(func() { _ = i.Stop() })
	}
	wg.Wait()
	if f.http != nil {
		f.Platform.Close()
		_ = f.http.Close()
	}
	f.Leafs.Close()
}
