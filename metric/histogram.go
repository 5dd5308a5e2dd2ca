package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that is recorded; longer ones are clamped to it.
	maxLatency = time.Minute
	// significantDigits is the number of decimal digits to which a latency is recorded.
	significantDigits = 2
)

// bucketBounds returns the upper bounds of the exported buckets, ascending.
func bucketBounds() []time.Duration {
	return []time.Duration{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
		time.Second, 2 * time.Second, 5 * time.Second,
	}
}

// Histogram counts latencies. It is safe for concurrent use.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram // in microseconds
	sum time.Duration
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Observe records one latency, clamped to the range from 0 to one minute.
func (h *Histogram) Observe(d time.Duration) {
	d = min(max(d, 0), maxLatency)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	// The value is in range, so recording cannot fail.
	_ = h.hdr.RecordValue(d.Microseconds())
}

// snapshot is the state of a histogram at one point in time.
type snapshot struct {
	cumulative []int64 // number of latencies at or below each of bucketBounds
	count      int64
	sum        time.Duration
}

func (h *Histogram) snapshot() snapshot {
	bounds := bucketBounds()
	s := snapshot{cumulative: make([]int64, len(bounds))}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.count, s.sum = h.hdr.TotalCount(), h.sum
	for _, bar := range h.hdr.Distribution() {
		for i, bound := range bounds {
			if bar.To <= bound.Microseconds() {
				s.cumulative[i] += bar.Count
			}
		}
	}
	return s
}
