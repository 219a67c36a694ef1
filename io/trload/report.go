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

// Keys of ClassReport.Failures for requests that failed without a refusal.
const (
	failNoAnswer = "NoAnswer" // the call failed without an answer or a refusal
	failNotSent  = "NotSent"  // maxOutstanding was reached
)

// maxLagMs is the p99 of the generator's lag above which a report is marked as not
// valid, since the latencies then depend more on the machine than on the fleet. On an
// otherwise idle machine the p99 is 3 to 40 ms.
const maxLagMs = 50

// Report is the result of one phase under one policy.
type Report struct {
	Deployment string
	Scenario   string
	Phase      string
	Policy     string
	Seed       uint64
	Load       float64 // offered load, as a share of the capacity of all slots
	Seconds    float64 // length of the measured part
	Classes    []ClassReport
	Goodput    float64 // worth of complete answers per second
	Offered    float64 // worth of all requests per second
	WholeShare float64 // complete answers per request
	ExtraLoad  float64 // sub-queries sent divided by those needed, minus 1
	SubQueries int64   // sub-queries sent
	Needed     int64   // sub-queries that the requests needed, one per shard
	Hedges     int64
	Retries    int64
	Dials      int64
	Sheds      int64   // sub-queries that leafs shed
	Canceled   int64   // sub-queries that leafs stopped because they were canceled or timed out
	GapMs      float64 // longest time without a complete answer
	LagMs      float64 // p99 of the delay with which the generator sent requests
	Cores      float64 // processor time of the process per second
}

// ClassReport is the result for one class.
type ClassReport struct {
	Class    string
	Urgent   bool
	Worth    float64
	Requests int64
	Whole    int64            // complete answers
	Partial  int64            // partial answers
	Failures map[string]int64 // by refusal kind, NoAnswer or NotSent
	Coverage float64          // shards answered divided by shards needed
	P50Ms    float64          // latency of answers, from the scheduled time
	P99Ms    float64
	P999Ms   float64
}

// tally collects the results of the requests that are due in the measured part of a
// phase.
type tally struct {
	from    time.Time     // start of the measured part
	measure time.Duration // length of the measured part
	classes map[string]*classTally
	order   []string // classes in the order of the report

	mu          sync.Mutex
	lag         *hdrhistogram.Histogram
	completions []time.Time // times of complete answers
}

// classTally collects the results for one class.
type classTally struct {
	ClassReport
	policy         *trconfig.ClassPolicy
	latency        *hdrhistogram.Histogram
	shardsAnswered int
	shardsNeeded   int
}

// newHistogram returns a histogram of durations of up to a minute, in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newTally(s *Deployment, from time.Time, measure time.Duration) *tally {
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

// measured reports whether a request due at the given time belongs to the measured
// part.
func (t *tally) measured(due time.Time) bool { return !due.Before(t.from) }

func (t *tally) recordNotSent(a *Arrival, due time.Time) {
	if !t.measured(due) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[a.Request.Class]
	c.Requests++
	c.Failures[failNotSent]++
	c.shardsNeeded += a.Needed
}

func (t *tally) record(a *Arrival, due, now time.Time, lag time.Duration, answer *trwire.Answer, err error) {
	if !t.measured(due) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[a.Request.Class]
	c.Requests++
	_ = t.lag.RecordValue(max(1, lag.Microseconds()))
	c.shardsNeeded += a.Needed
	if err != nil {
		c.Failures[failureKind(err)]++
		return
	}
	c.shardsAnswered += min(a.Needed, answer.Coverage.Shards)
	_ = c.latency.RecordValue(min(now.Sub(due), time.Minute).Microseconds())
	if answer.Coverage.Complete() {
		c.Whole++
		t.completions = append(t.completions, now)
	} else {
		c.Partial++
	}
}

func failureKind(err error) string {
	var refusal *trwire.Refusal
	if errors.As(err, &refusal) {
		return string(refusal.Kind)
	}
	return failNoAnswer
}

// report returns the report of the measured part, given its counters. The fields that
// identify the run and the phase are left for the callers to set. The caller holds mu.
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
		if cl.shardsNeeded > 0 {
			cl.Coverage = float64(cl.shardsAnswered) / float64(cl.shardsNeeded)
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

// gap returns the longest time without a complete answer in the measured part.
func (t *tally) gap() time.Duration {
	slices.SortFunc(t.completions, time.Time.Compare)
	longest, last := time.Duration(0), t.from
	end := t.from.Add(t.measure)
	for _, at := range t.completions {
		if at.After(end) {
			break
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, end.Sub(last))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// UrgentP99Ms returns the highest P99Ms of the urgent classes.
func (r *Report) UrgentP99Ms() float64 {
	worst := 0.0
	for _, c := range r.Classes {
		if c.Urgent {
			worst = max(worst, c.P99Ms)
		}
	}
	return worst
}

// Print writes the reports to w as tables.
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
				c.Requests, c.Whole, c.Partial, c.P50Ms, c.P99Ms, c.P999Ms, 100*c.Coverage, formatFailures(c.Failures))
		}
	}
}

func formatFailures(counts map[string]int64) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
