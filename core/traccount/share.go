package traccount

import (
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time over which an account may save up share that it did not use, and
	// for which it owes what it used beyond its share: the last one to two windows. Bursts of
	// callers that repeat their requests last seconds.
	shareWindow = 2 * time.Second
	// accountQueries is the number of queries that an account may save up or owe even if its
	// share of the window is less. With one, small accounts lose share to the rounding: they
	// were served 0.6 of their queries where large ones were served 0.7.
	accountQueries = 2
	// askWindow is the time for which a rank counts as asked for after its latest request. It
	// is that after which an overload that has not shown itself again ends.
	askWindow = 5 * time.Second
	// levelSamples is the number of refusals over which the level of service is averaged. If
	// one query in twenty is refused, as in a slight overload, the level is 160 queries behind.
	levelSamples = 8
	// holdSamples is the number of queries over which their time is averaged.
	holdSamples = 32
	// waitPlaces is the number of places that are expected to become free while a query waits,
	// even if it is then likely to be late. The limit grows until queries are late, and without
	// it, a query could not wait then: an account at its usual rate was served 0.82 of its
	// queries beside a greedy one, and with it 0.89.
	waitPlaces = 3
	// reserveFrom is the share of the limit that queries of higher precedence must use for one
	// place to be kept free for them. Without it, a burst of both kinds at a limit of 6 lost
	// 0.13 of the urgent queries, for which no place became free in time, and with it 0.07. The
	// less urgent kind went from 0.57 to 0.50.
	reserveFrom = 0.25
	// excessFrom is how far below the level of service the counter of an account must be, in
	// windows, for its queries to go before urgent ones of accounts that use all their share.
	// At 0.9, accounts below their share lost 0.2 of their less urgent queries to accounts that
	// asked for six times their rate, instead of 0.07 without these. At 0, a burst of all
	// accounts lost 0.26 of the urgent queries instead of 0.07.
	excessFrom = 0.5
)

// Class describes a query for the decision whether it is served.
type Class struct {
	Account string  // empty if the query belongs to no client account
	Weight  float64 // of the account's share among those of the others; 0 counts as 1
	Rank    int     // 0 is the most urgent
	// Due is when the answer is due; zero if there is no such time.
	Due time.Time
	// MaxWait is how long the query may wait at most.
	MaxWait time.Duration
}

// Decision is the answer to a query that asks to be served.
type Decision int

// Decisions.
const (
	Refused  Decision = iota // not served
	Admitted                 // served now
	Waiting                  // decided later, at the latest at the Latest time of the Ticket
)

// Ticket is the place of a query that runs or waits.
type Ticket struct {
	Class
	// Latest is when a waiting query must be withdrawn.
	Latest time.Time

	order   order
	since   time.Time // of its arrival or, if it runs, of its admission
	decided chan bool
	waiting bool
}

// Decided returns the channel on which the decision about a waiting query arrives: true if it
// is admitted, false if it is refused. A query that was withdrawn gets none.
func (t *Ticket) Decided() <-chan bool { return t.decided }

// usage is what an account was served.
type usage struct {
	counter float64 // queries, divided by the weight
	weight  float64
}

// order is what decides first which query is served.
type order struct {
	excess bool // the account is not well below its share
	rank   int
}

// ahead reports whether queries of an order go before those of another one.
func (o order) ahead(other order) bool {
	if o.excess != other.excess {
		return other.excess
	}
	return o.rank < other.rank
}

// ask is what queries of an order have asked for recently.
type ask struct {
	order   order
	last    time.Time
	count   float64 // queries in the current window
	before  float64 // queries in the window before
	hold    float64 // mean time for which a query runs, in seconds
	running int
}

// Shares decides which queries an instance serves if it cannot serve all, in place of the order
// of arrival: first those of accounts that ask for less than their share, then the most urgent
// rank, then the account that got least of its share, then the order of arrival.
//
// The load is a burst of several times what an instance serves. 6 to 12 queries run at once, and
// a place becomes free every 5 to 15 ms. Accounts differ by a factor of several hundred, and
// some ask for many times their usual rate. A query that finds no place waits for one for a
// fraction of its objective, so that there is a choice, as long as it is expected in time or some
// places are expected to become free; one that can't wait is refused at once. A waiting query has sent nothing and may be refused in favor of another one.
//
// The precedence of a rank ends where an account uses more than its share: otherwise one
// account with urgent queries could take the capacity of all others.
//
// Each account has a counter of the queries that were served, divided by its weight. The least
// counter goes first. The level of service is the mean of the counters at which queries are
// refused: an account below it got less than its share. A counter is kept within a window
// around the level, or within two queries if that is more, so that accounts that ask once in
// many windows get their share too. Queries without an account count as exactly at the level.
//
// Queries do not wait if nothing distinguishes them: without accounts, and with one rank.
//
// Memory is bounded by the accounts that were served during the overload, of which Acquire must
// get only names of the configuration, the ranks in use, and the limit.
// The zero value is ready to use and has no limit. Callers serialize the calls of its methods.
type Shares struct {
	limit   float64 // queries that may run at once, 0 if unlimited
	running int
	waiting []*Ticket // in order of arrival, at most as many as the limit

	level    float64          // of service
	used     map[string]usage // by account
	windowAt time.Time        // start of the window
	marks    [2]float64       // level at the start of the window before, and of this one
	asks     []ask            // by order
}

