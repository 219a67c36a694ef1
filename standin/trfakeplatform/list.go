package trfakeplatform

import (
	"slices"
	"time"

	"tanagerrock/core/trwire"
)

// ListChange is a change of the instance list.
type ListChange struct {
	Add     []trwire.Instance `json:"Add"`     // added, or replaced if the ID is listed
	Remove  []string          `json:"Remove"`  // IDs
	Leaving []string          `json:"Leaving"` // IDs
	Live    []string          `json:"Live"`    // IDs
}

// SetInstances replaces the instance list. Readers see it after the lag.
func (p *Platform) SetInstances(instances []trwire.Instance) {
	p.changeList(func([]trwire.Instance) []trwire.Instance { return slices.Clone(instances) })
}

// ChangeInstances changes the instance list. Readers see it after the lag.
func (p *Platform) ChangeInstances(c ListChange) {
	p.changeList(func(list []trwire.Instance) []trwire.Instance {
		return c.apply(list)
	})
}

func (c ListChange) apply(list []trwire.Instance) []trwire.Instance {
	replaced := func(i trwire.Instance) bool {
		same := func(a trwire.Instance) bool { return a.ID == i.ID }
		return slices.Contains(c.Remove, i.ID) || slices.ContainsFunc(c.Add, same)
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

func (p *Platform) changeList(change func([]trwire.Instance) []trwire.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceList()
	newest := p.lists[len(p.lists)-1].list
	next := trwire.InstanceList{
		Revision:  newest.Revision + 1,
		Instances: change(slices.Clone(newest.Instances)),
	}
	p.lists = append(p.lists, listed{at: p.clock.Now(), list: next})
	p.note(Event{Type: EventListChanged, Version: next.Revision})
	p.wakeAfterLag()
}

// SetListLag sets the time after which readers see a change of the list. A
// longer lag never takes back what readers may have seen.
func (p *Platform) SetListLag(ms int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceList()
	p.lagMs = ms
	p.wakeAfterLag()
}

func (p *Platform) wakeAfterLag() {
	p.wake()
	for _, l := range p.lists[1:] {
		due := l.at.Add(p.lag()).Sub(p.clock.Now())
		if due <= 0 {
			continue
		}
		p.clock.After(due, func(time.Time) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.wake()
		})
	}
}

func (p *Platform) lag() time.Duration { return time.Duration(p.lagMs) * time.Millisecond }

// advanceList drops the lists that are no longer visible.
func (p *Platform) advanceList() {
	visible := p.clock.Now().Add(-p.lag())
	for len(p.lists) > 1 && !p.lists[1].at.After(visible) {
		p.lists = p.lists[1:]
	}
}

// Instances returns the list as readers see it now.
func (p *Platform) Instances() trwire.InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceList()
	return p.lists[0].list
}
