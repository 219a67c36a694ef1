package trdirectory

import (
	"slices"
	"strings"
)

// Entry is the decoded value of one key of the store. At most one field is set.
// An empty entry stands for a key that was deleted or cannot be decoded.
type Entry struct {
	Config   *Config
	Upstream *Upstream
	ZoneOut  string // availability zone that operators took out of service
	Order    *Order // its revision is set by Entries.Set
	Plan     *Plan  // the same
}

func (e *Entry) empty() bool {
	return e.Config == nil && e.Upstream == nil && e.ZoneOut == "" && e.Order == nil && e.Plan == nil
}

// Entries collects the entries of the store. The zero value is empty.
type Entries struct {
	byKey    map[string]versionedEntry
	revision uint64
	// completeSince is the revision after which every change was passed to Set.
	completeSince uint64
}

type versionedEntry struct {
	Entry
	revision uint64
	removed  string // ID of the upstream that the entry held before it became empty
	// removedOrder and removedPlan are the services whose order or plan the entry held.
	removedOrder, removedPlan string
}

// Reset removes all entries, before all keys are read again. The listing lacks keys that
// were deleted, but all changes after the given revision will be passed to Set.
func (e *Entries) Reset(revision uint64) { *e = Entries{completeSince: revision} }

// Set sets the entry of a key as of a revision and reports whether it changed. It
// ignores a revision that is not newer than the known one of the key.
func (e *Entries) Set(key string, revision uint64, entry Entry) bool {
	if e.byKey == nil {
		e.byKey = make(map[string]versionedEntry)
	}
	e.revision = max(e.revision, revision)
	current, known := e.byKey[key]
	switch {
	case known && current.revision >= revision:
		return false
	case !known && entry.empty():
		return false
	case entry.empty():
		// The revision is kept so that an older write does not restore the key.
		next := versionedEntry{revision: revision, removed: current.removed, removedOrder: current.removedOrder, removedPlan: current.removedPlan}
		switch {
		case current.Upstream != nil:
			next.removed = current.Upstream.ID
		case current.Order != nil:
			next.removedOrder = current.Order.Service
		case current.Plan != nil:
			next.removedPlan = current.Plan.Service
		}
		e.byKey[key] = next
		return !current.empty()
	case entry.Order != nil:
		order := *entry.Order
		order.Revision, entry.Order = revision, &order
	case entry.Plan != nil:
		plan := *entry.Plan
		plan.Revision, entry.Plan = revision, &plan
	}
	e.byKey[key] = versionedEntry{Entry: entry, revision: revision}
	return true
}

// Revision returns the highest revision seen.
func (e *Entries) Revision() uint64 { return e.revision }

// Directory builds a directory from the entries, as of a revision.
func (e *Entries) Directory(revision uint64) *Directory {
	d := &Directory{Revision: revision}
	for _, entry := range e.byKey {
		switch {
		case entry.Config != nil:
			if d.Config == nil || entry.Config.Version > d.Config.Version {
				d.Config = entry.Config
			}
		case entry.Upstream != nil:
			d.Upstreams = append(d.Upstreams, *entry.Upstream)
		case entry.ZoneOut != "":
			d.ZonesOut = append(d.ZonesOut, entry.ZoneOut)
		case entry.Order != nil:
			d.Orders = append(d.Orders, *entry.Order)
		case entry.Plan != nil:
			d.Plans = append(d.Plans, *entry.Plan)
		}
	}
	sortRollouts(d.Orders, d.Plans)
	slices.SortFunc(d.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(d.ZonesOut)
	return d
}

// Changes returns what changed from one revision to a later one, up to which all changes
// have been passed to Set. It returns nil if changes after from may be missing.
func (e *Entries) Changes(from, to uint64) *Changes {
	if from < e.completeSince || from == 0 || from >= to {
		return nil
	}
	c := &Changes{From: from, To: to}
	for _, entry := range e.byKey {
		switch {
		case entry.ZoneOut != "":
			c.ZonesOut = append(c.ZonesOut, entry.ZoneOut)
		case entry.revision <= from:
		case entry.Config != nil:
			if c.Config == nil || entry.Config.Version > c.Config.Version {
				c.Config = entry.Config
			}
		case entry.Upstream != nil:
			c.Upstreams = append(c.Upstreams, *entry.Upstream)
		case entry.Order != nil:
			c.Orders = append(c.Orders, *entry.Order)
		case entry.Plan != nil:
			c.Plans = append(c.Plans, *entry.Plan)
		case entry.removed != "":
			c.Removed = append(c.Removed, entry.removed)
		case entry.removedOrder != "":
			c.RemovedOrders = append(c.RemovedOrders, entry.removedOrder)
		case entry.removedPlan != "":
			c.RemovedPlans = append(c.RemovedPlans, entry.removedPlan)
		}
	}
	sortRollouts(c.Orders, c.Plans)
	slices.Sort(c.ZonesOut)
	return c
}
