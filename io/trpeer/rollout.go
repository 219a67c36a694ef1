package trpeer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trrollout"
)

// maxRollouts limits the reports and the plans in a message. Each is of another service.
const maxRollouts = 4096

// RolloutMessage brings reports on roll-outs to their leader, or plans to an instance. The reply
// holds the plans that the sender lacks.
type RolloutMessage struct {
	Reports []trrollout.Report `json:"Reports,omitempty"`
	Plans   []trdirectory.Plan `json:"Plans,omitempty"`
}

// Check reports the first error in the message.
func (m *RolloutMessage) Check() error {
	if max(len(m.Reports), len(m.Plans)) > maxRollouts {
		return errors.Errorf("message has %d reports and %d plans, limit is %d", len(m.Reports), len(m.Plans), maxRollouts)
	}
	for i := range m.Reports {
		if err := m.Reports[i].Check(); err != nil {
			return err
		}
	}
	for i := range m.Plans {
		if err := m.Plans[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// RolloutHandler is implemented by handlers that take part in roll-outs.
type RolloutHandler interface {
	Rollout(ctx context.Context, m *RolloutMessage) (*RolloutMessage, error)
}

// rolloutMethod describes the method Rollout. Calls fail with Unimplemented if the handler is no
// RolloutHandler.
func rolloutMethod() grpc.MethodDesc {
	return method("Rollout", func(h Handler, ctx context.Context, m *RolloutMessage) (*RolloutMessage, error) {
		rollout, ok := h.(RolloutHandler)
		if !ok {
			return nil, status.Error(codes.Unimplemented, "this instance takes no part in roll-outs")
		}
		return rollout.Rollout(ctx, m)
	})
}

// Rollout sends a message to the instance at addr and returns its reply.
func (c *Client) Rollout(ctx context.Context, addr string, m *RolloutMessage) (*RolloutMessage, error) {
	return call[RolloutMessage](ctx, c, addr, "Rollout", m)
}
