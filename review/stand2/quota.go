package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["quota"] = playQuota }

// The quota of the tenant.
const (
	quotaRate  = 20  // rate_per_s
	quotaBurst = 200 // burst_size
)

// quotaLimit is the most requests of the tenant that may run within quotaWindow.
var quotaLimit = int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack)

// playQuota kills the processes of all gateways at once while a tenant sends more than its quota.
func playQuota(w *world, trouble bool) (string, error) {
	zones := ctviZones
	for i := range 6 {
		s := leafSettings{id: fmt.Sprintf("i-planejamento-%d", i), service: "planejamento", zone: zones[i%3], slots: 8, queue: 30, work: 5 * time.Millisecond, bytes: 400}
		if _, err := w.startLeaf(s); err != nil {
			return "", err
		}
	}
	cfg := config(1, []map[string]any{orderRoute("safe", "planejamento")}, []map[string]any{service("planejamento", 560)})
	cfg["tenants"] = []map[string]any{{"name": "mill", "api_keys": []string{"k-mill"}, "prio": 1, "rate_per_s": quotaRate, "burst_size": quotaBurst}}
	if _, err := w.store.put("op/config", cfg); err != nil {
		return "", err
	}
	settings := ctviSettings()
	gateways, err := w.startGateways(zones, 6, settings)
	if err != nil {
		return "", err
	}
	time.Sleep(12 * time.Second) // the full burst has accrued
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent atomic.Int64
	for c := range 24 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(75 * time.Millisecond):
				}
				id := fmt.Sprintf("q%06d", sent.Add(1))
				w.ask(gateways[c%len(gateways)], request{http.MethodGet, orderPath + "x", id, map[string]string{"Api-Key": "k-mill"}, nil, time.Second})
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	w.log("%d requests have run", len(w.allRuns()))
	if trouble {
		err = killAll(gateways, settings)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	if err != nil {
		return "", err
	}
	runs := w.allRuns()
	most, first := 0, 0
	for i := range runs {
		w.log("run %s by %s for %s at %.3f", runs[i].id, runs[i].leaf, runs[i].tenant, runs[i].at.Sub(w.began).Seconds())
		for runs[i].at.Sub(runs[first].at) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	w.log("%d sent, %d run, at most %d within %v; the limit is %d", sent.Load(), len(runs), most, quotaWindow, quotaLimit)
	if most > quotaLimit {
		return fmt.Sprintf("QUOTA: %d requests of the tenant ran within %v, the limit is %d", most, quotaWindow, quotaLimit), nil
	}
	return "", nil
}

// killAll kills all processes at the same moment and starts them again.
func killAll(gateways []*gateway, settings map[string]any) error {
	for _, g := range gateways {
		if err := g.writeSettings(gateways, false, settings); err != nil {
			return err
		}
	}
	for _, g := range gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range gateways {
		g.stop(syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}
