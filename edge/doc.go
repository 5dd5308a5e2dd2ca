// Package edge implements the balancer and the sidecar for upstreams that return
// packets of flows that they do not hold. A balancer receives the packets of callers,
// and one sidecar runs next to each upstream. Package steer makes the routing decisions,
// package exchange distributes the state that they are based on, and this package sends
// and receives the packets.
//
// OpenBalancer and OpenSidecar create the two processes.
package edge
