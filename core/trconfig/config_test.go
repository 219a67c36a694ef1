package trconfig

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against faults that are missed, reported at the wrong position or hidden
// by other faults.
func TestParseReportsEveryFaultWithPosition(t *testing.T) {
	const head = `{"Exceptions":[{"Reason":"r","Scope":`
	for _, tc := range []struct {
		name, file string
		want       []string
	}{
		{"empty file", "", []string{"f:1:1: syntax: parsing value: unexpected EOF"}},
		{"syntax", "{\n  \"Tenants\": [}", []string{"f:2:15: syntax: invalid character '}' at start of value"}},
		{"not an object", "[]", []string{"f:1:1: want an object"}},
		{
			"several faults", "// comment\n{\n \"Defaults\": {\n  \"Class\": {\"Worth\": -1, \"Wroth\": 2, \"Hedge\": 1},\n" +
				"  \"Fleet\": {\"TurnMs\": 1.5, \"HedgeShare\": 2}},\n \"Tenants\": [\"a\", \"\", \"a\", 3]}",
			[]string{
				"f:4:22: Defaults.Class.Worth: -1 is not between 0 and 1000000",
				"f:4:26: Defaults.Class.Wroth: unknown field",
				"f:4:47: Defaults.Class.Hedge: want true or false, not 1",
				"f:5:23: Defaults.Fleet.TurnMs: want a whole number, not 1.5",
				"f:5:42: Defaults.Fleet.HedgeShare: 2 is not between 0 and 1",
				"f:6:19: Tenants[1]: name is empty",
				"f:6:23: Tenants[2]: \"a\" repeats entry 0",
				"f:6:28: Tenants[3]: want a string, not 3",
			},
		},
		{"repeated field", "{\"ZonesOut\": [],\n\"ZonesOut\": []}", []string{"f:2:1: ZonesOut: field is repeated"}},
		{"wrong JSON type", `{"Defaults": [], "ZonesOut": {}, "Revision": -1}`, []string{
			"f:1:14: Defaults: want an object",
			"f:1:30: ZonesOut: want a list",
			"f:1:46: Revision: want a whole number of 0 or more, not -1",
		}},
		{"empty exception", `{"Exceptions":[{}]}`, []string{
			"f:1:16: Exceptions[0].Reason: Reason is missing",
			"f:1:16: Exceptions[0].Scope: Scope is missing or empty",
			"f:1:16: Exceptions[0].Set: want an object with a Service or a Class member",
		}},
		{"set does not match the scope", head + `{"Zone":"z"},"Set":{"Class":{"Worth":2}}}]}`, []string{
			"f:1:66: Exceptions[0].Set.Class: does not match the scope: a scope with Service or Zone selects no class policy",
		}},
		{"unknown and invalid fields in set", head + `{"Class":"c"},"Set":{"Class":{"Slots":2,"Worth":"x","TimeoutMs":0},"Fleet":1}}]}`, []string{
			"f:1:76: Exceptions[0].Set.Class.Slots: unknown field of ClassPolicy",
			"f:1:86: Exceptions[0].Set.Class.Worth: want a number, not \"x\"",
			"f:1:102: Exceptions[0].Set.Class.TimeoutMs: 0 is not between 1 and 60000",
			"f:1:113: Exceptions[0].Set.Fleet: unknown field; Set has a Service or a Class member",
		}},
		{"repeated scope", head + `{"Class":"c"},"Set":{"Class":{"Worth":2}}},` + strings.TrimPrefix(head, `{"Exceptions":[`) +
			"\n" + `{"Class":"c"},"Set":{"Class":{"Hedge":true}}}]}`, []string{
			"f:2:1: Exceptions[1].Scope: repeats the scope of exception 0",
		}},
		{"name not listed", `{"Classes":["rush"],"Exceptions":[{"Reason":"r","Scope":{"Class":"rusk"},"Set":{"Class":{"Worth":2}}}]}`, []string{
			"f:1:66: Exceptions[0].Scope.Class: \"rusk\" is not in Classes",
		}},
		{"exception invalid with defaults", head + `{"Class":"c"},"Set":{"Class":{"PartialMs":3000}}}]}`, []string{
			"f:1:80: Exceptions[0].Set.Class.PartialMs: 3000 is more than TimeoutMs 2000",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			doc, findings := Parse("f", []byte(tc.file))
			var got []string
			for _, f := range findings {
				got = append(got, f.String())
			}
			assert.DeepEqual(t, got, tc.want)
			assert.Assert(t, doc == nil)
		})
	}
}

