package trserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trlimit"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trmetric"
	"tanagerrock/core/trquery"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trleaf"
	"tanagerrock/io/trpeer"
	"tanagerrock/io/trplatform"
)

// leafSender sends the engine's sub-queries through the leaf client.
type leafSender struct{ client *trleaf.Client }

func (l leafSender) Send(ctx context.Context, leaf *trroute.Leaf, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error) {
	return l.client.SendChecked(ctx, target(leaf), q, check)
}

func target(leaf *trroute.Leaf) trleaf.Target {
	return trleaf.Target{LeafID: leaf.ID, Addr: leaf.Addr, Service: leaf.Service}
}

// leaseStore gives the sender lease its view of the platform's store.
type leaseStore struct{ client *trplatform.Client }

func (l leaseStore) Get(ctx context.Context, key string) (*trwire.Entry, error) {
	return l.client.Get(ctx, key)
}

func (l leaseStore) Put(ctx context.Context, key string, r *trwire.PutRequest) (*trwire.Entry, error) {
	entry, err := l.client.Put(ctx, key, r)
	var conflict *trplatform.ConflictError
	if errors.As(err, &conflict) {
		return nil, leaseConflict{conflict}
	}
	return entry, err
}

type leaseConflict struct{ *trplatform.ConflictError }

func (c leaseConflict) Conflict() *trwire.Entry { return c.Present }

// Limits of calls for claims. Without them, every order of an outage in which the
// store hangs would wait for the store until its own deadline.
const (
	claimTimeout = time.Second // the store answers in milliseconds, or in some 100 ms when it is slow
	claimPause   = time.Second // between calls while identifiers are decided from memory
)

var errClaimPause = errors.New("store did not answer a moment ago")

// claimStore gives the claims of identifiers their view of the platform's store.
type claimStore struct {
	client *trplatform.Client
	clock  trclock.Clock
	// memory reports whether identifiers may be decided from memory, so that it
	// is better to fail at once than to wait.
	memory func() bool

	failed atomic.Int64 // time of the last failure in ns, 0 for none
}

// call limits one call and keeps a pause after a failure while identifiers can be
// decided from memory.
func (c *claimStore) call(ctx context.Context, f func(ctx context.Context) error) error {
	now := c.clock.Now()
	if failed := c.failed.Load(); failed != 0 && now.UnixNano()-failed < int64(claimPause) && c.memory() {
		return errClaimPause
	}
	ctx, cancel := trclock.WithTimeout(ctx, c.clock, claimTimeout)
	defer cancel()
	err := f(ctx)
	var unavailable *trplatform.UnavailableError
	if errors.As(err, &unavailable) {
		c.failed.Store(c.clock.Now().UnixNano())
	} else {
		c.failed.Store(0)
	}
	return err
}

func (c *claimStore) Get(ctx context.Context, key string) (entry *trwire.Entry, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		entry, err = c.client.Get(ctx, key)
		return err
	})
	if errors.Is(err, trplatform.ErrNotFound) {
		return nil, nil
	}
	return entry, err
}

func (c *claimStore) Put(ctx context.Context, key string, put *trwire.PutRequest) (entry *trwire.Entry, ok bool, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		entry, err = c.client.Put(ctx, key, put)
		return err
	})
	var conflict *trplatform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Present, false, nil
	}
	return entry, err == nil, err
}

func (c *claimStore) Grant(ctx context.Context, ttl time.Duration) (lease *trwire.Lease, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		lease, err = c.client.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// instanceListing remembers since when the platform's list has not shown an
// instance.
type instanceListing struct {
	clock trclock.Clock

	mu      sync.Mutex
	listed  map[string]struct{}
	gone    map[string]time.Time
	started time.Time // time of the first list
}

func (l *instanceListing) observe(list *trwire.InstanceList) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started.IsZero() {
		l.started = now
	}
	listed := make(map[string]struct{}, len(list.Instances))
	for i := range list.Instances {
		listed[list.Instances[i].ID] = struct{}{}
	}
	if l.gone == nil {
		l.gone = make(map[string]time.Time)
	}
	for id := range l.listed {
		if _, ok := listed[id]; !ok {
			l.gone[id] = now
		}
	}
	for id := range listed {
		delete(l.gone, id)
	}
	l.listed = listed
}

