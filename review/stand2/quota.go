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

const (
	// quotaRate is the rate_per_s of the tenant. Its usual traffic is quotaRate / 1.6 (quota_x of
	// the site), and hot_tenant sends 7.5 times that: 468 requests a second.
	quotaRate    = 100
	quotaBurst   = 500 // burst_size
	quotaClients = 60
	quotaPace    = 128 * time.Millisecond
	// abusers in ten clients repeat a refused request at once, up to quotaRepeats times.
	abusers      = 3
	quotaRepeats = 3
	// quotaLead is the time from the first request to the kill.
	quotaLead = 1500 * time.Millisecond
)

// playQuota kills the processes of all gateways at once while a tenant sends more than its quota. It
// counts the requests that leafs ran within each window.
func playQuota(w *world, trouble bool) (string, error) {
	zones := ctviZones
	for i := range 7 {
		s := leafSettings{id: fmt.Sprintf("i-planejamento-%d", i), service: "planejamento", zone: zones[i%3], slots: 4, queue: 16, work: 5 * time.Millisecond, bytes: 400}
		if _, err := w.startLeaf(s); err != nil {
			return "", err
		}
	}
	cfg := config(1, []map[string]any{orderRoute("safe", "planejamento")}, []map[string]any{service("planejamento", 560)})
	cfg["tenants"] = []map[string]any{{"name": "mill", "api_keys": []string{"k-mill"}, "prio": 1, "rate_per_s": quotaRate, "burst_size": quotaBurst}}
	if _, err := w.store.put("op/config", cfg); err != nil {
		return "", err
	}
	gateways, err := w.startGateways(zones, 6, ctviSettings())
	if err != nil {
		return "", err
	}
	time.Sleep(12 * time.Second) // the full burst has accrued
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent atomic.Int64
	for c := range quotaClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(quotaPace):
				}
				tries := 1
				if c%10 < abusers {
					tries += quotaRepeats
				}
				for i := range tries {
					id := fmt.Sprintf("q%06d", sent.Add(1))
					g := gateways[(c+i)%len(gateways)]
					a := w.ask(g, request{http.MethodGet, orderPath + "x", id, map[string]string{"Api-Key": "k-mill"}, nil, time.Second})
					if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
						break
					}
				}
			}
		})
	}
	time.Sleep(quotaLead)
	w.log("%d requests have run", len(w.allRuns()))
	if trouble {
		err = killAll(gateways)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	if err != nil {
		return "", err
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	runs := w.allRuns()
	most, first := 0, 0
	for i := range runs {
		w.log("run %s by %s for %s at %.3f", runs[i].id, runs[i].leaf, runs[i].tenant, runs[i].at.Sub(w.began).Seconds())
		for runs[i].at.Sub(runs[first].at) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	w.log("%d sent, %d run, at most %d within %v; the limit is %.0f", sent.Load(), len(runs), most, quotaWindow, limit)
	if float64(most) > limit {
		return fmt.Sprintf("QUOTA: %d requests of the tenant ran within %v, the limit is %.0f", most, quotaWindow, limit), nil
	}
	return "", nil
}

// killAll kills all processes at the same moment and starts them again.
func killAll(gateways []*gateway) error {
	for _, g := range gateways {
		if err := g.writeSettings(gateways, false, ctviSettings()); err != nil {
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
