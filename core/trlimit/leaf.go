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
	// decreaseFactor is the multiplicative decrease of a warm leaf's limit on a shed
	// or a timeout. It is milder than one half because the limits are small.
	decreaseFactor = 0.7
	// driftDivisor divides a duration to get the largest clock drift over it, at
	// 200 ppm.
	driftDivisor = 5000
	// warmRetryDelay is the delay before a permit for a warm leaf is tried again if
	// none has been released.
	warmRetryDelay = 50 * time.Millisecond
	// minRetryDelay is the shortest delay that RetryDelay returns.
	minRetryDelay = time.Millisecond
)

// The errors of TryAcquire and Permit.Check are shared because they are on the
// request path and carry no state.
var (
	errNoSender        = newAttemptError(trwire.AttemptNoCapacity, "this instance does not hold the required sender index")
	errUnknownStart    = newAttemptError(trwire.AttemptNoTurn, "the start ID of the leaf is unknown")
	errNoStoreTime     = newAttemptError(trwire.AttemptNoTurn, "the estimate of the store's time is missing or too uncertain")
	errOtherTurn       = newAttemptError(trwire.AttemptNoTurn, "the current turn belongs to another sender index")
	errFirstTurn       = newAttemptError(trwire.AttemptNoTurn, "another process may have used the sender index in this turn")
	errTurnTooShort    = newAttemptError(trwire.AttemptNoTurn, "the rest of the turn is shorter than the timeout of the sub-query")
	errColdRate        = newAttemptError(trwire.AttemptNoCapacity, "the rate limit of the cold leaf is reached")
	errColdConcurrency = newAttemptError(trwire.AttemptNoCapacity, "the concurrency limit of the cold leaf is reached")
	errWarmConcurrency = newAttemptError(trwire.AttemptNoCapacity, "the concurrency limit of the warm leaf is reached")
	errPermitExpired   = newAttemptError(trwire.AttemptNoTurn, "the sub-query would run past the end of the permit")
)

func newAttemptError(kind trwire.AttemptErrorKind, reason string) *trwire.AttemptError {
	return &trwire.AttemptError{Kind: kind, Err: errors.New(reason)}
}

// LeafPolicy is the part of the configuration that a LeafLimit applies.
type LeafPolicy struct {
	Connections    int // connections that the leaf accepts from all senders
	SenderIndexes  int
	ColdConcurrent int           // concurrent sub-queries from all senders at a cold leaf
	ColdPerSecond  float64       // sub-queries per second from all senders at a cold leaf
	ColdTime       time.Duration // time after its start during which a leaf is cold
	SlowStart      time.Duration // length of the slow start ramp
	Turn           time.Duration // length of a turn
}

// NewLeafPolicy returns the limits that the configuration sets for a leaf.
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

// SenderLimit returns the largest number of concurrent sub-queries of one sender:
// its share of the connections, at least 1.
func (p *LeafPolicy) SenderLimit(senders int) int {
	return max(1, p.Connections/max(1, senders, p.SenderIndexes))
}

// coldInterval returns the shortest time between two sub-queries to a cold leaf.
func (p *LeafPolicy) coldInterval() time.Duration {
	if p.ColdPerSecond <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(math.Ceil(float64(time.Second) / p.ColdPerSecond))
}

// PermitRequest describes the sub-query that a permit is requested for.
type PermitRequest struct {
	LeafID      string
	Timeout     time.Duration // from the permit to the end of the sub-query
	ColdTimeout time.Duration // used at a cold leaf if positive and shorter than Timeout
	Policy      *LeafPolicy
	Views       Views
}

func (req *PermitRequest) coldTimeout() time.Duration {
	if req.ColdTimeout > 0 && req.ColdTimeout < req.Timeout {
		return req.ColdTimeout
	}
	return req.Timeout
}

// LoadSignal tells whether the outcome of a sub-query shows that the leaf is
// overloaded.
type LoadSignal int

// Load signals.
const (
	Neutral    LoadSignal = iota // no information about the load
	Succeeded                    // a reply arrived in time
	Overloaded                   // the leaf shed the sub-query or did not reply in time
)

// Permit allows the holder to send one sub-query. It is returned to the LeafLimit
// with Release.
type Permit struct {
	StartID string        // process start of the leaf that the permit is valid for
	Cold    bool          // the leaf was cold when the permit was taken
	Timeout time.Duration // longest time of the sub-query from the permit on
	Until   time.Time     // if Cold, the local time at which the sub-query must have ended
	takenAt time.Time
	index   int // sender index that the permit was taken under
	sender  SenderView
}

// Check returns an error if the permit no longer allows a write at now for a
// sub-query with the given timeout. A process can be paused between taking the
// permit and the write, and lose its turn or its sender index meanwhile.
func (p *Permit) Check(now time.Time, timeout time.Duration) *trwire.AttemptError {
	index, _, ok := p.sender.Sender(now)
	if !ok || index != p.index {
		return errNoSender
	}
	if p.Cold && now.Add(timeout).After(p.Until) {
		return errPermitExpired
	}
	return nil
}

