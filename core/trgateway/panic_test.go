package trgateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// Guards against a panic in an attempt or a probe that ends the process, and against a
// refusal that says that the request did not run.
func TestPanicInAttemptFailsOnlyItsRequest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var panicking atomic.Bool
		panicking.Store(true)
		f := newFixture(directory(1), func(context.Context, *trdirectory.Upstream) trgateway.Outcome {
			if panicking.Load() {
				panic("injected")
			}
			return ok("x")
		})
		f.sender.probe = func(context.Context, *trdirectory.Upstream) error {
			if panicking.Load() {
				panic("injected")
			}
			return nil
		}
		stop := f.StartProbes()
		defer stop()
		assert.Equal(t, f.get("/order/1").Status, http.StatusBadGateway)
		assert.Equal(t, f.get("/search/1").Status, http.StatusBadGateway)
		time.Sleep(5 * time.Second) // several rounds of probes
		panicking.Store(false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.get("/order/2").Status, 200)
	})
}
