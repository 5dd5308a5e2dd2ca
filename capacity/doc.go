// Package capacity measures how the cost of a role grows with the size of a
// deployment, and puts it forward to sizes that one machine cannot hold.
//
// The benchmarks of this package print the slopes that docs/CAPACITY.md uses.
// Start with Fit, Size and Path.
package capacity
