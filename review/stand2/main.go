// Command stand2 runs the scripted cases of review/6 to review/10.
//
// A case starts gateway processes with the command of the deploy file against stand-ins of the
// platform's store and of leafs, which run in this process. It writes what was sent, run and
// answered to record.txt and ends all processes that it started.
//
// # Usage
//
//	stand2 --case NAME --dir review/N
//
// Without the disruption if the variable TROUBLE is 0. The exit code is 0 if the rule held, 1 if
// it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// caseFunc plays a case. It returns why the rule was broken, empty if it held.
type caseFunc func(w *world, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("program", "target/tanagerrock", "gateway program")
	flag.Parse()
	os.Exit(runCase(*name, *dir, *program))
}

func runCase(name, dir, program string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	w, err := newWorld(dir, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, trouble %v", name, trouble)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(maxTime):
		r.err = fmt.Errorf("not finished within %v", maxTime)
	case s := <-stopped:
		r.err = fmt.Errorf("stopped by %v", s)
	}
	w.close()
	code := 0
	switch {
	case r.err != nil:
		w.log("could not run: %v", r.err)
		code = 2
	case r.broken != "":
		w.log("BROKEN: %s", r.broken)
		code = 1
	default:
		w.log("held")
	}
	if err := w.writeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
