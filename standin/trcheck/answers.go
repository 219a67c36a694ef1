package trcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// Answers checks that each answer is the caller's own, comes from one version,
// has exactly the records of the shards that it reports in their order, and
// counts their records truly. It also checks MinVersion, and that all answers
// from one version agree on its shard count.
func Answers(data trfakeleaf.Dataset, outcomes []Outcome) []string {
	c := answerCheck{data: data, expected: map[string][]trwire.Record{}, shards: map[uint64]int{}}
	var faults []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Answer == nil {
			continue
		}
		if fault := c.check(o); fault != "" {
			faults = append(faults, fmt.Sprintf("request %s (%s %q%s) at version %d: %s",
				o.Request.RequestID, o.Request.Kind, o.Request.Terms, o.Request.Key, o.Answer.Version, fault))
		}
	}
	return faults
}

type answerCheck struct {
	data     trfakeleaf.Dataset
	expected map[string][]trwire.Record // whole answers by version and terms
	shards   map[uint64]int             // shard count by version
}

func (c *answerCheck) check(o *Outcome) string {
	a, req := o.Answer, &o.Request
	switch {
	case a.RequestID != req.RequestID:
		return "answer is for request " + a.RequestID
	case a.Service != req.Service:
		return "answer is from service " + a.Service
	case req.Kind == trwire.Execute:
		return checkResult(o)
	case a.Version < req.MinVersion:
		return fmt.Sprintf("version is older than %d", req.MinVersion)
	case req.Kind == trwire.Fetch:
		return c.checkFetch(o)
	}
	return c.checkQuery(o)
}

func checkResult(o *Outcome) string {
	var r trfakeleaf.Result
	if err := json.Unmarshal(o.Answer.Result, &r); err != nil {
		return "result cannot be read: " + err.Error()
	}
	if r.Key != o.Request.Key {
		return "result is for key " + r.Key
	}
	return ""
}

// whole returns all records of a version that match terms, in order.
func (c *answerCheck) whole(version uint64, terms string) []trwire.Record {
	key := fmt.Sprint(version, " ", terms)
	records, ok := c.expected[key]
	if !ok {
		records = c.data.Expect(version, terms, 0)
		c.expected[key] = records
	}
	return records
}

func (c *answerCheck) checkFetch(o *Outcome) string {
	cov := o.Answer.Coverage
	if cov.ShardsTotal != 1 {
		return fmt.Sprintf("fetch reports %d shards", cov.ShardsTotal)
	}
	var want []trwire.Record
	for _, r := range c.data.Generate(o.Answer.Version) {
		if r.Key == o.Request.Key && cov.Shards == 1 {
			want = append(want, r)
		}
	}
	return compare(o.Answer.Records, want)
}

func (c *answerCheck) checkQuery(o *Outcome) string {
	a := o.Answer
	count := a.Coverage.ShardsTotal
	if known, ok := c.shards[a.Version]; ok && known != count {
		return fmt.Sprintf("version has %d shards in one answer and %d in another", known, count)
	}
	c.shards[a.Version] = count
	missing := missingShards(a)
	if a.Coverage.Shards != count-len(missing) {
		return fmt.Sprintf("coverage of %d of %d shards, but %d are missing", a.Coverage.Shards, count, len(missing))
	}
	covered := func(r trwire.Record) bool { return !missing[trwire.ShardOf(r.Key, count)] }
	all := c.whole(a.Version, "")
	held := 0
	for _, r := range all {
		if covered(r) {
			held++
		}
	}
	if a.Coverage.Records != uint64(held) {
		return fmt.Sprintf("coverage of %d records, the shards have %d", a.Coverage.Records, held)
	}
	if total := uint64(len(all)); a.Coverage.RecordsTotal > total || a.Coverage.Complete() && a.Coverage.RecordsTotal != total {
		return fmt.Sprintf("RecordsTotal is %d, the version has %d", a.Coverage.RecordsTotal, total)
	}
	want := slices.DeleteFunc(slices.Clone(c.whole(a.Version, o.Request.Terms)), func(r trwire.Record) bool { return !covered(r) })
	if limit := o.Request.Limit; limit > 0 {
		want = want[:min(limit, len(want))]
	}
	return compare(a.Records, want)
}

func missingShards(a *trwire.Answer) map[int]bool {
	missing := map[int]bool{}
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	return missing
}

func compare(got, want []trwire.Record) string {
	if len(got) != len(want) {
		return fmt.Sprintf("answer has %d records, expected %d", len(got), len(want))
	}
	for i := range got {
		g, w := got[i], want[i]
		if g.Key != w.Key || g.Score != w.Score || !bytes.Equal(g.Value, w.Value) {
			return fmt.Sprintf("record %d is %s %v %s, expected %s %v %s", i, g.Key, g.Score, g.Value, w.Key, w.Score, w.Value)
		}
	}
	return ""
}

// Whole checks that every request that is not an Execute got a whole answer.
func Whole(outcomes []Outcome) []string {
	var faults []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Request.Kind == trwire.Execute || o.kind() == "Whole" {
			continue
		}
		faults = append(faults, fmt.Sprintf("request %s: %s (refusal %v, error %v)", o.Request.RequestID, o.kind(), o.Refusal, o.Err))
	}
	return faults
}

// Same checks that whole answers to the same query from the same version are
// equal, whichever instances gave them.
func Same(outcomes []Outcome) []string {
	type query struct {
		version uint64
		terms   string
		limit   int
	}
	var faults []string
	first := map[query]*Outcome{}
	for i := range outcomes {
		o := &outcomes[i]
		if o.Request.Kind != trwire.Query || o.kind() != "Whole" {
			continue
		}
		key := query{o.Answer.Version, o.Request.Terms, o.Request.Limit}
		other := first[key]
		if other == nil {
			first[key] = o
			continue
		}
		if diff := compare(o.Answer.Records, other.Answer.Records); diff != "" {
			faults = append(faults, fmt.Sprintf("requests %s and %s: %s", o.Request.RequestID, other.Request.RequestID, diff))
		}
	}
	return faults
}
