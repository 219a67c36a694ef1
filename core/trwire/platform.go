package trwire

import "github.com/pkg/errors"

// The platform's HTTP/JSON protocol.
//
//	GET    /v1/kv/{key}                  Entry, or 404 KVError
//	PUT    /v1/kv/{key}                  PutRequest -> Entry, or 409 KVError with the present entry
//	DELETE /v1/kv/{key}?PrevVersion=N    204, or 409
//	GET    /v1/kv?Prefix=P               EntryList
//	GET    /v1/watch/{key}?After=N&WaitMs=M  Entry once its version is above N, or 304 after M
//	POST   /v1/leases                    LeaseRequest -> Lease
//	PUT    /v1/leases/{id}               renew -> Lease, or 404 if lapsed
//	DELETE /v1/leases/{id}               204; deletes the keys attached to it
//	GET    /v1/instances?After=R&WaitMs=M    InstanceList newer than R, or 304 after M
//
// Every reply has the header StoreTimeMs: the store's clock in milliseconds
// since the Unix epoch.
const (
	PathKV        = "/v1/kv"
	PathWatch     = "/v1/watch"
	PathLeases    = "/v1/leases"
	PathInstances = "/v1/instances"

	HeaderStoreTimeMs = "StoreTimeMs"
)

// Entry is a key of the platform's store with its value.
type Entry struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Version uint64 `json:"Version"` // grows by one with every write of the key, 0 if absent
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

// PutRequest writes a key if its version equals PrevVersion; 0 means absent.
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

// KVError is the body of a failed call on the store.
type KVError struct {
	Message string `json:"Message"`
	Present *Entry `json:"Present,omitempty"` // on a conflict: the entry as it is
}

// Check accepts every message.
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

// Lease is a granted lease. Keys attached to it are deleted when it lapses.
type Lease struct {
	ID    string `json:"ID"`
	TTLMs int64  `json:"TTLMs"`
}

// Check reports the first fault of the lease.
func (l *Lease) Check() error { return checkName("ID", l.ID, true) }

// Role is what a listed instance is.
type Role string

// Roles in the platform's list.
const (
	RoleEntry Role = "Entry" // an instance of the tier
	RoleLeaf  Role = "Leaf"  // an upstream
)

// InstanceState is the state the platform gives for an instance.
type InstanceState string

// States in the platform's list. An instance that is gone is not listed.
const (
	StateLive    InstanceState = "Live"
	StateLeaving InstanceState = "Leaving"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID       string        `json:"ID"`
	Role     Role          `json:"Role"`
	Service  string        `json:"Service,omitempty"` // leafs only
	Zone     string        `json:"Zone"`
	Addr     string        `json:"Addr"`               // callers or senders connect here
	PeerAddr string        `json:"PeerAddr,omitempty"` // entry instances only
	State    InstanceState `json:"State"`
}

// Check reports the first fault of the line.
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

// InstanceList is the platform's lagging list.
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
