// Package trclock is the timer service of the query tier.
//
// Parts that need time do not call package time. They take a Clock, read the
// current time from it and subscribe to periodic or delayed calls. A process
// passes System; tests pass a Manual clock and advance it explicitly, so that a
// run depends on its seed and not on the machine.
//
// # Usage
//
//	var clock trclock.Clock = trclock.System()
//	stop := clock.Every(time.Second, func(now time.Time) { sweep(now) })
//	defer stop()
//
// Callbacks of the System clock run on goroutines of their own; two calls of
// one periodic subscription never overlap. Callbacks of a Manual clock run on
// the goroutine that calls Advance, in order of their due time.
package trclock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and delivers timer events to subscribers.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Every calls f once per period until the returned function is called.
	// A period of zero or less is an error of the caller and panics.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once, when delay has passed, unless stopped earlier.
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

// WithTimeout returns a context that ends with context.DeadlineExceeded as its
// cause when delay has passed on clock. The caller must call the returned
// function to release the timer. The context reports no Deadline, because the
// clock need not be the one of the operating system.
func WithTimeout(ctx context.Context, clock Clock, delay time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := clock.After(delay, func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

type systemClock struct{}

// System returns the clock of the operating system.
func System() Clock { return systemClock{} }

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Every(period time.Duration, f func(now time.Time)) func() {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				f(time.Now())
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			ticker.Stop()
			close(done)
		})
	}
}

func (systemClock) After(delay time.Duration, f func(now time.Time)) func() {
	t := time.AfterFunc(delay, func() { f(time.Now()) })
	return func() { t.Stop() }
}
