package trlimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

const (
	// decreaseFactor is applied to the limit of a warm leaf on a shed or a
	// timeout. Judgement: a milder cut than one half, since limits are small.
	decreaseFactor = 0.7
	// driftDivisor turns a duration into its drift at 200 ppm.
	driftDivisor = 5000
	// warmRetry is the wait before a waiter looks at a warm leaf again if no
	// permit was released meanwhile.
	warmRetry = 50 * time.Millisecond
	minRetry  = time.Millisecond
)

// Refusals are shared because they are on the request path and carry no state.
var (
	noSender   = refusal(trwire.AttemptNoCapacity, "no sender index is held")
	noStart    = refusal(trwire.AttemptNoTurn, "the start of the leaf is unknown")
	noTime     = refusal(trwire.AttemptNoTurn, "the store's time is not known well enough")
	noTurn     = refusal(trwire.AttemptNoTurn, "the turn belongs to another sender")
	firstTurn  = refusal(trwire.AttemptNoTurn, "the sender index may have been used by another process in this turn")
	shortTurn  = refusal(trwire.AttemptNoTurn, "the turn ends before the sub-query would")
	noColdRate = refusal(trwire.AttemptNoCapacity, "the rate of the cold leaf is used up")
	coldFull   = refusal(trwire.AttemptNoCapacity, "the concurrency of the cold leaf is used up")
	warmFull   = refusal(trwire.AttemptNoCapacity, "the concurrency limit of the leaf is reached")
	permitOver = refusal(trwire.AttemptNoTurn, "the permit has ended")
)

func refusal(kind trwire.AttemptErrorKind, reason string) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, Err: errors.New(reason)}
}

// LeafPolicy is the part of the configuration that a LeafLimit applies.
type LeafPolicy struct {
	Connections    int // connections that the leaf accepts from all senders
	SenderIndexes  int
	ColdConcurrent int     // of all senders
	ColdPerSecond  float64 // of all senders
	ColdTime       time.Duration
	SlowStart      time.Duration
	Turn           time.Duration
}

// NewLeafPolicy takes the limits of a leaf from the configuration.
func NewLeafPolicy(s *trconfig.ServicePolicy, f *trconfig.FleetPolicy) *LeafPolicy {
	return &LeafPolicy{
		Connections:    s.Connections,
		SenderIndexes:  f.SenderIndexes,
		ColdConcurrent: s.ColdConcurrent,
		ColdPerSecond:  s.ColdPerSecond,
		ColdTime:       time.Duration(s.ColdMs) * time.Millisecond,
		SlowStart:      time.Duration(f.SlowStartMs) * time.Millisecond,
		Turn:           time.Duration(f.TurnMs) * time.Millisecond,
	}
}

// SenderLimit returns the hard limit of one sender: its share of the connections, at
// least 1.
func (p *LeafPolicy) SenderLimit(senders int) int {
	return max(1, p.Connections/max(1, senders, p.SenderIndexes))
}

// interval returns the shortest time between two sub-queries to a cold leaf.
func (p *LeafPolicy) interval() time.Duration {
	if p.ColdPerSecond <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(math.Ceil(float64(time.Second) / p.ColdPerSecond))
}

// PermitRequest describes a sub-query that needs a permit.
type PermitRequest struct {
	LeafID      string
	Timeout     time.Duration // from the permit to the end of the sub-query
	ColdTimeout time.Duration // used at a cold leaf if positive and shorter than Timeout
	Policy      *LeafPolicy
	Views       Views
}

func (w *PermitRequest) coldTimeout() time.Duration {
	if w.ColdTimeout > 0 && w.ColdTimeout < w.Timeout {
		return w.ColdTimeout
	}
	return w.Timeout
}

// Result is how a sub-query ended, as far as the limit is concerned.
type Result int

// Results of a sub-query.
const (
	Neutral    Result = iota // says nothing about the load of the leaf
	Succeeded                // a reply arrived in time
	Overloaded               // the leaf shed the sub-query or did not reply in time
)

// Permit allows one sub-query. It is returned to the LeafLimit with Release.
type Permit struct {
	StartID string        // the start of the leaf that the permit is for
	Cold    bool          // whether the leaf is cold
	Timeout time.Duration // longest time of the sub-query from the permit on
	Until   time.Time     // cold: local time at which the sub-query must have ended
	taken   time.Time
	index   int
	sender  SenderView
}

