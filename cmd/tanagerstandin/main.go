// Command tanagerstandin runs stand-ins of the platform, of leafs and of network
// links as processes. See tanagerstandin --help.
package main

import (
	"os"

	"tanagerrock/standin/trstandin"
)

func main() { trstandin.Main(os.Args[1:]) }
