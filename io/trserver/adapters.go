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

// leafSender adapts the leaf client to the query engine.
type leafSender struct{ client *trleaf.Client }

func (l leafSender) Send(ctx context.Context, leaf *trroute.Leaf, q *trwire.SubQuery, check func() *trwire.AttemptError) (*trwire.SubReply, error) {
	return l.client.SendChecked(ctx, target(leaf), q, check)
}

func target(leaf *trroute.Leaf) trleaf.Target {
	return trleaf.Target{LeafID: leaf.ID, Addr: leaf.Addr, Service: leaf.Service}
}

// leaseStore adapts the platform client to trmember.Store.
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

// leaseConflict adds the method by which trmember.ConflictOf recognizes a conflict.
type leaseConflict struct{ *trplatform.ConflictError }

func (c leaseConflict) Conflict() *trwire.Entry { return c.Present }

// Limits of the store calls for claims. Without them, every execute request would wait
// until its own deadline while the store hangs.
const (
	claimTimeout = time.Second // the store answers in milliseconds, or in about 100 ms when it is slow
	claimBackoff = time.Second // after a failed call, while requests may run unclaimed
)

var errClaimBackoff = errors.New("claim store is backing off after a failed call")

// claimStore adapts the platform client to tronce.Store.
type claimStore struct {
	client *trplatform.Client
	clock  trclock.Clock
	// mayRunUnclaimed reports whether requests may run without a claim in the store.
	// It is then better to fail at once than to wait for the store.
	mayRunUnclaimed func() bool

	failed atomic.Int64 // Unix time of the last failure in ns, 0 if the last call succeeded
}

// call runs f with claimTimeout. While requests may run unclaimed, it fails at once
// for claimBackoff after a failure.
func (c *claimStore) call(ctx context.Context, f func(ctx context.Context) error) error {
	now := c.clock.Now()
	if failed := c.failed.Load(); failed != 0 && now.UnixNano()-failed < int64(claimBackoff) && c.mayRunUnclaimed() {
		return errClaimBackoff
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

// absenceTracker records since when each instance has been missing from the platform's
// list. It implements trmember.InstanceList.
type absenceTracker struct {
	clock trclock.Clock

	mu            sync.Mutex
	listed        map[string]struct{}
	absentSince   map[string]time.Time
	firstObserved time.Time // when the first list was read
}

func (a *absenceTracker) observe(list *trwire.InstanceList) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstObserved.IsZero() {
		a.firstObserved = now
	}
	listed := make(map[string]struct{}, len(list.Instances))
	for i := range list.Instances {
		listed[list.Instances[i].ID] = struct{}{}
	}
	if a.absentSince == nil {
		a.absentSince = make(map[string]time.Time)
	}
	for id := range a.listed {
		if _, ok := listed[id]; !ok {
			a.absentSince[id] = now
		}
	}
	for id := range listed {
		delete(a.absentSince, id)
	}
	a.listed = listed
}

// AbsentFor returns for how long the instance has been missing from the list, and false
// if it is listed or no list was read.
func (a *absenceTracker) AbsentFor(instanceID string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.listed[instanceID]; ok || a.firstObserved.IsZero() {
		return 0, false
	}
	since := a.firstObserved
	if t, ok := a.absentSince[instanceID]; ok {
		since = t
	}
	return a.clock.Now().Sub(since), true
}

// peerHandler handles the messages of other instances.
type peerHandler struct {
	*trmember.Group
	serve    trquery.Handler
	handover *handover
}

// Forward runs a request that another instance forwarded.
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

// budgets limit extra sub-queries to the shares set in the configuration.
type budgets struct {
	hedges, retries, repins *adjustableBudget // repins: restarts of a query on another version
}

func newBudgets() *budgets {
	return &budgets{hedges: new(adjustableBudget), retries: new(adjustableBudget), repins: new(adjustableBudget)}
}

func (b *budgets) set(p *trconfig.FleetPolicy) {
	b.hedges.set(p.HedgeShare)
	b.retries.set(p.RetryShare)
	b.repins.set(p.RetryShare)
}

// adjustableBudget is a trlimit.Budget whose share can be changed. It grants nothing
// before the first call of set.
type adjustableBudget struct {
	mu     sync.RWMutex
	budget *trlimit.Budget
}

func (b *adjustableBudget) set(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget == nil || b.budget.Share != share {
		b.budget = &trlimit.Budget{Share: share, Burst: budgetBurst}
	}
}

// Earn adds the share of n sub-queries to the budget.
func (b *adjustableBudget) Earn(n int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.budget != nil {
		b.budget.Earn(n)
	}
}

// Spend takes one extra sub-query from the budget and reports whether there was one.
func (b *adjustableBudget) Spend() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.budget != nil && b.budget.Spend()
}

// observer records the metrics and the log entry of each request.
type observer struct {
	metrics *trmetric.Registry
	totals  *totals
	log     *logrus.Entry
}

// totals counts the sub-queries of all classes.
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
