// Package trpanic confines a panic to the request or message that caused it.
//
// A panic in a goroutine ends the process, and with it all other requests. Goroutines
// that handle input from outside run it through Do, which turns a panic into an error
// with the stack of the goroutine. The caller fails the request or drops the message,
// and logs and counts the error.
//
// # Usage
//
//	if err := trpanic.Do(func() { reply = handle(msg) }); err != nil {
//		log.WithFields(trpanic.Fields(err)).Error("message dropped")
//	}
package trpanic

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
)

// Error is a recovered panic.
type Error struct {
	Value any    // argument of the panic
	Stack []byte // of the goroutine that panicked
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Do calls f and returns an *Error if it panics.
func Do(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Error{Value: v, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

// Fields returns the log fields of an error: its text, and the stack if it is a
// recovered panic.
func Fields(err error) map[string]any {
	fields := map[string]any{"error": err.Error()}
	var p *Error
	if errors.As(err, &p) {
		fields["Stack"] = string(p.Stack)
	}
	return fields
}
