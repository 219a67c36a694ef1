// Package trmember implements the membership and gossip protocol of the query
// tier. It maintains the member list, disseminated documents, notices about leafs,
// an estimate of the store's time, and the sender lease.
//
// A Group probes one member per period and suspects a member only after
// indirect probes have failed too. Changes are sent with probes: a message
// carries a bounded number of them, and each is sent O(log n) times, so that the
// traffic of an instance in a steady fleet does not grow with the fleet's size.
// Documents and Notices use the same messages and are also pushed immediately to a
// few random members.
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

// State is the state of a member as other instances know it.
type State string

// States of a member, in the order in which they supersede each other within
// one incarnation and refutation.
const (
	Alive   State = "Alive"
	Suspect State = "Suspect" // probes failed; still counted as present
	Dead    State = "Dead"    // remained suspect for the suspicion timeout
	Left    State = "Left"    // shut down with Leave
)

func (s State) precedence() int {
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
	Incarnation uint64 `json:"Incarnation"` // of the process; a restart chooses a higher one
	// Refutation is raised by the member to refute an entry about it, and with every
	// change of its own entry except to its last four fields alone.
	Refutation  uint64 `json:"Refutation"`
	Zone        string `json:"Zone"`
	Addr        string `json:"Addr,omitempty"` // address for clients
	PeerAddr    string `json:"PeerAddr"`       // address for other members
	State       State  `json:"State"`
	SenderIndex int    `json:"SenderIndex"`           // sender index that the member leases, see SenderTable; -1 for none
	SenderEpoch uint64 `json:"SenderEpoch,omitempty"` // epoch of that lease
	Out         bool   `json:"Out,omitempty"`         // taken out of service by operators
	NotReady    bool   `json:"NotReady,omitempty"`    // accepts no new requests
	MilliCores  int    `json:"MilliCores,omitempty"`  // processor time of the instance, in thousandths of a core; 0 if not known

	// The fields below change too often to be disseminated on their own. They are
	// carried by messages of the member itself and may be out of date.
	ConfigRevision uint64 `json:"ConfigRevision,omitempty"`
	StoreReachable bool   `json:"StoreReachable,omitempty"` // it watches the store and gets replies
	StoreFailing   bool   `json:"StoreFailing,omitempty"`   // its last call to the store failed
	Met            bool   `json:"Met,omitempty"`            // it reads the store, and knows all instances that left contacts there
}

// Present reports whether m is alive or suspect.
func (m *Member) Present() bool { return m.State == Alive || m.State == Suspect }

// Check returns an error if the member is invalid.
func (m *Member) Check() error {
	switch {
	case m.ID == "" || len(m.ID) > trwire.MaxNameBytes:
		return errors.Errorf("member ID %.32q is empty or too long", m.ID)
	case m.State.precedence() == 0:
		return errors.Errorf("member %q has unknown state %.32q", m.ID, m.State)
	case len(m.Zone) > trwire.MaxNameBytes || len(m.Addr) > trwire.MaxNameBytes:
		return errors.Errorf("member %q has a zone or address that is too long", m.ID)
	case m.PeerAddr == "" || len(m.PeerAddr) > trwire.MaxNameBytes:
		return errors.Errorf("member %q has an empty or too long peer address", m.ID)
	case m.Refutation > maxRefutation:
		return errors.Errorf("member %q has refutation %d out of range", m.ID, m.Refutation)
	case m.MilliCores < 0:
		return errors.Errorf("member %q has negative processor time", m.ID)
	case m.SenderIndex < -1 || m.SenderIndex >= MaxSenderIndexes:
		return errors.Errorf("member %q has sender index %d out of range", m.ID, m.SenderIndex)
	}
	return nil
}

// supersedes reports whether a is newer than b, an entry of the same member.
func supersedes(a, b *Member) bool {
	c := cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Refutation, b.Refutation),
		cmp.Compare(a.State.precedence(), b.State.precedence()),
	)
	return c > 0
}

// Limits of received messages. A full member list may have ten times the target
// scale of 1,300 instances.
const (
	maxMembersInMessage = 13_000
	maxUpdatesInMessage = 64
	maxNoticesInMessage = 1_024
	maxDocuments        = 16
	maxRefutation       = 1 << 40                // far below the largest value of the counter, which no refutation could exceed
	maxAgeMs            = 366 * 24 * 3600 * 1000 // longer durations are invalid
)

