package edge

import (
	"runtime/debug"
	"runtime/metrics"
	"strconv"
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
	defForwarded   = metric.Definition{Name: "corianderbay_packets_forwarded_total", Kind: metric.Counter, Help: "Packets of callers sent on to another process."}
	defDelivered   = metric.Definition{Name: "corianderbay_packets_delivered_total", Kind: metric.Counter, Help: "Packets of callers given to the upstream."}
	defAnswered    = metric.Definition{Name: "corianderbay_packets_answered_total", Kind: metric.Counter, Help: "Packets of the upstream sent to callers."}
	defRefused     = metric.Definition{Name: "corianderbay_flows_refused_total", Kind: metric.Counter, Help: "Flows that this process reset, by reason.", Label: "reason"}
	defDropped     = metric.Definition{Name: "corianderbay_packets_dropped_total", Kind: metric.Counter, Help: "Packets that were discarded, by reason.", Label: "reason"}
	defInvalid     = metric.Definition{Name: "corianderbay_packets_invalid_total", Kind: metric.Counter, Help: "Datagrams that are no packets, or came from the wrong side."}
	defHeld        = metric.Definition{Name: "corianderbay_packets_held", Kind: metric.Gauge, Help: "Packets that wait for what is missing to decide on them."}
	defSearched    = metric.Definition{Name: "corianderbay_packets_searched_total", Kind: metric.Counter, Help: "Packets of callers sent to search for the upstream of their flow."}
	defOffered     = metric.Definition{Name: "corianderbay_packets_offered_total", Kind: metric.Counter, Help: "Packets of unknown flows given to the upstream, which returns those of flows that it does not hold."}
	defRemembered  = metric.Definition{Name: "corianderbay_flows_remembered", Kind: metric.Gauge, Help: "Flows whose upstream the balancer remembers."}
	defLink        = metric.Definition{Name: "corianderbay_link_kilobits", Kind: metric.Gauge, Help: "Capacity of the instance's link in kbit/s; 0 when it is not known."}
	defTraffic     = metric.Definition{Name: "corianderbay_link_traffic_kilobits", Kind: metric.Gauge, Help: "Mean traffic over about a second in kbit/s, of the direction with more."}
	defStandby     = metric.Definition{Name: "corianderbay_standby", Kind: metric.Gauge, Help: "1 while the balancer reports as not ready because its link is nearly full."}
	defOpen        = metric.Definition{Name: "corianderbay_flows_open", Kind: metric.Gauge, Help: "Flows that are open or opening at the upstream."}
	defActive      = metric.Definition{Name: "corianderbay_requests_active", Kind: metric.Gauge, Help: "Requests that wait for the upstream's answer."}
	defVersion     = metric.Definition{Name: "corianderbay_routes_version", Kind: metric.Gauge, Help: "Version of the routes in force."}
	defRoutesAge   = metric.Definition{Name: "corianderbay_routes_age_seconds", Kind: metric.Gauge, Help: "Time since the routes in force were taken over."}
	defRevision    = metric.Definition{Name: "corianderbay_upstreams_revision", Kind: metric.Gauge, Help: "Revision of the list of upstreams in force."}
	defEra         = metric.Definition{Name: "corianderbay_store_era", Kind: metric.Gauge, Help: "How often the store came back from an older copy, as far as is known."}
	defDoubtful    = metric.Definition{Name: "corianderbay_upstreams_doubtful", Kind: metric.Gauge, Help: "Keys of which more was known before the store came back from an older copy."}
	defEvacuated   = metric.Definition{Name: "corianderbay_datacentres_evacuated", Kind: metric.Gauge, Help: "Data centres in which no flows are opened."}
	defStoreAge    = metric.Definition{Name: "corianderbay_store_age_seconds", Kind: metric.Gauge, Help: "Time since the store is known to have answered any process."}
	defPeers       = metric.Definition{Name: "corianderbay_peers_alive", Kind: metric.Gauge, Help: "Other processes that are heard."}
	defQueries     = metric.Definition{Name: "corianderbay_presence_queries_total", Kind: metric.Counter, Help: "Presence queries sent to processes whose heartbeats were due."}
	defAnswers     = metric.Definition{Name: "corianderbay_presence_answers_total", Kind: metric.Counter, Help: "Presence queries of other processes that were answered."}
	defLossy       = metric.Definition{Name: "corianderbay_reception_lossy", Kind: metric.Gauge, Help: "1 while so many heartbeats are missing that no process is taken for lost."}
	defOmitted     = metric.Definition{Name: "corianderbay_log_lines_omitted_total", Kind: metric.Counter, Help: "Lines that were left out of the log."}
	defUnusable    = metric.Definition{Name: "corianderbay_inputs_unusable_total", Kind: metric.Counter, Help: "Inputs that could not be used, by the event that was logged; store-lost and pull-failed also count calls without a response.", Label: "event"}
	defMemory      = metric.Definition{Name: "corianderbay_memory_bytes", Kind: metric.Gauge, Help: "Memory that the runtime has mapped."}
	defStoreCalls  = metric.Definition{Name: "corianderbay_store_call_seconds", Kind: metric.Latencies, Help: "Duration of calls of the store, without watches."}
	defOpening     = metric.Definition{Name: "corianderbay_opening_seconds", Kind: metric.Latencies, Help: "Time from an opening's delivery until the upstream accepts it."}
	defAnswer      = metric.Definition{Name: "corianderbay_answer_seconds", Kind: metric.Latencies, Help: "Time from a request's first packet until the first data of its answer."}
	defOverloaded  = metric.Definition{Name: "corianderbay_service_overloaded", Kind: metric.Gauge, Help: "1 while openings are admitted by priority, with --admission.", Label: "service"}
	defStanding    = metric.Definition{Name: "corianderbay_standing_wait_seconds", Kind: metric.Gauge, Help: "Least expected wait at any upstream within half a second, with --admission.", Label: "service"}
	defShareUsed   = metric.Definition{Name: "corianderbay_share_used", Kind: metric.Gauge, Help: "Part of the admitted openings of a service that had a priority, as service/priority.", Label: "class"}
	defShareOwed   = metric.Definition{Name: "corianderbay_share_owed", Kind: metric.Gauge, Help: "Part of the admitted openings of a service that a priority is entitled to, as service/priority.", Label: "class"}
	defNotAdmitted = metric.Definition{Name: "corianderbay_openings_not_admitted_total", Kind: metric.Counter, Help: "Openings refused by admission control, as service/priority/reason.", Label: "cause"}
	defBuild       = metric.Definition{Name: "corianderbay_build_info", Kind: metric.Gauge, Help: "Always 1; the label is the revision of the source that the program was built from.", Label: "revision"}
	defFormats     = metric.Definition{Name: "corianderbay_format_spoken", Kind: metric.Gauge, Help: "Oldest and newest version of messages that this process reads.", Label: "bound"}
	defPeerFormat  = metric.Definition{Name: "corianderbay_peers_by_format", Kind: metric.Gauge, Help: "Other live processes by the version of the messages that they are sent.", Label: "format"}
	defUnreadPeer  = metric.Definition{Name: "corianderbay_peers_unreadable", Kind: metric.Gauge, Help: "Other processes that are alive but whose last message has a version that this one does not read."}
	defUnreadable  = metric.Definition{Name: "corianderbay_messages_unreadable_total", Kind: metric.Counter, Help: "Messages of versions that this process does not read, by version.", Label: "format"}
	defWork        = metric.Definition{Name: "corianderbay_upstream_work_seconds", Kind: metric.Gauge, Help: "Mean time for which a request occupies a slot of the upstream; 0 while it is not known."}
	defWorkAge     = metric.Definition{Name: "corianderbay_upstream_work_age_seconds", Kind: metric.Gauge, Help: "Time since the last request that this mean includes."}
	defWindow      = metric.Definition{Name: "corianderbay_upstream_window", Kind: metric.Gauge, Help: "Maximum number of concurrent requests while the upstream ramps up; 0 when there is none."}
	defShed        = metric.Definition{Name: "corianderbay_requests_shed_total", Kind: metric.Counter, Help: "Requests that the full upstream answered at once without processing them."}
	defOtherRoutes = metric.Definition{Name: "corianderbay_openings_other_routes_total", Kind: metric.Counter, Help: "Openings that balancers placed by other routes than those of this process, by which are the balancer's.", Label: "balancer"}
	defState       = metric.Definition{Name: "corianderbay_upstream_state", Kind: metric.Gauge, Help: "1 for each state of the upstream that applies: usual, slow or ramp.", Label: "state"}
)

