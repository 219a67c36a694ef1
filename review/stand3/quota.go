package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// The quota of the account, and the bounds of the rule as at ctvi-malha-grown.
const (
	quotaRate    = 60.0
	quotaBurst   = 60.0 // as much as the rate, as in the example of fleetbench wire
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	quotaBound   = (quotaRate*5+quotaBurst)*(1+quotaOverage) + quotaSlack
)

// Doses of the disruptions.
const (
	usualRate  = quotaRate / 1.6 // quota_x of the site
	hotFactor  = 7.5             // x of hot_tenant
	hotTime    = 6500 * time.Millisecond
	hotLead    = 700 * time.Millisecond  // from the begin of hot_tenant to the kill
	darkTime   = 3500 * time.Millisecond // for_s of node_kill
	calmTime   = 4 * time.Second
	killRounds = 9
)

const (
	quotaAccount = "acme-5" // the first machine is the owner of its slot
	quotaKey     = "key-of-acme-5"
)

// playQuota kills one machine of three while an account sends many times its usual, and starts it
// again, several times.
func playQuota(w *world) {
	params := map[string]any{"QuotaWindowMs": quotaWindow.Milliseconds(), "QuotaOverage": quotaOverage, "QuotaSlack": quotaSlack}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w.addGateway("front-"+zone+"-1", zone, params)
		for k := range 2 {
			newLeaf(w, fmt.Sprintf("i-%d%d", i, k), "ledger", zone).register()
		}
	}
	w.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-ledger", "hostname": "search.example", "prefix": "/ledger/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 800,
			"prio": 1, "service": "ledger", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 480, "warmup_s": 3.0, "warmup_per_s": 0.0}},
		"tenants": []any{map[string]any{
			"name": quotaAccount, "api_keys": []string{quotaKey}, "prio": 1, "rate_per_s": quotaRate, "burst_size": quotaBurst,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.startAll()
	w.awaitReady()
	time.Sleep(10 * time.Second) // the fleet is settled, the account is idle
	victim := w.gateways[0]
	for range killRounds {
		w.log("the account sends %.1f requests a second", hotFactor*usualRate)
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.sendHot(hotTime)
		}()
		time.Sleep(hotLead)
		if w.trouble {
			w.kill(victim)
			w.log("%s was killed", victim.name)
			time.Sleep(darkTime)
			w.start(victim)
			w.log("%s was started again", victim.name)
		}
		<-done
		w.log("the account is idle")
		time.Sleep(calmTime)
	}

	most, at := w.mostInWindow(quotaAccount)
	verdict := fmt.Sprintf("most requests of the account that ran within %v: %d (from %.3f s on), bound %.1f", quotaWindow, most, at.Sub(w.started).Seconds(), quotaBound)
	w.finish(float64(most) > quotaBound, verdict)
}

// sendHot sends requests of the account to machines that take requests, at its hot rate.
func (w *world) sendHot(d time.Duration) {
	var wg sync.WaitGroup
	began := time.Now()
	perSecond := hotFactor * usualRate
	interval := time.Duration(float64(time.Second) / perSecond)
	for n := 0; time.Duration(n)*interval < d; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * interval)))
		wg.Go(func() {
			first := rand.IntN(len(w.gateways))
			for i := range w.gateways {
				// A machine that refuses the connection has read nothing: the client goes to another one.
				if w.request(w.gateways[(first+i)%len(w.gateways)], "/ledger/1", quotaKey) != 0 {
					return
				}
			}
		})
	}
	wg.Wait()
}

// press sends requests to a machine one after the other, and waits a little after refusals.
func (w *world) press(g *gateway, key string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if status := w.request(g, "/ledger/1", key); status != 200 {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// mostInWindow returns the most requests of an account that were both sent and ran within a window,
// and when that begins. A repeat of a request is no request of its own.
func (w *world) mostInWindow(account string) (most int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	type request struct{ sent, ran time.Time }
	var list []request
	seen := make(map[string]bool)
	for _, a := range w.arrivals {
		if a.tenant == account && !seen[a.id] {
			seen[a.id] = true
			list = append(list, request{w.sent[a.id], a.at})
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].sent.Before(list[k].sent) })
	for i := range list {
		end := list[i].sent.Add(quotaWindow)
		n := 0
		for _, r := range list[i:] {
			if !r.sent.Before(end) {
				break
			}
			if r.ran.Before(end) {
				n++
			}
		}
		if n > most {
			most, at = n, list[i].sent
		}
	}
	return most, at
}
