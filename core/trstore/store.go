// Package trstore defines the writes to the store that components need which keep durable
// state there: leases, conditional transactions and reads of single keys.
//
// Revisions and lease IDs are composed with the era of the store (see
// trdirectory.ComposeRevision): none of an earlier era holds in a later one.
//
// # Usage
//
//	id, granted, err := store.Lease(ctx, 3*time.Second)
//	revision, err := store.Commit(ctx, &trstore.Txn{
//		Expect: []trstore.Expectation{{Key: key}}, // no such key
//		Puts:   []trstore.Item{{Key: key, Value: value, LeaseID: id}},
//	})
//	switch {
//	case errors.Is(err, trstore.ErrConflict): // another writer was first
//	case errors.Is(err, trstore.ErrUnknownOutcome): // read the keys again
//	}
package trstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Other errors of a write mean that its arguments are invalid; a read may
// fail with any error.
var (
	// ErrLeaseEnded means that a lease has expired, was ended or belongs to an earlier era.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrConflict means that a condition of a transaction does not hold. Nothing was done.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrUnknownOutcome means that a call may have run, or may run later while its
	// conditions hold.
	ErrUnknownOutcome = errors.New("outcome of the call is unknown")
	// ErrNotDone means that nothing was done and nothing will be.
	ErrNotDone = errors.New("call was not done")
)

// Store is the store as used by components that write to it. Calls last until they are
// answered or ctx is done: callers set a deadline.
type Store interface {
	// Lease acquires a lease. The store may grant another time than ttl. The time counts
	// from before the call.
	Lease(ctx context.Context, ttl time.Duration) (id uint64, granted time.Duration, err error)
	// Keep renews a lease for the time granted. It returns ErrLeaseEnded if there is none.
	Keep(ctx context.Context, id uint64) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, id uint64) error
	// Get returns an item, with revision 0 if there is no such key.
	Get(ctx context.Context, key string) (Item, error)
	// Commit runs a transaction, all of it or nothing, and returns its revision. It returns
	// ErrConflict if a condition does not hold, and ErrLeaseEnded if a lease has ended.
	Commit(ctx context.Context, t *Txn) (revision uint64, err error)
}

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last write; 0: no such key
	LeaseID  uint64 // lease with whose end the key is removed; 0: none
}

// Expectation is the condition that a key has a revision.
type Expectation struct {
	Key      string
	Revision uint64 // 0: no such key
}

// Txn is a transaction: if all expectations hold, the puts and removals take place.
type Txn struct {
	Expect []Expectation
	Puts   []Item // their revisions are ignored
	Remove []string
}

// Check returns an error if the transaction writes nothing, has an empty key, or writes a
// key twice.
func (t *Txn) Check() error {
	written := make(map[string]bool, len(t.Puts)+len(t.Remove))
	write := func(key string) error {
		if key == "" || written[key] {
			return errors.Errorf("transaction writes key %.64q, which is empty or written already", key)
		}
		written[key] = true
		return nil
	}
	for i := range t.Puts {
		if err := write(t.Puts[i].Key); err != nil {
			return err
		}
	}
	for _, key := range t.Remove {
		if err := write(key); err != nil {
			return err
		}
	}
	for _, e := range t.Expect {
		if e.Key == "" {
			return errors.New("transaction has a condition without a key")
		}
	}
	if len(written) == 0 {
		return errors.New("transaction writes nothing")
	}
	return nil
}
