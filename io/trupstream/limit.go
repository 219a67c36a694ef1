package trupstream

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes limits the size of a status line and header.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a status line and header. A decoded field takes some
	// hundred bytes however short it is.
	maxHeadLines = 256
	// maxReplyBytes limits the size of a reply body with its transfer encoding.
	maxReplyBytes = 8 << 20
	// freeReplyBytes is how much of a reply does not count against Client.MaxPendingBytes. Every
	// connection has a buffer of this size.
	freeReplyBytes = 4 << 10
	// mediumReplyBytes is how much of a reply counts as medium. Medium and large bytes have
	// separate limits, so that large replies do not make smaller ones fail.
	mediumReplyBytes = 64 << 10
	// defaultMaxPendingBytes applies if Client.MaxPendingBytes is not set.
	defaultMaxPendingBytes = 8 * maxReplyBytes
)

// Errors of a replyReader.
var (
	errTooLong        = errors.New("reply or its head is too long")
	errTooManyLines   = errors.Errorf("head of the reply has more than %d lines", maxHeadLines)
	errTooManyPending = errors.New("too many bytes of incomplete replies")
)

// pendingBytes counts the bytes of all incomplete replies of a client.
type pendingBytes struct{ medium, large byteCount }

// byteCount counts bytes against a limit.
type byteCount struct{ atomic.Int64 }

// take counts n more bytes and reports whether they are within the limit. If they are not,
// they are not counted.
func (c *byteCount) take(n, limit int64) bool {
	if n > 0 && c.Add(n) > limit {
		c.Add(-n)
		return false
	}
	return true
}

// replyReader reads replies from a connection. It fails when a server sends more than a
// reply may have, or more than the client may hold. The zero value with a source reads
// nothing until beginHead or beginBody is called.
type replyReader struct {
	src           io.Reader
	client        *Client
	left          int64     // bytes that may still be read
	size          int64     // bytes read in the current exchange
	medium, large int64     // of these, bytes counted in client.pending
	head          headLines // of the head that is being read
}

// beginHead allows a head to be read, the beginning of which may be buffered.
func (r *replyReader) beginHead(c *Client, buffered []byte) error {
	r.client, r.left = c, maxHeadBytes
	r.head = headLines{}
	return r.head.count(buffered)
}

// beginBody allows a body to be read.
func (r *replyReader) beginBody(c *Client) {
	r.client, r.left, r.head.complete = c, maxReplyBytes, true
}

// end ends an exchange: its bytes are no longer pending.
func (r *replyReader) end() {
	r.client.pending.medium.Add(-r.medium)
	r.client.pending.large.Add(-r.large)
	r.left, r.size, r.medium, r.large = 0, 0, 0, 0
}

// Read implements io.Reader.
func (r *replyReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.src.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	r.size += int64(n)
	if tooMany := r.head.count(b[:n]); tooMany != nil {
		return 0, tooMany
	}
	if !r.countPending() {
		return 0, errTooManyPending
	}
	return n, err
}

// countPending counts the bytes read and reports whether the client may hold them.
func (r *replyReader) countPending() bool {
	pending, limit := &r.client.pending, r.client.maxPending()
	medium := min(max(r.size, freeReplyBytes), mediumReplyBytes) - freeReplyBytes
	if !pending.medium.take(medium-r.medium, limit) {
		return false
	}
	r.medium = medium
	large := max(r.size, mediumReplyBytes) - mediumReplyBytes
	if !pending.large.take(large-r.large, limit) {
		return false
	}
	r.large = large
	return true
}

// headLines counts the lines of a head up to the empty one. The zero value is ready to use.
type headLines struct {
	lines    int  // complete lines
	bytes    int  // of the current line so far
	last     byte // the last of these bytes
	complete bool // the empty line has been counted
}

// count counts the next bytes. It returns an error if the head has too many lines.
func (h *headLines) count(b []byte) error {
	for !h.complete && len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		line := b
		if i >= 0 {
			line = b[:i]
		}
		if len(line) > 0 {
			h.bytes, h.last = h.bytes+len(line), line[len(line)-1]
		}
		if i < 0 {
			return nil
		}
		h.complete = h.bytes == 0 || h.bytes == 1 && h.last == '\r'
		h.lines, h.bytes = h.lines+1, 0
		if h.lines > maxHeadLines {
			return errTooManyLines
		}
		b = b[i+1:]
	}
	return nil
}
