// Package steer decides how packets are forwarded on platforms where an upstream itself
// returns packets of flows that it does not hold: which upstream a new flow is opened
// at, how any balancer finds the upstream of a later packet, and when a flow is reset.
//
// The flow tables of balancers and sidecars are caches. A packet whose flow is not in
// them is offered to one upstream after another until one accepts it.
//
// The package uses no sockets, no clock and no source of randomness: it takes packets
// and the current time and returns actions. Start with Balancer.Packet,
// Sidecar.FromBalancer and Sidecar.FromUpstream.
package steer
