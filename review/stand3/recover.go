package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Times of playRecover.
const (
	downTime    = 600 * time.Millisecond // down_s of kill_all
	recoverTime = 12 * time.Second       // recover_s
	judgedTime  = 12 * time.Second
	leastShare  = 0.25 // of the requests that must be served
)

const recoverAccount = "acme"

// playRecover takes the three seed machines of six away for good and kills the other three at the
// same moment. These start again with the settings of before, which are corrected after seedLag.
// With RIGHT_SEEDS=1 their settings are right from the start.
func playRecover(w *world) {
	params := map[string]any{"QuotaWindowMs": quotaWindow.Milliseconds(), "QuotaOverage": quotaOverage, "QuotaSlack": quotaSlack}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"} {
		w.addGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, params)
		newLeaf(w, fmt.Sprintf("i-%d", i), "ledger", zone).register()
	}
	w.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-ledger", "hostname": "search.example", "prefix": "/ledger/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 800,
			"prio": 1, "service": "ledger", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 480, "warmup_s": 3.0, "warmup_per_s": 0.0}},
		"tenants": []any{map[string]any{
			"name": recoverAccount, "api_keys": []string{"key-of-acme"}, "prio": 1, "rate_per_s": 300.0, "burst_size": 300.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.startAll()
	w.awaitReady()
	time.Sleep(8 * time.Second)
	seeds, rest := w.gateways[:3], w.gateways[3:]
	before := w.served(rest, 5*time.Second)
	w.log("before: %.3f of the requests are served", before)
	if w.trouble {
		for _, g := range w.gateways {
			check(g.cmd.Process.Kill())
		}
		for _, g := range w.gateways {
			w.kill(g)
		}
		w.log("all processes were killed; %s, %s and %s are gone for good", seeds[0].name, seeds[1].name, seeds[2].name)
		time.Sleep(downTime)
		stale := w.seeds()
		var right []string
		for _, g := range rest {
			right = append(right, g.peers)
		}
		if os.Getenv("RIGHT_SEEDS") == "1" {
			stale = right
		}
		for _, g := range rest {
			g.settings["FirstStart"] = false
			w.startWith(g, stale)
			w.log("%s was started again with the seeds %v", g.name, stale)
		}
		time.Sleep(seedLag)
		for _, g := range rest {
			w.correctSeeds(g, right)
		}
	}
	time.Sleep(recoverTime)
	for _, g := range rest {
		w.log("%s says that it is ready: %v", g.name, g.isReady())
	}
	after := w.served(rest, judgedTime)
	verdict := fmt.Sprintf("served later than %v after the machines were back: %.3f of the requests, at least %.2f (%.3f before)", recoverTime, after, leastShare, before)
	w.finish(before >= leastShare && after < leastShare, verdict)
}

// served sends requests of the account to some machines for a while and returns the share of
// those that were answered with success.
func (w *world) served(machines []*gateway, d time.Duration) float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ok, all := 0, 0
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			status := w.request(machines[n%len(machines)], "/ledger/1", "key-of-acme")
			mu.Lock()
			defer mu.Unlock()
			all++
			if status == 200 {
				ok++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return float64(ok) / float64(max(all, 1))
}
