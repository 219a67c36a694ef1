// Package scenario tests failure scenarios with scripts that run real processes.
//
// The test binary acts as tanagerrock and as tanagerstandin. The scripts in
// testdata start the platform, the leafs, links and instances as processes, send
// requests to them, kill and freeze them and cut links, and then check the recorded
// replies, the status of the instances and the journals of the stand-ins.
//
// # Usage
//
//	go test ./scenario                      # all scripts
//	go test ./scenario -run TestScripts/path -v
//
// A script never asserts how long something took. The await command polls, with a
// timeout that only ends a script that hangs. Where a requirement has a bound in
// seconds, the check counts the events after the bound, of which there must be none.
//
// # Commands
//
//	start platform|link               start a stand-in on a free port
//	start leafs FILE                  start the leafs of FILE (trfakeleaf.FleetConfig)
//	start instance NAME ZONE [link]   start an instance; with link, it reaches the
//	                                  platform through a link
//	terminate NAME                    send SIGTERM; the process must exit with 0, and an
//	                                  instance is removed from the platform's list
//	crash NAME | freeze NAME | thaw NAME
//	                                  send SIGKILL, SIGSTOP or SIGCONT
//	control platform|leafs|link PATH [JSON]
//	                                  POST JSON, or {}, to /control/PATH
//	load NAME KEY=VALUE...            start to send requests (see newLoad)
//	finish NAME...                    stop the loads and wait for their last replies
//	race COMMAND ARGS... -- COMMAND ARGS...
//	                                  run tanagerrock commands concurrently and print their
//	                                  exit codes and outputs
//	mark NAME now                     record the current time
//	mark NAME platform TYPE [KEY]     record the time of the last event of this type (and
//	                                  key) in the platform's journal
//	await ready|whole|status|load|event|received|past ...
//	                                  wait for a condition (see cmdAwait)
//	check outcomes|quiet|finished|once|none|revisions ...
//	                                  check replies, status samples and journals (see cmdCheck)
package scenario
