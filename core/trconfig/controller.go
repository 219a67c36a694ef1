package trconfig

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Controller holds the policy in force. The zero value is ready to use and holds
// none. Reads take no lock.
type Controller struct {
	current atomic.Pointer[Policy]

	mu          sync.Mutex
	confirmed   time.Time // last Confirm, zero if none
	older       uint64
	faulty      uint64
	lastFault   string
	subscribers []*subscriber
	delivering  bool // a goroutine is in deliver
}

type subscriber struct {
	f       func(*Policy)
	seen    *Policy // last one delivered
	stopped bool
}

// Status describes the configuration in force.
type Status struct {
	Revision  uint64 `json:"Revision"`            // 0 if there is none
	AgeMs     int64  `json:"AgeMs"`               // time since a source last confirmed the revision then in force, -1 if none did
	Rejected  uint64 `json:"Rejected"`            // Older plus Faulty
	Older     uint64 `json:"Older"`               // documents offered with a lower revision
	Faulty    uint64 `json:"Faulty"`              // documents offered that were invalid
	LastFault string `json:"LastFault,omitempty"` // why the last faulty document was rejected
}

// Current returns the policy in force, or nil before the first.
func (c *Controller) Current() *Policy { return c.current.Load() }

// Adopt puts doc in force if its revision is higher than the one in force and
// the document has no fault. Otherwise the policy in force stays. The error tells
// the fault; an older document or the present one is no error. A document that
// has the present revision but another ChangeID is a fault, because a revision
// is written once.
func (c *Controller) Adopt(doc *Document) (adopted bool, err error) {
	if settled, err := c.settled(doc); settled {
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
// counts as faulty.
func (c *Controller) AdoptEncoded(data []byte) (adopted bool, err error) {
	doc, err := Decode(data)
	if err != nil {
		return false, c.reject(err)
	}
	return c.Adopt(doc)
}

// settled reports whether doc needs no compilation, and counts an older one.
func (c *Controller) settled(doc *Document) (bool, error) {
	present := c.current.Load()
	switch {
	case present == nil || doc.Revision > present.Revision():
		return false, nil
	case doc.Revision == present.Revision() && doc.ChangeID == present.ChangeID():
		return true, nil
	case doc.Revision == present.Revision():
		return true, c.reject(errors.Errorf("revision %d has change %q, the one in force has %q",
			doc.Revision, doc.ChangeID, present.ChangeID()))
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
	if present := c.current.Load(); present != nil && p.Revision() <= present.Revision() {
		return false // another goroutine was faster
	}
	c.current.Store(p)
	return true
}

// Confirm notes that a source had the revision in force as its newest at now.
func (c *Controller) Confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.confirmed) {
		c.confirmed = now
	}
}

// Status returns the state of the configuration at now.
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
	if !c.confirmed.IsZero() {
		s.AgeMs = now.Sub(c.confirmed).Milliseconds()
	}
	return s
}

// Subscribe calls f with the policy in force, if there is one, and with every
// later one in order of revision. A policy that is replaced before its turn is
// skipped. Calls of f never overlap and come from the goroutine of some Adopt or
// Subscribe; f may call the controller. A call that has begun when stop is called
// is not waited for.
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

// deliver calls the subscribers that have not seen the policy in force. One
// goroutine at a time does so, without holding the lock during the calls.
func (c *Controller) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		return // the other goroutine looks again before it ends
	}
	c.delivering = true
	defer func() { c.delivering = false }()
	for {
		p := c.current.Load()
		s := c.nextSubscriber(p)
		if s == nil {
			return
		}
		s.seen = p
		c.mu.Unlock()
		s.f(p)
		c.mu.Lock()
	}
}

func (c *Controller) nextSubscriber(p *Policy) *subscriber {
	for _, s := range c.subscribers {
		if s.seen != p && !s.stopped {
			return s
		}
	}
	return nil
}
