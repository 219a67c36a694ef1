package tronce

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

const (
	// DefaultClaimsPerSecond bounds the store writes of one process. Nine
	// processes make 270 writes/s, below the several hundred that the store takes.
	DefaultClaimsPerSecond = 30

	// claimBucket is the time during which claims share a lease. A lease per claim
	// would double the writes.
	claimBucket = time.Minute

	claimPrefix = "once/"
)

// Claim is the value of a claim in the store.
type Claim struct {
	Owner    string `json:"Owner"`    // incarnation of the process
	Instance string `json:"Instance"` // ID of the instance, for operators
	FirstMs  int64  `json:"FirstMs"`  // the owner's clock when it first tried, in ms since the Unix epoch
}

// Check reports whether the owner is missing.
func (c *Claim) Check() error {
	if c.Owner == "" {
		return errors.New("Owner is missing")
	}
	return nil
}

// Store is the part of the platform's store that claims need.
type Store interface {
	// Get returns the entry, or nil if it is absent.
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	// Put writes the entry if its version matches. On a conflict it returns false
	// and the entry as it is. An error means that the write may have taken effect.
	Put(ctx context.Context, key string, put *trwire.PutRequest) (entry *trwire.Entry, ok bool, err error)
	// Grant makes a lease that is not renewed.
	Grant(ctx context.Context, ttl time.Duration) (*trwire.Lease, error)
}

// StoreClaimer keeps claims in the platform's store under "once/<id>". Claims of
// a time bucket share one lease, which removes them after the retention.
// Retention and Store must be set.
type StoreClaimer struct {
	Store     Store
	Clock     trclock.Clock // nil for the system clock
	Retention func() time.Duration
	Instance  string
	PerSecond float64 // most claims per second, 0 for DefaultClaimsPerSecond

	once     sync.Once
	limiter  *rate.Limiter
	granting chan struct{} // holds a token while no call grants a lease
	mu       sync.Mutex
	lease    bucketLease
}

// bucketLease is the lease of the present bucket.
type bucketLease struct {
	id    string
	until time.Time // no claims are attached from then on
	lapse time.Time // the lease does not lapse before
}

// Claim creates the claim of id for owner. Beyond the limit of claims per second
// the error is a refusal Overloaded.
func (s *StoreClaimer) Claim(ctx context.Context, id, owner string) (ClaimResult, error) {
	s.once.Do(s.init)
	now := s.Clock.Now()
	if !s.limiter.AllowN(now, 1) {
		refusal := trwire.Refuse(trwire.Overloaded, "more than %.1f claims per second", float64(s.limiter.Limit()))
		refusal.RetryAfterMs = time.Second.Milliseconds()
		return Unavailable, refusal
	}
	claim := Claim{Owner: owner, Instance: s.Instance, FirstMs: now.UnixMilli()}
	value, err := json.Marshal(&claim)
	if err != nil {
		return Unavailable, errors.Wrap(err, "encode claim")
	}
	result, err := s.write(ctx, id, claim, value, "")
	if result == Unavailable && err == nil {
		err = errors.New("store accepts no claim")
	}
	return result, err
}

// SetLimit changes the number of claims per second.
func (s *StoreClaimer) SetLimit(perSecond float64) {
	s.once.Do(s.init)
	now := s.Clock.Now()
	s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	s.limiter.SetBurstAt(now, max(1, int(perSecond)))
}

func (s *StoreClaimer) init() {
	if s.Clock == nil {
		s.Clock = trclock.System()
	}
	if s.PerSecond <= 0 {
		s.PerSecond = DefaultClaimsPerSecond
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.PerSecond), max(1, int(s.PerSecond)))
	s.granting = make(chan struct{}, 1)
	s.granting <- struct{}{}
}

// write writes the claim. If the answer is lost, it reads the claim back. If no
// claim exists then, it tries once more with another lease than failedLease,
// since the store may have lost that one.
func (s *StoreClaimer) write(ctx context.Context, id string, claim Claim, value []byte, failedLease string) (ClaimResult, error) {
	leaseID, err := s.leaseNow(ctx, failedLease)
	if err != nil {
		return Unavailable, err
	}
	key := claimPrefix + id
	present, ok, err := s.Store.Put(ctx, key, &trwire.PutRequest{Value: value, LeaseID: leaseID})
	if err == nil && ok {
		return Granted, nil
	}
	lost := err != nil || failedLease != ""
	if err != nil {
		present, err = s.Store.Get(ctx, key)
	}
	if err != nil {
		return Unavailable, errors.Wrap(err, "read claim back")
	}
	if present == nil || present.Version == 0 {
		if failedLease != "" {
			return Unavailable, nil
		}
		return s.write(ctx, id, claim, value, leaseID)
	}
	var held Claim
	switch {
	case json.Unmarshal(present.Value, &held) != nil || held.Owner != claim.Owner:
		return HeldByOther, nil
	case lost && held == claim:
		return Granted, nil
	}
	return HeldBySelf, nil
}

// leaseNow returns the lease of the present bucket and grants it if needed or if
// the present one is failed.
func (s *StoreClaimer) leaseNow(ctx context.Context, failed string) (string, error) {
	if id := s.presentLease(); id != "" && id != failed {
		return id, nil
	}
	select {
	case <-s.granting:
	case <-ctx.Done():
		return "", context.Cause(ctx)
	}
	defer func() { s.granting <- struct{}{} }()
	if id := s.presentLease(); id != "" && id != failed {
		return id, nil
	}
	// The second bucket is a margin for slow writes of the last claims.
	ttl := s.Retention() + 2*claimBucket
	began := s.Clock.Now()
	lease, err := s.Store.Grant(ctx, ttl)
	if err != nil {
		return "", errors.Wrap(err, "grant lease for claims")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = bucketLease{id: lease.ID, until: began.Add(claimBucket), lapse: began.Add(ttl)}
	return lease.ID, nil
}

// presentLease returns the lease of the present bucket, or "".
func (s *StoreClaimer) presentLease() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !now.Before(s.lease.until) || now.Add(s.Retention()).After(s.lease.lapse) {
		return ""
	}
	return s.lease.id
}
