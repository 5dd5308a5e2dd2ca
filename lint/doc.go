// Package lint decides whether a version of the routes may be sent: it finds routes that
// cannot receive flows, limits that contradict each other, and the differences from the
// version in force with the traffic that they move.
//
// Start with Check and Compare.
package lint
