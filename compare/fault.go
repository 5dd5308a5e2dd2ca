package compare

import "time"

// Fault is what goes wrong in a run: Slow, Silent, Flap, Replace, Lose or Change.
type Fault interface{ fault() }

// Slow makes one upstream take Factor times as long from the start.
type Slow struct {
	Upstream int
	Factor   float64
}

// ReportZeroLoad makes one upstream report no load from the start.
type ReportZeroLoad struct{ Upstream int }

// Flap makes one upstream refuse new requests for every second Period.
type Flap struct {
	Upstream int
	Period   time.Duration
}

// Replace loses one upstream with its flows at At; an empty one takes its place.
type Replace struct {
	Upstream int
	At       time.Duration
}

// PlaceOutage loses all upstreams of a place at At; they come back empty after For.
type PlaceOutage struct {
	Place    int
	At       time.Duration
	Duration time.Duration
}

// RollingReplace replaces one upstream by a new one in its place and one balancer by
// an empty one, both planned, at At and each Every from then on.
type RollingReplace struct{ At, Interval time.Duration }

func (Slow) fault()           {}
func (ReportZeroLoad) fault() {}
func (Flap) fault()           {}
func (Replace) fault()        {}
func (PlaceOutage) fault()    {}
func (RollingReplace) fault() {}
