// Package compare runs the policies of package load side by side over virtual
// time, on the same seeds and the same arrivals.
//
// Callers, upstreams and the network are small fakes; the decisions are those
// of packages load and limit as the daemons use them. Start with Run and, for
// tables, with Cases. The command `go run ./examples/compare` prints them all.
package compare
