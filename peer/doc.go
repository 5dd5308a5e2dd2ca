// Package peer implements the protocol by which the processes of the system
// replicate the bundle and the instance list: length-prefixed msgpack messages
// over TCP with mutual TLS. docs/PROTOCOL.md describes each message.
//
// Start with Node, which connects the protocol and the platform to the
// decision logic of package converge.
package peer
