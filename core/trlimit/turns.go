// Package trlimit holds the limits that protect leafs and instances: turns at
// cold leafs, the concurrency limit per leaf, budgets for hedges and retries,
// and the admission of whole requests.
//
// All types take the time as an argument or from a trclock.Clock, and none of
// them opens a connection. The bounds for cold leafs hold for the sum over all
// senders; the other limits are local to one instance.
//
// # Usage
//
//	var limit trlimit.LeafLimit
//	limit.Started(hello.StartID, now)
//	permit, refused := limit.TryAcquire(now, trlimit.Work{
//		LeafID: "L1", Timeout: 100 * time.Millisecond, Policy: policy, Views: views,
//	})
//	if refused != nil {
//		return refused
//	}
//	defer func() { limit.Release(clock.Now(), permit, trlimit.Succeeded) }()
//
// A permit for a cold leaf is valid until Permit.Until. A sender that waits
// between TryAcquire and the write, for example for a dial, calls Permit.Check
// immediately before the write.
package trlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SenderView tells which sender index this instance holds.
type SenderView interface {
	// Sender returns the index held at now and the number of indexes. ok is
	// false if the instance holds none.
	Sender(now time.Time) (index, count int, ok bool)
}

// StoreTimeView estimates the clock of the platform's store.
type StoreTimeView interface {
	// Estimate returns the store's time at now. The true time differs from t by
	// at most uncertainty, which includes the drift since the last sample.
	Estimate(now time.Time) (t time.Time, uncertainty time.Duration, ok bool)
}

// Views are the sources from which a limit learns the sender index and the time
// of the store.
type Views struct {
	Sender    SenderView
	StoreTime StoreTimeView
}

// Turns divides the store's time at each leaf among the sender indexes.
type Turns struct {
	Length  time.Duration
	Senders int
}

// Number returns the number of the turn that contains storeTime.
func (t Turns) Number(storeTime time.Time) int64 {
	return storeTime.UnixNano() / int64(t.Length)
}

// Holder returns the sender index that holds the turn of leafID at storeTime.
func (t Turns) Holder(leafID string, storeTime time.Time) int {
	senders := uint64(t.Senders)
	// The terms are reduced before the addition because their sum can overflow.
	return int((uint64(t.Number(storeTime))%senders + xxhash.Sum64String(leafID)%senders) % senders)
}

// Elapsed returns the time since the start of the turn that contains storeTime.
func (t Turns) Elapsed(storeTime time.Time) time.Duration {
	return time.Duration(storeTime.UnixNano() % int64(t.Length))
}

// Remaining returns the time from storeTime to the end of its turn.
func (t Turns) Remaining(storeTime time.Time) time.Duration {
	return t.Length - t.Elapsed(storeTime)
}

// UntilNext returns the time from storeTime to the start of the next turn of index
// at leafID, not counting the present one.
func (t Turns) UntilNext(index int, leafID string, storeTime time.Time) time.Duration {
	steps := (index - t.Holder(leafID, storeTime) + t.Senders) % t.Senders
	if steps == 0 {
		steps = t.Senders
	}
	return time.Duration(steps-1)*t.Length + t.Remaining(storeTime)
}