// Accounts returns the number of accounts with a counter.
func (s *Shares) Accounts() int { return len(s.used) }

// Running returns the number of queries that run.
func (s *Shares) Running() int { return s.running }

// Limit returns the number of queries that may run at once, 0 if unlimited.
func (s *Shares) Limit() float64 { return s.limit }

// Full reports whether as many queries run as the limit permits.
func (s *Shares) Full() bool { return s.limit > 0 && float64(s.running+1) > s.limit }

// SetLimit sets the number of queries that may run at once, and admits those that wait and have
// room now. Without a limit, nothing is recorded of accounts and ranks.
func (s *Shares) SetLimit(limit float64, now time.Time) {
	s.limit = limit
	if limit > 0 {
		s.dispatch(now)
		return
	}
	for len(s.waiting) > 0 {
		s.admit(s.waiting[0], now)
	}
	*s = Shares{running: s.running}
}

// Acquire decides whether a query is served. If it is admitted, Release must be called when it
// has ended; the ticket is nil if there is no limit. If it waits, Withdraw must be called
// unless a decision arrives until then.
func (s *Shares) Acquire(c Class, now time.Time) (Decision, *Ticket) {
	if s.limit == 0 {
		s.running++
		return Admitted, nil
	}
	s.rotate(now)
	o := s.order(&c)
	a := s.asked(o)
	a.count++
	a.last = now
	t := &Ticket{Class: c, order: o, since: now, Latest: now.Add(c.MaxWait)}
	if !c.Due.IsZero() {
		t.Latest = s.latest(&c, a.hold, now)
	}
	s.dispatch(now) // what waits comes first, if there is room for it now
	if s.hasRoom(o) {
		s.admit(t, now)
		return Admitted, t
	}
	if !t.Latest.After(now) || !s.distinguishes(c, now) {
		s.recordRefused(&c)
		return Refused, nil
	}
	t.waiting, t.decided = true, make(chan bool, 1)
	s.waiting = append(s.waiting, t)
	if float64(len(s.waiting)) > s.limit {
		s.refuse(s.last())
	}
	if !t.waiting {
		return Refused, nil
	}
	return Waiting, t
}

// latest returns until when a query waits that runs for some seconds.
func (s *Shares) latest(c *Class, hold float64, now time.Time) time.Time {
	latest := c.Due.Add(-time.Duration(hold * float64(time.Second)))
	places := now.Add(time.Duration(waitPlaces * hold / s.limit * float64(time.Second)))
	if latest.Before(places) && places.Before(c.Due) {
		latest = places
	}
	if limit := now.Add(c.MaxWait); limit.Before(latest) {
		return limit
	}
	return latest
}

// Withdraw ends the wait of a query and reports whether it has been admitted meanwhile.
func (s *Shares) Withdraw(t *Ticket) (admitted bool) {
	if t.waiting {
		s.remove(t)
		s.recordRefused(&t.Class)
		return false
	}
	select {
	case admitted = <-t.decided:
	default: // the decision was received before
	}
	return admitted
}

// Release records that an admitted query has ended, and admits one that waits.
func (s *Shares) Release(t *Ticket, now time.Time) {
	s.running--
	if s.limit == 0 {
		return
	}
	if t != nil {
		a := s.asked(t.order)
		a.running = max(a.running-1, 0) // the limit may be newer than the query
		held := max(0, now.Sub(t.since).Seconds())
		if a.hold == 0 {
			a.hold = held
		}
		a.hold += (held - a.hold) / holdSamples
	}
	s.dispatch(now)
}

// admit starts a query.
func (s *Shares) admit(t *Ticket, now time.Time) {
	s.running++
	t.since = now
	if t.waiting {
		s.remove(t)
		t.decided <- true
	}
	if s.limit == 0 {
		return
	}
	s.asked(t.order).running++
	if t.Account == "" {
		return
	}
	if s.used == nil {
		s.used = make(map[string]usage)
	}
	s.used[t.Account] = usage{counter: s.counter(&t.Class) + 1/t.weight(), weight: t.weight()}
}

