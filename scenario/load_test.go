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
	balancePeriod = 20 * time.Millisecond // of readiness probes
	samplePeriod  = 50 * time.Millisecond // of status samples
	farDelayMs    = 100                   // one way, long enough to meet a connection's end on the way
	callerWait    = 15 * time.Second      // a caller without a reply gives up
)

// instanceSet is the addresses of the running instances by name.
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

// repeat calls f for each instance at every period until stop is called.
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

// balancer knows which instances are ready, as the platform's load balancer does.
type balancer struct {
	instanceSet
	client *http.Client
	stop   func()

	ready map[string]bool   // guarded by mu
	far   map[string]string // addresses of links with a delay, guarded by mu
	next  int
}

func newBalancer() *balancer {
	b := &balancer{
		instanceSet: instanceSet{addrs: map[string]string{}},
		client:      &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
		ready:       map[string]bool{},
		far:         map[string]string{},
	}
	b.stop = b.repeat(balancePeriod, b.probe)
	return b
}

func (b *balancer) probe(name, addr string) {
	resp, err := b.client.Get("http://" + addr + "/readyz")
	ok := err == nil && resp.StatusCode/100 == 2
	if err == nil {
		_ = resp.Body.Close()
	}
	b.set(name, ok)
}

func (b *balancer) set(name string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[name] = ok
}

func (b *balancer) setFar(name, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.far[name] = addr
}

// farAddr returns the address of an instance for callers that are far away.
func (b *balancer) farAddr(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.far[name]
}

// pick returns the next ready instance of those named, or of all, other than
// except.
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

// sample is the status of one instance at a time.
type sample struct {
	Instance string
	Asked    int64 // Unix time in ns before the call
	Status   trserver.Status
}

// sampler records the status of all instances.
type sampler struct {
	instanceSet
	stop    func()
	samples []sample // guarded by mu
}

func newSampler() *sampler {
	s := &sampler{instanceSet: instanceSet{addrs: map[string]string{}}}
	s.stop = s.repeat(samplePeriod, func(name, addr string) {
		one := sample{Instance: name, Asked: time.Now().UnixNano()}
		if get("http://"+addr+"/v1/status", &one.Status) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.samples = append(s.samples, one)
	})
	return s
}

func (s *sampler) all() []sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.samples)
}

// Outcomes of a request besides the kinds of refusal.
const (
	outcomeWhole   = "Whole"
	outcomePartial = "Partial"
	outcomeError   = "Error" // no answer and no refusal
)

// reply is what a caller got for one request.
type reply struct {
	RequestID string
	Instance  string // that was asked
	Start     int64  // Unix time in ns
	End       int64
	Outcome   string
	Detail    string
	Result    string // of an Execute
}

// loadConfig is a stream of requests.
type loadConfig struct {
	name    string
	kind    trwire.Kind
	service string
	class   string
	workers int
	pause   time.Duration // of each worker between two requests
	timeout int64         // ms
	to      []string      // instances that are asked; empty for all ready ones
	sticky  bool          // each worker keeps one connection and leaves only when it is closed
	far     bool          // requests and answers are on their way for farDelayMs
	again   bool          // every identifier is brought to a second instance too
}

// load is a running stream.
type load struct {
	cfg    loadConfig
	bal    *balancer
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	replies []reply
}

// newLoad reads the options kind, service, class, workers, pause (ms), timeout
// (ms), to (names joined by commas), sticky, far and again (true).
func newLoad(ts *testscript.TestScript, bal *balancer, name string, options []string) *load {
	cfg := loadConfig{name: name, kind: trwire.Query, class: "c", workers: 3, pause: 20 * time.Millisecond, timeout: 5_000}
	for _, option := range options {
		key, value, _ := strings.Cut(option, "=")
		number, _ := strconv.ParseInt(value, 10, 64) // used by numeric options only
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
			ts.Fatalf("no such option of load: %q", option)
		}
	}
	return &load{cfg: cfg, bal: bal}
}