// Definitions returns the definitions of all metrics of a balancer and of a sidecar.
func Definitions() (balancer, sidecar []metric.Definition) {
	common := []metric.Definition{defForwarded, defRefused, defDropped, defInvalid, defHeld, defVersion, defRoutesAge, defRevision, defEra, defDoubtful, defEvacuated, defStoreAge, defPeers, defBuild, defFormats, defPeerFormat, defUnreadPeer, defUnreadable, defQueries, defAnswers, defLossy, defOmitted, defUnusable, defMemory, defStoreCalls}
	balancer = append(append(balancer, common...), defSearched, defRemembered, defLink, defTraffic, defStandby, defOverloaded, defStanding, defShareUsed, defShareOwed, defNotAdmitted)
	sidecar = append(append(sidecar, common...), defDelivered, defOffered, defAnswered, defOpen, defActive, defOpening, defAnswer, defWork, defWorkAge, defWindow, defShed, defState, defOtherRoutes)
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
	p.Values(defUnusable, unusableInputs(log))
	p.Value(defVersion, float64(st.Version))
	p.Value(defRoutesAge, st.RoutesAge.Seconds())
	p.Value(defRevision, float64(st.State.Revision))
	p.Value(defEra, float64(st.State.Era))
	p.Value(defDoubtful, float64(st.Doubtful))
	p.Value(defEvacuated, float64(st.Evacuated))
	p.Value(defStoreAge, st.StoreAge.Seconds())
	p.Value(defPeers, float64(st.Peers))
	pr := n.Presence()
	p.Value(defQueries, float64(pr.Sent))
	p.Value(defAnswers, float64(pr.Answered))
	p.Value(defLossy, flag(pr.Lossy))
	writeFormats(p, n.Formats())
	p.Value(defMemory, memory())
	p.Histogram(defStoreCalls, n.StoreCalls())
}

