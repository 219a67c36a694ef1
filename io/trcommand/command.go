// Package trcommand implements the command line of tanagerrock.
//
// Main parses the arguments and runs one subcommand. The commands for operators
// read and write the configuration in the platform's store, request the status of
// instances, or send one request to an instance. The program passes in the
// implementations of serve, gateway and demo, so that this package does not depend
// on them.
//
// # Usage
//
//	func main() {
//		std := trcommand.Streams{Out: os.Stdout, Err: os.Stderr}
//		os.Exit(trcommand.Main(os.Args[1:], std, trcommand.Runners{Serve: serve}))
//	}
package trcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	arg "github.com/alexflint/go-arg"
	"github.com/google/uuid"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trdirectory"
	"tanagerrock/io/trplatform"
)

// Exit codes.
const (
	ExitOK      = 0 // success; the answer, if any, is complete
	ExitFailed  = 1 // error or refusal
	ExitUsage   = 2 // invalid arguments
	ExitPartial = 3 // the answer is partial
	// ExitWarnings is the exit code of a check that found warnings only.
	ExitWarnings = 3
)

// Streams holds the output streams of a command.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // errors and other messages
}

// Runners holds the commands that other packages implement. A nil command is
// reported as not built in. The context of a command ends on SIGINT or SIGTERM. Each
// returns an exit code. Without GatewayFormat, config check accepts only the own format.
type Runners struct {
	Serve func(ctx context.Context, settingsFile string, stdout, stderr io.Writer) int
	// Gateway gets a value from hangup for each SIGHUP, after which the settings file may have
	// changed.
	Gateway func(ctx context.Context, settingsFile string, hangup <-chan os.Signal, stdout, stderr io.Writer) int
	Demo    func(ctx context.Context, stdout, stderr io.Writer) int

	GatewayFormat GatewayFormat
}

// GatewayFormat is the format in which operators write the configuration of a gateway to the
// store of their platform.
type GatewayFormat interface {
	// Detect reports whether a file is in this format.
	Detect(data []byte) bool
	// Parse translates a configuration, without a check. locate returns for the path of a
	// field of the result, such as Routes[3].Prefix, its path in the file and the offset of
	// its value, or of the enclosing value if the file does not contain it. The error may
	// join several; each may wrap one of encoding/json whose Offset counts from 1.
	Parse(data []byte) (cfg *trdirectory.Config, locate func(path string) (name string, offset int), err error)
	// Read returns the configuration in force from the store at addr.
	Read(ctx context.Context, addr string) ([]byte, error)
}

