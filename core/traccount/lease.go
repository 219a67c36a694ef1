package traccount

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
)

const (
	// leasePeriod is the time between the leases that an instance sends to an owner.
	leasePeriod = 500 * time.Millisecond
	// leasePeriodPerMember keeps the leases that an owner receives under some 330 per second,
	// 5% of the smallest processors that own accounts: larger fleets send them more rarely.
	leasePeriodPerMember = 3 * time.Millisecond
	// leasePeriods is the term of a lease in periods: two in a row may be lost.
	leasePeriods = 3
	// leaseMargin is added to the term by the instance, for clocks that differ in speed.
	leaseMargin = 20 * time.Millisecond
	// leaseTimeout limits a call with leases. A round trip between zones takes 10.8 ms.
	// A lost lease is sent again before the next period.
	leaseTimeout = 200 * time.Millisecond
	// avoidTime is how long an instance tries no further leases with an owner that did not
	// answer for half a term. The next owner is then ready when the term ends.
	avoidTime = 5 * time.Second
	// failuresBeforeDoubt is the number of consecutive failed calls, and doubtTime the time since
	// the last reply, from which requests do not wait for an owner any more. Some messages may be
	// lost, several at the same time.
	failuresBeforeDoubt = 2
	doubtTime           = 250 * time.Millisecond
)

// heldShare is this instance's share of the accounts in a slot. One owner holds it at a time.
type heldShare struct {
	target Member        // the owner that should hold it
	holder string        // ID of the owner that may hold it, empty if none does
	until  time.Time     // when the holder's lease has certainly ended
	fresh  time.Time     // when it was last handed over with fresh credit
	credit []MovedCredit // that came back with it and goes to the next owner
	back   time.Time     // when it came back
}

// take takes the share of a slot back from the owner that gave it up, with its credit.
func (h *heldShare) take(slot int, reply *CreditReply, now time.Time) {
	h.holder, h.credit, h.back = "", nil, now
	for _, c := range reply.Credit {
		if slotOf(c.Account) == slot {
			h.credit = append(h.credit, c)
		}
	}
}

// peerState is what this instance knows of an owner.
type peerState struct {
	owner      uint64 // process that issued stamp
	stamp      int64
	stampAt    time.Time // when stamp arrived
	lastReply  time.Time
	failures   int // consecutive
	avoidUntil time.Time
	calling    bool // a lease is being sent
}

// doubtful reports whether requests should not wait for the owner.
func (p *peerState) doubtful(now time.Time) bool {
	return p.failures >= failuresBeforeDoubt && now.Sub(p.lastReply) >= doubtTime
}

func (q *Quotas) period() time.Duration {
	return max(leasePeriod, time.Duration(q.fleet.size)*leasePeriodPerMember)
}

func (q *Quotas) term() time.Duration { return leasePeriods * q.period() }

// peer returns the state of an owner. The caller holds mu.
func (q *Quotas) peer(id string) *peerState {
	p := q.peers[id]
	if p == nil {
		p = new(peerState)
		q.peers[id] = p
	}
	return p
}

// sendLeases sends this instance's shares to their owners: it renews leases, and moves shares
// whose owner changed. A share moves once its old owner has confirmed that it gave it up, or its
// lease has ended. The caller holds mu.
func (q *Quotas) sendLeases(now time.Time) {
	leases := make(map[string]*Lease)
	targets := make(map[string]Member)
	add := func(m Member) *Lease {
		if leases[m.ID] == nil {
			leases[m.ID], targets[m.ID] = new(Lease), m
		}
		return leases[m.ID]
	}
	share := q.fleet.share()
	for i := range q.shares {
		h, bit := &q.shares[i], uint32(1)<<i
		q.chooseTarget(i, now)
		if h.target.ID == "" {
			continue
		}
		if h.holder != "" && h.holder != q.cfg.Instance && !now.Before(h.until) {
			h.holder = ""
		}
		p := q.peer(h.target.ID)
		ready := h.target.ID == q.cfg.Instance || p.stamp > 0 && now.Sub(p.stampAt) < q.term()
		switch {
		case h.holder == h.target.ID || h.holder == "" && ready:
		case h.holder == q.cfg.Instance && ready:
			h.take(i, q.leaseSelf(&Lease{Release: bit}, now), now)
		case h.holder == "" || h.holder == q.cfg.Instance:
			// Until the target answers, the share serves requests here.
			add(h.target)
			if share > 0 {
				q.leaseSelf(&Lease{Slots: bit, Share: share}, now)
				h.holder, h.until = q.cfg.Instance, now.Add(q.term())
			}
			continue
		default:
			if old, known := q.member(h.holder); known {
				add(old).Release |= bit
			}
			add(h.target)
			continue
		}
		l := add(h.target)
		l.Slots |= bit
		if now.Sub(h.back) >= creditTime {
			h.credit = nil
		}
		if h.holder != h.target.ID && len(h.credit) == 0 && now.Sub(h.fresh) > q.cfg.Bounds.window() && share > 0 && ready {
			l.Fresh |= bit
			h.fresh = now
		}
	}
	for id, l := range leases {
		l.Share, l.Full = share, q.fleet.young
		q.sendLease(targets[id], l, now)
	}
}

