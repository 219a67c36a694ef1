package trplatform

import (
	"fmt"

	"tanagerrock/core/trwire"
)

// Errors for answers of the platform.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound error = notFoundError{}
	// ErrLeaseNotFound means that the lease does not exist, for example because it has
	// expired.
	ErrLeaseNotFound error = sentinelError("lease not found")
	// ErrUnchanged means that a watch or an instance list call ended without a change.
	ErrUnchanged error = sentinelError("unchanged")
)

// sentinelError is an error that is compared by value.
type sentinelError string

func (e sentinelError) Error() string { return "platform: " + string(e) }

// notFoundError is the type of ErrNotFound.
type notFoundError struct{}

func (notFoundError) Error() string { return "platform: key not found" }

// NotFound lets core packages recognize the error without importing this package.
func (notFoundError) NotFound() bool { return true }

// ConflictError means that a write was rejected because the version of the key is not
// PrevVersion.
type ConflictError struct {
	Message string
	Present *trwire.Entry // the current entry, nil if the key is absent or the reply does not contain it
}

// Error returns the message and the current version.
func (e *ConflictError) Error() string {
	if e.Present == nil {
		return "platform: conflict: " + e.Message
	}
	return fmt.Sprintf("platform: conflict with version %d of key %q: %s", e.Present.Version, e.Present.Key, e.Message)
}

// PresentEntry returns Present. It lets core packages read the entry without importing
// this package.
func (e *ConflictError) PresentEntry() *trwire.Entry { return e.Present }

// RejectedError is an answer with a client error status, from 400 to below 500, for which
// the protocol has no other error. The call had no effect.
type RejectedError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform: rejected with status %d: %s", e.Status, e.Message)
}

// UnavailableError means that no base URL gave a usable answer.
type UnavailableError struct {
	// MayHaveTakenEffect is false for reads and for writes of which no byte was sent.
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

// NotApplied lets core packages distinguish a write that had no effect from one whose
// outcome is unknown.
func (e *UnavailableError) NotApplied() bool { return !e.MayHaveTakenEffect }

// NotApplied returns true, because a rejected call has no effect.
func (e *RejectedError) NotApplied() bool { return true }
