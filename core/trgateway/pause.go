package trgateway

import (
	"sync"
	"time"

	"tanagerrock/core/trdirectory"
)

const (
	// MaxPause limits the pause that an upstream may ask for.
	MaxPause = 2 * time.Minute
	// At the end of a pause, requests resume over pauseSpreadShare of its length, but
	// at most maxPauseSpread, so that the instances that were refused at the same time
	// do not return to the upstream together.
	pauseSpreadShare = 0.25
	maxPauseSpread   = 500 * time.Millisecond
)

// Pauses holds the upstreams that have refused a request and asked this instance for a
// pause. They get no requests until it ends. This load is an upstream with few slots
// that many instances ask at once. The zero value is empty. Its methods are safe for
// concurrent use.
type Pauses struct {
	mu    sync.RWMutex
	until map[trdirectory.UpstreamKey]time.Time
}

// Add starts a pause of length d, at most MaxPause, and returns its end. An earlier
// pause that ends later stays in force. spread, from 0 to 1, selects the additional
// time of this instance.
func (p *Pauses) Add(key trdirectory.UpstreamKey, d time.Duration, spread float64, now time.Time) time.Time {
	d = min(d, MaxPause)
	d += time.Duration(spread * min(pauseSpreadShare*float64(d), float64(maxPauseSpread)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = make(map[trdirectory.UpstreamKey]time.Time)
	}
	end := now.Add(d)
	if end.Before(p.until[key]) {
		end = p.until[key]
	}
	p.until[key] = end
	return end
}

// Until returns the end of the pause of an upstream, zero if it is not paused.
func (p *Pauses) Until(key trdirectory.UpstreamKey, now time.Time) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	end, ok := p.until[key]
	if !ok || !now.Before(end) {
		return time.Time{}
	}
	return end
}

// Len returns the number of upstreams that were paused since the last Prune.
func (p *Pauses) Len() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.until)
}

// Prune removes pauses that have ended.
func (p *Pauses) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, end := range p.until {
		if !now.Before(end) {
			delete(p.until, key)
		}
	}
}
