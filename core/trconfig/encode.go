package trconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Encode returns the JSON encoding of doc used by the store and by peers.
func Encode(doc *Document) ([]byte, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(data) > trwire.MaxValueBytes {
		return nil, errors.Errorf("configuration has %d bytes, more than %d", len(data), trwire.MaxValueBytes)
	}
	return data, nil
}

// Decode decodes the output of Encode. Fields that are not in data get the values
// of BuiltInDefaults. Unknown fields are errors, so that a process never applies only
// the part of a document that it knows. Decode does not validate the content; Compile
// and Check do.
func Decode(data []byte) (*Document, error) {
	if len(data) > trwire.MaxValueBytes {
		return nil, errors.Errorf("configuration has %d bytes, more than %d", len(data), trwire.MaxValueBytes)
	}
	doc := &Document{Defaults: BuiltInDefaults()}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(doc); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("decode configuration: trailing data after the document")
	}
	return doc, nil
}

// Clone returns a deep copy of doc.
func Clone(doc *Document) *Document {
	c := *doc
	c.Tenants = slices.Clone(doc.Tenants)
	c.Classes = slices.Clone(doc.Classes)
	c.Services = slices.Clone(doc.Services)
	c.ZonesOut = slices.Clone(doc.ZonesOut)
	c.InstancesOut = slices.Clone(doc.InstancesOut)
	c.UpstreamsOut = slices.Clone(doc.UpstreamsOut)
	c.RecentChangeIDs = slices.Clone(doc.RecentChangeIDs)
	c.Exceptions = slices.Clone(doc.Exceptions)
	for i := range c.Exceptions {
		c.Exceptions[i].Set = slices.Clone(c.Exceptions[i].Set)
	}
	return &c
}