// Guards against input that exhausts the stack of the recursive parser.
func TestParseRefusesDeepNesting(t *testing.T) {
	_, findings := Parse("f", []byte(strings.Repeat("[", 1<<20)))
	assert.Equal(t, len(findings), 1)
	_, findings = Parse("f", []byte(strings.Repeat("[", maxBrackets)))
	assert.Equal(t, len(findings), 1)
}

func mustParse(t testing.TB, file string) *Document {
	t.Helper()
	doc, findings := Parse("test", []byte(file))
	assert.Equal(t, len(findings), 0, "%v", findings)
	return doc
}

const layeredConfig = `{
	"Revision": 7,
	"Tenants": ["storefront", "counter"],
	"Defaults": {"Class": {"Worth": 5}},
	"Exceptions": [
		{"Reason": "urgent", "Scope": {"Class": "rush"}, "Set": {"Class": {"Worth": 10, "TimeoutMs": 300}}},
		{"Reason": "paying", "Scope": {"Tenant": "counter"}, "Set": {"Class": {"Worth": 20}}},
		{"Reason": "both", "Scope": {"Tenant": "counter", "Class": "rush"}, "Set": {"Class": {"Hedge": false}}},
		{"Reason": "small zone", "Scope": {"Zone": "z1"}, "Set": {"Service": {"Slots": 3}}},
		{"Reason": "big leafs", "Scope": {"Service": "orders"}, "Set": {"Service": {"Slots": 4, "Connections": 100}}},
	],
	"ZonesOut": ["z9"], "InstancesOut": ["i9"], "UpstreamsOut": ["u9"],
}`

// Guards against exceptions that are applied in the wrong order and against a scope
// that matches too much or too little.
func TestLaterExceptionsWin(t *testing.T) {
	p, err := Compile(mustParse(t, layeredConfig))
	assert.NilError(t, err)
	assert.Equal(t, p.Revision(), uint64(7))
	assert.Equal(t, p.Class("", "other").Worth, 5.0)
	assert.Equal(t, p.Class("x", "rush").Worth, 10.0)
	assert.Equal(t, p.Class("counter", "other").Worth, 20.0)
	assert.Equal(t, p.Class("counter", "other").TimeoutMs, int64(2000))
	assert.Equal(t, p.Class("counter", "rush").Worth, 20.0)
	assert.Equal(t, p.Class("counter", "rush").TimeoutMs, int64(300))
	assert.Assert(t, !p.Class("counter", "rush").Hedge)
	assert.Assert(t, p.Class("x", "rush").Hedge)
	assert.Equal(t, p.Service("other", "z2").Slots, 2)
	assert.Equal(t, p.Service("other", "z1").Slots, 3)
	assert.Equal(t, p.Service("orders", "z1").Slots, 4)
	assert.Assert(t, p.ZoneOut("z9") && p.InstanceOut("i9") && p.UpstreamOut("u9"))
	assert.Assert(t, !p.ZoneOut("i9"))
	assert.Assert(t, p.KnownTenant("storefront") && !p.KnownTenant("workshop") && p.KnownClass("any"))
}

// Guards against allocations on the request path.
func TestLookupsAllocateNothing(t *testing.T) {
	p, err := Compile(mustParse(t, layeredConfig))
	assert.NilError(t, err)
	var ctl Controller
	_, err = ctl.Adopt(p.Document())
	assert.NilError(t, err)
	allocs := testing.AllocsPerRun(100, func() {
		p := ctl.Current()
		_ = p.Service("orders", "z1").Slots + p.Fleet().Watchers
		_ = p.Class("counter", "rush").Worth
		_ = p.ZoneOut("z") || p.InstanceOut("i") || p.UpstreamOut("u")
		_ = p.KnownTenant("t") && p.KnownClass("c") && p.KnownService("s")
	})
	assert.Equal(t, allocs, 0.0)
}

