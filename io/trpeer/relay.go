package trpeer

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tanagerrock/core/trwire"
)

// RelayRequest passes a caller's merged query on to another gateway instance.
type RelayRequest struct {
	// ConfigVersion is the version of the sender's configuration. An instance with
	// another one declines, so that a caller of the sender never sees versions go back.
	ConfigVersion uint64 `json:"ConfigVersion"`
	RequestID     string `json:"RequestID"`
	Method        string `json:"Method"`
	Host          string `json:"Host"`
	Path          string `json:"Path"`
	Head          []byte `json:"Head"` // request line and header fields, as sent to upstreams
	Body          []byte `json:"Body,omitempty"`
	Key           []byte `json:"Key,omitempty"` // SHA-256 digest of the client key; empty if there is none
	TimeoutMs     int64  `json:"TimeoutMs"`     // that the caller stated; 0 for none
	AgeUs         int64  `json:"AgeUs"`         // time since the caller sent the request, in microseconds
}

// Check reports the first error in the message.
func (r *RelayRequest) Check() error {
	switch {
	case r.Method == "" || len(r.Head) == 0:
		return errors.New("relayed request has no method or head")
	case len(r.Head)+len(r.Body) > trwire.MaxRequestBytes:
		return errors.Errorf("relayed request has %d bytes, limit is %d", len(r.Head)+len(r.Body), trwire.MaxRequestBytes)
	case r.TimeoutMs < 0 || r.AgeUs < 0:
		return errors.New("relayed request has a negative timeout or age")
	case len(r.Key) != 0 && len(r.Key) != sha256.Size:
		return errors.Errorf("relayed request has a key digest of %d bytes", len(r.Key))
	}
	return nil
}

// RelayReply is the response to a relayed query, or the reason why it was declined.
type RelayReply struct {
	// Declined tells why the instance did not take the query and sent nothing. It is
	// empty if the instance took it.
	Declined     string   `json:"Declined,omitempty"`
	RequestID    string   `json:"RequestID"`
	Status       int      `json:"Status,omitempty"`
	Stamps       []string `json:"Stamps,omitempty"` // signatures of the parts
	Missing      int      `json:"Missing,omitempty"`
	Records      []byte   `json:"Records,omitempty"`
	RetryAfterMs int64    `json:"RetryAfterMs,omitempty"`
	Reason       string   `json:"Reason,omitempty"`
	Revision     uint64   `json:"Revision,omitempty"` // of the directory that was used
	Attempts     int      `json:"Attempts,omitempty"`
	Hedges       int      `json:"Hedges,omitempty"`
}

// Check reports the first error in the message.
func (r *RelayReply) Check() error {
	switch {
	case r.Declined != "":
		return nil
	case r.Status != http.StatusOK && (r.Status < http.StatusBadRequest || r.Status > 599):
		return errors.Errorf("status %d is neither 200 nor between 400 and 599", r.Status)
	case r.Status == http.StatusOK && len(r.Stamps) == 0:
		return errors.New("answer of a relay has no signatures")
	case r.Missing < 0 || r.RetryAfterMs < 0 || r.Attempts < 0 || r.Hedges < 0:
		return errors.New("reply of a relay has a negative number")
	}
	return nil
}

// RelayHandler is implemented by handlers that take relayed queries.
type RelayHandler interface {
	Relay(ctx context.Context, m *RelayRequest) *RelayReply
}

// relayMethod describes the method Relay. Calls fail with Unimplemented if the handler is
// no RelayHandler.
func relayMethod() grpc.MethodDesc {
	return method("Relay", func(h Handler, ctx context.Context, m *RelayRequest) (*RelayReply, error) {
		relay, ok := h.(RelayHandler)
		if !ok {
			return nil, status.Error(codes.Unimplemented, "this instance takes no relayed queries")
		}
		return relay.Relay(ctx, m), nil
	})
}

// Relay passes a query on to the instance at addr. On an error, sent tells whether that
// instance may have got it.
func (c *Client) Relay(ctx context.Context, addr string, m *RelayRequest) (reply *RelayReply, sent bool, err error) {
	if err := m.Check(); err != nil {
		return nil, false, err
	}
	mark := new(atomic.Bool)
	reply, err = call[RelayReply](context.WithValue(ctx, sentKey{}, mark), c, addr, "Relay", m)
	if err != nil {
		return nil, mark.Load(), err
	}
	if reply.RequestID != m.RequestID {
		return nil, true, errors.Errorf("reply is for request %q", reply.RequestID)
	}
	return reply, true, nil
}
