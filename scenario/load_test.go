package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/io/trserver"
)

const (
	probePeriod  = 20 * time.Millisecond // of the balancer's readiness probes
	samplePeriod = 50 * time.Millisecond // of status samples
	// linkDelayMs is the one-way delay of the links of far callers. It is long enough
	// that a request can be in transit when its connection is closed.
	linkDelayMs   = 100
	callerTimeout = 15 * time.Second // of one request
)

// instanceSet holds the addresses of the running instances by name.
type instanceSet struct {
	mu    sync.Mutex
	addrs map[string]string
}

func (s *instanceSet) add(name, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs[name] = addr
}

func (s *instanceSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addrs, name)
}

func (s *instanceSet) list() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]string, len(s.addrs))
	for name, addr := range s.addrs {
		list[name] = addr
	}
	return list
}

// repeat calls f for all instances concurrently, once per period, until stop is called.
func (s *instanceSet) repeat(period time.Duration, f func(name, addr string)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			var round sync.WaitGroup
			for name, addr := range s.list() {
				round.Go(func() { f(name, addr) })
			}
			round.Wait()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { cancel(); wg.Wait() }
}

// balancer distributes requests to the ready instances in turn, in place of the
// platform's load balancer.
type balancer struct {
	instanceSet
	client *http.Client
	stop   func()

	ready     map[string]bool   // guarded by mu
	linkAddrs map[string]string // addresses of the delayed links to the instances, guarded by mu
	next      int               // count of picks, guarded by mu
}

func newBalancer() *balancer {
	b := &balancer{
		instanceSet: instanceSet{addrs: map[string]string{}},
		client:      &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
		ready:       map[string]bool{},
		linkAddrs:   map[string]string{},
	}
	b.stop = b.repeat(probePeriod, b.probe)
	return b
}

func (b *balancer) probe(name, addr string) {
	resp, err := b.client.Get("http://" + addr + "/readyz")
	ok := err == nil && resp.StatusCode/100 == 2
	if err == nil {
		_ = resp.Body.Close()
	}
	b.setReady(name, ok)
}

func (b *balancer) setReady(name string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[name] = ready
}

func (b *balancer) setLinkAddr(name, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linkAddrs[name] = addr
}

// linkAddr returns the address of the link to an instance.
func (b *balancer) linkAddr(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.linkAddrs[name]
}

// pick returns the next ready instance in turn. It picks among the instances named in
// only, or among all if only is empty, and never picks except.
func (b *balancer) pick(only []string, except string) (name, addr string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name := range b.addrs {
		if b.ready[name] && name != except && (len(only) == 0 || slices.Contains(only, name)) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", "", false
	}
	slices.Sort(names)
	b.next++
	name = names[b.next%len(names)]
	return name, b.addrs[name], true
}

// sample is the status of an instance at one time.
type sample struct {
	Instance string
	SentNs   int64 // Unix time before the status request
	Status   trserver.Status
}

// sampler records the status of all instances periodically.
type sampler struct {
	instanceSet
	stop    func()
	samples []sample // guarded by mu
}

func newSampler() *sampler {
	s := &sampler{instanceSet: instanceSet{addrs: map[string]string{}}}
	s.stop = s.repeat(samplePeriod, func(name, addr string) {
		current := sample{Instance: name, SentNs: time.Now().UnixNano()}
		if get("http://"+addr+"/v1/status", &current.Status) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.samples = append(s.samples, current)
	})
	return s
}

func (s *sampler) all() []sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.samples)
}

// Outcomes of a request. The outcome of a refused request is the trwire.RefusalKind.
const (
	outcomeWhole   = "Whole"
	outcomePartial = "Partial"
	outcomeError   = "Error" // neither an answer nor a refusal, or an answer to another request
)

// requestRecord records the outcome of one request.
type requestRecord struct {
	RequestID string
	Instance  string // that the request was sent to
	Start     int64  // Unix time in ns
	End       int64
	Outcome   string
	Detail    string
	Result    string // of an Execute with the outcome Whole
}

// loadConfig configures a load.
type loadConfig struct {
	name    string
	kind    trwire.Kind
	service string
	class   string
	workers int
	pause   time.Duration // of a worker between two requests
	timeout int64         // ms
	to      []string      // names of the instances to use; empty for all
	sticky  bool          // each worker uses one connection until it is closed, also if its instance is not ready
	far     bool          // connect through links with linkDelayMs in each direction
	again   bool          // send each request to a second instance as well, with the same request ID
}

// load is a running load generator with the records of its requests.
type load struct {
	cfg    loadConfig
	bal    *balancer
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	records []requestRecord
}

