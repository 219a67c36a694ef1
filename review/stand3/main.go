// Stand3 plays the scripted cases of the third review: stand-ins of the platform's store, of leafs
// and of clients, and gateways as processes of their own.
//
// # Usage
//
//	stand3 quota|cold|recover DIR    # run from the repository's root; writes DIR/record.txt
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world){"quota": playQuota, "cold": playCold, "recover": playRecover}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 quota|cold|recover DIR")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](newWorld(os.Args[2]))
}
