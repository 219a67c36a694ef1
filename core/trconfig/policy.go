// Package trconfig implements the fleet configuration: the document that
// operators edit, its validation, the compiled policy that the request path
// reads, and the rules by which one document replaces another.
//
// A document consists of defaults and exceptions. Compile resolves both into an
// immutable Policy, in which a lookup takes two map reads and an index and does
// not allocate. A Controller holds the current policy and adopts only documents
// with a higher revision. An Editor changes the stored document by
// compare-and-swap and recognizes its own write when the response was lost.
//
// # Usage
//
//	doc, findings := trconfig.Parse("fleet.jsonc", data)
//	for _, f := range findings {
//		fmt.Println(f) // fleet.jsonc:12:5: ...
//	}
//
//	var ctl trconfig.Controller
//	ctl.Adopt(doc)
//	limits := ctl.Current().Service("search", "zone-a")
//
// Parse reads a file written by an operator and reports every fault with its
// position. Decode reads the encoding used by the store and by peers. Both set
// fields that are not mentioned to the values of BuiltInDefaults.
package trconfig

import "encoding/json"

// Document is the configuration of the whole fleet, as written by operators and
// as stored in the platform's store.
type Document struct {
	Revision     uint64      `json:"Revision"` // incremented by every accepted change
	ChangeID     string      `json:"ChangeID"` // identifies the write that made this revision
	Tenants      []string    `json:"Tenants"`  // accepted tenants; empty accepts any
	Classes      []string    `json:"Classes"`  // accepted classes; empty accepts any
	Services     []string    `json:"Services"` // accepted services; empty accepts any
	Defaults     Defaults    `json:"Defaults"`
	Exceptions   []Exception `json:"Exceptions"`
	ZonesOut     []string    `json:"ZonesOut"`     // availability zones taken out of service
	InstancesOut []string    `json:"InstancesOut"` // IDs of instances of the tier taken out of service
	UpstreamsOut []string    `json:"UpstreamsOut"` // IDs of leafs taken out of service
	// RecentChangeIDs holds the ChangeIDs of the latest revisions, newest first.
	// A writer that did not receive the response to its write finds its change
	// here, even if later revisions have been written on top of it.
	RecentChangeIDs []string `json:"RecentChangeIDs,omitempty"`
}

// Defaults holds the policies that apply where no exception matches.
type Defaults struct {
	Fleet   FleetPolicy   `json:"Fleet"`
	Service ServicePolicy `json:"Service"`
	Class   ClassPolicy   `json:"Class"`
}

// Exception overrides some fields of the defaults within a scope.
type Exception struct {
	Scope  Scope  `json:"Scope"`
	Reason string `json:"Reason"` // required
	// Set holds the fields to override: an object with either a Service or a Class
	// member, which holds some of the fields of ServicePolicy or ClassPolicy.
	Set json.RawMessage `json:"Set"`
}

// Scope selects what an exception applies to. An empty field matches everything;
// at least one field is set. Service and Zone select service policies, Class and
// Tenant select class policies.
type Scope struct {
	Service string `json:"Service,omitempty"`
	Zone    string `json:"Zone,omitempty"`
	Class   string `json:"Class,omitempty"`
	Tenant  string `json:"Tenant,omitempty"`
}

// The range tags of the policies below are inclusive bounds. Check enforces them
// on defaults and on exceptions.

// FleetPolicy holds settings that all instances share.
type FleetPolicy struct {
	SenderIndexes      int     `json:"SenderIndexes" range:"1,4096"`              // number of sender indexes that instances can lease
	SenderRenewMs      int64   `json:"SenderRenewMs" range:"100,3600000"`         // period of the lease renewal of a sender index
	SenderLapseMs      int64   `json:"SenderLapseMs" range:"200,86400000"`        // time without renewal after which an index may be reclaimed if its instance is no longer listed
	SenderGoneMs       int64   `json:"SenderGoneMs" range:"0,86400000"`           // time for which an instance must be absent from the platform's list before its index may be reclaimed (see SenderLapseMs); 0 reclaims no index before SenderQuarantineMs
	SenderQuarantineMs int64   `json:"SenderQuarantineMs" range:"1000,604800000"` // time without renewal after which an index is free
	TurnMs             int64   `json:"TurnMs" range:"10,60000"`                   // length of the time slot in which a single sender index may use a cold leaf
	HedgeShare         float64 `json:"HedgeShare" range:"0,1"`                    // limit of hedges, as a share of the regular sub-queries
	RetryShare         float64 `json:"RetryShare" range:"0,1"`                    // limit of retries, and separately of sub-queries after a restart on another version, as a share of the regular sub-queries
	OnceRetentionMs    int64   `json:"OnceRetentionMs" range:"1000,86400000"`     // time for which a request ID is remembered
	OnceMemoryMs       int64   `json:"OnceMemoryMs" range:"1000,3600000"`         // time without a lease renewal after which the home of a request ID may run the request without a claim in the store
	ClaimsPerSecond    float64 `json:"ClaimsPerSecond" range:"1,1000000"`         // limit of request ID claims that all instances together write to the store
	MaxInFlight        int     `json:"MaxInFlight" range:"1,100000"`              // concurrent requests in one instance
	MaxQueued          int     `json:"MaxQueued" range:"0,100000"`                // requests waiting for admission in one instance
	Watchers           int     `json:"Watchers" range:"1,100"`                    // instances per availability zone that watch the store
	SlowStartMs        int64   `json:"SlowStartMs" range:"0,600000"`              // time over which the concurrency limit of a leaf that returns to service is raised
}

