package trload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

// Kinds of failure that are no refusal.
const (
	failNoAnswer = "NoAnswer" // the call failed without a refusal
	failNotSent  = "NotSent"  // too many requests were outstanding
)

// maxLagMs is the p99 of the generator's delay above which a report tells more
// about the machine than about the fleet. Undisturbed runs have 3 to 40 ms.
const maxLagMs = 50

// Report is the result of one phase under one policy.
type Report struct {
	Deployment string
	Scenario   string
	Phase      string
	Policy     string
	Seed       uint64
	Load       float64 // share of all slots
	Seconds    float64 // measured
	Classes    []ClassReport
	Goodput    float64 // worth of whole answers per second
	Offered    float64 // worth of requests per second
	WholeShare float64 // whole answers per request
	ExtraLoad  float64 // sub-queries sent over those needed, minus 1
	SubQueries int64
	Needed     int64
	Hedges     int64
	Retries    int64
	Dials      int64
	Sheds      int64   // sub-queries that leafs shed
	Canceled   int64   // sub-queries that leafs gave up because the sender did or their time was over
	GapMs      float64 // longest time without a whole answer
	LagMs      float64 // p99 of the delay of the generator itself
	Cores      float64 // processor time of the whole process per second
}

// ClassReport is the result for one class.
type ClassReport struct {
	Class    string
	Urgent   bool
	Worth    float64
	Requests int64
	Whole    int64
	Partial  int64
	Failures map[string]int64 // by refusal kind
	Coverage float64          // shards answered over shards wanted
	P50Ms    float64          // of answers, from the scheduled time
	P99Ms    float64
	P999Ms   float64
}

// tally collects the results of the requests scheduled in the measured time.
type tally struct {
	from    time.Time
	measure time.Duration
	classes map[string]*classTally
	order   []string

	mu    sync.Mutex
	lag   *hdrhistogram.Histogram
	whole []time.Time // completions
}

