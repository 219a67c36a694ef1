package trdirectory

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// KeyDigest is the SHA-256 digest of a client key. Keys are secrets: only their digests are
// kept, logged and sent to other instances. A lookup by digest takes a time that does not
// depend on how much of a key was guessed.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a client key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the first bytes of the digest, which identify a key in a log.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Account is a client account: a customer whose requests are identified by keys.
type Account struct {
	Name string      `json:"Name"`
	Keys []KeyDigest `json:"Keys"`
	// Rank replaces the rank of the routes for the account's requests, unless it is nil.
	Rank *int `json:"Rank,omitempty"`
	// PerSecond is the rate of requests that all instances together may serve, in addition
	// to a burst of Burst requests. 0 means no limit.
	PerSecond float64 `json:"PerSecond"`
	Burst     float64 `json:"Burst"`
}

// Check returns an error for the first invalid field of the account.
func (a *Account) Check() error { return first(a.faults) }

func (a *Account) faults(yield func(path string, err error) bool) {
	switch {
	case (a.Name == "" || len(a.Name) > MaxNameBytes) &&
		!yield("Name", errors.Errorf("client account %.64q has no name or one of more than %d bytes", a.Name, MaxNameBytes)):
	case strings.ContainsFunc(a.Name, unicode.IsControl) && // the name is sent in a header field
		!yield("Name", errors.Errorf("client account %.64q has a name with a control character", a.Name)):
	case !(a.PerSecond >= 0 && a.PerSecond <= maxConfigured) &&
		!yield("PerSecond", errors.Errorf("client account %.64q has a rate of %v requests per second", a.Name, a.PerSecond)):
	case !(a.Burst >= 0 && a.Burst <= maxConfigured) &&
		!yield("Burst", errors.Errorf("client account %.64q has a burst of %v requests", a.Name, a.Burst)):
	}
}
