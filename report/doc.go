// Package report reads what processes publish by expvar and prints the burn of
// service-level objectives and the spread of load over upstreams.
//
// Snapshot is what a process publishes, Recorder gathers it. Burn and Spread
// sample any set of processes; NewCommand is their command line.
package report
