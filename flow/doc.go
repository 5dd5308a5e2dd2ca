// Package flow decides which upstream owns a flow, how any balancer finds it,
// and what may be said or retried when something fails.
//
// It imports no sockets, no clock and no global randomness: typed events go
// in, typed actions come out. The daemons, the fuzzing, the benchmarks and any
// further edge use the same code.
//
// Start with Key, Packet and Sidecar.
package flow
