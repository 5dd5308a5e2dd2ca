package compare

import "time"

// Fault is a fault injected into a run: Slow, ReportZeroLoad, Flap, Replace,
// PlaceOutage or RollingReplace.
type Fault interface{ fault() }

// Slow multiplies the service times of one upstream by Factor, from the start.
type Slow struct {
	Upstream int
	Factor   float64
}

// ReportZeroLoad makes the sidecar of one upstream report a load of zero, from
// the start.
type ReportZeroLoad struct{ Upstream int }

// Flap makes one upstream refuse new requests in every other Period.
type Flap struct {
	Upstream int
	Period   time.Duration
}

// Replace replaces one upstream by an empty one at At. Its flows are lost.
type Replace struct {
	Upstream int
	At       time.Duration
}

// PlaceOutage takes all upstreams of a place offline at At. Their flows are
// lost, and they return empty after Duration.
type PlaceOutage struct {
	Place    int
	At       time.Duration
	Duration time.Duration
}

// RollingReplace is a planned change, at At and then once per Interval: one
// upstream drains while a new one in the same place takes over, and one balancer
// is replaced by one without state.
type RollingReplace struct{ At, Interval time.Duration }

func (Slow) fault()           {}
func (ReportZeroLoad) fault() {}
func (Flap) fault()           {}
func (Replace) fault()        {}
func (PlaceOutage) fault()    {}
func (RollingReplace) fault() {}
