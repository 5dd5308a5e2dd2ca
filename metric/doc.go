// Package metric writes the counters, gauges and latency histograms of a
// process in the text format that scrapers of Prometheus read.
//
// Start with Definition, Histogram and Page.
package metric