// Check reports whether the permit still allows a write at now with timeout left
// for the sub-query. It guards against a pause between permit and write.
func (p *Permit) Check(now time.Time, timeout time.Duration) *trwire.AttemptError {
	index, _, ok := p.sender.Sender(now)
	if !ok || index != p.index {
		return noSender
	}
	if p.Cold && now.Add(timeout).After(p.Until) {
		return permitOver
	}
	return nil
}

// LeafLimit limits the work that this sender gives to one leaf. The zero value
// is a leaf whose start is unknown: it grants nothing until Started is called.
type LeafLimit struct {
	mu        sync.Mutex
	startID   string
	firstSeen time.Time // of startID, by any instance
	backAt    time.Time // start of the slow start ramp, if later than the end of the cold phase
	inFlight  int
	limit     float64 // 0 stands for the hard limit
	decreased time.Time
	lastCold  time.Time   // last permit while the leaf was cold
	unended   []time.Time // cold sub-queries without a reply, which may run on until these times
	index     int         // sender index seen last, plus one
	indexTurn int64       // turn in which index may have been used by another process, 0 if unknown
}

// ObserveStart records that the leaf's start startID was first seen at firstSeen. A
// new start makes the leaf cold; for the known start the earlier time holds.
func (l *LeafLimit) ObserveStart(startID string, firstSeen time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startID == startID {
		if firstSeen.Before(l.firstSeen) {
			l.firstSeen = firstSeen
		}
		return
	}
	l.startID = startID
	l.firstSeen = firstSeen
	l.limit = 0
	l.unended = nil
}

// BeginSlowStart starts the slow start ramp: the leaf is in use again since now.
func (l *LeafLimit) BeginSlowStart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backAt = now
}

// Start returns the current start of the leaf and when it was first seen.
func (l *LeafLimit) Start() (startID string, firstSeen time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startID, l.firstSeen
}

// InFlight returns the number of permits that are taken.
func (l *LeafLimit) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// ObserveSender lets the limit learn the sender index before the first sub-query. Without
// it, the turn of the first TryAcquire at a cold leaf is lost.
func (l *LeafLimit) ObserveSender(now time.Time, w PermitRequest) {
	index, count, ok := w.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteSender(now, &w, index, count, ok)
}

// noteSender records a change of the sender index. Another process may have used
// the new index in the turn that is running, so that turn is not used: a process
// that restarts under its own index does not know what its predecessor sent.
func (l *LeafLimit) noteSender(now time.Time, w *PermitRequest, index, count int, ok bool) {
	if !ok {
		l.index = 0
		return
	}
	if l.index != index+1 {
		l.index = index + 1
		l.indexTurn = 0
	}
	if l.indexTurn != 0 || w.Policy.Turn <= 0 {
		return
	}
	if t, uncertainty, known := w.Views.StoreTime.Estimate(now); known {
		turns := Turns{Length: w.Policy.Turn, Senders: count}
		l.indexTurn = turns.Number(t.Add(uncertainty))
	}
}

// TryAcquire takes a permit for w at now, or tells why there is none: NoTurn if
// the leaf is cold and the turn does not allow the sub-query, else NoCapacity.
func (l *LeafLimit) TryAcquire(now time.Time, w PermitRequest) (Permit, *trwire.AttemptError) {
	index, count, ok := w.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteSender(now, &w, index, count, ok)
	if !ok {
		return Permit{}, noSender
	}
	if l.startID == "" {
		return Permit{}, noStart
	}
	p := Permit{StartID: l.startID, Timeout: w.Timeout, taken: now, index: index, sender: w.Views.Sender}
	if l.cold(now, w.Policy) {
		left, refused := l.coldTime(now, &w, Turns{Length: w.Policy.Turn, Senders: count}, index)
		if refused != nil {
			return Permit{}, refused
		}
		p.Cold = true
		p.Timeout = w.coldTimeout()
		p.Until = now.Add(left)
		l.lastCold = now
	} else if l.inFlight >= l.warmLimit(now, w.Policy, count) {
		return Permit{}, warmFull
	}
	l.inFlight++
	return p, nil
}

func (l *LeafLimit) cold(now time.Time, p *LeafPolicy) bool {
	return now.Sub(l.firstSeen) < p.ColdTime
}

// MaxUncertainty returns the largest uncertainty of the store's time at which cold
// work is done in turns of the given length. At 200 ppm of drift, turns of 2 s
// allow cold work for more than an hour without the store.
func MaxUncertainty(turn time.Duration) time.Duration { return turn * 2 / 5 }