func newDocument(n uint64, change string) *Document {
	return &Document{Revision: n, ChangeID: change, Defaults: BuiltInDefaults()}
}

// Guards against a controller that adopts a document with a lower revision, an
// invalid one, or another one with the same revision.
func TestControllerNeverReverts(t *testing.T) {
	var ctl Controller
	var seen []uint64
	stop := ctl.Subscribe(func(p *Policy) { seen = append(seen, p.Revision()) })
	assert.Assert(t, ctl.Current() == nil)
	assert.Equal(t, ctl.Status(time.Unix(9, 0)).AgeMs, int64(-1))
	faulty := newDocument(6, "d")
	faulty.ZonesOut = []string{""}
	for _, step := range []struct {
		doc     *Document
		adopted bool
		fault   string
	}{
		{newDocument(2, "a"), true, ""},
		{newDocument(2, "a"), false, ""},
		{newDocument(2, "b"), false, `revision 2 has ChangeID "b", but the current configuration has "a"`},
		{newDocument(5, "c"), true, ""},
		{newDocument(4, "b"), false, ""},
		{faulty, false, "ZonesOut[0]: name is empty"},
	} {
		adopted, err := ctl.Adopt(step.doc)
		assert.Equal(t, adopted, step.adopted)
		if step.fault == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, step.fault)
		}
	}
	_, err := ctl.AdoptEncoded([]byte(`{"Revision": 9`))
	assert.ErrorContains(t, err, "decode configuration")
	ctl.Confirm(time.Unix(10, 0))
	stop()
	s := ctl.Status(time.Unix(12, 0))
	assert.Equal(t, s.Revision, uint64(5))
	assert.Equal(t, s.AgeMs, int64(2000))
	assert.Equal(t, s.Rejected, uint64(4))
	assert.Equal(t, s.Older, uint64(1))
	assert.DeepEqual(t, seen, []uint64{2, 5})
}

// Guards against subscribers that miss the newest policy or get an older one after
// it when documents are adopted concurrently.
func TestSubscribersEndOnNewestPolicy(t *testing.T) {
	var ctl Controller
	var seen []uint64
	ctl.Subscribe(func(p *Policy) { seen = append(seen, p.Revision()) })
	const n = 50
	done := make(chan error, n)
	for i := range n {
		go func() {
			_, err := ctl.Adopt(newDocument(uint64(i+1), "x"))
			done <- err
		}()
	}
	for range n {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, seen[len(seen)-1], uint64(n))
	for i := 1; i < len(seen); i++ {
		assert.Assert(t, seen[i] > seen[i-1])
	}
}

// Guards against a policy that replaces a newer one adopted while it was compiled.
func TestSlowCompilationDoesNotRevert(t *testing.T) {
	var ctl Controller
	slow, err := Compile(newDocument(1, "slow"))
	assert.NilError(t, err)
	_, err = ctl.Adopt(newDocument(2, "fast"))
	assert.NilError(t, err)
	assert.Assert(t, !ctl.replace(slow))
	assert.Equal(t, ctl.Current().Revision(), uint64(2))
}

// Guards against documents that change when they are encoded and decoded.
func TestEncodeDecode(t *testing.T) {
	doc := mustParse(t, layeredConfig)
	data, err := Encode(doc)
	assert.NilError(t, err)
	back, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, doc)
	again, findings := Parse("encoded", data)
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.DeepEqual(t, again, doc)
	for _, bad := range []string{`{} x`, `{"Nope":1}`, strings.Repeat(" ", 1<<20) + "{}"} {
		_, err := Decode([]byte(bad))
		assert.Assert(t, err != nil, bad[:1])
	}
	doc.Tenants = []string{strings.Repeat("x", 1<<20)}
	_, err = Encode(doc)
	assert.ErrorContains(t, err, "more than 1048576")
}
