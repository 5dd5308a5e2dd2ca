package metric

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// Kind says how the values of a metric behave.
type Kind string

// The kinds.
const (
	Counter   Kind = "counter"   // only grows while the process runs
	Gauge     Kind = "gauge"     // goes up and down
	Latencies Kind = "histogram" // of seconds
)

// Definition describes one metric.
type Definition struct {
	// Name has the unit as its suffix.
	Name string
	Kind Kind
	Help string
	// Label is the name of the one label. Empty when there is none.
	Label string
}

// Page is the text that a scraper gets. The zero value is empty.
type Page struct {
	buf bytes.Buffer
}

// Value adds a metric without a label.
func (p *Page) Value(d Definition, v float64) {
	p.writeHeader(d)
	fmt.Fprintf(&p.buf, "%s %s\n", d.Name, formatNumber(v))
}

// Sample is the value of a metric for one value of its label.
type Sample struct {
	Label string
	Value float64
}

// Values adds a metric with a label.
func (p *Page) Values(d Definition, list []Sample) {
	p.writeHeader(d)
	for _, l := range list {
		fmt.Fprintf(&p.buf, "%s{%s=%q} %s\n", d.Name, d.Label, l.Label, formatNumber(l.Value))
	}
}

// Histogram adds a histogram of latencies.
func (p *Page) Histogram(d Definition, h *Histogram) {
	p.writeHeader(d)
	s := h.snapshot()
	for i, limit := range bucketBounds() {
		fmt.Fprintf(&p.buf, "%s_bucket{le=%q} %d\n", d.Name, formatNumber(limit.Seconds()), s.cumulative[i])
	}
	fmt.Fprintf(&p.buf, "%s_bucket{le=\"+Inf\"} %d\n", d.Name, s.count)
	fmt.Fprintf(&p.buf, "%s_sum %s\n", d.Name, formatNumber(s.sum.Round(time.Microsecond).Seconds()))
	fmt.Fprintf(&p.buf, "%s_count %d\n", d.Name, s.count)
}

// Bytes returns the text so far.
func (p *Page) Bytes() []byte {
	return p.buf.Bytes()
}

func (p *Page) writeHeader(d Definition) {
	fmt.Fprintf(&p.buf, "# HELP %s %s\n# TYPE %s %s\n", d.Name, d.Help, d.Name, d.Kind)
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
