package traccount

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
)

const (
	// slotCount is the number of sets into which accounts are divided by their names. A set
	// has one owner, so an instance sends its leases to at most this many others.
	slotCount = 3
	// creditTime is how long credit is valid that an instance holds, counted from its request.
	creditTime = time.Second
	// maxQuota is the largest rate and burst, in requests.
	maxQuota = 1e9
	// maxWaitMs bounds the time that an owner states until there is credit again.
	maxWaitMs = 3_600_000
	// maxShares bounds the instances that lease shares to an owner: ten times the target scale.
	maxShares = 13_000
	// maxBuckets bounds the accounts of a slot. Those of the configuration are far fewer;
	// requests name others only while a new configuration spreads.
	maxBuckets = 16_384
	// forgetTime is how long an account is kept that is no longer in the configuration and that
	// no instance uses.
	forgetTime = 10 * time.Minute
	// aheadLevel is the part of a full bucket that is not granted ahead of need: near its limit,
	// an account needs its credit where its requests arrive.
	aheadLevel = 0.25
	// contentionWait bounds the additional wait of instances that compete for the credit of an
	// account at its limit, so that one that is below its limit again is served soon.
	contentionWait = 250 * time.Millisecond
)

// slotOf returns the slot of an account.
func slotOf(account string) int { return int(xxhash.Sum64String(account) % slotCount) }

// owner grants the credit of accounts. Instances lease it their shares of the rates; it grants
// what accrues at the sum of the shares that it holds. As an instance leases its share to one
// owner at a time, the grants of all owners together stay within the rate whatever each instance
// believes about the others.
//
// The load is some hundred leases and some hundred asks per second.
type owner struct {
	clock   trclock.Clock
	bounds  Bounds
	id      uint64 // of this process
	started time.Time

	mu    sync.Mutex
	slots [slotCount]slot
}

// slot is the state of the accounts of a slot at their owner.
type slot struct {
	shares   map[string]ownedShare // by instance
	fraction float64               // sum of shares
	settled  time.Time
	next     time.Time          // until when shares adds up to fraction; zero if it was changed
	buckets  map[string]*bucket // by account
}

// ownedShare is a share that an instance has leased to this owner.
type ownedShare struct {
	share float64
	until time.Time
	after int64 // leases with an earlier stamp are void: they were sent before the share was given up
}

// bucket is the credit of one account.
type bucket struct {
	quota   quota
	version uint64 // of the configuration that quota is from
	level   float64
	ahead   []aheadCredit
	used    time.Time
	asks    map[string]time.Time // instances that found no credit, when they asked
}

// aheadCredit is credit that lies unused at an instance.
type aheadCredit struct {
	instance string
	count    int
	until    time.Time
}

func (o *owner) init(clock trclock.Clock, bounds Bounds, id uint64) {
	o.clock, o.bounds, o.id, o.started = clock, bounds, id, clock.Now()
	for i := range o.slots {
		o.slots[i] = slot{shares: make(map[string]ownedShare), buckets: make(map[string]*bucket), settled: o.started}
	}
}

// handle applies a request and returns the reply.
func (o *owner) handle(m *CreditRequest) *CreditReply {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &CreditReply{Owner: o.id, Stamp: now.Sub(o.started).Milliseconds()}
	if m.Lease != nil {
		reply.Credit = o.lease(m.From, m.Lease, now)
	}
	for i := range m.Items {
		reply.Grants = append(reply.Grants, o.grant(m, &m.Items[i], now))
	}
	return reply
}

// lease takes over, renews and gives up shares. It returns the credit of those that it gives up.
func (o *owner) lease(from string, l *Lease, now time.Time) (moved []MovedCredit) {
	until := o.started.Add(time.Duration(l.Stamp+l.TermMs) * time.Millisecond)
	valid := l.Owner == o.id && l.Stamp > 0 && until.After(now) && now.Sub(o.started).Milliseconds() >= l.Stamp
	for i := range o.slots {
		s, bit := &o.slots[i], uint32(1)<<i
		if (l.Slots|l.Release)&bit == 0 || len(s.shares) >= maxShares {
			continue
		}
		s.settle(o.bounds, now)
		s.next = time.Time{}
		switch {
		case l.Release&bit != 0:
			moved = append(moved, s.takeCredit(s.shares[from].share)...)
			s.shares[from] = ownedShare{until: now.Add(maxTermMs * time.Millisecond), after: now.Sub(o.started).Milliseconds()}
		case valid && l.Stamp >= s.shares[from].after:
			s.shares[from] = ownedShare{l.Share, until, s.shares[from].after}
		}
		s.settle(o.bounds, now)
		if valid && l.Slots&bit != 0 {
			for _, c := range l.Credit {
				if b := s.buckets[c.Account]; b != nil && slotOf(c.Account) == i {
					b.level = min(b.level+c.Level, o.bounds.capacity(b.quota)*s.fraction)
				}
			}
		}
		if l.Slots&l.Fresh&bit != 0 && s.shares[from].share > 0 {
			for _, b := range s.buckets {
				credit := o.bounds.fresh(b.quota)
				if l.Full {
					credit = o.bounds.capacity(b.quota)
				}
				b.level = min(b.level+credit*l.Share, o.bounds.capacity(b.quota)*s.fraction)
			}
		}
	}
	return moved[:min(len(moved), maxItems)]
}

// takeCredit takes the part of the credit of all accounts that belongs to a share.
func (s *slot) takeCredit(share float64) (moved []MovedCredit) {
	if share <= 0 || s.fraction <= 0 {
		return nil
	}
	for name, b := range s.buckets {
		level := b.level * min(1, share/s.fraction)
		b.level -= level
		moved = append(moved, MovedCredit{name, level})
	}
	return moved
}

