// Package trrollout moves the traffic of a service to upstreams of a new version.
//
// An operator's order names the target version and a deadline. One instance, the leader,
// decides in steps: it lets a small share of the requests go to the target version, compares
// the replies with those of the old version, and either moves all requests and completes the
// roll-out, or rolls it back. The steps are plans in the directory; every instance applies the
// plan it has, counts what it observes, and reports the counts to the leader.
//
// The load is a service of 3 to 40 requests per second in all, of which at most a tenth and
// some tens more may reach a bad version, on about a hundred instances that each see one
// request of the service in some seconds. No instance can judge a version by itself.
//
// # Usage
//
//	judge := trrollout.Judge{}
//	judge.Add(trrollout.Sample{At: now, Sums: sums})
//	verdict, reason := judge.Decide()
//	decision := trrollout.Exposure{Share: 0.1, Slack: 50}.Step(progress)
package trrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"tanagerrock/core/trdirectory"
)

// Verdict is the result of the comparison of a version with the old one.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota // too few replies to tell
	Good
	Bad
)

// String returns the name of the verdict, for logs.
func (v Verdict) String() string { return [...]string{"Undecided", "Good", "Bad"}[v] }

const (
	// badPortion is the least portion of bad replies that makes a version bad, beyond the
	// portion of the old version's replies that are as bad. The test compares the hypotheses
	// "no more than the old version" and "that much more".
	badPortion = 0.25
	// failureFloor and slowFloor are the least portions of failed and slow replies assumed
	// of a healthy version. Pauses of 120 ms every 3 s delay some 4% of the replies.
	failureFloor = 0.02
	slowFloor    = 0.06
	// maxOldPortion bounds the portion of the old version: beyond it the comparison tells
	// nothing.
	maxOldPortion = 0.6
	// priorReplies is the weight, in replies, of the floor in the portion of the old version.
	priorReplies = 20
	// badEvidence is the log-likelihood ratio from which a version is bad. It is reached by
	// chance about once in e^badEvidence replies.
	badEvidence = 7.0
	// goodEvidence is that below which all replies together speak for a good version.
	goodEvidence = -1.5
	// maxSuspicion is the evidence since any time up to which a version may still be good: a
	// version may turn bad late, and few replies tell of it at first.
	maxSuspicion = 2.8
	// upstreamSuspicion bounds what one upstream contributes to that. It is below maxSuspicion,
	// for the same reason as upstreamEvidence.
	upstreamSuspicion = 1.7
	// upstreamDoubt bounds it in the evidence of all replies, which must be well below zero: one
	// upstream in trouble must not hide that the others are healthy.
	upstreamDoubt = 0.5
	// upstreamEvidence bounds what one upstream contributes. It is below badEvidence, so that
	// a single failing or slow upstream never makes a version bad: the others, which are
	// healthy then, speak against it.
	upstreamEvidence = 3.8
	// minJudged is the least number of replies for a good verdict.
	minJudged = 14
	// maxSamples limits the samples that are kept, at one each 250 ms: some 100 kB for a
	// service of six upstreams. The older half is thinned out when there are more.
	maxSamples = 32
)

// Judge compares the replies of the target version with those of the others, from the sums
// over time. It uses neither clock nor network. The zero value is ready to use; a new leader
// starts with the sums since the order as the first sample.
type Judge struct {
	// Replicas is the number of registered upstreams of the target version, 0 if unknown. A
	// single one can't be told from its version, so its evidence is not bounded.
	Replicas int

	samples []Sample // by time; the first is empty
}

// Add adds the sums at a time. They must not be modified afterwards.
func (j *Judge) Add(s Sample) {
	if len(j.samples) == 0 {
		j.samples = append(j.samples, Sample{At: s.At})
	}
	if maps.Equal(s.Sums, j.samples[len(j.samples)-1].Sums) {
		return
	}
	j.samples = append(j.samples, s)
	if len(j.samples) > maxSamples {
		kept := j.samples[:1]
		for i := 2; i < len(j.samples); i++ {
			if i > len(j.samples)/2 || i%2 == 0 {
				kept = append(kept, j.samples[i])
			}
		}
		j.samples = kept
	}
}

// Decide returns the verdict and its reason. A version is bad if, on some route or on all, it
// fails or is slow significantly more often than the old version since some time. It is good if
// all its replies speak against that and the latest do not speak for it.
func (j *Judge) Decide() (Verdict, string) {
	if len(j.samples) < 2 {
		return Undecided, "no replies"
	}
	last := j.samples[len(j.samples)-1].Sums
	routes := []string{""} // "" stands for all
	for key := range last {
		if !slices.Contains(routes, key.Route) {
			routes = append(routes, key.Route)
		}
	}
	slices.Sort(routes)
	suspicion := 0.0
	base := newWindow(nil, last, "")
	for _, route := range routes {
		base := newWindow(nil, last, route)
		for _, i := range j.starts() {
			w := newWindow(j.samples[i].Sums, last, route)
			failing, slow := w.evidence(base, j.bound(upstreamEvidence))
			if max(failing, slow) >= badEvidence {
				return Bad, fmt.Sprintf("route %q: evidence of failures %.1f, of slow replies %.1f, in %d replies since %v", route, failing, slow, w.replies, j.samples[i].At.UTC())
			}
			failing, slow = w.evidence(base, j.bound(upstreamSuspicion))
			suspicion = max(suspicion, failing, slow)
		}
	}
	failing, slow := base.evidence(base, j.bound(upstreamDoubt))
	reason := fmt.Sprintf("evidence of failures %.1f, of slow replies %.1f, at most %.1f since any time, in %d replies", failing, slow, suspicion, base.replies)
	if base.replies < minJudged || suspicion > maxSuspicion || failing > goodEvidence || slow > goodEvidence*base.timedPart() {
		return Undecided, reason
	}
	return Good, reason
}

