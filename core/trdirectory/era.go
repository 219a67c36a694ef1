package trdirectory

import "github.com/pkg/errors"

// The store counts eras: a new one begins when it comes back from an older copy of itself,
// after which it assigns the same revisions again. Revisions outside the store are composed
// of the era and the revision of the store, so that they compare by (era, revision).
const (
	// eraShift leaves 44 bits for the revision of the store: at 1,200 writes per second,
	// these last for centuries.
	eraShift = 44
	// MaxStoreRevision is the highest revision of the store that can be composed.
	MaxStoreRevision = 1<<eraShift - 1
	// MaxEra is the highest era. Composed revisions then fit in an int64, which metrics use.
	MaxEra = 1<<(63-eraShift) - 1
)

// ComposeRevision returns the composed revision for a revision of the store in an era. It
// returns an error if one of them is out of range.
func ComposeRevision(era, revision uint64) (uint64, error) {
	if era > MaxEra || revision > MaxStoreRevision {
		return 0, errors.Errorf("revision %d of era %d is out of range", revision, era)
	}
	return era<<eraShift | revision, nil
}

// SplitRevision is the reverse of ComposeRevision.
func SplitRevision(composed uint64) (era, revision uint64) {
	return composed >> eraShift, composed & MaxStoreRevision
}

// EraOf returns the era of a composed revision.
func EraOf(composed uint64) uint64 { return composed >> eraShift }
