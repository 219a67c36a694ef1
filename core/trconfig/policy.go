// Package trconfig holds the configuration of the fleet: the document that
// operators edit, the checks on it, the effective policy that the request path
// reads, and the rules by which a document replaces another.
//
// A document consists of defaults and exceptions. Compile resolves both into an
// immutable Policy, in which a lookup is two map reads and an index and
// allocates nothing. A Controller holds the policy in force and adopts only
// documents of a higher revision. An Editor changes the stored document by
// compare-and-swap and recognises its own write when the answer was lost.
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
// Parse reads what operators write and reports every fault with its place.
// Decode reads what the store or a peer sends. Both fill fields that are not
// mentioned from BuiltIn.
package trconfig

import "encoding/json"

// Document is the configuration of the whole fleet as operators write it and as
// the platform's store holds it.
type Document struct {
	Revision     uint64      `json:"Revision"` // grows by one with every accepted change
	ChangeID     string      `json:"ChangeID"` // identifies the write that made this revision
	Tenants      []string    `json:"Tenants"`  // known tenants; empty accepts any
	Classes      []string    `json:"Classes"`  // known classes; empty accepts any
	Services     []string    `json:"Services"` // known services; empty accepts any
	Defaults     Defaults    `json:"Defaults"`
	Exceptions   []Exception `json:"Exceptions"`
	ZonesOut     []string    `json:"ZonesOut"`     // availability zones taken out
	InstancesOut []string    `json:"InstancesOut"` // IDs of instances of the tier taken out
	UpstreamsOut []string    `json:"UpstreamsOut"` // IDs of leafs taken out
	// RecentChangeIDs holds the ChangeIDs of the latest revisions, newest first.
	// A writer that lost the answer finds its change here even if later
	// revisions build on it.
	RecentChangeIDs []string `json:"RecentChangeIDs,omitempty"`
}

// Defaults holds the policy that applies where no exception matches.
type Defaults struct {
	Fleet   FleetPolicy   `json:"Fleet"`
	Service ServicePolicy `json:"Service"`
	Class   ClassPolicy   `json:"Class"`
}

// Exception changes some fields of the defaults for a scope.
type Exception struct {
	Scope  Scope  `json:"Scope"`
	Reason string `json:"Reason"` // required
	// Set holds the fields to change: an object with a Service or a Class member,
	// each with some of the fields of ServicePolicy or ClassPolicy.
	Set json.RawMessage `json:"Set"`
}

// Scope selects what an exception applies to. Empty members match everything;
// at least one member is set. Service and Zone select service policies, Class
// and Tenant select class policies.
type Scope struct {
	Service string `json:"Service,omitempty"`
	Zone    string `json:"Zone,omitempty"`
	Class   string `json:"Class,omitempty"`
	Tenant  string `json:"Tenant,omitempty"`
}

// The range tags of the policies below are the inclusive bounds that Check
// enforces on defaults and exceptions alike.

// FleetPolicy holds settings that all instances share.
type FleetPolicy struct {
	SenderIndexes      int     `json:"SenderIndexes" range:"1,4096"`              // number of sender indexes
	SenderRenewMs      int64   `json:"SenderRenewMs" range:"100,3600000"`         // period of lease renewal
	SenderLapseMs      int64   `json:"SenderLapseMs" range:"200,86400000"`        // without renewal for this long, the index may be reclaimed if the list shows the instance gone
	SenderGoneMs       int64   `json:"SenderGoneMs" range:"0,86400000"`           // time the list must not have shown the instance
	SenderQuarantineMs int64   `json:"SenderQuarantineMs" range:"1000,604800000"` // without renewal for this long, the index is free
	TurnMs             int64   `json:"TurnMs" range:"10,60000"`                   // length of a turn at cold leafs
	HedgeShare         float64 `json:"HedgeShare" range:"0,1"`                    // hedged sub-queries per sub-query
	RetryShare         float64 `json:"RetryShare" range:"0,1"`                    // retried sub-queries per sub-query
	OnceRetentionMs    int64   `json:"OnceRetentionMs" range:"1000,86400000"`     // time a request identifier is remembered
	OnceMemoryMs       int64   `json:"OnceMemoryMs" range:"1000,3600000"`         // time since the last lease renewal after which a home runs requests without the store
	ClaimsPerSecond    float64 `json:"ClaimsPerSecond" range:"1,1000000"`         // claims of identifiers that all instances together write to the store
	MaxInFlight        int     `json:"MaxInFlight" range:"1,100000"`              // requests run at once by one instance
	MaxQueued          int     `json:"MaxQueued" range:"0,100000"`                // requests waiting for admission in one instance
	Watchers           int     `json:"Watchers" range:"1,100"`                    // instances per zone that watch the store
	SlowStartMs        int64   `json:"SlowStartMs" range:"0,600000"`              // ramp of a leaf that comes back into use
}

// ServicePolicy holds the limits of one service's leafs.
type ServicePolicy struct {
	Slots          int     `json:"Slots" range:"1,1000"`              // sub-queries a leaf runs at once
	Connections    int     `json:"Connections" range:"1,100000"`      // connections a leaf accepts from all senders
	DialTimeoutMs  int64   `json:"DialTimeoutMs" range:"1,60000"`     // limit for dial and hello
	IdleProbeMs    int64   `json:"IdleProbeMs" range:"1,3600000"`     // idle time after which a connection is probed before an Execute
	ColdConcurrent int     `json:"ColdConcurrent" range:"1,1000"`     // sub-queries a cold leaf can bear at once, from all senders
	ColdPerSecond  float64 `json:"ColdPerSecond" range:"0.01,100000"` // sub-queries a cold leaf can bear per second, from all senders
	ColdMs         int64   `json:"ColdMs" range:"0,3600000"`          // time after its start during which a leaf is cold
	AttemptMs      int64   `json:"AttemptMs" range:"1,60000"`         // timeout of one sub-query
}

// ClassPolicy holds how a class of requests is served.
type ClassPolicy struct {
	Worth         float64 `json:"Worth" range:"0,1000000"`   // weight when load is shed and service is scored
	TimeoutMs     int64   `json:"TimeoutMs" range:"1,60000"` // deadline if the caller sets none, and the longest accepted
	AllowPartial  bool    `json:"AllowPartial"`              // whether a partial answer may be given
	MinCoverage   float64 `json:"MinCoverage" range:"0,1"`   // least share of shards of a partial answer, 0 to 1
	PartialMs     int64   `json:"PartialMs" range:"0,60000"` // time after which a partial answer is given instead of waiting on; 0 waits until the deadline
	Hedge         bool    `json:"Hedge"`                     // whether sub-queries may be hedged
	HedgeQuantile float64 `json:"HedgeQuantile" range:"0,1"` // latency quantile after which a hedge is sent, 0 to 1
	MaxAttempts   int     `json:"MaxAttempts" range:"1,16"`  // sub-queries per shard, hedges included
}

// BuiltInDefaults returns the defaults that apply to fields an operator's document does
// not mention.
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
