package trgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trdirectory"
)

// Quotas limits the requests of client accounts over all instances.
type Quotas interface {
	// Acquire permits a request of an account with the given objective, 0 if there is none. It
	// returns a *traccount.LimitError if the request is refused, or the error of ctx.
	Acquire(ctx context.Context, account *trdirectory.Account, objective time.Duration) (traccount.Permit, error)
}

// charge charges a request to its client account. It returns the refusal of a request beyond the
// account's limit. Parts, hedges and retries of the request cost nothing further.
func (g *Gateway) charge(ctx context.Context, table *trdirectory.Table, route *trdirectory.Route, req *Request) (traccount.Permit, *Response) {
	if g.cfg.Quotas == nil || req.Account == "" {
		return traccount.Permit{}, nil
	}
	account := table.Account(req.Key)
	if account == nil || account.PerSecond <= 0 {
		return traccount.Permit{}, nil
	}
	permit, err := g.cfg.Quotas.Acquire(ctx, account, route.Objective())
	if err == nil {
		return permit, nil
	}
	resp := &Response{
		Status: http.StatusServiceUnavailable, Reason: err.Error(),
		Version: table.Version, Revision: table.Revision, Route: route.Name,
	}
	var limit *traccount.LimitError
	switch {
	case errors.As(err, &limit) && limit.AtLimit:
		resp.Status, resp.RetryAfter = http.StatusTooManyRequests, limit.RetryAfter
	case limit != nil:
		resp.RetryAfter = limit.RetryAfter
	case ctx.Err() != nil:
		resp.Status, resp.Reason = StatusClientClosedRequest, "caller left"
	}
	return permit, resp
}
