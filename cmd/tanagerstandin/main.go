// Command tanagerstandin runs stand-ins for the platform, leafs and network links as
// processes. See tanagerstandin --help.
package main

import (
	"os"

	"tanagerrock/standin/trstandin"
)

func main() { trstandin.Main(os.Args[1:]) }