// Exchange is a probe or the reply to one. Both carry the same fields.
type Exchange struct {
	From Member `json:"From"`
	Full bool   `json:"Full,omitempty"` // asks for Members in the reply; set only when joining or recontacting
	// Members holds all members but From in the reply to a probe with Full. In the
	// probe that follows, it holds the entries that are missing from that reply or
	// newer than in it.
	Members []Member `json:"Members,omitempty"`
	Updates []Member `json:"Updates,omitempty"`
	// Known is the number of members that the sender knows in any state, Present that of the
	// present ones; both include itself.
	Known     int        `json:"Known,omitempty"`
	Present   int        `json:"Present,omitempty"`
	Notices   []Notice   `json:"Notices,omitempty"`
	Digest    []Revision `json:"Digest,omitempty"`
	Documents []Document `json:"Documents,omitempty"` // in a reply: documents newer than the digest of the probe
	Withheld  []Revision `json:"Withheld,omitempty"`  // in a reply: newer documents that are too large to be sent

	// ClockMs is the sender's estimate of the store's time, 0 if it has none.
	ClockMs            int64 `json:"ClockMs,omitempty"`
	ClockUncertaintyMs int64 `json:"ClockUncertaintyMs,omitempty"`
}

// Check returns an error if the message is invalid.
func (e *Exchange) Check() error {
	if len(e.Members) > maxMembersInMessage || len(e.Updates) > maxUpdatesInMessage {
		return errors.Errorf("exchange has too many members (%d) or updates (%d)", len(e.Members), len(e.Updates))
	}
	if len(e.Notices) > maxNoticesInMessage || len(e.Digest) > maxDocuments || len(e.Documents) > maxDocuments || len(e.Withheld) > maxDocuments {
		return errors.Errorf("exchange has too many notices (%d), revisions (%d), documents (%d) or withheld documents (%d)",
			len(e.Notices), len(e.Digest), len(e.Documents), len(e.Withheld))
	}
	if e.ClockMs < 0 || e.ClockUncertaintyMs < 0 || e.ClockUncertaintyMs > maxAgeMs {
		return errors.Errorf("invalid clock sample %d ms with uncertainty %d ms", e.ClockMs, e.ClockUncertaintyMs)
	}
	if err := e.From.Check(); err != nil {
		return err
	}
	return cmp.Or(checkAll(e.Members), checkAll(e.Updates), checkAll(e.Notices), checkAll(e.Digest), checkAll(e.Documents), checkAll(e.Withheld))
}

// ProbeRequest asks a member to probe the member at Addr for the sender of the
// request.
type ProbeRequest struct {
	TargetID  string `json:"TargetID"`
	Addr      string `json:"Addr"`
	TimeoutMs int64  `json:"TimeoutMs"`
}

// Check returns an error if the message is invalid.
func (p *ProbeRequest) Check() error {
	if p.TargetID == "" || p.Addr == "" || len(p.Addr) > trwire.MaxNameBytes || p.TimeoutMs <= 0 {
		return errors.Errorf("invalid probe of %.32q at %.32q with timeout %d ms", p.TargetID, p.Addr, p.TimeoutMs)
	}
	return nil
}

// ProbeReply is the reply to a ProbeRequest.
type ProbeReply struct {
	Reached bool    `json:"Reached"`
	Target  *Member `json:"Target,omitempty"` // the target's own entry, if reached
}

// Check returns an error if the message is invalid.
func (p *ProbeReply) Check() error {
	if p.Target == nil {
		return nil
	}
	return p.Target.Check()
}

// Push sends a document or notices to a member without waiting for a probe.
type Push struct {
	From     string    `json:"From"`
	Announce *Revision `json:"Announce,omitempty"` // asks whether the document is wanted
	Document *Document `json:"Document,omitempty"`
	Notices  []Notice  `json:"Notices,omitempty"`
}

// Check returns an error if the message is invalid.
func (p *Push) Check() error {
	if len(p.Notices) > maxNoticesInMessage {
		return errors.Errorf("push has too many notices: %d", len(p.Notices))
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

// PushReply is the reply to a Push.
type PushReply struct {
	Want bool `json:"Want"` // the announced document is newer than the one held
}

// Check accepts every reply.
func (p *PushReply) Check() error { return nil }

// Transport sends messages to the member at a peer address. A call ends when its
// context is done. An error means that the message may not have arrived.
type Transport interface {
	Exchange(ctx context.Context, addr string, m *Exchange) (*Exchange, error)
	ProbeFor(ctx context.Context, addr string, m *ProbeRequest) (*ProbeReply, error)
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
