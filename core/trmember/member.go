// Package trmember keeps what the instances of the tier know of each other:
// the member list, documents, leaf notices, the store's time and the sender
// lease.
//
// A Group probes one member per period and suspects a member only after
// indirect probes failed too. Changes ride on the probes: a message carries a
// bounded number of them, and each is sent O(log n) times, so that the traffic
// of a steady fleet does not grow with its size. Documents and Notices use the
// same messages and are also pushed at once to a few random members.
//
// The package opens no sockets. Messages go through Transport, time comes from
// a trclock.Clock and random choices from a seed.
//
// # Usage
//
//	group := trmember.NewGroup(trmember.Config{
//		Self:      trmember.Member{ID: "a1", Zone: "a", PeerAddr: "10.0.0.1:7001"},
//		Seeds:     []string{"10.0.0.2:7001"},
//		Clock:     trclock.System(),
//		Seed:      seed,
//		Transport: client,
//	})
//	group.Documents().Subscribe("config", adopt)
//	group.Start()
//	defer group.Leave(ctx)
//
// Received messages are passed to Group.Exchange, Group.ProbeFor and Group.Push.
package trmember

import (
	"cmp"
	"context"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// State is what is known of a member's process.
type State string

// States of a member, in the order in which they supersede each other within
// one incarnation and refutation.
const (
	Alive   State = "Alive"
	Suspect State = "Suspect" // probes failed; still treated as a member
	Dead    State = "Dead"    // suspected for the suspicion timeout
	Left    State = "Left"    // ended by Leave
)

func (s State) rank() int {
	switch s {
	case Alive:
		return 1
	case Suspect:
		return 2
	case Dead:
		return 3
	case Left:
		return 4
	}
	return 0
}

// Member is one instance as the other instances see it.
type Member struct {
	ID          string `json:"ID"`
	Incarnation uint64 `json:"Incarnation"` // of the process; a restart draws a higher one
	Refutation  uint64 `json:"Refutation"`  // raised by the member with every change of its entry
	Zone        string `json:"Zone"`
	Addr        string `json:"Addr,omitempty"` // for callers
	PeerAddr    string `json:"PeerAddr"`       // for peers
	State       State  `json:"State"`
	SenderIndex int    `json:"SenderIndex"` // -1 for none
	SenderEpoch uint64 `json:"SenderEpoch,omitempty"`
	Out         bool   `json:"Out,omitempty"`      // taken out by operators
	NotReady    bool   `json:"NotReady,omitempty"` // accepts no new requests

	// The following change too often to be disseminated on their own. They
	// travel with messages of the member itself and may lag.
	ConfigRevision uint64 `json:"ConfigRevision,omitempty"`
	StoreReachable bool   `json:"StoreReachable,omitempty"`
}

// Present reports whether m is alive or suspect.
func (m *Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Check reports the first fault of the member.
func (m *Member) Check() error {
	switch {
	case m.ID == "" || len(m.ID) > trwire.MaxNameBytes:
		return errors.Errorf("member ID %.32q is empty or too long", m.ID)
	case m.State.rank() == 0:
		return errors.Errorf("member %q has unknown state %.32q", m.ID, m.State)
	case len(m.Zone) > trwire.MaxNameBytes || len(m.Addr) > trwire.MaxNameBytes:
		return errors.Errorf("member %q has a zone or address that is too long", m.ID)
	case m.PeerAddr == "" || len(m.PeerAddr) > trwire.MaxNameBytes:
		return errors.Errorf("member %q has an empty or too long peer address", m.ID)
	case m.Refutation > maxRefutation:
		return errors.Errorf("member %q has refutation %d", m.ID, m.Refutation)
	case m.SenderIndex < -1 || m.SenderIndex >= MaxSenderIndexes:
		return errors.Errorf("member %q has sender index %d", m.ID, m.SenderIndex)
	}
	return nil
}

// supersedes reports whether a is newer knowledge than b of the same member.
func supersedes(a, b *Member) bool {
	c := cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Refutation, b.Refutation),
		cmp.Compare(a.State.rank(), b.State.rank()),
	)
	return c > 0
}

// Limits of values in received messages. A full member list is larger than the
// target scale of 1,300 instances by a factor of ten.
const (
	maxMembersInMessage = 13_000
	maxUpdatesInMessage = 64
	maxNoticesInMessage = 1_024
	maxDocuments        = 16
	maxRefutation       = 1 << 40                // a counter that could wrap would never be superseded
	maxAgeMs            = 366 * 24 * 3600 * 1000 // longer durations are taken for faults
)