type classTally struct {
	ClassReport
	policy  *trconfig.ClassPolicy
	latency *hdrhistogram.Histogram
	shards  int
	wanted  int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newTally(s *Settings, from time.Time, measure time.Duration) *tally {
	t := &tally{from: from, measure: measure, classes: make(map[string]*classTally), order: s.classes(), lag: newHistogram()}
	policy, _ := trconfig.Compile(s.document)
	for _, g := range s.Groups {
		for _, item := range g.Mix {
			p := policy.Class(item.Tenant, item.Class)
			t.classes[item.Class] = &classTally{
				ClassReport: ClassReport{
					Class: item.Class, Worth: p.Worth, Urgent: slices.Contains(s.Urgent, item.Class),
					Failures: make(map[string]int64),
				},
				policy: p, latency: newHistogram(),
			}
		}
	}
	return t
}

// counts reports whether a request due at the given time is in the measured
// part.
func (t *tally) counts(due time.Time) bool { return !due.Before(t.from) }

func (t *tally) unsent(a *Arrival, due time.Time) {
	if !t.counts(due) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[a.Request.Class]
	c.Requests++
	c.Failures[failNotSent]++
	c.wanted += a.Needed
}

func (t *tally) record(a *Arrival, due, now time.Time, lag time.Duration, answer *trwire.Answer, err error) {
	if !t.counts(due) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[a.Request.Class]
	c.Requests++
	_ = t.lag.RecordValue(max(1, lag.Microseconds()))
	c.wanted += a.Needed
	if err != nil {
		c.Failures[failureOf(err)]++
		return
	}
	c.shards += min(a.Needed, answer.Coverage.Shards)
	_ = c.latency.RecordValue(min(now.Sub(due), time.Minute).Microseconds())
	if answer.Coverage.Complete() {
		c.Whole++
		t.whole = append(t.whole, now)
	} else {
		c.Partial++
	}
}

func failureOf(err error) string {
	var refusal *trwire.Refusal
	if errors.As(err, &refusal) {
		return string(refusal.Kind)
	}
	return failNoAnswer
}

// report sums up. The caller holds mu.
func (t *tally) report(c counters) *Report {
	seconds := t.measure.Seconds()
	r := &Report{
		Seconds: seconds, SubQueries: c.Sent, Needed: c.Needed, Hedges: c.Hedges, Retries: c.Retries, Dials: c.Dials,
		Sheds: c.Sheds, Canceled: c.Canceled,
		GapMs: milliseconds(t.gap()), LagMs: float64(t.lag.ValueAtQuantile(99)) / 1000, Cores: c.CPU.Seconds() / seconds,
	}
	if c.Needed > 0 {
		r.ExtraLoad = float64(c.Sent)/float64(c.Needed) - 1
	}
	requests, whole := int64(0), int64(0)
	for _, name := range t.order {
		cl := t.classes[name]
		if cl.wanted > 0 {
			cl.Coverage = float64(cl.shards) / float64(cl.wanted)
		}
		cl.P50Ms = float64(cl.latency.ValueAtQuantile(50)) / 1000
		cl.P99Ms = float64(cl.latency.ValueAtQuantile(99)) / 1000
		cl.P999Ms = float64(cl.latency.ValueAtQuantile(99.9)) / 1000
		r.Classes = append(r.Classes, cl.ClassReport)
		r.Goodput += cl.Worth * float64(cl.Whole) / seconds
		r.Offered += cl.Worth * float64(cl.Requests) / seconds
		requests += cl.Requests
		whole += cl.Whole
	}
	if requests > 0 {
		r.WholeShare = float64(whole) / float64(requests)
	}
	return r
}

// gap returns the longest time without a whole answer in the measured part.
func (t *tally) gap() time.Duration {
	slices.SortFunc(t.whole, time.Time.Compare)
	longest, last := time.Duration(0), t.from
	end := t.from.Add(t.measure)
	for _, at := range t.whole {
		if at.After(end) {
			break
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, end.Sub(last))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// UrgentP99Ms returns the highest p99 of the urgent classes.
func (r *Report) UrgentP99Ms() float64 {
	worst := 0.0
	for _, c := range r.Classes {
		if c.Urgent {
			worst = max(worst, c.P99Ms)
		}
	}
	return worst
}

// Print writes the reports as tables.
func Print(w io.Writer, reports []*Report) {
	for _, r := range reports {
		fmt.Fprintf(w, "\n%s %s, phase %q, policy %s, seed %d, load %.0f%%, %.0f s\n",
			r.Deployment, r.Scenario, r.Phase, r.Policy, r.Seed, 100*r.Load, r.Seconds)
		fmt.Fprintf(w, "  whole %.3f%%  goodput %.0f of %.0f  extra load %.2f%% (%d hedges, %d retries, %d needed)  dials %d (%.3f/sub-query)\n",
			100*r.WholeShare, r.Goodput, r.Offered, 100*r.ExtraLoad, r.Hedges, r.Retries, r.Needed,
			r.Dials, float64(r.Dials)/float64(max(1, r.Needed)))
		fmt.Fprintf(w, "  at leafs %d shed, %d canceled  longest gap %.0f ms  generator lag p99 %.1f ms  cores %.1f\n",
			r.Sheds, r.Canceled, r.GapMs, r.LagMs, r.Cores)
		if r.LagMs > maxLagMs {
			fmt.Fprintln(w, "  NOT VALID: the machine was too busy to keep the schedule")
		}
		fmt.Fprintln(w, "  class             requests  whole  partial     p50      p99    p99.9  coverage  failures")
		for _, c := range r.Classes {
			mark := " "
			if c.Urgent {
				mark = "*"
			}
			fmt.Fprintf(w, "  %-16s%s %8d %6d %8d %7.1f %8.1f %8.1f %8.2f%%  %s\n", c.Class, mark,
				c.Requests, c.Whole, c.Partial, c.P50Ms, c.P99Ms, c.P999Ms, 100*c.Coverage, failures(c.Failures))
		}
	}
}

func failures(counts map[string]int64) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
