package trserver

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
)

func testList(lines int) *trwire.InstanceList {
	list := &trwire.InstanceList{Revision: 7}
	for i := range lines {
		list.Instances = append(list.Instances, trwire.Instance{
			ID: fmt.Sprintf("leaf-%d", i), Role: trwire.RoleLeaf, Service: "s", Zone: "a", Addr: "10.0.0.1:80", State: trwire.StateLive,
		})
	}
	return list
}

// Guards against a list that is changed on its way, that is sent without
// compression, or that is decoded twice for one document.
func TestInstanceListDocument(t *testing.T) {
	list := testList(1000)
	body, err := encodeInstances(list)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < 20_000, "%d bytes", len(body))
	var d listDecoder
	got, err := d.decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, list)
	again, err := d.decode(bytes.Clone(body))
	assert.NilError(t, err)
	assert.Assert(t, got == again)

	other, err := encodeInstances(testList(3))
	assert.NilError(t, err)
	changed, err := d.decode(other)
	assert.NilError(t, err)
	assert.Equal(t, len(changed.Instances), 3)
	d.forget()
	fresh, err := d.decode(other)
	assert.NilError(t, err)
	assert.Assert(t, fresh != changed)
}

// Guards against a faulty document that is adopted and passed on, and against a
// small one that takes all memory when it is decompressed.
func TestInstanceListFaults(t *testing.T) {
	whole, err := encodeInstances(testList(10))
	assert.NilError(t, err)
	bad := testList(2)
	bad.Instances[1].Role = "Other"
	badBody, err := encodeInstances(bad)
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
		{"plain", "decompress", []byte(`{"Revision":1}`)},
		{"cut", "decompress", whole[:len(whole)-9]},
		{"bad line", "unknown role", badBody},
		{"bomb", "more than", bomb.Bytes()},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d listDecoder
			_, err := d.decode(c.body)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
