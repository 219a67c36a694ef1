package trcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
)

// senderTable returns a table whose indexes are all held.
func senderTable(holders int) *trmember.SenderTable {
	t := &trmember.SenderTable{Revision: 1}
	for i := range holders {
		t.Entries = append(t.Entries, trmember.SenderEntry{
			Index: i, InstanceID: fmt.Sprintf("entry-%08x", i*2654435761&0xffffffff), Incarnation: 1 << 56, Zone: zones[0],
			PeerAddr: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256), Epoch: 1, RenewedMs: 1_800_000_000_000,
		})
	}
	return t
}

// BenchmarkSenderTable measures the lookup of a home and the decoding of one revision
// of the table. It also reports the share of request IDs whose home changes when one
// holder is lost.
func BenchmarkSenderTable(b *testing.B) {
	const requestIDs = 20_000
	for _, holders := range []int{9, 12, 90, 186, 1000} {
		t := senderTable(holders)
		body, err := json.Marshal(t)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("Home/%d", holders), func(b *testing.B) {
			lost := senderTable(holders)
			lost.Entries[holders/2].Released = true
			moved := 0
			for i := range requestIDs {
				id := fmt.Sprint("order-", i)
				before, _ := t.Home(id)
				after, _ := lost.Home(id)
				if before.Index != after.Index {
					moved++
				}
			}
			b.ResetTimer()
			for range b.N {
				t.Home("order-1")
			}
			b.ReportMetric(100*float64(moved)/requestIDs, "moved-%")
		})
		b.Run(fmt.Sprintf("Decode/%d", holders), func(b *testing.B) {
			for range b.N {
				if _, err := trmember.DecodeSenderTable(body, 1); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "JSON-B")
		})
	}
}

const (
	storeLatency = 4 * time.Millisecond
	// disseminationDelay is the time until all holders have a new document. See the
	// benchmarks of documents in core/trmember.
	disseminationDelay = 50 * time.Millisecond
	renewPeriod        = 2 * time.Second
	leaseMeasureTime   = 8 * time.Second
)

// casStore is a store with a single key, which is written by compare-and-swap.
type casStore struct {
	mu        sync.Mutex
	entry     trwire.Entry
	puts      int
	conflicts int
	bytes     int
}

type conflictError struct{ current *trwire.Entry }

func (conflictError) Error() string             { return "conflict" }
func (c conflictError) Conflict() *trwire.Entry { return c.current }

// counts returns the numbers of writes and of conflicts among them.
func (s *casStore) counts() (puts, conflicts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts, s.conflicts
}

func (s *casStore) Get(context.Context, string) (*trwire.Entry, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry
	return &e, nil
}

func (s *casStore) Put(_ context.Context, key string, r *trwire.PutRequest) (*trwire.Entry, error) {
	time.Sleep(storeLatency / 2)
	defer time.Sleep(storeLatency / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	s.bytes += len(r.Value)
	if r.PrevVersion != s.entry.Version {
		s.conflicts++
		e := s.entry
		return nil, conflictError{&e}
	}
	s.entry = trwire.Entry{Key: key, Value: r.Value, Version: s.entry.Version + 1}
	e := s.entry
	return &e, nil
}

// BenchmarkLease runs the leases of one table against a store with a latency of 4 ms.
// The renewal period is 2 s instead of the default of 10 s. It reports the writes per
// second, the conflicts per renewal, the document revisions per second and the time
// until all indexes are held. One measurement takes 8 s.
func BenchmarkLease(b *testing.B) {
	for _, holders := range []int{12, 37, 93} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			for range b.N {
				runLeases(b, holders)
			}
		})
	}
}

func runLeases(b *testing.B, holders int) {
	store := new(casStore)
	clock := trclock.System()
	fleet := trconfig.BuiltInDefaults().Fleet
	fleet.SenderIndexes, fleet.SenderRenewMs = holders, renewPeriod.Milliseconds()
	documents := make([]*trmember.Documents, holders)
	leases := make([]*trmember.SenderLease, holders)
	var mu sync.Mutex
	var newest uint64
	revisions := 0
	for i := range holders {
		self := trmember.Member{ID: fmt.Sprintf("entry-%04d", i), Zone: zones[0], PeerAddr: fmt.Sprintf("10.0.0.%d:7001", i)}
		group := trmember.NewGroup(trmember.Config{Self: self, Clock: clock, Seed: uint64(i)})
		documents[i] = group.Documents()
		storeClock := new(trmember.StoreClock)
		now := clock.Now()
		storeClock.Observe(now, now, now.Add(time.Millisecond))
		leases[i] = trmember.NewSenderLease(trmember.LeaseConfig{
			Group: zones[0], Self: group.Self, Clock: clock, Seed: uint64(i), Store: store, StoreClock: storeClock,
			Documents: documents[i], Policy: func() trconfig.FleetPolicy { return fleet },
		})
	}
	for i := range holders {
		documents[i].Subscribe(trmember.DocumentSenders, func(doc trmember.Document) {
			mu.Lock()
			isNew := doc.Revision > newest
			newest = max(newest, doc.Revision)
			if isNew {
				revisions++
			}
			mu.Unlock()
			if isNew {
				clock.After(disseminationDelay, func(time.Time) {
					for _, d := range documents {
						d.Set(doc)
					}
				})
			}
		})
	}
	start := time.Now()
	for _, l := range leases {
		l.Start()
	}
	claimTime := time.Duration(0)
	for claimTime == 0 && time.Since(start) < 2*leaseMeasureTime {
		held := 0
		for _, l := range leases {
			if _, _, ok := l.Sender(time.Now()); ok {
				held++
			}
		}
		if held == holders {
			claimTime = time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(renewPeriod)
	puts, conflicts := store.counts()
	mu.Lock()
	revisionsBefore := revisions
	mu.Unlock()
	time.Sleep(leaseMeasureTime)
	putsAfter, conflictsAfter := store.counts()
	mu.Lock()
	newRevisions := revisions - revisionsBefore
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, l := range leases {
		_ = l.Release(ctx)
	}
	renewals := float64(putsAfter - puts - (conflictsAfter - conflicts))
	b.ReportMetric(claimTime.Seconds(), "claim-s")
	b.ReportMetric(float64(putsAfter-puts)/leaseMeasureTime.Seconds(), "puts/s")
	b.ReportMetric(float64(conflictsAfter-conflicts)/max(1, renewals), "conflicts/renewal")
	b.ReportMetric(float64(newRevisions)/leaseMeasureTime.Seconds(), "documents/s")
}
