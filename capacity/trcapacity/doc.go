// Package trcapacity holds the benchmarks behind docs/CAPACITY.md. They measure
// how state, messages and processor time grow with the numbers of instances and
// leafs. The benchmarks of membership and documents are beside trmember, since
// they start from a fleet whose joins have been disseminated.
//
// # Usage
//
//	go test -run=NONE -bench=. -benchtime=1s -cpu=3 ./capacity/...
//	go test -run=NONE -bench=Capacity -benchtime=1x -cpu=1 ./core/trmember
//
// The loads stay on loopback and use at most three cores.
package trcapacity
