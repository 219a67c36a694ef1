// Package scenario holds scripted failure scenarios over real processes.
//
// The test binary acts as tanagerrock and as tanagerstandin. The scripts in
// testdata start the platform, the leafs, links and instances as processes, put
// load on them, kill, freeze and cut them, and judge the records of the load and
// the journals of the stand-ins.
//
// # Usage
//
//	go test ./scenario                      # all scripts
//	go test ./scenario -run TestScripts/path -v
//
// A script never asserts how long something took. Awaits poll with a limit that
// only ends a hang. Where a claim has a bound in seconds, the events after the
// bound are counted and must be zero.
//
// # Commands
//
//	start platform|link               start a stand-in on a free port
//	start leafs FILE                  start the leafs of FILE (trfakeleaf.FleetConfig)
//	start instance NAME ZONE [link]   start an instance; with link it reaches the platform through a link
//	terminate NAME                    SIGTERM, must exit with 0; an instance leaves the platform's list
//	crash NAME | freeze NAME | thaw NAME
//	                                  SIGKILL, SIGSTOP, SIGCONT
//	control platform|leafs|link PATH [JSON]
//	                                  POST /control/PATH
//	load NAME KEY=VALUE...            start a stream of requests (see newLoad)
//	finish NAME                       stop a stream and wait for its last reply
//	race COMMAND ARGS... -- COMMAND ARGS...
//	                                  run commands of tanagerrock at once and print their results
//	mark NAME now                     keep the time
//	mark NAME platform TYPE KEY       keep the time of the last such event of the platform's journal
//	await ready|whole|status|load|event|past ...
//	                                  poll a condition (see cmdAwait)
//	check outcomes|quiet|finished|once|revisions|whole ...
//	                                  judge records and journals (see cmdCheck)
package scenario