// LeafLimit limits the sub-queries that this sender sends to one leaf. A start ID
// identifies one run of the leaf's process. For LeafPolicy.ColdTime after its start
// a leaf is cold: it gets sub-queries only in the turns of the sender and within the
// cold concurrency and rate. A warm leaf has an adaptive concurrency limit (additive
// increase, multiplicative decrease).
//
// The zero value stands for a leaf whose start ID is unknown. It grants no permit
// until ObserveStart is called.
type LeafLimit struct {
	mu          sync.Mutex
	startID     string
	firstSeen   time.Time // when any instance first saw startID
	slowStartAt time.Time // start of the last slow start ramp that BeginSlowStart began
	inFlight    int
	limit       float64     // adaptive limit, 0 if only SenderLimit applies
	decreasedAt time.Time   // last decrease of limit
	lastCold    time.Time   // when the last permit was taken while the leaf was cold
	mayStillRun []time.Time // cold sub-queries without a reply, which may still run until these times
	index       int         // last known sender index plus one, 0 for none
	indexTurn   int64       // last turn in which another process may have used index, 0 if unknown
}

// ObserveStart records that startID was first seen at firstSeen. A new start ID
// makes the leaf cold; for the current one the earliest time is kept.
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
	l.mayStillRun = nil
}

// BeginSlowStart begins a slow start ramp at now, for a leaf that is used again
// after it was out of use.
func (l *LeafLimit) BeginSlowStart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowStartAt = now
}

// Start returns the current start ID of the leaf and when it was first seen.
func (l *LeafLimit) Start() (startID string, firstSeen time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startID, l.firstSeen
}

// InFlight returns the number of permits taken and not released.
func (l *LeafLimit) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// ObserveSender records the sender index before the first sub-query. If TryAcquire
// were the first to see the index, it could not use the rest of that turn at a cold
// leaf.
func (l *LeafLimit) ObserveSender(now time.Time, req PermitRequest) {
	index, count, ok := req.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeSender(now, &req, index, count, ok)
}

// observeSender records a change of the sender index. The current turn is not used
// under the new index, because another process may have sent sub-queries under it
// in this turn. This includes a restart under the same index: the new process does
// not know what the former one sent.
func (l *LeafLimit) observeSender(now time.Time, req *PermitRequest, index, count int, ok bool) {
	if !ok {
		l.index = 0
		return
	}
	if l.index != index+1 {
		l.index = index + 1
		l.indexTurn = 0
	}
	if l.indexTurn != 0 || req.Policy.Turn <= 0 {
		return
	}
	if t, uncertainty, known := req.Views.StoreTime.Estimate(now); known {
		turns := Turns{Length: req.Policy.Turn, Senders: count}
		l.indexTurn = turns.Number(t.Add(uncertainty))
	}
}

// TryAcquire takes a permit for req at now without waiting. The kind of its error is
// NoTurn if the start ID is unknown or the leaf is cold and the turn does not allow
// the sub-query, else NoCapacity.
func (l *LeafLimit) TryAcquire(now time.Time, req PermitRequest) (Permit, *trwire.AttemptError) {
	index, count, ok := req.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeSender(now, &req, index, count, ok)
	if !ok {
		return Permit{}, errNoSender
	}
	if l.startID == "" {
		return Permit{}, errUnknownStart
	}
	p := Permit{StartID: l.startID, Timeout: req.Timeout, takenAt: now, index: index, sender: req.Views.Sender}
	if l.cold(now, req.Policy) {
		left, refused := l.coldWindow(now, &req, Turns{Length: req.Policy.Turn, Senders: count}, index)
		if refused != nil {
			return Permit{}, refused
		}
		p.Cold = true
		p.Timeout = req.coldTimeout()
		p.Until = now.Add(left)
		l.lastCold = now
	} else if l.inFlight >= l.warmLimit(now, req.Policy, count) {
		return Permit{}, errWarmConcurrency
	}
	l.inFlight++
	return p, nil
}

func (l *LeafLimit) cold(now time.Time, p *LeafPolicy) bool {
	return now.Sub(l.firstSeen) < p.ColdTime
}

// MaxUncertainty returns the largest uncertainty of the store's time at which
// turns of the given length are used. With a clock drift of 200 ppm, turns of 2 s
// can be used for more than an hour without contact with the store.
func MaxUncertainty(turn time.Duration) time.Duration { return turn * 2 / 5 }

const (
	// maxDeliveryMargin is the time that a sub-query may take to a leaf, and that a busy
	// leaf may take to notice its end, beyond its timeout.
	maxDeliveryMargin = 50 * time.Millisecond
	// deliveryMarginDivisor limits the margin to a part of the turn.
	deliveryMarginDivisor = 4
)

