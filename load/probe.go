package load

import "time"

// Probe is what the health and load endpoints of an upstream answered. It may lag,
// stand still or be wrong; Watch weighs it against what the sidecar saw.
type Probe struct {
	// Healthy is the health endpoint's answer.
	Healthy bool
	// InUse is the number of slots in use by the load endpoint, at least 0.
	InUse int
	// Connections is the number of flows by the load endpoint, at least 0.
	Connections int
	// At is when the answer arrived.
	At time.Time
}

// fresh reports whether the probe is recent enough to count.
func (p Probe) fresh(now time.Time, maxAge time.Duration) bool {
	return !p.At.IsZero() && now.Sub(p.At) <= maxAge
}

// equalCounts reports whether two probes have the same numbers.
func (p Probe) equalCounts(other Probe) bool {
	return p.InUse == other.InUse && p.Connections == other.Connections
}
