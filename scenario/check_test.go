package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/io/trserver"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
	"tanagerrock/standin/trjournal"
)

// readJournal returns the events in the journal of a stand-in. It fails the script if
// the journal dropped events, because a check on an incomplete journal proves nothing.
func readJournal[E any](ts *testscript.TestScript, p *proc) []E {
	resp, err := httpClient.Get("http://" + p.addr + "/control/journal")
	ts.Check(err)
	defer resp.Body.Close()
	if dropped := resp.Header.Get(trjournal.HeaderDropped); dropped != "0" {
		ts.Fatalf("journal of %s dropped %q events", p.name, dropped)
	}
	var events []E
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var e E
		ts.Check(json.Unmarshal(lines.Bytes(), &e))
		events = append(events, e)
	}
	ts.Check(lines.Err())
	return events
}

func (c *cluster) leafEvents(ts *testscript.TestScript) []trfakeleaf.Event {
	return readJournal[trfakeleaf.Event](ts, c.proc(ts, "leafs"))
}

func parseInt(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

// mark returns the Unix time in ns that cmdMark recorded under the name.
func (c *cluster) mark(ts *testscript.TestScript, name string) int64 {
	at, ok := c.marks[name]
	if !ok {
		ts.Fatalf("mark %q is not set", name)
	}
	return at
}

// cmdMark records a time under a name:
//
//	NAME now                   the current time
//	NAME platform TYPE [KEY]   the time of the last event of the type (for the key) in
//	                           the platform's journal
func cmdMark(c *cluster, ts *testscript.TestScript, args []string) {
	if args[1] == "now" {
		c.marks[args[0]] = time.Now().UnixNano()
		return
	}
	events := readJournal[trfakeplatform.Event](ts, c.proc(ts, "platform"))
	for _, e := range events {
		if string(e.Type) == args[2] && (len(args) < 4 || e.Key == args[3]) {
			c.marks[args[0]] = e.TimeNs
		}
	}
	c.mark(ts, args[0]) // fails the script if no event matched
}

// cmdAwait waits until a condition holds:
//
//	ready NAME...                 the instances are ready
//	whole SERVICE                 every running instance answers a query completely
//	status NAME FIELD VALUE       a field of the instance's status has the value
//	load NAME N [OUTCOME]         the load has at least N more replies (with the outcome)
//	event platform|leafs TYPE N   the journal has at least N events of the type
//	received MARK N SELECTOR      each selected leaf received N sub-queries after the mark
//	past MARK MS                  MS milliseconds have passed since the mark
//
// SELECTOR is zone=Z or leaf=ID, as in cmdCheck.
func cmdAwait(c *cluster, ts *testscript.TestScript, args []string) {
	cond := c.condition(ts, args)
	poll(ts, "await "+strings.Join(args, " "), cond)
}

// condition returns a function that returns nil if the condition of an await command
// holds, and otherwise an error that describes the current state.
func (c *cluster) condition(ts *testscript.TestScript, args []string) func() error {
	switch args[0] {
	case "ready":
		return func() error { return c.allReady(ts, args[1:]) }
	case "whole":
		return func() error { return c.allComplete(args[1]) }
	case "status":
		return func() error { return c.statusIs(ts, args[1], args[2], args[3]) }
	case "load":
		l, outcome := c.load(ts, args[1]), strings.Join(args[3:], "")
		want := l.count(outcome) + parseInt(ts, args[2])
		return func() error { return atLeast(l.count(outcome), want) }
	case "event":
		return func() error { return atLeast(c.countEvents(ts, args[1], args[2]), parseInt(ts, args[3])) }
	case "received":
		mark, want, leafs := c.mark(ts, args[1]), parseInt(ts, args[2]), c.selectLeafs(ts, args[3])
		return func() error { return c.allReceived(ts, mark, want, leafs) }
	case "past":
		end := c.mark(ts, args[1]) + int64(parseInt(ts, args[2]))*int64(time.Millisecond)
		return func() error { return atLeast(int(time.Now().UnixNano()-end), 0) }
	}
	ts.Fatalf("unknown await condition %q", args[0])
	return nil
}

func atLeast(got, want int) error {
	if got < want {
		return errors.Errorf("got %d, want at least %d", got, want)
	}
	return nil
}

func (l *load) count(outcome string) int {
	n := 0
	for _, r := range l.all() {
		if outcome == "" || r.Outcome == outcome {
			n++
		}
	}
	return n
}

func (c *cluster) countEvents(ts *testscript.TestScript, source, eventType string) int {
	n := 0
	if source == "platform" {
		for _, e := range readJournal[trfakeplatform.Event](ts, c.proc(ts, "platform")) {
			if string(e.Type) == eventType {
				n++
			}
		}
		return n
	}
	for _, e := range c.leafEvents(ts) {
		if string(e.Type) == eventType {
			n++
		}
	}
	return n
}

func (c *cluster) allReceived(ts *testscript.TestScript, mark int64, want int, leafs map[string]bool) error {
	counts := map[string]int{}
	for _, e := range c.leafEvents(ts) {
		if e.Type == trfakeleaf.EventReceived && e.TimeNs > mark {
			counts[e.LeafID]++
		}
	}
	for id := range leafs {
		if err := atLeast(counts[id], want); err != nil {
			return errors.Wrap(err, id)
		}
	}
	return nil
}

func (c *cluster) allReady(ts *testscript.TestScript, names []string) error {
	for _, name := range names {
		if err := get("http://"+c.proc(ts, name).addr+"/readyz", nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) allComplete(service string) error {
	client := trcaller.New(1)
	defer client.Close()
	for _, p := range c.instances() {
		answer, err := client.Do(context.Background(), p.addr, &trwire.Request{Kind: trwire.Query, Tenant: "t", Class: "c", Service: service})
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		if !answer.Coverage.Complete() {
			return errors.Errorf("%s: %+v", p.name, answer.Coverage)
		}
	}
	return nil
}

func (c *cluster) statusIs(ts *testscript.TestScript, name, field, value string) error {
	var fields map[string]any
	if err := get("http://"+c.proc(ts, name).addr+"/v1/status", &fields); err != nil {
		return err
	}
	if got := fmt.Sprint(fields[field]); got != value {
		return errors.Errorf("%s is %s, want %s", field, got, value)
	}
	return nil
}

// cmdCheck checks the recorded replies, status samples and journals:
//
//	outcomes LOAD MIN OUTCOME...   at least MIN replies, all with one of the outcomes
//	quiet MARK MS MIN SELECTOR     no sub-query reached the selected leafs later than
//	                               MS after the mark, while at least MIN reached others
//	finished MARK SELECTOR         every sub-query that ran at the mark finished
//	once MIN LOAD...               no request ID was executed twice, no reply contradicts
//	                               the executions, at least MIN were executed
//	none TYPE                      no event of the type in the leafs' journals
//	revisions MARK MS N            no instance reports a configuration revision below N
//	                               later than MS after the mark, or ever a lower one
//	                               than before
func cmdCheck(c *cluster, ts *testscript.TestScript, args []string) {
	switch args[0] {
	case "outcomes":
		c.checkOutcomes(ts, args[1], parseInt(ts, args[2]), args[3:])
	case "quiet":
		c.checkQuiet(ts, c.mark(ts, args[1])+int64(parseInt(ts, args[2]))*int64(time.Millisecond), parseInt(ts, args[3]), c.selectLeafs(ts, args[4]))
	case "finished":
		c.checkFinished(ts, c.mark(ts, args[1]), c.selectLeafs(ts, args[2]))
	case "none":
		if n := c.countEvents(ts, "leafs", args[1]); n > 0 {
			ts.Fatalf("%d events of type %s, want none", n, args[1])
		}
	case "once":
		c.checkOnce(ts, parseInt(ts, args[1]), args[2:])
	case "revisions":
		c.checkRevisions(ts, c.mark(ts, args[1])+int64(parseInt(ts, args[2]))*int64(time.Millisecond), uint64(parseInt(ts, args[3])))
	default:
		ts.Fatalf("unknown check %q", args[0])
	}
}

func (c *cluster) checkOutcomes(ts *testscript.TestScript, name string, minReplies int, allowed []string) {
	replies := c.load(ts, name).all()
	counts := map[string]int{}
	var bad []string
	for _, r := range replies {
		counts[r.Outcome]++
		if !slices.Contains(allowed, r.Outcome) {
			bad = append(bad, fmt.Sprintf("%+v", r))
		}
	}
	ts.Logf("%s: %v", name, counts)
	if len(bad) > 0 {
		ts.Fatalf("%d of %d replies to load %s have an outcome other than %v, the first ones are:\n%s", len(bad), len(replies), name, allowed, strings.Join(bad[:min(5, len(bad))], "\n"))
	}
	if len(replies) < minReplies {
		ts.Fatalf("%d replies to load %s, want at least %d", len(replies), name, minReplies)
	}
}

// selectLeafs returns the IDs of the leafs that the selector zone=Z or leaf=ID
// matches.
func (c *cluster) selectLeafs(ts *testscript.TestScript, selector string) map[string]bool {
	var list []trwire.Instance
	ts.Check(get("http://"+c.proc(ts, "leafs").addr+"/control/instances", &list))
	key, value, _ := strings.Cut(selector, "=")
	selected := map[string]bool{}
	for _, i := range list {
		if key == "zone" && i.Zone == value || key == "leaf" && i.ID == value {
			selected[i.ID] = true
		}
	}
	if len(selected) == 0 {
		ts.Fatalf("no leaf matches %q", selector)
	}
	return selected
}

// checkQuiet checks that the leafs received no sub-query after the deadline. To rule
// out that there was simply no load, the leafs must have received sub-queries before
// the deadline, and other leafs at least minElsewhere after it.
func (c *cluster) checkQuiet(ts *testscript.TestScript, deadline int64, minElsewhere int, leafs map[string]bool) {
	var before, after, elsewhere int
	var late []string
	scan := func() error {
		before, after, elsewhere, late = 0, 0, 0, nil
		for _, e := range c.leafEvents(ts) {
			switch {
			case e.Type != trfakeleaf.EventReceived:
			case !leafs[e.LeafID] && e.TimeNs > deadline:
				elsewhere++
			case leafs[e.LeafID] && e.TimeNs > deadline:
				after++
				late = append(late, fmt.Sprintf("%+d ms: %+v", (e.TimeNs-deadline)/int64(time.Millisecond), e))
			case leafs[e.LeafID]:
				before++
			}
		}
		return atLeast(elsewhere, minElsewhere)
	}
	poll(ts, "sub-queries at other leafs after the deadline", scan)
	ts.Logf("%d sub-queries before the deadline, %d after it, %d elsewhere after it", before, after, elsewhere)
	if before == 0 {
		ts.Fatalf("the leafs received no sub-query before the deadline")
	}
	if after > 0 {
		ts.Fatalf("%d sub-queries after the deadline:\n%s", after, strings.Join(late[:min(5, len(late))], "\n"))
	}
}

// checkFinished checks that every sub-query that occupied a slot at the mark ran to its
// end. Sub-queries canceled before the mark are ignored, because they don't depend on
// the change made at the mark: at a cold leaf, the timeout of a sub-query is a sixth of
// TurnMs, here 33 ms, which a busy machine can exceed.
func (c *cluster) checkFinished(ts *testscript.TestScript, mark int64, leafs map[string]bool) {
	open := map[string]trfakeleaf.Event{}
	poll(ts, "end of the sub-queries that ran at the mark", func() error {
		clear(open)
		for _, e := range c.leafEvents(ts) {
			switch {
			case !leafs[e.LeafID]:
			case e.Type == trfakeleaf.EventStarted && e.TimeNs <= mark:
				open[e.SubID] = e
			case e.Type == trfakeleaf.EventFinished:
				delete(open, e.SubID)
			case e.Type == trfakeleaf.EventCanceled && e.TimeNs <= mark:
				delete(open, e.SubID)
			case e.Type == trfakeleaf.EventCanceled && open[e.SubID].SubID != "":
				ts.Fatalf("sub-query that ran at the mark was canceled %d ms after it: %+v", (e.TimeNs-mark)/int64(time.Millisecond), e)
			}
		}
		return atLeast(0, len(open))
	})
}

// execution holds what the leafs' journals record about one request ID.
type execution struct {
	count   int
	firstNs int64 // Unix time of the first execution
}

func (c *cluster) checkOnce(ts *testscript.TestScript, minExecuted int, loads []string) {
	replies := map[string][]requestRecord{}
	for _, name := range loads {
		for _, r := range c.load(ts, name).all() {
			replies[r.RequestID] = append(replies[r.RequestID], r)
		}
	}
	executions := map[string]execution{}
	for _, e := range c.leafEvents(ts) {
		if e.Type != trfakeleaf.EventExecuted {
			continue
		}
		x := executions[e.RequestID]
		if x.count++; x.count == 1 {
			x.firstNs = e.TimeNs
		}
		executions[e.RequestID] = x
	}
	var violations []string
	for id, x := range executions {
		if x.count > 1 {
			violations = append(violations, fmt.Sprintf("%s was executed %d times", id, x.count))
		}
	}
	for id, list := range replies {
		violations = append(violations, inconsistentReplies(executions[id], list)...)
	}
	ts.Logf("%d request IDs, %d executed", len(replies), len(executions))
	if len(violations) > 0 {
		ts.Fatalf("%d violations of at-most-once execution:\n%s", len(violations), strings.Join(violations[:min(8, len(violations))], "\n"))
	}
	if len(executions) < minExecuted {
		ts.Fatalf("%d request IDs were executed, want at least %d", len(executions), minExecuted)
	}
}

// inconsistentReplies describes the replies to one request ID that contradict its
// execution x or each other.
func inconsistentReplies(x execution, replies []requestRecord) []string {
	var violations []string
	notRun, results := 0, map[string]bool{}
	for _, r := range replies {
		switch trwire.RefusalKind(r.Outcome) {
		case trwire.NotRun, trwire.Overloaded, trwire.BadRequest:
			notRun++
			if x.count > 0 && r.Start > x.firstNs {
				violations = append(violations, fmt.Sprintf("refused as not run after its execution: %+v", r))
			}
		case outcomeWhole:
			results[r.Result] = true
			if x.count == 0 {
				violations = append(violations, fmt.Sprintf("answered but not executed: %+v", r))
			}
		}
	}
	if notRun == len(replies) && x.count > 0 {
		violations = append(violations, fmt.Sprintf("executed, but every reply says it was not run: %+v", replies))
	}
	if len(results) > 1 {
		violations = append(violations, fmt.Sprintf("replies with different results: %+v", replies))
	}
	return violations
}

// process identifies a process of an instance.
type process struct {
	instance  string
	startedMs int64
}

func (c *cluster) checkRevisions(ts *testscript.TestScript, deadline int64, revision uint64) {
	sampled := map[string]bool{}
	poll(ts, "status samples after the deadline", func() error {
		sampled = map[string]bool{}
		for _, s := range c.sampler.all() {
			if s.SentNs > deadline {
				sampled[s.Instance] = true
			}
		}
		return atLeast(len(sampled), len(c.sampler.list()))
	})
	if violation := revisionViolation(c.sampler.all(), deadline, revision); violation != "" {
		ts.Fatalf("%s", violation)
	}
}

// revisionViolation describes the first sample in which an instance goes back to an older
// revision, is ready without a configuration, or has an older revision than the given one
// after the deadline. It returns "" if there is none.
func revisionViolation(samples []sample, deadline int64, revision uint64) string {
	last := map[string]uint64{}
	configured := map[process]bool{}
	for _, s := range samples {
		p := process{s.Instance, s.Status.StartedMs}
		configured[p] = configured[p] || s.Status.ConfigRevision > 0
		switch {
		case !configured[p]: // a process that replaces another has no configuration at first
			if s.Status.Ready {
				return fmt.Sprintf("%s is ready without a configuration", s.Instance)
			}
		case s.Status.ConfigRevision < last[s.Instance]:
			return fmt.Sprintf("%s went back from revision %d to %d", s.Instance, last[s.Instance], s.Status.ConfigRevision)
		default:
			last[s.Instance] = s.Status.ConfigRevision
		}
		if s.SentNs > deadline && s.Status.ConfigRevision < revision {
			return fmt.Sprintf("%s reports revision %d, %d ms after the deadline", s.Instance, s.Status.ConfigRevision, (s.SentNs-deadline)/int64(time.Millisecond))
		}
	}
	return ""
}

// TestRevisionCheckDetectsViolations guards against a check that misses an older revision.
func TestRevisionCheckDetectsViolations(t *testing.T) {
	at := func(sentNs, startedMs int64, revision uint64, ready bool) sample {
		return sample{Instance: "a", SentNs: sentNs, Status: trserver.Status{StartedMs: startedMs, ConfigRevision: revision, Ready: ready}}
	}
	const deadline = 10
	for _, tc := range []struct {
		name    string
		samples []sample
		want    string
	}{
		{"newer", []sample{at(1, 1, 1, true), at(2, 1, 2, true), at(11, 1, 2, true)}, ""},
		{"replaced", []sample{at(1, 1, 2, true), at(2, 2, 0, false), at(3, 2, 2, true)}, ""},
		{"same process loses it", []sample{at(1, 1, 2, true), at(2, 1, 0, false)}, "went back"},
		{"replaced by an older one", []sample{at(1, 1, 2, true), at(2, 2, 1, true)}, "went back"},
		{"ready too early", []sample{at(1, 1, 2, true), at(2, 2, 0, true)}, "is ready without"},
		{"late", []sample{at(1, 1, 1, true), at(11, 1, 1, true)}, "after the deadline"},
		{"replaced late", []sample{at(1, 1, 2, true), at(11, 2, 0, false)}, "after the deadline"},
	} {
		got := revisionViolation(tc.samples, deadline, 2)
		assert.Equal(t, got != "", tc.want != "", "%s: %q", tc.name, got)
		assert.Assert(t, strings.Contains(got, tc.want), "%s: %q", tc.name, got)
	}
}
