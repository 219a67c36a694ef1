// Package trvars serves the metrics of an instance over HTTP.
//
// # Usage
//
//	mux.Handle("GET /debug/vars", trvars.Handler(metrics))
package trvars

import (
	"net/http"

	"tanagerrock/core/trmetric"
)

// Handler serves the JSON form of a registry, with the process variables cmdline and
// memstats of package expvar.
func Handler(r *trmetric.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_ = r.Encode(w) // an error means that the client has disconnected
	})
}
