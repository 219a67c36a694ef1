package trrollout

import (
	"time"

	"tanagerrock/core/trdirectory"
)

// minFinishing is the least time in the finishing phase. All requests go to the target version
// then: a version that is bad under load only shows it, and one that has turned bad late.
const (
	minFinishing = 1100 * time.Millisecond
	// It lasts until finishingReplies of the target version are judged, fewer by the share of
	// requests that went there before, or longFinishing is over.
	finishingReplies = 28
	longFinishing    = 2 * time.Second
	// knownExposure is the weight of that share: a version that had three quarters of the
	// requests before shows nothing new when it has all.
	knownExposure = 1.3
)

// writeTime is the time before the deadline after which a completion is not begun.
const writeTime = 200 * time.Millisecond

// Progress is the state of a roll-out, as the leader knows it.
type Progress struct {
	Phase          trdirectory.Phase
	Share          float64       // of the plan
	Elapsed, Total time.Duration // since the order; until the deadline
	InPhase        time.Duration // since the plan's phase began
	Requests       uint64        // since the order
	Exposed        uint64        // of these, sent to the target version
	Judged         uint64        // replies of the target version since the phase began
	Verdict        Verdict
	Reason         string // of the verdict
	// Finished is set if every connected instance has confirmed the finishing plan, or had
	// the time to, and no request to the old version runs any more, or can run.
	Finished bool
	// Serving is set if the target version has upstreams that accept new work.
	Serving bool
	// Withdrawn is set if the order was removed.
	Withdrawn bool
}

// finishingJudged reports whether the finishing phase has lasted long enough to judge it.
func (p *Progress) finishingJudged() bool {
	needed := finishingReplies * (1 - knownExposure*float64(p.Exposed)/float64(max(p.Requests, 1)))
	return p.InPhase >= longFinishing || p.InPhase >= minFinishing && float64(p.Judged) >= needed
}

// Decision is the next step of a roll-out.
type Decision struct {
	Phase  trdirectory.Phase
	Share  float64
	Reason string
}

// Step returns the phase and share that follow from the progress.
func (e Exposure) Step(p Progress) Decision {
	stay := Decision{p.Phase, p.Share, p.Reason}
	switch {
	case p.Phase.Final():
		return stay
	case p.Withdrawn:
		return Decision{trdirectory.RolledBack, 0, "the order was removed"}
	case p.Verdict == Bad:
		return Decision{trdirectory.RolledBack, 0, p.Reason}
	case p.Phase == trdirectory.Finishing && p.Finished && p.Verdict == Good && p.finishingJudged() && p.Elapsed < p.Total-writeTime:
		return Decision{trdirectory.Complete, 1, p.Reason}
	case p.Elapsed >= p.Total-decisionTime:
		return Decision{trdirectory.RolledBack, 0, "not known to be good in time: " + p.Reason}
	case !p.Serving && p.Phase == trdirectory.Finishing:
		return Decision{trdirectory.RolledBack, 0, "no upstream of the target version accepts work any more"}
	case !p.Serving:
		return Decision{trdirectory.Waiting, 0, "no upstream of the target version is registered"}
	case p.Phase == trdirectory.Finishing:
		return stay
	case p.Elapsed >= FinishAfter(p.Total) && p.Verdict == Good && p.Elapsed < p.Total-lastFinish:
		return Decision{trdirectory.Finishing, 1, p.Reason}
	}
	return Decision{trdirectory.Exposing, e.Next(p), p.Reason}
}
