package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// The quota of each account, as in the wire example of demands/, and the bounds of the rule.
const (
	quotaRate    = 18.0
	quotaBurst   = 18.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// restartBurst is the burst of each account in playRestart.
	restartBurst = 200.0
)

const (
	quotaAccounts = 6
	// callersOfAccount is the number of callers of each account at each machine.
	callersOfAccount = 2
)

// addQuotaWorld adds three machines in three zones, a service with six leafs, and the accounts.
func (w *world) addQuotaWorld(burst float64) {
	params := map[string]any{"QuotaWindowMs": quotaWindow.Milliseconds(), "QuotaOverage": quotaOverage, "QuotaSlack": quotaSlack}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w.addGateway("front-"+zone+"-1", zone, params)
		for k := range 2 {
			newLeaf(w, fmt.Sprintf("i-%d%d", i, k), "ledger", zone).register()
		}
	}
	var tenants []any
	for i := range quotaAccounts {
		tenants = append(tenants, map[string]any{
			"name": accountName(i), "api_keys": []string{"key-of-" + accountName(i)}, "prio": 1, "rate_per_s": quotaRate, "burst_size": burst,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-ledger", "hostname": "search.example", "prefix": "/ledger/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 800,
			"prio": 1, "service": "ledger", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 480, "warmup_s": 3.0, "warmup_per_s": 0.0}},
		"tenants":  tenants,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func accountName(i int) string { return fmt.Sprintf("acme-%d", i) }

// Doses of playQuota.
const (
	darkTime = 3500 * time.Millisecond // for_s of node_kill
	calmTime = 9 * time.Second         // between two kills
)

// playQuota kills one machine after the other while accounts send more than their quotas. Each is
// dark for a while and then starts again.
func playQuota(w *world) {
	w.playQuotas(quotaBurst, func() {
		time.Sleep(6 * time.Second)
		for _, g := range w.gateways {
			if w.trouble {
				w.kill(g)
				w.log("%s was killed", g.name)
			}
			time.Sleep(darkTime)
			if w.trouble {
				w.start(g)
				w.log("%s was started again", g.name)
			}
			time.Sleep(calmTime)
		}
	})
}

// playQuotas lets accounts send more than their quotas while trouble runs, and judges.
func (w *world) playQuotas(burst float64, trouble func()) {
	w.addQuotaWorld(burst)
	w.startAll()
	w.awaitReady()
	time.Sleep(15 * time.Second) // the fleet is settled, the accounts are idle
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range quotaAccounts {
		for _, g := range w.gateways {
			for range callersOfAccount {
				wg.Go(func() { w.press(g, "key-of-"+accountName(i), stop) })
			}
		}
	}
	w.log("the accounts begin to send more than their quotas")
	trouble()
	close(stop)
	wg.Wait()
	w.judgeQuotas((quotaRate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack)
}

// playRestart kills all processes at the same moment, right after accounts have used their bursts.
func playRestart(w *world) {
	w.playQuotas(restartBurst, func() {
		time.Sleep(time.Second)
		if w.trouble {
			for _, g := range w.gateways {
				check(g.cmd.Process.Kill())
			}
			for _, g := range w.gateways {
				w.kill(g)
			}
			w.log("all processes were killed")
			time.Sleep(500 * time.Millisecond)
			w.startAll()
			w.log("all processes were started again")
		}
		time.Sleep(6 * time.Second)
	})
}

// judgeQuotas compares the requests of each account in any window with the bound, and ends.
func (w *world) judgeQuotas(bound float64) {
	worst := 0
	for i := range quotaAccounts {
		most, at := w.mostInWindow(accountName(i))
		w.log("account %s: at most %d requests ran within %v, from %.3f s on; bound %.1f", accountName(i), most, quotaWindow, at.Sub(w.started).Seconds(), bound)
		worst = max(worst, most)
	}
	w.finish(float64(worst) > bound, fmt.Sprintf("most requests of an account that ran within %v: %d, bound %.1f", quotaWindow, worst, bound))
}

// press sends requests of an account one after the other, and waits a little after refusals.
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
