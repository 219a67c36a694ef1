package trwire

import "github.com/pkg/errors"

// Paths and headers of the platform's HTTP/JSON protocol.
//
//	GET    /v1/kv/{key}                  Entry, or 404 KVError
//	PUT    /v1/kv/{key}                  PutRequest -> Entry, or 409 KVError with the current entry
//	DELETE /v1/kv/{key}?PrevVersion=N    204, or 409
//	GET    /v1/kv?Prefix=P               EntryList
//	GET    /v1/watch/{key}?After=N&WaitMs=M  Entry once its version is above N, or 304 after M ms
//	POST   /v1/leases                    LeaseRequest -> Lease
//	PUT    /v1/leases/{id}               renews -> Lease, or 404 if expired
//	DELETE /v1/leases/{id}               204; deletes the keys attached to it
//	GET    /v1/instances?After=R&WaitMs=M    InstanceList newer than R, or 304 after M ms
//
// Every response has the header StoreTimeMs: the time of the store's clock in
// milliseconds since the Unix epoch.
const (
	PathKV        = "/v1/kv"
	PathWatch     = "/v1/watch"
	PathLeases    = "/v1/leases"
	PathInstances = "/v1/instances"

	HeaderStoreTimeMs = "StoreTimeMs"
)

// Entry is a key in the platform's store with its value and version.
type Entry struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Version uint64 `json:"Version"` // incremented by every write of the key, 0 if absent
	LeaseID string `json:"LeaseID,omitempty"`
}

// Check reports the first fault of the entry.
func (e *Entry) Check() error {
	if len(e.Value) > MaxValueBytes {
		return errors.Errorf("value of key %q has %d bytes, more than %d", e.Key, len(e.Value), MaxValueBytes)
	}
	return nil
}

// EntryList is the result of a listing by prefix, ordered by key.
type EntryList struct {
	Entries []Entry `json:"Entries"`
}

// Check reports the first fault of the list.
func (l *EntryList) Check() error {
	for i := range l.Entries {
		if err := l.Entries[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// PutRequest writes a key if its current version is PrevVersion, where 0 means that
// the key is absent.
type PutRequest struct {
	Value       []byte `json:"Value"`
	PrevVersion uint64 `json:"PrevVersion"`
	LeaseID     string `json:"LeaseID,omitempty"`
}

// Check reports the first fault of the request.
func (p *PutRequest) Check() error {
	if len(p.Value) > MaxValueBytes {
		return errors.Errorf("value has %d bytes, more than %d", len(p.Value), MaxValueBytes)
	}
	return nil
}

// KVError is the body of the response to a failed call on the store.
type KVError struct {
	Message string `json:"Message"`
	Present *Entry `json:"Present,omitempty"` // current entry, on a conflict
}

// Check returns nil: every KVError is valid.
func (e *KVError) Check() error { return nil }

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"TTLMs"`
}

// Check reports the first fault of the request.
func (l *LeaseRequest) Check() error {
	if l.TTLMs <= 0 {
		return errors.Errorf("TTLMs %d is not positive", l.TTLMs)
	}
	return nil
}

// Lease is a granted lease. Keys attached to it are deleted when it expires.
type Lease struct {
	ID    string `json:"ID"`
	TTLMs int64  `json:"TTLMs"`
}

// Check reports the first fault of the lease.
func (l *Lease) Check() error { return checkName("ID", l.ID, true) }

// Role is the role of an instance in the platform's list.
type Role string

// Roles of instances.
const (
	RoleEntry Role = "Entry" // an instance of the tier
	RoleLeaf  Role = "Leaf"  // an upstream
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of instances. The list does not contain instances that are gone.
const (
	StateLive    InstanceState = "Live"
	StateLeaving InstanceState = "Leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID       string        `json:"ID"`
	Role     Role          `json:"Role"`
	Service  string        `json:"Service,omitempty"` // leafs only
	Zone     string        `json:"Zone"`
	Addr     string        `json:"Addr"`               // address for callers, or of a leaf for senders
	PeerAddr string        `json:"PeerAddr,omitempty"` // address for other instances of the tier; empty for leafs
	State    InstanceState `json:"State"`
}

// Check reports the first fault of the instance.
func (i *Instance) Check() error {
	if err := firstError(
		checkName("ID", i.ID, true),
		checkName("Zone", i.Zone, true),
		checkName("Addr", i.Addr, true),
	); err != nil {
		return err
	}
	if i.State != StateLive && i.State != StateLeaving {
		return errors.Errorf("instance %q has unknown state %q", i.ID, i.State)
	}
	if i.Role != RoleEntry && i.Role != RoleLeaf {
		return errors.Errorf("instance %q has unknown role %q", i.ID, i.Role)
	}
	return nil
}

// InstanceList is the platform's list of instances. It may be out of date.
type InstanceList struct {
	Revision  uint64     `json:"Revision"`
	Instances []Instance `json:"Instances"`
}

// Check reports the first fault of the list.
func (l *InstanceList) Check() error {
	for i := range l.Instances {
		if err := l.Instances[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