// unusableInputs returns the counts of events that report input from other programs that
// could not be used.
func unusableInputs(log *event.Logger) []metric.Sample {
	return []metric.Sample{
		{Label: "entry-unusable", Value: float64(log.Count(event.EntryUnusable))},
		{Label: "datagram-unusable", Value: float64(log.Count(event.DatagramUnusable))},
		{Label: "settings-unusable", Value: float64(log.Count(event.SettingsUnusable))},
		{Label: "store-lost", Value: float64(log.Count(event.StoreLost))},
		{Label: "pull-failed", Value: float64(log.Count(event.PullFailed))},
	}
}

// flag returns 1 for true and 0 for false.
func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// writeFormats adds the build and the versions of messages that are in use to p.
func writeFormats(p *metric.Page, f exchange.Formats) {
	p.Values(defBuild, []metric.Sample{{Label: revision(), Value: 1}})
	p.Values(defFormats, []metric.Sample{{Label: "oldest", Value: float64(f.Oldest)}, {Label: "newest", Value: float64(f.Newest)}})
	var peers, messages []metric.Sample
	for v := f.Oldest; v <= f.Newest; v++ {
		peers = append(peers, metric.Sample{Label: strconv.Itoa(int(v)), Value: float64(f.Peers[v])})
	}
	for v, count := range f.UnreadableMessages {
		if count > 0 {
			messages = append(messages, metric.Sample{Label: strconv.Itoa(v), Value: float64(count)})
		}
	}
	p.Values(defPeerFormat, peers)
	p.Value(defUnreadPeer, float64(f.Unreadable))
	p.Values(defUnreadable, messages)
}

// revision returns the revision of the source that the program was built from.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
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
	p.Value(defSearched, float64(b.searched.Load()))
	p.Value(defRemembered, float64(b.steering.Flows()))
	b.ingress.write(&p)
	writeAdmission(&p, b.steering.Admission(b.cfg.Timer.Uptime()))
	return p.Bytes()
}

// Metrics returns the metrics of the sidecar in the text format of Prometheus.
func (s *Sidecar) Metrics() []byte {
	var p metric.Page
	s.counts.write(&p)
	p.Value(defHeld, float64(s.held.len()))
	writeNode(&p, s.node, s.cfg.Log)
	p.Value(defDelivered, float64(s.counts.delivered.Load()))
	p.Value(defOffered, float64(s.steering.Offered()))
	p.Value(defAnswered, float64(s.counts.answered.Load()))
	p.Value(defOpen, float64(s.steering.Flows()))
	p.Value(defActive, float64(s.steering.Active()))
	p.Histogram(defOpening, s.latency.opening)
	p.Histogram(defAnswer, s.latency.answer)
	writePace(&p, s.steering.Pace(s.cfg.Timer.Uptime()))
	p.Values(defOtherRoutes, []metric.Sample{
		{Label: "older", Value: float64(s.counts.olderOpenings.Load())},
		{Label: "newer", Value: float64(s.counts.newerOpenings.Load())},
	})
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
