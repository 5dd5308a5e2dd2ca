package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// Config holds the parameters of one run. The zero value of each field selects its default.
type Config struct {
	// Seed seeds arrivals, service times and lifetimes. Runs with the same seed have
	// the same arrivals under every policy.
	Seed uint64
	// Policy assigns openings to upstreams. Nil selects the ideal: one queue over
	// all slots for short flows, and the upstream with the fewest connections for
	// long flows.
	Policy load.Policy
	// Places holds the number of upstreams in each data centre. Nil selects 3, 2 and 2.
	Places []int
	// Callers holds the share of openings from callers near each data centre. Nil
	// selects the data centre's share of the upstreams.
	Callers []float64
	// Shift changes Callers for a time. The zero value changes nothing.
	Shift Shift
	// Slots is the number of requests that an upstream serves concurrently. Zero selects 2.
	Slots int
	// Connections is the number of flows that an upstream can hold. Zero selects 2,500.
	Connections int
	// NearHop is the latency of a hop within a data centre. Zero selects 250 µs.
	NearHop time.Duration
	// FarHop is the latency of a hop between two data centres. Zero selects 5 ms.
	FarHop time.Duration
	// Traffic is the workload: ShortFlows or LongFlows.
	Traffic Traffic
	// Faults are injected during the run.
	Faults []Fault
	// Warmup is the time before the measurement begins.
	Warmup time.Duration
	// Length is the measured time after the warm-up.
	Length time.Duration
	// Limits makes queues shed requests that would miss the callers' timeout, and
	// cancels requests that have timed out.
	Limits bool
	// StopWhen ends the run as soon as it returns true for a sample. Nil never does.
	StopWhen func(Sample) bool
}

const (
	defaultSlots       = 2
	defaultConnections = 2500
	defaultNear        = 250 * time.Microsecond
	defaultFar         = 5 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Places == nil {
		c.Places = defaultPlaces()
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.NearHop == 0 {
		c.NearHop = defaultNear
	}
	if c.FarHop == 0 {
		c.FarHop = defaultFar
	}
	if c.Callers == nil {
		c.Callers = c.upstreamShares()
	}
	return c
}

func defaultPlaces() []int {
	return []int{3, 2, 2}
}

// upstreamShares returns the share of all upstreams that each data centre has.
func (c Config) upstreamShares() []float64 {
	shares := make([]float64, len(c.Places))
	for i, n := range c.Places {
		shares[i] = float64(n) / float64(c.upstreamCount())
	}
	return shares
}

func (c Config) upstreamCount() int {
	n := 0
	for _, p := range c.Places {
		n += p
	}
	return n
}

// WithSeed returns a copy of the config with the given seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}

// WithPolicy returns a copy of the config with the given policy.
func (c Config) WithPolicy(p load.Policy) Config {
	c.Policy = p
	return c
}

// Shift replaces Config.Callers from At for Duration.
type Shift struct {
	At, Duration time.Duration
	Callers      []float64
}

// callerShares returns the shares of openings at the virtual time now.
func (c Config) callerShares(now time.Duration) []float64 {
	if now >= c.Shift.At && now < c.Shift.At+c.Shift.Duration {
		return c.Shift.Callers
	}
	return c.Callers
}

// Traffic is a workload: ShortFlows or LongFlows.
type Traffic interface{ traffic() }

// ShortFlows is a workload of flows with one request each and bounded Pareto
// service times.
type ShortFlows struct {
	// Load is the offered load as a share of the capacity of all slots.
	Load float64
	// Mean is the mean service time.
	Mean time.Duration
	// MaxMinRatio is the ratio of the longest to the shortest service time. Zero selects 300.
	MaxMinRatio float64
	// Timeout is how long a caller waits for its answer. Zero means no timeout.
	Timeout time.Duration
	// MaxAttempts is how many times a caller sends a request that is refused or
	// times out, the first attempt included. Zero selects 1.
	MaxAttempts int
	// Surge multiplies Load from SurgeAt on for SurgeLength. Zero selects 1.
	Surge       float64
	SurgeAt     time.Duration
	SurgeLength time.Duration
}

// LongFlows is a workload of flows that hold a connection for a bounded Pareto
// lifetime.
type LongFlows struct {
	// Flows is the mean number of open flows.
	Flows int
	// Mean is the mean lifetime.
	Mean time.Duration
	// MaxMinRatio is the ratio of the longest to the shortest lifetime. Zero selects 300.
	MaxMinRatio float64
}

func (ShortFlows) traffic() {}
func (LongFlows) traffic()  {}
