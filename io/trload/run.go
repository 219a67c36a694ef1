package trload

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/io/trserver"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakelink"
	"tanagerrock/standin/trfleet"
)

const (
	// maxOutstanding limits the requests that wait for an answer. Requests beyond it
	// are not sent and are counted as NotSent.
	maxOutstanding = 4000
	// journalSize is the size of a leaf's journal. It is enough for two phases of 20 s
	// at full load.
	journalSize  = 20_000
	readyTimeout = 30 * time.Second
	// readyProbePeriod is the period at which the load balancer probes /readyz.
	readyProbePeriod = 500 * time.Millisecond
	// loadPollPeriod is the period at which the load endpoints are read for the
	// baseline that uses them.
	loadPollPeriod = time.Second
	// callerTimeoutMargin is the time that a caller waits beyond the timeout of the
	// class.
	callerTimeoutMargin = 500 * time.Millisecond
)

// Options selects what Run measures.
type Options struct {
	Deployment *Deployment
	Scenario   string
	Policies   []string
	Seed       uint64
	Warmup     time.Duration // length of the part at the start of each phase that is not measured
	Measure    time.Duration // length of the measured part of each phase
}

// Run runs the scenario with each policy, on a new fleet per policy, and returns one
// report per policy and phase.
func Run(ctx context.Context, opts Options) ([]*Report, error) {
	phases, err := scenarioPhases(opts.Scenario)
	if err != nil {
		return nil, err
	}
	var reports []*Report
	for _, name := range opts.Policies {
		policy, err := policyByName(name)
		if err != nil {
			return nil, err
		}
		list, err := runPolicy(ctx, &opts, policy, phases)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s", name)
		}
		reports = append(reports, list...)
	}
	return reports, nil
}

func runPolicy(ctx context.Context, opts *Options, policy Policy, phases []Phase) ([]*Report, error) {
	r := &runner{deployment: opts.Deployment, clock: trclock.System(), policy: policy}
	if err := r.start(ctx, opts.Seed); err != nil {
		return nil, err
	}
	defer r.close()
	var reports []*Report
	for n, phase := range phases {
		// Each phase has its own seed.
		report, err := r.runPhase(ctx, phase, durations{opts.Warmup, opts.Measure}, opts.Seed+uint64(n)*1_000_003)
		if err != nil {
			return nil, errors.Wrapf(err, "phase %s", phase.Name)
		}
		report.Deployment, report.Scenario, report.Seed = opts.Deployment.Name, opts.Scenario, opts.Seed
		reports = append(reports, report)
	}
	return reports, nil
}

// runner runs phases with one policy. It holds the fleet and the HTTP clients.
type runner struct {
	deployment *Deployment
	clock      trclock.Clock
	policy     Policy
	fleet      *trfleet.Fleet
	client     *trcaller.Client         // sends the requests of the callers
	pollClient *http.Client             // reads /readyz and the load endpoints
	ready      atomic.Pointer[[]string] // addresses of the ready instances
	stopTimers []func()
}

func (r *runner) start(ctx context.Context, seed uint64) error {
	document, err := r.policy.document(r.deployment)
	if err != nil {
		return err
	}
	fleet, err := trfleet.Start(trfleet.Config{
		Zones:           r.deployment.Zones,
		Instances:       r.deployment.Instances,
		Services:        r.deployment.services(),
		Document:        document,
		Seed:            seed,
		JournalSize:     journalSize,
		InstanceOptions: r.instanceOptions,
	})
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	r.fleet = fleet
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(readyCtx); err != nil {
		fleet.Close()
		return err
	}
	r.client = trcaller.New(maxOutstanding)
	r.client.HTTP.Transport.(*http.Transport).DialContext = r.callerDialer()
	r.pollClient = &http.Client{Timeout: readyProbePeriod}
	r.updateReady(r.clock.Now())
	r.stopTimers = append(r.stopTimers, r.clock.Every(readyProbePeriod, r.updateReady))
	if r.policy.PollLoad {
		r.stopTimers = append(r.stopTimers, r.clock.Every(loadPollPeriod, r.pollLoad))
	}
	return nil
}

func (r *runner) close() {
	for _, stop := range r.stopTimers {
		stop()
	}
	r.client.Close()
	r.fleet.Close()
}

func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (r *runner) callerDialer() func(context.Context, string, string) (net.Conn, error) {
	dial := trfakelink.DelayedDialer(r.clock, func(string) time.Duration { return durationFromMs(r.deployment.CallerDelayMs) })
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
}

// instanceOptions returns the options of the instances of a zone: the picker of the
// policy, and dialers that delay connections to leafs and peers of other zones.
func (r *runner) instanceOptions(f *trfleet.Fleet, zone string) trserver.Options {
	zoneOf := make(map[string]string)
	for _, in := range f.Leafs.Instances() {
		zoneOf[in.Addr] = in.Zone
	}
	leafDelay := func(addr string) time.Duration {
		if zoneOf[addr] == zone {
			return 0
		}
		return durationFromMs(r.deployment.ZoneDelayMs)
	}
	peerDelay := func(addr string) time.Duration {
		for _, i := range f.Instances() {
			if i.Server.PeerAddr() == addr && i.Zone == zone {
				return 0
			}
		}
		return durationFromMs(r.deployment.ZoneDelayMs)
	}
	return trserver.Options{
		DialLeaf: trfakelink.DelayedDialer(r.clock, leafDelay),
		DialPeer: trfakelink.DelayedDialer(r.clock, peerDelay),
		Picker:   r.policy.Picker,
	}
}

