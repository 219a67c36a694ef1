package trclock

import (
	"time"

	"tanagerrock/core/trpanic"
)

// Guard returns a clock whose callbacks are run by trpanic.Do, so that a panic does not
// end the process. Recovered panics are passed to report.
func Guard(clock Clock, report func(err error)) Clock { return guardedClock{clock, report} }

type guardedClock struct {
	Clock
	report func(err error)
}

// Every implements Clock.
func (c guardedClock) Every(period time.Duration, f func(now time.Time)) func() {
	return c.Clock.Every(period, c.guard(f))
}

// After implements Clock.
func (c guardedClock) After(delay time.Duration, f func(now time.Time)) func() {
	return c.Clock.After(delay, c.guard(f))
}

func (c guardedClock) guard(f func(now time.Time)) func(now time.Time) {
	return func(now time.Time) {
		if err := trpanic.Do(func() { f(now) }); err != nil {
			c.report(err)
		}
	}
}
