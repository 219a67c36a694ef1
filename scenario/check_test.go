package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"tanagerrock/core/trwire"
	"tanagerrock/io/trcaller"
	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakeplatform"
	"tanagerrock/standin/trjournal"
)

// journal reads the journal of a stand-in. A journal that dropped events is no
// evidence.
func journal[E any](ts *testscript.TestScript, p *proc) []E {
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

func (w *world) leafEvents(ts *testscript.TestScript) []trfakeleaf.Event {
	return journal[trfakeleaf.Event](ts, w.proc(ts, "leafs"))
}

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func (w *world) mark(ts *testscript.TestScript, name string) int64 {
	at, ok := w.marks[name]
	if !ok {
		ts.Fatalf("no mark %q", name)
	}
	return at
}

func cmdMark(w *world, ts *testscript.TestScript, args []string) {
	if args[1] == "now" {
		w.marks[args[0]] = time.Now().UnixNano()
		return
	}
	events := journal[trfakeplatform.Event](ts, w.proc(ts, "platform"))
	for _, e := range events {
		if string(e.Type) == args[2] && (len(args) < 4 || e.Key == args[3]) {
			w.marks[args[0]] = e.TimeNs
		}
	}
	w.mark(ts, args[0])
}

// cmdAwait polls a condition:
//
//	ready NAME...                 the instances are ready
//	whole SERVICE                 every running instance answers a query whole
//	status NAME FIELD VALUE       a field of the status has a value
//	load NAME N [OUTCOME]         the stream has N more replies (with the outcome)
//	event platform|leafs TYPE N   the journal has at least N events of the type
//	received MARK N PREFIX=...    each named leaf received N sub-queries after the mark
//	past MARK MS                  the time is MS after the mark
func cmdAwait(w *world, ts *testscript.TestScript, args []string) {
	look := w.condition(ts, args)
	poll(ts, "await "+strings.Join(args, " "), look)
}

func (w *world) condition(ts *testscript.TestScript, args []string) func() error {
	switch args[0] {
	case "ready":
		return func() error { return w.allReady(ts, args[1:]) }
	case "whole":
		return func() error { return w.allWhole(args[1]) }
	case "status":
		return func() error { return w.statusIs(ts, args[1], args[2], args[3]) }
	case "load":
		l, outcome := w.load(ts, args[1]), strings.Join(args[3:], "")
		want := l.count(outcome) + number(ts, args[2])
		return func() error { return atLeast(l.count(outcome), want) }
	case "event":
		return func() error { return atLeast(w.countEvents(ts, args[1], args[2]), number(ts, args[3])) }
	case "received":
		mark, want, leafs := w.mark(ts, args[1]), number(ts, args[2]), w.selectLeafs(ts, args[3])
		return func() error { return w.received(ts, mark, want, leafs) }
	case "past":
		end := w.mark(ts, args[1]) + int64(number(ts, args[2]))*int64(time.Millisecond)
		return func() error { return atLeast(int(time.Now().UnixNano()-end), 0) }
	}
	ts.Fatalf("cannot await %q", args[0])
	return nil
}

func atLeast(got, want int) error {
	if got < want {
		return errors.Errorf("%d, want at least %d", got, want)
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

func (w *world) countEvents(ts *testscript.TestScript, source, eventType string) int {
	n := 0
	if source == "platform" {
		for _, e := range journal[trfakeplatform.Event](ts, w.proc(ts, "platform")) {
			if string(e.Type) == eventType {
				n++
			}
		}
		return n
	}
	for _, e := range w.leafEvents(ts) {
		if string(e.Type) == eventType {
			n++
		}
	}
	return n
}

func (w *world) received(ts *testscript.TestScript, mark int64, want int, leafs map[string]bool) error {
	counts := map[string]int{}
	for _, e := range w.leafEvents(ts) {
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

func (w *world) allReady(ts *testscript.TestScript, names []string) error {
	for _, name := range names {
		if err := get("http://"+w.proc(ts, name).addr+"/readyz", nil); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) allWhole(service string) error {
	client := trcaller.New(1)
	defer client.Close()
	for _, p := range w.instances() {
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

func (w *world) statusIs(ts *testscript.TestScript, name, field, value string) error {
	var fields map[string]any
	if err := get("http://"+w.proc(ts, name).addr+"/v1/status", &fields); err != nil {
		return err
	}
	if got := fmt.Sprint(fields[field]); got != value {
		return errors.Errorf("%s is %s, want %s", field, got, value)
	}
	return nil
}

// cmdCheck judges records and journals:
//
//	outcomes LOAD MIN OUTCOME...   at least MIN replies, all of these outcomes
//	quiet MARK MS MIN PREFIX=...   no sub-query reached the named leafs MS after the
//	                               mark, while MIN reached other leafs
//	finished MARK PREFIX=...       every sub-query that ran at the mark finished
//	once MIN LOAD...               at most once, and refusals tell the truth
//	none TYPE                      no event of the type in the leafs' journals
//	revisions MARK MS N            no instance shows a revision below N later than
//	                               MS after the mark, none ever steps back
func cmdCheck(w *world, ts *testscript.TestScript, args []string) {
	switch args[0] {
	case "outcomes":
		w.checkOutcomes(ts, args[1], number(ts, args[2]), args[3:])
	case "quiet":
		w.checkQuiet(ts, w.mark(ts, args[1])+int64(number(ts, args[2]))*int64(time.Millisecond), number(ts, args[3]), w.selectLeafs(ts, args[4]))
	case "finished":
		w.checkFinished(ts, w.mark(ts, args[1]), w.selectLeafs(ts, args[2]))
	case "none":
		if n := w.countEvents(ts, "leafs", args[1]); n > 0 {
			ts.Fatalf("%d events %s", n, args[1])
		}
	case "once":
		w.checkOnce(ts, number(ts, args[1]), args[2:])
	case "revisions":
		w.checkRevisions(ts, w.mark(ts, args[1])+int64(number(ts, args[2]))*int64(time.Millisecond), uint64(number(ts, args[3])))
	default:
		ts.Fatalf("cannot check %q", args[0])
	}
}

func (w *world) checkOutcomes(ts *testscript.TestScript, name string, least int, allowed []string) {
	replies := w.load(ts, name).all()
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
		ts.Fatalf("%d of %d replies to %s are not %v, the first ones are:\n%s", len(bad), len(replies), name, allowed, strings.Join(bad[:min(5, len(bad))], "\n"))
	}
	if len(replies) < least {
		ts.Fatalf("%d replies to %s, want at least %d", len(replies), name, least)
	}
}

// selectLeafs returns the IDs of the leafs of zone=Z or leaf=ID.
func (w *world) selectLeafs(ts *testscript.TestScript, selector string) map[string]bool {
	var list []trwire.Instance
	ts.Check(get("http://"+w.proc(ts, "leafs").addr+"/control/instances", &list))
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

// checkQuiet needs evidence on both sides: the leafs had work before, and others
// have work after the bound.
func (w *world) checkQuiet(ts *testscript.TestScript, bound int64, least int, leafs map[string]bool) {
	var before, after, elsewhere int
	var late []string
	look := func() error {
		before, after, elsewhere, late = 0, 0, 0, nil
		for _, e := range w.leafEvents(ts) {
			switch {
			case e.Type != trfakeleaf.EventReceived:
			case !leafs[e.LeafID] && e.TimeNs > bound:
				elsewhere++
			case leafs[e.LeafID] && e.TimeNs > bound:
				after++
				late = append(late, fmt.Sprintf("%+d ms: %+v", (e.TimeNs-bound)/int64(time.Millisecond), e))
			case leafs[e.LeafID]:
				before++
			}
		}
		return atLeast(elsewhere, least)
	}
	poll(ts, "sub-queries at other leafs after the bound", look)
	ts.Logf("%d sub-queries before the bound, %d after it, %d elsewhere after it", before, after, elsewhere)
	if before == 0 {
		ts.Fatalf("the leafs had no work before the bound")
	}
	if after > 0 {
		ts.Fatalf("%d sub-queries after the bound:\n%s", after, strings.Join(late[:min(5, len(late))], "\n"))
	}
}

// checkFinished looks at sub-queries that had a slot at the mark. What was canceled
// before it says nothing of what the mark stands for: a sub-query at a cold leaf may
// take a sixth of a turn, here 33 ms, and is canceled then on a busy machine.
func (w *world) checkFinished(ts *testscript.TestScript, mark int64, leafs map[string]bool) {
	open := map[string]trfakeleaf.Event{}
	poll(ts, "end of running work", func() error {
		clear(open)
		for _, e := range w.leafEvents(ts) {
			switch {
			case !leafs[e.LeafID]:
			case e.Type == trfakeleaf.EventStarted && e.TimeNs <= mark:
				open[e.SubID] = e
			case e.Type == trfakeleaf.EventFinished:
				delete(open, e.SubID)
			case e.Type == trfakeleaf.EventCanceled && e.TimeNs <= mark:
				delete(open, e.SubID)
			case e.Type == trfakeleaf.EventCanceled && open[e.SubID].SubID != "":
				ts.Fatalf("running work was canceled %d ms after the mark: %+v", (e.TimeNs-mark)/int64(time.Millisecond), e)
			}
		}
		return atLeast(0, len(open))
	})
}

// truth is what the leafs' journals say of one identifier.
type truth struct {
	executed int
	first    int64 // time of the first Executed
}

func (w *world) checkOnce(ts *testscript.TestScript, least int, loads []string) {
	replies := map[string][]reply{}
	for _, name := range loads {
		for _, r := range w.load(ts, name).all() {
			replies[r.RequestID] = append(replies[r.RequestID], r)
		}
	}
	truths := map[string]truth{}
	for _, e := range w.leafEvents(ts) {
		if e.Type != trfakeleaf.EventExecuted {
			continue
		}
		t := truths[e.RequestID]
		if t.executed++; t.executed == 1 {
			t.first = e.TimeNs
		}
		truths[e.RequestID] = t
	}
	var faults []string
	for id, t := range truths {
		if t.executed > 1 {
			faults = append(faults, fmt.Sprintf("%s was executed %d times", id, t.executed))
		}
	}
	for id, list := range replies {
		faults = append(faults, falseReplies(truths[id], list)...)
	}
	ts.Logf("%d identifiers, %d executed", len(replies), len(truths))
	if len(faults) > 0 {
		ts.Fatalf("%d faults:\n%s", len(faults), strings.Join(faults[:min(8, len(faults))], "\n"))
	}
	if len(truths) < least {
		ts.Fatalf("%d identifiers were executed, want at least %d", len(truths), least)
	}
}

// falseReplies returns the faults of the replies to one identifier.
func falseReplies(t truth, list []reply) []string {
	var faults []string
	notRun, results := 0, map[string]bool{}
	for _, r := range list {
		switch trwire.RefusalKind(r.Outcome) {
		case trwire.NotRun, trwire.Overloaded, trwire.BadRequest:
			notRun++
			if t.executed > 0 && r.Start > t.first {
				faults = append(faults, fmt.Sprintf("refused as not run after it had run: %+v", r))
			}
		case outcomeWhole:
			results[r.Result] = true
			if t.executed == 0 {
				faults = append(faults, fmt.Sprintf("answered but not executed: %+v", r))
			}
		}
	}
	if notRun == len(list) && t.executed > 0 {
		faults = append(faults, fmt.Sprintf("every reply says not run, but it ran: %+v", list))
	}
	if len(results) > 1 {
		faults = append(faults, fmt.Sprintf("different results: %+v", list))
	}
	return faults
}

func (w *world) checkRevisions(ts *testscript.TestScript, bound int64, revision uint64) {
	late := map[string]bool{}
	poll(ts, "samples after the bound", func() error {
		late = map[string]bool{}
		for _, s := range w.look.all() {
			if s.Asked > bound {
				late[s.Instance] = true
			}
		}
		return atLeast(len(late), len(w.look.list()))
	})
	last := map[string]uint64{}
	for _, s := range w.look.all() {
		if s.Status.ConfigRevision < last[s.Instance] {
			ts.Fatalf("%s stepped back from revision %d to %d", s.Instance, last[s.Instance], s.Status.ConfigRevision)
		}
		last[s.Instance] = s.Status.ConfigRevision
		if s.Asked > bound && s.Status.ConfigRevision < revision {
			ts.Fatalf("%s shows revision %d, %d ms after the bound", s.Instance, s.Status.ConfigRevision, (s.Asked-bound)/int64(time.Millisecond))
		}
	}
	ts.Logf("revisions: %v", last)
}
