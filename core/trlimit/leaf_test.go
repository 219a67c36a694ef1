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

// fakeSender is a sender index and a store clock with an error.
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

func (f *fakeSender) work(p *LeafPolicy, timeout time.Duration) PermitRequest {
	return PermitRequest{LeafID: "leaf", Timeout: timeout, Policy: p, Views: Views{f, f}}
}

func newSender(index int) *fakeSender { return &fakeSender{index: index, count: 12, ok: true} }

func coldPolicy() *LeafPolicy {
	return &LeafPolicy{
		Connections: 60, SenderIndexes: 12, ColdConcurrent: 1, ColdPerSecond: 50,
		ColdTime: time.Hour, SlowStart: 10 * time.Second, Turn: 500 * time.Millisecond,
	}
}

// running is a sub-query at the simulated leaf. The leaf stops it at its timeout
// even if the sender is gone.
type running struct {
	sender int
	permit Permit
	end    time.Time
}

// Guards against the sum over all senders exceeding what a cold leaf bears, with
// clocks that are wrong within their uncertainty and senders that restart.
func TestColdSumOverSenders(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			p := coldPolicy()
			p.Turn = time.Duration(100+rng.IntN(900)) * time.Millisecond
			p.ColdConcurrent = 1 + rng.IntN(3)
			p.ColdPerSecond = float64(20 + rng.IntN(180))
			assert.Equal(t, simulateCold(t, rng, p) > 0, true)
		})
	}
}

// simulateCold runs 12 senders that always want to send and returns the number of
// sub-queries that the leaf received.
func simulateCold(t *testing.T, rng *rand.Rand, p *LeafPolicy) int {
	limits := make([]*LeafLimit, 12)
	senders := make([]*fakeSender, 12)
	restart := func(i int, now time.Time) {
		limits[i] = new(LeafLimit)
		limits[i].ObserveStart("s1", origin)
		u := time.Duration(rng.Int64N(int64(p.Turn / 8)))
		senders[i] = newSender(i)
		senders[i].uncertainty = u
		senders[i].skew = time.Duration(rng.Int64N(2*int64(u)+1)) - u
		limits[i].ObserveSender(now, senders[i].work(p, 0))
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
				limits[r.sender].Release(now, r.permit, Succeeded)
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
		permit, refused := limits[i].TryAcquire(now, senders[i].work(p, timeout))
		if refused != nil {
			continue
		}
		atLeaf = append(atLeaf, running{i, permit, now.Add(timeout)})
		starts = append(starts, now)
		assert.Assert(t, len(atLeaf) <= p.ColdConcurrent, "concurrency at %v", now.Sub(origin))
	}
	for i := 1; i < len(starts); i++ {
		assert.Assert(t, starts[i].Sub(starts[i-1]) >= p.interval(), "rate at %v", starts[i].Sub(origin))
	}
	return len(starts)
}

// Guards against work without a sender index, without store time or outside the
// turn.
func TestRefusals(t *testing.T) {
	p := coldPolicy()
	turns := Turns{p.Turn, 12}
	own := newSender(turns.Holder("leaf", origin))
	cases := []struct {
		name   string
		change func(s *fakeSender, w *PermitRequest)
		at     time.Duration
		kind   trwire.AttemptErrorKind
	}{
		{"granted", func(*fakeSender, *PermitRequest) {}, 20 * time.Millisecond, ""},
		{"no sender", func(s *fakeSender, _ *PermitRequest) { s.ok = false }, 20 * time.Millisecond, trwire.AttemptNoCapacity},
		{"other index", func(s *fakeSender, _ *PermitRequest) { s.index = (s.index + 1) % 12 }, 20 * time.Millisecond, trwire.AttemptNoTurn},
		{"uncertain time", func(s *fakeSender, _ *PermitRequest) { s.uncertainty = MaxUncertainty(p.Turn) + 1 }, 200 * time.Millisecond, trwire.AttemptNoTurn},
		{"before the first interval", func(*fakeSender, *PermitRequest) {}, 19 * time.Millisecond, trwire.AttemptNoCapacity},
		{"too long", func(_ *fakeSender, w *PermitRequest) { w.Timeout = 481 * time.Millisecond }, 20 * time.Millisecond, trwire.AttemptNoTurn},
		{"shortened", func(_ *fakeSender, w *PermitRequest) { w.Timeout, w.ColdTimeout = time.Second, 50*time.Millisecond }, 20 * time.Millisecond, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := *own
			var l LeafLimit
			w := sender.work(p, 100*time.Millisecond)
			l.ObserveStart("s1", origin.Add(-time.Second))
			l.ObserveSender(origin.Add(-p.Turn), w)
			c.change(&sender, &w)
			if sender.index != own.index {
				l.ObserveSender(origin.Add(-p.Turn), w)
			}
			_, refused := l.TryAcquire(origin.Add(c.at), w)
			if c.kind == "" {
				assert.Assert(t, refused == nil)
				return
			}
			assert.Assert(t, refused != nil)
			assert.Equal(t, refused.Kind, c.kind)
		})
	}
}

