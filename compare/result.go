package compare

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is the state of the upstreams at one moment.
type Sample struct {
	At time.Duration
	// Imbalance is the maximum over the mean of the connections, or of the
	// requests in slots and queue for short flows.
	Imbalance float64
}

// Result is what one run measured after its warm-up.
type Result struct {
	// Openings counts the callers' first tries; Offered counts all tries.
	Openings, Offered int
	// Accepted, Refused and Late count openings; Late ones were answered after the deadline.
	Accepted, Refused, Late int
	// Visits counts the sidecars that handled openings, Far the flows accepted
	// outside the caller's data centre.
	Visits, Far int
	// Broken counts flows that ended before their time, without those of lost upstreams.
	Broken int
	// Lost counts flows of upstreams that were lost.
	Lost int
	// MaxConnections is the most connections that any upstream held.
	MaxConnections int
	// MaxAcceptedPerSecond is the most flows that any upstream accepted in one second.
	MaxAcceptedPerSecond int
	// UsefulTime and Spent sum time in service: answered in time, and in all.
	UsefulTime, ServiceTime time.Duration
	// UsefulSurgeTime is the part of Useful during a surge.
	UsefulSurgeTime time.Duration
	// Waits holds the times until the slot was taken, in microseconds.
	Waits *hdrhistogram.Histogram
	// Samples are taken each second.
	Samples []Sample
	// SlotImbalance holds the imbalance of the slots in use, from the same samples.
	SlotImbalance []float64
	// Seconds holds what happened in each second of the run, warm-up included.
	Seconds []*Second
	// Attempts counts the requests that sidecars handed to upstreams, with those refused.
	Attempts int
}

// Second is one second of a run.
type Second struct {
	// Waits holds the times until the slot was taken, in microseconds.
	Waits *hdrhistogram.Histogram
	// Refused counts refused openings.
	Refused int
	// Accepted counts accepted openings, Far those outside the caller's data centre.
	Accepted, Far int
}

const (
	maxWaitMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newResult() *Result {
	return &Result{Waits: hdrhistogram.New(1, maxWaitMicros, significantDigits)}
}

// P99Wait returns the 99th percentile of the waits.
func (r *Result) P99Wait() time.Duration {
	return time.Duration(r.Waits.ValueAtQuantile(99)) * time.Microsecond
}

// MeanVisits returns the sidecars that an opening visited on average.
func (r *Result) MeanVisits() float64 {
	return float64(r.Visits) / float64(max(r.Openings, 1))
}

// FarShare returns the share of flows accepted outside the caller's data centre.
func (r *Result) FarShare() float64 {
	return float64(r.Far) / float64(max(r.Accepted, 1))
}

// MeanImbalance returns the mean of the samples.
func (r *Result) MeanImbalance() float64 {
	sum := 0.0
	for _, s := range r.Samples {
		sum += s.Imbalance
	}
	return sum / float64(max(len(r.Samples), 1))
}

// WorstImbalance returns the highest sample.
func (r *Result) WorstImbalance() float64 {
	worst := 0.0
	for _, s := range r.Samples {
		worst = max(worst, s.Imbalance)
	}
	return worst
}

// FirstBelow returns how long after from the imbalance was first below bound. It
// returns false when no sample was.
func (r *Result) FirstBelow(bound float64, from time.Duration) (time.Duration, bool) {
	for _, s := range r.Samples {
		if s.At > from && s.Imbalance < bound {
			return s.At - from, true
		}
	}
	return 0, false
}

// second returns the second of the run at now.
func (r *Result) second(now time.Duration) *Second {
	i := int(now / time.Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, &Second{Waits: hdrhistogram.New(1, maxWaitMicros, 2)})
	}
	return r.Seconds[i]
}
