package trdirectory

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Changes holds what changed in a directory between two revisions: for each key that
// was written in between, its value as of the later one. Applied to the directory of any
// revision from From on, it therefore yields the directory of To.
//
// The load is a fleet whose upstreams register and leave all the time. A change takes some
// hundred bytes, a directory of hundreds of upstreams thousands.
type Changes struct {
	From      uint64     `json:"From"`
	To        uint64     `json:"To"`
	Config    *Config    `json:"Config,omitempty"` // nil if it was not written
	Upstreams []Upstream `json:"Upstreams,omitempty"`
	Removed   []string   `json:"Removed,omitempty"` // IDs of upstreams that are not registered any more
	ZonesOut  []string   `json:"ZonesOut"`          // all of them
	Orders    []Order    `json:"Orders,omitempty"`
	Plans     []Plan     `json:"Plans,omitempty"`
	// Services whose order or plan was removed.
	RemovedOrders []string `json:"RemovedOrders,omitempty"`
	RemovedPlans  []string `json:"RemovedPlans,omitempty"`
}

// Check returns an error for the first invalid part of the changes.
func (c *Changes) Check() error {
	if c.From == 0 || c.From >= c.To {
		return errors.Errorf("changes are from revision %d to %d", c.From, c.To)
	}
	if EraOf(c.From) != EraOf(c.To) {
		return errors.Errorf("changes are from era %d to %d of the store", EraOf(c.From), EraOf(c.To))
	}
	if err := checkRollouts(c.Orders, c.Plans); err != nil {
		return err
	}
	return checkContents(c.Config, c.Upstreams)
}

// Encode returns the changes in encoded form.
func (c *Changes) Encode() ([]byte, error) { return encode(c) }

// DecodeChanges decodes and checks changes that were encoded by Encode. Invalid upstreams,
// orders and plans count as removed; see Decode.
func DecodeChanges(data []byte, onInvalid func(error)) (*Changes, error) {
	c := new(Changes)
	if err := decode(data, c); err != nil {
		return nil, err
	}
	var upstreams, orders, plans []string
	c.Upstreams, upstreams = splitInvalid(c.Upstreams, (*Upstream).Check, (*Upstream).id, onInvalid)
	c.Orders, orders = splitInvalid(c.Orders, (*Order).Check, (*Order).id, onInvalid)
	c.Plans, plans = splitInvalid(c.Plans, (*Plan).Check, (*Plan).id, onInvalid)
	c.Removed = append(c.Removed, upstreams...)
	c.RemovedOrders = append(c.RemovedOrders, orders...)
	c.RemovedPlans = append(c.RemovedPlans, plans...)
	return c, c.Check()
}

// apply returns the directory with the changes applied. The directory is not modified. It
// reports false if it lacks changes before c.From or has all of c already.
func (d *Directory) apply(c *Changes) (Directory, bool) {
	if d.Revision < c.From || d.Revision >= c.To {
		return *d, false
	}
	next := Directory{Revision: c.To, Config: cmp.Or(c.Config, d.Config), ZonesOut: c.ZonesOut}
	next.Orders = replaced(d.Orders, c.Orders, c.RemovedOrders, (*Order).id)
	next.Plans = replaced(d.Plans, c.Plans, c.RemovedPlans, (*Plan).id)
	written := make(map[string]bool, len(c.Upstreams)+len(c.Removed))
	for i := range c.Upstreams {
		written[c.Upstreams[i].ID] = true
	}
	for _, id := range c.Removed {
		written[id] = true
	}
	next.Upstreams = make([]Upstream, 0, len(d.Upstreams)+len(c.Upstreams))
	for i := range d.Upstreams {
		if !written[d.Upstreams[i].ID] {
			next.Upstreams = append(next.Upstreams, d.Upstreams[i])
		}
	}
	next.Upstreams = append(next.Upstreams, c.Upstreams...)
	slices.SortFunc(next.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return next, true
}

// replaced returns the list with written values in place of those of the same service, and
// without the removed ones, sorted by service. The list is not modified.
func replaced[T any](list, written []T, removed []string, service func(*T) string) []T {
	if len(written) == 0 && len(removed) == 0 {
		return list
	}
	next := slices.Clone(written)
	gone := slices.Clone(removed)
	for i := range written {
		gone = append(gone, service(&written[i]))
	}
	for i := range list {
		if !slices.Contains(gone, service(&list[i])) {
			next = append(next, list[i])
		}
	}
	slices.SortFunc(next, func(a, b T) int { return strings.Compare(service(&a), service(&b)) })
	return next
}
