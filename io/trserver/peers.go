package trserver

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trquery"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trpeer"
)

// peerDirectory tells the request path about the other instances.
type peerDirectory struct {
	clock   trclock.Clock
	self    string
	zone    string
	configs *trconfig.Controller
	group   *trmember.Group
	lease   *trmember.SenderLease
	client  *trpeer.Client
}

// out reports whether operators have taken this instance or its zone out.
func (d *peerDirectory) out() bool {
	policy := d.configs.Current()
	return policy != nil && (policy.InstanceOut(d.self) || policy.ZoneOut(d.zone))
}

// Serving reports whether this instance may send to leafs and is not taken out.
func (d *peerDirectory) Serving() bool {
	_, _, ok := d.lease.Sender(d.clock.Now())
	return ok && !d.out()
}

// Candidates returns serving peers in random order, those of the own zone first.
func (d *peerDirectory) Candidates() []trquery.Peer {
	policy := d.configs.Current()
	var near, far []trquery.Peer
	for _, m := range d.group.Members() {
		if m.ID == d.self || !m.Present() || m.SenderIndex < 0 || m.Out || m.NotReady {
			continue
		}
		if policy != nil && (policy.ZoneOut(m.Zone) || policy.InstanceOut(m.ID)) {
			continue
		}
		peer := trquery.Peer{ID: m.ID, Addr: m.PeerAddr}
		if m.Zone == d.zone {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	shuffle(near)
	shuffle(far)
	return slices.Concat(near, far)
}

func shuffle(peers []trquery.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// Home returns the instance that runs requests with this identifier.
func (d *peerDirectory) Home(requestID string) (peer trquery.Peer, self, ok bool) {
	entry, ok := d.lease.Home(requestID)
	if !ok {
		return trquery.Peer{}, false, false
	}
	me := d.group.Self()
	self = entry.InstanceID == me.ID && entry.Incarnation == me.Incarnation
	return trquery.Peer{ID: entry.InstanceID, Addr: entry.PeerAddr}, self, true
}

// MayTakeOver reports whether this instance may run a request whose home it cannot
// reach: the home has ended and left all its claims in the store. A home that may
// still run could later run the identifier from memory.
func (d *peerDirectory) MayTakeOver(requestID string) bool {
	home, ok := d.lease.Home(requestID)
	return ok && d.Serving() && d.lease.EndedWhileConnected(home)
}

// Forward sends the request to a peer.
func (d *peerDirectory) Forward(ctx context.Context, peer trquery.Peer, req *trwire.Request, hops int) (*trwire.Answer, bool, error) {
	answer, err := d.client.Forward(ctx, peer.Addr, &trpeer.ForwardRequest{Request: *req, From: d.self, Hops: hops})
	if err == nil {
		return answer, true, nil
	}
	var unsent *trpeer.ForwardError
	if errors.As(err, &unsent) {
		return nil, unsent.MayRun, err
	}
	return nil, true, err
}
