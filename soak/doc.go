// Package soak runs the real programs as separate processes on one host, applies
// random planned changes and faults to them, and checks the guarantees to callers
// and upstreams. All of its code is in test files; start with TestSoak.
//
//	go test ./soak -soak.seeds 50 -soak.first 1000 -soak.time 20s
package soak
