package metric_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/metric"
	"github.com/shoenig/test/must"
)

func TestPage(t *testing.T) {
	var p metric.Page
	p.Value(metric.Definition{Name: "a_total", Kind: metric.Counter, Help: "What a counts."}, 3)
	p.Values(metric.Definition{Name: "b_bytes", Kind: metric.Gauge, Help: "What b measures.", Label: "of"},
		[]metric.Sample{{Label: "x", Value: 1.5}, {Label: "y", Value: 1e9}})
	must.Eq(t, `# HELP a_total What a counts.
# TYPE a_total counter
a_total 3
# HELP b_bytes What b measures.
# TYPE b_bytes gauge
b_bytes{of="x"} 1.5
b_bytes{of="y"} 1e+09
`, string(p.Bytes()))
}

func TestHistogramIsCumulative(t *testing.T) {
	h := metric.NewHistogram()
	for _, d := range []time.Duration{-time.Second, 500 * time.Microsecond, 15 * time.Millisecond, 40 * time.Second, time.Hour} {
		h.Observe(d)
	}
	var p metric.Page
	p.Histogram(metric.Definition{Name: "c_seconds", Kind: metric.Latencies, Help: "C."}, h)
	got := string(p.Bytes())
	for _, line := range []string{
		`c_seconds_bucket{le="0.001"} 2`,
		`c_seconds_bucket{le="0.01"} 2`,
		`c_seconds_bucket{le="0.02"} 3`,
		`c_seconds_bucket{le="5"} 3`,
		`c_seconds_bucket{le="+Inf"} 5`,
		`c_seconds_sum 100.0155`,
		`c_seconds_count 5`,
	} {
		must.StrContains(t, got, line+"\n")
	}
}
