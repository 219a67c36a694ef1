package trclock

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeSource simulates the clocks of a machine that is suspended or whose time of day is
// set.
type fakeSource struct {
	mu        sync.Mutex
	suspended time.Duration // not counted by the monotonic clock
	stepped   time.Duration // of the time of day
	booted    time.Time
}

func (s *fakeSource) read() reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reading{wall: time.Now().Round(0).Add(s.suspended + s.stepped), monotonic: time.Since(s.booted)}
}

func (s *fakeSource) boot() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Hour + time.Since(s.booted) + s.suspended
}

func (s *fakeSource) suspend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended += d
}

func (s *fakeSource) step(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepped += d
}

// Guards against ages, leases and deadlines that seem younger than they are after the
// machine was suspended, and against times that follow a step of the time of day.
func TestSystemClockCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{booted: time.Now()}
		c := newSystemClock(source)
		began := c.Now()
		time.Sleep(time.Second)
		assert.Equal(t, c.Now().Sub(began), time.Second)
		source.suspend(7 * time.Second)
		assert.Equal(t, c.Now().Sub(began), 8*time.Second)
		source.step(-time.Hour)
		time.Sleep(time.Second)
		assert.Equal(t, c.Now().Sub(began), 9*time.Second)
		source.step(2 * time.Hour)
		assert.Equal(t, c.Now().Sub(began), 9*time.Second)
		source.suspend(time.Second)
		assert.Equal(t, c.Now().Sub(began), 10*time.Second)
	})
}

// Guards against timers that fire late by the time for which the machine was suspended,
// or that fire twice.
func TestTimersFireAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{booted: time.Now()}
		c := newSystemClock(source)
		var mu sync.Mutex
		fired := make(map[string]int)
		count := func(name string) func(time.Time) {
			return func(time.Time) {
				mu.Lock()
				defer mu.Unlock()
				fired[name]++
			}
		}
		c.After(5*time.Second, count("due"))
		c.After(20*time.Second, count("later"))
		c.After(5*time.Second, count("stopped"))()
		stop := c.Every(time.Second, count("tick"))
		source.suspend(10 * time.Second)
		c.Now()
		synctest.Wait()
		mu.Lock()
		assert.DeepEqual(t, fired, map[string]int{"due": 1, "tick": 1})
		mu.Unlock()
		time.Sleep(9*time.Second + 500*time.Millisecond)
		synctest.Wait()
		stop()
		mu.Lock()
		assert.DeepEqual(t, fired, map[string]int{"due": 1, "tick": 10})
		mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, fired, map[string]int{"due": 1, "tick": 10, "later": 1})
		assert.Equal(t, len(c.timers), 0)
	})
}

// Guards against a panic of a callback that ends the process.
func TestGuardReportsPanics(t *testing.T) {
	var m Manual
	var reported []error
	clock := Guard(&m, func(err error) { reported = append(reported, err) })
	clock.After(time.Second, func(time.Time) { panic("once") })
	clock.Every(time.Second, func(time.Time) { panic("periodic") })
	m.Advance(3 * time.Second)
	assert.Equal(t, len(reported), 4)
	assert.Error(t, reported[0], "panic: once")
}
