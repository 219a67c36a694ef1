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
	// DefaultClaimsPerSecond limits the store writes of one process. Nine processes
	// make 270 writes/s; the store sustains several hundred.
	DefaultClaimsPerSecond = 30

	// claimBucket is the time during which new claims share one lease. A lease per
	// claim would double the store writes.
	claimBucket = time.Minute

	claimPrefix = "once/" // of the store keys of claims
)

// Claim is the stored value of a claim on a request ID.
type Claim struct {
	Owner    string `json:"Owner"`    // incarnation of the process that made the claim
	Instance string `json:"Instance"` // ID of the instance, for operators
	FirstMs  int64  `json:"FirstMs"`  // time of the owner's first attempt by its clock, in ms since the Unix epoch
}

// Check returns an error if the owner is missing.
func (c *Claim) Check() error {
	if c.Owner == "" {
		return errors.New("Owner is missing")
	}
	return nil
}

// Store is the part of the platform's store that StoreClaimer uses.
type Store interface {
	// Get returns the entry, or nil if it is absent.
	Get(ctx context.Context, key string) (*trwire.Entry, error)
	// Put writes the entry if its version matches. On a conflict it returns false
	// and the existing entry. After an error the write may have taken effect.
	Put(ctx context.Context, key string, put *trwire.PutRequest) (entry *trwire.Entry, ok bool, err error)
	// Grant creates a lease that is not renewed.
	Grant(ctx context.Context, ttl time.Duration) (*trwire.Lease, error)
}

// StoreClaimer keeps claims in the platform's store under "once/<request ID>".
// Claims of one time bucket share a lease, whose expiry removes them after the
// retention period. Retention and Store must be set.
type StoreClaimer struct {
	Store     Store
	Clock     trclock.Clock // nil for the system clock
	Retention func() time.Duration
	Instance  string
	PerSecond float64 // maximum claims per second, 0 for DefaultClaimsPerSecond

	once     sync.Once
	limiter  *rate.Limiter
	granting chan struct{} // semaphore with one token, taken while a lease is granted
	mu       sync.Mutex
	lease    bucketLease
}

// bucketLease is the lease of the current time bucket.
type bucketLease struct {
	id        string
	bucketEnd time.Time // no new claims are attached from then on
	expires   time.Time // the lease does not expire earlier
}

// Claim claims id for owner. If the limit of claims per second is exceeded, the
// error is a *trwire.Refusal of kind Overloaded.
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
		err = errors.New("store did not accept the claim")
	}
	return result, err
}

// SetLimit changes the maximum number of claims per second.
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

// write writes the claim. If the write fails, it reads the claim back. If no claim
// exists, it retries once with a new lease, since the store may have lost the old
// one. failedLease is the lease of the first attempt, or "" on that attempt.
func (s *StoreClaimer) write(ctx context.Context, id string, claim Claim, value []byte, failedLease string) (ClaimResult, error) {
	leaseID, err := s.bucketLeaseID(ctx, failedLease)
	if err != nil {
		return Unavailable, err
	}
	key := claimPrefix + id
	current, ok, err := s.Store.Put(ctx, key, &trwire.PutRequest{Value: value, LeaseID: leaseID})
	if err == nil && ok {
		return Granted, nil
	}
	replyLost := err != nil || failedLease != ""
	if err != nil {
		current, err = s.Store.Get(ctx, key)
	}
	if err != nil {
		return Unavailable, errors.Wrap(err, "read claim back")
	}
	if current == nil || current.Version == 0 {
		if failedLease != "" {
			return Unavailable, nil
		}
		return s.write(ctx, id, claim, value, leaseID)
	}
	var stored Claim
	switch {
	case json.Unmarshal(current.Value, &stored) != nil || stored.Owner != claim.Owner:
		return HeldByOther, nil
	case replyLost && stored == claim:
		return Granted, nil
	}
	return HeldBySelf, nil
}

// bucketLeaseID returns the lease of the current bucket. It grants a new lease if
// there is none or if the current one is failed.
func (s *StoreClaimer) bucketLeaseID(ctx context.Context, failed string) (string, error) {
	if id := s.currentLease(); id != "" && id != failed {
		return id, nil
	}
	select {
	case <-s.granting:
	case <-ctx.Done():
		return "", context.Cause(ctx)
	}
	defer func() { s.granting <- struct{}{} }()
	if id := s.currentLease(); id != "" && id != failed {
		return id, nil
	}
	// One bucket is the time in which claims are attached; the second one is a margin
	// for slow writes of the last claims.
	ttl := s.Retention() + 2*claimBucket
	start := s.Clock.Now()
	lease, err := s.Store.Grant(ctx, ttl)
	if err != nil {
		return "", errors.Wrap(err, "grant lease for claims")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = bucketLease{id: lease.ID, bucketEnd: start.Add(claimBucket), expires: start.Add(ttl)}
	return lease.ID, nil
}

// currentLease returns the lease of the current bucket, or "" if a new one must be
// granted.
func (s *StoreClaimer) currentLease() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !now.Before(s.lease.bucketEnd) || now.Add(s.Retention()).After(s.lease.expires) {
		return ""
	}
	return s.lease.id
}
