// Command tanagerload measures the query tier and its baselines under load. It
// starts a fleet with the stand-ins that it needs inside its own process and uses at
// most --procs cores.
//
// # Usage
//
//	tanagerload --deployment examples/bertoldi.jsonc --scenario straggler --policy tanagerrock --policy random
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"tanagerrock/io/trload"
)

type arguments struct {
	Deployment string   `arg:"-d,--deployment,required" help:"file of the deployment, JSON with comments"`
	Scenario   string   `arg:"-s,--scenario" default:"steady" help:"steady, straggler, overload, zone or slow"`
	Policies   []string `arg:"-p,--policy,separate" help:"tanagerrock, random, roundrobin or reported; all if not given"`
	Seed       uint64   `arg:"--seed" default:"1"`
	WarmMs     int64    `arg:"--warm-ms" default:"4000" help:"length of the warm-up of each phase, which is not measured"`
	MeasureMs  int64    `arg:"--measure-ms" default:"10000" help:"length of the measured part of each phase"`
	Procs      int      `arg:"--procs" default:"3" help:"maximum number of cores to use"`
	JSON       string   `arg:"--json" help:"file for the reports as JSON"`
}

// maxPhase is the maximum length of a phase. It limits how long the machine is under load.
const maxPhase = 30 * time.Second

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if time.Duration(args.WarmMs+args.MeasureMs)*time.Millisecond > maxPhase {
		parser.Fail(fmt.Sprintf("--warm-ms and --measure-ms must not add up to more than %v", maxPhase))
	}
	runtime.GOMAXPROCS(args.Procs)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &args); err != nil {
		fmt.Fprintln(os.Stderr, "tanagerload:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args *arguments) error {
	deployment, err := trload.ReadDeployment(args.Deployment)
	if err != nil {
		return err
	}
	if len(args.Policies) == 0 {
		for _, p := range trload.Policies() {
			args.Policies = append(args.Policies, p.Name)
		}
	}
	reports, err := trload.Run(ctx, trload.Options{
		Deployment: deployment,
		Scenario:   args.Scenario,
		Policies:   args.Policies,
		Seed:       args.Seed,
		Warmup:     time.Duration(args.WarmMs) * time.Millisecond,
		Measure:    time.Duration(args.MeasureMs) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	trload.Print(os.Stdout, reports)
	if args.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(args.JSON, append(data, '\n'), 0o644)
}
