package trfakeleaf

import (
	"container/list"
	"context"
	"time"

	"tanagerrock/core/trwire"
)

// rateWindow is the time over which the rate limit of a cold leaf is counted.
const rateWindow = time.Second

// process is the state of a leaf from one start to the next. Its fields are
// guarded by Leaf.mu.
type process struct {
	startID  string
	started  time.Time
	ctx      context.Context // ends with the process
	end      context.CancelFunc
	conns    map[*conn]bool
	inFlight int         // sub-queries admitted and not yet ended
	running  int         // sub-queries that hold a slot
	waiting  *list.List  // of *ticket, in order of arrival
	arrivals []time.Time // admissions within the rate window, cold phase only
	lastSub  string      // SubID seen last, for crossed replies
}

// ticket is the admission of one sub-query.
type ticket struct {
	granted chan struct{} // closed when a slot is granted
	element *list.Element // place among the waiting ones, nil once granted
}

func newProcess(startID string, now time.Time) *process {
	ctx, end := context.WithCancel(context.Background())
	return &process{
		startID: startID,
		started: now,
		ctx:     ctx,
		end:     end,
		conns:   map[*conn]bool{},
		waiting: list.New(),
	}
}

// admit takes a sub-query in. It returns Shed if slots and queue are full, and
// the limit that is exceeded if the leaf is cold and this is more than it bears.
func (p *process) admit(cfg *Config, now time.Time) (t *ticket, kind trwire.LeafErrorKind, excess string) {
	if p.cold(cfg, now) {
		if excess = p.excess(cfg, now); excess != "" {
			return nil, "", excess
		}
	}
	if p.running >= cfg.Slots && p.waiting.Len() >= cfg.Queue {
		return nil, trwire.LeafShed, ""
	}
	t = &ticket{granted: make(chan struct{})}
	p.inFlight++
	if p.running < cfg.Slots {
		p.grant(t)
	} else {
		t.element = p.waiting.PushBack(t)
	}
	return t, "", ""
}

func (p *process) cold(cfg *Config, now time.Time) bool {
	return now.Sub(p.started) < time.Duration(cfg.ColdMs)*time.Millisecond
}

// excess counts an arrival and returns the limit of a cold leaf that it exceeds:
// ColdConcurrent at once or ColdPerSecond in any window of a second.
func (p *process) excess(cfg *Config, now time.Time) string {
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

func (p *process) grant(t *ticket) {
	t.element = nil
	p.running++
	close(t.granted)
}

// release ends a sub-query and hands its slot to the first waiting one.
func (p *process) release(t *ticket) {
	p.inFlight--
	if t.element != nil {
		p.waiting.Remove(t.element)
		return
	}
	p.running--
	if first := p.waiting.Front(); first != nil {
		p.waiting.Remove(first)
		p.grant(first.Value.(*ticket))
	}
}
