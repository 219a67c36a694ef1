package trcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// Answers checks that each answer belongs to its request and comes from a single
// version not older than MinVersion, that it has exactly the expected records of the
// covered shards in order, and that its coverage counts them correctly. It also checks
// that all answers from one version have the same shard count.
func Answers(data trfakeleaf.Dataset, outcomes []Outcome) []string {
	c := answerChecker{data: data, expected: map[string][]trwire.Record{}, shards: map[uint64]int{}}
	var violations []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Answer == nil {
			continue
		}
		if violation := c.check(o); violation != "" {
			violations = append(violations, fmt.Sprintf("request %s (%s %q%s) at version %d: %s",
				o.Request.RequestID, o.Request.Kind, o.Request.Terms, o.Request.Key, o.Answer.Version, violation))
		}
	}
	return violations
}

// answerChecker caches what Answers expects of each version.
type answerChecker struct {
	data     trfakeleaf.Dataset
	expected map[string][]trwire.Record // records of complete answers by version and terms
	shards   map[uint64]int             // shard count by version
}

func (c *answerChecker) check(o *Outcome) string {
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
		return "result cannot be decoded: " + err.Error()
	}
	if r.Key != o.Request.Key {
		return "result is for key " + r.Key
	}
	return ""
}

// allRecords returns all records of a version that match terms, in order.
func (c *answerChecker) allRecords(version uint64, terms string) []trwire.Record {
	key := fmt.Sprint(version, " ", terms)
	records, ok := c.expected[key]
	if !ok {
		records = c.data.ExpectedRecords(version, terms, 0)
		c.expected[key] = records
	}
	return records
}

func (c *answerChecker) checkFetch(o *Outcome) string {
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
	return diffRecords(o.Answer.Records, want)
}

func (c *answerChecker) checkQuery(o *Outcome) string {
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
	all := c.allRecords(a.Version, "")
	records := 0
	for _, r := range all {
		if covered(r) {
			records++
		}
	}
	if a.Coverage.Records != uint64(records) {
		return fmt.Sprintf("coverage of %d records, the shards have %d", a.Coverage.Records, records)
	}
	if total := uint64(len(all)); a.Coverage.RecordsTotal > total || a.Coverage.Complete() && a.Coverage.RecordsTotal != total {
		return fmt.Sprintf("RecordsTotal is %d, the version has %d", a.Coverage.RecordsTotal, total)
	}
	want := slices.DeleteFunc(slices.Clone(c.allRecords(a.Version, o.Request.Terms)), func(r trwire.Record) bool { return !covered(r) })
	if limit := o.Request.Limit; limit > 0 {
		want = want[:min(limit, len(want))]
	}
	return diffRecords(a.Records, want)
}

// missingShards returns the set of shards that a does not cover.
func missingShards(a *trwire.Answer) map[int]bool {
	missing := map[int]bool{}
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	return missing
}

// diffRecords describes the first difference of two lists of records. It returns "" if
// they are equal.
func diffRecords(got, want []trwire.Record) string {
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

// Complete checks that every request other than an Execute got a complete answer.
func Complete(outcomes []Outcome) []string {
	var violations []string
	for i := range outcomes {
		o := &outcomes[i]
		if o.Request.Kind == trwire.Execute || o.kind() == "Whole" {
			continue
		}
		violations = append(violations, fmt.Sprintf("request %s: %s (refusal %v, error %v)", o.Request.RequestID, o.kind(), o.Refusal, o.Err))
	}
	return violations
}

// SameRecords checks that complete answers to the same query from the same version have
// the same records, whichever instances they come from.
func SameRecords(outcomes []Outcome) []string {
	type query struct {
		version uint64
		terms   string
		limit   int
	}
	var violations []string
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
		if diff := diffRecords(o.Answer.Records, other.Answer.Records); diff != "" {
			violations = append(violations, fmt.Sprintf("requests %s and %s: %s", o.Request.RequestID, other.Request.RequestID, diff))
		}
	}
	return violations
}
