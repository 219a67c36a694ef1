package trserver

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// Guards against a release while requests of peers run, and against held orders
// that run at an instance that could not release its index.
func TestHandover(t *testing.T) {
	for _, released := range []bool{true, false} {
		var h handover
		leave, refusal := h.enter(t.Context(), trwire.Execute)
		assert.Assert(t, refusal == nil)
		ended, end := context.WithCancel(t.Context())
		end()
		assert.ErrorIs(t, h.hold(ended), context.Canceled) // one request runs
		entered := make(chan *trwire.Refusal)
		go func() {
			_, refusal := h.enter(context.Background(), trwire.Execute)
			entered <- refusal
		}()
		select {
		case <-entered:
			t.Fatal("a request passed while requests are held")
		default:
		}
		leave()
		select {
		case <-h.idle:
		default:
			t.Fatal("the end of the last request is not noticed")
		}
		h.resume(released)
		refusal = <-entered
		assert.Equal(t, refusal == nil, released)
		if refusal != nil {
			assert.Equal(t, refusal.Kind, trwire.OutcomeUnknown)
		}
	}
}
