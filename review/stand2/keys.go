package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

func init() { cases["keys"] = playKeys }

const (
	tenantCount = 84 // as on the sheet of ctvi-malha-grown
	usualKeys   = 2  // of a tenant, as in the example of its messages
	// manyKeys is the number of all keys of the large configuration. It has some 767,000 bytes,
	// and a value of the store may have 1,048,576.
	manyKeys  = 40000
	keyBytes  = 16
	applyTime = 5 * time.Second // config_apply_ms
)

// newTenants returns client accounts with n keys in all.
func newTenants(n int) []map[string]any {
	rnd := rand.New(rand.NewSource(1))
	list := make([]map[string]any, tenantCount)
	for i := range list {
		keys := []string{}
		for k := i; k < n; k += tenantCount {
			key := make([]byte, keyBytes)
			for j := range key {
				key[j] = "abcdefghijklmnopqrstuvwxyz0123456789"[rnd.Intn(36)]
			}
			keys = append(keys, string(key))
		}
		list[i] = map[string]any{"name": fmt.Sprintf("mill%02d", i), "api_keys": keys, "prio": 1, "rate_per_s": 100, "burst_size": 100}
	}
	return list
}

// playKeys changes a configuration with many keys: version 2 moves the route to another service
// and withdraws a key. Without the disruption, the configuration has few keys.
func playKeys(w *world, trouble bool) (string, error) {
	zones := ctviZones
	for _, name := range []string{"planejamento", "cobranca"} {
		for _, zone := range zones {
			s := leafSettings{id: "i-" + name + "-" + zone, service: name, zone: zone, slots: 4, queue: 12, work: 5 * time.Millisecond, bytes: 400}
			if _, err := w.startLeaf(s); err != nil {
				return "", err
			}
		}
	}
	services := []map[string]any{service("planejamento", 560), service("cobranca", 560)}
	n := tenantCount * usualKeys
	if trouble {
		n = manyKeys
	}
	tenants := newTenants(n)
	keys := tenants[0]["api_keys"].([]string)
	withdrawn, kept := keys[0], keys[1]
	put := func(version int, to string) error {
		cfg := config(version, []map[string]any{orderRoute("safe", to)}, services)
		cfg["tenants"] = tenants
		size, err := w.store.put("op/config", cfg)
		w.log("version %d, of %d bytes, is acknowledged", version, size)
		return err
	}
	if err := put(1, "planejamento"); err != nil {
		return "", err
	}
	gateways, err := w.startGateways(zones, 6, ctviSettings())
	if err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second) // the machines are in touch
	tenants[0]["api_keys"] = keys[1:]
	if err := put(2, "cobranca"); err != nil {
		return "", err
	}
	time.Sleep(applyTime + time.Second)
	old := make(map[string]int)
	for i := range 5 {
		for _, g := range gateways {
			id := fmt.Sprintf("%s-%d", g.name, i)
			w.ask(g, request{http.MethodGet, orderPath + "x", id, map[string]string{"Api-Key": kept}, nil, time.Second})
			w.ask(g, request{http.MethodGet, orderPath + "x", id + "-withdrawn", map[string]string{"Api-Key": withdrawn}, nil, time.Second})
			for _, r := range w.allRuns() {
				if r.id == id && r.service == "planejamento" || r.id == id+"-withdrawn" {
					w.log("%s handled %s as only version 1 allows: %s ran it for %s", g.name, r.id, r.leaf, r.tenant)
					old[g.name]++
				}
			}
		}
		time.Sleep(2 * time.Second)
	}
	if len(old) > 0 {
		return fmt.Sprintf("CONFIG: from %v after the acknowledgement of version 2, requests were handled as only version 1 allows, by gateway: %v", applyTime+time.Second, old), nil
	}
	return "", nil
}