// AbsentFor returns for how long the list has not shown the instance.
func (l *instanceListing) AbsentFor(instanceID string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.listed[instanceID]; ok || l.started.IsZero() {
		return 0, false
	}
	since := l.started
	if t, ok := l.gone[instanceID]; ok {
		since = t
	}
	return l.clock.Now().Sub(since), true
}

// peerHandler serves the messages of other instances.
type peerHandler struct {
	*trmember.Group
	serve    trquery.Handler
	handover *handover
}

// Forward runs a request that another instance has forwarded.
func (h *peerHandler) Forward(ctx context.Context, m *trpeer.ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	leave, refusal := h.handover.enter(ctx, m.Request.Kind)
	if refusal != nil {
		return nil, refusal
	}
	defer leave()
	answer, err := h.serve(ctx, &trquery.Call{Request: &m.Request, Hops: m.Hops})
	if err != nil {
		return nil, trwire.AsRefusal(err)
	}
	return answer, nil
}

// budgets bound extra sub-queries. Their shares follow the configuration.
type budgets struct {
	hedges, retries, repins *sharedBudget
}

func newBudgets() *budgets {
	return &budgets{hedges: new(sharedBudget), retries: new(sharedBudget), repins: new(sharedBudget)}
}

func (b *budgets) set(p *trconfig.FleetPolicy) {
	b.hedges.set(p.HedgeShare)
	b.retries.set(p.RetryShare)
	b.repins.set(p.RetryShare)
}

// sharedBudget is a budget whose share can be replaced. It grants nothing until
// the first set.
type sharedBudget struct {
	mu     sync.RWMutex
	budget *trlimit.Budget
}

func (b *sharedBudget) set(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget == nil || b.budget.Share != share {
		b.budget = &trlimit.Budget{Share: share, Burst: budgetBurst}
	}
}

// Earn adds the share of n sub-queries.
func (b *sharedBudget) Earn(n int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.budget != nil {
		b.budget.Earn(n)
	}
}

// Spend takes one extra sub-query from the budget.
func (b *sharedBudget) Spend() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.budget != nil && b.budget.Spend()
}

// observer records the result of each request.
type observer struct {
	metrics *trmetric.Registry
	totals  *totals
	log     *logrus.Entry
}

// totals counts sub-queries over all classes.
type totals struct{ sent, needed, hedges, retries atomic.Int64 }

// Observe implements trquery.Observer.
func (o *observer) Observe(call *trquery.Call, answer *trwire.Answer, refusal *trwire.Refusal) {
	req, st := call.Request, &call.Stats
	o.totals.sent.Add(int64(st.SubQueries))
	o.totals.needed.Add(int64(st.ShardsNeeded))
	o.totals.hedges.Add(int64(st.Hedges))
	o.totals.retries.Add(int64(st.Retries))
	o.metrics.Record("Latency", req.Tenant, req.Class, st.Latency)
	o.metrics.Record("QueueTime", req.Tenant, req.Class, st.QueueTime)
	o.metrics.Add("SubQueries", req.Class, int64(st.SubQueries))
	o.metrics.Add("SubQueriesNeeded", req.Class, int64(st.ShardsNeeded))
	o.metrics.Add("Hedges", req.Class, int64(st.Hedges))
	o.metrics.Add("Retries", req.Class, int64(st.Retries))
	o.metrics.Add("Repins", req.Class, int64(st.Repins))
	fields := logrus.Fields{"RequestID": req.RequestID, "Tenant": req.Tenant, "Class": req.Class, "LatencyMs": st.Latency.Milliseconds()}
	if refusal != nil {
		o.metrics.Add("Refusals", string(refusal.Kind), 1)
		o.log.WithFields(fields).WithFields(logrus.Fields{"Refusal": refusal.Kind, "Reason": refusal.Reason}).Debug("request refused")
		return
	}
	outcome := "Whole"
	if !answer.Coverage.Complete() {
		outcome = "Partial"
	}
	o.metrics.Add("Answers", outcome, 1)
	o.metrics.Add("ShardsAnswered", req.Class, int64(answer.Coverage.Shards))
	o.metrics.Add("ShardsWanted", req.Class, int64(answer.Coverage.ShardsTotal))
	o.log.WithFields(fields).WithFields(logrus.Fields{"Version": answer.Version, "Shards": answer.Coverage.Shards}).Debug("request answered")
}
