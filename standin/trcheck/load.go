// Package trcheck holds the checks of the invariants: a background load that
// records what each caller received, and checks over these records and the
// journals of the stand-ins.
//
// A check returns what it found wrong, one line per fault, and nothing if the
// invariant holds. Checks decide by counts, by the order of journals and by the
// times that journals carry, never by how long a test took.
//
// # Usage
//
//	load := trcheck.StartLoad(trcheck.LoadConfig{Targets: addrs, Request: trcheck.Mix("search", 100)})
//	err := load.Await(ctx, 500) // 500 more answers
//	outcomes := load.Stop()
//	faults := trcheck.Answers(fleet.Leafs.Data("search"), outcomes)
//	faults = append(faults, trcheck.Served(outcomes, fleet.Leafs.Events())...)
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

// Outcome is one request and what its caller received: an answer, a refusal or
// another error.
type Outcome struct {
	Caller  int
	Number  int    // of the caller's request
	Target  string // address of the instance that was asked
	Request trwire.Request
	Answer  *trwire.Answer
	Refusal *trwire.Refusal
	Err     error
}

// LoadConfig describes a background load.
type LoadConfig struct {
	Callers int           // callers that send one request after the other, default 8
	Pause   time.Duration // of a caller between two requests, default 5 ms
	Targets func() []string
	// Request makes the n-th request of a caller. RequestID and MinVersion are
	// set by the load.
	Request func(rng *rand.Rand, n int) trwire.Request
	// KeepVersion makes each caller hand back the newest version it was answered
	// from as MinVersion.
	KeepVersion bool
	Seed        uint64
}

// Load is a running background load.
type Load struct {
	cfg    LoadConfig
	client *trcaller.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at every outcome
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
		l.wg.Go(func() { l.call(caller) })
	}
	return l
}

func (l *Load) call(caller int) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(caller)))
	version := uint64(0)
	for n := 0; trclock.Sleep(l.ctx, trclock.System(), l.cfg.Pause) == nil; n++ {
		targets := l.cfg.Targets()
		o := Outcome{Caller: caller, Number: n, Request: l.cfg.Request(rng, n)}
		o.Target = targets[rng.IntN(len(targets))]
		o.Request.RequestID = fmt.Sprintf("r-%d-%d-%d", l.cfg.Seed, caller, n)
		if l.cfg.KeepVersion {
			o.Request.MinVersion = version
		}
		// The request is not ended by Stop, so that its outcome is known.
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

// Await waits for n more answers.
func (l *Load) Await(ctx context.Context, n int) error {
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
			return errors.Errorf("%d answers are missing: %v", want-answers, Summary(l.Outcomes()))
		}
	}
}

// Outcomes returns the outcomes so far in the order of their recording.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome(nil), l.outcomes...)
}

// Stop ends the load, waits for the running requests and returns all outcomes.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.wg.Wait()
	l.client.Close()
	return l.Outcomes()
}

// Summary counts outcomes by kind: whole and partial answers, refusals by kind
// and errors.
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

// Mix returns a mix of queries with different terms and limits and of fetches of
// different keys of a service with the given number of keys.
func Mix(service string, keys int) func(rng *rand.Rand, n int) trwire.Request {
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
