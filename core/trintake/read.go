package trintake

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned by ReadAll for a body above the limit.
var ErrTooLarge = errors.New("body is too large")

const (
	// firstBuffer is the first buffer of a body, in bytes. Most bodies fit.
	firstBuffer = 4 << 10
	// trustedBuffer is the number of bytes that must have arrived before the whole length
	// that a client states is reserved.
	trustedBuffer = 32 << 10
)

// ReadAll reads a body of the stated length, or of unknown length if it is negative, and
// reserves its memory in a before it allocates it. It returns ErrTooLarge above limit bytes,
// ErrFull if the memory is not available, or the error of r. After an error nothing is
// reserved; otherwise cap of the result is, until the caller releases it.
func ReadAll(r io.Reader, length, limit int64, a *Account) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case length == 0:
		return nil, nil
	}
	size := int64(firstBuffer)
	if length > 0 {
		size = min(length, firstBuffer)
	}
	if err := a.Reserve(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			a.Release(int64(cap(buf)))
			return nil, ErrTooLarge
		case int64(len(buf)) == length || err == io.EOF && length < 0:
			return buf, nil
		case err == io.EOF:
			err = io.ErrUnexpectedEOF
			fallthrough
		case err != nil:
			a.Release(int64(cap(buf)))
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		next := grow(int64(cap(buf)), length, limit)
		if err := a.Reserve(next); err != nil {
			a.Release(int64(cap(buf)))
			return nil, err
		}
		larger := make([]byte, len(buf), next)
		copy(larger, buf)
		a.Release(int64(cap(buf)))
		buf = larger
	}
}

// grow returns the size of the buffer after a full one of size bytes.
func grow(size, length, limit int64) int64 {
	next := 2 * size
	if length > 0 && size >= trustedBuffer {
		return length
	}
	if length > 0 {
		return min(next, length)
	}
	return min(next, limit+1) // one byte more shows that the body is too large
}

// Sizes estimates how large the next answer of each kind is, from the answers so far. The
// zero value is ready to use. It keeps at most maxKinds kinds.
type Sizes struct {
	mu    sync.Mutex
	kinds map[string]int64
}

const (
	// maxKinds bounds the memory of Sizes. Configurations have some tens of routes.
	maxKinds = 1024
	// sizeDecay is how many smaller answers it takes to forget a larger one, roughly.
	sizeDecay = 64
)

// Record records the size of an answer, in bytes.
func (s *Sizes) Record(kind string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind]
	switch {
	case !ok && len(s.kinds) >= maxKinds:
		return
	case s.kinds == nil:
		s.kinds = make(map[string]int64)
	}
	s.kinds[kind] = max(n, old-(old-n)/sizeDecay)
}

// Expected returns the size to expect, or 0 for an unknown kind.
func (s *Sizes) Expected(kind string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind]
}
