package trmember

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// MaxSenderIndexes bounds the size of a sender table.
const MaxSenderIndexes = 1_024

// SenderTable tells which instance holds or held which sender index. It is the
// value of the key "senders/<group>" in the store and the document "senders".
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
	Epoch       uint64 `json:"Epoch"`              // grows by one with every claim of the index
	RenewedMs   int64  `json:"RenewedMs"`          // latest store time at which the last renewal was sent
	Released    bool   `json:"Released,omitempty"` // given up cleanly; the index is free

	// ClaimedRevision and RenewedRevision are the revisions of the table that the
	// holder wrote with its claim and with its last renewal. A renewal proves that
	// the holder has seen all earlier revisions.
	ClaimedRevision uint64 `json:"ClaimedRevision"`
	RenewedRevision uint64 `json:"RenewedRevision"`

	// Reclaimed tells that the index was once taken over from a process that may
	// have run requests without the store before it ended, the last time at the
	// store time ReclaimedMs.
	Reclaimed   bool  `json:"Reclaimed,omitempty"`
	ReclaimedMs int64 `json:"ReclaimedMs,omitempty"`
}

// Check reports the first fault of the table.
func (t *SenderTable) Check() error {
	last := -1
	for i := range t.Entries {
		e := &t.Entries[i]
		if e.Index <= last || e.Index >= MaxSenderIndexes {
			return errors.Errorf("sender index %d follows %d or is out of range", e.Index, last)
		}
		if e.InstanceID == "" || len(e.InstanceID) > trwire.MaxNameBytes || e.Epoch == 0 {
			return errors.Errorf("sender index %d has instance %.32q and epoch %d", e.Index, e.InstanceID, e.Epoch)
		}
		last = e.Index
	}
	return nil
}

// DecodeSenderTable reads a table from the value of its key at version.
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

// EntryOf returns the entry that names instanceID, or nil. An index the
// instance still holds is preferred to one it has released.
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
// held index that ranks highest, as soon as the instance that was the home
// before has seen its claim. Until then the former home stays the home. Without
// this rule, a former home that is cut off from the store would run identifiers
// from memory that the new home runs too.
func (t *SenderTable) Home(requestID string) (home SenderEntry, ok bool) {
	ranked := make([]rankedEntry, 0, len(t.Entries))
	for i := range t.Entries {
		if e := &t.Entries[i]; !e.Released {
			ranked = append(ranked, rankedEntry{rank(requestID, strconv.Itoa(e.Index)), e})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedEntry) int { return cmp.Compare(a.rank, b.rank) })
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

// Settled reports whether every holder has seen the claim of every other one, so
// that homes stay where they are until the next claim or release.
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

// seenClaims returns how many of the claims in t the holder of e has seen. With
// the same holders, this number tells which ones.
func (t *SenderTable) seenClaims(e *SenderEntry) (n int) {
	for i := range t.Entries {
		if t.Entries[i].ClaimedRevision <= e.RenewedRevision {
			n++
		}
	}
	return n
}

type rankedEntry struct {
	rank  uint64
	entry *SenderEntry
}

// uncertain reports whether an index that would be the home of requestID, if it
// were held, was taken over after oldestMs.
func (t *SenderTable) uncertain(requestID string, oldestMs int64) bool {
	home, ok := t.Home(requestID)
	for i := range t.Entries {
		e := &t.Entries[i]
		if !e.Reclaimed || e.ReclaimedMs < oldestMs {
			continue
		}
		if !ok || rank(requestID, strconv.Itoa(e.Index)) >= rank(requestID, strconv.Itoa(home.Index)) {
			return true
		}
	}
	return false
}