// settle accrues credit until now and drops the shares whose lease has ended. Credit accrues at
// the lower of the fractions before and after: while this process was frozen, it held none.
func (s *slot) settle(bounds Bounds, now time.Time) {
	sum := s.fraction
	if !now.Before(s.next) {
		sum, s.next = 0, now.Add(maxTermMs*time.Millisecond)
		for id, share := range s.shares {
			if !share.until.After(now) {
				delete(s.shares, id)
				continue
			}
			sum += share.share
			s.next = earlier(s.next, share.until)
		}
		sum = min(sum, 1)
	}
	passed := max(now.Sub(s.settled), 0).Seconds()
	accrued := passed * min(sum, s.fraction)
	s.fraction, s.settled = sum, now
	for _, b := range s.buckets {
		b.level = min(b.level+b.quota.rate*accrued, bounds.capacity(b.quota)*sum)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// grant answers the item of an account.
func (o *owner) grant(m *CreditRequest, it *CreditItem, now time.Time) CreditGrant {
	s := &o.slots[slotOf(it.Account)]
	s.settle(o.bounds, now)
	b := s.bucket(o.bounds, m.Version, it, now)
	if b == nil {
		return CreditGrant{Account: it.Account, NoShare: true, Uncovered: it.Debit}
	}
	reply := CreditGrant{Account: it.Account, NoShare: s.fraction == 0}
	b.level = min(b.level+float64(it.Back), o.bounds.capacity(b.quota)*s.fraction)
	covered := min(it.Debit, whole(b.level))
	b.level -= float64(covered)
	reply.Uncovered = it.Debit - covered
	lying := b.lying(m.From, it.Held, now)
	reply.Granted = min(it.Want, whole(b.level))
	b.level -= float64(reply.Granted)
	if reply.Granted == it.Want {
		spare := b.level - aheadLevel*o.bounds.capacity(b.quota)*s.fraction
		reply.Ahead = min(it.Ahead, whole(spare), whole(o.bounds.ahead(b.quota)-float64(lying)))
		b.level -= float64(reply.Ahead)
		if held := it.Held + reply.Ahead; held > 0 {
			b.ahead = append(b.ahead, aheadCredit{m.From, held, now.Add(creditTime)})
		}
	}
	rate := b.quota.rate * s.fraction
	if reply.Granted < it.Want || reply.Uncovered > 0 {
		reply.AtLimit = !reply.NoShare
		reply.WaitMs = b.waitMs(m.From, 1+reply.Uncovered, rate, now)
	}
	return reply
}

// whole returns the number of whole requests in an amount of credit.
func whole(credit float64) int {
	const rounding = 1e-9 // sums of fractions of a request may fall short by this much
	return int(math.Floor(max(credit+rounding, 0)))
}

// bucket returns the credit of an account. A quota of a later configuration replaces the
// present one, and a lower one cuts the credit.
func (s *slot) bucket(bounds Bounds, version uint64, it *CreditItem, now time.Time) *bucket {
	b := s.buckets[it.Account]
	if b == nil {
		if len(s.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{quota: quota{it.PerSecond, it.Burst}, version: version, asks: make(map[string]time.Time)}
		b.level = bounds.fresh(b.quota) * s.fraction
		s.buckets[it.Account] = b
	}
	if version > b.version {
		b.quota, b.version = quota{it.PerSecond, it.Burst}, version
		b.level = min(b.level, bounds.capacity(b.quota)*s.fraction)
	}
	b.used = now
	return b
}

// lying returns the credit that lies unused at instances, of which the given one has reported
// what it holds. It drops the entry of that instance.
func (b *bucket) lying(instance string, held int, now time.Time) int {
	b.ahead = slices.DeleteFunc(b.ahead, func(a aheadCredit) bool { return !a.until.After(now) || a.instance == instance })
	sum := held
	for _, a := range b.ahead {
		sum += a.count
	}
	return sum
}

// waitMs returns the time until an instance should ask again that lacks credit for some requests.
// Where several compete, they ask about as often in all as credit accrues.
func (b *bucket) waitMs(instance string, requests int, rate float64, now time.Time) int64 {
	for id, at := range b.asks {
		if now.Sub(at) > time.Second {
			delete(b.asks, id)
		}
	}
	b.asks[instance] = now
	if rate <= 0 {
		return 0
	}
	seconds := max((float64(requests)-b.level)/rate, min(float64(len(b.asks))/rate, contentionWait.Seconds()))
	return int64(min(math.Ceil(seconds*1000), maxWaitMs))
}

// configure puts the quotas of a configuration in force.
func (o *owner) configure(version uint64, accounts []trdirectory.Account) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.slots {
		s := &o.slots[i]
		s.settle(o.bounds, now)
		for name, b := range s.buckets {
			if b.version < version && now.Sub(b.used) > forgetTime {
				delete(s.buckets, name)
			}
		}
	}
	for i := range accounts {
		if a := &accounts[i]; a.PerSecond > 0 {
			it := CreditItem{Account: a.Name, PerSecond: a.PerSecond, Burst: a.Burst}
			o.slots[slotOf(a.Name)].bucket(o.bounds, version, &it, now)
		}
	}
}

// state returns the share of an account's rate that this owner holds, and its credit.
func (o *owner) state(account string) (fraction, level float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.slots[slotOf(account)]
	s.settle(o.bounds, o.clock.Now())
	if b := s.buckets[account]; b != nil {
		level = b.level
	}
	return s.fraction, level
}
