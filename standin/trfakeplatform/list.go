package trfakeplatform

import (
	"slices"
	"time"

	"tanagerrock/core/trwire"
)

// ListChange describes a change of the instance list.
type ListChange struct {
	Add     []trwire.Instance `json:"Add"`     // instances to add, or to replace if the ID is listed
	Remove  []string          `json:"Remove"`  // IDs to remove
	Leaving []string          `json:"Leaving"` // IDs to mark as leaving
	Live    []string          `json:"Live"`    // IDs to mark as live
}

// SetInstances replaces the instance list. Readers see the change after the list lag.
func (p *Platform) SetInstances(instances []trwire.Instance) {
	p.updateList(func([]trwire.Instance) []trwire.Instance { return slices.Clone(instances) })
}

// ChangeInstances applies c to the instance list. Readers see the change after the
// list lag.
func (p *Platform) ChangeInstances(c ListChange) {
	p.updateList(func(list []trwire.Instance) []trwire.Instance {
		return c.apply(list)
	})
}

func (c ListChange) apply(list []trwire.Instance) []trwire.Instance {
	replaced := func(i trwire.Instance) bool {
		sameID := func(a trwire.Instance) bool { return a.ID == i.ID }
		return slices.Contains(c.Remove, i.ID) || slices.ContainsFunc(c.Add, sameID)
	}
	list = slices.DeleteFunc(list, replaced)
	list = append(list, c.Add...)
	for i := range list {
		if slices.Contains(c.Leaving, list[i].ID) {
			list[i].State = trwire.StateLeaving
		}
		if slices.Contains(c.Live, list[i].ID) {
			list[i].State = trwire.StateLive
		}
	}
	return list
}

func (p *Platform) updateList(change func([]trwire.Instance) []trwire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneLists()
	newest := p.lists[len(p.lists)-1].list
	next := trwire.InstanceList{
		Revision:  newest.Revision + 1,
		Instances: change(slices.Clone(newest.Instances)),
	}
	p.lists = append(p.lists, listRevision{at: p.clock.Now(), list: next})
	p.recordEvent(Event{Type: EventListChanged, Version: next.Revision})
	p.notifyAfterLag()
}

// SetListLag sets the delay after which readers see a change of the list. Increasing
// it never hides a change that readers may have seen already.
func (p *Platform) SetListLag(ms int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneLists()
	p.lagMs = ms
	p.notifyAfterLag()
}

// notifyAfterLag notifies waiting calls now and whenever a listed change becomes
// visible. The caller holds mu.
func (p *Platform) notifyAfterLag() {
	p.saveAndNotify()
	for _, l := range p.lists[1:] {
		remaining := l.at.Add(p.lag()).Sub(p.clock.Now())
		if remaining <= 0 {
			continue
		}
		p.clock.After(remaining, func(time.Time) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.saveAndNotify()
		})
	}
}

func (p *Platform) lag() time.Duration { return time.Duration(p.lagMs) * time.Millisecond }

// pruneLists drops the lists that a newer visible one has replaced. The caller holds mu.
func (p *Platform) pruneLists() {
	visible := p.clock.Now().Add(-p.lag())
	for len(p.lists) > 1 && !p.lists[1].at.After(visible) {
		p.lists = p.lists[1:]
	}
}

// Instances returns the list that readers see now.
func (p *Platform) Instances() trwire.InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneLists()
	return p.lists[0].list
}
