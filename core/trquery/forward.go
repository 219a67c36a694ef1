package trquery

import (
	"context"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/tronce"
	"tanagerrock/core/trwire"
)

// Peer identifies an instance to which requests can be forwarded.
type Peer struct {
	ID   string
	Addr string
}

// Peers decides which instance serves a request and forwards requests to it.
type Peers interface {
	// Serving reports whether this instance may send to leafs and operators have
	// not taken it out of service.
	Serving() bool
	// Candidates returns serving peers in order of preference.
	Candidates() []Peer
	// Home returns the instance that executes requests with this ID and whether it
	// is this one. ok is false if no instance holds a sender index.
	Home(requestID string) (peer Peer, self, ok bool)
	// MayTakeOver reports whether this instance may execute a request whose home
	// is unreachable. That requires that the home has stopped and that every request
	// that it executed has a claim in the store. This instance must then obtain the
	// claim first.
	MayTakeOver(requestID string) bool
	// Forward sends the request to a peer. If it fails with an error that is not a
	// *trwire.Refusal, delivered reports whether the peer may have received the
	// request.
	Forward(ctx context.Context, peer Peer, req *trwire.Request, hops int) (answer *trwire.Answer, delivered bool, err error)
}

// Forward forwards requests that this instance must not serve: a request that is
// not idempotent goes to the home of its request ID, and any other request goes
// to a serving peer if this instance is not serving.
func Forward(clock trclock.Clock, peers Peers) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if call.Request.Kind == trwire.Execute {
				return forwardExecute(ctx, clock, peers, call, next)
			}
			if peers.Serving() {
				return next(ctx, call)
			}
			return forwardQuery(ctx, clock, peers, call)
		}
	}
}

func forwardExecute(ctx context.Context, clock trclock.Clock, peers Peers, call *Call, next Handler) (*trwire.Answer, error) {
	home, self, ok := peers.Home(call.Request.RequestID)
	if !ok {
		return nil, outcomeUnknown("no instance holds a sender index")
	}
	if self {
		return next(ctx, call)
	}
	if call.Hops >= MaxHops {
		if !awaitHome(ctx, clock, peers, call.Request.RequestID) {
			return nil, outcomeUnknown("the home of the identifier is changing")
		}
		return next(ctx, call)
	}
	answer, delivered, err := forwardTo(ctx, clock, peers, home, call)
	if err == nil {
		return answer, nil
	}
	if refusal, ok := err.(*trwire.Refusal); ok {
		return nil, refusal
	}
	if !delivered && peers.MayTakeOver(call.Request.RequestID) {
		return next(ctx, call)
	}
	return nil, outcomeUnknown("instance %s, home of the identifier, did not answer: %v", home.ID, err)
}

// A former home forwards requests as soon as it has released its sender index. The
// new sender table is pushed to this instance at about the same time, so only a
// short wait is needed.
const (
	homeTimeout      = time.Second
	homePollInterval = 10 * time.Millisecond
)

// awaitHome waits until this instance is the home of the request ID. It returns
// false if that does not happen within homeTimeout or before ctx ends.
func awaitHome(ctx context.Context, clock trclock.Clock, peers Peers, requestID string) bool {
	for range homeTimeout / homePollInterval {
		if trclock.Sleep(ctx, clock, homePollInterval) != nil {
			return false
		}
		if _, self, ok := peers.Home(requestID); ok && self {
			return true
		}
	}
	return false
}

// outcomeUnknown refuses a request that is not idempotent with OutcomeUnknown. An
// earlier submission of the request ID, by the caller or by the load balancer, may
// have run, so only the home and a process that holds the claim can return NotRun.
func outcomeUnknown(format string, args ...any) *trwire.Refusal {
	refusal := trwire.Refuse(trwire.OutcomeUnknown, format, args...)
	refusal.RetryAfterMs = retryAfterDefaultMs
	return refusal
}

func forwardQuery(ctx context.Context, clock trclock.Clock, peers Peers, call *Call) (*trwire.Answer, error) {
	if call.Hops >= MaxHops {
		return nil, &trwire.Refusal{Kind: trwire.NotRun, Reason: "instance holds no sender index or is taken out", RetryAfterMs: retryAfterDefaultMs}
	}
	mayHaveRun := false
	for _, peer := range peers.Candidates() {
		answer, delivered, err := forwardTo(ctx, clock, peers, peer, call)
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
	return nil, &trwire.Refusal{Kind: trwire.NotRun, Reason: "no instance that can send to leafs is reachable", RetryAfterMs: retryAfterDefaultMs}
}

// forwardTo forwards the call to peer with the remaining time as its timeout, so
// that the peer does not work past the caller's deadline.
func forwardTo(ctx context.Context, clock trclock.Clock, peers Peers, peer Peer, call *Call) (*trwire.Answer, bool, error) {
	remaining := call.Deadline.Sub(clock.Now()).Milliseconds()
	if remaining <= 0 {
		return nil, false, &trwire.Refusal{Kind: trwire.NotRun, Reason: "no time left to forward the request"}
	}
	req := *call.Request
	req.TimeoutMs = remaining
	call.Stats.Forwarded = true
	return peers.Forward(ctx, peer, &req, call.Hops+1)
}

// OnceRunner runs requests that are not idempotent at most once per request ID.
type OnceRunner interface {
	Run(ctx context.Context, req *trwire.Request, run func(ctx context.Context) (*trwire.Answer, error)) (*trwire.Answer, error)
}

// RunOnce passes requests that are not idempotent to runner. It must precede Admit
// in the chain: a request refused by admission then holds the claim of its ID, so
// that NotRun is true for all submissions of the ID.
func RunOnce(runner OnceRunner) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			if call.Request.Kind != trwire.Execute {
				return next(ctx, call)
			}
			return runner.Run(ctx, call.Request, func(ctx context.Context) (*trwire.Answer, error) {
				return next(ctx, call)
			})
		}
	}
}

// Admission limits the number of calls that run concurrently.
type Admission interface {
	Acquire(ctx context.Context, priority trlimit.Priority) (release func(), refusal *trwire.Refusal)
}

// Admit makes each call wait for admission in the order of worth and deadline.
func Admit(clock trclock.Clock, admission Admission) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, call *Call) (*trwire.Answer, error) {
			queuedAt := clock.Now()
			release, refusal := admission.Acquire(tronce.CallerContext(ctx), trlimit.Priority{Worth: call.Class.Worth, Deadline: call.Deadline})
			call.Stats.QueueTime = clock.Now().Sub(queuedAt)
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
