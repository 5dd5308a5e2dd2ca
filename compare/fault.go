package compare

import "time"

// Fault is what goes wrong in a run: Slow, Silent, Flap, Replace, Lose or Change.
type Fault interface{ fault() }

// Slow makes one upstream take Factor times as long from the start.
type Slow struct {
	Upstream int
	Factor   float64
}

// Silent makes one upstream report no load from the start.
type Silent struct{ Upstream int }

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

// Lose loses all upstreams of a place at At; they come back empty after For.
type Lose struct {
	Place int
	At    time.Duration
	For   time.Duration
}

// Change replaces one upstream by a new one in its place and one balancer by
// an empty one, both planned, at At and each Every from then on.
type Change struct{ At, Every time.Duration }

func (Slow) fault()    {}
func (Silent) fault()  {}
func (Flap) fault()    {}
func (Replace) fault() {}
func (Lose) fault()    {}
func (Change) fault()  {}
