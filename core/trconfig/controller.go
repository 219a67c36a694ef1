package trconfig

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Controller holds the current policy. The zero value is ready to use and has no
// policy. It is safe for concurrent use, and Current takes no lock.
type Controller struct {
	current atomic.Pointer[Policy]

	mu            sync.Mutex
	lastConfirmed time.Time // time of the last Confirm, zero if none
	older         uint64
	faulty        uint64
	lastFault     string
	subscribers   []*subscriber
	delivering    bool // a goroutine is in deliver
}

type subscriber struct {
	f         func(*Policy)
	delivered *Policy // last policy that f was called with
	stopped   bool
}

// Status describes the current configuration.
type Status struct {
	Revision  uint64 `json:"Revision"`            // 0 without a configuration
	AgeMs     int64  `json:"AgeMs"`               // time since the last Confirm, -1 if there was none
	Rejected  uint64 `json:"Rejected"`            // Older plus Faulty
	Older     uint64 `json:"Older"`               // documents rejected for a lower revision
	Faulty    uint64 `json:"Faulty"`              // documents rejected as invalid
	LastFault string `json:"LastFault,omitempty"` // why the last faulty document was rejected
}

// Current returns the current policy, or nil if none has been adopted.
func (c *Controller) Current() *Policy { return c.current.Load() }

// Adopt makes doc the current configuration if it is valid and its revision is
// higher than the current one. Otherwise the current policy remains. It returns an
// error for an invalid document, but not for an older one or the current one. A
// document with the current revision but another ChangeID is invalid, because each
// revision is written only once.
func (c *Controller) Adopt(doc *Document) (adopted bool, err error) {
	if notNewer, err := c.notNewer(doc); notNewer {
		return false, err
	}
	p, err := Compile(doc)
	if err != nil {
		return false, c.reject(err)
	}
	if !c.replace(p) {
		return false, nil
	}
	c.deliver()
	return true, nil
}

// AdoptEncoded decodes data and adopts the document. Data that cannot be decoded
// counts as a faulty document.
func (c *Controller) AdoptEncoded(data []byte) (adopted bool, err error) {
	doc, err := Decode(data)
	if err != nil {
		return false, c.reject(err)
	}
	return c.Adopt(doc)
}

// notNewer reports whether doc is not newer than the current document, so that it
// need not be compiled. It counts older documents, and rejects one with the current
// revision but another ChangeID.
func (c *Controller) notNewer(doc *Document) (bool, error) {
	current := c.current.Load()
	switch {
	case current == nil || doc.Revision > current.Revision():
		return false, nil
	case doc.Revision == current.Revision() && doc.ChangeID == current.ChangeID():
		return true, nil
	case doc.Revision == current.Revision():
		return true, c.reject(errors.Errorf("revision %d has ChangeID %q, but the current configuration has %q",
			doc.Revision, doc.ChangeID, current.ChangeID()))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.older++
	return true, nil
}

func (c *Controller) reject(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faulty++
	c.lastFault = err.Error()
	return err
}

func (c *Controller) replace(p *Policy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.current.Load(); current != nil && p.Revision() <= current.Revision() {
		return false // another goroutine has adopted a newer one
	}
	c.current.Store(p)
	return true
}

// Confirm records that at time now the current revision was the newest known to the
// store or to an instance that reaches the store.
func (c *Controller) Confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.lastConfirmed) {
		c.lastConfirmed = now
	}
}

// Status returns the status of the configuration at time now.
func (c *Controller) Status(now time.Time) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		AgeMs:     -1,
		Rejected:  c.older + c.faulty,
		Older:     c.older,
		Faulty:    c.faulty,
		LastFault: c.lastFault,
	}
	if p := c.current.Load(); p != nil {
		s.Revision = p.Revision()
	}
	if !c.lastConfirmed.IsZero() {
		s.AgeMs = now.Sub(c.lastConfirmed).Milliseconds()
	}
	return s
}

// Subscribe calls f with the current policy, if any, and with every later one in
// order of revision. A policy that is replaced before f could be called with it is
// skipped. Calls of f do not overlap. They are made by goroutines that call Adopt
// or Subscribe, and f may call methods of the controller. The returned stop
// function does not wait for a running call of f.
func (c *Controller) Subscribe(f func(*Policy)) (stop func()) {
	s := &subscriber{f: f}
	c.mu.Lock()
	c.subscribers = append(c.subscribers, s)
	c.mu.Unlock()
	c.deliver()
	return func() { c.unsubscribe(s) }
}

func (c *Controller) unsubscribe(s *subscriber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.stopped = true
	kept := c.subscribers[:0:0]
	for _, other := range c.subscribers {
		if other != s {
			kept = append(kept, other)
		}
	}
	c.subscribers = kept
}

// deliver calls the subscribers that have not received the current policy. Only
// one goroutine delivers at a time. It does not hold the lock during the calls.
func (c *Controller) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		return // the delivering goroutine checks for a newer policy before it returns
	}
	c.delivering = true
	defer func() { c.delivering = false }()
	for {
		p := c.current.Load()
		s := c.nextSubscriber(p)
		if s == nil {
			return
		}
		s.delivered = p
		c.mu.Unlock()
		s.f(p)
		c.mu.Lock()
	}
}

func (c *Controller) nextSubscriber(p *Policy) *subscriber {
	for _, s := range c.subscribers {
		if s.delivered != p && !s.stopped {
			return s
		}
	}
	return nil
}
