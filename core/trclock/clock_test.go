package trclock

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callbacks that run out of order or after they were stopped.
func TestManualRunsEventsInDueOrder(t *testing.T) {
	var m Manual
	var got []string
	record := func(name string) func(time.Time) {
		return func(now time.Time) { got = append(got, fmt.Sprint(name, now.Unix())) }
	}
	m.After(3*time.Second, record("late"))
	m.After(time.Second, record("early"))
	stopEvery := m.Every(2*time.Second, record("tick"))
	m.After(time.Second, record("stopped"))()
	m.Advance(4 * time.Second)
	stopEvery()
	m.Advance(10 * time.Second)
	assert.DeepEqual(t, got, []string{"early1", "tick2", "late3", "tick4"})
}

// Guards against a Sleep that does not return when its context ends.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, Sleep(ctx, new(Manual), time.Hour), context.Canceled)
}

func ExampleManual() {
	var m Manual
	m.Every(time.Minute, func(now time.Time) { fmt.Println(now.UTC().Format("15:04")) })
	m.Advance(2 * time.Minute)
	// Output:
	// 00:01
	// 00:02
}