// coldTime returns how long from now a sub-query to the cold leaf may last.
//
// The uncertainty is kept free at both ends of the turn, because the clock of one
// sender can be late while that of the next is early. At the start one rate
// interval is kept free as well, since the previous sender may have sent at the
// very end of its turn.
func (l *LeafLimit) coldTime(now time.Time, w *PermitRequest, turns Turns, index int) (time.Duration, *trwire.AttemptError) {
	if turns.Length <= 0 || turns.Senders <= 0 {
		return 0, noTime
	}
	t, uncertainty, ok := w.Views.StoreTime.Estimate(now)
	if !ok || uncertainty > MaxUncertainty(turns.Length) {
		return 0, noTime
	}
	if turns.Holder(w.LeafID, t) != index {
		return 0, noTurn
	}
	if turns.Number(t) <= l.indexTurn {
		return 0, firstTurn
	}
	timeout := w.coldTimeout()
	left := turns.Remaining(t) - uncertainty - timeout/driftDivisor
	if timeout <= 0 || left < timeout {
		return 0, shortTurn
	}
	l.unended = slices.DeleteFunc(l.unended, func(end time.Time) bool { return !now.Before(end) })
	if l.inFlight+len(l.unended) >= w.Policy.ColdConcurrent {
		return 0, coldFull
	}
	interval := w.Policy.interval()
	if turns.Elapsed(t)-uncertainty < interval || now.Sub(l.lastCold) < interval {
		return 0, noColdRate
	}
	return left, nil
}

// warmLimit returns the number of sub-queries allowed at once at a warm leaf.
func (l *LeafLimit) warmLimit(now time.Time, p *LeafPolicy, senders int) int {
	limit := float64(p.SenderLimit(senders))
	if l.limit > 0 {
		limit = min(limit, l.limit)
	}
	if since := now.Sub(l.rampStart(p)); since < p.SlowStart {
		ramp := 1 + (limit-1)*float64(since)/float64(p.SlowStart)
		limit = min(limit, ramp)
	}
	return max(1, int(limit))
}

func (l *LeafLimit) rampStart(p *LeafPolicy) time.Time {
	coldEnd := l.firstSeen.Add(p.ColdTime)
	if l.backAt.After(coldEnd) {
		return l.backAt
	}
	return coldEnd
}

// Release returns the permit p and adapts the limit of a warm leaf to r. A cold
// leaf may notice the cancellation of a sub-query late, so the place of a cold
// sub-query without a reply stays taken until the end of the turn.
func (l *LeafLimit) Release(now time.Time, p Permit, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.inFlight
	l.inFlight--
	if p.StartID != l.startID {
		return
	}
	if p.Cold {
		if r != Succeeded {
			l.unended = append(l.unended, p.Until)
		}
		return
	}
	switch r {
	case Succeeded:
		// Only a limit that is in use grows. 0 already stands for the hard limit.
		if l.limit > 0 && float64(used) >= math.Floor(l.limit) {
			l.limit += 1 / l.limit
		}
	case Overloaded:
		// One overload fails many sub-queries at once. Only those that started
		// after the last decrease tell about the new limit.
		if p.taken.Before(l.decreased) {
			return
		}
		if l.limit == 0 || l.limit > float64(used) {
			l.limit = float64(used)
		}
		l.limit = max(1, l.limit*decreaseFactor)
		l.decreased = now
	}
}

// RetryDelay returns after which time a refused TryAcquire may succeed although no
// permit is released: a turn or a rate interval starts, or slow start goes on.
func (l *LeafLimit) RetryDelay(now time.Time, w PermitRequest) time.Duration {
	index, count, ok := w.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !l.cold(now, w.Policy) {
		return warmRetry
	}
	turns := Turns{Length: w.Policy.Turn, Senders: count}
	coldEnd := l.firstSeen.Add(w.Policy.ColdTime).Sub(now)
	t, uncertainty, known := w.Views.StoreTime.Estimate(now)
	if !known || turns.Length <= 0 || turns.Senders <= 0 {
		return min(coldEnd, warmRetry)
	}
	interval := w.Policy.interval()
	_, refused := l.coldTime(now, &w, turns, index)
	wait := turns.UntilNext(index, w.LeafID, t) + uncertainty + interval
	if refused == nil {
		wait = 0
	}
	if refused == noColdRate {
		wait = max(interval+uncertainty-turns.Elapsed(t), interval-now.Sub(l.lastCold))
	}
	if refused == coldFull {
		wait = min(interval, warmRetry)
	}
	return max(minRetry, min(wait, coldEnd))
}
