package trlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

var origin = time.Unix(1_800_000_000, 0)

// fakeSender holds a sender index and estimates the store's time with an error of
// skew.
type fakeSender struct {
	index, count int
	ok           bool
	skew         time.Duration
	uncertainty  time.Duration
}

func (f *fakeSender) Sender(time.Time) (int, int, bool) { return f.index, f.count, f.ok }

func (f *fakeSender) Estimate(now time.Time) (time.Time, time.Duration, bool) {
	return now.Add(f.skew), f.uncertainty, true
}

func (f *fakeSender) request(p *LeafPolicy, timeout time.Duration) PermitRequest {
	return PermitRequest{LeafID: "leaf", Timeout: timeout, Policy: p, Views: Views{f, f}}
}

func newSender(index int) *fakeSender { return &fakeSender{index: index, count: 12, ok: true} }

func coldPolicy() *LeafPolicy {
	return &LeafPolicy{
		Connections: 60, SenderIndexes: 12, ColdConcurrent: 1, ColdPerSecond: 50,
		ColdTime: time.Hour, SlowStart: 10 * time.Second, Turn: 500 * time.Millisecond,
	}
}

// running is a sub-query at the simulated leaf. The leaf ends it at its timeout
// even if the sender has restarted.
type running struct {
	sender int // -1 if the sender has restarted since
	permit Permit
	end    time.Time
	signal LoadSignal // to the sender at the end
}

// Guards against all senders together exceeding the concurrency or the rate of a
// cold leaf, with clocks that are off by up to their uncertainty and senders that
// restart.
func TestColdLimitsOverAllSenders(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			p := coldPolicy()
			p.Turn = time.Duration(100+rng.IntN(900)) * time.Millisecond
			p.ColdConcurrent = 1 + rng.IntN(3)
			p.ColdPerSecond = float64(20 + rng.IntN(180))
			assert.Equal(t, simulateCold(t, rng, p, 0) > 0, true)
		})
	}
}

// Guards against two senders that exceed the concurrency of a cold leaf around the end
// of a turn, because a sub-query of the first reaches the leaf late, or the leaf notices
// its end late, when the second already sends.
func TestColdConcurrencyWithLateDelivery(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 8))
			p := coldPolicy()
			p.Turn = time.Duration(100+rng.IntN(900)) * time.Millisecond
			p.ColdPerSecond = 1000
			assert.Equal(t, simulateCold(t, rng, p, 20*time.Millisecond) > 0, true)
		})
	}
}

// simulateCold runs 12 senders that send whenever they get a permit. A sub-query reaches
// the leaf, whose timeout begins then, up to maxDelay after it was sent. It returns the
// number of sub-queries that the leaf received.
func simulateCold(t *testing.T, rng *rand.Rand, p *LeafPolicy, maxDelay time.Duration) int {
	limits := make([]*LeafLimit, 12)
	senders := make([]*fakeSender, 12)
	restart := func(i int, now time.Time) {
		limits[i] = new(LeafLimit)
		limits[i].ObserveStart("s1", origin)
		u := time.Duration(rng.Int64N(int64(p.Turn / 8)))
		if maxDelay > 0 {
			u = time.Millisecond // does not cover the delay
		}
		senders[i] = newSender(i)
		senders[i].uncertainty = u
		senders[i].skew = time.Duration(rng.Int64N(2*int64(u)+1)) - u
		limits[i].ObserveSender(now, senders[i].request(p, 0))
	}
	for i := range limits {
		restart(i, origin)
	}
	var atLeaf []running
	var starts []time.Time
	for now := origin; now.Before(origin.Add(30 * time.Second)); now = now.Add(time.Millisecond) {
		kept := atLeaf[:0]
		for _, r := range atLeaf {
			if r.end.After(now) {
				kept = append(kept, r)
			} else if r.sender >= 0 {
				limits[r.sender].Release(now, r.permit, r.signal)
			}
		}
		atLeaf = kept
		if rng.IntN(300) == 0 {
			gone := rng.IntN(12)
			restart(gone, now)
			for i := range atLeaf {
				if atLeaf[i].sender == gone {
					atLeaf[i].sender = -1
				}
			}
		}
		i := rng.IntN(12)
		timeout := time.Duration(1+rng.IntN(60)) * time.Millisecond
		permit, refused := limits[i].TryAcquire(now, senders[i].request(p, timeout))
		if refused != nil {
			continue
		}
		r := running{sender: i, permit: permit, end: now.Add(timeout), signal: Succeeded}
		if maxDelay > 0 {
			delay := time.Duration(rng.Int64N(int64(maxDelay) + 1))
			r.end = now.Add(delay + time.Duration(rng.Int64N(int64(timeout)+1)))
			if r.end.After(now.Add(timeout)) {
				r.signal = Neutral // the sender gave up before
			}
		}
		atLeaf = append(atLeaf, r)
		starts = append(starts, now)
		assert.Assert(t, len(atLeaf) <= p.ColdConcurrent, "concurrency limit exceeded at %v", now.Sub(origin))
	}
	for i := 1; i < len(starts) && maxDelay == 0; i++ {
		assert.Assert(t, starts[i].Sub(starts[i-1]) >= p.coldInterval(), "rate limit exceeded at %v", starts[i].Sub(origin))
	}
	return len(starts)
}

