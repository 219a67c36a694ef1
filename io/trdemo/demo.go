// Package trdemo runs a small fleet on loopback and shows what happens to
// latency, coverage and extra load while an availability zone is taken out and
// brought back.
//
// # Usage
//
//	os.Exit(trdemo.Run(ctx, os.Stdout, os.Stderr))
package trdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfleet"
)

const (
	readyTimeout = 10 * time.Second
	rowPeriod    = time.Second
	queryPeriod  = 10 * time.Millisecond // 100 queries a second
	outRow       = 5                     // row after which the zone is taken out
	inRow        = 11                    // row after which it is brought back
	lastRow      = 17
	zoneOut      = "b"
	slowFactor   = 10
)

// Run runs the demo and returns an exit code. It ends by itself within half a
// minute.
func Run(ctx context.Context, stdout, stderr io.Writer) int {
	fmt.Fprintln(stdout, "Starting 3 availability zones, 6 instances and 3 services on loopback ...")
	fleet, err := trfleet.Start(config())
	if err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return 1
	}
	defer fleet.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(readyCtx); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return 1
	}
	if err := play(ctx, fleet, stdout); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return 1
	}
	fmt.Fprintln(stdout, "\nDone. To play on: tanagerrock demo -h, and README.md for a fleet of separate processes.")
	return 0
}

func config() trfleet.Config {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0 // the demo starts with warm leafs
	doc.Defaults.Fleet.SenderIndexes = 8
	doc.Defaults.Fleet.SlowStartMs = 2_000
	limits := trfakeleaf.Limits{Slots: 2, Queue: 4, Connections: 25, ConnectMs: 6, ServiceMs: 4, ServiceSigma: 0.4}
	return trfleet.Config{
		Zones:     []string{"a", "b", "c"},
		Instances: 6,
		Services: []trfakeleaf.ServiceConfig{
			{Name: "storefront", Shards: 10, Replicas: 2, Limits: limits},
			{Name: "workshop", Shards: 6, Replicas: 2, Limits: limits},
			{Name: "tracking", Shards: 3, Replicas: 3, Limits: limits},
		},
		Document:    doc,
		Seed:        1,
		JournalSize: 1, // the demo reads no journal
	}
}

func play(ctx context.Context, fleet *trfleet.Fleet, w io.Writer) error {
	slow := fleet.Leafs.ByService("storefront")[0]
	if err := slow.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: slowFactor}); err != nil {
		return err
	}
	fmt.Fprintf(w, "Leaf %s answers %d times slower than the others.\n\n", slow.ID(), slowFactor)
	fmt.Fprintln(w, "   s  queries  whole  failed     p50     p99  coverage  extra load")
	load := &load{fleet: fleet, client: trcaller.New(64), clock: trclock.System()}
	defer load.client.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer load.wg.Wait()
	defer stop()
	defer load.clock.Every(queryPeriod, func(time.Time) { load.send(loadCtx) })()
	started, needed := extraLoad(fleet)
	for row := 1; row <= lastRow; row++ {
		if err := trclock.Sleep(ctx, load.clock, rowPeriod); err != nil {
			return err
		}
		s2, n2 := extraLoad(fleet)
		load.print(w, row, s2-started, n2-needed)
		started, needed = s2, n2
		if err := changeZone(ctx, fleet, w, row); err != nil {
			return err
		}
	}
	return nil
}

func changeZone(ctx context.Context, fleet *trfleet.Fleet, w io.Writer, row int) error {
	switch row {
	case outRow:
		fmt.Fprintf(w, "      -- tanagerrock zone out %s\n", zoneOut)
		return fleet.ChangeConfig(ctx, func(d *trconfig.Document) error {
			d.ZonesOut = append(d.ZonesOut, zoneOut)
			return nil
		})
	case inRow:
		fmt.Fprintf(w, "      -- tanagerrock zone in %s\n", zoneOut)
		return fleet.ChangeConfig(ctx, func(d *trconfig.Document) error {
			d.ZonesOut = slices.DeleteFunc(d.ZonesOut, func(z string) bool { return z == zoneOut })
			return nil
		})
	}
	return nil
}

// extraLoad returns the sub-queries sent and needed so far by all instances.
func extraLoad(fleet *trfleet.Fleet) (sent, needed int64) {
	for _, i := range fleet.Instances() {
		s, n := i.Server.SubQueries()
		sent, needed = sent+s, needed+n
	}
	return sent, needed
}

// load sends queries on a schedule and collects what became of them.
type load struct {
	fleet  *trfleet.Fleet
	client *trcaller.Client
	clock  trclock.Clock
	wg     sync.WaitGroup

	mu  sync.Mutex
	row result
}

// result sums up the queries of one row.
type result struct {
	queries, whole, failed int
	shards, shardsTotal    int
	latency                *hdrhistogram.Histogram
}

func (l *load) send(ctx context.Context) {
	instances := l.fleet.Instances()
	instance := instances[rand.IntN(len(instances))]
	services := []string{"storefront", "workshop", "tracking"}
	req := &trwire.Request{
		Kind:    trwire.Query,
		Tenant:  "demo",
		Class:   "catalogue",
		Service: services[rand.IntN(len(services))],
		Limit:   10,
	}
	l.wg.Go(func() {
		began := l.clock.Now()
		answer, err := l.client.Do(ctx, instance.Addr(), req)
		if ctx.Err() != nil {
			return
		}
		l.record(l.clock.Now().Sub(began), answer, err)
	})
}

func (l *load) record(latency time.Duration, answer *trwire.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.row.latency == nil {
		l.row.latency = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	l.row.queries++
	if err != nil {
		l.row.failed++
		return
	}
	if answer.Coverage.Complete() {
		l.row.whole++
	}
	l.row.shards += answer.Coverage.Shards
	l.row.shardsTotal += answer.Coverage.ShardsTotal
	_ = l.row.latency.RecordValue(latency.Microseconds())
}

func (l *load) print(w io.Writer, row int, sent, needed int64) {
	l.mu.Lock()
	r := l.row
	l.row = result{}
	l.mu.Unlock()
	if r.latency == nil || r.shardsTotal == 0 {
		fmt.Fprintf(w, "%4d  %7d  %5d  %6d\n", row, r.queries, r.whole, r.failed)
		return
	}
	extra := 0.0
	if needed > 0 {
		extra = 100 * (float64(sent)/float64(needed) - 1)
	}
	fmt.Fprintf(w, "%4d  %7d  %5d  %6d  %4.1fms  %4.1fms  %7.2f%%  %9.1f%%\n",
		row, r.queries, r.whole, r.failed,
		milliseconds(r.latency.ValueAtQuantile(50)), milliseconds(r.latency.ValueAtQuantile(99)),
		100*float64(r.shards)/float64(r.shardsTotal), extra)
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
