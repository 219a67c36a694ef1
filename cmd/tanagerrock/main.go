// Command tanagerrock runs an instance of the query tier and provides the commands
// for its operators. See tanagerrock --help.
package main

import (
	"os"

	"tanagerrock/io/trcommand"
	"tanagerrock/io/trdemo"
	"tanagerrock/io/trserver"
	"tanagerrock/platform/tradapter"
)

func main() {
	std := trcommand.Streams{Out: os.Stdout, Err: os.Stderr}
	os.Exit(trcommand.Main(os.Args[1:], std, trcommand.Runners{
		Serve: trserver.Serve, Gateway: tradapter.Run, Demo: trdemo.Run, GatewayFormat: tradapter.ConfigFormat{},
	}))
}
