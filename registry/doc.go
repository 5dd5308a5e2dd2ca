// Package registry holds the routes and upstreams that are available to one
// process: the newest version of the routes, and the list of upstreams as of a
// revision of the store that publishes them.
//
// A Directory merges updates that a process read from the store or received from
// its peers; newer versions and states of the store replace older ones in any
// order of arrival. When the store is restored from an older copy, a new era
// begins, and earlier records are kept where the copy lacks them. A Snapshot is
// the immutable view that forwarding decisions are based on.
//
// It imports no sockets, no clock and no source of randomness. Start with
// NewDirectory, Directory.Apply and Directory.Snapshot.
package registry
