package trmember

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two homes of one request ID while the former home does not know of a
// new holder: after losing the store it would run the request from its local state,
// while the new holder claims the request ID in the store and runs it too.
func TestHomeMovesWhenFormerHomeHasSeenTheClaim(t *testing.T) {
	table := &SenderTable{Entries: []SenderEntry{
		{Index: 0, InstanceID: "a", Epoch: 1, ClaimedRevision: 1, RenewedRevision: 5},
		{Index: 1, InstanceID: "b", Epoch: 1, ClaimedRevision: 2, RenewedRevision: 6},
	}}
	moved := 0
	for i := range 200 {
		id := fmt.Sprint("order-", i)
		before, _ := table.Home(id)
		joined := table.withEntry(SenderEntry{Index: 2, InstanceID: "c", Epoch: 1, ClaimedRevision: 7, RenewedRevision: 7})
		home, ok := joined.Home(id)
		assert.Assert(t, ok)
		assert.Equal(t, home.InstanceID, before.InstanceID)

		seen := before
		seen.RenewedRevision = 8
		home, _ = joined.withEntry(seen).Home(id)
		if home.InstanceID == "c" {
			moved++
			continue
		}
		assert.Equal(t, home.InstanceID, before.InstanceID)
	}
	assert.Assert(t, moved > 0)
}

// Guards against a large sender table that is disseminated with every renewal, whose
// cost to every member grows with the square of the number of holders, and against
// renewals that fail or changes of holders that are not disseminated.
func TestLargeTableDissemination(t *testing.T) {
	const holders, periods = 20, 6
	f := newLeaseFleet(t, 11)
	f.policy.SenderIndexes = holders
	var leases []*SenderLease
	for i := range holders {
		leases = append(leases, f.lease(fmt.Sprintf("%c%d", "abc"[i%3], i)))
	}
	held := func() (n int) {
		for _, l := range leases {
			n += boolInt(f.index(l) >= 0)
		}
		return n
	}
	assert.Assert(t, f.until(60, func() bool { return held() == holders }) >= 0)
	f.clock.Advance(30 * time.Second)
	documents := f.groups[leases[0]].Documents()
	before, _ := documents.Get(DocumentSenders)
	calls, version := f.store.calls, f.store.entry.Version
	f.clock.Advance(periods * 10 * time.Second)
	after, _ := documents.Get(DocumentSenders)
	assert.Equal(t, after.Revision, before.Revision)
	assert.Equal(t, held(), holders)
	renewals := f.store.entry.Version - version
	assert.Assert(t, renewals >= holders*(periods-1), "%d renewals", renewals)
	assert.Assert(t, f.store.calls-calls <= 2*holders*(periods+1), "%d calls", f.store.calls-calls)

	assert.NilError(t, f.release(leases[3]))
	f.clock.Advance(5 * time.Second)
	doc, _ := documents.Get(DocumentSenders)
	table, err := DecodeSenderTable(doc.Body, doc.Revision)
	assert.NilError(t, err)
	assert.Equal(t, boolInt(table.EntryOf(leases[3].cfg.Self().ID).Released), 1)
}
