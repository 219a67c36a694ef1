package trserver

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

// Guards against releasing the index while requests forwarded by peers are running, and
// against running execute requests that were held back by an instance that could not
// release its index.
func TestHandover(t *testing.T) {
	for _, released := range []bool{true, false} {
		var h handover
		leave, refusal := h.enter(t.Context(), trwire.Execute)
		assert.Assert(t, refusal == nil)
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, h.hold(canceled), context.Canceled) // one request is running
		entered := make(chan *trwire.Refusal)
		go func() {
			_, refusal := h.enter(context.Background(), trwire.Execute)
			entered <- refusal
		}()
		select {
		case <-entered:
			t.Fatal("a request entered while requests are held back")
		default:
		}
		leave()
		select {
		case <-h.idle:
		default:
			t.Fatal("idle is not closed after the last request has left")
		}
		h.resume(released)
		refusal = <-entered
		assert.Equal(t, refusal == nil, released)
		if refusal != nil {
			assert.Equal(t, refusal.Kind, trwire.OutcomeUnknown)
		}
	}
}
