package trcost

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of one reply in the moving average of slowness.
	slownessWeight = 0.25
	// slownessHalfLife is the half-life of the logarithm of slowness. Without the decay a slow
	// upstream that gets no requests would not be tried again.
	slownessHalfLife = 2 * time.Second
	// slownessThreshold is the slowness below which an upstream is treated as normal. Moving
	// requests to another zone for smaller differences costs cross-zone traffic and
	// connections.
	slownessThreshold = 1.7
	minSlowness       = 0.5
	maxSlowness       = 30.0
	// restShare is the least expected rest of an own request, as a share of its work: one that
	// takes longer than expected is not about to end.
	restShare = 0.25
	// reportMaxAge is how long a reported load is trusted before anything has been learned of
	// it; requests take 7 to 30 ms.
	reportMaxAge = 60 * time.Millisecond
	// mixWeight is the weight of one request in the average work of an upstream's requests.
	mixWeight = 1.0 / 16
	// paceBound bounds a reported pace, as a factor in both directions.
	paceBound = 10.0
	// maxReported bounds a reported number of requests; upstreams have a few slots.
	maxReported = 1000
	// maxFound bounds the rounds of queueing that are found in one reply. A pause is not due
	// to the requests in the queue.
	maxFound = 4.0
)

// Report is the load that an upstream reported with a reply.
type Report struct {
	Running, Waiting int // requests
	Pace             int // time that work takes there, in percent of the usual time; 0 if not reported
}

// pace returns the logarithm of the reported pace, which is 0 if it is as usual.
func (r *Report) pace() float64 {
	if r.Pace <= 0 {
		return 0
	}
	return math.Log(min(max(float64(r.Pace)/100, 1/paceBound), paceBound))
}

// Model holds what an instance has learned of the figures that its upstreams report. The zero
// value is ready to use and safe for concurrent use.
type Model struct {
	pace  Trust // of the logarithm of a reported pace
	queue Trust // of the wait behind reported requests, in units of the work of the request
}

// initialQueueTrust returns the trust in a reported number of requests before anything has been
// learned.
func initialQueueTrust(age time.Duration) float64 {
	if age <= reportMaxAge {
		return 1
	}
	return 0
}

// request is an own request in flight.
type request struct {
	id     uint64
	sent   time.Time
	lateAt time.Time
	work   time.Duration // expected
	slow   float64       // expected slowness, without pace
	// Of the latest report when it was sent: its age, the logarithm of its pace, and the
	// expected wait without and due to the reported requests, in units of work.
	age                   time.Duration
	pace, waitOwn, waitOn float64
}

// Backlog is what an instance knows of the work that one upstream process still has to do and of
// its speed: own requests in flight, the reported load, and the slowness of its replies. The zero
// value is ready to use. It is not safe for concurrent use.
type Backlog struct {
	Slots int // requests that the upstream runs at once; 0 means 1

	own      []request
	reportAt time.Time // zero if there is no report
	pace     float64   // logarithm of the reported pace
	others   float64   // reported requests that are not own ones

	// Moving averages of the expected work of own requests in seconds, and of its square.
	work, workSquare float64

	slowness float64 // moving average of the ratio of time to work; 0 means 1
	slowAt   time.Time
}

// Begin records a request that is sent, whose reply is overdue after lateAt.
func (b *Backlog) Begin(id uint64, est Estimate, lateAt, now time.Time) {
	r := request{id: id, sent: now, lateAt: lateAt, work: est.Work, slow: b.Slowness(now), age: math.MaxInt64}
	if !b.reportAt.IsZero() {
		r.age, r.pace = now.Sub(b.reportAt), b.pace
		if work := float64(est.Work); r.age < 2*reportMaxAge && work > 0 {
			r.waitOwn = float64(b.wait(0, r.slow, now)) / work
			r.waitOn = float64(b.wait(b.others, r.slow, now))/work - r.waitOwn
		}
	}
	b.own = append(b.own, r)
	seconds := est.Work.Seconds()
	b.work += mixWeight * (seconds - b.work)
	b.workSquare += mixWeight * (seconds*seconds - b.workSquare)
}

