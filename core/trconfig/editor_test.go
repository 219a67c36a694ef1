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

type absentError struct{}

func (absentError) Error() string  { return "absent" }
func (absentError) NotFound() bool { return true }

type versionError struct{ present *trwire.Entry }

func (versionError) Error() string                 { return "version" }
func (e versionError) PresentEntry() *trwire.Entry { return e.present }

// fakeStore keeps all versions of the key. Its hooks inject faults.
type fakeStore struct {
	versions  []trwire.Entry
	older     func() bool // answer a read with the version before the last
	loseCall  func() bool // drop a write
	loseReply func() bool // lose the answer to a write
	beforePut func()
}

func never() bool { return false }

func newFakeStore() *fakeStore {
	return &fakeStore{older: never, loseCall: never, loseReply: never, beforePut: func() {}}
}

func (s *fakeStore) Get(context.Context, string) (*trwire.Entry, error) {
	n := len(s.versions)
	if s.older() {
		n--
	}
	if n <= 0 {
		return nil, absentError{}
	}
	return &s.versions[n-1], nil
}

func (s *fakeStore) Put(_ context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, error) {
	s.beforePut()
	if s.loseCall() {
		return nil, errors.New("call lost")
	}
	n := uint64(len(s.versions))
	if put.PrevVersion != n {
		if n == 0 {
			return nil, versionError{}
		}
		return nil, versionError{&s.versions[n-1]}
	}
	s.versions = append(s.versions, trwire.Entry{Key: key, Value: put.Value, Version: n + 1})
	if s.loseReply() {
		return nil, errors.New("answer lost")
	}
	return &s.versions[n], nil
}

func zoneOut(name string) func(*Document) error {
	return func(d *Document) error {
		d.ZonesOut = append(d.ZonesOut, name)
		return nil
	}
}

// Guards against a change that is reported as made but lost, reported as not
// made but in force, or made twice, while operators race and the store loses
// calls and answers and answers with older values.
func TestRacingEditors(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		store := newFakeStore()
		chance := func(p float64) func() bool { return func() bool { return rng.Float64() < p } }
		store.older, store.loseCall, store.loseReply = chance(0.2), chance(0.2), chance(0.3)
		editor := &Editor{Store: store}
		made, refused := map[string]bool{}, map[string]bool{}
		next, depth := 0, 0
		change := func() {
			depth++
			defer func() { depth-- }()
			next++
			id := fmt.Sprint("change-", next)
			_, err := editor.Change(context.Background(), id, zoneOut(id))
			var conflict *ConflictError
			var uncertain *UncertainError
			switch {
			case err == nil:
				made[id] = true
			case errors.As(err, &conflict):
				refused[id] = true
			default:
				assert.Assert(t, errors.As(err, &uncertain), "seed %d: %v", seed, err)
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
		times := map[string]int{}
		for i, entry := range store.versions {
			doc, err := Decode(entry.Value)
			assert.NilError(t, err)
			assert.Equal(t, doc.Revision, uint64(i+1), "seed %d", seed)
			assert.Assert(t, slices.Contains(doc.ZonesOut, doc.ChangeID), "seed %d", seed)
			assert.Equal(t, len(doc.ZonesOut), i+1, "seed %d: an earlier change is lost", seed)
			times[doc.ChangeID]++
		}
		for id := range made {
			assert.Equal(t, times[id], 1, "seed %d %s", seed, id)
		}
		for id := range refused {
			assert.Equal(t, times[id], 0, "seed %d %s", seed, id)
		}
	}
}

// Guards against a lost answer that is taken for a conflict because a later
// revision builds on the change, and against a change that is made twice.
func TestLostAnswerBelowLaterRevision(t *testing.T) {
	store := newFakeStore()
	editor := &Editor{Store: store}
	lost := true
	store.loseReply = func() bool {
		first := lost
		lost = false
		if first {
			_, err := editor.Change(context.Background(), "later", zoneOut("b"))
			assert.NilError(t, err)
		}
		return first
	}
	doc, err := editor.Change(context.Background(), "first", zoneOut("a"))
	assert.NilError(t, err)
	assert.Equal(t, doc.Revision, uint64(1))
	doc, err = editor.Change(context.Background(), "first", zoneOut("a"))
	assert.NilError(t, err)
	assert.Equal(t, doc.Revision, uint64(2))
	assert.Equal(t, len(store.versions), 2)
}

// Guards against a conflict that does not tell the operator what changed.
func TestConflictShowsWhatChanged(t *testing.T) {
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
	_, err := editor.Change(context.Background(), "mine", zoneOut("a"))
	assert.Error(t, err, `conflict: the change was based on revision 0, but revision 1 (change other) is there now
  Defaults.Class.Worth: 1 -> 3
  Exceptions[Class=rush]: (none) -> {"Reason":"r","Scope":{"Class":"rush"},"Set":{"Class":{"Worth":9}}}`)
}

// Guards against an invalid document in the store.
func TestEditorChecksBeforeWriting(t *testing.T) {
	store := newFakeStore()
	_, err := (&Editor{Store: store}).Change(context.Background(), "c", zoneOut(""))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(store.versions), 0)
}

// Guards against a reordering of exceptions that looks like no change.
func TestDiffShowsOrder(t *testing.T) {
	a := parsed(t, layered)
	b := Clone(a)
	slices.Reverse(b.Exceptions[:2])
	b.Revision++
	got := Diff(a, b)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Path, "Exceptions (order)")
	assert.Equal(t, len(Diff(a, Clone(a))), 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(layered))
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
	data, err := Encode(parsed(f, layered))
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
