package trrollout

import "time"

// Times of a roll-out. Those in which nothing is exposed leave room for the store and for the
// spread of a plan, which both take some 100 ms as a rule.
const (
	// finishTime is the time before the deadline at which all requests move to the target
	// version: 0.4 s to reach all instances, as long for the running requests and for
	// replies to judge, and the rest for a slow store or a new leader.
	finishTime = 3400 * time.Millisecond
	// maxFinishPart limits finishTime to a part of a short order's time.
	maxFinishPart = 0.3
	// lastFinish is the time before the deadline after which finishing is not begun: it
	// would not be over in time.
	lastFinish = decisionTime + minFinishing + 300*time.Millisecond
	// minStart is the least time in which finishing may begin, for short orders.
	minStart = 300 * time.Millisecond
	// decisionTime is the time before the deadline at which a roll-out that is not good is
	// rolled back, so that the status is written in time.
	decisionTime = 600 * time.Millisecond
	// finishReaction is how long a version that turns out bad gets all requests before it
	// gets none: the time for enough replies, their reports and the spread of the plan.
	finishReaction = 1100 * time.Millisecond
	// finishReserve is the least number of requests that is reserved for finishing, if there
	// are as many: a version that is bad only under load shows it in these.
	finishReserve = 18
)

const (
	// exposureMargin is the part of the permitted exposure that is planned. The rest covers
	// requests that have not been reported, and a falling rate of requests.
	exposureMargin = 0.85
	// maxShare bounds the share before finishing: the old version must get requests too, as
	// there is nothing to compare with otherwise.
	maxShare = 0.9
	// startRequests and startTime are added to the counted requests and their time: the rate
	// is taken as that of a busy service, 20 requests per second, until more are counted.
	startRequests = 5
	startTime     = 250 * time.Millisecond
	// minSpread is the least time over which the remaining exposure is spread, so that a
	// plan that is replaced late does no harm.
	minSpread = 500 * time.Millisecond
)

// Exposure limits the requests that a version which may be bad gets: Share of all requests
// between the order and the deadline, and Slack more.
type Exposure struct {
	Share float64
	Slack float64 // requests
}

// FinishAfter returns the time after an order at which finishing begins.
func FinishAfter(total time.Duration) time.Duration {
	return max(0, total-max(min(finishTime, time.Duration(maxFinishPart*float64(total))), lastFinish+minStart))
}

// Next returns the share of requests for the target version from now on. What is permitted
// until the deadline, less what finishing takes from a version that turns bad then, is spread
// evenly until finishing begins: a version may turn bad late.
func (e Exposure) Next(p Progress) float64 {
	left := FinishAfter(p.Total) - p.Elapsed
	rate := (float64(p.Requests) + startRequests) / (p.Elapsed + startTime).Seconds()
	limit := exposureMargin * (e.Share*(float64(p.Requests)+rate*(p.Total-p.Elapsed).Seconds()) + e.Slack)
	reserve := max(rate*finishReaction.Seconds(), min(finishReserve, rate*finishTime.Seconds()))
	room := limit - reserve - float64(p.Exposed)
	if room <= 0 {
		return 0
	}
	return min(maxShare, room/(rate*max(left, minSpread).Seconds()))
}