// End records that a request has ended. took is how long it spent at the upstream, or 0 if it was
// not answered; report is nil if none came with the reply. End returns the work that the request
// took, apart from queueing and from the slowness and pace of the upstream, or 0 if that is not
// known.
func (b *Backlog) End(m *Model, id uint64, took time.Duration, report *Report, now time.Time) time.Duration {
	r := b.remove(id)
	if report != nil {
		b.reportAt = now
		b.pace = report.pace()
		b.others = float64(max(0, min(report.Running, maxReported)+min(report.Waiting, maxReported)-len(b.own)))
	}
	if took <= 0 || r.work <= 0 {
		return 0
	}
	ratio := float64(took) / float64(r.work)
	if r.age < 2*reportMaxAge {
		found := min(max(ratio/r.slow-1-r.waitOwn, -1), maxFound)
		m.queue.Record(r.age, r.waitOn, found, initialQueueTrust(r.age))
	}
	if r.pace != 0 {
		m.pace.Record(r.age, r.pace, min(max(math.Log(ratio/r.slow), -1), 1), 0)
	}
	slow := r.slow
	if report != nil && report.Pace > 0 {
		pace := math.Exp(m.pace.At(0, 0) * b.pace)
		ratio /= pace
		slow *= pace
	}
	b.observe(min(max(ratio, minSlowness), maxSlowness), now)
	return time.Duration(float64(took)/slow - r.waitOwn*float64(r.work))
}

// remove removes an own request and returns it.
func (b *Backlog) remove(id uint64) request {
	for i := range b.own {
		if b.own[i].id == id {
			r := b.own[i]
			b.own = append(b.own[:i], b.own[i+1:]...)
			return r
		}
	}
	return request{}
}

// observe updates slowness with that of one reply.
func (b *Backlog) observe(ratio float64, now time.Time) {
	b.slowness = b.decayed(now)*(1-slownessWeight) + ratio*slownessWeight
	b.slowAt = now
}

// decayed returns slowness after its decay until now.
func (b *Backlog) decayed(now time.Time) float64 {
	if b.slowness == 0 {
		return 1
	}
	return math.Pow(b.slowness, math.Exp2(-float64(now.Sub(b.slowAt))/float64(slownessHalfLife)))
}

// Slowness returns the factor on the time that work takes at the upstream, 1 unless it is much
// slower than usual.
func (b *Backlog) Slowness(now time.Time) float64 {
	if b.slowness < slownessThreshold {
		return 1
	}
	if slow := b.decayed(now); slow >= slownessThreshold {
		return slow
	}
	return 1
}

// Overdue reports whether the reply to an own request other than except is overdue.
func (b *Backlog) Overdue(except uint64, now time.Time) bool {
	for i := range b.own {
		if r := &b.own[i]; r.id != except && now.After(r.lateAt) {
			return true
		}
	}
	return false
}

// wait returns the expected time until a slot is free, if others requests of other instances are
// at the upstream.
func (b *Backlog) wait(others, slowness float64, now time.Time) time.Duration {
	n, slots := float64(len(b.own))+others, float64(max(b.Slots, 1))
	if n+1 <= slots {
		return 0
	}
	rest := 0.0
	for i := range b.own {
		work := float64(b.own[i].work) * slowness
		rest += max(work-float64(now.Sub(b.own[i].sent)), restShare*work)
	}
	if others > 0 && b.work > 0 {
		// The mean work of requests that are found running, of which half is done.
		rest += others * slowness * b.workSquare / b.work / 2 * float64(time.Second)
	}
	return time.Duration(rest / n * (n + 1 - slots) / slots)
}

// Expected returns the expected time that a request takes at the upstream if it is sent now:
// queueing and work. The load are upstreams of two slots that some hundred instances ask, each
// rarely, and that slow down five to ten times for seconds.
func Expected(b *Backlog, m *Model, est Estimate, now time.Time) time.Duration {
	slow, others := b.Slowness(now), 0.0
	if !b.reportAt.IsZero() {
		age := now.Sub(b.reportAt)
		if b.others > 0 {
			others = b.others * m.queue.At(age, initialQueueTrust(age))
		}
		if b.pace != 0 {
			if trust := m.pace.At(age, 0); trust > 0 {
				slow *= math.Exp(trust * b.pace)
			}
		}
	}
	return b.wait(others, slow, now) + time.Duration(float64(est.Work)*slow)
}
