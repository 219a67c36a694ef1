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

// peerDirectory implements trquery.Peers on the group, the sender lease and the
// configuration.
type peerDirectory struct {
	clock   trclock.Clock
	self    string
	zone    string
	configs *trconfig.Controller
	group   *trmember.Group
	lease   *trmember.SenderLease
	client  *trpeer.Client
}

// isOut reports whether operators have taken this instance or its zone out of service.
func (d *peerDirectory) isOut() bool {
	policy := d.configs.Current()
	return policy != nil && (policy.InstanceOut(d.self) || policy.ZoneOut(d.zone))
}

// Serving reports whether this instance may send to leafs and is in service.
func (d *peerDirectory) Serving() bool {
	_, _, ok := d.lease.Sender(d.clock.Now())
	return ok && !d.isOut()
}

// Candidates returns the serving peers in random order, those of this instance's zone
// first.
func (d *peerDirectory) Candidates() []trquery.Peer {
	policy := d.configs.Current()
	var sameZone, otherZones []trquery.Peer
	for _, m := range d.group.Members() {
		if m.ID == d.self || !m.Present() || m.SenderIndex < 0 || m.Out || m.NotReady {
			continue
		}
		if policy != nil && (policy.ZoneOut(m.Zone) || policy.InstanceOut(m.ID)) {
			continue
		}
		peer := trquery.Peer{ID: m.ID, Addr: m.PeerAddr}
		if m.Zone == d.zone {
			sameZone = append(sameZone, peer)
		} else {
			otherZones = append(otherZones, peer)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return slices.Concat(sameZone, otherZones)
}

func shuffle(peers []trquery.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// Home returns the instance that runs requests with this request ID and whether it is
// this process. ok is false if no instance holds a sender index.
func (d *peerDirectory) Home(requestID string) (peer trquery.Peer, self, ok bool) {
	entry, ok := d.lease.Home(requestID)
	if !ok {
		return trquery.Peer{}, false, false
	}
	own := d.group.Self()
	self = entry.InstanceID == own.ID && entry.Incarnation == own.Incarnation
	return trquery.Peer{ID: entry.InstanceID, Addr: entry.PeerAddr}, self, true
}

// MayTakeOver reports whether this instance may run a request whose home it cannot
// reach: the home must have ended with all its claims written to the store. A home that
// is still running could later run the same request ID without a claim.
func (d *peerDirectory) MayTakeOver(requestID string) bool {
	home, ok := d.lease.Home(requestID)
	return ok && d.Serving() && d.lease.EndedWhileConnected(home)
}

// Forward sends the request to a peer. On an error that is not a refusal, the bool
// reports whether the peer may have received the request.
func (d *peerDirectory) Forward(ctx context.Context, peer trquery.Peer, req *trwire.Request, hops int) (*trwire.Answer, bool, error) {
	answer, err := d.client.Forward(ctx, peer.Addr, &trpeer.ForwardRequest{Request: *req, From: d.self, Hops: hops})
	if err == nil {
		return answer, true, nil
	}
	var forwardErr *trpeer.ForwardError
	if errors.As(err, &forwardErr) {
		return nil, forwardErr.MayHaveRun, err
	}
	return nil, true, err
}
