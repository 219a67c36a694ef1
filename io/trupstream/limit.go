package trupstream

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes limits the size of a status line and header.
	maxHeadBytes = 64 << 10
	// maxReplyBytes limits the size of a reply body with its transfer encoding.
	maxReplyBytes = 8 << 20
	// smallReplyBytes is how much of a reply does not count against
	// Client.MaxPendingBytes, so that large replies do not make small ones fail.
	smallReplyBytes = 64 << 10
	// defaultMaxPendingBytes applies if Client.MaxPendingBytes is not set.
	defaultMaxPendingBytes = 8 * maxReplyBytes
)

// Errors of a replyReader.
var (
	errTooLong        = errors.New("reply or its head is too long")
	errTooManyPending = errors.New("too many bytes of incomplete replies")
)

// byteCount counts bytes against a limit.
type byteCount struct{ atomic.Int64 }

// take counts n more bytes and reports whether they are within the limit. If they are not,
// they are not counted.
func (c *byteCount) take(n, limit int64) bool {
	if c.Add(n) > limit {
		c.Add(-n)
		return false
	}
	return true
}

// replyReader reads replies from a connection. It fails when a server sends more than a
// reply may have, or more than the client may hold. The zero value with a source reads
// nothing until begin is called.
type replyReader struct {
	src     io.Reader
	client  *Client
	left    int64 // bytes that may still be read
	size    int64 // bytes read in the current exchange
	pending int64 // of these, bytes counted in client.pending
}

// begin allows limit more bytes to be read.
func (r *replyReader) begin(c *Client, limit int64) { r.client, r.left = c, limit }

// end ends an exchange: its bytes are no longer pending.
func (r *replyReader) end() {
	r.client.pending.Add(-r.pending)
	r.left, r.size, r.pending = 0, 0, 0
}

// Read implements io.Reader.
func (r *replyReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.src.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	r.size += int64(n)
	if more := r.size - smallReplyBytes - r.pending; more > 0 {
		if !r.client.pending.take(more, r.client.maxPending()) {
			return 0, errTooManyPending
		}
		r.pending += more
	}
	return n, err
}
