package trcheck

import (
	"fmt"
	"time"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// shardKey names one shard of one request.
type shardKey struct {
	requestID  string
	version    uint64
	shard      int
	shardCount int
}

// delivery is how one shard of one request was served.
type delivery struct {
	served    bool // by a reply that was not spoilt
	delivered bool // and surely not cut off by the end of the leaf's process
}

// Served checks coverage against the journals of the leafs: a shard that an
// answer reports was served for this very request by a reply that was not
// spoilt, and a shard that is missing although it was served was given up for
// lack of time. A doubled reply counts as served, since its first copy is good.
func Served(outcomes []Outcome, events []trfakeleaf.Event) []string {
	deliveries := deliveriesOf(events)
	var faults []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Answer == nil || o.Request.Kind != trwire.Query {
			continue
		}
		for _, fault := range servedFaults(o.Answer, deliveries) {
			faults = append(faults, fmt.Sprintf("request %s at version %d: %s", o.Request.RequestID, o.Answer.Version, fault))
		}
	}
	return faults
}

func deliveriesOf(events []trfakeleaf.Event) map[shardKey]delivery {
	spoilt := map[string]bool{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventBadReply && e.Reason != string(trfakeleaf.BadDoubled) {
			spoilt[e.SubID] = true
		}
	}
	cut := lastFinished(events)
	deliveries := map[shardKey]delivery{}
	for _, e := range events {
		if e.Type != trfakeleaf.EventFinished || spoilt[e.SubID] {
			continue
		}
		key := shardKey{e.RequestID, e.Version, e.Shard, e.ShardCount}
		s := deliveries[key]
		s.served = true
		s.delivered = s.delivered || !cut[e.SubID]
		deliveries[key] = s
	}
	return deliveries
}

// lastEvents is the number of events at the end of a start among which are all
// sub-queries whose reply the end may have cut off: the connections of all
// senders to a leaf times the events of one sub-query.
const lastEvents = 32

// lastFinished returns the SubIDs of sub-queries that finished just before the
// end of a start, or just after a doubled reply, whose second copy may have come
// in place of their own.
func lastFinished(events []trfakeleaf.Event) map[string]bool {
	last := map[string][]trfakeleaf.Event{} // by leaf, of the present start
	cut := map[string]bool{}
	doubled := map[string]int{} // by leaf, events for which the last doubled reply matters
	for _, e := range events {
		doubled[e.LeafID]--
		if e.Type == trfakeleaf.EventBadReply && e.Reason == string(trfakeleaf.BadDoubled) {
			doubled[e.LeafID] = lastEvents
		}
		if doubled[e.LeafID] > 0 && e.Type == trfakeleaf.EventFinished {
			cut[e.SubID] = true
		}
		if e.Type == trfakeleaf.EventStart {
			for _, ended := range last[e.LeafID] {
				cut[ended.SubID] = true
			}
			last[e.LeafID] = nil
		}
		recent := append(last[e.LeafID], e)
		last[e.LeafID] = recent[max(0, len(recent)-lastEvents):]
	}
	return cut
}

func servedFaults(a *trwire.Answer, deliveries map[shardKey]delivery) []string {
	var faults []string
	count := a.Coverage.ShardsTotal
	missing := missingShards(a)
	for shard := range count {
		if !missing[shard] && !deliveries[shardKey{a.RequestID, a.Version, shard, count}].served {
			faults = append(faults, fmt.Sprintf("shard %d of %d is reported but was not served", shard, count))
		}
	}
	for _, m := range a.Coverage.Missing {
		if m.Reason != trwire.MissTimeout && deliveries[shardKey{a.RequestID, a.Version, m.Shard, count}].delivered {
			faults = append(faults, fmt.Sprintf("shard %d of %d was served but is missing: %s", m.Shard, count, m.Reason))
		}
	}
	return faults
}

// Executed checks that no Execute took effect twice, that an answered one took
// effect, and that one refused as not run did not.
func Executed(outcomes []Outcome, events []trfakeleaf.Event) []string {
	executed := map[string]int{}
	var faults []string
	for _, e := range events {
		if e.Type != trfakeleaf.EventExecuted {
			continue
		}
		executed[e.RequestID]++
		if executed[e.RequestID] == 2 {
			faults = append(faults, fmt.Sprintf("request %s was executed twice", e.RequestID))
		}
	}
	for i := range outcomes {
		o := &outcomes[i]
		if o.Request.Kind != trwire.Execute {
			continue
		}
		n := executed[o.Request.RequestID]
		if o.Answer != nil && n == 0 {
			faults = append(faults, fmt.Sprintf("request %s was answered but not executed", o.Request.RequestID))
		}
		if o.Refusal != nil && promisesNotRun(o.Refusal.Kind) && n > 0 {
			faults = append(faults, fmt.Sprintf("request %s was refused as %s but executed", o.Request.RequestID, o.Refusal.Kind))
		}
	}
	return faults
}