// deliveryMargin returns the time at the end of a turn in which nothing may run.
func deliveryMargin(turn time.Duration) time.Duration {
	return min(maxDeliveryMargin, turn/deliveryMarginDivisor)
}

// coldWindow returns how long a sub-query that is sent to the cold leaf now may
// take.
//
// A guard time of the uncertainty is kept free at both ends of the turn, because
// the clock of one sender can be late while that of the next is early. One rate
// interval is also kept free at the start, because the previous sender may have
// sent a sub-query at the very end of its turn. The delivery margin is kept free at the
// end, because the leaf counts the timeout of a sub-query from its arrival.
func (l *LeafLimit) coldWindow(now time.Time, req *PermitRequest, turns Turns, index int) (time.Duration, *trwire.AttemptError) {
	if turns.Length <= 0 || turns.Senders <= 0 {
		return 0, errNoStoreTime
	}
	t, uncertainty, ok := req.Views.StoreTime.Estimate(now)
	if !ok || uncertainty > MaxUncertainty(turns.Length) {
		return 0, errNoStoreTime
	}
	if turns.Holder(req.LeafID, t) != index {
		return 0, errOtherTurn
	}
	if turns.Number(t) <= l.indexTurn {
		return 0, errFirstTurn
	}
	timeout := req.coldTimeout()
	left := turns.Remaining(t) - uncertainty - deliveryMargin(turns.Length) - timeout/driftDivisor
	if timeout <= 0 || left < timeout {
		return 0, errTurnTooShort
	}
	l.mayStillRun = slices.DeleteFunc(l.mayStillRun, func(end time.Time) bool { return !now.Before(end) })
	if l.inFlight+len(l.mayStillRun) >= req.Policy.ColdConcurrent {
		return 0, errColdConcurrency
	}
	interval := req.Policy.coldInterval()
	if turns.Elapsed(t)-uncertainty < interval || now.Sub(l.lastCold) < interval {
		return 0, errColdRate
	}
	return left, nil
}

// warmLimit returns the number of concurrent sub-queries allowed at a warm leaf.
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

// rampStart returns the start of the last slow start ramp. One begins at the end
// of the cold phase.
func (l *LeafLimit) rampStart(p *LeafPolicy) time.Time {
	coldEnd := l.firstSeen.Add(p.ColdTime)
	if l.slowStartAt.After(coldEnd) {
		return l.slowStartAt
	}
	return coldEnd
}

// Release returns the permit p and adapts the limit of a warm leaf to r. A cold
// leaf may notice the cancellation of a sub-query late, so a cold sub-query without
// a reply counts as running until the end of the turn.
func (l *LeafLimit) Release(now time.Time, p Permit, r LoadSignal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.inFlight
	l.inFlight--
	if p.StartID != l.startID {
		return
	}
	if p.Cold {
		if r != Succeeded {
			l.mayStillRun = append(l.mayStillRun, p.Until)
		}
		return
	}
	switch r {
	case Succeeded:
		// The limit grows only when it is fully used. 0 already means the largest
		// one, SenderLimit.
		if l.limit > 0 && float64(used) >= math.Floor(l.limit) {
			l.limit += 1 / l.limit
		}
	case Overloaded:
		// One overload fails many concurrent sub-queries. Only those that started
		// after the last decrease ran under the new limit.
		if p.takenAt.Before(l.decreasedAt) {
			return
		}
		if l.limit == 0 || l.limit > float64(used) {
			l.limit = float64(used)
		}
		l.limit = max(1, l.limit*decreaseFactor)
		l.decreasedAt = now
	}
}

// RetryDelay returns the time after which TryAcquire may succeed without a permit
// being released in between: when a turn or a rate interval starts, or when the
// slow start ramp allows more.
func (l *LeafLimit) RetryDelay(now time.Time, req PermitRequest) time.Duration {
	index, count, ok := req.Views.Sender.Sender(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !l.cold(now, req.Policy) {
		return warmRetryDelay
	}
	turns := Turns{Length: req.Policy.Turn, Senders: count}
	coldEnd := l.firstSeen.Add(req.Policy.ColdTime).Sub(now)
	t, uncertainty, known := req.Views.StoreTime.Estimate(now)
	if !known || turns.Length <= 0 || turns.Senders <= 0 {
		return min(coldEnd, warmRetryDelay)
	}
	interval := req.Policy.coldInterval()
	_, refused := l.coldWindow(now, &req, turns, index)
	wait := turns.UntilNext(index, req.LeafID, t) + uncertainty + interval
	if refused == nil {
		wait = 0
	}
	if refused == errColdRate {
		wait = max(interval+uncertainty-turns.Elapsed(t), interval-now.Sub(l.lastCold))
	}
	if refused == errColdConcurrency {
		wait = min(interval, warmRetryDelay)
	}
	return max(minRetryDelay, min(wait, coldEnd))
}
