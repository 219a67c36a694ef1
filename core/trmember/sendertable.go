package trmember

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// MaxSenderIndexes limits the number of entries in a sender table.
const MaxSenderIndexes = 1_024

// SenderTable records which instance holds or held each sender index. It is stored
// under the key "senders/<group>" and disseminated as the document "senders".
type SenderTable struct {
	Revision uint64        `json:"Revision"` // the key's version in the store
	Entries  []SenderEntry `json:"Entries"`  // ordered by index
}

// SenderEntry is the lease of one sender index. Entries are never removed, so
// that the epoch of an index only grows.
type SenderEntry struct {
	Index       int    `json:"Index"`
	InstanceID  string `json:"InstanceID"`
	Incarnation uint64 `json:"Incarnation"` // of the holder's process
	Zone        string `json:"Zone"`
	PeerAddr    string `json:"PeerAddr"`
	Epoch       uint64 `json:"Epoch"`              // incremented with every claim of the index
	RenewedMs   int64  `json:"RenewedMs"`          // latest possible store time of sending the last renewal
	Released    bool   `json:"Released,omitempty"` // given up cleanly; the index is free

	// ClaimedRevision and RenewedRevision are the revisions of the table that the
	// holder wrote with its claim and with its last renewal. A renewal proves that
	// the holder has seen all earlier revisions.
	ClaimedRevision uint64 `json:"ClaimedRevision"`
	RenewedRevision uint64 `json:"RenewedRevision"`

	// Reclaimed is set if the index was ever taken over from a process that may have
	// run requests without the store before it ended. ReclaimedMs is the store time
	// of the last such takeover.
	Reclaimed   bool  `json:"Reclaimed,omitempty"`
	ReclaimedMs int64 `json:"ReclaimedMs,omitempty"`
}

// Check returns an error if the table is invalid.
func (t *SenderTable) Check() error {
	last := -1
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Index <= last || e.Index >= MaxSenderIndexes {
			return errors.Errorf("sender index %d is out of range or not greater than the preceding %d", e.Index, last)
		}
		if e.InstanceID == "" || len(e.InstanceID) > trwire.MaxNameBytes || e.Epoch == 0 {
			return errors.Errorf("sender index %d has invalid instance %.32q or epoch %d", e.Index, e.InstanceID, e.Epoch)
		}
		last = e.Index
	}
	return nil
}

// DecodeSenderTable decodes a table from the value of its key at version.
func DecodeSenderTable(value []byte, version uint64) (*SenderTable, error) {
	t := new(SenderTable)
	if len(value) > 0 {
		if err := json.Unmarshal(value, t); err != nil {
			return nil, errors.Wrap(err, "decode sender table")
		}
	}
	t.Revision = version
	if err := t.Check(); err != nil {
		return nil, err
	}
	return t, nil
}

// Entry returns the entry of index, or nil.
func (t *SenderTable) Entry(index int) *SenderEntry {
	for i := range t.Entries {
		if t.Entries[i].Index == index {
			return &t.Entries[i]
		}
	}
	return nil
}

// EntryOf returns the entry of instanceID, or nil. An index that the instance still
// holds is preferred to one that it has released.
func (t *SenderTable) EntryOf(instanceID string) *SenderEntry {
	var found *SenderEntry
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.InstanceID == instanceID && (found == nil || found.Released && !e.Released) {
			found = e
		}
	}
	return found
}

// Home returns the entry of the instance that runs requests with requestID: the
// held index with the highest weight, once the former home has seen its claim. Until
// then the former home stays the home. Without this rule, a former home that is cut
// off from the store could run a request from its local state alone while the new
// home runs the same request.
func (t *SenderTable) Home(requestID string) (home SenderEntry, ok bool) {
	ranked := make([]weightedEntry, 0, len(t.Entries))
	for i := range t.Entries {
		if e := &t.Entries[i]; !e.Released {
			ranked = append(ranked, weightedEntry{weight(requestID, strconv.Itoa(e.Index)), e})
		}
	}
	slices.SortFunc(ranked, func(a, b weightedEntry) int { return cmp.Compare(a.weight, b.weight) })
	var best *SenderEntry
	for _, r := range ranked {
		if best == nil || best.RenewedRevision >= r.entry.ClaimedRevision {
			best = r.entry
		}
	}
	if best == nil {
		return SenderEntry{}, false
	}
	return *best, true
}

// Settled reports whether every holder has seen the claims of all others, so that
// homes do not move until the next claim or release.
func (t *SenderTable) Settled() bool {
	for i := range t.Entries {
		for j := range t.Entries {
			x, y := &t.Entries[i], &t.Entries[j]
			if !x.Released && !y.Released && x.RenewedRevision < y.ClaimedRevision {
				return false
			}
		}
	}
	return true
}

// claimsSeenBy returns how many of the claims in t the holder of e has seen. A holder
// sees claims in the order of their revisions, so in tables with the same claims an
// equal number means the same ones.
func (t *SenderTable) claimsSeenBy(e *SenderEntry) (n int) {
	for i := range t.Entries {
		if t.Entries[i].ClaimedRevision <= e.RenewedRevision {
			n++
		}
	}
	return n
}

type weightedEntry struct {
	weight uint64
	entry  *SenderEntry
}

// mayHaveRun reports whether an index was reclaimed at or after oldestMs whose weight
// for requestID is not below that of the home.
func (t *SenderTable) mayHaveRun(requestID string, oldestMs int64) bool {
	home, ok := t.Home(requestID)
	for i := range t.Entries {
		e := &t.Entries[i]
		if !e.Reclaimed || e.ReclaimedMs < oldestMs {
			continue
		}
		if !ok || weight(requestID, strconv.Itoa(e.Index)) >= weight(requestID, strconv.Itoa(home.Index)) {
			return true
		}
	}
	return false
}
