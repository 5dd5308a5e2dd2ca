// Package soak plays random planned changes and faults against the real
// programs, each a process of its own on one machine, and checks the promises
// to callers and upstreams while they run. All of it is in test files; start
// with TestSoak.
//
//	go test ./soak -soak.seeds 50 -soak.first 1000 -soak.time 20s
package soak