// arguments is the command line. The types of subcommands that can be run implement
// command; the others only group subcommands.
type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run an instance of the query tier"`
	Gateway  *gatewayCommand  `arg:"subcommand:gateway" help:"run a gateway instance, which forwards requests without interpreting them, on the platform of its site"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a small fleet with stand-ins on this machine"`
	Config   *configGroup     `arg:"subcommand:config" help:"check, compare, apply or show the configuration"`
	Zone     *zoneCommand     `arg:"subcommand:zone" help:"take an availability zone out of service or bring it back"`
	Instance *instanceCommand `arg:"subcommand:instance" help:"take an instance of the tier out of service or bring it back"`
	Upstream *upstreamCommand `arg:"subcommand:upstream" help:"take an upstream (leaf) out of service or bring it back"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the status of the entry instances"`
	Query    *queryCommand    `arg:"subcommand:query" help:"send a query, fetch or execute to an entry instance"`

	Platform []string      `arg:"--platform,separate,env:TANAGERROCK_PLATFORM" placeholder:"URL" help:"base URL of the platform; repeat it for alternative addresses"`
	Entry    []string      `arg:"--entry,separate,env:TANAGERROCK_ENTRY" placeholder:"ADDR" help:"address of an entry instance; repeat it for more than one"`
	Timeout  time.Duration `arg:"--timeout,env:TANAGERROCK_TIMEOUT" default:"10s" help:"timeout of the command; does not apply to serve, gateway and demo"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "tanagerrock is a query tier between callers and sharded upstreams."
}

// Epilogue returns the last lines of the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success or complete answer, 1 error or refusal, 2 invalid arguments, 3 partial answer or, of config check, warnings only.\n" +
		"Multiple values in an environment variable are separated by commas."
}

// command is a subcommand that can run.
type command interface {
	run(s *session) int
}

// session holds what a command needs to run.
type session struct {
	ctx     context.Context
	args    *arguments
	streams Streams
	runners Runners
}

// Main runs the command line args, without the program's name, and returns the
// exit code.
func Main(args []string, std Streams, run Runners) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{ctx: ctx, args: new(arguments), streams: std, runners: run}
	parser, err := arg.NewParser(arg.Config{Program: "tanagerrock", Out: std.Err, Exit: func(int) {}}, s.args)
	if err != nil {
		return s.fail(err)
	}
	switch err := parser.Parse(args); err {
	case nil:
	case arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(std.Out, parser.SubcommandNames()...)
		if cmd, ok := parser.Subcommand().(interface{ extraHelp() string }); ok {
			fmt.Fprint(std.Out, cmd.extraHelp())
		}
		return ExitOK
	default:
		return usageError(parser, err.Error())
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return usageError(parser, "a subcommand is missing; see --help")
	}
	return cmd.run(s)
}

func usageError(parser *arg.Parser, message string) int {
	_ = parser.FailSubcommand(message, parser.SubcommandNames()...)
	return ExitUsage
}

func (s *session) fail(err error) int {
	s.printErr("error: %v", err)
	return ExitFailed
}

func (s *session) printErr(format string, args ...any) {
	fmt.Fprintf(s.streams.Err, format+"\n", args...)
}

func (s *session) print(format string, args ...any) {
	fmt.Fprintf(s.streams.Out, format+"\n", args...)
}

// withTimeout returns a context that ends after --timeout.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.args.Timeout)
}

// editor returns an editor for the configuration stored on the platform, or an exit
// code other than ExitOK.
func (s *session) editor() (*trconfig.Editor, int) {
	if len(s.args.Platform) == 0 {
		s.printErr("error: no platform is given; set --platform or TANAGERROCK_PLATFORM")
		return nil, ExitUsage
	}
	return &trconfig.Editor{Store: trplatform.New(s.args.Platform...)}, ExitOK
}

func newID() string { return uuid.NewString() }

type serveCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of the instance"`
}

func (c *serveCommand) run(s *session) int {
	if s.runners.Serve == nil {
		s.printErr("error: this program was built without serve")
		return ExitFailed
	}
	return s.runners.Serve(s.ctx, c.Settings, s.streams.Out, s.streams.Err)
}

type gatewayCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of the instance"`
}

func (c *gatewayCommand) run(s *session) int {
	if s.runners.Gateway == nil {
		s.printErr("error: this program was built without gateway")
		return ExitFailed
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	return s.runners.Gateway(s.ctx, c.Settings, hangup, s.streams.Out, s.streams.Err)
}

type demoCommand struct{}

// extraHelp describes the demo and how to run a fleet of separate processes.
func (c *demoCommand) extraHelp() string {
	return `
The demo runs a platform, leafs and six instances in this process, sends 100 queries
per second, takes availability zone b out of service and brings it back. It ends by
itself.

To continue with separate processes, build the programs and start the stand-ins:
  go build -o bin/ ./cmd/...
  bin/tanagerstandin platform --settings examples/local/platform.jsonc &
  bin/tanagerstandin leafs --settings examples/local/leafs.jsonc &
  bin/tanagerrock --platform http://127.0.0.1:7500 config apply examples/config.jsonc
  bin/tanagerrock serve --settings examples/local/instance-a.jsonc &
  bin/tanagerrock serve --settings examples/local/instance-b.jsonc &
Then use status, query, zone, instance and upstream; README.md has the next steps.
`
}

func (c *demoCommand) run(s *session) int {
	if s.runners.Demo == nil {
		s.printErr("error: this program was built without demo")
		return ExitFailed
	}
	return s.runners.Demo(s.ctx, s.streams.Out, s.streams.Err)
}
