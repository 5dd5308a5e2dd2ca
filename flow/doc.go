// Package flow decides which upstream owns a flow, how a balancer finds the
// owner, and what may be reported or retried after a failure.
//
// It uses no sockets, no clock and no global randomness: its input is typed
// events and its output typed actions. Daemons, fuzz tests and benchmarks
// therefore run the same code.
//
// Start with Key, Packet and Sidecar.
package flow
