package trrollout

import (
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trdirectory"
)

// slowFactor is the ratio of a latency to the usual latency of its route from which a reply
// counts as slow. Service times of a healthy upstream vary by a third; a bad version is
// several times slower.
const slowFactor = 2.5

// Observation is the outcome of one request to an upstream, as far as it tells something about
// the upstream's version. Connections that cannot be opened, corrupt replies and cut off ones
// say more about the machine and the network, and are not observed.
type Observation struct {
	Failed bool
	// Ratio is the latency without the network's, divided by the median latency of the route
	// at this instance. For a request whose reply was not awaited to the end, it is the ratio
	// at which waiting ended, and counts only if that is slow.
	Ratio float64
	// Cold is set if the upstream was cold. It may then be slow whatever its version is.
	Cold bool
}

// Count counts the observed replies of one upstream to the requests of one route.
type Count struct {
	Replies  uint64 `json:"Replies"`
	Failures uint64 `json:"Failures,omitempty"`
	Timed    uint64 `json:"Timed,omitempty"` // replies whose latency tells something
	Slow     uint64 `json:"Slow,omitempty"`  // of Timed
}

// Add counts an observation. A cold upstream may be slow, so only its fast replies have a
// latency that tells something.
func (c *Count) Add(o Observation) {
	c.Replies++
	slow := o.Ratio >= slowFactor
	switch {
	case o.Failed:
		c.Failures++
	case !slow:
		c.Timed++
	case !o.Cold:
		c.Timed++
		c.Slow++
	}
}

func (c Count) plus(o Count) Count {
	return Count{c.Replies + o.Replies, c.Failures + o.Failures, c.Timed + o.Timed, c.Slow + o.Slow}
}

// minus returns the counts since an earlier state. The result has no negative counts, although
// the counts of an instance that has started anew begin at zero.
func (c Count) minus(o Count) Count {
	sub := func(a, b uint64) uint64 { return a - min(a, b) }
	return Count{sub(c.Replies, o.Replies), sub(c.Failures, o.Failures), sub(c.Timed, o.Timed), sub(c.Slow, o.Slow)}
}

// TallyKey says which requests a Count counts.
type TallyKey struct {
	Upstream trdirectory.UpstreamKey
	Route    string
	Target   bool // the upstream runs the target version
}

// Tally is the Count of one TallyKey in a Report.
type Tally struct {
	UpstreamID string `json:"UpstreamID"`
	BornMs     int64  `json:"BornMs"`
	Route      string `json:"Route"`
	Target     bool   `json:"Target,omitempty"`
	Counts     Count  `json:"Counts"`
}

// Key returns the key of the tally.
func (t *Tally) Key() TallyKey {
	return TallyKey{trdirectory.UpstreamKey{ID: t.UpstreamID, BornMs: t.BornMs}, t.Route, t.Target}
}

const (
	// MaxTallies limits the tallies in a report: some routes of some tens of upstreams.
	MaxTallies = 512
	// maxCount is the highest count in a report. Sums of counts over a fleet do not overflow.
	maxCount = 1 << 40
)

// Report is what one instance knows of the roll-out of one service. All counts are cumulative
// since the order, so that a lost report or a new leader loses nothing.
type Report struct {
	From          string `json:"From"`       // ID of the instance
	Generation    uint64 `json:"Generation"` // of the process; counts of different generations add up
	Service       string `json:"Service"`
	OrderRevision uint64 `json:"OrderRevision"`
	// Sequence and Phase are those of the plan of this order that is in force at the instance.
	Sequence   uint64            `json:"Sequence"`
	Phase      trdirectory.Phase `json:"Phase"`
	Requests   uint64            `json:"Requests"`   // written to upstreams of the service
	Exposed    uint64            `json:"Exposed"`    // of these, written to the target version
	RunningOld int               `json:"RunningOld"` // requests to other versions without an outcome
	Stopped    bool              `json:"Stopped"`    // the instance has seen enough bad replies itself
	Tallies    []Tally           `json:"Tallies"`
}

// Check reports the first error in the report.
func (r *Report) Check() error {
	switch {
	case r.From == "" || r.Service == "" || max(len(r.From), len(r.Service)) > trdirectory.MaxNameBytes:
		return errors.New("report has no valid sender or service")
	case r.RunningOld < 0:
		return errors.New("report has a negative number of running requests")
	case max(r.Requests, r.Exposed) > maxCount || r.Exposed > r.Requests:
		return errors.Errorf("report counts %d exposed of %d requests", r.Exposed, r.Requests)
	case len(r.Tallies) > MaxTallies:
		return errors.Errorf("report has %d tallies, limit is %d", len(r.Tallies), MaxTallies)
	}
	for i := range r.Tallies {
		t := &r.Tallies[i]
		c := &t.Counts
		if c.Replies > maxCount || c.Failures > c.Replies || c.Timed > c.Replies || c.Slow > c.Timed || max(len(t.UpstreamID), len(t.Route)) > trdirectory.MaxNameBytes {
			return errors.Errorf("report has an invalid tally of upstream %.64q", t.UpstreamID)
		}
	}
	return nil
}

// Sums are the counts of all instances together.
type Sums map[TallyKey]Count

// Sample is the state of the sums at a time.
type Sample struct {
	At   time.Time
	Sums Sums
}