// recordRefused adjusts the level of service after a refusal. An account that is served at the
// level has a counter between the level and one query above it when it is refused.
func (s *Shares) recordRefused(c *Class) {
	used, ok := s.used[c.Account]
	if !ok || used.counter < s.level-s.window(c.weight()) {
		return // other ranks kept it from being served
	}
	s.level += (s.counter(c) - 0.5/c.weight() - s.level) / levelSamples
}

// refuse ends the wait of a query with a refusal.
func (s *Shares) refuse(t *Ticket) {
	s.remove(t)
	s.recordRefused(&t.Class)
	t.decided <- false
}

func (s *Shares) remove(t *Ticket) {
	t.waiting = false
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// dispatch admits waiting queries as long as there is room.
func (s *Shares) dispatch(now time.Time) {
	for len(s.waiting) > 0 {
		first := s.waiting[0]
		for _, t := range s.waiting[1:] {
			if s.before(t, first) {
				first = t
			}
		}
		if !s.hasRoom(first.order) {
			return
		}
		if now.After(first.Latest) { // its timer is late
			s.refuse(first)
			continue
		}
		s.admit(first, now)
	}
}

// last returns the waiting query that would be served last.
func (s *Shares) last() *Ticket {
	last := s.waiting[0]
	for _, t := range s.waiting[1:] {
		if !s.before(t, last) {
			last = t
		}
	}
	return last
}

// before reports whether a waiting query goes before another one that arrived earlier.
func (s *Shares) before(t, earlier *Ticket) bool {
	if t.order != earlier.order {
		return t.order.ahead(earlier.order)
	}
	return s.counter(&t.Class) < s.counter(&earlier.Class)
}

// order returns the order of a query.
func (s *Shares) order(c *Class) order {
	return order{rank: c.Rank, excess: s.counter(c) > s.level-excessFrom*s.window(c.weight())}
}

// counter returns the counter of the account of a query, within a window around the level.
func (s *Shares) counter(c *Class) float64 {
	if c.Account == "" {
		return s.level
	}
	window := s.window(c.weight())
	used, ok := s.used[c.Account]
	if !ok {
		return s.level - window
	}
	return min(max(used.counter, s.level-window), s.level+window)
}

// window returns how far the counter of an account of a weight may be from the level.
func (s *Shares) window(weight float64) float64 {
	return max(s.level-s.marks[0], accountQueries/weight)
}

func (c *Class) weight() float64 {
	if c.Weight > 0 && !math.IsInf(c.Weight, 1) {
		return c.Weight
	}
	return 1
}

// hasRoom reports whether a query may run now. One place is kept free for queries of higher
// precedence if they asked for much of the limit recently and do not use it now: then it is
// likely that one of them arrives before another place becomes free.
func (s *Shares) hasRoom(o order) bool {
	free := s.limit - float64(s.running)
	if free < 1 || free >= 2 {
		return free >= 2
	}
	asked, running := 0.0, 0 // places of queries of higher precedence
	for i := range s.asks {
		if a := &s.asks[i]; a.order.ahead(o) {
			asked += max(a.count, a.before) / shareWindow.Seconds() * a.hold
			running += a.running
		}
	}
	return asked < reserveFrom*s.limit || float64(running) >= asked
}

// distinguishes reports whether the order in which queries are served depends on more than
// their arrival.
func (s *Shares) distinguishes(c Class, now time.Time) bool {
	return c.Account != "" || slices.ContainsFunc(s.asks, func(a ask) bool {
		return a.order.rank != c.Rank && now.Sub(a.last) < askWindow
	})
}

// asked returns the record of an order. It is valid until the next call.
func (s *Shares) asked(o order) *ask {
	for i := range s.asks {
		if s.asks[i].order == o {
			return &s.asks[i]
		}
	}
	s.asks = append(s.asks, ask{order: o})
	return &s.asks[len(s.asks)-1]
}

// rotate begins a new window when the current one is over, and forgets the accounts and ranks
// that have no effect any more.
func (s *Shares) rotate(now time.Time) {
	if now.Sub(s.windowAt) < shareWindow {
		return
	}
	s.windowAt = now
	s.marks = [2]float64{s.marks[1], s.level}
	for account, used := range s.used {
		if used.counter <= s.level-s.window(used.weight) {
			delete(s.used, account) // counts as one that was not served
		}
	}
	for i := range s.asks {
		s.asks[i].before, s.asks[i].count = s.asks[i].count, 0
	}
	s.asks = slices.DeleteFunc(s.asks, func(a ask) bool { return a.running == 0 && now.Sub(a.last) >= askWindow })
}
