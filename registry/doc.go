// Package registry holds what one process knows of routes and upstreams: the
// routes of the newest version, and the list of upstreams as of a revision of
// the store that publishes them.
//
// A Directory merges what a process read itself and what its peers tell it;
// newer versions and states of the store always win, in any order of arrival.
// When the store comes back from an older copy, an era begins, and what was known
// before is kept as far as the copy lacks it. A Snapshot is the immutable view
// that packets are decided on.
//
// It imports no sockets, no clock and no source of randomness. Start with
// NewDirectory, Directory.Apply and Directory.Snapshot.
package registry
