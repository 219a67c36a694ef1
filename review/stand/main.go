// Command stand runs the scripted cases of this review. It plays the platform's store, the
// leafs and the clients in one process, starts gateways with the command of the deploy file
// and writes what was sent, answered and run to a record.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
//
// # Usage
//
//	stand -case N -record FILE [-trouble=false]
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// maxRun bounds the time of a case.
const maxRun = 110 * time.Second

// caseFunc runs one case and reports whether its rule was broken.
type caseFunc func(w *world, trouble bool) (broken bool, err error)

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that receives the record")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	os.Exit(playCase(*name, *record, *trouble))
}

func playCase(name, file string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return 2
	}
	w, err := newWorld(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	time.AfterFunc(maxRun, func() {
		w.record("case", "out of time")
		w.close()
		os.Exit(2)
	})
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.record("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		w.record("case", "the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.record("case", "the rule held")
	fmt.Println("the rule held")
	return 0
}
