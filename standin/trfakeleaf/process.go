package trfakeleaf

import (
	"container/list"
	"context"
	"time"

	"tanagerrock/core/trwire"
)

// rateWindow is the window of the rate limit of a cold leaf.
const rateWindow = time.Second

// process is the state of a leaf from a start to the next restart. Its fields are
// guarded by Leaf.mu.
type process struct {
	startID   string
	started   time.Time
	ctx       context.Context // done when the process ends
	cancel    context.CancelFunc
	conns     map[*conn]bool
	inFlight  int         // sub-queries admitted and not ended
	running   int         // sub-queries that hold a slot
	waiting   *list.List  // of *admission, in order of arrival
	arrivals  []time.Time // arrivals within the rate window, only during the cold phase
	lastSubID string      // SubID of the last sub-query that was answered, for crossed replies
}

// admission is a sub-query that holds a slot or waits for one.
type admission struct {
	granted chan struct{} // closed when a slot is granted
	element *list.Element // element of process.waiting, nil once a slot is granted
}

func newProcess(startID string, now time.Time) *process {
	ctx, cancel := context.WithCancel(context.Background())
	return &process{
		startID: startID,
		started: now,
		ctx:     ctx,
		cancel:  cancel,
		conns:   map[*conn]bool{},
		waiting: list.New(),
	}
}

// admit admits a sub-query. If the process is cold and the sub-query exceeds
// ColdConcurrent or ColdPerSecond, it returns the name of that limit. Otherwise it
// returns LeafShed if all slots and the queue are full.
func (p *process) admit(cfg *Config, now time.Time) (a *admission, kind trwire.LeafErrorKind, exceeded string) {
	if p.cold(cfg, now) {
		if exceeded = p.countArrival(cfg, now); exceeded != "" {
			return nil, "", exceeded
		}
	}
	if p.running >= cfg.Slots && p.waiting.Len() >= cfg.Queue {
		return nil, trwire.LeafShed, ""
	}
	a = &admission{granted: make(chan struct{})}
	p.inFlight++
	if p.running < cfg.Slots {
		p.grant(a)
	} else {
		a.element = p.waiting.PushBack(a)
	}
	return a, "", ""
}

// cold reports whether the process is in its cold phase.
func (p *process) cold(cfg *Config, now time.Time) bool {
	return now.Sub(p.started) < time.Duration(cfg.ColdMs)*time.Millisecond
}

// countArrival counts an arrival during the cold phase and returns the name of the limit
// that it exceeds, or "". ColdConcurrent limits the sub-queries in flight, ColdPerSecond
// the arrivals in any window of a second.
func (p *process) countArrival(cfg *Config, now time.Time) string {
	for len(p.arrivals) > 0 && now.Sub(p.arrivals[0]) >= rateWindow {
		p.arrivals = p.arrivals[1:]
	}
	p.arrivals = append(p.arrivals, now)
	switch {
	case p.inFlight+1 > cfg.ColdConcurrent:
		return "ColdConcurrent"
	case float64(len(p.arrivals)) > cfg.ColdPerSecond:
		return "ColdPerSecond"
	}
	return ""
}

func (p *process) grant(a *admission) {
	a.element = nil
	p.running++
	close(a.granted)
}

// release ends a sub-query. If it held a slot, the first waiting one gets the slot.
func (p *process) release(a *admission) {
	p.inFlight--
	if a.element != nil {
		p.waiting.Remove(a.element)
		return
	}
	p.running--
	if first := p.waiting.Front(); first != nil {
		p.waiting.Remove(first)
		p.grant(first.Value.(*admission))
	}
}
