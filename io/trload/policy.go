package trload

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trroute"
)

// Policy determines how replicas are selected and how requests are hedged and retried. It
// is either the tier's own policy or a baseline to compare it with. Limits, queues and the
// treatment of failed leafs are the same for all policies.
type Policy struct {
	Name     string
	Picker   trroute.Picker             // nil for the tier's own picker
	PollLoad bool                       // poll the leafs' load endpoints for Picker
	ClassSet json.RawMessage            // merged into the exceptions of every class, added where there is none; nil for no change
	Edit     func(d *trconfig.Document) // further changes to the configuration; nil for none
}

// fixedTimeoutMs is the sub-query timeout of the round-robin baseline: about three
// times the p99 latency of a sub-query in the example deployments without load.
const fixedTimeoutMs = 500

// Policies returns the tier's policy and the baselines.
func Policies() []Policy {
	oneAttempt := json.RawMessage(`{"Class": {"Hedge": false, "MaxAttempts": 1}}`)
	twoAttempts := json.RawMessage(`{"Class": {"Hedge": false, "MaxAttempts": 2}}`)
	return []Policy{
		{Name: "tanagerrock"},
		{Name: "random", Picker: trroute.Random{}, ClassSet: oneAttempt},
		{Name: "roundrobin", Picker: trroute.RoundRobin{}, ClassSet: twoAttempts, Edit: func(d *trconfig.Document) {
			d.Defaults.Service.AttemptMs = fixedTimeoutMs
			d.Defaults.Fleet.RetryShare = 1 // the baseline has no retry budget
		}},
		{Name: "reported", Picker: trroute.ReportedLoad{}, PollLoad: true, ClassSet: oneAttempt},
	}
}

func policyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Errorf("unknown policy %q", name)
}

// document returns the configuration of the deployment with the policy applied.
func (p *Policy) document(s *Deployment) (*trconfig.Document, error) {
	doc := trconfig.Clone(s.document)
	if p.Edit != nil {
		p.Edit(doc)
	}
	if p.ClassSet == nil {
		return doc, nil
	}
	remaining := s.classes()
	for i := range doc.Exceptions {
		e := &doc.Exceptions[i]
		if e.Scope.Class == "" && e.Scope.Tenant == "" {
			continue
		}
		set, err := mergeSets(e.Set, p.ClassSet)
		if err != nil {
			return nil, errors.Wrapf(err, "exception %d", i)
		}
		e.Set = set
		if e.Scope.Tenant == "" {
			remaining = slices.DeleteFunc(remaining, func(c string) bool { return c == e.Scope.Class })
		}
	}
	for _, class := range remaining {
		doc.Exceptions = append(doc.Exceptions, trconfig.Exception{
			Reason: "baseline " + p.Name,
			Scope:  trconfig.Scope{Class: class},
			Set:    p.ClassSet,
		})
	}
	return doc, nil
}

// mergeSets returns the Set of an exception with the fields in change replaced.
func mergeSets(set, change json.RawMessage) (json.RawMessage, error) {
	merged := make(map[string]map[string]any)
	for _, data := range []json.RawMessage{set, change} {
		part := make(map[string]map[string]any)
		if err := json.Unmarshal(data, &part); err != nil {
			return nil, errors.Wrap(err, "decode Set")
		}
		for name, members := range part {
			if merged[name] == nil {
				merged[name] = make(map[string]any)
			}
			maps.Copy(merged[name], members)
		}
	}
	return json.Marshal(merged)
}

// classes returns the distinct classes of all mixes in order of first use.
func (s *Deployment) classes() []string {
	var list []string
	seen := make(map[string]bool)
	for _, g := range s.Groups {
		for _, item := range g.Mix {
			if !seen[item.Class] {
				seen[item.Class] = true
				list = append(list, item.Class)
			}
		}
	}
	return list
}
