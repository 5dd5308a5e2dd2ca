// Package steer decides where packets of flows go when the upstreams
// themselves return what they do not hold: which upstream a new flow is opened
// at, how a later packet finds the upstream of its flow from any balancer, and
// when a flow is reset.
//
// What balancers and sidecars remember is a cache: a packet whose flow is not
// known is offered to one upstream after the other, until one keeps it.
//
// It imports no sockets, no clock and no source of randomness: packets go in,
// actions come out, time is passed in. Start with Balancer.Packet,
// Sidecar.FromBalancer and Sidecar.FromUpstream.
package steer
