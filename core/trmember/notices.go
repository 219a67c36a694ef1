package trmember

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// maxNotices limits the size of the notice table; the target scale has 6,700 leafs.
const maxNotices = 8_192

// recentNoticeAge is how long after its last change a notice is still sent to joining
// members. It is much longer than a leaf takes to warm up or to drain.
const recentNoticeAge = 10 * time.Minute

// Notice is what instances report to each other about a leaf: its StartID, when that
// was first seen, and whether the leaf is draining.
type Notice struct {
	LeafID   string `json:"LeafID"`
	StartID  string `json:"StartID"`
	Draining bool   `json:"Draining,omitempty"`
	AgeMs    int64  `json:"AgeMs"` // since any instance first saw StartID
}

// Check returns an error if the notice is invalid.
func (n *Notice) Check() error {
	if n.LeafID == "" || len(n.LeafID) > trwire.MaxNameBytes || n.StartID == "" || len(n.StartID) > trwire.MaxNameBytes {
		return errors.Errorf("notice has an empty or too long leaf ID %.32q or start ID %.32q", n.LeafID, n.StartID)
	}
	if n.AgeMs < 0 || n.AgeMs > maxAgeMs {
		return errors.Errorf("notice of leaf %q has age %d ms out of range", n.LeafID, n.AgeMs)
	}
	return nil
}

// LeafInfo is what this instance knows about a leaf from notices and from its own
// connections.
type LeafInfo struct {
	LeafID    string
	StartID   string
	Draining  bool
	FirstSeen time.Time // on the local clock; late by at most the transmission time of notices
}

// Notices is the table of leaf notices of a Group.
type Notices struct {
	now  func() time.Time
	push func([]Notice)

	mu    sync.Mutex
	leafs map[string]*leafEntry
	queue updateQueue
	subs  subscribers[LeafInfo]
}

type leafEntry struct {
	LeafInfo
	changed time.Time
}

// Observe records what a leaf reported on this instance's own connection.
// A StartID that differs from the one held counts as first seen now, which errs
// towards treating the leaf as cold. A leaf that drains does so until its StartID
// changes.
func (n *Notices) Observe(leafID, startID string, draining bool) {
	now := n.now()
	n.mu.Lock()
	held := n.leafs[leafID]
	if held != nil && held.StartID == startID && (held.Draining || !draining) {
		n.mu.Unlock()
		return
	}
	info := LeafInfo{LeafID: leafID, StartID: startID, Draining: draining, FirstSeen: now}
	if held != nil && held.StartID == startID {
		info.FirstSeen = held.FirstSeen
	}
	n.store(info, now)
	n.mu.Unlock()
	n.publish([]LeafInfo{info}, now)
}

// Get returns what is known about a leaf.
func (n *Notices) Get(leafID string) (info LeafInfo, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.leafs[leafID]; e != nil {
		return e.LeafInfo, true
	}
	return LeafInfo{}, false
}

// Subscribe calls f with the LeafInfo of every changed leaf until stop is called.
// Calls may overlap; Get returns the current one.
func (n *Notices) Subscribe(f func(LeafInfo)) (stop func()) { return n.subs.add(f) }

// merge adopts the received notices that are newer and passes them on.
func (n *Notices) merge(list []Notice) {
	if len(list) == 0 {
		return
	}
	now := n.now()
	var changed []LeafInfo
	n.mu.Lock()
	for _, in := range list {
		received := LeafInfo{in.LeafID, in.StartID, in.Draining, now.Add(-time.Duration(in.AgeMs) * time.Millisecond)}
		held := n.leafs[in.LeafID]
		switch {
		case held == nil:
		case held.StartID == in.StartID:
			// Ages do not include the transmission time, so the earliest time is the
			// most accurate.
			earlier := received.FirstSeen.Before(held.FirstSeen)
			if !earlier {
				received.FirstSeen = held.FirstSeen
			}
			if !received.Draining || held.Draining {
				held.FirstSeen = received.FirstSeen
				continue
			}
		case !received.FirstSeen.After(held.FirstSeen):
			continue
		}
		n.store(received, now)
		changed = append(changed, received)
	}
	n.mu.Unlock()
	n.publish(changed, now)
}

// store replaces the entry of a leaf and queues it for dissemination. The caller
// holds n.mu.
func (n *Notices) store(info LeafInfo, now time.Time) {
	if n.leafs[info.LeafID] == nil && len(n.leafs) >= maxNotices {
		n.evict()
	}
	n.leafs[info.LeafID] = &leafEntry{info, now}
	n.queue.add(info.LeafID)
}

func (n *Notices) evict() {
	var oldest *leafEntry
	for _, e := range n.leafs {
		if oldest == nil || e.changed.Before(oldest.changed) {
			oldest = e
		}
	}
	delete(n.leafs, oldest.LeafID)
	n.queue.drop(oldest.LeafID)
}

func (n *Notices) publish(changed []LeafInfo, now time.Time) {
	if len(changed) == 0 {
		return
	}
	list := make([]Notice, len(changed))
	for i, info := range changed {
		n.subs.notify(info)
		list[i] = info.notice(now)
	}
	n.push(list)
}

// take returns up to limit queued notices for one message.
func (n *Notices) take(limit, maxSends int) []Notice {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Notice
	for _, id := range n.queue.take(limit, maxSends) {
		list = append(list, n.leafs[id].notice(now))
	}
	return list
}

// recent returns the notices for a joining member, newest first.
func (n *Notices) recent() []Notice {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Notice
	for _, e := range n.leafs {
		if now.Sub(e.changed) < recentNoticeAge {
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

// updateQueue holds the names of changed entries and how many times each was sent.
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

// take returns up to limit names, least often sent first, and removes those that
// have then been sent maxSends times.
func (q *updateQueue) take(limit, maxSends int) []string {
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
		if q.sent[name] >= maxSends {
			delete(q.sent, name)
		}
	}
	return names
}
