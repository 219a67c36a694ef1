package trconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

type notFoundError struct{}

func (notFoundError) Error() string  { return "not found" }
func (notFoundError) NotFound() bool { return true }

type conflictError struct{ present *trwire.Entry }

func (conflictError) Error() string                 { return "version conflict" }
func (e conflictError) PresentEntry() *trwire.Entry { return e.present }

// fakeStore keeps all versions of one key. Its hooks inject faults.
type fakeStore struct {
	versions     []trwire.Entry
	staleRead    func() bool // whether a read returns the version before the last
	dropWrite    func() bool // whether a write is lost
	dropResponse func() bool // whether the response to a write is lost
	beforePut    func()
}

func never() bool { return false }

func newFakeStore() *fakeStore {
	return &fakeStore{staleRead: never, dropWrite: never, dropResponse: never, beforePut: func() {}}
}

func (s *fakeStore) Get(context.Context, string) (*trwire.Entry, error) {
	n := len(s.versions)
	if s.staleRead() {
		n--
	}
	if n <= 0 {
		return nil, notFoundError{}
	}
	return &s.versions[n-1], nil
}

func (s *fakeStore) Put(_ context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, error) {
	s.beforePut()
	if s.dropWrite() {
		return nil, errors.New("write lost")
	}
	n := uint64(len(s.versions))
	if put.PrevVersion != n {
		if n == 0 {
			return nil, conflictError{}
		}
		return nil, conflictError{&s.versions[n-1]}
	}
	s.versions = append(s.versions, trwire.Entry{Key: key, Value: put.Value, Version: n + 1})
	if s.dropResponse() {
		return nil, errors.New("response lost")
	}
	return &s.versions[n], nil
}

func takeZoneOut(name string) func(*Document) error {
	return func(d *Document) error {
		d.ZonesOut = append(d.ZonesOut, name)
		return nil
	}
}

// Guards against a change that is reported as made but lost, reported as a conflict
// but made, or made twice, when several operators write while the store loses writes
// and responses and returns older values.
func TestRacingEditors(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		store := newFakeStore()
		chance := func(p float64) func() bool { return func() bool { return rng.Float64() < p } }
		store.staleRead, store.dropWrite, store.dropResponse = chance(0.2), chance(0.2), chance(0.3)
		editor := &Editor{Store: store}
		applied, conflicted := map[string]bool{}, map[string]bool{}
		next, depth := 0, 0
		change := func() {
			depth++
			defer func() { depth-- }()
			next++
			id := fmt.Sprint("change-", next)
			_, err := editor.Change(context.Background(), id, takeZoneOut(id))
			var conflict *ConflictError
			var unknown *OutcomeUnknownError
			switch {
			case err == nil:
				applied[id] = true
			case errors.As(err, &conflict):
				conflicted[id] = true
			default:
				assert.Assert(t, errors.As(err, &unknown), "seed %d: %v", seed, err)
			}
		}
		store.beforePut = func() {
			if depth < 3 && rng.Float64() < 0.3 {
				change()
			}
		}
		for range 20 {
			change()
		}
		writes := map[string]int{}
		for i, entry := range store.versions {
			doc, err := Decode(entry.Value)
			assert.NilError(t, err)
			assert.Equal(t, doc.Revision, uint64(i+1), "seed %d", seed)
			assert.Assert(t, slices.Contains(doc.ZonesOut, doc.ChangeID), "seed %d", seed)
			assert.Equal(t, len(doc.ZonesOut), i+1, "seed %d: an earlier change is lost", seed)
			writes[doc.ChangeID]++
		}
		for id := range applied {
			assert.Equal(t, writes[id], 1, "seed %d %s", seed, id)
		}
		for id := range conflicted {
			assert.Equal(t, writes[id], 0, "seed %d %s", seed, id)
		}
	}
}

