// Package membership tracks the other processes of the system and which of them
// are alive, and determines the targets of heartbeats and whether a process
// reads the store itself.
//
// Balancers discover each other through seeds and the lists in heartbeats;
// sidecars are discovered through the list of upstreams and their heartbeats.
// Balancers chosen as delegates exchange digests between data centres.
//
// It imports no sockets, no clock and no source of randomness. Start with New
// and Table.MergeHeartbeat.
package membership
