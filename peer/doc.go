// Package peer is the protocol between the processes of the system: TCP frames
// with msgpack under mutual TLS, over which they agree on the bundle and the
// instance list. docs/PROTOCOL.md describes each message.
//
// Start with Node, which ties the protocol to the decisions of package
// converge and to the platform.
package peer
