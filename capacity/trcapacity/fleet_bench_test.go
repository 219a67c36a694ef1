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
	fleetWarmup      = 12 * time.Second // for joins and claims of sender indexes
	fleetMeasureTime = 5 * time.Second
	fleetShards      = 20 // with two replicas each
	fleetQueryRate   = 60 // queries per second to the whole fleet, at most 1,200 leaf calls per second
)

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs complete instances and the stand-ins in one process and
// reports the CPU time and live heap of all of them, idle and under a small load.
// The increase per instance includes the work that an instance causes in the leafs
// and in the platform, so it is an upper bound of the instance's own cost.
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
	heapBefore := heapBytes()
	goroutinesBefore := runtime.NumGoroutine()
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
	time.Sleep(fleetWarmup)
	b.ReportMetric(float64(heapBytes()-heapBefore)/1e6, "heap-MB")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore), "goroutines")
	start := cpuTime()
	time.Sleep(fleetMeasureTime)
	idle := cpuTime() - start
	b.ReportMetric(100*idle.Seconds()/fleetMeasureTime.Seconds(), "idle-%core")
	b.ReportMetric(float64(measureLoad(b, ctx, f, idle)), "us/leaf-call")
}

// measureLoad sends queries at a fixed rate. It returns the CPU time per leaf call in
// microseconds above idle, which includes the stand-ins.
func measureLoad(b *testing.B, ctx context.Context, f *trfleet.Fleet, idle time.Duration) float64 {
	client := trcaller.New(16)
	defer client.Close()
	var wg sync.WaitGroup
	var answered atomic.Int64
	start := cpuTime()
	ticker := time.NewTicker(time.Second / fleetQueryRate)
	defer ticker.Stop()
	for n := range fleetQueryRate * int(fleetMeasureTime/time.Second) {
		<-ticker.C
		addr := f.Instances()[n%len(f.Instances())].Addr()
		wg.Go(func() {
			_, err := client.Do(ctx, addr, &trwire.Request{Kind: trwire.Query, Tenant: "t", Class: "c", Service: "search", Limit: 20})
			if err == nil {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	busy := cpuTime() - start
	b.ReportMetric(float64(answered.Load()), "whole")
	return float64((busy - idle).Microseconds()) / float64(max(1, answered.Load()*fleetShards))
}
