package trwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against invalid requests that pass the check, and against valid ones that
// do not.
func TestRequestCheck(t *testing.T) {
	good := Request{RequestID: "r", Tenant: "t", Class: "c", Service: "s", Kind: Query}
	for _, test := range []struct {
		name   string
		change func(*Request)
		want   string // part of the error, empty for none
	}{
		{"query", func(*Request) {}, ""},
		{"query without request ID", func(r *Request) { r.RequestID = "" }, ""},
		{"execute without request ID", func(r *Request) { r.Kind, r.Key, r.RequestID = Execute, "k", "" }, "RequestID is missing"},
		{"fetch without key", func(r *Request) { r.Kind = Fetch }, "Key is missing"},
		{"unknown kind", func(r *Request) { r.Kind = "Update" }, "Kind"},
		{"no tenant", func(r *Request) { r.Tenant = "" }, "Tenant is missing"},
		{"long service", func(r *Request) { r.Service = strings.Repeat("s", MaxNameBytes+1) }, "Service is longer"},
		{"negative timeout", func(r *Request) { r.TimeoutMs = -1 }, "TimeoutMs"},
		{"timeout beyond the maximum", func(r *Request) { r.TimeoutMs = MaxTimeoutMs + 1 }, "TimeoutMs"},
		{"limit beyond the maximum", func(r *Request) { r.Limit = MaxRecords + 1 }, "Limit"},
	} {
		t.Run(test.name, func(t *testing.T) {
			req := good
			test.change(&req)
			err := req.Check()
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against input that is accepted although part of it was not decoded.
func TestDecode(t *testing.T) {
	const body = `{"RequestID":"r","Tenant":"t","Class":"c","Service":"s","Kind":"Query"}`
	for _, test := range []struct{ name, input, want string }{
		{"good", body, ""},
		{"truncated", body[:20], "decode message"},
		{"unknown field", `{"Tenant":"t","Surprise":1}`, "unknown field"},
		{"trailing data", body + body, "followed by more data"},
		{"oversized", `{"Terms":"` + strings.Repeat("x", 200) + `"}`, "larger than 100 bytes"},
		{"empty", "", "decode message"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode[Request](strings.NewReader(test.input), 100)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against a reply that is accepted for another sub-query.
func TestSubReplyCheckMatch(t *testing.T) {
	q := SubQuery{RequestID: "r", SubID: "q", Service: "s", StartID: "b", Kind: Query, Version: 2, Shard: 1, ShardCount: 4, Limit: 1}
	good := SubReply{RequestID: "r", SubID: "q", Service: "s", StartID: "b", Version: 2, Shard: 1, ShardCount: 4, Loaded: true}
	assert.NilError(t, good.CheckMatch(&q))
	for name, change := range map[string]func(*SubReply){
		"sub-query":   func(r *SubReply) { r.SubID = "p" },
		"request":     func(r *SubReply) { r.RequestID = "x" },
		"service":     func(r *SubReply) { r.Service = "x" },
		"version":     func(r *SubReply) { r.Version = 1 },
		"shard":       func(r *SubReply) { r.Shard = 2 },
		"shard count": func(r *SubReply) { r.ShardCount = 8 },
		"start":       func(r *SubReply) { r.StartID = "c" },
		"not loaded":  func(r *SubReply) { r.Loaded = false },
		"too many":    func(r *SubReply) { r.Records = make([]Record, 2) },
	} {
		r := good
		change(&r)
		assert.Assert(t, r.CheckMatch(&q) != nil, name)
	}
}

// Guards against an error of unknown type that becomes a refusal with a guarantee.
func TestAsRefusal(t *testing.T) {
	assert.Equal(t, AsRefusal(errors.New("boom")).Kind, OutcomeUnknown)
	assert.Equal(t, AsRefusal(Refuse(NotRun, "x")).Kind, NotRun)
}

// checkRoundTrip decodes data as a message of type T. A message that passes its check must
// pass it again after encoding and decoding.
func checkRoundTrip[T any, P interface {
	*T
	Checker
}](t *testing.T, data []byte) {
	v, err := Decode[T, P](bytes.NewReader(data), MaxReplyBytes)
	if err != nil {
		return
	}
	encoded, err := json.Marshal(v)
	assert.NilError(t, err)
	_, err = Decode[T, P](bytes.NewReader(encoded), 2*MaxReplyBytes)
	assert.NilError(t, err)
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []any{
		Request{Kind: Query, Tenant: "t", Class: "c", Service: "s"},
		Hello{LeafID: "l", StartID: "b", Service: "s", Holdings: []Holding{{Version: 1, ShardCount: 1}}},
		SubReply{SubID: "q", Records: []Record{{Key: "k"}}},
		InstanceList{Revision: 1, Instances: []Instance{{ID: "i", Role: RoleLeaf, Zone: "a", Addr: "x", State: StateLive}}},
	} {
		data, err := json.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip[Request](t, data)
		checkRoundTrip[Answer](t, data)
		checkRoundTrip[Refusal](t, data)
		checkRoundTrip[Hello](t, data)
		checkRoundTrip[SubQuery](t, data)
		checkRoundTrip[SubReply](t, data)
		checkRoundTrip[LeafError](t, data)
		checkRoundTrip[Entry](t, data)
		checkRoundTrip[InstanceList](t, data)
	})
}