// ServicePolicy holds the limits of one service's leafs.
type ServicePolicy struct {
	Slots          int     `json:"Slots" range:"1,1000"`              // concurrent sub-queries of a leaf
	Connections    int     `json:"Connections" range:"1,100000"`      // connections a leaf accepts from all senders
	DialTimeoutMs  int64   `json:"DialTimeoutMs" range:"1,60000"`     // timeout of dial and hello
	IdleProbeMs    int64   `json:"IdleProbeMs" range:"1,3600000"`     // idle time after which a connection is probed before an Execute
	ColdConcurrent int     `json:"ColdConcurrent" range:"1,1000"`     // limit of concurrent sub-queries at a cold leaf, from all senders
	ColdPerSecond  float64 `json:"ColdPerSecond" range:"0.01,100000"` // limit of sub-queries per second at a cold leaf, from all senders
	ColdMs         int64   `json:"ColdMs" range:"0,3600000"`          // time after its start during which a leaf is cold
	AttemptMs      int64   `json:"AttemptMs" range:"1,60000"`         // timeout of one sub-query
}

// ClassPolicy holds the settings by which a class of requests is served.
type ClassPolicy struct {
	Worth         float64 `json:"Worth" range:"0,1000000"`   // weight of a request in load shedding and in the goodput score
	TimeoutMs     int64   `json:"TimeoutMs" range:"1,60000"` // default and maximum of the timeout that a caller sets
	AllowPartial  bool    `json:"AllowPartial"`              // whether a partial answer may be returned
	MinCoverage   float64 `json:"MinCoverage" range:"0,1"`   // minimum share of shards in a partial answer, 0 to 1
	PartialMs     int64   `json:"PartialMs" range:"0,60000"` // time after which a partial answer is returned without waiting longer; 0 waits until the deadline
	Hedge         bool    `json:"Hedge"`                     // whether sub-queries may be hedged
	HedgeQuantile float64 `json:"HedgeQuantile" range:"0,1"` // latency quantile after which a hedge is sent, 0 to 1
	MaxAttempts   int     `json:"MaxAttempts" range:"1,16"`  // sub-queries per shard, hedges included
}

// BuiltInDefaults returns the values of the fields that a document does not
// mention.
func BuiltInDefaults() Defaults {
	return Defaults{
		Fleet: FleetPolicy{
			SenderIndexes:      12,
			SenderRenewMs:      10_000,
			SenderLapseMs:      30_000,
			SenderGoneMs:       30_000,
			SenderQuarantineMs: 7_200_000,
			TurnMs:             2_000,
			HedgeShare:         0.05,
			RetryShare:         0.10,
			OnceRetentionMs:    600_000,
			OnceMemoryMs:       30_000,
			ClaimsPerSecond:    240,
			MaxInFlight:        256,
			MaxQueued:          256,
			Watchers:           2,
			SlowStartMs:        10_000,
		},
		Service: ServicePolicy{
			Slots:          2,
			Connections:    25,
			DialTimeoutMs:  250,
			IdleProbeMs:    5_000,
			ColdConcurrent: 1,
			ColdPerSecond:  50,
			ColdMs:         5_000,
			AttemptMs:      1_000,
		},
		Class: ClassPolicy{
			Worth:         1,
			TimeoutMs:     2_000,
			Hedge:         true,
			HedgeQuantile: 0.95,
			MaxAttempts:   6,
		},
	}
}
