package trmember

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

const largeDocument = "large"

// replica applies a document that is sent as changes.
type replica struct {
	t        *testing.T
	revision uint64
	size     int  // of the whole document
	wholes   int  // whole documents received
	withheld bool // the whole document cannot be sent
}

func newReplica(t *testing.T, g *Group) *replica {
	r := &replica{t: t, size: 20 << 10}
	g.Documents().Provide(largeDocument, func() (Document, bool) {
		return Document{Name: largeDocument, Revision: r.revision, Body: bytes.Repeat([]byte{1}, r.size)}, r.revision > 0 && !r.withheld
	})
	g.Documents().Subscribe(largeDocument, func(doc Document) {
		if doc.Base == 0 {
			r.wholes++
		} else {
			assert.Assert(t, doc.Base <= r.revision, "changes since %d reached revision %d", doc.Base, r.revision)
		}
		assert.Assert(t, doc.Revision > r.revision)
		r.revision = doc.Revision
	})
	return r
}

// Guards against a large document that travels whole at each change, and against members
// that do not get its newest revision: with lost messages, after a partition, and if they
// join late. Two members publish changes, each since the revision that it published last.
func TestDocumentTravelsAsChanges(t *testing.T) {
	n := newNetwork(t, 21)
	groups := n.fleet(30)
	assert.Assert(t, n.until(60, allSee(groups, Alive, idsOf(groups)...)) >= 0)
	var replicas []*replica
	for _, g := range groups {
		replicas = append(replicas, newReplica(t, g))
	}
	upToDate := func(revision uint64) func() bool {
		return func() bool {
			for _, r := range replicas {
				if r.revision != revision {
					return false
				}
			}
			return true
		}
	}
	assert.Assert(t, groups[0].Documents().Set(Document{Name: largeDocument, Revision: 1, Body: make([]byte, 20<<10)}))
	assert.Assert(t, n.until(20, upToDate(1)) >= 0)

	n.clock.Advance(time.Minute)
	n.bytes = 0
	last := [2]uint64{1, 1}
	const changes = 20
	for revision := uint64(2); revision < 2+changes; revision++ {
		publisher := int(revision) % 2
		doc := Document{Name: largeDocument, Revision: revision, Base: last[publisher], Body: make([]byte, 300)}
		assert.Assert(t, groups[publisher].Documents().Set(doc))
		last[publisher] = revision
		assert.Assert(t, n.until(20, upToDate(revision)) >= 0, "revision %d", revision)
	}
	for i, r := range replicas {
		assert.Equal(t, r.wholes, 1, "member %d", i)
	}
	perChange := n.bytes / changes / len(groups)
	t.Logf("%d bytes per change and member", perChange)
	assert.Assert(t, perChange < replicas[0].size/2, "%d bytes per change and member", perChange)

	n.loss = 0.1
	n.cut = func(from, to string) bool { return (from == "c02") != (to == "c02") }
	revision := last[1]
	for range 2 * maxChanges {
		assert.Assert(t, groups[0].Documents().Set(Document{Name: largeDocument, Revision: revision + 1, Base: revision, Body: make([]byte, 300)}))
		revision++
		n.clock.Advance(100 * time.Millisecond)
	}
	n.cut = nil
	late := n.add("b99", "a00")
	replicas = append(replicas, newReplica(t, late))
	assert.Assert(t, n.until(90, upToDate(revision)) >= 0, "%s", fmt.Sprint(replicas))
}

// TestMembersLearnOfDocumentThatCannotBeSent guards against members that keep an old revision for
// good, without a sign, because the newest one is too large to be sent.
func TestMembersLearnOfDocumentThatCannotBeSent(t *testing.T) {
	n := newNetwork(t, 22)
	groups := n.fleet(12)
	assert.Assert(t, n.until(60, allSee(groups, Alive, idsOf(groups)...)) >= 0)
	var replicas []*replica
	for _, g := range groups {
		replicas = append(replicas, newReplica(t, g))
	}
	all := func(condition func(i int) bool) func() bool {
		return func() bool {
			for i := range groups {
				if !condition(i) {
					return false
				}
			}
			return true
		}
	}
	atRevision := func(revision uint64) func() bool {
		return all(func(i int) bool { return replicas[i].revision == revision })
	}
	missing := func(i int) bool { return groups[i].Documents().Missing(largeDocument) }
	assert.Assert(t, groups[0].Documents().Set(Document{Name: largeDocument, Revision: 1, Body: make([]byte, 20<<10)}))
	assert.Assert(t, n.until(20, atRevision(1)) >= 0)
	assert.Assert(t, all(func(i int) bool { return !missing(i) })())

	withhold := func(i int) {
		replicas[i].revision, replicas[i].withheld = 2, true
		groups[i].Documents().Withhold(largeDocument, 2)
	}
	withhold(0)
	assert.Assert(t, n.until(20, all(func(i int) bool { return missing(i) == (i != 0) })) >= 0)
	for i := range groups {
		withhold(i) // read from the source
		assert.Assert(t, !missing(i))
	}
	n.clock.Advance(time.Minute)
	assert.Assert(t, all(func(i int) bool { return !missing(i) })())

	// Changes apply to the revision that was read from the source.
	assert.Assert(t, groups[3].Documents().Set(Document{Name: largeDocument, Revision: 3, Base: 2, Body: make([]byte, 300)}))
	assert.Assert(t, n.until(20, atRevision(3)) >= 0)
	late := n.add("c99", "a00")
	newReplica(t, late)
	assert.Assert(t, n.until(20, func() bool { return late.Documents().Missing(largeDocument) }) >= 0)
}

// TestLargestDocumentArrives guards against a document of the largest size that never reaches a
// member which lacks others as well, and against a larger one that is sent nevertheless.
func TestLargestDocumentArrives(t *testing.T) {
	for _, size := range []int{trwire.MaxValueBytes - 1, trwire.MaxValueBytes, trwire.MaxValueBytes + 1} {
		n := newNetwork(t, 23)
		a := n.add("a00")
		sent := size <= trwire.MaxValueBytes
		assert.Equal(t, a.Documents().Set(Document{Name: "largest", Revision: 1, Body: make([]byte, size)}), sent)
		assert.Assert(t, a.Documents().Set(Document{Name: "other", Revision: 1, Body: make([]byte, 2*announceBytes)}))
		b := n.add("b01", "a00")
		has := func(name string) bool {
			doc, ok := b.Documents().Get(name)
			return ok && doc.Revision == 1
		}
		assert.Assert(t, n.until(20, func() bool { return has("other") && has("largest") == sent }) >= 0, "%d bytes", size)
	}
}
