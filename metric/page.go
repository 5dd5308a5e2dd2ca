package metric

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// Kind is the type of a metric, as written in its TYPE line.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"   // only increases while the process runs
	Gauge     Kind = "gauge"     // may increase and decrease
	Latencies Kind = "histogram" // histogram of durations in seconds
)

// Definition describes one metric.
type Definition struct {
	// Name ends in the unit of the values if they have one; that of a counter ends in _total.
	Name string
	Kind Kind
	Help string
	// Label is the name of the only label, or empty if there is none.
	Label string
}

// Page builds the text that is returned to a scraper. The zero value is empty.
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

// Values adds a metric with one sample for each value of its label.
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
	for i, bound := range bucketBounds() {
		fmt.Fprintf(&p.buf, "%s_bucket{le=%q} %d\n", d.Name, formatNumber(bound.Seconds()), s.cumulative[i])
	}
	fmt.Fprintf(&p.buf, "%s_bucket{le=\"+Inf\"} %d\n", d.Name, s.count)
	fmt.Fprintf(&p.buf, "%s_sum %s\n", d.Name, formatNumber(s.sum.Round(time.Microsecond).Seconds()))
	fmt.Fprintf(&p.buf, "%s_count %d\n", d.Name, s.count)
}

// Bytes returns the text written so far. It is valid until the next change of the page.
func (p *Page) Bytes() []byte {
	return p.buf.Bytes()
}

func (p *Page) writeHeader(d Definition) {
	fmt.Fprintf(&p.buf, "# HELP %s %s\n# TYPE %s %s\n", d.Name, d.Help, d.Name, d.Kind)
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
