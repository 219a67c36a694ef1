package trgateway

import (
	"slices"
	"time"

	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trrollout"
)

// Versions decides which upstreams of a service get requests while a version is rolled out, and
// learns how they answer. trrollout.Controller implements it.
type Versions interface {
	// Draw decides for a part of a request whether its first attempt goes to the target version.
	Draw(service string) bool
	// Filter returns the upstreams of a list, all of one service, that get requests of a choice.
	Filter(service string, list []*trdirectory.Upstream, choice trrollout.Choice) []*trdirectory.Upstream
	// Admit reports whether a request may be written to an upstream now, and counts it then.
	Admit(up *trdirectory.Upstream) bool
	// Begin and Record are called before and after each attempt. The observation is nil if
	// the outcome tells nothing about the version of the upstream.
	Begin(up *trdirectory.Upstream)
	Record(up *trdirectory.Upstream, route string, o *trrollout.Observation)
}

// permitted returns the upstreams to which the next attempt of a part may go. Before the first
// attempt of a part that was drawn for the target version, these are all, with those of the
// target version in drawn. Later ones go to others, or again to those that were asked.
func (q *query) permitted(p *part) (list, drawn []*trdirectory.Upstream) {
	list = q.g.cfg.Tables.Table().Upstreams(p.service)
	versions := q.g.cfg.Versions
	if versions == nil {
		return list, nil
	}
	all := list
	list = versions.Filter(p.service, all, trrollout.Regular)
	if !p.drawn {
		return list, nil
	}
	list = slices.Clone(list)
	for _, up := range versions.Filter(p.service, all, trrollout.Drawn) {
		if !q.g.tracker.Reachable(up.Zone) {
			continue
		}
		if asked := slices.Contains(p.asked, up.Key()); (asked || p.attempts == 0) && !slices.Contains(list, up) {
			list = append(list, up)
		}
		if p.attempts == 0 {
			drawn = append(drawn, up)
		}
	}
	return list, drawn
}

// regular reports whether an upstream gets requests that were not drawn for a target version.
func (g *Gateway) regular(up *trdirectory.Upstream) bool {
	return g.cfg.Versions == nil || len(g.cfg.Versions.Filter(up.Service, []*trdirectory.Upstream{up}, trrollout.Regular)) > 0
}

// recordVersion passes the outcome of an attempt on to Versions. Only replies tell something
// about the version: what else fails may be due to the machine or the network.
func (g *Gateway) recordVersion(q *query, up *trdirectory.Upstream, out *Outcome, now time.Time) {
	if g.cfg.Versions == nil {
		return
	}
	if out.Kind != Answered {
		g.cfg.Versions.Record(up, q.route.Name, nil)
		return
	}
	latency := max(0, now.Sub(out.Sent)-g.tracker.roundTrip(up))
	g.cfg.Versions.Record(up, q.route.Name, &trrollout.Observation{
		Failed: out.Reply.Failed(), Ratio: float64(latency) / float64(max(q.median, time.Millisecond)), Cold: now.Before(up.ColdUntil),
	})
}
