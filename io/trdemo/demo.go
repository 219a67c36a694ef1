// Package trdemo runs a small fleet on loopback and prints its latency, coverage and
// extra load every second, while an availability zone is taken out of service and
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
	queryPeriod  = 10 * time.Millisecond // 100 queries per second
	zoneOutRow   = 5                     // row after which demoZone is taken out of service
	zoneInRow    = 11                    // row after which it is brought back
	lastRow      = 17
	demoZone     = "b"
	slowFactor   = 10 // of the service time of the slow leaf
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
	if err := runLoad(ctx, fleet, stdout); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return 1
	}
	fmt.Fprintln(stdout, "\nDone. See tanagerrock demo -h and README.md for how to run a fleet of separate processes.")
	return 0
}

func config() trfleet.Config {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Service.ColdMs = 0 // the leafs are warm from the start
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
		JournalSize: 1, // the demo does not read the journals
	}
}

func runLoad(ctx context.Context, fleet *trfleet.Fleet, w io.Writer) error {
	slow := fleet.Leafs.ByService("storefront")[0]
	if err := slow.Apply(trfakeleaf.FaultSlow, trfakeleaf.Fault{Factor: slowFactor}); err != nil {
		return err
	}
	fmt.Fprintf(w, "Leaf %s is %d times slower than the others.\n\n", slow.ID(), slowFactor)
	fmt.Fprintln(w, "   s  queries  whole  failed     p50     p99  coverage  extra load")
	load := &loadGenerator{fleet: fleet, client: trcaller.New(64), clock: trclock.System()}
	defer load.client.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer load.wg.Wait()
	defer stop()
	defer load.clock.Every(queryPeriod, func(time.Time) { load.send(loadCtx) })()
	prevSent, prevNeeded := subQueries(fleet)
	for row := 1; row <= lastRow; row++ {
		if err := trclock.Sleep(ctx, load.clock, rowPeriod); err != nil {
			return err
		}
		sent, needed := subQueries(fleet)
		load.print(w, row, sent-prevSent, needed-prevNeeded)
		prevSent, prevNeeded = sent, needed
		if err := changeZone(ctx, fleet, w, row); err != nil {
			return err
		}
	}
	return nil
}

func changeZone(ctx context.Context, fleet *trfleet.Fleet, w io.Writer, row int) error {
	switch row {
	case zoneOutRow:
		fmt.Fprintf(w, "      -- tanagerrock zone out %s\n", demoZone)
		return fleet.ChangeConfig(ctx, func(d *trconfig.Document) error {
			d.ZonesOut = append(d.ZonesOut, demoZone)
			return nil
		})
	case zoneInRow:
		fmt.Fprintf(w, "      -- tanagerrock zone in %s\n", demoZone)
		return fleet.ChangeConfig(ctx, func(d *trconfig.Document) error {
			d.ZonesOut = slices.DeleteFunc(d.ZonesOut, func(z string) bool { return z == demoZone })
			return nil
		})
	}
	return nil
}

// subQueries returns the numbers of sub-queries that all instances have sent so far and
// that their requests needed.
func subQueries(fleet *trfleet.Fleet) (sent, needed int64) {
	for _, i := range fleet.Instances() {
		s, n := i.Server.SubQueries()
		sent, needed = sent+s, needed+n
	}
	return sent, needed
}

// loadGenerator sends queries at a fixed rate and collects their results.
type loadGenerator struct {
	fleet  *trfleet.Fleet
	client *trcaller.Client
	clock  trclock.Clock
	wg     sync.WaitGroup

	mu  sync.Mutex
	row rowStats
}

// rowStats holds the totals of the queries of one row.
type rowStats struct {
	queries, whole, failed int
	shards, shardsTotal    int
	latency                *hdrhistogram.Histogram
}

func (l *loadGenerator) send(ctx context.Context) {
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

func (l *loadGenerator) record(latency time.Duration, answer *trwire.Answer, err error) {
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

func (l *loadGenerator) print(w io.Writer, row int, sent, needed int64) {
	l.mu.Lock()
	r := l.row
	l.row = rowStats{}
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
