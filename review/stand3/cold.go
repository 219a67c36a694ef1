package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// What a cold leaf bears, and the bounds of the rule FAILBACK as at the small sites.
const (
	coldRate    = 4.0 // warmup_per_s
	coldOverage = 1.5
	coldSlack   = 5.0
	coldTime    = 15 * time.Second // warmup_s
	addedCount  = 3                // spare machines of kws-tanager
	seedLag     = 3 * time.Second  // seed_lag_s
)

// playCold adds the spare machines of a deployment with stale seed addresses, and corrects their
// settings after seedLag. Later the leaf of a service comes back cold.
func playCold(w *world) {
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}
	for i, zone := range zones {
		w.addGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, nil)
	}
	w.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-ledger", "hostname": "search.example", "prefix": "/ledger/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 800,
			"prio": 1, "service": "ledger", "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "ledger", "health_path": "/healthz", "max_conns": 480, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.startAll()
	time.Sleep(6 * time.Second)
	right := w.seeds()
	seeds := append([]string(nil), right...)
	if w.trouble {
		for i := range seeds {
			seeds[i] = fmt.Sprintf("%s%d:8106", network, 200+i) // nobody has these addresses
		}
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"}[:addedCount] {
		g := w.addGateway(fmt.Sprintf("front-%s-added-%d", zone, i+1), zone, nil)
		g.settings["FirstStart"] = false
		w.startWith(g, seeds)
		w.log("%s is added with the seeds %v", g.name, seeds)
	}
	time.Sleep(seedLag)
	for _, g := range w.gateways[len(zones):] {
		w.correctSeeds(g, right)
	}
	time.Sleep(10 * time.Second)

	f := newLeaf(w, "i-cold", "ledger", "zone-a")
	born := time.Now()
	f.registerCold(born, coldTime)
	w.log("%s has started and is cold for %v", f.id, coldTime)
	w.awaitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		for range 3 {
			wg.Go(func() { w.press(g, "", stop) })
		}
	}
	for left := coldTime; left > 0; left = coldTime - time.Since(born) {
		f.registerCold(born, left)
		time.Sleep(1200 * time.Millisecond) // beat_interval_ms
	}
	close(stop)
	wg.Wait()

	most, at := w.mostInSecond(born.Add(coldTime - time.Second))
	bound := coldRate*coldOverage + coldSlack
	w.finish(float64(most) > bound, fmt.Sprintf("most requests that a cold leaf got within a second: %d (from %.3f s on), bound %.1f", most, at.Sub(w.started).Seconds(), bound))
}

// mostInSecond returns the most requests that were sent and arrived within a second, and when that
// begins. Seconds that begin later than last do not count.
func (w *world) mostInSecond(last time.Time) (most int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.arrivals
	sort.Slice(list, func(i, k int) bool { return list[i].at.Before(list[k].at) })
	for i := range list {
		began := w.sent[list[i].id]
		if began.After(last) {
			continue
		}
		n := 0
		for _, a := range list {
			if !w.sent[a.id].Before(began) && a.at.Before(began.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, at = n, began
		}
	}
	return most, at
}
