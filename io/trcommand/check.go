package trcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"

	"github.com/pkg/errors"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trlint"
	"tanagerrock/core/trwire"
)

type configCheck struct {
	File      string `arg:"positional,required" help:"configuration file"`
	Against   string `arg:"--against" placeholder:"WHAT" help:"show the differences from this configuration: a file, 'platform' for the stored one, or for a gateway the host:port of the store"`
	Gateway   bool   `arg:"--gateway" help:"the file is the configuration of a gateway [default: detected]"`
	Instances int    `arg:"--instances" placeholder:"N" help:"of a gateway: check limits of connections for N instances"`
	MemoryMB  int64  `arg:"--memory-mb" placeholder:"N" help:"of a gateway: check limits of sizes for instances with N MB of memory (1 MB = 1,048,576 bytes, as in the settings)"`
	JSON      bool   `arg:"--json" help:"print findings and differences as JSON"`
}

// extraHelp describes the exit codes.
func (*configCheck) extraHelp() string {
	return `
Exit codes of config check:
  0  no finding; differences from --against are no findings
  1  errors: the configuration would be refused, or a file or store cannot be read
  2  invalid arguments
  3  warnings only: entries without effect, or limits that contradict each other
`
}

// checkFinding is a finding with its position.
type checkFinding struct {
	File     string          `json:"File"`
	Line     int             `json:"Line"`
	Column   int             `json:"Column"` // in bytes, 1-based
	Path     string          `json:"Path"`   // in the file; empty if it is part of the message
	Severity trlint.Severity `json:"Severity"`
	Message  string          `json:"Message"`
}

// String returns the finding as file:line:column: message, as trconfig.Finding does.
func (f checkFinding) String() string {
	message := f.Message
	if f.Path != "" {
		message = f.Path + ": " + message
	}
	if f.Severity == trlint.Warning {
		message = "warning: " + message
	}
	return trconfig.Finding{File: f.File, Line: f.Line, Column: f.Column, Message: message}.String()
}

// checkResult is the output of config check.
type checkResult struct {
	Findings    []checkFinding      `json:"Findings"`
	Differences []trlint.Difference `json:"Differences"`
}

// exitCode returns the exit code for the findings.
func (r *checkResult) exitCode() int {
	code := ExitOK
	for _, f := range r.Findings {
		if f.Severity == trlint.Error {
			return ExitFailed
		}
		code = ExitWarnings
	}
	return code
}

func (c *configCheck) run(s *session) int {
	if c.Instances < 0 || c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB {
		s.printErr("error: --instances or --memory-mb is out of range")
		return ExitUsage
	}
	data, err := readFile(c.File)
	if err != nil {
		return s.fail(err)
	}
	format := s.runners.GatewayFormat
	if c.Gateway && format == nil {
		return s.fail(errors.New("this program was built without gateway"))
	}
	result := &checkResult{Findings: []checkFinding{}, Differences: []trlint.Difference{}}
	switch {
	case c.Gateway || format != nil && len(data) <= trwire.MaxValueBytes && format.Detect(data):
		err = c.checkGateway(s, data, result)
	case c.Instances > 0 || c.MemoryMB > 0:
		s.printErr("error: --instances and --memory-mb are for the configuration of a gateway")
		return ExitUsage
	case c.Against == storedConfig && len(s.args.Platform) == 0:
		_, code := s.editor()
		return code
	default:
		err = c.checkOwn(s, data, result)
	}
	if err != nil {
		// The findings are printed although there is nothing to compare with.
		message := errors.Wrapf(err, "--against %s", c.Against).Error()
		result.Findings = append(result.Findings, checkFinding{File: c.Against, Severity: trlint.Error, Message: message})
	}
	return c.print(s, result)
}

// storedConfig is the value of --against for the configuration stored on the platform.
const storedConfig = "platform"

// maxMemoryMB limits --memory-mb so that its number of bytes does not overflow.
const maxMemoryMB = 1 << 40

func (c *configCheck) print(s *session, result *checkResult) int {
	if c.JSON {
		if code := s.printJSON(result); code != ExitOK {
			return code
		}
		return result.exitCode()
	}
	for _, f := range result.Findings {
		s.printErr("%v", f)
	}
	if len(result.Findings) == 0 {
		s.print("%s: no faults", c.File)
	}
	for _, d := range result.Differences {
		s.print("  %v", d)
	}
	if c.Against != "" && len(result.Differences) == 0 && result.exitCode() != ExitFailed {
		s.print("no difference from %s", c.Against)
	}
	return result.exitCode()
}

