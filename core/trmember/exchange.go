package trmember

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
)

// exchange sends a probe to target and merges the reply. If target has no ID, any
// process may answer at its address.
func (g *Group) exchange(ctx context.Context, target Member, full bool, timeout time.Duration) (*Exchange, error) {
	reply, err := g.send(ctx, target.PeerAddr, g.message(&target, full), timeout)
	if err != nil {
		return nil, err
	}
	if target.ID != "" && reply.From.ID != target.ID {
		return nil, errors.Errorf("member %q answered at the address of member %q", reply.From.ID, target.ID)
	}
	return reply, nil
}

func (g *Group) send(ctx context.Context, addr string, m *Exchange, timeout time.Duration) (*Exchange, error) {
	ctx, cancel := trclock.WithTimeout(ctx, g.cfg.Clock, timeout)
	defer cancel()
	sent := g.cfg.Clock.Now()
	reply, err := g.cfg.Transport.Exchange(ctx, addr, m)
	if err != nil {
		return nil, err
	}
	if reply.From.ID == g.cfg.Self.ID {
		g.mergeFrom(reply.From)
		return nil, ErrSelf
	}
	if g.cfg.StoreClock != nil {
		g.cfg.StoreClock.ObservePeer(reply.ClockMs, reply.ClockUncertaintyMs, sent, g.cfg.Clock.Now())
	}
	g.receive(reply)
	// The target learns from the reply to its own next probe what is withheld.
	if newer, _ := g.documents.newerThan(reply.Digest); len(newer) > 0 {
		g.cfg.Spawn(func() {
			for _, doc := range newer { // one after the other, as changes must arrive in order
				g.offer(addr, doc)
			}
		})
	}
	return reply, nil
}

// message returns the fields common to probes and replies to receiver. It includes
// the receiver's own entry if that is not alive or has a newer incarnation, so that
// the receiver can refute it or learn that it was replaced.
func (g *Group) message(receiver *Member, full bool) *Exchange {
	g.mu.Lock()
	m := &Exchange{From: g.self, Full: full}
	queue, limit := g.queueFor(receiver)
	if e := g.members[receiver.ID]; e != nil && (e.State != Alive || e.Incarnation > receiver.Incarnation) {
		m.Updates = append(m.Updates, e.Member)
	}
	count := g.cfg.MaxUpdates
	if len(queue.sent) > count {
		count = min(burstFactor*count, maxUpdatesInMessage-1)
	}
	for _, id := range queue.take(count, limit) {
		if e := g.members[id]; e != nil && id != receiver.ID {
			m.Updates = append(m.Updates, e.Member)
		}
	}
	m.Known, m.Present = 1+len(g.members), g.presentCount()
	noticeLimit := retransmitLimit(len(g.members))
	g.mu.Unlock()
	m.Notices = g.notices.take(g.cfg.MaxUpdates, noticeLimit)
	m.Digest = g.documents.digest()
	m.ClockMs, m.ClockUncertaintyMs = g.cfg.StoreClock.estimateMs(g.cfg.Clock.Now())
	return m
}

// Exchange handles a probe from another member and returns the reply.
func (g *Group) Exchange(_ context.Context, m *Exchange) (*Exchange, error) {
	if m.From.ID == g.cfg.Self.ID && m.From.Incarnation == g.Self().Incarnation {
		return nil, ErrSelf
	}
	g.receive(m)
	reply := g.message(&m.From, false)
	reply.Documents, reply.Withheld = g.documents.newerThan(m.Digest)
	if m.Full {
		reply.Notices = g.notices.recent()
		g.mu.Lock()
		for _, e := range g.members {
			reply.Members = append(reply.Members, e.Member)
		}
		g.mu.Unlock()
		slices.SortFunc(reply.Members, compareMembers)
	}
	return reply, nil
}

// ProbeFor probes a member on behalf of another member.
func (g *Group) ProbeFor(ctx context.Context, p *ProbeRequest) (*ProbeReply, error) {
	timeout := min(time.Duration(p.TimeoutMs)*time.Millisecond, g.cfg.ProbeTimeout)
	reply, err := g.exchange(ctx, Member{ID: p.TargetID, PeerAddr: p.Addr}, false, timeout)
	if err != nil {
		return &ProbeReply{}, nil
	}
	return &ProbeReply{Reached: true, Target: &reply.From}, nil
}

// Push adopts a pushed document and pushed notices, and replies whether an announced
// document is wanted.
func (g *Group) Push(_ context.Context, p *Push) (*PushReply, error) {
	g.notices.merge(p.Notices)
	if p.Document != nil {
		g.documents.Set(*p.Document)
	}
	return &PushReply{Want: p.Announce != nil && g.documents.wants(p.Announce)}, nil
}

// receive merges the contents of a message from another member.
func (g *Group) receive(m *Exchange) {
	g.merge(m.Members, true)
	g.merge(m.Updates, false)
	g.mergeFrom(m.From)
	g.notices.merge(m.Notices)
	for _, doc := range m.Documents {
		g.documents.Set(doc)
	}
	g.documents.recordWithheld(m.Withheld)
	g.pull(m)
}

// pull requests the full list of the sender of a message that knows many more members than this
// process, or any more while it is new. The load is a fleet that starts at once, or two groups that
// meet: the changes that messages carry would take a minute to reach all of 300 instances.
func (g *Group) pull(m *Exchange) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	tolerated := g.cfg.MaxUpdates
	if now.Sub(g.joinedAt) < joinTime {
		tolerated = 0
	}
	// Deaths and their expiry reach the members at different times. Neither changes both counts.
	behind := m.Known-len(g.members)-1 > tolerated && m.Present-g.presentCount() > tolerated
	due := behind && len(m.Members) == 0 && now.Sub(g.pulledAt) >= pullInterval && g.self.State != Left
	if due {
		g.pulledAt = now
	}
	g.mu.Unlock()
	if due {
		g.cfg.Spawn(func() { _ = g.contact(m.From.PeerAddr) })
	}
}

// Sync exchanges state with a member immediately, in addition to the periodic
// probes, and returns the member's entry. Each side receives the documents that it
// lacks.
func (g *Group) Sync(ctx context.Context, target Member) (Member, error) {
	reply, err := g.exchange(ctx, target, false, g.cfg.ProbeTimeout)
	if err != nil {
		return Member{}, err
	}
	return reply.From, nil
}