// chooseTarget sets the best owner of a slot: the first in rank that is not avoided, or this
// instance itself.
func (q *Quotas) chooseTarget(i int, now time.Time) {
	h := &q.shares[i]
	target := Member{ID: q.cfg.Instance}
	for _, m := range q.fleet.ranked[i] {
		if m.ID == q.cfg.Instance || !now.Before(q.peer(m.ID).avoidUntil) {
			target = m
			break
		}
	}
	if h.target.ID != target.ID {
		for _, a := range q.accounts {
			if a.slot == i {
				a.limitedUntil = time.Time{} // another owner may have credit
			}
		}
	}
	h.target = target
}

// member returns the member with an ID.
func (q *Quotas) member(id string) (Member, bool) {
	for _, m := range q.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// leaseSelf applies a lease of this instance with itself. It lasts until this instance releases
// it, so that credit stays while the process is short of processor time.
func (q *Quotas) leaseSelf(l *Lease, now time.Time) *CreditReply {
	l.Owner, l.Stamp, l.TermMs = q.owner.id, max(1, now.Sub(q.owner.started).Milliseconds()), maxTermMs
	return q.owner.handle(&CreditRequest{From: q.cfg.Instance, Version: q.version, Lease: l})
}

// sendLease sends a lease to an owner. The shares in it count as held from now on, also if the
// reply is lost. The caller holds mu.
func (q *Quotas) sendLease(m Member, l *Lease, now time.Time) {
	p := q.peer(m.ID)
	self := m.ID == q.cfg.Instance
	if p.calling {
		return
	}
	l.Owner, l.Stamp, l.TermMs = p.owner, p.stamp, q.term().Milliseconds()
	if now.Sub(p.stampAt) >= q.term() {
		l.Stamp = 0
	}
	until := p.stampAt.Add(q.term() + leaseMargin)
	if self {
		until = now.Add(q.term() + leaseMargin)
	}
	for i := range q.shares {
		if h := &q.shares[i]; l.Slots&(1<<i) != 0 && (self || l.Stamp > 0) && l.Share > 0 {
			if h.holder != m.ID {
				h.until = until
			}
			h.holder, h.until = m.ID, later(h.until, until)
			l.Credit = append(l.Credit, h.credit...)
			h.credit = nil
		}
	}
	if self {
		q.leaseSelf(l, now)
		return
	}
	p.calling = true
	go q.callLease(m, l)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callLease sends a lease and handles the reply.
func (q *Quotas) callLease(m Member, l *Lease) {
	ctx, cancel := trclock.WithTimeout(context.Background(), q.cfg.Clock, leaseTimeout)
	defer cancel()
	reply, err := q.call(ctx, m, &CreditRequest{From: q.cfg.Instance, Version: q.currentVersion(), Lease: l})
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(m.ID)
	p.calling = false
	if err != nil {
		if !p.doubtful(now) && q.running {
			q.sendLeases(now)
		}
		return
	}
	renewed := l.Stamp > 0 && l.Owner == reply.Owner
	p.owner, p.stamp, p.stampAt = reply.Owner, reply.Stamp, now
	for i := range q.shares {
		if h := &q.shares[i]; l.Release&(1<<i) != 0 && h.holder == m.ID {
			h.take(i, reply, now)
		}
	}
	if !renewed || l.Release != 0 {
		q.sendLeases(now)
	}
}

// call sends a request to an owner and records whether it answered.
func (q *Quotas) call(ctx context.Context, m Member, req *CreditRequest) (*CreditReply, error) {
	reply, err := q.cfg.Peers.Credit(ctx, m.PeerAddr, req)
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(m.ID)
	if err == nil {
		q.cfg.Metrics.Add("QuotaMessages", "Answered", 1)
		p.failures, p.lastReply = 0, now
		return reply, nil
	}
	p.failures++
	q.cfg.Metrics.Add("QuotaMessages", "Failed", 1)
	if p.doubtful(now) && now.Sub(p.lastReply) >= q.term()/2 && !now.Before(p.avoidUntil) {
		p.avoidUntil = now.Add(avoidTime)
		q.event(Event{Kind: OwnerLost, Owner: m.ID, Age: now.Sub(p.lastReply), Err: err})
	}
	return nil, err
}
