package trwire

import (
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Kind is the kind of a request.
type Kind string

// Kinds of request.
const (
	Query   Kind = "Query"   // search over all shards of a service
	Fetch   Kind = "Fetch"   // read one record by key
	Execute Kind = "Execute" // run an operation that is not idempotent
)

// Request is what a caller asks of the tier.
type Request struct {
	RequestID  string          `json:"RequestID"`
	Tenant     string          `json:"Tenant"`
	Class      string          `json:"Class"`
	Service    string          `json:"Service"`
	Kind       Kind            `json:"Kind"`
	Terms      string          `json:"Terms,omitempty"`      // Query: search text
	Key        string          `json:"Key,omitempty"`        // Fetch and Execute: record key
	Body       json.RawMessage `json:"Body,omitempty"`       // Execute: operation for the leaf
	Limit      int             `json:"Limit,omitempty"`      // Query: maximum number of records
	MinVersion uint64          `json:"MinVersion,omitempty"` // lowest acceptable snapshot version, 0 for any
	TimeoutMs  int64           `json:"TimeoutMs,omitempty"`  // time until the deadline, 0 for the default of the class
}

// Check reports the first fault of the request.
func (r *Request) Check() error {
	if err := firstError(
		checkName("RequestID", r.RequestID, r.Kind == Execute),
		checkName("Tenant", r.Tenant, true),
		checkName("Class", r.Class, true),
		checkName("Service", r.Service, true),
	); err != nil {
		return err
	}
	if r.TimeoutMs < 0 || r.TimeoutMs > MaxTimeoutMs {
		return errors.Errorf("TimeoutMs %d is not within 0 and %d", r.TimeoutMs, MaxTimeoutMs)
	}
	if r.Limit < 0 || r.Limit > MaxRecords {
		return errors.Errorf("Limit %d is not within 0 and %d", r.Limit, MaxRecords)
	}
	switch r.Kind {
	case Query:
		return nil
	case Fetch, Execute:
		return checkName("Key", r.Key, true)
	}
	return errors.Errorf("Kind %q is not Query, Fetch or Execute", r.Kind)
}

// Record is one record of an answer.
type Record struct {
	Key   string          `json:"Key"`
	Score float64         `json:"Score"`
	Value json.RawMessage `json:"Value,omitempty"`
}

// CompareRecords orders records by descending score, then by ascending key. It is a
// total order for distinct keys, so every instance returns the same order.
func CompareRecords(a, b Record) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// Answer is the response to a request that was served.
type Answer struct {
	RequestID string          `json:"RequestID"`
	Service   string          `json:"Service"`
	Version   uint64          `json:"Version"`          // version of the snapshot that all records come from
	Records   []Record        `json:"Records"`          // Query and Fetch
	Result    json.RawMessage `json:"Result,omitempty"` // Execute: the leaf's result
	Coverage  Coverage        `json:"Coverage"`
	Instance  string          `json:"Instance"` // ID of the instance that merged the answer
}

// Check reports the first fault of the answer.
func (a *Answer) Check() error {
	if a.Coverage.Shards < 0 || a.Coverage.Shards > a.Coverage.ShardsTotal {
		return errors.Errorf("invalid coverage of %d of %d shards", a.Coverage.Shards, a.Coverage.ShardsTotal)
	}
	return nil
}

// Coverage describes which part of a snapshot an answer covers.
type Coverage struct {
	Shards       int            `json:"Shards"`
	ShardsTotal  int            `json:"ShardsTotal"`
	Records      uint64         `json:"Records"`      // records in the shards that answered
	RecordsTotal uint64         `json:"RecordsTotal"` // records in the snapshot, as far as known
	Missing      []MissingShard `json:"Missing,omitempty"`
}

// Complete reports whether every shard answered.
func (c Coverage) Complete() bool { return c.Shards == c.ShardsTotal }

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard  int        `json:"Shard"`
	Reason MissReason `json:"Reason"`
}

// MissReason is the reason why a shard is missing.
type MissReason string

// Reasons for a missing shard.
const (
	MissNoReplica MissReason = "NoReplica" // no usable replica is known
	MissTimeout   MissReason = "Timeout"   // no reply before the deadline
	MissFailed    MissReason = "Failed"    // every attempt failed
	MissOverload  MissReason = "Overload"  // replicas shed the sub-query or the retry budget is exhausted
)

// RefusalKind is the kind of a refusal.
type RefusalKind string

// Kinds of refusal. NotRun, Overloaded and BadRequest guarantee that no part of the
// request was run. The others guarantee nothing; DeadlineExceeded and Incomplete
// are returned only for idempotent requests, which may be sent again.
const (
	NotRun           RefusalKind = "NotRun"
	OutcomeUnknown   RefusalKind = "OutcomeUnknown"
	Overloaded       RefusalKind = "Overloaded"
	BadRequest       RefusalKind = "BadRequest"
	DeadlineExceeded RefusalKind = "DeadlineExceeded"
	Incomplete       RefusalKind = "Incomplete" // shards are missing and the class allows no such partial answer
)

// Refusal is the response to a request that was not served. It is an error.
type Refusal struct {
	RequestID    string      `json:"RequestID"`
	Kind         RefusalKind `json:"Kind"`
	Reason       string      `json:"Reason"`
	RetryAfterMs int64       `json:"RetryAfterMs,omitempty"`
}

// Refuse returns a refusal of the given kind.
func Refuse(kind RefusalKind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the reason.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Reason }

// Check reports whether the kind is known.
func (r *Refusal) Check() error {
	switch r.Kind {
	case NotRun, OutcomeUnknown, Overloaded, BadRequest, DeadlineExceeded, Incomplete:
		return nil
	}
	return errors.Errorf("unknown refusal kind %q", r.Kind)
}

// AsRefusal returns the *Refusal in the chain of err. Any other error becomes an
// OutcomeUnknown, the kind that guarantees nothing for any request.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(OutcomeUnknown, "%v", err)
}
