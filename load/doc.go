// Package load decides whether a sidecar accepts an opening, passes it to the
// next candidate or refuses it.
//
// It imports no sockets, no clock and no global randomness: the present time is
// an argument. A Watch gathers what one sidecar sees of its upstream, a Peers
// what the sidecars of the same service reported, and Decide weighs both under
// a Policy. Start with Decide.
package load
