// Package trcapacity contains the benchmarks behind docs/CAPACITY.md. They measure
// how state, messages and CPU time grow with the numbers of instances and leafs. The
// benchmarks of membership and documents are in core/trmember, because they start
// from a fleet whose joins have been disseminated.
//
// # Usage
//
//	go test -run=NONE -bench=. -benchtime=1s -cpu=3 ./capacity/...
//	go test -run=NONE -bench=Capacity -benchtime=1x -cpu=1 ./core/trmember
//
// The benchmarks send requests over loopback only and use at most three cores.
package trcapacity
