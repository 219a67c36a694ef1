package main

import (
	"fmt"
	"time"
)

// Hosts and paths of the routes.
const (
	host       = "pupu76.example"
	gatherPath = "/ziti980/"
	orderPath  = "/timi402/"
)

// shardNames returns the names of n services that hold a shard each.
func shardNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("shard%02d", i+1)
	}
	return names
}

// service returns the entry of a service in a configuration.
func service(name string, conns int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": conns, "protocol": "h1", "tls": false,
		"warmup_s": 3.0, "warmup_per_s": 0.0,
	}
}

// limits are those of bertoldi-busca.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// gatherRoute returns a route to all shards, with the times of the class catalogo.
func gatherRoute(shards []string) map[string]any {
	return map[string]any{
		"name": "r-gather", "hostname": host, "prefix": gatherPath, "kind": "safe", "timeout_ms": 800, "slo_ms": 200, "prio": 1,
		"gather": shards, "max_attempts": 2, "top_k": 20, "min_share": 0.89,
	}
}

// orderRoute returns a route to one service, with the times of the class pedido.
func orderRoute(kind, to string) map[string]any {
	return map[string]any{
		"name": "r-order", "hostname": host, "prefix": orderPath, "kind": kind, "timeout_ms": 4000, "slo_ms": 600, "prio": 2,
		"service": to, "max_attempts": 2,
	}
}

// config returns a configuration.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits()}
}

// The bounds of quotas at ctvi-malha-grown.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// ctviSettings are the settings of the smallest machine of ctvi-malha-grown, the site whose client
// accounts have quotas.
func ctviSettings() map[string]any {
	return map[string]any{
		"MemoryMB": 184, "CoreShare": 0.192, "RepeatSlack": 206, "ApplyMs": 5000, "DrainMs": 5000,
		"QuotaWindowMs": quotaWindow.Milliseconds(), "QuotaOverage": quotaOverage, "QuotaSlack": quotaSlack,
	}
}

// ctviZones are the zones of that site.
var ctviZones = []string{"zona-blumenau", "zona-brusque", "zona-gaspar"}