func cmdLoad(w *world, ts *testscript.TestScript, args []string) {
	l := newLoad(ts, w.bal, args[0], args[1:])
	w.loads[args[0]] = l
	l.start()
}

func cmdFinish(w *world, ts *testscript.TestScript, args []string) {
	for _, name := range args {
		w.load(ts, name).stop()
	}
}

func (w *world) load(ts *testscript.TestScript, name string) *load {
	l := w.loads[name]
	if l == nil {
		ts.Fatalf("no load %q was started", name)
	}
	return l
}

func (l *load) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for n := range l.cfg.workers {
		l.wg.Go(func() { l.work(ctx, n) })
	}
}

// stop ends the stream after the requests that run.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) all() []reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.replies)
}

func (l *load) work(ctx context.Context, worker int) {
	conn := newConnection(l.cfg.sticky)
	defer conn.client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := &trwire.Request{
			RequestID: fmt.Sprintf("%s-%d-%d", l.cfg.name, worker, n),
			Tenant:    "t", Class: l.cfg.class, Service: l.cfg.service, Kind: l.cfg.kind,
			TimeoutMs: l.cfg.timeout,
		}
		if l.cfg.kind != trwire.Query {
			req.Key = fmt.Sprintf("%s-%06d", l.cfg.service, (worker*31+n)%50)
		}
		first := l.ask(ctx, conn, req, "")
		if l.cfg.again && first != "" {
			l.ask(ctx, conn, req, first)
		}
		select {
		case <-time.After(l.cfg.pause):
		case <-ctx.Done():
		}
	}
}

// errRedial says that a sticky connection has ended and that the balancer has to
// choose again.
var errRedial = errors.New("connection has ended")

// connection is the connections of one worker.
type connection struct {
	client *trcaller.Client
	sticky bool
	target string // of a sticky connection
	addr   string
	dialed bool // guarded by the sequence of one worker's requests
}

func newConnection(sticky bool) *connection {
	c := &connection{sticky: sticky}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	c.client = &trcaller.Client{HTTP: &http.Client{Transport: &http.Transport{
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

// ask sends req to an instance other than except until one takes the connection,
// and records the reply. It returns the instance, or "" if the stream ended.
func (l *load) ask(ctx context.Context, c *connection, req *trwire.Request, except string) string {
	for ctx.Err() == nil {
		if !c.sticky || c.target == "" || c.target == except {
			name, addr, ok := l.bal.pick(l.cfg.to, except)
			if !ok {
				time.Sleep(pollPause)
				continue
			}
			if l.cfg.far {
				addr = l.bal.farAddr(name)
			}
			c.target, c.addr, c.dialed = name, addr, false
		}
		// A caller does not give up because the stream ends.
		call, cancel := context.WithTimeout(context.Background(), callerWait)
		start := time.Now()
		answer, err := c.client.Do(call, c.addr, req)
		cancel()
		if notSent(err) {
			l.bal.set(c.target, false)
			c.target = ""
			continue
		}
		l.record(c.target, req, start, answer, err)
		return c.target
	}
	return ""
}

// notSent reports whether no connection was made, so that a balancer chooses
// another instance.
func notSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, errRedial) || errors.As(err, &op) && op.Op == "dial"
}

func (l *load) record(target string, req *trwire.Request, start time.Time, answer *trwire.Answer, err error) {
	r := reply{RequestID: req.RequestID, Instance: target, Start: start.UnixNano(), End: time.Now().UnixNano()}
	var refusal *trwire.Refusal
	switch {
	case errors.As(err, &refusal):
		r.Outcome, r.Detail = string(refusal.Kind), refusal.Reason
	case err != nil:
		r.Outcome, r.Detail = outcomeError, err.Error()
	case answer.RequestID != req.RequestID:
		r.Outcome, r.Detail = outcomeError, "answer of request "+answer.RequestID
	case !answer.Coverage.Complete():
		r.Outcome, r.Detail = outcomePartial, fmt.Sprintf("%+v", answer.Coverage)
	default:
		r.Outcome, r.Result = outcomeWhole, string(answer.Result)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, r)
}
