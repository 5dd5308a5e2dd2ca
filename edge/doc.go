// Package edge runs the two processes that serve flows whose upstreams return
// what they do not hold: a balancer takes the packets of callers, and a sidecar
// stands beside each upstream. Package steer decides, package exchange keeps
// both informed; this package moves the packets.
//
// Start with OpenBalancer and OpenSidecar.
package edge
