package trentry

import (
	"net/http"
	"time"

	"tanagerrock/core/trgateway"
	"tanagerrock/io/trguard"
)

const (
	// answerFactor is the memory that a request takes in relation to its answer: the parts
	// as they were read, which grow by doubling, and the merged answer.
	answerFactor = 4
	// smallAnswer is the size of answers for which nothing is reserved, in bytes. Answers at
	// the sites have some hundred.
	smallAnswer = 8 << 10
	// fullRetry is when a caller may retry if the memory for clients is exhausted: after
	// connections without progress have been cut off (trintake.SweepPeriod).
	fullRetry = 500 * time.Millisecond
	// fullReason is the reason of refusals for lack of memory.
	fullReason = "memory for requests is exhausted"
)

// holds gives back what a request holds of the budget for clients.
type holds []func()

func (h *holds) add(release func()) { *h = append(*h, release) }

// release gives everything back, the latest first.
func (h *holds) release() {
	for i := len(*h) - 1; i >= 0; i-- {
		(*h)[i]()
	}
}

// refuseUnread returns the response to a request that was not read.
func refuseUnread(status int) *trgateway.Response {
	resp := &trgateway.Response{Status: status, Reason: "request cannot be read"}
	if status == http.StatusServiceUnavailable {
		resp.Reason, resp.RetryAfter = fullReason, fullRetry
	}
	return resp
}

// reserveAnswer reserves the memory of a large answer before the request runs. It returns
// nil, or the refusal of a request that has not run.
func (f *frontend) reserveAnswer(w http.ResponseWriter, r *http.Request, req *trgateway.Request, held *holds) *trgateway.Response {
	route := f.directory.Table().Route(req.Host, req.Path)
	if route == nil {
		return nil
	}
	size := f.answers.Expected(route.Name)
	if size <= smallAnswer {
		return nil
	}
	release, err := trguard.Reserve(r, answerFactor*size)
	if err != nil {
		w.Header().Set("Connection", "close")
		return &trgateway.Response{Status: http.StatusServiceUnavailable, Route: route.Name, Reason: fullReason, RetryAfter: fullRetry}
	}
	held.add(release)
	return nil
}

// recordAnswer records the size of an answer for those that follow.
func (f *frontend) recordAnswer(resp *trgateway.Response) {
	switch {
	case resp.Reply != nil:
		f.answers.Record(resp.Route, int64(len(resp.Reply.Body)))
	case resp.Merged:
		f.answers.Record(resp.Route, int64(len(resp.Records)))
	}
}
