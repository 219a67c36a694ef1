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
	Check *configCheck `arg:"subcommand:check" help:"report all errors and warnings of a configuration file"`
	Diff  *configDiff  `arg:"subcommand:diff" help:"show what applying a file would change"`
	Apply *configApply `arg:"subcommand:apply" help:"write a file as the next revision"`
	Show  *configShow  `arg:"subcommand:show" help:"print the stored configuration"`
}

type configDiff struct {
	File string `arg:"positional,required" help:"configuration file"`
}

func (c *configDiff) run(s *session) int {
	doc, ok := s.parseFile(c.File)
	if !ok {
		return ExitFailed
	}
	editor, code := s.editor()
	if code != ExitOK {
		return code
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	current, err := editor.Read(ctx)
	if err != nil {
		return s.fail(err)
	}
	next := trconfig.Clone(current)
	replaceContent(next, doc)
	s.printDiff(current, next)
	return ExitOK
}

type configApply struct {
	File         string  `arg:"positional,required" help:"configuration file; ZonesOut, InstancesOut and UpstreamsOut stay as they are if the file does not contain them"`
	BaseRevision *uint64 `arg:"--base-revision" placeholder:"N" help:"apply only if N is the current revision [default: Revision in the file, if set]"`
}

func (c *configApply) run(s *session) int {
	doc, ok := s.parseFile(c.File)
	if !ok {
		return ExitFailed
	}
	base := c.BaseRevision
	if base == nil && doc.Revision > 0 {
		base = &doc.Revision
	}
	return s.change(func(current *trconfig.Document) error {
		if base != nil && current.Revision != *base {
			return staleBaseError(*base, current, doc)
		}
		replaceContent(current, doc)
		return nil
	})
}

// staleBaseError returns the error for a change that is not based on the current
// revision. It lists the changes that applying the file would make.
func staleBaseError(base uint64, current, doc *trconfig.Document) error {
	next := trconfig.Clone(current)
	replaceContent(next, doc)
	text := fmt.Sprintf("the change is based on revision %d, but the stored revision is %d; applying the file to the stored revision would make these changes:", base, current.Revision)
	for _, d := range trconfig.Diff(current, next) {
		text += "\n  " + d.String()
	}
	return errors.New(text)
}

// replaceContent replaces the content of dst with that of file. Revision, ChangeID and
// RecentChangeIDs of dst are kept, and so are ZonesOut, InstancesOut and UpstreamsOut if
// the file does not contain them, so that applying a file does not bring anything back
// into service by accident.
func replaceContent(dst, file *trconfig.Document) {
	before := trconfig.Clone(dst)
	*dst = *trconfig.Clone(file)
	dst.Revision = before.Revision
	dst.ChangeID = before.ChangeID
	dst.RecentChangeIDs = before.RecentChangeIDs
	keepIfUnset(&dst.ZonesOut, before.ZonesOut)
	keepIfUnset(&dst.InstancesOut, before.InstancesOut)
	keepIfUnset(&dst.UpstreamsOut, before.UpstreamsOut)
}

func keepIfUnset(list *[]string, before []string) {
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
	ctx, cancel := s.withTimeout()
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

// parseFile reads a configuration file and prints its faults. It reports whether the
// file is valid.
func (s *session) parseFile(file string) (*trconfig.Document, bool) {
	data, err := readFile(file)
	if err != nil {
		s.fail(err)
		return nil, false
	}
	doc, findings := trconfig.Parse(file, data)
	for _, f := range findings {
		s.printErr("%v", f)
	}
	return doc, len(findings) == 0
}

// readFile reads at most one byte more than the maximum size of a document, so that
// Parse can report a document that is too large.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, trwire.MaxValueBytes+1))
}

var errNoChange = errors.New("no change")

// change edits the stored configuration and prints the differences.
func (s *session) change(edit func(*trconfig.Document) error) int {
	editor, code := s.editor()
	if code != ExitOK {
		return code
	}
	ctx, cancel := s.withTimeout()
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
	s.printDiff(before, after)
	return ExitOK
}

func (s *session) printDiff(before, after *trconfig.Document) {
	diff := trconfig.Diff(before, after)
	for _, d := range diff {
		s.print("  %v", d)
	}
	if len(diff) == 0 {
		s.print("no difference from revision %d", before.Revision)
	}
}

// nameArg is the argument of the commands that take something out of service or bring
// it back.
type nameArg struct {
	Name string `arg:"positional,required" help:"name or ID"`
}

type zoneCommand struct {
	Out *zoneOut `arg:"subcommand:out" help:"take the zone out of service; requests in progress finish"`
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
	zoneOut     struct{ nameArg }
	zoneIn      struct{ nameArg }
	instanceOut struct{ nameArg }
	instanceIn  struct{ nameArg }
	upstreamOut struct{ nameArg }
	upstreamIn  struct{ nameArg }
)

func zonesOut(d *trconfig.Document) *[]string     { return &d.ZonesOut }
func instancesOut(d *trconfig.Document) *[]string { return &d.InstancesOut }
func upstreamsOut(d *trconfig.Document) *[]string { return &d.UpstreamsOut }

func (c *zoneOut) run(s *session) int     { return s.takeOut(zonesOut, c.Name) }
func (c *zoneIn) run(s *session) int      { return s.bringBack(zonesOut, c.Name) }
func (c *instanceOut) run(s *session) int { return s.takeOut(instancesOut, c.Name) }
func (c *instanceIn) run(s *session) int  { return s.bringBack(instancesOut, c.Name) }
func (c *upstreamOut) run(s *session) int { return s.takeOut(upstreamsOut, c.Name) }
func (c *upstreamIn) run(s *session) int  { return s.bringBack(upstreamsOut, c.Name) }

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
