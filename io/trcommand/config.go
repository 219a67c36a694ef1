package trcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

type configGroup struct {
	Check *configCheck `arg:"subcommand:check" help:"report every fault of a configuration file"`
	Diff  *configDiff  `arg:"subcommand:diff" help:"show what a file would change"`
	Apply *configApply `arg:"subcommand:apply" help:"write a file as the next revision"`
	Show  *configShow  `arg:"subcommand:show" help:"print the stored configuration"`
}

type configCheck struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *configCheck) run(s *session) int {
	if _, ok := s.parse(c.File); !ok {
		return ExitFailed
	}
	s.print("%s: no faults", c.File)
	return ExitOK
}

type configDiff struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *configDiff) run(s *session) int {
	doc, ok := s.parse(c.File)
	if !ok {
		return ExitFailed
	}
	editor, code := s.editor()
	if code != ExitOK {
		return code
	}
	ctx, cancel := s.bounded()
	defer cancel()
	present, err := editor.Read(ctx)
	if err != nil {
		return s.fail(err)
	}
	next := trconfig.Clone(present)
	merge(next, doc)
	s.differences(present, next)
	return ExitOK
}

type configApply struct {
	File         string  `arg:"positional,required" help:"configuration file; lists of what is out that it does not mention stay as they are"`
	BaseRevision *uint64 `arg:"--base-revision" placeholder:"N" help:"apply only if N is the present revision [default: Revision of the file, if it has one]"`
}

func (c *configApply) run(s *session) int {
	doc, ok := s.parse(c.File)
	if !ok {
		return ExitFailed
	}
	base := c.BaseRevision
	if base == nil && doc.Revision > 0 {
		base = &doc.Revision
	}
	return s.change(func(present *trconfig.Document) error {
		if base != nil && present.Revision != *base {
			return staleError(*base, present, doc)
		}
		merge(present, doc)
		return nil
	})
}

func staleError(base uint64, present, doc *trconfig.Document) error {
	next := trconfig.Clone(present)
	merge(next, doc)
	text := fmt.Sprintf("the change is based on revision %d, but revision %d is there now; the file would make these changes to it:", base, present.Revision)
	for _, d := range trconfig.Diff(present, next) {
		text += "\n  " + d.String()
	}
	return errors.New(text)
}

// merge replaces the content of dst by that of a file. The lists of zones,
// instances and upstreams that are out stay if the file does not mention them,
// so that applying a file does not bring anything back by accident.
func merge(dst, file *trconfig.Document) {
	before := trconfig.Clone(dst)
	*dst = *trconfig.Clone(file)
	dst.Revision = before.Revision
	dst.ChangeID = before.ChangeID
	dst.RecentChangeIDs = before.RecentChangeIDs
	keep(&dst.ZonesOut, before.ZonesOut)
	keep(&dst.InstancesOut, before.InstancesOut)
	keep(&dst.UpstreamsOut, before.UpstreamsOut)
}

func keep(list *[]string, before []string) {
	if *list == nil {
		*list = before
	}
}

type configShow struct{}

func (c *configShow) run(s *session) int {
	editor, code := s.editor()
	if code != ExitOK {
		return code
	}
	ctx, cancel := s.bounded()
	defer cancel()
	doc, err := editor.Read(ctx)
	if err != nil {
		return s.fail(err)
	}
	return s.printJSON(doc)
}

func (s *session) printJSON(v any) int {
	enc := json.NewEncoder(s.streams.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return s.fail(err)
	}
	return ExitOK
}

// parse reads a configuration file and prints its faults.
func (s *session) parse(file string) (*trconfig.Document, bool) {
	data, err := readFile(file)
	if err != nil {
		s.fail(err)
		return nil, false
	}
	doc, findings := trconfig.Parse(file, data)
	for _, f := range findings {
		s.note("%v", f)
	}
	return doc, len(findings) == 0
}

// readFile reads at most one byte more than a document may have, which Parse
// then reports.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, trwire.MaxValueBytes+1))
}

var errNoChange = errors.New("no change")

// change edits the stored configuration and prints what changed.
func (s *session) change(edit func(*trconfig.Document) error) int {
	editor, code := s.editor()
	if code != ExitOK {
		return code
	}
	ctx, cancel := s.bounded()
	defer cancel()
	var before *trconfig.Document
	after, err := editor.Change(ctx, newID(), func(doc *trconfig.Document) error {
		before = trconfig.Clone(doc)
		if err := edit(doc); err != nil {
			return err
		}
		if len(trconfig.Diff(before, doc)) == 0 {
			return errNoChange
		}
		return nil
	})
	if errors.Is(err, errNoChange) {
		s.print("revision %d: no change", before.Revision)
		return ExitOK
	}
	if err != nil {
		return s.fail(err)
	}
	s.print("revision %d (change %s) is written", after.Revision, after.ChangeID)
	s.differences(before, after)
	return ExitOK
}

func (s *session) differences(before, after *trconfig.Document) {
	diff := trconfig.Diff(before, after)
	for _, d := range diff {
		s.print("  %v", d)
	}
	if len(diff) == 0 {
		s.print("no difference from revision %d", before.Revision)
	}
}

// name is the argument of the commands that take something out or bring it back.
type name struct {
	Name string `arg:"positional,required" help:"name or ID"`
}

type zoneCommand struct {
	Out *zoneOut `arg:"subcommand:out" help:"take the zone out of service; running work finishes"`
	In  *zoneIn  `arg:"subcommand:in" help:"bring the zone back with slow start"`
}

type instanceCommand struct {
	Out *instanceOut `arg:"subcommand:out" help:"take the instance out of service"`
	In  *instanceIn  `arg:"subcommand:in" help:"bring the instance back"`
}

type upstreamCommand struct {
	Out *upstreamOut `arg:"subcommand:out" help:"take the upstream out of service"`
	In  *upstreamIn  `arg:"subcommand:in" help:"bring the upstream back with slow start"`
}

type (
	zoneOut     struct{ name }
	zoneIn      struct{ name }
	instanceOut struct{ name }
	instanceIn  struct{ name }
	upstreamOut struct{ name }
	upstreamIn  struct{ name }
)

func zones(d *trconfig.Document) *[]string     { return &d.ZonesOut }
func instances(d *trconfig.Document) *[]string { return &d.InstancesOut }
func upstreams(d *trconfig.Document) *[]string { return &d.UpstreamsOut }

func (c *zoneOut) run(s *session) int     { return s.takeOut(zones, c.Name) }
func (c *zoneIn) run(s *session) int      { return s.bringBack(zones, c.Name) }
func (c *instanceOut) run(s *session) int { return s.takeOut(instances, c.Name) }
func (c *instanceIn) run(s *session) int  { return s.bringBack(instances, c.Name) }
func (c *upstreamOut) run(s *session) int { return s.takeOut(upstreams, c.Name) }
func (c *upstreamIn) run(s *session) int  { return s.bringBack(upstreams, c.Name) }

func (s *session) takeOut(list func(*trconfig.Document) *[]string, name string) int {
	return s.change(func(doc *trconfig.Document) error {
		if out := list(doc); !slices.Contains(*out, name) {
			*out = append(*out, name)
		}
		return nil
	})
}

func (s *session) bringBack(list func(*trconfig.Document) *[]string, name string) int {
	return s.change(func(doc *trconfig.Document) error {
		out := list(doc)
		*out = slices.DeleteFunc(*out, func(n string) bool { return n == name })
		return nil
	})
}
