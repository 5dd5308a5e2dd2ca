// Package eventlog reads the event logs of processes and reconstructs, in order,
// what happened to a flow or within a time range: which process handled it and
// why, which routes and upstreams that process had and how old they were, and
// the outcome.
//
// Start with Read and Select.
package eventlog
