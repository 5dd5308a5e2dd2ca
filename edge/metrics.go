package edge

import (
	"bytes"
	"fmt"
)

// metric is one line that a scraper reads.
type metric struct {
	name  string
	value float64
}

// write writes metrics in the text format of scrapers.
func write(list []metric) []byte {
	var b bytes.Buffer
	for _, m := range list {
		fmt.Fprintf(&b, "corianderbay_%s %g\n", m.name, m.value)
	}
	return b.Bytes()
}

func (c *counts) metrics() []metric {
	return []metric{
		{"packets_forwarded_total", float64(c.forwarded.Load())},
		{"packets_delivered_total", float64(c.delivered.Load())},
		{"packets_answered_total", float64(c.answered.Load())},
		{"flows_refused_total", float64(c.refused.Load())},
		{"packets_dropped_total", float64(c.dropped.Load())},
		{"packets_invalid_total", float64(c.invalid.Load())},
	}
}

// Metrics returns the counters and gauges of the process as text.
func (b *Balancer) Metrics() []byte {
	st := b.node.Status()
	list := append(b.counts.metrics(),
		metric{"flows_remembered", float64(b.decide.Flows())},
		metric{"routes_version", float64(st.Version)},
		metric{"store_age_seconds", st.StoreAge.Seconds()},
		metric{"peers_alive", float64(st.Peers)},
	)
	return write(list)
}

// Metrics returns the counters and gauges of the process as text.
func (s *Sidecar) Metrics() []byte {
	st := s.node.Status()
	list := append(s.counts.metrics(),
		metric{"flows_open", float64(s.decide.Flows())},
		metric{"requests_active", float64(s.decide.Active())},
		metric{"routes_version", float64(st.Version)},
		metric{"store_age_seconds", st.StoreAge.Seconds()},
		metric{"peers_alive", float64(st.Peers)},
	)
	return write(list)
}
