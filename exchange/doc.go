// Package exchange implements the protocol between balancers and sidecars:
// heartbeats, digests and forwarded packets in UDP datagrams, and pulls of newer
// routes and upstreams over TCP.
//
// A Node keeps the view of one process up to date and publishes it as a
// steer.Fleet. Start with Open and Node.Run.
package exchange
