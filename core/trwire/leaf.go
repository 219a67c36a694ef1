package trwire

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Paths of the leaf protocol. GET PathHello and GET PathLoad return a Hello and a
// Load. POST PathSearch, PathFetch and PathExecute take a SubQuery and return a
// SubReply with status 200, or a LeafError with another status. Closing the
// connection cancels the sub-query.
const (
	PathHello   = "/v1/hello"
	PathLoad    = "/v1/load"
	PathSearch  = "/v1/search"
	PathFetch   = "/v1/fetch"
	PathExecute = "/v1/execute"
)

// Hello describes a leaf. Senders request it when they open a connection.
type Hello struct {
	LeafID   string    `json:"LeafID"`
	StartID  string    `json:"StartID"` // random ID, generated at every start of the leaf
	Zone     string    `json:"Zone"`
	Service  string    `json:"Service"`
	Draining bool      `json:"Draining"`
	Holdings []Holding `json:"Holdings"`
}

// Check reports the first fault of the message.
func (h *Hello) Check() error {
	if err := firstError(
		checkName("LeafID", h.LeafID, true),
		checkName("StartID", h.StartID, true),
		checkName("Service", h.Service, true),
	); err != nil {
		return err
	}
	for _, hold := range h.Holdings {
		if hold.Version == 0 || hold.ShardCount < 1 || hold.Shard < 0 || hold.Shard >= hold.ShardCount {
			return errors.Errorf("invalid holding %+v", hold)
		}
	}
	return nil
}

// Holding is a leaf's replica of one shard of a version.
type Holding struct {
	Version    uint64 `json:"Version"`
	Shard      int    `json:"Shard"`
	ShardCount int    `json:"ShardCount"`
	Records    uint64 `json:"Records"` // records in the shard
	Loaded     bool   `json:"Loaded"`  // false while the shard is being loaded
}

// Load is a leaf's own report of its load. It may be out of date or wrong.
type Load struct {
	InFlight int     `json:"InFlight"`
	Slots    int     `json:"Slots"`
	Share    float64 `json:"Share"` // load from 0 to 1
}

// SubQuery is the part of a request that one leaf runs on one shard.
type SubQuery struct {
	RequestID  string          `json:"RequestID"`
	SubID      string          `json:"SubID"`  // unique per attempt
	Sender     string          `json:"Sender"` // ID of the sending instance
	Tenant     string          `json:"Tenant"`
	Class      string          `json:"Class"`
	Service    string          `json:"Service"`
	StartID    string          `json:"StartID"` // expected StartID; the leaf returns WrongStart if its own differs
	Kind       Kind            `json:"Kind"`
	Version    uint64          `json:"Version"`
	Shard      int             `json:"Shard"`
	ShardCount int             `json:"ShardCount"`
	Terms      string          `json:"Terms,omitempty"`
	Key        string          `json:"Key,omitempty"`
	Body       json.RawMessage `json:"Body,omitempty"`
	Limit      int             `json:"Limit,omitempty"`
	TimeoutMs  int64           `json:"TimeoutMs"` // time until the deadline when the sub-query was written
}

// Path returns the path of the leaf protocol for the kind of the sub-query.
func (q *SubQuery) Path() string {
	switch q.Kind {
	case Fetch:
		return PathFetch
	case Execute:
		return PathExecute
	}
	return PathSearch
}

// Check reports the first fault of the message.
func (q *SubQuery) Check() error {
	if err := firstError(
		checkName("SubID", q.SubID, true),
		checkName("Service", q.Service, true),
	); err != nil {
		return err
	}
	if q.Version == 0 || q.ShardCount < 1 || q.Shard < 0 || q.Shard >= q.ShardCount {
		return errors.Errorf("invalid shard %d of %d in version %d", q.Shard, q.ShardCount, q.Version)
	}
	if q.TimeoutMs <= 0 {
		return errors.Errorf("TimeoutMs %d is not positive", q.TimeoutMs)
	}
	return nil
}

// SubReply is a leaf's response to a SubQuery.
type SubReply struct {
	RequestID    string          `json:"RequestID"`
	SubID        string          `json:"SubID"`
	LeafID       string          `json:"LeafID"`
	StartID      string          `json:"StartID"`
	Service      string          `json:"Service"`
	Version      uint64          `json:"Version"`
	Shard        int             `json:"Shard"`
	ShardCount   int             `json:"ShardCount"`
	ShardRecords uint64          `json:"ShardRecords"` // records in the whole shard
	Loaded       bool            `json:"Loaded"`
	Draining     bool            `json:"Draining"`
	Records      []Record        `json:"Records"`
	Result       json.RawMessage `json:"Result,omitempty"`
}

