// Package report reads the counters that processes publish through expvar, and
// prints the burn rate of service-level objectives and the spread of load over
// upstreams.
//
// A process publishes a Snapshot, which its Recorder collects. Burn and Spread
// sample any set of processes; NewCommand returns their command line.
package report