// Guards against sub-queries to a cold leaf from a sender that holds no index, whose
// estimate of the store's time is too uncertain, or whose turn it is not, has just
// begun or will end too soon.
func TestTryAcquireRefusals(t *testing.T) {
	p := coldPolicy()
	turns := Turns{p.Turn, 12}
	own := newSender(turns.Holder("leaf", origin))
	cases := []struct {
		name   string
		change func(s *fakeSender, r *PermitRequest)
		at     time.Duration
		kind   trwire.AttemptErrorKind
	}{
		{"granted", func(*fakeSender, *PermitRequest) {}, 20 * time.Millisecond, ""},
		{"no sender", func(s *fakeSender, _ *PermitRequest) { s.ok = false }, 20 * time.Millisecond, trwire.AttemptNoCapacity},
		{"other index", func(s *fakeSender, _ *PermitRequest) { s.index = (s.index + 1) % 12 }, 20 * time.Millisecond, trwire.AttemptNoTurn},
		{"uncertain time", func(s *fakeSender, _ *PermitRequest) { s.uncertainty = MaxUncertainty(p.Turn) + 1 }, 200 * time.Millisecond, trwire.AttemptNoTurn},
		{"within the cold interval after the start of the turn", func(*fakeSender, *PermitRequest) {}, 19 * time.Millisecond, trwire.AttemptNoCapacity},
		{"too long", func(_ *fakeSender, r *PermitRequest) { r.Timeout = 481 * time.Millisecond }, 20 * time.Millisecond, trwire.AttemptNoTurn},
		{"shortened", func(_ *fakeSender, r *PermitRequest) { r.Timeout, r.ColdTimeout = time.Second, 50*time.Millisecond }, 20 * time.Millisecond, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := *own
			var l LeafLimit
			r := sender.request(p, 100*time.Millisecond)
			l.ObserveStart("s1", origin.Add(-time.Second))
			l.ObserveSender(origin.Add(-p.Turn), r)
			c.change(&sender, &r)
			if sender.index != own.index {
				l.ObserveSender(origin.Add(-p.Turn), r)
			}
			_, refused := l.TryAcquire(origin.Add(c.at), r)
			if c.kind == "" {
				assert.Assert(t, refused == nil)
				return
			}
			assert.Assert(t, refused != nil)
			assert.Equal(t, refused.Kind, c.kind)
		})
	}
}

// Guards against a process using the turn in which an earlier process with the same
// sender index may have sent.
func TestFirstTurnAfterRestartIsNotUsed(t *testing.T) {
	p := coldPolicy()
	turns := Turns{p.Turn, 12}
	sender := newSender(turns.Holder("leaf", origin))
	var l LeafLimit
	l.ObserveStart("s1", origin)
	req := sender.request(p, 50*time.Millisecond)
	_, refused := l.TryAcquire(origin.Add(100*time.Millisecond), req)
	assert.Equal(t, refused, errFirstTurn)
	_, refused = l.TryAcquire(origin.Add(12*p.Turn+100*time.Millisecond), req)
	assert.Assert(t, refused == nil)
}

// Guards against a leaf staying cold because most sender indexes are not held.
func TestLeafGetsWarmWithFewSenders(t *testing.T) {
	p := coldPolicy()
	p.ColdTime = 5 * time.Second
	var coldGrants, warmGrants int
	for _, index := range []int{2, 7, 8} {
		sender := newSender(index)
		req := sender.request(p, 50*time.Millisecond)
		var l LeafLimit
		l.ObserveSender(origin.Add(-p.Turn), req)
		l.ObserveStart("s1", origin)
		for at := time.Duration(0); at < 6*time.Second; at += time.Millisecond {
			permit, refused := l.TryAcquire(origin.Add(at), req)
			if refused != nil {
				continue
			}
			assert.Equal(t, permit.Cold, at < p.ColdTime)
			if permit.Cold {
				coldGrants++
			} else {
				warmGrants++
			}
			l.Release(origin.Add(at), permit, Succeeded)
		}
	}
	assert.Assert(t, coldGrants > 0)
	// Each of the three senders gets a permit in every millisecond of the last second,
	// when the leaf is warm.
	assert.Equal(t, warmGrants, 3*1000)
}

