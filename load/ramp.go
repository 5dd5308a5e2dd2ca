package load

import "time"

// Ramp is the cold-start ramp of an upstream: its share of new flows grows
// linearly from Floor to 1. The zero value selects the defaults.
type Ramp struct {
	// Duration is the length of the ramp, from 1 s to 1 h. Zero selects 60 s.
	Duration time.Duration
	// Floor is the initial share, above 0 and at most 1. Zero selects 0.1.
	Floor float64
}

const (
	defaultRampDuration = time.Minute
	defaultRampFloor    = 0.1
)

// Share returns the share of new flows, above 0 and at most 1, of an upstream
// whose ramp began age ago.
func (r Ramp) Share(age time.Duration) float64 {
	r = r.withDefaults()
	if age >= r.Duration {
		return 1
	}
	elapsed := float64(max(age, 0)) / float64(r.Duration)
	return r.Floor + (1-r.Floor)*elapsed
}

func (r Ramp) withDefaults() Ramp {
	if r.Duration == 0 {
		r.Duration = defaultRampDuration
	}
	if r.Floor == 0 {
		r.Floor = defaultRampFloor
	}
	return r
}
