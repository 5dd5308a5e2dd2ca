// Package pace estimates how long a request occupies a slot of an upstream, from the
// times at which requests begin and their answers begin, and limits how many requests an
// upstream gets at once after its start.
//
// Start with Meter and Ramp.
package pace
