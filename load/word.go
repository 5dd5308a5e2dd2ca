package load

import "time"

// Word is what the health and load endpoints of an upstream said. It may lag,
// stand still or be wrong; Watch weighs it against what the sidecar saw.
type Word struct {
	// Healthy is the health endpoint's answer.
	Healthy bool
	// InUse is the number of slots in use by the load endpoint, at least 0.
	InUse int
	// Connections is the number of flows by the load endpoint, at least 0.
	Connections int
	// At is when the answer arrived.
	At time.Time
}

// fresh reports whether the word is recent enough to count.
func (w Word) fresh(now time.Time, maxAge time.Duration) bool {
	return !w.At.IsZero() && now.Sub(w.At) <= maxAge
}

// same reports whether two words say the same numbers.
func (w Word) same(other Word) bool {
	return w.InUse == other.InUse && w.Connections == other.Connections
}
