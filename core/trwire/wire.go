// Package trwire defines the messages exchanged between processes and their
// validation.
//
// Three protocols use these types: callers to instances, instances to leafs and
// instances to the platform. Every message is a struct whose JSON names are its
// field names. Messages between instances use the same names in msgpack. The Check
// method of a message reports the first fault of a decoded message.
//
// # Usage
//
//	req, err := trwire.Decode[trwire.Request](body, trwire.MaxRequestBytes)
//	if err != nil {
//		return trwire.Refuse(trwire.BadRequest, err.Error())
//	}
//
// Messages carry durations in milliseconds instead of points in time, because the
// clocks of different machines are not compared. The exception is the store's time,
// in HeaderStoreTimeMs.
package trwire

import (
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Size limits of decoded messages, in bytes.
const (
	MaxRequestBytes = 1 << 20
	MaxReplyBytes   = 4 << 20
	MaxValueBytes   = 1 << 20 // maximum size of a value in the platform's store
)

// Limits of message fields.
const (
	MaxNameBytes = 128
	MaxRecords   = 10_000
	MaxTimeoutMs = 60_000
)

// Checker is implemented by messages. Check validates a decoded message.
type Checker interface {
	Check() error
}

// Decode reads a single JSON value of at most limit bytes from r and checks it.
// Unknown fields, trailing data and input beyond the limit are errors.
func Decode[T any, P interface {
	*T
	Checker
}](r io.Reader, limit int64) (*T, error) {
	limited := &io.LimitedReader{R: r, N: limit + 1}
	dec := json.NewDecoder(limited)
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		if limited.N <= 0 {
			return nil, errors.Errorf("message is larger than %d bytes", limit)
		}
		return nil, errors.Wrap(err, "decode message")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("message is followed by more data or is too large")
	}
	if err := P(&v).Check(); err != nil {
		return nil, err
	}
	return &v, nil
}

// ShardOf returns the shard that holds key in an index of shardCount shards.
func ShardOf(key string, shardCount int) int {
	return int(xxhash.Sum64String(key) % uint64(shardCount))
}

func checkName(field, value string, required bool) error {
	if value == "" && required {
		return errors.Errorf("%s is missing", field)
	}
	if len(value) > MaxNameBytes {
		return errors.Errorf("%s is longer than %d bytes", field, MaxNameBytes)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
