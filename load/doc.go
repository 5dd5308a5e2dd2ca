// Package load decides whether a sidecar accepts a new flow, passes it to the
// next candidate or refuses it.
//
// The package is deterministic: it uses no sockets, no clock and no global
// random source, and the current time is an argument. A Monitor measures the
// load of the sidecar's own upstream, a Peers stores the load reports of the
// other sidecars of the service, and Decide applies a Policy to both. Start
// with Decide.
package load
