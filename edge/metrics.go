package edge

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/steer"
)

// memorySample is the name of the runtime/metrics sample of all mapped memory, in bytes.
const memorySample = "/memory/classes/total:bytes"

// Metrics of balancers and sidecars; Definitions lists the metrics of each role.
var (
	defForwarded  = metric.Definition{Name: "corianderbay_packets_forwarded_total", Kind: metric.Counter, Help: "Packets of callers sent on to another process."}
	defDelivered  = metric.Definition{Name: "corianderbay_packets_delivered_total", Kind: metric.Counter, Help: "Packets of callers given to the upstream."}
	defAnswered   = metric.Definition{Name: "corianderbay_packets_answered_total", Kind: metric.Counter, Help: "Packets of the upstream sent to callers."}
	defRefused    = metric.Definition{Name: "corianderbay_flows_refused_total", Kind: metric.Counter, Help: "Flows that this process reset, by reason.", Label: "reason"}
	defDropped    = metric.Definition{Name: "corianderbay_packets_dropped_total", Kind: metric.Counter, Help: "Packets that were discarded, by reason.", Label: "reason"}
	defInvalid    = metric.Definition{Name: "corianderbay_packets_invalid_total", Kind: metric.Counter, Help: "Datagrams that are no packets, or came from the wrong side."}
	defHeld       = metric.Definition{Name: "corianderbay_packets_held", Kind: metric.Gauge, Help: "Packets that wait for what is missing to decide on them."}
	defRemembered = metric.Definition{Name: "corianderbay_flows_remembered", Kind: metric.Gauge, Help: "Flows whose upstream the balancer remembers."}
	defOpen       = metric.Definition{Name: "corianderbay_flows_open", Kind: metric.Gauge, Help: "Flows that are open or opening at the upstream."}
	defActive     = metric.Definition{Name: "corianderbay_requests_active", Kind: metric.Gauge, Help: "Requests that wait for the upstream's answer."}
	defVersion    = metric.Definition{Name: "corianderbay_routes_version", Kind: metric.Gauge, Help: "Version of the routes in force."}
	defRoutesAge  = metric.Definition{Name: "corianderbay_routes_age_seconds", Kind: metric.Gauge, Help: "Time since the routes in force were taken over."}
	defRevision   = metric.Definition{Name: "corianderbay_upstreams_revision", Kind: metric.Gauge, Help: "Revision of the list of upstreams in force."}
	defEra        = metric.Definition{Name: "corianderbay_store_era", Kind: metric.Gauge, Help: "How often the store came back from an older copy, as far as is known."}
	defDoubtful   = metric.Definition{Name: "corianderbay_upstreams_doubtful", Kind: metric.Gauge, Help: "Keys of which more was known before the store came back from an older copy."}
	defEvacuated  = metric.Definition{Name: "corianderbay_datacentres_evacuated", Kind: metric.Gauge, Help: "Data centres in which no flows are opened."}
	defStoreAge   = metric.Definition{Name: "corianderbay_store_age_seconds", Kind: metric.Gauge, Help: "Time since the store is known to have answered any process."}
	defPeers      = metric.Definition{Name: "corianderbay_peers_alive", Kind: metric.Gauge, Help: "Other processes that are heard."}
	defOmitted    = metric.Definition{Name: "corianderbay_log_lines_omitted_total", Kind: metric.Counter, Help: "Lines that were left out of the log."}
	defMemory     = metric.Definition{Name: "corianderbay_memory_bytes", Kind: metric.Gauge, Help: "Memory that the runtime has mapped."}
	defStoreCalls = metric.Definition{Name: "corianderbay_store_call_seconds", Kind: metric.Latencies, Help: "Duration of calls of the store, without watches."}
	defOpening    = metric.Definition{Name: "corianderbay_opening_seconds", Kind: metric.Latencies, Help: "Time from an opening's delivery until the upstream accepts it."}
	defWork       = metric.Definition{Name: "corianderbay_upstream_work_seconds", Kind: metric.Gauge, Help: "Mean time for which a request occupies a slot of the upstream; 0 while it is not known."}
	defWorkAge    = metric.Definition{Name: "corianderbay_upstream_work_age_seconds", Kind: metric.Gauge, Help: "Time since the last request that this mean includes."}
	defWindow     = metric.Definition{Name: "corianderbay_upstream_window", Kind: metric.Gauge, Help: "Maximum number of concurrent requests while the upstream ramps up; 0 when there is none."}
	defShed       = metric.Definition{Name: "corianderbay_requests_shed_total", Kind: metric.Counter, Help: "Requests that the full upstream answered at once without processing them."}
	defState      = metric.Definition{Name: "corianderbay_upstream_state", Kind: metric.Gauge, Help: "1 for each state of the upstream that applies: usual, slow or ramp.", Label: "state"}
	defAnswer     = metric.Definition{Name: "corianderbay_answer_seconds", Kind: metric.Latencies, Help: "Time from a request's first packet until the first data of its answer."}
)

