package trserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// maxListBytes bounds the size of an instance list after it was decompressed.
// 1,300 instances and 6,700 leafs take 0.94 MB.
const maxListBytes = 8 * trwire.MaxValueBytes

// encodeInstances returns the body of the document "instances": JSON in gzip.
// The list is sent whole with every change and its lines resemble each other, so
// that gzip leaves about an eighth.
func encodeInstances(list *trwire.InstanceList) ([]byte, error) {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return nil, errors.Wrap(err, "encode instance list")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress instance list")
	}
	return body.Bytes(), nil
}

func decodeInstances(body []byte) (*trwire.InstanceList, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "decompress instance list")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress instance list")
	}
	if len(plain) > maxListBytes {
		return nil, errors.Errorf("instance list has more than %d bytes", maxListBytes)
	}
	list := new(trwire.InstanceList)
	if err := json.Unmarshal(plain, list); err != nil {
		return nil, errors.Wrap(err, "decode instance list")
	}
	return list, list.Check()
}

// listDecoder keeps the last decoded list, since a document is decoded once for
// its check and once for its adoption.
type listDecoder struct {
	mu   sync.Mutex
	body []byte
	list *trwire.InstanceList
}

// decode returns the list of body, which must not be changed by the caller.
func (d *listDecoder) decode(body []byte) (*trwire.InstanceList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list != nil && bytes.Equal(d.body, body) {
		return d.list, nil
	}
	list, err := decodeInstances(body)
	if err != nil {
		return nil, err
	}
	d.body, d.list = body, list
	return list, nil
}

// forget frees the list after its adoption.
func (d *listDecoder) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.body, d.list = nil, nil
}
