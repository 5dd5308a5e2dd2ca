// Package compare simulates the policies of package load in virtual time, with
// the same seeds and arrivals for each policy.
//
// Callers, upstreams and the network are simulated. The decisions are made by
// packages load and limit, which the daemons use too. Start with Run and, for
// tables, with Cases. The command `go run ./examples/compare` prints all tables.
package compare