// Definitions returns the definitions of all metrics of a balancer and of a sidecar.
func Definitions() (balancer, sidecar []metric.Definition) {
	common := []metric.Definition{defForwarded, defRefused, defDropped, defInvalid, defHeld, defVersion, defRoutesAge, defRevision, defEra, defDoubtful, defEvacuated, defStoreAge, defPeers, defOmitted, defMemory, defStoreCalls}
	balancer = append(append(balancer, common...), defRemembered)
	sidecar = append(append(sidecar, common...), defDelivered, defAnswered, defOpen, defActive, defOpening, defAnswer, defWork, defWorkAge, defWindow, defShed, defState)
	return balancer, sidecar
}

// reasonCounts holds one counter for each reason.
type reasonCounts [steer.ReasonCount]atomic.Uint64

func (c *reasonCounts) add(r steer.Reason) {
	c[r].Add(1)
}

func (c *reasonCounts) labelled() []metric.Sample {
	var list []metric.Sample
	for _, r := range steer.Reasons() {
		list = append(list, metric.Sample{Label: r.String(), Value: float64(c[r].Load())})
	}
	return list
}

// write adds the counters that both roles have to p.
func (c *counts) write(p *metric.Page) {
	p.Value(defForwarded, float64(c.forwarded.Load()))
	p.Values(defRefused, c.refused.labelled())
	p.Values(defDropped, c.dropped.labelled())
	p.Value(defInvalid, float64(c.invalid.Load()))
}

// writeNode adds the metrics of n, of the log and of the runtime to p.
func writeNode(p *metric.Page, n *exchange.Node, log *event.Logger) {
	st := n.Status()
	p.Value(defOmitted, float64(log.Omitted()))
	p.Value(defVersion, float64(st.Version))
	p.Value(defRoutesAge, st.RoutesAge.Seconds())
	p.Value(defRevision, float64(st.State.Revision))
	p.Value(defEra, float64(st.State.Era))
	p.Value(defDoubtful, float64(st.Doubtful))
	p.Value(defEvacuated, float64(st.Evacuated))
	p.Value(defStoreAge, st.StoreAge.Seconds())
	p.Value(defPeers, float64(st.Peers))
	p.Value(defMemory, memory())
	p.Histogram(defStoreCalls, n.StoreCalls())
}

// memory returns the memory that the runtime has mapped, in bytes.
func memory() float64 {
	s := []metrics.Sample{{Name: memorySample}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0 // the runtime does not provide this sample
	}
	return float64(s[0].Value.Uint64())
}

// Metrics returns the metrics of the balancer in the text format of Prometheus.
func (b *Balancer) Metrics() []byte {
	var p metric.Page
	b.counts.write(&p)
	p.Value(defHeld, float64(b.held.len()))
	writeNode(&p, b.node, b.cfg.Log)
	p.Value(defRemembered, float64(b.steering.Flows()))
	return p.Bytes()
}

// Metrics returns the metrics of the sidecar in the text format of Prometheus.
func (s *Sidecar) Metrics() []byte {
	var p metric.Page
	s.counts.write(&p)
	p.Value(defHeld, float64(s.held.len()))
	writeNode(&p, s.node, s.cfg.Log)
	p.Value(defDelivered, float64(s.counts.delivered.Load()))
	p.Value(defAnswered, float64(s.counts.answered.Load()))
	p.Value(defOpen, float64(s.steering.Flows()))
	p.Value(defActive, float64(s.steering.Active()))
	p.Histogram(defOpening, s.latency.opening)
	p.Histogram(defAnswer, s.latency.answer)
	writePace(&p, s.steering.Pace(s.cfg.Timer.Uptime()))
	return p.Bytes()
}

// latencies holds the latency histograms of a sidecar's upstream. It implements steer.Latency.
type latencies struct {
	opening *metric.Histogram
	answer  *metric.Histogram
}

func newLatencies() latencies {
	return latencies{opening: metric.NewHistogram(), answer: metric.NewHistogram()}
}

// Opened records the time that the upstream took to accept a new flow.
func (l latencies) Opened(d time.Duration) {
	l.opening.Observe(d)
}

// Answered records the time from a request until the first data of its answer.
func (l latencies) Answered(d time.Duration) {
	l.answer.Observe(d)
}