// checkOwn checks a file in the program's own format.
func (c *configCheck) checkOwn(s *session, data []byte, result *checkResult) error {
	doc, findings := trconfig.Parse(c.File, data)
	for _, f := range findings {
		result.Findings = append(result.Findings, checkFinding{f.File, f.Line, f.Column, "", trlint.Error, f.Message})
	}
	for _, f := range trconfig.Warnings(c.File, data) {
		result.Findings = append(result.Findings, checkFinding{f.File, f.Line, f.Column, "", trlint.Warning, f.Message})
	}
	if c.Against == "" || doc == nil {
		return nil
	}
	current, err := c.readOwn(s)
	if err != nil {
		return err
	}
	next := trconfig.Clone(current)
	replaceContent(next, doc)
	for _, d := range trconfig.Diff(current, next) {
		result.Differences = append(result.Differences, trlint.Difference(d))
	}
	return nil
}

// readOwn reads the document to compare with.
func (c *configCheck) readOwn(s *session) (*trconfig.Document, error) {
	if c.Against == storedConfig {
		editor, _ := s.editor() // run has checked that there is a platform
		ctx, cancel := s.withTimeout()
		defer cancel()
		return editor.Read(ctx)
	}
	data, err := readFile(c.Against)
	if err != nil {
		return nil, err
	}
	doc, findings := trconfig.Parse(c.Against, data)
	if len(findings) > 0 {
		return nil, &trconfig.InvalidError{Findings: findings}
	}
	return doc, nil
}

// checkGateway checks a file in the format of the gateway's platform.
func (c *configCheck) checkGateway(s *session, data []byte, result *checkResult) error {
	cfg, locate, err := s.runners.GatewayFormat.Parse(data)
	if len(data) > trwire.MaxValueBytes {
		err = errors.Errorf("file has more than %d bytes", trwire.MaxValueBytes)
	}
	if err != nil {
		for _, err := range splitJoined(err) {
			line, column := position(data, errorOffset(err))
			result.Findings = append(result.Findings, checkFinding{c.File, line, column, "", trlint.Error, err.Error()})
		}
		return nil
	}
	add := func(findings []trlint.Finding) {
		for _, f := range findings {
			name, offset := locate(f.Path)
			line, column := position(data, offset)
			result.Findings = append(result.Findings, checkFinding{c.File, line, column, name, f.Severity, f.Message})
		}
	}
	add(trlint.Check(cfg, trlint.Fleet{Instances: c.Instances, MemoryBytes: c.MemoryMB << 20}))
	if c.Against == "" {
		return nil
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	current, err := c.readGateway(ctx, s.runners.GatewayFormat)
	if err != nil {
		return err
	}
	add(trlint.CheckSuccessor(current, cfg))
	result.Differences = append(result.Differences, trlint.Diff(current, cfg)...)
	return nil
}

// readGateway reads the configuration to compare with from a file or the store.
func (c *configCheck) readGateway(ctx context.Context, format GatewayFormat) (*trdirectory.Config, error) {
	read := func() ([]byte, error) { return readFile(c.Against) }
	if _, err := os.Stat(c.Against); err != nil {
		if _, _, notAddr := net.SplitHostPort(c.Against); notAddr != nil {
			return nil, errors.Wrap(err, "neither a file nor host:port")
		}
		read = func() ([]byte, error) { return format.Read(ctx, c.Against) }
	}
	data, err := read()
	if err != nil {
		return nil, err
	}
	cfg, _, err := format.Parse(data)
	return cfg, err
}

// splitJoined returns the errors that errors.Join of the standard library joined.
func splitJoined(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// errorOffset returns the offset of an error of encoding/json, or 0.
func errorOffset(err error) int {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return int(syntax.Offset) - 1 // it counts the byte with the error
	case errors.As(err, &mistyped):
		return int(mistyped.Offset) - 1 // counted from 1
	}
	return 0
}

// position returns the line and column of an offset, both 1-based.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(max(offset, 0), len(data))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
