package trmember

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// maxNotices bounds the table of notices; the target scale has 6,700 leafs.
const maxNotices = 8_192

// freshNotice is the age up to which a notice is given to a joining member. It
// is far above the time a leaf is cold or drains.
const freshNotice = 10 * time.Minute

// Notice is what instances tell each other of a leaf: its StartID, when it was
// first seen, and whether the leaf drains.
type Notice struct {
	LeafID   string `json:"LeafID"`
	StartID  string `json:"StartID"`
	Draining bool   `json:"Draining,omitempty"`
	AgeMs    int64  `json:"AgeMs"` // since any instance first saw StartID
}

// Check reports the first fault of the notice.
func (n *Notice) Check() error {
	if n.LeafID == "" || len(n.LeafID) > trwire.MaxNameBytes || n.StartID == "" || len(n.StartID) > trwire.MaxNameBytes {
		return errors.Errorf("notice of leaf %.32q start %.32q has an empty or too long name", n.LeafID, n.StartID)
	}
	if n.AgeMs < 0 || n.AgeMs > maxAgeMs {
		return errors.Errorf("notice of leaf %q has age %d ms", n.LeafID, n.AgeMs)
	}
	return nil
}

// LeafInfo is a notice as an instance holds it.
type LeafInfo struct {
	LeafID    string
	StartID   string
	Draining  bool
	FirstSeen time.Time // on the local clock, never later than the true time by more than the travel time
}

// Notices is the table of leaf notices. It is part of a Group.
type Notices struct {
	now  func() time.Time
	push func([]Notice)

	mu    sync.Mutex
	facts map[string]*leafEntry
	queue updateQueue
	subs  subscribers[LeafInfo]
}

type leafEntry struct {
	LeafInfo
	changed time.Time
}

// Observe records what a leaf said of itself on this instance's own connection.
// A StartID that differs from the one held counts as first seen now, which errs
// towards treating the leaf as cold.
func (n *Notices) Observe(leafID, startID string, draining bool) {
	now := n.now()
	n.mu.Lock()
	held := n.facts[leafID]
	if held != nil && held.StartID == startID && (held.Draining || !draining) {
		n.mu.Unlock()
		return
	}
	fact := LeafInfo{LeafID: leafID, StartID: startID, Draining: draining, FirstSeen: now}
	if held != nil && held.StartID == startID {
		fact.FirstSeen = held.FirstSeen
	}
	n.store(fact, now)
	n.mu.Unlock()
	n.announce([]LeafInfo{fact}, now)
}

// Get returns the fact held of a leaf.
func (n *Notices) Get(leafID string) (fact LeafInfo, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.facts[leafID]; e != nil {
		return e.LeafInfo, true
	}
	return LeafInfo{}, false
}

// Subscribe calls f with every changed fact until stop is called. Calls may
// overlap; Get returns the present fact.
func (n *Notices) Subscribe(f func(LeafInfo)) (stop func()) { return n.subs.add(f) }

// merge takes over received notices and passes changed ones on.
func (n *Notices) merge(list []Notice) {
	if len(list) == 0 {
		return
	}
	now := n.now()
	var changed []LeafInfo
	n.mu.Lock()
	for _, in := range list {
		got := LeafInfo{in.LeafID, in.StartID, in.Draining, now.Add(-time.Duration(in.AgeMs) * time.Millisecond)}
		held := n.facts[in.LeafID]
		switch {
		case held == nil:
		case held.StartID == in.StartID:
			// The travel time makes ages too small, so the earliest is closest.
			earlier := got.FirstSeen.Before(held.FirstSeen)
			if !earlier {
				got.FirstSeen = held.FirstSeen
			}
			if !got.Draining || held.Draining {
				held.FirstSeen = got.FirstSeen
				continue
			}
		case !got.FirstSeen.After(held.FirstSeen):
			continue
		}
		n.store(got, now)
		changed = append(changed, got)
	}
	n.mu.Unlock()
	n.announce(changed, now)
}

// store replaces the entry of a leaf and queues it. The caller holds n.mu.
func (n *Notices) store(fact LeafInfo, now time.Time) {
	if n.facts[fact.LeafID] == nil && len(n.facts) >= maxNotices {
		n.evict()
	}
	n.facts[fact.LeafID] = &leafEntry{fact, now}
	n.queue.add(fact.LeafID)
}

func (n *Notices) evict() {
	var oldest *leafEntry
	for _, e := range n.facts {
		if oldest == nil || e.changed.Before(oldest.changed) {
			oldest = e
		}
	}
	delete(n.facts, oldest.LeafID)
	n.queue.drop(oldest.LeafID)
}

func (n *Notices) announce(changed []LeafInfo, now time.Time) {
	if len(changed) == 0 {
		return
	}
	list := make([]Notice, len(changed))
	for i, fact := range changed {
		n.subs.call(fact)
		list[i] = fact.notice(now)
	}
	n.push(list)
}

// take returns up to limit queued notices for one message.
func (n *Notices) take(limit, retransmit int) []Notice {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Notice
	for _, id := range n.queue.take(limit, retransmit) {
		list = append(list, n.facts[id].notice(now))
	}
	return list
}

// fresh returns the notices for a joining member, newest first.
func (n *Notices) fresh() []Notice {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Notice
	for _, e := range n.facts {
		if now.Sub(e.changed) < freshNotice {
			list = append(list, e.notice(now))
		}
	}
	slices.SortFunc(list, func(a, b Notice) int {
		if a.AgeMs != b.AgeMs {
			return int(a.AgeMs - b.AgeMs)
		}
		return strings.Compare(a.LeafID, b.LeafID)
	})
	return list[:min(len(list), maxNoticesInMessage)]
}

func (f *LeafInfo) notice(now time.Time) Notice {
	age := min(max(0, now.Sub(f.FirstSeen).Milliseconds()), maxAgeMs)
	return Notice{f.LeafID, f.StartID, f.Draining, age}
}

// updateQueue holds names of changes with the number of times each was sent.
// The zero value is empty.
type updateQueue struct {
	sent map[string]int
}

func (q *updateQueue) add(name string) {
	if q.sent == nil {
		q.sent = make(map[string]int)
	}
	q.sent[name] = 0
}

func (q *updateQueue) drop(name string) { delete(q.sent, name) }

// take returns up to limit names, least often sent first, and drops those that
// have then been sent retransmit times.
func (q *updateQueue) take(limit, retransmit int) []string {
	if len(q.sent) == 0 {
		return nil
	}
	names := make([]string, 0, len(q.sent))
	for name := range q.sent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if q.sent[a] != q.sent[b] {
			return q.sent[a] - q.sent[b]
		}
		return strings.Compare(a, b)
	})
	names = names[:min(limit, len(names))]
	for _, name := range names {
		q.sent[name]++
		if q.sent[name] >= retransmit {
			delete(q.sent, name)
		}
	}
	return names
}