// newLoad returns a load with options KEY=VALUE. The keys are kind, service, class,
// workers, pause (ms), timeout (ms), to (instance names separated by commas), and sticky,
// far and again (true or false). See loadConfig.
func newLoad(ts *testscript.TestScript, bal *balancer, name string, options []string) *load {
	cfg := loadConfig{name: name, kind: trwire.Query, class: "c", workers: 3, pause: 20 * time.Millisecond, timeout: 5_000}
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		number, _ := strconv.ParseInt(value, 10, 64) // only numeric options use it
		switch key {
		case "kind":
			cfg.kind = trwire.Kind(value)
		case "service":
			cfg.service = value
		case "class":
			cfg.class = value
		case "workers":
			cfg.workers = int(number)
		case "pause":
			cfg.pause = time.Duration(number) * time.Millisecond
		case "timeout":
			cfg.timeout = number
		case "to":
			cfg.to = strings.Split(value, ",")
		case "sticky":
			cfg.sticky = value == "true"
		case "far":
			cfg.far = value == "true"
		case "again":
			cfg.again = value == "true"
		default:
			ts.Fatalf("unknown load option %q", option)
		}
	}
	return &load{cfg: cfg, bal: bal}
}

func cmdLoad(c *cluster, ts *testscript.TestScript, args []string) {
	l := newLoad(ts, c.bal, args[0], args[1:])
	c.loads[args[0]] = l
	l.start()
}

func cmdFinish(c *cluster, ts *testscript.TestScript, args []string) {
	for _, name := range args {
		c.load(ts, name).stop()
	}
}

func (c *cluster) load(ts *testscript.TestScript, name string) *load {
	l := c.loads[name]
	if l == nil {
		ts.Fatalf("load %q was not started", name)
	}
	return l
}

func (l *load) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for n := range l.cfg.workers {
		l.wg.Go(func() { l.runWorker(ctx, n) })
	}
}

// stop stops the load and waits for the replies to the requests in progress.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) all() []requestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

func (l *load) runWorker(ctx context.Context, worker int) {
	client := newWorkerClient(l.cfg.sticky)
	defer client.caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := &trwire.Request{
			RequestID: fmt.Sprintf("%s-%d-%d", l.cfg.name, worker, n),
			Tenant:    "t", Class: l.cfg.class, Service: l.cfg.service, Kind: l.cfg.kind,
			TimeoutMs: l.cfg.timeout,
		}
		if l.cfg.kind != trwire.Query {
			req.Key = fmt.Sprintf("%s-%06d", l.cfg.service, (worker*31+n)%50)
		}
		first := l.send(ctx, client, req, "")
		if l.cfg.again && first != "" {
			l.send(ctx, client, req, first)
		}
		select {
		case <-time.After(l.cfg.pause):
		case <-ctx.Done():
		}
	}
}

// errRedial is returned by the dial function when the connection of a sticky worker is
// closed and the worker must pick an instance again.
var errRedial = errors.New("connection of a sticky worker is closed")

// workerClient is the HTTP client of one worker. A sticky one keeps to one connection.
type workerClient struct {
	caller *trcaller.Client
	sticky bool
	target string // name of the instance last picked
	addr   string // of target, or of the link to it
	dialed bool   // since target was picked; needs no lock, as a worker sends one request at a time
}

func newWorkerClient(sticky bool) *workerClient {
	c := &workerClient{sticky: sticky}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	c.caller = &trcaller.Client{HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if c.sticky && c.dialed {
				return nil, errRedial
			}
			c.dialed = true
			return dialer.DialContext(ctx, network, addr)
		},
	}}}
	return c
}

// send sends req to an instance other than except, trying others until one accepts the
// connection, and records the reply. It returns the name of the instance, or "" if the
// load was stopped before.
func (l *load) send(ctx context.Context, c *workerClient, req *trwire.Request, except string) string {
	for ctx.Err() == nil {
		if !c.sticky || c.target == "" || c.target == except {
			name, addr, ok := l.bal.pick(l.cfg.to, except)
			if !ok {
				time.Sleep(pollInterval)
				continue
			}
			if l.cfg.far {
				addr = l.bal.linkAddr(name)
			}
			c.target, c.addr, c.dialed = name, addr, false
		}
		// The context is not derived from ctx, so that stopping the load does not
		// cancel a request in progress.
		call, cancel := context.WithTimeout(context.Background(), callerTimeout)
		start := time.Now()
		answer, err := c.caller.Do(call, c.addr, req)
		cancel()
		if notSent(err) {
			l.bal.setReady(c.target, false)
			c.target = ""
			continue
		}
		l.record(c.target, req, start, answer, err)
		return c.target
	}
	return ""
}

// notSent reports whether err means that there was no connection, so that the request
// can be sent to another instance.
func notSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, errRedial) || errors.As(err, &op) && op.Op == "dial"
}

func (l *load) record(target string, req *trwire.Request, start time.Time, answer *trwire.Answer, err error) {
	r := requestRecord{RequestID: req.RequestID, Instance: target, Start: start.UnixNano(), End: time.Now().UnixNano()}
	var refusal *trwire.Refusal
	switch {
	case errors.As(err, &refusal):
		r.Outcome, r.Detail = string(refusal.Kind), refusal.Reason
	case err != nil:
		r.Outcome, r.Detail = outcomeError, err.Error()
	case answer.RequestID != req.RequestID:
		r.Outcome, r.Detail = outcomeError, "answer has request ID "+answer.RequestID
	case !answer.Coverage.Complete():
		r.Outcome, r.Detail = outcomePartial, fmt.Sprintf("%+v", answer.Coverage)
	default:
		r.Outcome, r.Result = outcomeWhole, string(answer.Result)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}
