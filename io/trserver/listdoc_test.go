package trserver

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
)

func testList(entries int) *trwire.InstanceList {
	list := &trwire.InstanceList{Revision: 7}
	for i := range entries {
		list.Instances = append(list.Instances, trwire.Instance{
			ID: fmt.Sprintf("leaf-%d", i), Role: trwire.RoleLeaf, Service: "s", Zone: "a", Addr: "10.0.0.1:80", State: trwire.StateLive,
		})
	}
	return list
}

// Guards against a list that is altered by encoding and decoding, that is sent
// uncompressed, or that is decoded twice for one document.
func TestInstanceListDocument(t *testing.T) {
	list := testList(1000)
	body, err := encodeDocument(list)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < 20_000, "%d bytes", len(body))
	var d listDecoder
	got, err := d.decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, list)
	again, err := d.decode(bytes.Clone(body))
	assert.NilError(t, err)
	assert.Assert(t, got == again)

	other, err := encodeDocument(testList(3))
	assert.NilError(t, err)
	changed, err := d.decode(other)
	assert.NilError(t, err)
	assert.Equal(t, len(changed.Instances), 3)
}

// Guards against adopting an invalid document, and against a small document that
// exhausts memory when it is decompressed.
func TestInstanceListFaults(t *testing.T) {
	full, err := encodeDocument(testList(10))
	assert.NilError(t, err)
	bad := testList(2)
	bad.Instances[1].Role = "Other"
	badBody, err := encodeDocument(bad)
	assert.NilError(t, err)
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err = w.Write(make([]byte, maxListBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	for _, c := range []struct {
		name, want string
		body       []byte
	}{
		{"empty", "decompress", nil},
		{"uncompressed", "decompress", []byte(`{"Revision":1}`)},
		{"truncated", "decompress", full[:len(full)-9]},
		{"unknown role", "unknown role", badBody},
		{"too large decompressed", "more than", bomb.Bytes()},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d listDecoder
			_, err := d.decode(c.body)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against instances that do not converge to the platform's list when two watchers
// read different revisions, choose different bases, and the documents reach each
// instance in a different order.
func TestInstanceListChanges(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	current := testList(4000)
	for i := range current.Instances {
		current.Instances[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", rnd.IntN(256), rnd.IntN(256), rnd.IntN(256))
	}
	states := make([]*listState, 6) // the first two are watchers
	held := make([]*trwire.InstanceList, len(states))
	docs := make([]map[string]trmember.Document, len(states))
	for i := range states {
		states[i] = &listState{apply: func(l *trwire.InstanceList) {
			assert.Assert(t, held[i] == nil || l.Revision > held[i].Revision)
			held[i] = l
		}}
		docs[i] = make(map[string]trmember.Document)
	}
	var pending []func()
	counts := map[string]int{}
	var adopt func(i int, doc trmember.Document)
	set := func(i int, list *trwire.InstanceList) {
		doc, err := states[i].documentFor(list)
		assert.NilError(t, err)
		counts[doc.Name]++
		adopt(i, doc)
	}
	adopt = func(i int, doc trmember.Document) {
		if doc.Revision <= docs[i][doc.Name].Revision {
			return
		}
		docs[i][doc.Name] = doc
		if doc.Name == docChanges {
			c, err := decodeChanges(doc.Body)
			assert.NilError(t, err)
			states[i].setChanges(c)
		} else {
			var d listDecoder
			list, err := d.decode(doc.Body)
			assert.NilError(t, err)
			if republish := states[i].setBase(list, len(doc.Body)); republish != nil {
				set(i, republish)
			}
		}
		for k := range states {
			pending = append(pending, func() { adopt(k, doc) })
		}
	}
	deliver := func(limit int) {
		for n := 0; n < limit && len(pending) > 0; n++ {
			i := rnd.IntN(len(pending))
			f := pending[i]
			pending = slices.Delete(pending, i, i+1)
			f()
		}
	}
	for step := range 150 {
		next := &trwire.InstanceList{Revision: current.Revision + 1, Instances: slices.Clone(current.Instances)}
		for range 1 + rnd.IntN(4) {
			k := rnd.IntN(len(next.Instances))
			switch rnd.IntN(3) {
			case 0:
				next.Instances[k].State = trwire.StateLeaving
			case 1:
				next.Instances = slices.Delete(next.Instances, k, k+1)
			default:
				in := next.Instances[k]
				in.ID = fmt.Sprintf("leaf-new-%d-%d", step, rnd.IntN(1000))
				next.Instances = append(next.Instances, in)
			}
		}
		current = next
		if w := rnd.IntN(4); w < 2 { // otherwise no watcher reads this revision
			set(w, current)
		}
		deliver(rnd.IntN(12))
	}
	set(0, current)
	set(1, current)
	deliver(1 << 20)
	t.Logf("%v", counts)
	assert.Assert(t, counts[docChanges] > 5*counts[docInstances], "%v", counts)
	byID := func(a, b trwire.Instance) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) }
	slices.SortFunc(current.Instances, byID)
	for _, l := range held {
		got := slices.Clone(l.Instances)
		slices.SortFunc(got, byID)
		assert.Equal(t, l.Revision, current.Revision)
		assert.Assert(t, slices.Equal(got, current.Instances))
	}
}

// Guards against list changes that are not applied to the router.
func TestServerAppliesChanges(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := New(&Settings{InstanceID: "a1", Zone: "a", CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", Seed: 1}, log)
	assert.NilError(t, err)
	defer s.callerListener.Close()
	defer s.peerListener.Close()
	rnd := rand.New(rand.NewPCG(1, 1))
	list := testList(3000)
	for i := range list.Instances {
		list.Instances[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", rnd.IntN(256), rnd.IntN(256), rnd.IntN(256))
	}
	s.publishInstances(list)
	next := &trwire.InstanceList{Revision: 8, Instances: slices.Clone(list.Instances[1:])}
	next.Instances = append(next.Instances, list.Instances[0])
	next.Instances[2999].ID = "leaf-new"
	s.publishInstances(next)
	_, ok := s.group.Documents().Get(docChanges)
	assert.Assert(t, ok)
	assert.Assert(t, s.router.Leaf("leaf-0") == nil)
	assert.Assert(t, s.router.Leaf("leaf-new") != nil)
	assert.Assert(t, s.router.Leaf("leaf-7") != nil)
}

// Guards against applying changes to a base other than their own, and against a list
// that an instance never receives because one watcher published it as changes to a base
// that another watcher had replaced in the meantime.
func TestInstanceListNewBase(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	first := testList(3000)
	for i := range first.Instances {
		first.Instances[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", rnd.IntN(256), rnd.IntN(256), rnd.IntN(256))
	}
	body, err := encodeDocument(first)
	assert.NilError(t, err)
	leaving := func(n int, revision uint64) *trwire.InstanceList {
		list := &trwire.InstanceList{Revision: revision, Instances: slices.Clone(first.Instances)}
		for i := range n {
			list.Instances[(i*7919)%len(list.Instances)].State = trwire.StateLeaving
		}
		return list
	}
	var held *trwire.InstanceList
	watchers := [2]listState{{apply: func(*trwire.InstanceList) {}}, {apply: func(*trwire.InstanceList) {}}}
	member := listState{apply: func(l *trwire.InstanceList) { held = l }}
	for _, s := range []*listState{&watchers[0], &watchers[1], &member} {
		s.setBase(first, len(body))
	}
	// Find the smallest number of changes for which the full list is published.
	n := 2
	for doc := (trmember.Document{}); doc.Name != docInstances; n += 2 {
		doc, err = listDocument(first, len(body), leaving(n, 8))
		assert.NilError(t, err)
	}
	second, third := leaving(n, 8), leaving(n/2, 9)
	full, err := watchers[0].documentFor(second)
	assert.NilError(t, err)
	assert.Equal(t, full.Name, docInstances)
	stale, err := watchers[1].documentFor(third)
	assert.NilError(t, err)
	assert.Equal(t, stale.Name, docChanges)

	member.setBase(second, len(full.Body))
	c, err := decodeChanges(stale.Body)
	assert.NilError(t, err)
	member.setChanges(c)
	assert.DeepEqual(t, held, second)

	republish := watchers[1].setBase(second, len(full.Body))
	assert.Assert(t, republish != nil)
	fresh, err := watchers[1].documentFor(republish)
	assert.NilError(t, err)
	assert.Equal(t, fresh.Name, docChanges)
	assert.Assert(t, fresh.Revision > stale.Revision)
	c, err = decodeChanges(fresh.Body)
	assert.NilError(t, err)
	member.setChanges(c)
	assert.DeepEqual(t, held, third)
}
