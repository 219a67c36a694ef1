// Package trclock provides the clock and the timers of the query tier.
//
// Code that depends on time takes a Clock instead of calling package time. It
// reads the current time from the Clock and schedules periodic or delayed calls on
// it. A process uses System; tests use a Manual clock and advance it explicitly, so
// that a run depends on its seed and not on the speed of the machine.
//
// # Usage
//
//	var clock trclock.Clock = trclock.System()
//	stop := clock.Every(time.Second, func(now time.Time) { sweep(now) })
//	defer stop()
//
// Callbacks of the System clock run in their own goroutines; two calls of one
// periodic callback never overlap. Callbacks of a Manual clock run in the goroutine
// that calls Advance, in order of their due time.
//
// # Suspension
//
// A machine may be suspended for seconds. The monotonic clock of package time does not
// count that time, so after it leases, deadlines and ages would seem younger than they
// are. The System clock counts it, and its timers that became due meanwhile fire at
// once. It does not follow steps of the time of day. Its times have no monotonic
// reading and must be compared only with times of the same clock.
package trclock

import (
	"context"
	"time"
)

// Clock provides the current time and calls functions at later times.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls f once per period until stop is called. It panics if period is not
	// positive.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once when delay has passed, unless stop is called earlier.
	After(delay time.Duration, f func(now time.Time)) (stop func())
}

// Sleep blocks until delay has passed on clock or ctx is done. It returns
// ctx.Err() if ctx ended first.
func Sleep(ctx context.Context, clock Clock, delay time.Duration) error {
	done := make(chan struct{})
	stop := clock.After(delay, func(time.Time) { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is canceled with the cause
// context.DeadlineExceeded when delay has passed on clock. The caller must call the
// returned function to release the timer. The context has no Deadline, because
// clock need not be the system clock.
func WithTimeout(ctx context.Context, clock Clock, delay time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := clock.After(delay, func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
