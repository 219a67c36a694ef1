package trquery

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/tronce"
	"tanagerrock/core/trwire"
)

// Peer is an instance that a request can be forwarded to.
type Peer struct {
	ID   string
	Addr string
}

// Peers tells where a request has to run.
type Peers interface {
	// Serving reports whether this instance may send to leafs and is not taken
	// out.
	Serving() bool
	// Candidates returns serving peers, best first.
	Candidates() []Peer
	// Home returns the instance that runs requests with this identifier and
	// whether it is this one. ok is false if no instance holds a sender index.
	Home(requestID string) (peer Peer, self, ok bool)
	// MayTakeOver reports whether this instance may run a request whose home it
	// cannot reach, if it gets the claim in the store. The home must have ended
	// without having run requests that are not claimed there.
	MayTakeOver(requestID string) bool
	// Forward sends the request to a peer. If it fails with an error that is not a
	// refusal, delivered reports whether the peer may have received the request.
	Forward(ctx context.Context, peer Peer, req *trwire.Request, hops int) (answer *trwire.Answer, delivered bool, err error)
}

// Forward forwards a request that this instance must not run: one that is not
// idempotent to the home of its identifier, and any request if this instance
// cannot send to leafs or is taken out.
func Forward(clock trclock.Clock, peers Peers) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if call.Request.Kind == trwire.Execute {
				return relocateExecute(ctx, clock, peers, call, next)
			}
			if peers.Serving() {
				return next(ctx, call)
			}
			return relocateQuery(ctx, clock, peers, call)
		}
	}
}

func relocateExecute(ctx context.Context, clock trclock.Clock, peers Peers, call *Call, next Handler) (*trwire.Answer, error) {
	home, self, ok := peers.Home(call.Request.RequestID)
	if !ok {
		return nil, unknown("no instance holds a sender index")
	}
	if self {
		return next(ctx, call)
	}
	if call.Hops >= MaxHops {
		if !awaitHome(ctx, clock, peers, call.Request.RequestID) {
			return nil, unknown("the home of the identifier is changing")
		}
		return next(ctx, call)
	}
	answer, delivered, err := forward(ctx, clock, peers, home, call)
	if err == nil {
		return answer, nil
	}
	if refusal, ok := err.(*trwire.Refusal); ok {
		return nil, refusal
	}
	if !delivered && peers.MayTakeOver(call.Request.RequestID) {
		return next(ctx, call)
	}
	return nil, unknown("instance %s, home of the identifier, did not answer: %v", home.ID, err)
}

// A former home forwards requests as soon as it has released its index, and its
// table reaches this instance by a push at about the same time.
const (
	homeWait = time.Second
	homePoll = 10 * time.Millisecond
)

// awaitHome waits until this instance is the home of the identifier. It reports
// false if it does not become so soon.
func awaitHome(ctx context.Context, clock trclock.Clock, peers Peers, requestID string) bool {
	for range homeWait / homePoll {
		if trclock.Sleep(ctx, clock, homePoll) != nil {
			return false
		}
		if _, self, ok := peers.Home(requestID); ok && self {
			return true
		}
	}
	return false
}

// unknown refuses a request that is not idempotent without a promise. An earlier
// submission of its identifier, by the caller or by the balancer, may have run,
// so only the home and a process that holds the claim can say NotRun.
func unknown(format string, args ...any) *trwire.Refusal {
	refusal := trwire.Refuse(trwire.OutcomeUnknown, format, args...)
	refusal.RetryAfterMs = retryAfterMove
	return refusal
}

func relocateQuery(ctx context.Context, clock trclock.Clock, peers Peers, call *Call) (*trwire.Answer, error) {
	if call.Hops >= MaxHops {
		return nil, &trwire.Refusal{Kind: trwire.NotRun, Reason: "instance holds no sender index or is taken out", RetryAfterMs: retryAfterMove}
	}
	mayHaveRun := false
	for _, peer := range peers.Candidates() {
		answer, delivered, err := forward(ctx, clock, peers, peer, call)
		if err == nil {
			return answer, nil
		}
		if refusal, ok := err.(*trwire.Refusal); ok {
			return nil, refusal
		}
		mayHaveRun = mayHaveRun || delivered
		if ctx.Err() != nil {
			return nil, trwire.Refuse(trwire.DeadlineExceeded, "instance %s did not answer in time", peer.ID)
		}
	}
	if mayHaveRun {
		return nil, trwire.Refuse(trwire.Incomplete, "no instance that can send to leafs answered")
	}
	return nil, &trwire.Refusal{Kind: trwire.NotRun, Reason: "no instance that can send to leafs is reachable", RetryAfterMs: retryAfterMove}
}

// forward passes the remaining time on, so that the peer does not work past the
// caller's deadline.
func forward(ctx context.Context, clock trclock.Clock, peers Peers, peer Peer, call *Call) (*trwire.Answer, bool, error) {
	left := call.Deadline.Sub(clock.Now()).Milliseconds()
	if left <= 0 {
		return nil, false, &trwire.Refusal{Kind: trwire.NotRun, Reason: "no time left to forward the request"}
	}
	req := *call.Request
	req.TimeoutMs = left
	call.Stats.Forwarded = true
	return peers.Forward(ctx, peer, &req, call.Hops+1)
}

// OnceRunner runs a request that is not idempotent at most once per identifier.
type OnceRunner interface {
	Run(ctx context.Context, req *trwire.Request, run func(ctx context.Context) (*trwire.Answer, error)) (*trwire.Answer, error)
}

// RunOnce passes requests that are not idempotent through once. It stands before
// Admit, so that a refusal of admission is given under the claim of the
// identifier and NotRun is true for all its submissions.
func RunOnce(once OnceRunner) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if call.Request.Kind != trwire.Execute {
				return next(ctx, call)
			}
			return once.Run(ctx, call.Request, func(ctx context.Context) (*trwire.Answer, error) {
				return next(ctx, call)
			})
		}
	}
}

// Admission limits how many calls run at once.
type Admission interface {
	Acquire(ctx context.Context, priority trlimit.Priority) (release func(), refusal *trwire.Refusal)
}

// Admit lets a call wait for admission by worth and deadline.
func Admit(clock trclock.Clock, admission Admission) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			asked := clock.Now()
			release, refusal := admission.Acquire(tronce.CallerContext(ctx), trlimit.Priority{Worth: call.Class.Worth, Deadline: call.Deadline})
			call.Stats.QueueTime = clock.Now().Sub(asked)
			if refusal != nil {
				return nil, refusal
			}
			defer release()
			return next(ctx, call)
		}
	}
}

// remaining returns the time left until the call's deadline.
func (c *Call) remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }
