// Package trlimit implements the limits that protect leafs and instances: the
// turns in which senders may use a cold leaf, the concurrency limit per leaf, the
// budgets for hedges and retries, and the admission control of client requests.
//
// A sender is an instance that holds a sender index. A leaf is cold for some time
// after its start and warm from then on. Turns are time slots in the time of the
// platform's store. They go to the sender indexes in rotation, so that only one
// sender uses a cold leaf at a time.
//
// All types take the time as an argument or from a trclock.Clock, and none of
// them opens a connection. The limits of a cold leaf hold for all senders together;
// the other limits are local to one instance.
//
// # Usage
//
//	var limit trlimit.LeafLimit
//	limit.ObserveStart(hello.StartID, now)
//	permit, refused := limit.TryAcquire(now, trlimit.PermitRequest{
//		LeafID: "L1", Timeout: 100 * time.Millisecond, Policy: policy, Views: views,
//	})
//	if refused != nil {
//		return refused
//	}
//	defer func() { limit.Release(clock.Now(), permit, trlimit.Succeeded) }()
//
// A permit for a cold leaf is valid until Permit.Until. A sender that blocks between
// TryAcquire and the write, for example in a dial, calls Permit.Check immediately
// before the write.
package trlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SenderView provides the sender index that this instance holds.
type SenderView interface {
	// Sender returns the index held at now and the total number of indexes. ok is
	// false if the instance holds no index.
	Sender(now time.Time) (index, count int, ok bool)
}

// StoreTimeView estimates the clock of the platform's store.
type StoreTimeView interface {
	// Estimate returns the store's time at now. The true time differs from t by
	// at most uncertainty, which includes the clock drift since the last sample.
	// ok is false if there is no estimate.
	Estimate(now time.Time) (t time.Time, uncertainty time.Duration, ok bool)
}

// Views provide the sender index and the store's time to a limit.
type Views struct {
	Sender    SenderView
	StoreTime StoreTimeView
}

// Turns divides the store's time into turns of equal length and assigns the turns
// at each leaf to the sender indexes in rotation.
type Turns struct {
	Length  time.Duration
	Senders int // number of sender indexes
}

// Number returns the number of the turn that contains storeTime.
func (t Turns) Number(storeTime time.Time) int64 {
	return storeTime.UnixNano() / int64(t.Length)
}

// Holder returns the sender index that holds the turn of leafID at storeTime.
func (t Turns) Holder(leafID string, storeTime time.Time) int {
	senders := uint64(t.Senders)
	// The terms are reduced before the addition because their sum could overflow.
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
// at leafID, not counting the current turn.
func (t Turns) UntilNext(index int, leafID string, storeTime time.Time) time.Duration {
	steps := (index - t.Holder(leafID, storeTime) + t.Senders) % t.Senders
	if steps == 0 {
		steps = t.Senders
	}
	return time.Duration(steps-1)*t.Length + t.Remaining(storeTime)
}
