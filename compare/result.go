package compare

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is the state of the upstreams at the virtual time At.
type Sample struct {
	At time.Duration
	// Imbalance is the maximum divided by the mean of the flows per upstream. For
	// short flows these are the requests in slots and queue.
	Imbalance float64
}

// Result holds the measurements of one run after its warm-up.
type Result struct {
	// Openings counts the callers' first attempts, Offered all their attempts.
	Openings, Offered int
	// Accepted, Refused and Late count openings. Late ones were answered after
	// their deadline.
	Accepted, Refused, Late int
	// Visits counts the decisions of sidecars about openings, Far the flows
	// accepted outside the caller's data centre.
	Visits, Far int
	// Broken counts aborted flows, except those of lost upstreams.
	Broken int
	// Lost counts flows aborted by the loss of their upstream.
	Lost int
	// MaxConnections is the highest number of flows that any upstream held.
	MaxConnections int
	// MaxAcceptedPerSecond is the highest number of flows that any upstream
	// accepted in one second.
	MaxAcceptedPerSecond int
	// UsefulTime is the total work of the requests that were answered in time,
	// ServiceTime the total time that slots were in use.
	UsefulTime, ServiceTime time.Duration
	// UsefulSurgeTime is the part of UsefulTime during a surge.
	UsefulSurgeTime time.Duration
	// Waits holds the times until a slot was taken, in microseconds.
	Waits *hdrhistogram.Histogram
	// Samples are taken each second.
	Samples []Sample
	// SlotImbalance holds the imbalance of the slots in use, one value for each of
	// Samples.
	SlotImbalance []float64
	// Seconds holds one entry for each second of the run, warm-up included.
	Seconds []*Second
	// Attempts counts the requests that sidecars sent to upstreams, refused ones
	// included.
	Attempts int
}

// Second holds the measurements of one second of a run.
type Second struct {
	// Waits holds the times until a slot was taken, in microseconds.
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

// P99Wait returns the 99th percentile of the waits for a slot.
func (r *Result) P99Wait() time.Duration {
	return time.Duration(r.Waits.ValueAtQuantile(99)) * time.Microsecond
}

// MeanVisits returns the mean number of sidecars that an opening visited.
func (r *Result) MeanVisits() float64 {
	return float64(r.Visits) / float64(max(r.Openings, 1))
}

// FarShare returns the share of flows accepted outside the caller's data centre.
func (r *Result) FarShare() float64 {
	return float64(r.Far) / float64(max(r.Accepted, 1))
}

// MeanImbalance returns the mean imbalance of the samples.
func (r *Result) MeanImbalance() float64 {
	sum := 0.0
	for _, s := range r.Samples {
		sum += s.Imbalance
	}
	return sum / float64(max(len(r.Samples), 1))
}

// WorstImbalance returns the highest imbalance of the samples.
func (r *Result) WorstImbalance() float64 {
	worst := 0.0
	for _, s := range r.Samples {
		worst = max(worst, s.Imbalance)
	}
	return worst
}

// FirstBelow returns the time from from to the first later sample whose
// imbalance is below bound. It returns false if there is none.
func (r *Result) FirstBelow(bound float64, from time.Duration) (time.Duration, bool) {
	for _, s := range r.Samples {
		if s.At > from && s.Imbalance < bound {
			return s.At - from, true
		}
	}
	return 0, false
}

// second returns the entry of Seconds for the virtual time now. It adds entries
// as needed.
func (r *Result) second(now time.Duration) *Second {
	i := int(now / time.Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, &Second{Waits: hdrhistogram.New(1, maxWaitMicros, 2)})
	}
	return r.Seconds[i]
}
