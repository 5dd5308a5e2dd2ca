package compare

import (
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// Config describes one run. The zero value of each field selects its default.
type Config struct {
	// Seed selects arrivals, work and lives. Two runs with one seed get the same.
	Seed uint64
	// Policy spreads the openings. Nil stands for one ideal queue over all
	// slots, and for the upstream with the fewest connections.
	Policy load.Policy
	// Places holds the number of upstreams in each data centre. Nil selects 3, 2 and 2.
	Places []int
	// Callers holds the share of openings from near each data centre. Nil
	// selects the share of the upstreams there.
	Callers []float64
	// Shift moves callers for a time. The zero value moves none.
	Shift Shift
	// Slots is how many requests an upstream runs at once. Zero selects 2.
	Slots int
	// Connections is how many flows an upstream holds. Zero selects 2,500.
	Connections int
	// NearHop is the time of a hop within a data centre. Zero selects 250 µs.
	NearHop time.Duration
	// FarHop is the time of a hop between two data centres. Zero selects 5 ms.
	FarHop time.Duration
	// Traffic is what callers send.
	Traffic Traffic
	// Faults happen during the run.
	Faults []Fault
	// Warmup is the time before measuring begins.
	Warmup time.Duration
	// Length is the time over which is measured.
	Length time.Duration
	// Limits bounds the queues by the callers' patience.
	Limits bool
	// StopWhen ends the run early once it returns true for a sample.
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

// upstreamShares returns the share of the upstreams in each data centre.
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

// WithSeed returns a copy of the config with another seed.
func (c Config) WithSeed(seed uint64) Config {
	c.Seed = seed
	return c
}

// WithPolicy returns a copy of the config with another policy.
func (c Config) WithPolicy(p load.Policy) Config {
	c.Policy = p
	return c
}

// Shift gives other shares of openings to the data centres for a time.
type Shift struct {
	At, Duration time.Duration
	Callers      []float64
}

// callerShares returns the shares of openings at a moment.
func (c Config) callerShares(now time.Duration) []float64 {
	if now >= c.Shift.At && now < c.Shift.At+c.Shift.Duration {
		return c.Shift.Callers
	}
	return c.Callers
}

// Traffic is what callers send: Short or Long.
type Traffic interface{ traffic() }

// ShortFlows flows carry one request each, with a bounded Pareto time in service.
type ShortFlows struct {
	// Load is the work that arrives as a share of all slots.
	Load float64
	// Mean is the mean time in service.
	Mean time.Duration
	// MaxMinRatio is the longest time in multiples of the shortest. Zero selects 300.
	MaxMinRatio float64
	// Timeout is how long a caller waits for its answer; zero is forever.
	Timeout time.Duration
	// MaxAttempts is how often a caller sends a request that was refused or not
	// answered in time. Zero selects 1.
	MaxAttempts int
	// Surge multiplies Load from SurgeAt for SurgeLength. Zero selects 1.
	Surge       float64
	SurgeAt     time.Duration
	SurgeLength time.Duration
}

// LongFlows flows hold a connection for a bounded Pareto life.
type LongFlows struct {
	// Flows is how many are open on average.
	Flows int
	// Mean is the mean life.
	Mean time.Duration
	// MaxMinRatio is the longest life in multiples of the shortest. Zero selects 300.
	MaxMinRatio float64
}

func (ShortFlows) traffic() {}
func (LongFlows) traffic()  {}
