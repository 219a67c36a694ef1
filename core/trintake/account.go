package trintake

import (
	"sync/atomic"
	"time"
)

const (
	// SweepPeriod is the interval at which Budget.Sweep must be called.
	SweepPeriod = 250 * time.Millisecond
	// stallTime is the time without a byte after which a connection counts as stalled if
	// the budget is exhausted. It is several times the round trip of any caller, and gives
	// a new connection the time to send its first request.
	stallTime = 500 * time.Millisecond
	// bodyStallTime is the time without a byte after which a body is given up, whatever
	// the budget. A lost packet is sent again within 1 s, and once more within 3 s.
	bodyStallTime = 5 * time.Second
	// bodyTime is the time that a body may take beside bodyRate. The longest time that
	// callers give a request at the three sites is 10 s.
	bodyTime = 10 * time.Second
	// bodyRate is the least rate of a body after bodyTime, in bytes per second. A body of
	// the largest size (262,144 bytes) may take 26 s.
	bodyRate = 16 << 10
	// sendPressureTime is stallTime for the reading of an answer. Its progress shows in
	// pieces of some 10 KiB.
	sendPressureTime = 2 * time.Second
	// sendStallTime is the time after which an answer of which the client takes nothing is
	// given up. The sites keep idle connections for as long.
	sendStallTime = 15 * time.Second
)

// Stage is what a connection does.
type Stage int32

// Stages of a connection.
const (
	Idle    Stage = iota // nothing of a request has arrived
	Head                 // the head of a request arrives
	Body                 // the body of a request arrives
	Running              // a request was read completely and has no answer yet
)

// Account is the part of a Budget that one connection holds. Its methods may be called
// concurrently and on a nil account, which is unlimited.
type Account struct {
	budget *Budget
	addr   string
	class  Class
	cut    func()

	stage   atomic.Int32
	entered atomic.Int64 // number of calls of Enter
	moved   atomic.Int64 // bytes received and sent
	sending atomic.Int32 // writes in progress
	ended   atomic.Int32 // cause, for readers without the lock

	// The following fields are guarded by budget.mu.
	held        int64
	cause       Cause
	closed      bool
	stalled     bool      // in candidates only
	lastMoved   int64     // moved at the latest sweep
	movedAt     time.Time // latest sweep that saw progress
	lastEntered int64
	enteredAt   time.Time // latest sweep that saw a new stage
	enteredWith int64     // moved then
}

// Enter records the stage of the connection.
func (a *Account) Enter(s Stage) {
	if a == nil {
		return
	}
	if a.stage.Swap(int32(s)) != int32(s) {
		a.entered.Add(1)
	}
}

// Stage returns the stage of the connection.
func (a *Account) Stage() Stage {
	if a == nil {
		return Idle
	}
	return Stage(a.stage.Load())
}

// Moved records that n bytes were received or sent.
func (a *Account) Moved(n int) {
	if a != nil {
		a.moved.Add(int64(n))
	}
}

// Sending records the begin or the end of a write.
func (a *Account) Sending(begin bool) {
	switch {
	case a == nil:
	case begin:
		a.sending.Add(1)
	default:
		a.sending.Add(-1)
	}
}

// IsSending reports whether a write is in progress.
func (a *Account) IsSending() bool { return a != nil && a.sending.Load() > 0 }

// Ended returns why the connection was cut off, or NoCause.
func (a *Account) Ended() Cause {
	if a == nil {
		return NoCause
	}
	return Cause(a.ended.Load())
}

// Reserve must be called before n more bytes are held for the connection. It may cut off
// other connections. It returns ErrFull if the bytes must not be held; what was reserved
// before stays so.
func (a *Account) Reserve(n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	var victims []*Account
	err := ErrFull // of a connection that is cut off
	if a.cause == NoCause && !a.closed {
		victims, err = b.makeRoom(a, n, 0)
	}
	if err == nil {
		b.add(a, n)
	}
	b.mu.Unlock()
	cutAll(victims)
	if err != nil {
		b.refused.Add(1)
	}
	return err
}

// Release gives back n bytes of what was reserved.
func (a *Account) Release(n int64) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.budget.add(a, -n)
	}
}

// Close gives back all bytes and the connection. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.add(a, -a.held)
	a.closed = true
	delete(b.accounts, a)
	b.conns[a.class]--
	if a.cause != NoCause {
		b.ending[a.class]--
	}
}

// endable reports whether the connection may be cut off under pressure: it is not while a
// request runs, unless the client takes nothing of the answer. The caller holds budget.mu.
func (a *Account) endable() bool {
	if a.IsSending() {
		return a.budget.now.Sub(a.movedAt) >= sendPressureTime
	}
	return a.Stage() != Running
}

// Sweep observes the progress of all connections and cuts off those whose body or whose
// reading of an answer makes too little. It must be called every SweepPeriod.
func (b *Budget) Sweep(now time.Time) {
	var victims []*Account
	b.mu.Lock()
	b.now = now
	for a := range b.accounts {
		moved, entered := a.moved.Load(), a.entered.Load()
		if moved != a.lastMoved || a.movedAt.IsZero() {
			a.lastMoved, a.movedAt = moved, now
		}
		if entered != a.lastEntered || a.enteredAt.IsZero() {
			a.lastEntered, a.enteredAt, a.enteredWith = entered, now, moved
		}
		if !a.tooSlow(now) {
			continue
		}
		if a.cause == NoCause {
			b.end(a, Stalled)
		}
		// A connection that is cut off already may be stuck in the answer to a request that
		// was delivered before.
		victims = append(victims, a)
	}
	b.mu.Unlock()
	cutAll(victims)
}

// tooSlow reports whether the connection makes too little progress. The caller holds
// budget.mu.
func (a *Account) tooSlow(now time.Time) bool {
	quiet := now.Sub(a.movedAt)
	switch {
	case a.IsSending():
		return quiet >= sendStallTime
	case a.Stage() != Body:
		return false
	case quiet >= bodyStallTime:
		return true
	}
	late := now.Sub(a.enteredAt) - bodyTime
	return late > 0 && float64(a.lastMoved-a.enteredWith) < late.Seconds()*bodyRate
}