// Exchange is a probe and its answer. Both directions carry the same fields.
type Exchange struct {
	From      Member     `json:"From"`
	Full      bool       `json:"Full,omitempty"`    // asks for Members in the answer
	Members   []Member   `json:"Members,omitempty"` // full list, at a join only
	Updates   []Member   `json:"Updates,omitempty"`
	Notices   []Notice   `json:"Notices,omitempty"`
	Digest    []Revision `json:"Digest,omitempty"`
	Documents []Document `json:"Documents,omitempty"` // answer: documents newer than the digest of the request

	// ClockMs is the sender's estimate of the store's time, 0 if it has none.
	ClockMs            int64 `json:"ClockMs,omitempty"`
	ClockUncertaintyMs int64 `json:"ClockUncertaintyMs,omitempty"`
}

// Check reports the first fault of the message.
func (e *Exchange) Check() error {
	if len(e.Members) > maxMembersInMessage || len(e.Updates) > maxUpdatesInMessage {
		return errors.Errorf("exchange has %d members and %d updates", len(e.Members), len(e.Updates))
	}
	if len(e.Notices) > maxNoticesInMessage || len(e.Digest) > maxDocuments || len(e.Documents) > maxDocuments {
		return errors.Errorf("exchange has %d notices, %d revisions and %d documents", len(e.Notices), len(e.Digest), len(e.Documents))
	}
	if e.ClockMs < 0 || e.ClockUncertaintyMs < 0 || e.ClockUncertaintyMs > maxAgeMs {
		return errors.Errorf("clock sample %d with uncertainty %d is impossible", e.ClockMs, e.ClockUncertaintyMs)
	}
	if err := e.From.Check(); err != nil {
		return err
	}
	return cmp.Or(checkAll(e.Members), checkAll(e.Updates), checkAll(e.Notices), checkAll(e.Digest), checkAll(e.Documents))
}

// Probe asks a member to exchange with another one.
type Probe struct {
	TargetID  string `json:"TargetID"`
	Addr      string `json:"Addr"`
	TimeoutMs int64  `json:"TimeoutMs"`
}

// Check reports the first fault of the message.
func (p *Probe) Check() error {
	if p.TargetID == "" || p.Addr == "" || len(p.Addr) > trwire.MaxNameBytes || p.TimeoutMs <= 0 {
		return errors.Errorf("probe of %.32q at %.32q with timeout %d ms is impossible", p.TargetID, p.Addr, p.TimeoutMs)
	}
	return nil
}

// ProbeReply is the answer to a Probe.
type ProbeReply struct {
	Reached bool    `json:"Reached"`
	Target  *Member `json:"Target,omitempty"` // the target's own entry, if reached
}

// Check reports the first fault of the message.
func (p *ProbeReply) Check() error {
	if p.Target == nil {
		return nil
	}
	return p.Target.Check()
}

// Push carries a document or notices to a member at once.
type Push struct {
	From     string    `json:"From"`
	Announce *Revision `json:"Announce,omitempty"` // asks whether the document is wanted
	Document *Document `json:"Document,omitempty"`
	Notices  []Notice  `json:"Notices,omitempty"`
}

// Check reports the first fault of the message.
func (p *Push) Check() error {
	if len(p.Notices) > maxNoticesInMessage {
		return errors.Errorf("push has %d notices", len(p.Notices))
	}
	if p.Announce != nil {
		if err := p.Announce.Check(); err != nil {
			return err
		}
	}
	if p.Document != nil {
		if err := p.Document.Check(); err != nil {
			return err
		}
	}
	return checkAll(p.Notices)
}

// PushReply is the answer to a Push.
type PushReply struct {
	Want bool `json:"Want"` // the announced document is newer than the one held
}

// Check accepts every message.
func (p *PushReply) Check() error { return nil }

// Transport sends messages to the member at a peer address. The context's end
// ends the call. An error means that the message may not have arrived.
type Transport interface {
	Exchange(ctx context.Context, addr string, m *Exchange) (*Exchange, error)
	ProbeFor(ctx context.Context, addr string, m *Probe) (*ProbeReply, error)
	Push(ctx context.Context, addr string, m *Push) (*PushReply, error)
}

func checkAll[T any, P interface {
	*T
	trwire.Checker
}](list []T) error {
	for i := range list {
		if err := P(&list[i]).Check(); err != nil {
			return err
		}
	}
	return nil
}
