package trmember

import (
	"sync"
	"time"
)

// maxDriftPPM is the assumed limit of the drift between the local monotonic clock and
// the store's clock, in parts per million.
const maxDriftPPM = 200

// clockRounding is the rounding error of a time in whole milliseconds.
const clockRounding = time.Millisecond

// StoreClock estimates the time of the platform's store. The zero value has no
// estimate and is ready to use.
type StoreClock struct {
	mu             sync.Mutex
	sample         clockSample
	ok             bool
	contradictions uint64
}

type clockSample struct {
	store       time.Time
	local       time.Time // when store was read, on the local monotonic clock
	uncertainty time.Duration
}

// at returns the estimate for a local time and its uncertainty.
func (s clockSample) at(now time.Time) (time.Time, time.Duration) {
	age := now.Sub(s.local)
	return s.store.Add(age), s.uncertainty + age.Abs()*maxDriftPPM/1_000_000
}

// Observe adds a sample of the store's time from the reply to a call that was sent
// and received at the given local times.
func (c *StoreClock) Observe(store, sent, received time.Time) {
	halfRTT := received.Sub(sent) / 2
	if halfRTT < 0 {
		return
	}
	s := clockSample{store, sent.Add(halfRTT), halfRTT + clockRounding}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ok && !c.overlaps(s, received) {
		// The local clock was suspended or the store's clock was set, so the older
		// sample is wrong regardless of its uncertainty.
		c.contradictions++
		c.sample = s
		return
	}
	c.keepMoreAccurate(s, received)
}

// ObservePeer adds a peer's estimate from the reply to a message that was sent and
// received at the given local times. An estimate that contradicts the one held
// increases the uncertainty, since either may be wrong.
func (c *StoreClock) ObservePeer(estimateMs, uncertaintyMs int64, sent, received time.Time) {
	halfRTT := received.Sub(sent) / 2
	if halfRTT < 0 || estimateMs <= 0 || uncertaintyMs < 0 {
		return
	}
	unc := time.Duration(uncertaintyMs)*time.Millisecond + halfRTT + clockRounding
	s := clockSample{time.UnixMilli(estimateMs), sent.Add(halfRTT), unc}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ok && !c.overlaps(s, received) {
		c.contradictions++
		own, _ := c.sample.at(s.local)
		c.sample.uncertainty += own.Sub(s.store).Abs() + unc
		return
	}
	c.keepMoreAccurate(s, received)
}

func (c *StoreClock) overlaps(s clockSample, now time.Time) bool {
	a, ua := c.sample.at(now)
	b, ub := s.at(now)
	return a.Sub(b).Abs() <= ua+ub
}

func (c *StoreClock) keepMoreAccurate(s clockSample, now time.Time) {
	_, held := c.sample.at(now)
	_, offered := s.at(now)
	if !c.ok || offered <= held {
		c.sample, c.ok = s, true
	}
}

// Estimate returns the store's time at the local time now and the maximum error of
// the estimate. ok is false before the first sample.
func (c *StoreClock) Estimate(now time.Time) (t time.Time, uncertainty time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ok {
		return time.Time{}, 0, false
	}
	t, uncertainty = c.sample.at(now)
	return t, uncertainty, true
}

// Contradictions returns how many samples contradicted the estimate.
func (c *StoreClock) Contradictions() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contradictions
}

// estimateMs returns the estimate in whole milliseconds, or zeros if there is none.
// It may be called on a nil pointer.
func (c *StoreClock) estimateMs(now time.Time) (ms, uncertaintyMs int64) {
	if c == nil {
		return 0, 0
	}
	t, unc, ok := c.Estimate(now)
	if !ok {
		return 0, 0
	}
	return t.UnixMilli(), int64((unc + time.Millisecond - 1) / time.Millisecond)
}
