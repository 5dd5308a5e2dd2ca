package report_test

import (
	"errors"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/report"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// sample returns the sample of a process with the given counts. started and at are
// relative to start.
func sample(process string, started, at time.Duration, bad, total uint64) report.Sample {
	return report.Sample{
		At:      start.Add(at),
		Process: process,
		Started: start.Add(started),
		Counts: []report.ObjectiveCount{{
			Service: "fitting", Objective: "whole", Target: 0.99,
			Count: report.Count{Bad: bad, Total: total},
		}},
	}
}

func TestBurnOverWindows(t *testing.T) {
	const m, h = time.Minute, time.Hour
	cases := []struct {
		name    string
		samples []report.Sample
		window  int // index in report.Windows
		want    report.Count
		long    float64
		short   float64
		alert   bool
	}{
		{
			name:    "one sample of a young process counts since its start",
			samples: []report.Sample{sample("a", 0, 2*m, 5, 100)},
			want:    report.Count{Bad: 5, Total: 100}, long: 5, short: 5,
		},
		{
			name:    "an old process counts from its first sample",
			samples: []report.Sample{sample("a", -48*h, 0, 50, 100), sample("a", -48*h, m, 51, 200)},
			want:    report.Count{Bad: 1, Total: 100}, long: 1, short: 1,
		},
		{
			name:    "a restart resets the counters",
			samples: []report.Sample{sample("a", -48*h, 0, 50, 1000), sample("a", m, 2*m, 20, 100)},
			want:    report.Count{Bad: 20, Total: 100}, long: 20, short: 20,
		},
		{
			name:    "a decreased counter counts from zero",
			samples: []report.Sample{sample("a", -48*h, 0, 50, 1000), sample("a", -48*h, 5*m, 20, 100)},
			want:    report.Count{Bad: 20, Total: 100}, long: 20, short: 20, alert: true,
		},
		{
			name: "processes start and stop",
			samples: []report.Sample{
				sample("a", 0, m, 10, 100), sample("b", 0, m, 0, 100),
				sample("b", 0, 2*m, 0, 200), sample("c", m, 2*m, 2, 100),
			},
			want: report.Count{Bad: 12, Total: 400}, long: 3, short: 3,
		},
		{
			name: "the short window ends the alert",
			samples: []report.Sample{
				sample("a", 0, 10*m, 400, 1000), sample("a", 0, 30*m, 400, 1010),
				sample("a", 0, 31*m, 400, 1100), sample("a", 0, 35*m, 400, 1200),
			},
			want: report.Count{Bad: 400, Total: 1200}, long: 100.0 / 3, short: 0,
		},
		{
			name:    "samples older than the window are excluded",
			samples: []report.Sample{sample("a", 0, m, 9, 10), sample("a", 0, 90*m, 9, 20), sample("a", 0, 91*m, 9, 30)},
			want:    report.Count{Total: 10},
		},
		{
			name:    "the longer window includes older samples",
			samples: []report.Sample{sample("a", 0, m, 9, 10), sample("a", 0, 90*m, 9, 20), sample("a", 0, 91*m, 9, 30)},
			window:  1,
			want:    report.Count{Bad: 9, Total: 30}, long: 30,
		},
		{
			name:    "an out-of-order sample is ignored",
			samples: []report.Sample{sample("a", 0, 2*m, 5, 100), sample("a", 0, m, 1, 50)},
			want:    report.Count{Bad: 5, Total: 100}, long: 5, short: 5,
		},
		{
			name:    "more broken than opened flows count as all bad",
			samples: []report.Sample{sample("a", 0, 5*m, 7, 0)},
			want:    report.Count{Bad: 7}, long: 100, short: 100, alert: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h report.History
			for _, s := range c.samples {
				h.Add(s)
			}
			got := h.Burns()[c.window]
			must.Eq(t, c.want, got.Count)
			must.InDelta(t, c.long, got.Long, 1e-9)
			must.InDelta(t, c.short, got.Short, 1e-9)
			must.Eq(t, c.alert, got.Alert)
		})
	}
}

func TestHistogram(t *testing.T) {
	var h report.Histogram
	for i := range 100 {
		h.RecordTime(time.Duration(i+1) * time.Millisecond)
	}
	must.Eq(t, 50, h.Within(50*time.Millisecond))
	must.Between(t, 98_000, h.Quantile(99), 100_000)

	b, err := h.MarshalText()
	must.NoError(t, err)
	var got report.Histogram
	must.NoError(t, got.UnmarshalText(b))
	must.Eq(t, h.Count(), got.Count())

	earlier := h.Clone()
	h.RecordTime(time.Second)
	must.Eq(t, 1, h.Since(earlier).Count())
	must.Eq(t, 100, earlier.Since(h).Count())

	var bad *report.HistogramError
	must.True(t, errors.As(got.UnmarshalText([]byte("?")), &bad))
}
