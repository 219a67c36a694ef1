package trgateway

import (
	"net/http"

	"tanagerrock/core/trdirectory"
)

// authenticate sets the client account of a request, if its route needs a key. It returns the
// refusal of a request without a valid key.
func (g *Gateway) authenticate(table *trdirectory.Table, route *trdirectory.Route, req *Request) *Response {
	req.Account = ""
	if !table.NeedsKey(route) {
		return nil
	}
	if account := table.Account(req.Key); account != nil {
		req.Account = account.Name
		return nil
	}
	g.cfg.Metrics.Add("UnknownKeys", "", 1)
	resp := &Response{
		Status: http.StatusUnauthorized, Reason: "unknown client key " + req.Key.String(),
		Version: table.Version, Revision: table.Revision, Route: route.Name,
	}
	if req.Key == (trdirectory.KeyDigest{}) {
		resp.Reason = "no client key"
	} else if g.cfg.Stale() {
		resp.Status, resp.RetryAfter = http.StatusServiceUnavailable, staleKeyRetry
	}
	return resp
}

// holdsKey reports whether the client account of a request still holds its key. Keys are
// withdrawn while requests wait for a connection, are held, hedged, repeated or relayed.
func (g *Gateway) holdsKey(req *Request) bool {
	if req.Account == "" {
		return true
	}
	account := g.cfg.Tables.Table().Account(req.Key)
	return account != nil && account.Name == req.Account
}