// starts returns the indexes of the samples with which the judged windows begin: the previous
// sample, earlier ones at growing distances, and the empty first one. A window for each sample
// would cost the leader of 135 roll-outs a core, and find no more.
func (j *Judge) starts() []int {
	last := len(j.samples) - 1
	var list []int
	for d := 1; d < last; d += d/2 + 1 {
		list = append(list, last-d)
	}
	return append(list, 0)
}

// bound returns the bound on the evidence of one upstream.
func (j *Judge) bound(limit float64) float64 {
	if j.Replicas == 1 {
		return math.Inf(1)
	}
	return limit
}

// RepliesSince returns the number of replies of the target version in samples after a time.
func (j *Judge) RepliesSince(since time.Time) uint64 {
	if len(j.samples) == 0 {
		return 0
	}
	var before Sums
	for _, s := range j.samples {
		if s.At.After(since) {
			break
		}
		before = s.Sums
	}
	return newWindow(before, j.samples[len(j.samples)-1].Sums, "").replies
}

// window holds the counts between two samples, for one route or all.
type window struct {
	target  map[trdirectory.UpstreamKey]Count
	old     map[trdirectory.UpstreamKey]Count
	replies uint64 // of the target version
}

// newWindow returns the counts of a route, or of all if it is empty.
func newWindow(from, to Sums, route string) window {
	w := window{target: make(map[trdirectory.UpstreamKey]Count), old: make(map[trdirectory.UpstreamKey]Count)}
	for key, count := range to {
		if route != "" && key.Route != route {
			continue
		}
		group := w.old
		if key.Target {
			group = w.target
		}
		diff := count.minus(from[key])
		group[key.Upstream] = group[key.Upstream].plus(diff)
		if key.Target {
			w.replies += diff.Replies
		}
	}
	return w
}

// timedPart returns the portion of the target version's replies whose latency tells something.
// If its upstreams are cold all along, it is judged by its failures, and by its fast replies.
func (w window) timedPart() float64 {
	timed := uint64(0)
	for _, c := range w.target {
		timed += c.Timed
	}
	return float64(timed) / float64(max(w.replies, 1))
}

// evidence returns the log-likelihood ratios for "fails more often than the old version" and
// "is slow more often". base has the old version's counts since the order, for a window with
// few of them, and bound limits the evidence of one upstream.
func (w window) evidence(base window, bound float64) (failing, slow float64) {
	oldFailing := oldPortion(w.old, base.old, failureFloor, func(c Count) (n, bad uint64) { return c.Replies, c.Failures })
	oldSlow := oldPortion(w.old, base.old, slowFloor, func(c Count) (n, bad uint64) { return c.Timed, c.Slow })
	for _, c := range w.target {
		failing += min(bound, ratio(c.Replies, c.Failures, oldFailing))
		slow += min(bound, ratio(c.Timed, c.Slow, oldSlow))
	}
	return failing, slow
}

// oldPortion returns the portion of bad replies among the old upstreams' in a window. The worst
// upstream is left out, as it is bounded among the new ones: it may be in trouble.
func oldPortion(window, since map[trdirectory.UpstreamKey]Count, floor float64, of func(Count) (n, bad uint64)) float64 {
	prior := max(floor, portion(since, floor, of))
	return min(max(floor, portion(window, prior, of)), maxOldPortion)
}

func portion(counts map[trdirectory.UpstreamKey]Count, prior float64, of func(Count) (n, bad uint64)) float64 {
	var n, bad, worstN, worstBad uint64
	for _, c := range counts {
		cn, cb := of(c)
		n, bad = n+cn, bad+cb
		if cb > worstBad {
			worstN, worstBad = cn, cb
		}
	}
	if len(counts) > 1 {
		n, bad = n-worstN, bad-worstBad
	}
	return (float64(bad) + prior*priorReplies) / (float64(n) + priorReplies)
}

// ratio returns the log-likelihood ratio of bad replies among n for the hypotheses of a portion
// of old and of badPortion more.
func ratio(n, bad uint64, old float64) float64 {
	worse := old + badPortion
	return float64(bad)*math.Log(worse/old) + float64(n-bad)*math.Log((1-worse)/(1-old))
}
