package trclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// divergenceThreshold is the change of the difference between the time of day and the
// monotonic clock from which a suspension is suspected. Small changes come from the
// adjustment of the time of day.
const divergenceThreshold = 10 * time.Millisecond

// systemClock is the clock of the operating system. It reads the monotonic clock, which
// is cheap, and adds the time for which the machine was suspended. As a suspension
// shows in the time of day but not in the monotonic clock, CLOCK_BOOTTIME, which
// counts it, is read only when the two diverge.
type systemClock struct {
	source timeSource
	base   reading       // when the clock was created
	boot   time.Duration // since the boot, when the clock was created

	divergence atomic.Int64 // of the time of day from the monotonic clock since base, as of the last check
	suspended  atomic.Int64 // time since base for which the machine was suspended

	mu     sync.Mutex
	timers map[*systemTimer]struct{} // that have not fired
}

// System returns a clock of the operating system.
func System() Clock { return newSystemClock(systemSource{}) }

func newSystemClock(source timeSource) *systemClock {
	return &systemClock{
		source: source,
		base:   source.read(),
		boot:   source.boot(),
		timers: make(map[*systemTimer]struct{}),
	}
}

// reading holds the time of day and the monotonic time since some moment.
type reading struct {
	wall      time.Time // without a monotonic reading
	monotonic time.Duration
}

// timeSource reads the clocks of the operating system.
type timeSource interface {
	read() reading
	// boot returns the time since the boot, including suspensions. It is 0 if the
	// operating system does not provide it.
	boot() time.Duration
}

type systemSource struct{}

// processStart is the moment from which systemSource measures monotonic time.
var processStart = time.Now()

func (systemSource) read() reading {
	now := time.Now()
	return reading{wall: now.Round(0), monotonic: now.Sub(processStart)}
}

func (systemSource) boot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0 // suspensions are not counted
	}
	return time.Duration(ts.Nano())
}

// Now implements Clock.
func (c *systemClock) Now() time.Time { return c.base.wall.Add(c.elapsed()) }

// elapsed returns the time since the clock was created, including suspensions.
func (c *systemClock) elapsed() time.Duration {
	now := c.source.read()
	monotonic := now.monotonic - c.base.monotonic
	divergence := now.wall.Sub(c.base.wall) - monotonic
	last := c.divergence.Load()
	if change := divergence - time.Duration(last); change > divergenceThreshold || change < -divergenceThreshold {
		if c.divergence.CompareAndSwap(last, int64(divergence)) {
			c.measureSuspension(monotonic)
		}
	}
	return monotonic + time.Duration(c.suspended.Load())
}

// measureSuspension updates the time for which the machine was suspended, and fires the
// timers that are due because of it.
func (c *systemClock) measureSuspension(monotonic time.Duration) {
	boot := c.source.boot()
	if boot == 0 {
		return
	}
	suspended := int64(boot - c.boot - monotonic)
	before := c.suspended.Load()
	if time.Duration(suspended-before) < divergenceThreshold || !c.suspended.CompareAndSwap(before, suspended) {
		return // the time of day was set, or another goroutine has measured
	}
	now := monotonic + time.Duration(suspended)
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range c.timers {
		t.timer.Reset(max(t.due-now, 0))
	}
}

// systemTimer is a timer of a systemClock.
type systemTimer struct {
	due   time.Duration // as returned by elapsed
	timer *time.Timer
}

// After implements Clock.
func (c *systemClock) After(delay time.Duration, f func(now time.Time)) func() {
	return c.at(c.elapsed()+delay, delay, f)
}

// at calls f at the elapsed time due, which is delay from now.
func (c *systemClock) at(due, delay time.Duration, f func(now time.Time)) func() {
	t := &systemTimer{due: due}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers[t] = struct{}{}
	t.timer = time.AfterFunc(delay, func() {
		if c.remove(t) {
			f(c.Now())
		}
	})
	return func() { c.remove(t) }
}

// remove removes a timer and reports whether it had neither fired nor been stopped.
func (c *systemClock) remove(t *systemTimer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, pending := c.timers[t]
	delete(c.timers, t)
	t.timer.Stop()
	return pending
}

// Every implements Clock.
func (c *systemClock) Every(period time.Duration, f func(now time.Time)) func() {
	if period <= 0 {
		panic("trclock: period is not positive")
	}
	var mu sync.Mutex
	var stopTimer func()
	stopped := false
	due := c.elapsed() + period
	// schedule sets the timer for due. The caller holds mu.
	var schedule func()
	schedule = func() {
		stopTimer = c.at(due, due-c.elapsed(), func(now time.Time) {
			f(now)
			mu.Lock()
			defer mu.Unlock()
			if stopped {
				return
			}
			due += period
			if late := c.elapsed() - due; late > 0 {
				due += (late/period + 1) * period // skip calls that were missed
			}
			schedule()
		})
	}
	mu.Lock()
	defer mu.Unlock()
	schedule()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		stopTimer()
	}
}
