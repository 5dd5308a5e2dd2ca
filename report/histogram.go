package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxValue is the highest value that a histogram records: an hour in microseconds.
	maxValue          = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram is an HdrHistogram, encoded as text in the compressed V2 format. The
// zero value is empty. It is not safe for concurrent use.
type Histogram struct {
	hdr *hdrhistogram.Histogram // nil while empty
}

// Record adds one value, clamped to the range from 0 to maxValue.
func (h *Histogram) Record(v int64) {
	h.add(v, 1)
}

// RecordTime adds a duration in microseconds, clamped to the range from 0 to one hour.
func (h *Histogram) RecordTime(d time.Duration) {
	h.add(int64(d/time.Microsecond), 1)
}

func (h *Histogram) add(v, n int64) {
	if h.hdr == nil {
		h.hdr = hdrhistogram.New(1, maxValue, significantDigits)
	}
	// The value is in range, so recording cannot fail.
	_ = h.hdr.RecordValues(min(max(v, 0), maxValue), n)
}

// Merge adds the values of other.
func (h *Histogram) Merge(other Histogram) {
	if other.hdr == nil {
		return
	}
	if h.hdr == nil {
		h.hdr = hdrhistogram.New(1, maxValue, significantDigits)
	}
	h.hdr.Merge(other.hdr)
}

// Clone returns an independent copy.
func (h Histogram) Clone() Histogram {
	var c Histogram
	c.Merge(h)
	return c
}

// Count returns the number of values.
func (h Histogram) Count() uint64 {
	if h.hdr == nil {
		return 0
	}
	return uint64(h.hdr.TotalCount())
}

// Within returns the number of values of at most d, to a precision of two
// significant digits. The values must be microseconds.
func (h Histogram) Within(d time.Duration) uint64 {
	if h.hdr == nil {
		return 0
	}
	n := uint64(0)
	for _, bar := range h.hdr.Distribution() {
		if bar.From <= int64(d/time.Microsecond) {
			n += uint64(bar.Count)
		}
	}
	return n
}

// Quantile returns the value at percentile q, from 0 to 100; zero if the histogram is empty.
func (h Histogram) Quantile(q float64) int64 {
	if h.hdr == nil {
		return 0
	}
	return h.hdr.ValueAtQuantile(q)
}

// Mean returns the mean; zero if the histogram is empty.
func (h Histogram) Mean() float64 {
	if h.hdr == nil || h.hdr.TotalCount() == 0 {
		return 0
	}
	return h.hdr.Mean()
}

// Since returns the values that the same process recorded after earlier. If the
// number of values decreased, the process was restarted and all values are
// returned.
func (h Histogram) Since(earlier Histogram) Histogram {
	if earlier.hdr == nil || h.hdr == nil || h.Count() < earlier.Count() {
		return h.Clone()
	}
	before := make(map[int64]int64)
	for _, bar := range earlier.hdr.Distribution() {
		before[bar.To] = bar.Count
	}
	var diff Histogram
	for _, bar := range h.hdr.Distribution() {
		if n := bar.Count - before[bar.To]; n > 0 {
			diff.add(bar.To, n)
		}
	}
	return diff
}

// MarshalText implements encoding.TextMarshaler.
func (h Histogram) MarshalText() ([]byte, error) {
	if h.hdr == nil {
		return nil, nil
	}
	return h.hdr.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Histogram) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		h.hdr = nil
		return nil
	}
	hdr, err := hdrhistogram.Decode(b)
	if err != nil {
		return &HistogramError{cause: err}
	}
	h.hdr = hdr
	return nil
}
