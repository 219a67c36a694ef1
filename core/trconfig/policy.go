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

// FleetPolicy holds settings that all instances share.
type FleetPolicy struct {
	SenderIndexes      int     `json:"SenderIndexes"`      // number of sender indexes
	SenderRenewMs      int64   `json:"SenderRenewMs"`      // period of lease renewal
	SenderLapseMs      int64   `json:"SenderLapseMs"`      // without renewal for this long, the index may be reclaimed if the list shows the instance gone
	SenderGoneMs       int64   `json:"SenderGoneMs"`       // time the list must not have shown the instance
	SenderQuarantineMs int64   `json:"SenderQuarantineMs"` // without renewal for this long, the index is free
	TurnMs             int64   `json:"TurnMs"`             // length of a turn at cold leafs
	HedgeShare         float64 `json:"HedgeShare"`         // hedged sub-queries per sub-query
	RetryShare         float64 `json:"RetryShare"`         // retried sub-queries per sub-query
	OnceRetentionMs    int64   `json:"OnceRetentionMs"`    // time a request identifier is remembered
	MaxInFlight        int     `json:"MaxInFlight"`        // requests run at once by one instance
	MaxQueued          int     `json:"MaxQueued"`          // requests waiting for admission in one instance
	Watchers           int     `json:"Watchers"`           // instances per zone that watch the store
	SlowStartMs        int64   `json:"SlowStartMs"`        // ramp of a leaf that comes back into use
}

// ServicePolicy holds the limits of one service's leafs.
type ServicePolicy struct {
	Slots          int     `json:"Slots"`          // sub-queries a leaf runs at once
	Connections    int     `json:"Connections"`    // connections a leaf accepts from all senders
	DialTimeoutMs  int64   `json:"DialTimeoutMs"`  // limit for dial and hello
	IdleProbeMs    int64   `json:"IdleProbeMs"`    // idle time after which a connection is probed before an Execute
	ColdConcurrent int     `json:"ColdConcurrent"` // sub-queries a cold leaf can bear at once, from all senders
	ColdPerSecond  float64 `json:"ColdPerSecond"`  // sub-queries a cold leaf can bear per second, from all senders
	ColdMs         int64   `json:"ColdMs"`         // time after its start during which a leaf is cold
	AttemptMs      int64   `json:"AttemptMs"`      // timeout of one sub-query
}

// ClassPolicy holds how a class of requests is served.
type ClassPolicy struct {
	Worth         float64 `json:"Worth"`         // weight when load is shed and service is scored
	TimeoutMs     int64   `json:"TimeoutMs"`     // deadline if the caller sets none, and the longest accepted
	AllowPartial  bool    `json:"AllowPartial"`  // whether a partial answer may be given
	MinCoverage   float64 `json:"MinCoverage"`   // least share of shards of a partial answer, 0 to 1
	PartialMs     int64   `json:"PartialMs"`     // time after which a partial answer is given instead of waiting on; 0 waits until the deadline
	Hedge         bool    `json:"Hedge"`         // whether sub-queries may be hedged
	HedgeQuantile float64 `json:"HedgeQuantile"` // latency quantile after which a hedge is sent, 0 to 1
	MaxAttempts   int     `json:"MaxAttempts"`   // sub-queries per shard, hedges included
}

// BuiltIn returns the defaults that apply to fields an operator's document does
// not mention.
func BuiltIn() Defaults {
	return Defaults{
		Fleet: FleetPolicy{
			SenderIndexes:      12,
			SenderRenewMs:      10_000,
			SenderLapseMs:      60_000,
			SenderGoneMs:       120_000,
			SenderQuarantineMs: 7_200_000,
			TurnMs:             500,
			HedgeShare:         0.05,
			RetryShare:         0.10,
			OnceRetentionMs:    600_000,
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
			MaxAttempts:   3,
		},
	}
}
