// Package trcheck checks the invariants of the query tier. It provides a background
// load that records what each caller received, and checks that compare these outcomes
// with the journals of the stand-ins.
//
// A check returns one line per violation, and nothing if the invariant holds. Checks
// depend on counts and on the order and the timestamps of journal events, never on how
// long a test took.
//
// # Usage
//
//	load := trcheck.StartLoad(trcheck.LoadConfig{Targets: addrs, Request: trcheck.RequestMix("search", 100)})
//	err := load.AwaitAnswers(ctx, 500) // 500 more answers
//	outcomes := load.Stop()
//	violations := trcheck.Answers(fleet.Leafs.Dataset("search"), outcomes)
//	violations = append(violations, trcheck.Coverage(outcomes, fleet.Leafs.Events())...)
package trcheck

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
)

// Outcome is a request and what its caller received: an answer, a refusal or another
// error.
type Outcome struct {
	Caller  int
	Number  int    // sequence number of the request, counted per caller
	Target  string // address of the instance that was asked
	Request trwire.Request
	Answer  *trwire.Answer
	Refusal *trwire.Refusal
	Err     error
}

// LoadConfig describes a background load.
type LoadConfig struct {
	Callers int             // concurrent callers, each with one request at a time, default 8
	Pause   time.Duration   // pause of a caller between two requests, default 5 ms
	Targets func() []string // addresses of the instances to send requests to
	// Request returns the n-th request of a caller. The load sets its RequestID and
	// MinVersion.
	Request func(rng *rand.Rand, n int) trwire.Request
	// MonotonicReads makes each caller set MinVersion to the newest version among the
	// answers that it has received.
	MonotonicReads bool
	Seed           uint64
}

// Load is a running background load.
type Load struct {
	cfg    LoadConfig
	client *trcaller.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced whenever an outcome is recorded
	outcomes []Outcome
	answers  int
}

// StartLoad starts the callers.
func StartLoad(cfg LoadConfig) *Load {
	if cfg.Callers == 0 {
		cfg.Callers = 8
	}
	if cfg.Pause == 0 {
		cfg.Pause = 5 * time.Millisecond
	}
	l := &Load{cfg: cfg, client: trcaller.New(cfg.Callers), changed: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for caller := range cfg.Callers {
		l.wg.Go(func() { l.runCaller(caller) })
	}
	return l
}

func (l *Load) runCaller(caller int) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(caller)))
	version := uint64(0)
	for n := 0; trclock.Sleep(l.ctx, trclock.System(), l.cfg.Pause) == nil; n++ {
		targets := l.cfg.Targets()
		o := Outcome{Caller: caller, Number: n, Request: l.cfg.Request(rng, n)}
		o.Target = targets[rng.IntN(len(targets))]
		o.Request.RequestID = fmt.Sprintf("r-%d-%d-%d", l.cfg.Seed, caller, n)
		if l.cfg.MonotonicReads {
			o.Request.MinVersion = version
		}
		// Stop does not cancel the request, so that its outcome is known.
		o.Answer, o.Err = l.client.Do(context.Background(), o.Target, &o.Request)
		if errors.As(o.Err, &o.Refusal) {
			o.Err = nil
		}
		if o.Answer != nil {
			version = max(version, o.Answer.Version)
		}
		l.record(o)
	}
}

func (l *Load) record(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	if o.Answer != nil {
		l.answers++
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// AwaitAnswers waits until n more answers have been received.
func (l *Load) AwaitAnswers(ctx context.Context, n int) error {
	want := -1
	for {
		l.mu.Lock()
		if want < 0 {
			want = l.answers + n
		}
		answers, changed := l.answers, l.changed
		l.mu.Unlock()
		if answers >= want {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Errorf("still waiting for %d answers, outcomes so far: %v", want-answers, Summary(l.Outcomes()))
		}
	}
}

// Outcomes returns the outcomes so far in the order in which they were recorded.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome(nil), l.outcomes...)
}

// Stop stops the load, waits for the requests in flight and returns all outcomes.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.wg.Wait()
	l.client.Close()
	return l.Outcomes()
}

// Summary counts outcomes by kind: complete answers as Whole, other answers as Partial,
// refusals by their kind, and other errors as Error.
func Summary(outcomes []Outcome) map[string]int {
	counts := map[string]int{}
	for i := range outcomes {
		counts[outcomes[i].kind()]++
	}
	return counts
}

func (o *Outcome) kind() string {
	switch {
	case o.Err != nil:
		return "Error"
	case o.Refusal != nil:
		return string(o.Refusal.Kind)
	case o.Answer.Coverage.Complete():
		return "Whole"
	}
	return "Partial"
}

// RequestMix returns a function for LoadConfig.Request that generates queries with
// different terms and limits, and fetches of different keys of a service with the given
// number of keys.
func RequestMix(service string, keys int) func(rng *rand.Rand, n int) trwire.Request {
	terms := []string{"", "oak", "brass", "linen", "v", "slate cork"}
	limits := []int{0, 5, 20, 50}
	return func(rng *rand.Rand, n int) trwire.Request {
		req := trwire.Request{Kind: trwire.Query, Tenant: "t", Class: "c", Service: service}
		if n%4 == 3 {
			req.Kind = trwire.Fetch
			req.Key = fmt.Sprintf("%s-%06d", service, rng.IntN(keys))
			return req
		}
		req.Terms = terms[rng.IntN(len(terms))]
		req.Limit = limits[rng.IntN(len(limits))]
		return req
	}
}
