package trcapacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfleet"
)

const (
	fleetSettle = 12 * time.Second // joins and claims are over
	fleetRun    = 5 * time.Second
	fleetShards = 20 // with two replicas
	fleetLoad   = 60 // queries per second over the whole fleet, at most 1,200 leaf calls/s
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs whole instances and the stand-ins in one process and
// reports the processor time and live memory of all of them, idle and under a
// small load. The slope over the instances holds the work of the leafs and of
// the platform that an instance causes, and so is an upper bound.
func BenchmarkFleet(b *testing.B) {
	for _, instances := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for range b.N {
				runFleet(b, instances)
			}
		})
	}
}

func runFleet(b *testing.B, instances int) {
	doc := &trconfig.Document{Defaults: trconfig.BuiltInDefaults()}
	doc.Defaults.Fleet.SenderIndexes = 36
	doc.Defaults.Service.ColdMs = 0
	doc.Defaults.Service.Connections = 72
	before := heap()
	goroutines := runtime.NumGoroutine()
	f, err := trfleet.Start(trfleet.Config{
		Zones: []string{"a", "b", "c"}, Instances: instances, Document: doc, Seed: 1, JournalSize: 100, DrainMs: 100,
		Services: []trfakeleaf.ServiceConfig{{Name: "search", Shards: fleetShards, Limits: trfakeleaf.Limits{Connections: 72}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(fleetSettle)
	b.ReportMetric(float64(heap()-before)/1e6, "heap-MB")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
	spent := processorTime()
	time.Sleep(fleetRun)
	idle := processorTime() - spent
	b.ReportMetric(100*idle.Seconds()/fleetRun.Seconds(), "idle-%core")
	b.ReportMetric(float64(load(b, ctx, f, idle)), "us/leaf-call")
}

// load sends queries at a fixed rate and returns the processor time in
// microseconds above idle per leaf call, those of the stand-ins included.
func load(b *testing.B, ctx context.Context, f *trfleet.Fleet, idle time.Duration) float64 {
	client := trcaller.New(16)
	defer client.Close()
	var wg sync.WaitGroup
	var whole atomic.Int64
	spent := processorTime()
	ticker := time.NewTicker(time.Second / fleetLoad)
	defer ticker.Stop()
	for n := range fleetLoad * int(fleetRun/time.Second) {
		<-ticker.C
		addr := f.Instances()[n%len(f.Instances())].Addr()
		wg.Go(func() {
			_, err := client.Do(ctx, addr, &trwire.Request{Kind: trwire.Query, Tenant: "t", Class: "c", Service: "search", Limit: 20})
			if err == nil {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	busy := processorTime() - spent
	b.ReportMetric(float64(whole.Load()), "whole")
	return float64((busy - idle).Microseconds()) / float64(max(1, whole.Load()*fleetShards))
}
