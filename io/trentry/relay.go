package trentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmember"
	"tanagerrock/io/trpeer"
)

const (
	// milliCoresPerQuery limits the relayed queries that run at once. A query of a hundred
	// parts waits for most of its time and takes some 15 ms of a core.
	milliCoresPerQuery = 100
	// relayedPerRunning is the number of relayed queries that run or wait for a place, for each
	// that may run. No more than those that run may wait at an overloaded instance.
	relayedPerRunning = 2
	// peerOneWayDelay is the time that a message takes to another instance of the zone.
	peerOneWayDelay = 200 * time.Microsecond
	// maxRelayTime is longer than any query; the default of the client is not.
	maxRelayTime = time.Minute
	// relayConnShare is the share of an upstream's connections that the relays divide
	// among themselves. Other instances open connections only while no relay serves them.
	relayConnShare = 0.5
)

// countRelays returns the number of members that serve queries of others, or 0 if an
// instance with the given processor time does not.
func countRelays(members []trmember.Member, milliCores int) int {
	least := milliCores
	for i := range members {
		if m := &members[i]; m.Present() && m.MilliCores > 0 {
			least = min(least, m.MilliCores)
		}
	}
	if least == 0 || milliCores < trgateway.RelayRatio*least {
		return 0
	}
	n := 0
	for i := range members {
		if m := &members[i]; m.State != trmember.Left && m.MilliCores >= trgateway.RelayRatio*least {
			n++
		}
	}
	return max(n, 1)
}

// encodeKey returns the digest of a client key for a message, nil if there is none.
func encodeKey(key trdirectory.KeyDigest) []byte {
	if key == (trdirectory.KeyDigest{}) {
		return nil
	}
	return key[:]
}

// decodeKey is the reverse of encodeKey.
func decodeKey(data []byte) (key trdirectory.KeyDigest) {
	copy(key[:], data)
	return key
}

// relaySender implements trgateway.RelaySender.
type relaySender struct {
	client *trpeer.Client
	clock  trclock.Clock
}

// SendRelay implements trgateway.RelaySender.
func (s relaySender) SendRelay(ctx context.Context, instance trgateway.RelayInstance, req *trgateway.Request, version uint64) trgateway.RelayOutcome {
	// ctx has no deadline, because it ends by the clock of the instance.
	ctx, cancel := context.WithTimeout(ctx, maxRelayTime)
	defer cancel()
	reply, sent, err := s.client.Relay(ctx, instance.PeerAddr, &trpeer.RelayRequest{
		ConfigVersion: version, RequestID: req.ID, Method: req.Method, Host: req.Host, Path: req.Path, Head: req.Head, Body: req.Body,
		Key:       encodeKey(req.Key),
		TimeoutMs: req.Timeout.Milliseconds(), AgeUs: max(s.clock.Now().Sub(req.Began).Microseconds(), 0),
	})
	switch {
	case err != nil:
		return trgateway.RelayOutcome{Sent: sent, Err: errors.Wrap(err, "relay query")}
	case reply.Declined != "":
		return trgateway.RelayOutcome{Declined: true, Err: errors.New(reply.Declined)}
	}
	return trgateway.RelayOutcome{Response: &trgateway.Response{
		Status: reply.Status, Stamps: reply.Stamps, Missing: reply.Missing, Records: reply.Records, Merged: len(reply.Stamps) > 0,
		RetryAfter: milliseconds(reply.RetryAfterMs), Reason: reply.Reason, Revision: reply.Revision,
		Attempts: reply.Attempts, Hedges: reply.Hedges,
	}}
}

// Relay implements trpeer.RelayHandler. It declines queries if the instance has too many
// of them, and if the gateway cannot serve them as the sender would.
func (h peerHandler) Relay(ctx context.Context, m *trpeer.RelayRequest) *trpeer.RelayReply {
	s := h.server
	decline := func(reason string) *trpeer.RelayReply {
		return &trpeer.RelayReply{RequestID: m.RequestID, Declined: reason}
	}
	s.frontend.drain.requestStarted()
	defer s.frontend.drain.requestDone()
	defer s.relayed.Add(-1)
	if s.relayed.Add(1) > relayedPerRunning*s.settings.maxRelayed() {
		return decline("too many relayed queries")
	}
	if s.frontend.drain.started() {
		return decline(stopReason)
	}
	req := &trgateway.Request{
		ID: m.RequestID, Method: m.Method, Host: m.Host, Path: m.Path, Target: m.Path, Head: m.Head, Body: m.Body,
		Timeout: milliseconds(m.TimeoutMs),
		Key:     decodeKey(m.Key),
		Began:   s.clock.Now().Add(-time.Duration(m.AgeUs)*time.Microsecond - peerOneWayDelay),
	}
	resp := s.frontend.serveUntilStop(ctx, func(ctx context.Context) *trgateway.Response {
		return s.frontend.gateway.ServeRelayed(ctx, req, m.ConfigVersion)
	})
	if resp == nil {
		return decline("another configuration is in force, or the instance is overloaded or stops")
	}
	s.frontend.logFailure(req, resp)
	return &trpeer.RelayReply{
		RequestID: m.RequestID, Status: resp.Status, Stamps: resp.Stamps, Missing: resp.Missing, Records: resp.Records,
		RetryAfterMs: resp.RetryAfter.Milliseconds(), Reason: resp.Reason, Revision: resp.Revision,
		Attempts: resp.Attempts, Hedges: resp.Hedges,
	}
}
