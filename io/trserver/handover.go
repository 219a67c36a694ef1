package trserver

import (
	"context"
	"sync"

	"tanagerrock/core/trwire"
)

// handover holds the requests that peers forward while this instance gives up
// its sender index. Without it, a request that arrives after the index was given
// up and before the peers know would wait here for a right that never comes
// back. The zero value lets requests pass.
type handover struct {
	mu      sync.Mutex
	running int           // requests that passed and have not ended
	held    chan struct{} // nil until hold, closed by resume
	idle    chan struct{} // closed when no request is running after hold
	failed  bool          // the index could not be released
}

// enter waits while requests are held. The caller calls leave when the request
// has ended.
func (h *handover) enter(ctx context.Context, kind trwire.Kind) (leave func(), refusal *trwire.Refusal) {
	h.mu.Lock()
	if h.held == nil {
		h.running++
		h.mu.Unlock()
		return h.leave, nil
	}
	held := h.held
	h.mu.Unlock()
	select {
	case <-held:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == trwire.Execute && (h.failed || ctx.Err() != nil) {
		// An earlier submission of the identifier may have run here.
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

// hold holds new requests and waits until the running ones have ended or ctx
// ends. resume is called after it.
func (h *handover) hold(ctx context.Context) error {
	h.mu.Lock()
	h.held = make(chan struct{})
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

// resume lets held requests go on. They are forwarded to the new home of their
// identifier, unless the index was not released.
func (h *handover) resume(released bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = !released
	close(h.held)
	h.idle = nil
	if released {
		h.held = nil
	}
}
