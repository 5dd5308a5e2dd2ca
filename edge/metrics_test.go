package edge_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/edge"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestMetricsEqualPage fails if docs/METRICS.md differs from the definitions in the
// code. To regenerate the page, run: CORIANDERBAY_UPDATE_PAGES=1 go test ./edge
func TestMetricsEqualPage(t *testing.T) {
	const page = "../docs/METRICS.md"
	want := renderPage()
	if os.Getenv("CORIANDERBAY_UPDATE_PAGES") != "" {
		must.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, want, string(got))
}

// TestMetricNames checks that names are unique per role, that names of counters and no
// others end in _total, and that names of latencies end in _seconds.
func TestMetricNames(t *testing.T) {
	balancer, sidecar := edge.Definitions()
	for _, list := range [][]metric.Definition{balancer, sidecar} {
		seen := make(map[string]bool)
		for _, d := range list {
			must.False(t, seen[d.Name], must.Sprint(d.Name))
			seen[d.Name] = true
			must.StrHasPrefix(t, "corianderbay_", d.Name)
			must.Eq(t, d.Kind == metric.Counter, strings.HasSuffix(d.Name, "_total"), must.Sprint(d.Name))
			if d.Kind == metric.Latencies {
				must.StrHasSuffix(t, "_seconds", d.Name)
			}
		}
	}
}

func renderPage() string {
	balancer, sidecar := edge.Definitions()
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("What `corianderbay platform balancer` and `platform sidecar` answer on their metrics address, in the text format of\n")
	b.WriteString("Prometheus. Source: the package `edge`; a test keeps this page equal to it. The product's own roles publish\n")
	b.WriteString("theirs by expvar, see [OPERATIONS.md](OPERATIONS.md#where-to-look).\n\n")
	b.WriteString("Reasons of refused flows and dropped packets: ")
	for i, r := range steer.Reasons() {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "`%s`", r)
	}
	b.WriteString(".\n")
	writeTable(&b, "Balancer", balancer)
	writeTable(&b, "Sidecar", sidecar)
	return b.String()
}

func writeTable(b *strings.Builder, role string, list []metric.Definition) {
	fmt.Fprintf(b, "\n## %s\n\n| name | kind | label | meaning |\n|---|---|---|---|\n", role)
	for _, d := range list {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, d.Label, d.Help)
	}
}
