// Package exchange is the protocol between the processes that serve flows:
// heartbeats and forwarded packets in datagrams, and over TCP what one process
// has newer of routes and upstreams than another.
//
// A Node keeps one process's view of all this up to date and hands it out as a
// steer.Fleet. Start with Open and Node.Run.
package exchange
