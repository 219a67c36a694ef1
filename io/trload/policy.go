package trload

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trroute"
)

// Policy is a way to choose and repeat sub-queries: the tier's own or a baseline.
// Limits, queues and failure handling below the choice are the same for all.
type Policy struct {
	Name     string
	Choice   trroute.Picker // nil for the tier's own
	PollLoad bool           // read the load endpoints of leafs
	Class    json.RawMessage
	Edit     func(d *trconfig.Document)
}

// fixedTimeoutMs is the timeout of the round-robin baseline: about three times
// the p99 of an unloaded sub-query of the example deployments.
const fixedTimeoutMs = 500

// Policies returns the tier's policy and the baselines.
func Policies() []Policy {
	once := json.RawMessage(`{"Class": {"Hedge": false, "MaxAttempts": 1}}`)
	twice := json.RawMessage(`{"Class": {"Hedge": false, "MaxAttempts": 2}}`)
	return []Policy{
		{Name: "tanagerrock"},
		{Name: "random", Choice: trroute.Random{}, Class: once},
		{Name: "roundrobin", Choice: trroute.RoundRobin{}, Class: twice, Edit: func(d *trconfig.Document) {
			d.Defaults.Service.AttemptMs = fixedTimeoutMs
			d.Defaults.Fleet.RetryShare = 1 // the baseline has no retry budget
		}},
		{Name: "reported", Choice: trroute.ReportedLoad{}, PollLoad: true, Class: once},
	}
}

func policyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Errorf("no policy %q", name)
}

// document returns the deployment's configuration under the policy.
func (p *Policy) document(s *Settings) (*trconfig.Document, error) {
	doc := trconfig.Clone(s.document)
	if p.Edit != nil {
		p.Edit(doc)
	}
	if p.Class == nil {
		return doc, nil
	}
	plain := s.classes()
	for i := range doc.Exceptions {
		e := &doc.Exceptions[i]
		if e.Scope.Class == "" && e.Scope.Tenant == "" {
			continue
		}
		set, err := override(e.Set, p.Class)
		if err != nil {
			return nil, errors.Wrapf(err, "exception %d", i)
		}
		e.Set = set
		if e.Scope.Tenant == "" {
			plain = slices.DeleteFunc(plain, func(c string) bool { return c == e.Scope.Class })
		}
	}
	for _, class := range plain {
		doc.Exceptions = append(doc.Exceptions, trconfig.Exception{
			Reason: "baseline " + p.Name,
			Scope:  trconfig.Scope{Class: class},
			Set:    p.Class,
		})
	}
	return doc, nil
}

// override returns the Set of an exception with the members of change replaced.
func override(set, change json.RawMessage) (json.RawMessage, error) {
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

// classes returns the classes of all mixes in their order.
func (s *Settings) classes() []string {
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
