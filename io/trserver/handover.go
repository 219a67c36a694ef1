package trserver

import (
	"context"
	"sync"

	"tanagerrock/core/trwire"
)

// handover holds back the requests that peers forward while this instance releases
// its sender index. Without it, a request that arrives after the release, but before
// the peers have learned of it, would wait here for an index that this instance does
// not get back. The zero value lets requests pass.
type handover struct {
	mu      sync.Mutex
	running int // requests that entered and have not left
	// resumed is set by hold and closed by resume. It is nil while requests pass, but
	// is kept closed if the release failed.
	resumed       chan struct{}
	idle          chan struct{} // closed when the last running request leaves after hold
	releaseFailed bool          // the index could not be released
}

// enter waits while requests are held back. It refuses an execute request that was held
// back if ctx is done or the index could not be released. Otherwise the caller must call
// leave when the request has finished.
func (h *handover) enter(ctx context.Context, kind trwire.Kind) (leave func(), refusal *trwire.Refusal) {
	h.mu.Lock()
	if h.resumed == nil {
		h.running++
		h.mu.Unlock()
		return h.leave, nil
	}
	resumed := h.resumed
	h.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == trwire.Execute && (h.releaseFailed || ctx.Err() != nil) {
		// An earlier submission with the same request ID may have run here.
		return nil, trwire.Refuse(trwire.OutcomeUnknown, "the home of the identifier is leaving")
	}
	return func() {}, nil
}

func (h *handover) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if h.running == 0 && h.idle != nil {
		close(h.idle)
	}
}

// hold makes new requests wait and returns once the running ones have finished or ctx
// is done. The caller must call resume afterwards, also after an error.
func (h *handover) hold(ctx context.Context) error {
	h.mu.Lock()
	h.resumed = make(chan struct{})
	if h.running == 0 {
		h.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	h.idle = idle
	h.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// resume lets the waiting requests continue. If the index was released, they are
// forwarded to the new home of their request ID; otherwise execute requests are refused.
func (h *handover) resume(released bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releaseFailed = !released
	close(h.resumed)
	h.idle = nil
	if released {
		h.resumed = nil
	}
}
