package trguard

import (
	"errors"
	"net/http"

	"tanagerrock/core/trintake"
)

// Handler marks the requests of a handler that reads no bodies.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer Begin(w, r)()
		next.ServeHTTP(w, r)
	})
}

// Begin marks a request as read completely. The connection is not cut off until the
// returned function has been called, unless the client does not read the answer. On a
// connection that is already cut off, the answer says that it ends.
func Begin(w http.ResponseWriter, r *http.Request) (done func()) {
	account := accountOf(r)
	account.Enter(trintake.Running)
	if account.Ended() != trintake.NoCause {
		w.Header().Set("Connection", "close")
	}
	// What http.Server reads until the next request is the rest of the body.
	return func() { account.Enter(trintake.Body) }
}

// ReadBody reads the body of a request within the budget. factor is the memory that is
// needed for each byte of the body while the request runs, at least 1. The returned
// function gives it back. status is 0, or the status of a refusal: 400, 408, 413 or 503.
// The connection of a refused request ends with the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, factor int64) (body []byte, release func(), status int) {
	account := accountOf(r)
	account.Enter(trintake.Body)
	body, err := trintake.ReadAll(r.Body, r.ContentLength, limit, account)
	extra := (factor - 1) * int64(len(body))
	if err == nil {
		if err = account.Reserve(extra); err != nil {
			account.Release(int64(cap(body)))
		}
	}
	if err == nil {
		return body, func() { account.Release(int64(cap(body)) + extra) }, 0
	}
	w.Header().Set("Connection", "close")
	return nil, func() {}, refusalStatus(err, account)
}

// refusalStatus returns the status for a body that was not read.
func refusalStatus(err error, account *trintake.Account) int {
	switch {
	case errors.Is(err, trintake.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, trintake.ErrFull) || account.Ended() == trintake.Pressure:
		return http.StatusServiceUnavailable
	case account.Ended() == trintake.Stalled:
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// Reserve reserves n bytes for the answer of a request. The returned function gives them
// back. It returns trintake.ErrFull if the request must be refused.
func Reserve(r *http.Request, n int64) (release func(), err error) {
	account := accountOf(r)
	if err := account.Reserve(n); err != nil {
		return nil, err
	}
	return func() { account.Release(n) }, nil
}