func promisesNotRun(kind trwire.RefusalKind) bool {
	return kind == trwire.NotRun || kind == trwire.Overloaded || kind == trwire.BadRequest
}

// ColdLimits is what a cold leaf bears, summed over all instances.
type ColdLimits struct {
	Concurrent int
	PerSecond  int
}

// Cold checks the load on leafs from each start to the end of its cold phase:
// sub-queries in flight, sub-queries received in any second, and that the leaf
// did not fall over. Every sub-query that was read counts, also a refused one.
// The events of each leaf must be in the order of its journal.
func Cold(limits ColdLimits, events []trfakeleaf.Event) []string {
	var faults []string
	starts := map[string]*coldStart{}
	for _, e := range events {
		s := starts[e.StartID]
		if s == nil {
			s = &coldStart{inFlight: map[string]bool{}}
			starts[e.StartID] = s
		}
		if fault := s.observe(limits, e); fault != "" {
			faults = append(faults, fmt.Sprintf("leaf %s start %s: %s", e.LeafID, e.StartID, fault))
		}
	}
	return faults
}

// coldStart is one start of a leaf as far as the journal was read.
type coldStart struct {
	inFlight map[string]bool // by SubID
	received []int64         // times in ns
}

func (s *coldStart) observe(limits ColdLimits, e trfakeleaf.Event) string {
	switch e.Type {
	case trfakeleaf.EventFell:
		return "fell over: " + e.Reason
	case trfakeleaf.EventFinished, trfakeleaf.EventCanceled, trfakeleaf.EventShed, trfakeleaf.EventRefused:
		delete(s.inFlight, e.SubID)
	case trfakeleaf.EventReceived:
		if !e.Cold {
			return ""
		}
		s.inFlight[e.SubID] = true
		s.received = append(s.received, e.TimeNs)
		for e.TimeNs-s.received[0] >= int64(time.Second) {
			s.received = s.received[1:]
		}
		if len(s.inFlight) > limits.Concurrent {
			return fmt.Sprintf("%d sub-queries in flight", len(s.inFlight))
		}
		if len(s.received) > limits.PerSecond {
			return fmt.Sprintf("%d sub-queries within a second", len(s.received))
		}
	}
	return ""
}

// StartLoadOf counts the sub-queries that one start of a leaf finished while it
// was cold and while it was warm.
func StartLoadOf(startID string, events []trfakeleaf.Event) (cold, warm int) {
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

// Extra checks that the leafs received at most needed * (1 + share) + burst
// sub-queries, where needed is one for each shard of each request that may have
// run.
func Extra(shards int, share float64, burst int, outcomes []Outcome, events []trfakeleaf.Event) []string {
	needed := 0
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case o.Refusal != nil && promisesNotRun(o.Refusal.Kind):
		case o.Request.Kind == trwire.Query:
			needed += shards
		default:
			needed++
		}
	}
	received := Count(events, trfakeleaf.EventReceived)
	if most := int(float64(needed)*(1+share)) + burst; received > most {
		return []string{fmt.Sprintf("leafs received %d sub-queries for %d needed ones, more than %d", received, needed, most)}
	}
	return nil
}

// Count counts the events of a type.
func Count(events []trfakeleaf.Event, t trfakeleaf.EventType) int {
	n := 0
	for _, e := range events {
		if e.Type == t {
			n++
		}
	}
	return n
}

// Dials checks that each leaf accepted at most most connections.
func Dials(most int, events []trfakeleaf.Event) []string {
	accepted := map[string]int{}
	for _, e := range events {
		if e.Type == trfakeleaf.EventAccepted {
			accepted[e.LeafID]++
		}
	}
	var faults []string
	for leaf, n := range accepted {
		if n > most {
			faults = append(faults, fmt.Sprintf("leaf %s accepted %d connections, more than %d", leaf, n, most))
		}
	}
	return faults
}
