package trpeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tanagerrock/core/traccount"
)

// CreditHandler is implemented by handlers that own client accounts.
type CreditHandler interface {
	HandleCredit(m *traccount.CreditRequest) *traccount.CreditReply
}

// creditMethod describes the method Credit. Calls fail with Unimplemented if the handler is no
// CreditHandler.
func creditMethod() grpc.MethodDesc {
	return method("Credit", func(h Handler, _ context.Context, m *traccount.CreditRequest) (*traccount.CreditReply, error) {
		credit, ok := h.(CreditHandler)
		if !ok {
			return nil, status.Error(codes.Unimplemented, "this instance owns no client accounts")
		}
		return credit.HandleCredit(m), nil
	})
}

// Credit implements traccount.Peers.
func (c *Client) Credit(ctx context.Context, addr string, m *traccount.CreditRequest) (*traccount.CreditReply, error) {
	return call[traccount.CreditReply](ctx, c, addr, "Credit", m)
}