// Guards against a limit that does not decrease on overload, does not recover or
// falls below one, and against a leaf that still counts as warm after a restart.
func TestWarmLimitAdapts(t *testing.T) {
	p := coldPolicy()
	p.ColdTime = time.Second
	sender := newSender(0)
	req := sender.request(p, time.Second)
	now := origin.Add(time.Hour)
	var l LeafLimit
	l.ObserveStart("s1", origin)
	round := func(r LoadSignal) (taken int) {
		var permits []Permit
		for {
			permit, refused := l.TryAcquire(now, req)
			if refused != nil {
				break
			}
			permits = append(permits, permit)
		}
		now = now.Add(10 * time.Millisecond)
		for _, permit := range permits {
			l.Release(now, permit, r)
		}
		return len(permits)
	}
	var got []int
	for _, r := range []LoadSignal{Succeeded, Overloaded, Overloaded, Overloaded, Overloaded, Succeeded, Succeeded, Succeeded} {
		got = append(got, round(r))
	}
	assert.DeepEqual(t, got, []int{5, 5, 3, 2, 1, 1, 2, 2})
	for range 20 {
		round(Succeeded)
	}
	assert.Equal(t, round(Succeeded), 5)

	l.BeginSlowStart(now)
	var ramp []int
	for range 5 {
		ramp = append(ramp, round(Neutral))
		now = now.Add(p.SlowStart / 4)
	}
	assert.DeepEqual(t, ramp, []int{1, 2, 3, 4, 5})

	l.ObserveStart("s2", now)
	_, refused := l.TryAcquire(now, req)
	assert.Equal(t, refused.Kind, trwire.AttemptNoTurn)
}

// Guards against a write after a pause during which the turn ended or the sender
// index changed.
func TestPermitIsCheckedBeforeTheWrite(t *testing.T) {
	p := coldPolicy()
	sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
	req := sender.request(p, 100*time.Millisecond)
	var l LeafLimit
	l.ObserveStart("s1", origin)
	l.ObserveSender(origin.Add(-p.Turn), req)
	permit, refused := l.TryAcquire(origin.Add(100*time.Millisecond), req)
	assert.Assert(t, refused == nil)
	assert.Assert(t, permit.Check(origin.Add(300*time.Millisecond), 100*time.Millisecond) == nil)
	assert.Equal(t, permit.Check(origin.Add(450*time.Millisecond), 100*time.Millisecond), errPermitExpired)
	sender.index++
	assert.Equal(t, permit.Check(origin.Add(100*time.Millisecond), 0), errNoSender)
}

// Guards against a second concurrent sub-query at a cold leaf that has not yet
// noticed the cancellation of the first one. The first one counts as running until
// the next turn of the sender, or until the leaf restarts.
func TestCanceledColdSubQueryCountsAsRunning(t *testing.T) {
	p := coldPolicy()
	sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
	req := sender.request(p, 100*time.Millisecond)
	cases := []struct {
		name   string
		result LoadSignal
		start  string // start ID of the leaf at the second sub-query
		at     time.Duration
		want   *trwire.AttemptError
	}{
		{"answered", Succeeded, "s1", 150 * time.Millisecond, nil},
		{"canceled", Neutral, "s1", 150 * time.Millisecond, errColdConcurrency},
		{"timed out", Overloaded, "s1", 390*time.Millisecond - deliveryMargin(p.Turn), errColdConcurrency},
		{"next turn", Neutral, "s1", 12*p.Turn + 100*time.Millisecond, nil},
		{"next start", Neutral, "s2", 150 * time.Millisecond, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l LeafLimit
			l.ObserveStart("s1", origin)
			l.ObserveSender(origin.Add(-p.Turn), req)
			permit, refused := l.TryAcquire(origin.Add(100*time.Millisecond), req)
			assert.Assert(t, refused == nil)
			l.Release(origin.Add(110*time.Millisecond), permit, c.result)
			l.ObserveStart(c.start, origin.Add(120*time.Millisecond))
			_, refused = l.TryAcquire(origin.Add(c.at), req)
			assert.Equal(t, refused, c.want)
		})
	}
}

// Guards against a write by a sender that was frozen after it took the permit. When
// it resumes, its turn or its lease may be over, or it may hold another index.
func TestFrozenSenderWritesNothing(t *testing.T) {
	p := coldPolicy()
	timeout := 100 * time.Millisecond
	cases := []struct {
		name   string
		frozen time.Duration
		change func(s *fakeSender)
		want   *trwire.AttemptError
	}{
		{"not frozen", 0, func(*fakeSender) {}, nil},
		{"resumes too late in its turn", 301 * time.Millisecond, func(*fakeSender) {}, errPermitExpired},
		{"resumes in the next turn of its index", 12 * p.Turn, func(*fakeSender) {}, errPermitExpired},
		{"lease ended", 2 * time.Hour, func(s *fakeSender) { s.ok = false }, errNoSender},
		{"holds another index", 0, func(s *fakeSender) { s.index = (s.index + 1) % 12 }, errNoSender},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
			var l LeafLimit
			l.ObserveStart("s1", origin)
			l.ObserveSender(origin.Add(-p.Turn), sender.request(p, timeout))
			now := origin.Add(100 * time.Millisecond)
			permit, refused := l.TryAcquire(now, sender.request(p, timeout))
			assert.Assert(t, refused == nil)
			c.change(sender)
			assert.Equal(t, permit.Check(now.Add(c.frozen), timeout), c.want)
		})
	}
}
