package traccount

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is the time that a change of the members takes to be known everywhere. An
	// instance has no share of its own before it has been a member for that long, keeps to the
	// smallest of its shares in that time, and regards later arrivals as no owners.
	settleTime = 3 * time.Second
	// relayRatio is how many times the processor time of the smallest instance one has that
	// serves queries of others. It equals trgateway.RelayRatio.
	relayRatio = 3
	// relayShare is the share of all rates that belongs to the instances that serve the queries
	// of others, which count most requests.
	relayShare = 0.75
	// ownerRatio excludes instances with less than this part of the largest processor time from
	// being owners.
	ownerRatio = 0.5
	// ownerCandidates is how many members an instance tries as owners of a slot. The first one
	// fails if it is frozen or cut off, the others only with most of the fleet.
	ownerCandidates = 3
)

// Member is an instance that counts requests. Instances that have left are no members; those
// that cannot be reached are, because they may still be serving.
type Member struct {
	ID         string
	PeerAddr   string
	MilliCores int       // 0 if not known
	Alive      bool      // it answers, as far as this instance knows
	Started    time.Time // start of its process
}

// fleet holds what an instance knows of the members.
type fleet struct {
	self     string
	joined   time.Time   // since when the members are known; zero if they are not
	young    bool        // no process is older than settleTime: nobody can hold shares yet
	settled  bool        // this instance has a share
	shares   []pastShare // of this instance, oldest first
	counters int         // instances with an allowance; 0 if this one has none
	size     int
	covered  float64             // part of the fleet that the members cover
	ranked   [slotCount][]Member // alive members that may own a slot, best first
}

// pastShare is a share of this instance and when it was last the current one.
type pastShare struct {
	share    float64
	lastSeen time.Time
}

// update recomputes the fleet from the members, which include this instance and cover a part of
// the fleet.
func (f *fleet) update(members []Member, covered float64, now time.Time) {
	f.covered = covered
	least, most, large := leastAndMost(members)
	selfLarge := false
	f.young = true
	var old, all []Member
	for _, m := range members {
		established := now.Sub(m.Started) >= settleTime
		f.young = f.young && !established
		if m.ID == f.self {
			selfLarge = large > 0 && m.MilliCores >= relayRatio*least
		}
		if m.Alive && float64(m.MilliCores) >= ownerRatio*float64(most) {
			all = append(all, m)
			if established {
				old = append(old, m)
			}
		}
	}
	f.settled = f.settled || !f.joined.IsZero() && (f.young || now.Sub(f.joined) >= settleTime)
	f.size = len(members)
	if len(old) == 0 && len(all) > 0 {
		// The first process of a fleet that has just started owns everything at first: owners
		// that differ between instances would grant too much.
		old = []Member{slices.MinFunc(all, func(a, b Member) int {
			return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.ID, b.ID))
		})}
	}
	for i := range f.ranked {
		f.ranked[i] = rank(i, old)
	}
	share := 1 / float64(max(1, f.size))
	f.counters = f.size
	switch small := f.size - large; {
	case large == 0 || small == 0:
	case selfLarge:
		share, f.counters = relayShare/float64(large), large
	default:
		share, f.counters = (1-relayShare)/float64(small), 0
	}
	f.observe(share*covered, now)
}

// leastAndMost returns the least and the most processor time of members, and how many have so
// much that they serve queries of others.
func leastAndMost(members []Member) (least, most, large int) {
	for _, m := range members {
		if m.MilliCores > 0 && (least == 0 || m.MilliCores < least) {
			least = m.MilliCores
		}
		most = max(most, m.MilliCores)
	}
	for _, m := range members {
		if least > 0 && m.MilliCores >= relayRatio*least {
			large++
		}
	}
	return least, most, large
}

// observe records the current share.
func (f *fleet) observe(share float64, now time.Time) {
	if n := len(f.shares); n > 0 {
		f.shares[n-1].lastSeen = now
	}
	f.shares = slices.DeleteFunc(f.shares, func(s pastShare) bool { return now.Sub(s.lastSeen) >= settleTime })
	if n := len(f.shares); n == 0 || f.shares[n-1].share != share {
		f.shares = append(f.shares, pastShare{share, now})
	}
}

// share returns the smallest share of this instance within settleTime, 0 while others may not
// know this instance.
func (f *fleet) share() float64 {
	if !f.settled || len(f.shares) == 0 {
		return 0
	}
	least := f.shares[0].share
	for _, s := range f.shares {
		least = min(least, s.share)
	}
	return least
}

// rank returns the members with the highest weights for a slot in rendezvous hashing, the highest
// first.
func rank(slot int, members []Member) []Member {
	type candidate struct {
		weight uint64
		member Member
	}
	list := make([]candidate, len(members))
	for i, m := range members {
		list[i] = candidate{xxhash.Sum64(append(binary.AppendUvarint(nil, uint64(slot)), m.ID...)), m}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.ID, b.member.ID))
	})
	best := make([]Member, min(len(list), ownerCandidates))
	for i := range best {
		best[i] = list[i].member
	}
	return best
}
