package trcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// shardKey identifies a shard of a request.
type shardKey struct {
	requestID  string
	version    uint64
	shard      int
	shardCount int
}

// delivery describes how a shard of a request was served.
type delivery struct {
	served    bool // by a reply that was not corrupted
	delivered bool // the sender certainly received the reply
}

// Coverage checks the coverage of answers against the journals of the leafs. A leaf must
// have served each covered shard for this request by a reply that was not corrupted. A
// shard that was served may be missing only because of a timeout. A doubled reply counts
// as served, since its first copy is valid.
func Coverage(outcomes []Outcome, events []trfakeleaf.Event) []string {
	deliveries := deliveriesOf(events)
	var violations []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Answer == nil || o.Request.Kind != trwire.Query {
			continue
		}
		for _, violation := range coverageViolations(o.Answer, deliveries) {
			violations = append(violations, fmt.Sprintf("request %s at version %d: %s", o.Request.RequestID, o.Answer.Version, violation))
		}
	}
	return violations
}

// deliveriesOf returns the deliveries recorded in events.
func deliveriesOf(events []trfakeleaf.Event) map[shardKey]delivery {
	corrupted := map[string]bool{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventBadReply && e.Reason != string(trfakeleaf.BadDoubled) {
			corrupted[e.SubID] = true
		}
	}
	uncertain := uncertainReplies(events)
	deliveries := map[shardKey]delivery{}
	for _, e := range events {
		if e.Type != trfakeleaf.EventFinished || corrupted[e.SubID] {
			continue
		}
		key := shardKey{e.RequestID, e.Version, e.Shard, e.ShardCount}
		d := deliveries[key]
		d.served = true
		d.delivered = d.delivered || !uncertain[e.SubID]
		deliveries[key] = d
	}
	return deliveries
}

// uncertainEvents is the number of events of a leaf before a restart, or after a
// doubled reply, that may belong to sub-queries whose replies were lost or misread: the
// number of connections of all senders to a leaf times the number of events of a
// sub-query.
const uncertainEvents = 32

// uncertainReplies returns the SubIDs of the sub-queries whose replies the senders may
// not have received: those that finished just before a restart, and those that finished
// just after a doubled reply, since its second copy may have been read in place of their
// own reply.
func uncertainReplies(events []trfakeleaf.Event) map[string]bool {
	tails := map[string][]trfakeleaf.Event{} // last events of the current start by leaf
	uncertain := map[string]bool{}
	doubledWindow := map[string]int{} // number of next events that a doubled reply may affect, by leaf
	for _, e := range events {
		doubledWindow[e.LeafID]--
		if e.Type == trfakeleaf.EventBadReply && e.Reason == string(trfakeleaf.BadDoubled) {
			doubledWindow[e.LeafID] = uncertainEvents
		}
		if doubledWindow[e.LeafID] > 0 && e.Type == trfakeleaf.EventFinished {
			uncertain[e.SubID] = true
		}
		if e.Type == trfakeleaf.EventStart {
			for _, ended := range tails[e.LeafID] {
				uncertain[ended.SubID] = true
			}
			tails[e.LeafID] = nil
		}
		recent := append(tails[e.LeafID], e)
		tails[e.LeafID] = recent[max(0, len(recent)-uncertainEvents):]
	}
	return uncertain
}

// coverageViolations returns the violations of one answer.
func coverageViolations(a *trwire.Answer, deliveries map[shardKey]delivery) []string {
	var violations []string
	count := a.Coverage.ShardsTotal
	missing := missingShards(a)
	for shard := range count {
		if !missing[shard] && !deliveries[shardKey{a.RequestID, a.Version, shard, count}].served {
			violations = append(violations, fmt.Sprintf("shard %d of %d is reported but was not served", shard, count))
		}
	}
	for _, m := range a.Coverage.Missing {
		if m.Reason != trwire.MissTimeout && deliveries[shardKey{a.RequestID, a.Version, m.Shard, count}].delivered {
			violations = append(violations, fmt.Sprintf("shard %d of %d was served but is missing: %s", m.Shard, count, m.Reason))
		}
	}
	return violations
}

// Executions checks that no Execute was executed twice, that each answered one was
// executed, and that none was executed whose refusal guarantees that it was not run.
func Executions(outcomes []Outcome, events []trfakeleaf.Event) []string {
	executed := map[string]int{}
	var violations []string
	for _, e := range events {
		if e.Type != trfakeleaf.EventExecuted {
			continue
		}
		executed[e.RequestID]++
		if executed[e.RequestID] == 2 {
			violations = append(violations, fmt.Sprintf("request %s was executed twice", e.RequestID))
		}
	}
	for i := range outcomes {
		o := &outcomes[i]
		if o.Request.Kind != trwire.Execute {
			continue
		}
		n := executed[o.Request.RequestID]
		if o.Answer != nil && n == 0 {
			violations = append(violations, fmt.Sprintf("request %s was answered but not executed", o.Request.RequestID))
		}
		if o.Refusal != nil && guaranteesNotRun(o.Refusal.Kind) && n > 0 {
			violations = append(violations, fmt.Sprintf("request %s was refused as %s but executed", o.Request.RequestID, o.Refusal.Kind))
		}
	}
	return violations
}