// Check reports the first fault of the message.
func (r *SubReply) Check() error {
	if len(r.Records) > MaxRecords {
		return errors.Errorf("reply has %d records, more than %d", len(r.Records), MaxRecords)
	}
	return checkName("SubID", r.SubID, true)
}

// CheckMatch returns an error if r is not a valid reply to q.
func (r *SubReply) CheckMatch(q *SubQuery) error {
	switch {
	case r.SubID != q.SubID || r.RequestID != q.RequestID:
		return errors.Errorf("reply is for sub-query %q of request %q", r.SubID, r.RequestID)
	case r.Service != q.Service || r.Version != q.Version:
		return errors.Errorf("reply is from service %q version %d", r.Service, r.Version)
	case r.Shard != q.Shard || r.ShardCount != q.ShardCount:
		return errors.Errorf("reply is from shard %d of %d", r.Shard, r.ShardCount)
	case r.StartID != q.StartID:
		return errors.Errorf("reply has StartID %q", r.StartID)
	case !r.Loaded:
		return errors.New("reply is from a shard that is not loaded")
	case q.Kind == Query && q.Limit > 0 && len(r.Records) > q.Limit:
		return errors.Errorf("reply has %d records, limit is %d", len(r.Records), q.Limit)
	}
	return nil
}

// LeafErrorKind is the kind of a LeafError.
type LeafErrorKind string

// Kinds of leaf error. All but LeafFailed guarantee that the sub-query was not run.
const (
	LeafShed        LeafErrorKind = "Shed"
	LeafDraining    LeafErrorKind = "Draining"
	LeafVersionGone LeafErrorKind = "VersionGone"
	LeafNotLoaded   LeafErrorKind = "NotLoaded"
	LeafWrongStart  LeafErrorKind = "WrongStart"
	LeafBadRequest  LeafErrorKind = "BadRequest"
	LeafFailed      LeafErrorKind = "Failed"
)

// LeafError is a leaf's response to a sub-query that it refused or that failed.
type LeafError struct {
	SubID    string        `json:"SubID"`
	StartID  string        `json:"StartID"`
	Kind     LeafErrorKind `json:"Kind"`
	Message  string        `json:"Message"`
	Draining bool          `json:"Draining"`
}

// Check reports whether the kind is known.
func (e *LeafError) Check() error {
	switch e.Kind {
	case LeafShed, LeafDraining, LeafVersionGone, LeafNotLoaded, LeafWrongStart, LeafBadRequest, LeafFailed:
		return nil
	}
	return errors.Errorf("unknown leaf error kind %q", e.Kind)
}

// AttemptError reports why an attempt of a sub-query got no usable reply and whether
// the leaf may have run it.
type AttemptError struct {
	Kind       AttemptErrorKind
	MayHaveRun bool // false only if no byte was written or the leaf replied that it did not run it
	Err        error
}

// AttemptErrorKind classifies failed attempts for retries and metrics.
type AttemptErrorKind string

// Kinds of failed attempt.
const (
	AttemptNoTurn     AttemptErrorKind = "NoTurn"     // the leaf is cold and the sender may not use the current turn
	AttemptNoCapacity AttemptErrorKind = "NoCapacity" // limit of connections, concurrency or rate reached
	AttemptDial       AttemptErrorKind = "Dial"       // connection not established
	AttemptBroken     AttemptErrorKind = "Broken"     // connection failed after it was established
	AttemptTimeout    AttemptErrorKind = "Timeout"    // no reply before the timeout
	AttemptCanceled   AttemptErrorKind = "Canceled"   // canceled by the sender
	AttemptBadReply   AttemptErrorKind = "BadReply"   // reply malformed, too large or to another sub-query
	AttemptShed       AttemptErrorKind = "Shed"
	AttemptDraining   AttemptErrorKind = "Draining"
	AttemptVersion    AttemptErrorKind = "Version" // version no longer held or not loaded
	AttemptStart      AttemptErrorKind = "Start"   // the leaf has restarted
	AttemptFailed     AttemptErrorKind = "Failed"
)

// Error returns the kind and the cause.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