// updateReady probes the instances as the platform's load balancer does and updates
// the list of those that are ready. If none is ready, it keeps the previous list.
func (r *runner) updateReady(time.Time) {
	var ready []string
	for _, i := range r.fleet.Instances() {
		resp, err := r.pollClient.Get("http://" + i.Addr() + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode < http.StatusMultipleChoices {
			ready = append(ready, i.Addr())
		}
	}
	if len(ready) > 0 {
		r.ready.Store(&ready)
	}
}

// pollLoad reads the load endpoint of each leaf and passes the load to all instances.
func (r *runner) pollLoad(time.Time) {
	for _, leaf := range r.fleet.Leafs.Leafs() {
		resp, err := r.pollClient.Get("http://" + leaf.Addr() + trwire.PathLoad)
		if err != nil {
			continue
		}
		var load trwire.Load
		err = json.NewDecoder(resp.Body).Decode(&load)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		for _, i := range r.fleet.Instances() {
			i.Server.SetReportedLoad(leaf.ID(), load.Share)
		}
	}
}

// counters holds the totals of all instances and leafs and the processor time used.
type counters struct {
	Sent, Needed, Hedges, Retries, Dials int64
	Sheds, Canceled                      int64 // sub-queries, counted by the leafs
	CPU                                  time.Duration
}

func (r *runner) counters() counters {
	var c counters
	for _, i := range r.fleet.Instances() {
		sent, needed := i.Server.SubQueries()
		hedges, retries := i.Server.ExtraSubQueries()
		c.Sent += sent
		c.Needed += needed
		c.Hedges += hedges
		c.Retries += retries
		c.Dials += i.Server.Dials()
	}
	for _, e := range r.fleet.Leafs.Events() {
		switch e.Type {
		case trfakeleaf.EventShed:
			c.Sheds++
		case trfakeleaf.EventCanceled:
			c.Canceled++
		}
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return c
}

func (c counters) minus(o counters) counters {
	return counters{
		c.Sent - o.Sent, c.Needed - o.Needed, c.Hedges - o.Hedges, c.Retries - o.Retries, c.Dials - o.Dials,
		c.Sheds - o.Sheds, c.Canceled - o.Canceled, c.CPU - o.CPU,
	}
}

// runPhase runs one phase and reports its measured part.
func (r *runner) runPhase(ctx context.Context, phase Phase, d durations, seed uint64) (*Report, error) {
	if phase.Setup != nil {
		if err := phase.Setup(ctx, r.fleet, r.deployment); err != nil {
			return nil, err
		}
	}
	started := r.clock.Now()
	tally := newTally(r.deployment, started.Add(d.warmup), d.measure)
	failed := make(chan error, len(phase.Actions))
	for _, a := range phase.Actions {
		at := d.warmup + time.Duration(a.At*float64(d.measure))
		stop := r.clock.After(at, func(time.Time) {
			if err := a.Do(ctx, r.fleet, r.deployment); err != nil {
				failed <- err
			}
		})
		defer stop()
	}
	var before counters
	defer r.clock.After(d.warmup, func(time.Time) {
		c := r.counters()
		tally.mu.Lock()
		defer tally.mu.Unlock()
		before = c
	})()
	if err := r.generate(ctx, NewSchedule(r.deployment, phase.Load, seed), tally, started, d, seed); err != nil {
		return nil, err
	}
	select {
	case err := <-failed:
		return nil, errors.Wrap(err, "scenario action")
	default:
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	report := tally.report(r.counters().minus(before))
	report.Policy, report.Phase, report.Load = r.policy.Name, phase.Name, phase.Load
	return report, nil
}

// generate sends the requests of a phase when they are due and waits until all have
// ended.
func (r *runner) generate(ctx context.Context, schedule *Schedule, tally *tally, started time.Time, d durations, seed uint64) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	var outstanding atomic.Int64
	random := rand.New(rand.NewPCG(seed, 8)) // a stream other than that of the schedule
	for {
		a := schedule.Next()
		if a.At >= d.warmup+d.measure {
			return nil
		}
		due := started.Add(a.At)
		if wait := due.Sub(r.clock.Now()); wait > 0 {
			if err := trclock.Sleep(ctx, r.clock, wait); err != nil {
				return errors.Wrap(err, "generate load")
			}
		}
		ready := *r.ready.Load()
		addr := ready[random.IntN(len(ready))]
		if outstanding.Load() >= maxOutstanding {
			tally.recordNotSent(&a, due)
			continue
		}
		outstanding.Add(1)
		lag := r.clock.Now().Sub(due)
		wg.Go(func() {
			defer outstanding.Add(-1)
			r.send(ctx, addr, &a, due, lag, tally)
		})
	}
}

func (r *runner) send(ctx context.Context, addr string, a *Arrival, due time.Time, lag time.Duration, tally *tally) {
	if a.Request.Kind == trwire.Execute {
		a.Request.RequestID = uuid.NewString()
	}
	timeout := time.Duration(tally.classes[a.Request.Class].policy.TimeoutMs)*time.Millisecond + callerTimeoutMargin
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := r.client.Do(ctx, addr, &a.Request)
	tally.record(a, due, r.clock.Now(), lag, answer, err)
}
