// Package capacity measures how the cost of a role grows with the size of a
// deployment, and extrapolates it to sizes that do not fit on one host.
//
// The benchmarks of this package print the slopes on which docs/CAPACITY.md is
// based. Start with Fit, Size and DataPath.
package capacity
