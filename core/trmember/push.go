package trmember

import (
	"time"

	"tanagerrock/core/trclock"
)

// pushDocument offers a document to a few random members.
func (g *Group) pushDocument(doc Document) {
	targets := g.pushTargets(g.cfg.PushInZone)
	if len(targets) == 0 {
		targets = g.pushTargets(false)
	}
	for _, m := range targets {
		g.cfg.Spawn(func() { g.offer(m.PeerAddr, doc) })
	}
}

// offer pushes a document to a member. A document of more than announceBytes is first
// announced, and sent only if the member wants it.
func (g *Group) offer(addr string, doc Document) {
	timeout := fullTimeoutFactor * g.cfg.ProbeTimeout
	if len(doc.Body) > announceBytes {
		reply, err := g.push(addr, &Push{Announce: doc.id()}, timeout)
		if err != nil || !reply.Want {
			return
		}
	}
	_, _ = g.push(addr, &Push{Document: &doc}, timeout)
}

// pushNotices sends changed notices to a few random members.
func (g *Group) pushNotices(list []Notice) {
	list = list[:min(len(list), maxNoticesInMessage)]
	for _, m := range g.pushTargets(false) {
		g.cfg.Spawn(func() { _, _ = g.push(m.PeerAddr, &Push{Notices: list}, g.cfg.ProbeTimeout) })
	}
}

// pushTargets returns up to FanOut random members that are alive, only of this
// process's zone if inZone is set.
func (g *Group) pushTargets(inZone bool) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == Left {
		return nil
	}
	return g.pickRandom(g.cfg.FanOut, func(m *Member) bool {
		return m.State != Alive || inZone && m.Zone != g.self.Zone
	})
}

func (g *Group) push(addr string, p *Push, timeout time.Duration) (*PushReply, error) {
	p.From = g.cfg.Self.ID
	ctx, cancel := trclock.WithTimeout(g.ctx, g.cfg.Clock, timeout)
	defer cancel()
	return g.cfg.Transport.Push(ctx, addr, p)
}
