// Package trcommand is the command line of tanagerrock.
//
// Main parses the arguments and runs one subcommand. The commands for operators
// read and write the configuration in the platform's store, ask instances for
// their status, or send one request to an instance. The commands serve and demo
// are injected by the program, so that this package depends on neither.
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
	"tanagerrock/io/trplatform"
)

// Exit codes.
const (
	ExitOK      = 0 // done, or answered whole
	ExitFailed  = 1 // error or refusal
	ExitUsage   = 2 // wrong arguments
	ExitPartial = 3 // the answer is partial
)

// Streams are where a command writes.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // faults and notes
}

// Runners are the commands that other packages implement. Their contexts end
// with SIGINT or SIGTERM. They return an exit code.
type Runners struct {
	Serve   func(ctx context.Context, settingsFile string, stdout, stderr io.Writer) int
	Gateway func(ctx context.Context, settingsFile string, stdout, stderr io.Writer) int
	Demo    func(ctx context.Context, stdout, stderr io.Writer) int
}

// arguments is the command line. A type that implements command is the last
// subcommand; the others only group.
type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run an instance of the query tier"`
	Gateway  *gatewayCommand  `arg:"subcommand:gateway" help:"run an instance that passes opaque requests on, on the users' platform"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a small fleet with stand-ins on this machine"`
	Config   *configGroup     `arg:"subcommand:config" help:"check, compare, apply or show the configuration"`
	Zone     *zoneCommand     `arg:"subcommand:zone" help:"take an availability zone out or bring it back"`
	Instance *instanceCommand `arg:"subcommand:instance" help:"take an instance of the tier out or bring it back"`
	Upstream *upstreamCommand `arg:"subcommand:upstream" help:"take an upstream (leaf) out or bring it back"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the status of the entry instances"`
	Query    *queryCommand    `arg:"subcommand:query" help:"send a query, fetch or execute to an entry instance"`

	Platform []string      `arg:"--platform,separate,env:TANAGERROCK_PLATFORM" placeholder:"URL" help:"base URL of the platform; repeat it for alternatives"`
	Entry    []string      `arg:"--entry,separate,env:TANAGERROCK_ENTRY" placeholder:"ADDR" help:"address of an entry instance; repeat it for more"`
	Timeout  time.Duration `arg:"--timeout,env:TANAGERROCK_TIMEOUT" default:"10s" help:"limit for the whole command, except serve and demo"`
}

// Description tells what the program is.
func (arguments) Description() string {
	return "tanagerrock is a query tier between callers and sharded upstreams."
}

// Epilogue tells the exit codes.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done or answered whole, 1 error or refusal, 2 usage, 3 partial answer.\n" +
		"Environment variables with several values separate them by commas."
}

// command is a subcommand that can run.
type command interface {
	run(s *session) int
}

// session is what a command works with.
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
		if cmd, ok := parser.Subcommand().(interface{ more() string }); ok {
			fmt.Fprint(std.Out, cmd.more())
		}
		return ExitOK
	default:
		return usage(parser, err.Error())
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, "a subcommand is missing; see --help")
	}
	return cmd.run(s)
}

func usage(parser *arg.Parser, message string) int {
	_ = parser.FailSubcommand(message, parser.SubcommandNames()...)
	return ExitUsage
}

func (s *session) fail(err error) int {
	s.note("error: %v", err)
	return ExitFailed
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(s.streams.Err, format+"\n", args...)
}

func (s *session) print(format string, args ...any) {
	fmt.Fprintf(s.streams.Out, format+"\n", args...)
}

// bounded returns the context of a command that ends on its own.
func (s *session) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.args.Timeout)
}

// editor returns an editor on the platform, or an exit code other than ExitOK.
func (s *session) editor() (*trconfig.Editor, int) {
	if len(s.args.Platform) == 0 {
		s.note("error: the platform is not given; set --platform or TANAGERROCK_PLATFORM")
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
		s.note("error: this program was built without serve")
		return ExitFailed
	}
	return s.runners.Serve(s.ctx, c.Settings, s.streams.Out, s.streams.Err)
}

type gatewayCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of the instance"`
}

func (c *gatewayCommand) run(s *session) int {
	if s.runners.Gateway == nil {
		s.note("error: this program was built without gateway")
		return ExitFailed
	}
	// A signal to reload changes nothing: the platform writes a settings file
	// for a start, and all that changes later comes from the store.
	signal.Ignore(syscall.SIGHUP)
	return s.runners.Gateway(s.ctx, c.Settings, s.streams.Out, s.streams.Err)
}

type demoCommand struct{}

// more tells what to do after the demo.
func (c *demoCommand) more() string {
	return `
The demo runs platform, leafs and six instances in this process, sends 100 queries
a second and takes availability zone b out and back. It ends by itself.

To play on with separate processes, build the programs and start the stand-ins:
  go build -o bin/ ./cmd/...
  bin/tanagerstandin platform --settings examples/local/platform.jsonc &
  bin/tanagerstandin leafs --settings examples/local/leafs.jsonc &
  bin/tanagerrock --platform http://127.0.0.1:7500 config apply examples/config.jsonc
  bin/tanagerrock serve --settings examples/local/instance-a.jsonc &
  bin/tanagerrock serve --settings examples/local/instance-b.jsonc &
Then use status, query, zone, instance and upstream; README.md goes on from here.
`
}

func (c *demoCommand) run(s *session) int {
	if s.runners.Demo == nil {
		s.note("error: this program was built without demo")
		return ExitFailed
	}
	return s.runners.Demo(s.ctx, s.streams.Out, s.streams.Err)
}