// Guards against a process using the turn in which its predecessor with the same
// index may have sent.
func TestFirstTurnAfterRestartIsNotUsed(t *testing.T) {
	p := coldPolicy()
	turns := Turns{p.Turn, 12}
	sender := newSender(turns.Holder("leaf", origin))
	var l LeafLimit
	l.ObserveStart("s1", origin)
	w := sender.work(p, 50*time.Millisecond)
	_, refused := l.TryAcquire(origin.Add(100*time.Millisecond), w)
	assert.Equal(t, refused, firstTurn)
	_, refused = l.TryAcquire(origin.Add(12*p.Turn+100*time.Millisecond), w)
	assert.Assert(t, refused == nil)
}

// Guards against a leaf that stays cold because most sender indexes are not held.
func TestLeafGetsWarmWithFewSenders(t *testing.T) {
	p := coldPolicy()
	p.ColdTime = 5 * time.Second
	var coldGrants, warmGrants int
	for _, index := range []int{2, 7, 8} {
		sender := newSender(index)
		w := sender.work(p, 50*time.Millisecond)
		var l LeafLimit
		l.ObserveSender(origin.Add(-p.Turn), w)
		l.ObserveStart("s1", origin)
		for at := time.Duration(0); at < 6*time.Second; at += time.Millisecond {
			permit, refused := l.TryAcquire(origin.Add(at), w)
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
	assert.Equal(t, warmGrants, 3*1000)
}

// Guards against a limit that ignores overload, never grows back, or falls below
// one, and against a restart that keeps the leaf warm.
func TestWarmLimitAdapts(t *testing.T) {
	p := coldPolicy()
	p.ColdTime = time.Second
	sender := newSender(0)
	w := sender.work(p, time.Second)
	now := origin.Add(time.Hour)
	var l LeafLimit
	l.ObserveStart("s1", origin)
	round := func(r Result) (taken int) {
		var permits []Permit
		for {
			permit, refused := l.TryAcquire(now, w)
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
	for _, r := range []Result{Succeeded, Overloaded, Overloaded, Overloaded, Overloaded, Succeeded, Succeeded, Succeeded} {
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
	_, refused := l.TryAcquire(now, w)
	assert.Equal(t, refused.Kind, trwire.AttemptNoTurn)
}

// Guards against a write after a pause in which the turn or the index was lost.
func TestPermitIsCheckedBeforeTheWrite(t *testing.T) {
	p := coldPolicy()
	sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
	w := sender.work(p, 100*time.Millisecond)
	var l LeafLimit
	l.ObserveStart("s1", origin)
	l.ObserveSender(origin.Add(-p.Turn), w)
	permit, refused := l.TryAcquire(origin.Add(100*time.Millisecond), w)
	assert.Assert(t, refused == nil)
	assert.Assert(t, permit.Check(origin.Add(300*time.Millisecond), 100*time.Millisecond) == nil)
	assert.Equal(t, permit.Check(origin.Add(450*time.Millisecond), 100*time.Millisecond), permitOver)
	sender.index++
	assert.Equal(t, permit.Check(origin.Add(100*time.Millisecond), 0), noSender)
}

// Guards against a second sub-query at a cold leaf that has not yet noticed that
// the first one was canceled: its place is free again only in the next turn, or at
// once for a new start of the leaf.
func TestCanceledColdSubQueryKeepsItsPlace(t *testing.T) {
	p := coldPolicy()
	sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
	w := sender.work(p, 100*time.Millisecond)
	cases := []struct {
		name   string
		result Result
		start  string // of the leaf at the second sub-query
		at     time.Duration
		want   *trwire.AttemptError
	}{
		{"answered", Succeeded, "s1", 150 * time.Millisecond, nil},
		{"canceled", Neutral, "s1", 150 * time.Millisecond, coldFull},
		{"timed out", Overloaded, "s1", 390 * time.Millisecond, coldFull},
		{"next turn", Neutral, "s1", 12*p.Turn + 100*time.Millisecond, nil},
		{"next start", Neutral, "s2", 150 * time.Millisecond, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l LeafLimit
			l.ObserveStart("s1", origin)
			l.ObserveSender(origin.Add(-p.Turn), w)
			permit, refused := l.TryAcquire(origin.Add(100*time.Millisecond), w)
			assert.Assert(t, refused == nil)
			l.Release(origin.Add(110*time.Millisecond), permit, c.result)
			l.ObserveStart(c.start, origin.Add(120*time.Millisecond))
			_, refused = l.TryAcquire(origin.Add(c.at), w)
			assert.Equal(t, refused, c.want)
		})
	}
}

// Guards against a sender that was frozen between its permit and the write: when
// it resumes, its lease may have ended, the next turn may have begun, or another
// process may hold its index in this very turn of the table.
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
		{"resumes too late in the turn", 301 * time.Millisecond, func(*fakeSender) {}, permitOver},
		{"resumes in the next turn of its index", 12 * p.Turn, func(*fakeSender) {}, permitOver},
		{"lease ended", 2 * time.Hour, func(s *fakeSender) { s.ok = false }, noSender},
		{"other index claimed since", 0, func(s *fakeSender) { s.index = (s.index + 1) % 12 }, noSender},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := newSender(Turns{p.Turn, 12}.Holder("leaf", origin))
			var l LeafLimit
			l.ObserveStart("s1", origin)
			l.ObserveSender(origin.Add(-p.Turn), sender.work(p, timeout))
			now := origin.Add(100 * time.Millisecond)
			permit, refused := l.TryAcquire(now, sender.work(p, timeout))
			assert.Assert(t, refused == nil)
			c.change(sender)
			assert.Equal(t, permit.Check(now.Add(c.frozen), timeout), c.want)
		})
	}
}
