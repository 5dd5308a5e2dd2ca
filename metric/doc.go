// Package metric writes the counters, gauges and latency histograms of a
// process in the Prometheus text exposition format.
//
// Start with Definition, Histogram and Page.
package metric
