package trfakeplatform

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// state is the persisted state of a platform. The time to live of each lease restarts
// when the state is loaded.
type state struct {
	Keys      []keyState          `json:"Keys"`
	Leases    []trwire.Lease      `json:"Leases"`
	NextLease int                 `json:"NextLease"`
	List      trwire.InstanceList `json:"List"`
}

// keyState is the persisted form of a record.
type keyState struct {
	Key     string       `json:"Key"`
	Entry   trwire.Entry `json:"Entry"`
	Present bool         `json:"Present"`
	Last    uint64       `json:"Last"`
}

// Persist loads the state from file, if it exists. From then on it writes every change
// of the store and of the instance list to file before the change is acknowledged.
// Former values for stale reads are not persisted.
func (p *Platform) Persist(file string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := os.ReadFile(file)
	switch {
	case err == nil:
		var s state
		if err := json.Unmarshal(raw, &s); err != nil {
			return errors.Wrapf(err, "decode state %s", file)
		}
		p.restore(&s)
	case !os.IsNotExist(err):
		return errors.Wrap(err, "read state")
	}
	p.stateFile = file
	p.save()
	return nil
}

func (p *Platform) restore(s *state) {
	for _, k := range s.Keys {
		p.keys[k.Key] = &record{entry: k.Entry, present: k.Present, lastVersion: k.Last}
	}
	p.lastLease = s.NextLease
	for _, stored := range s.Leases {
		l := &lease{Lease: stored}
		p.leases[l.ID] = l
		p.scheduleExpiry(l)
	}
	p.lists = []listRevision{{at: p.clock.Now(), list: s.List}}
}

// save writes the state to the state file, if there is one. It panics on failure,
// because a store that loses acknowledged writes would invalidate every test that uses
// it. The caller holds mu.
func (p *Platform) save() {
	if p.stateFile == "" || p.closed {
		return
	}
	s := state{NextLease: p.lastLease, List: p.lists[len(p.lists)-1].list}
	for key, r := range p.keys {
		s.Keys = append(s.Keys, keyState{Key: key, Entry: r.entry, Present: r.present, Last: r.lastVersion})
	}
	for _, l := range p.leases {
		s.Leases = append(s.Leases, l.Lease)
	}
	raw, err := json.Marshal(s)
	if err == nil {
		err = os.WriteFile(p.stateFile+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(p.stateFile+".new", p.stateFile)
	}
	if err != nil {
		panic(errors.Wrap(err, "write state"))
	}
}
