// Package membership decides which other processes of the system a process
// knows, which of them are alive, whom it sends heartbeats to, and whether it
// should read the store itself.
//
// Balancers know each other from seeds and from the lists in heartbeats;
// sidecars are known from the list of upstreams and from their heartbeats.
//
// It imports no sockets, no clock and no source of randomness. Start with New
// and Table.Heard.
package membership
