package trplatform

import (
	"fmt"

	"tanagerrock/core/trwire"
)

// Errors of calls that the platform answered.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound error = notFoundError{}
	// ErrLeaseNotFound says that the lease does not exist any more.
	ErrLeaseNotFound error = answerError("lease has lapsed")
	// ErrUnchanged says that a watch or a list call ended without news.
	ErrUnchanged error = answerError("unchanged")
)

type answerError string

func (e answerError) Error() string { return "platform: " + string(e) }

type notFoundError struct{}

func (notFoundError) Error() string { return "platform: key not found" }

// NotFound lets core packages recognise the error without importing this one.
func (notFoundError) NotFound() bool { return true }

// ConflictError says that a write was not made because the key has another
// version than PrevVersion.
type ConflictError struct {
	Message string
	Present *trwire.Entry // the entry as it is, nil if it is absent or the reply did not say
}

// Error returns the message and the present version.
func (e *ConflictError) Error() string {
	if e.Present == nil {
		return "platform: conflict: " + e.Message
	}
	return fmt.Sprintf("platform: conflict with version %d of key %q: %s", e.Present.Version, e.Present.Key, e.Message)
}

// PresentEntry returns Present. It lets core packages read the error.
func (e *ConflictError) PresentEntry() *trwire.Entry { return e.Present }

// RejectedError is an answer with a status that the protocol does not give to
// the call, below 500. The call had no effect.
type RejectedError struct {
	Status  int
	Message string
}

// Error returns status and message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Message)
}

// UnavailableError says that no base URL gave a usable answer.
type UnavailableError struct {
	// MayHaveTakenEffect is false for reads, and for writes of which no byte
	// was sent.
	MayHaveTakenEffect bool
	Err                error
}

// Error returns the cause and whether a write may have taken effect.
func (e *UnavailableError) Error() string {
	if e.MayHaveTakenEffect {
		return fmt.Sprintf("platform unavailable, the write may have taken effect: %v", e.Err)
	}
	return fmt.Sprintf("platform unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotApplied lets core packages tell a write that had no effect from one whose
// outcome is unknown.
func (e *UnavailableError) NotApplied() bool { return !e.MayHaveTakenEffect }

// NotApplied reports that the call had no effect.
func (e *RejectedError) NotApplied() bool { return true }
