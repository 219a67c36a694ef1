package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagerrock/io/trcommand"
	"tanagerrock/io/trserver"
	"tanagerrock/standin/trstandin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagerrock": func() {
			std := trcommand.Streams{Out: os.Stdout, Err: os.Stderr}
			os.Exit(trcommand.Main(os.Args[1:], std, trcommand.Runners{Serve: trserver.Serve}))
		},
		"tanagerstandin": func() { trstandin.Main(os.Args[1:]) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     command(cmdStart),
			"terminate": command(cmdTerminate),
			"crash":     command(cmdCrash),
			"freeze":    command(cmdFreeze),
			"thaw":      command(cmdThaw),
			"control":   command(cmdControl),
			"race":      command(cmdRace),
			"load":      command(cmdLoad),
			"finish":    command(cmdFinish),
			"mark":      command(cmdMark),
			"await":     command(cmdAwait),
			"check":     command(cmdCheck),
		},
	})
}

// command adapts f to a testscript command that cannot be negated.
func command(f func(c *cluster, ts *testscript.TestScript, args []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) == 0 {
			ts.Fatalf("the command needs arguments and cannot be negated")
		}
		f(ts.Value(clusterKey{}).(*cluster), ts, args)
	}
}