// guaranteesNotRun reports whether a refusal of this kind guarantees that the request was
// not run.
func guaranteesNotRun(kind trwire.RefusalKind) bool {
	return kind == trwire.NotRun || kind == trwire.Overloaded || kind == trwire.BadRequest
}

// ColdLimits are the limits of the load that all instances together may put on a cold
// leaf.
type ColdLimits struct {
	Concurrent int
	PerSecond  int
}

// ColdLoad checks the load on each leaf during its cold phases: the sub-queries in
// flight, the sub-queries received in any second, and that the leaf did not crash. All
// received sub-queries count, including refused ones. The events of each leaf must be in
// the order of its journal.
func ColdLoad(limits ColdLimits, events []trfakeleaf.Event) []string {
	var violations []string
	starts := map[string]*coldStart{}
	for _, e := range events {
		s := starts[e.StartID]
		if s == nil {
			s = &coldStart{inFlight: map[string]trfakeleaf.Event{}}
			starts[e.StartID] = s
		}
		if violation := s.observe(limits, e); violation != "" {
			violations = append(violations, fmt.Sprintf("leaf %s start %s: %s", e.LeafID, e.StartID, violation))
		}
	}
	return violations
}

// coldStart is the state of a start of a leaf after the events observed so far.
type coldStart struct {
	inFlight map[string]trfakeleaf.Event // receptions by SubID
	received []int64                     // times in ns
}

// describeInFlight describes the sub-queries in flight at a time in ns, oldest first.
func (s *coldStart) describeInFlight(nowNs int64) string {
	events := slices.SortedFunc(maps.Values(s.inFlight), func(a, b trfakeleaf.Event) int { return cmp.Compare(a.TimeNs, b.TimeNs) })
	var list []string
	for _, e := range events {
		list = append(list, fmt.Sprintf("%s of %s for %.1f ms", e.SubID, e.Sender, float64(nowNs-e.TimeNs)/1e6))
	}
	return strings.Join(list, ", ")
}

// observe processes the next event. It returns a violation, or "" if there is none.
func (s *coldStart) observe(limits ColdLimits, e trfakeleaf.Event) string {
	switch e.Type {
	case trfakeleaf.EventFell:
		return "crashed: " + e.Reason
	case trfakeleaf.EventFinished, trfakeleaf.EventCanceled, trfakeleaf.EventShed, trfakeleaf.EventRefused:
		delete(s.inFlight, e.SubID)
	case trfakeleaf.EventReceived:
		if !e.Cold {
			return ""
		}
		s.inFlight[e.SubID] = e
		s.received = append(s.received, e.TimeNs)
		for e.TimeNs-s.received[0] >= int64(time.Second) {
			s.received = s.received[1:]
		}
		if len(s.inFlight) > limits.Concurrent {
			return fmt.Sprintf("%d sub-queries in flight: %s", len(s.inFlight), s.describeInFlight(e.TimeNs))
		}
		if len(s.received) > limits.PerSecond {
			return fmt.Sprintf("%d sub-queries within a second", len(s.received))
		}
	}
	return ""
}

// FinishedInStart counts the sub-queries that a leaf finished in one start, separately
// for its cold phase and after it.
func FinishedInStart(startID string, events []trfakeleaf.Event) (cold, warm int) {
	for _, e := range events {
		if e.StartID != startID || e.Type != trfakeleaf.EventFinished {
			continue
		}
		if e.Cold {
			cold++
		} else {
			warm++
		}
	}
	return cold, warm
}

// ExtraLoad checks that the leafs received at most needed * (1 + share) + burst
// sub-queries, where needed is one for each shard of each request that may have been
// run.
func ExtraLoad(shards int, share float64, burst int, outcomes []Outcome, events []trfakeleaf.Event) []string {
	needed := 0
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.Refusal != nil && guaranteesNotRun(o.Refusal.Kind):
		case o.Request.Kind == trwire.Query:
			needed += shards
		default:
			needed++
		}
	}
	received := CountEvents(events, trfakeleaf.EventReceived)
	if limit := int(float64(needed)*(1+share)) + burst; received > limit {
		return []string{fmt.Sprintf("leafs received %d sub-queries for %d needed ones, more than %d", received, needed, limit)}
	}
	return nil
}

// CountEvents counts the events of a type.
func CountEvents(events []trfakeleaf.Event, t trfakeleaf.EventType) int {
	n := 0
	for _, e := range events {
		if e.Type == t {
			n++
		}
	}
	return n
}

// Dials checks that each leaf accepted at most limit connections.
func Dials(limit int, events []trfakeleaf.Event) []string {
	accepted := map[string]int{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventAccepted {
			accepted[e.LeafID]++
		}
	}
	var violations []string
	for leaf, n := range accepted {
		if n > limit {
			violations = append(violations, fmt.Sprintf("leaf %s accepted %d connections, more than %d", leaf, n, limit))
		}
	}
	return violations
}