// Guards against a change whose response is lost and that is reported as a conflict
// because a later revision was written on top of it, and against a change that is
// made twice.
func TestLostResponseBeforeLaterRevision(t *testing.T) {
	store := newFakeStore()
	editor := &Editor{Store: store}
	dropNext := true
	store.dropResponse = func() bool {
		first := dropNext
		dropNext = false
		if first {
			_, err := editor.Change(context.Background(), "later", takeZoneOut("b"))
			assert.NilError(t, err)
		}
		return first
	}
	doc, err := editor.Change(context.Background(), "first", takeZoneOut("a"))
	assert.NilError(t, err)
	assert.Equal(t, doc.Revision, uint64(1))
	doc, err = editor.Change(context.Background(), "first", takeZoneOut("a"))
	assert.NilError(t, err)
	assert.Equal(t, doc.Revision, uint64(2))
	assert.Equal(t, len(store.versions), 2)
}

// Guards against a conflict error that does not list what changed.
func TestConflictListsDifferences(t *testing.T) {
	store := newFakeStore()
	editor := &Editor{Store: store}
	store.beforePut = func() {
		store.beforePut = func() {}
		_, err := editor.Change(context.Background(), "other", func(d *Document) error {
			d.Defaults.Class.Worth = 3
			d.Exceptions = []Exception{{Scope: Scope{Class: "rush"}, Reason: "r", Set: []byte(`{"Class":{"Worth":9}}`)}}
			return nil
		})
		assert.NilError(t, err)
	}
	_, err := editor.Change(context.Background(), "mine", takeZoneOut("a"))
	assert.Error(t, err, `conflict: the change is based on revision 0, but the stored revision is 1 (change other)
  Defaults.Class.Worth: 1 -> 3
  Exceptions[Class=rush]: (none) -> {"Reason":"r","Scope":{"Class":"rush"},"Set":{"Class":{"Worth":9}}}`)
}

// Guards against writing an invalid document to the store.
func TestEditorChecksBeforeWriting(t *testing.T) {
	store := newFakeStore()
	_, err := (&Editor{Store: store}).Change(context.Background(), "c", takeZoneOut(""))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(store.versions), 0)
}

// Guards against a changed order of exceptions that Diff does not report.
func TestDiffReportsExceptionOrder(t *testing.T) {
	a := mustParse(t, layeredConfig)
	b := Clone(a)
	slices.Reverse(b.Exceptions[:2])
	b.Revision++
	got := Diff(a, b)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Path, "Exceptions (order)")
	assert.Equal(t, len(Diff(a, Clone(a))), 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(layeredConfig))
	f.Add([]byte(`{"Exceptions":[{"Reason":"r","Scope":{"Zone":"z"},"Set":{"Service":{"Slots":2}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, findings := Parse("f", data)
		if (doc == nil) != (len(findings) > 0) {
			t.Fatal("want either a document or findings")
		}
		if doc == nil {
			return
		}
		if _, err := Compile(doc); err != nil {
			t.Fatal(err)
		}
		encoded, err := Encode(doc)
		if err != nil {
			return // escapes can make the encoded form larger than the file
		}
		back, err := Decode(encoded)
		if err != nil || len(Diff(doc, back)) > 0 {
			t.Fatal(err, Diff(doc, back))
		}
	})
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(mustParse(f, layeredConfig))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var ctl Controller
		_, _ = ctl.AdoptEncoded(data) // must not panic
		if doc, err := Decode(data); err == nil {
			Diff(doc, &Document{})
		}
	})
}

func ExampleParse() {
	_, findings := Parse("fleet.jsonc", []byte("{\n  // half a second\n  \"Defaults\": {\"Fleet\": {\"TurnMs\": \"500\"}},\n}"))
	fmt.Println(findings[0])
	// Output: fleet.jsonc:3:36: Defaults.Fleet.TurnMs: want a whole number, not "500"
}

func ExampleController() {
	var ctl Controller
	_, err := ctl.Adopt(&Document{Revision: 1, Defaults: BuiltInDefaults(), ZonesOut: []string{"zone-a"}})
	fmt.Println(err, ctl.Current().ZoneOut("zone-a"), ctl.Current().Service("search", "zone-b").Slots)
	// Output: <nil> true 2
}
