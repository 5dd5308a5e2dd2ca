package load

import "time"

// Probe is a response of the health and load endpoints of an upstream. It may
// be late, unchanging or wrong, so Monitor checks it against the sidecar's own
// measurements.
type Probe struct {
	// Healthy is the result of the health endpoint.
	Healthy bool
	// InUse is the number of slots in use according to the load endpoint, at
	// least 0.
	InUse int
	// Connections is the number of flows according to the load endpoint, at
	// least 0.
	Connections int
	// At is the time at which the response arrived.
	At time.Time
}

// fresh reports whether the probe is at most maxAge old.
func (p Probe) fresh(now time.Time, maxAge time.Duration) bool {
	return !p.At.IsZero() && now.Sub(p.At) <= maxAge
}

// equalCounts reports whether both probes have the same slots in use and the
// same connections.
func (p Probe) equalCounts(other Probe) bool {
	return p.InUse == other.InUse && p.Connections == other.Connections
}
