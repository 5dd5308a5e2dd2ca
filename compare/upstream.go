package compare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/load"
)

const serviceID bundle.ServiceID = 1

// upstream is a simulated upstream with the state of its sidecar.
type upstream struct {
	id                  bundle.UpstreamID // never 0
	place               int
	spec                bundle.Upstream
	monitor             *load.Monitor
	peers               *load.Peers
	policy              load.Policy // nil selects the ideal
	decider             *load.Decider
	queue               *limit.Queue
	waiting             map[uint64]*flow // by request ID in queue
	flows               map[*flow]bool   // open flows
	acceptedSinceSample int              // flows
	running             int              // requests being served, at most the slots
	slowdown            float64          // factor of service times, at least 1
	reportsZeroLoad     bool
	refusing            bool // refuses new requests
	offline             bool // does not answer
	leaving             bool
}

func newUpstream(id bundle.UpstreamID, place int, cfg Config, age time.Duration, now time.Duration) *upstream {
	u := &upstream{id: id, place: place, policy: cfg.Policy, slowdown: 1}
	u.spec = bundle.Upstream{Slots: cfg.Slots, Connections: cfg.Connections}
	u.reset(toTime(now - age))
	return u
}

// reset replaces the sidecar by a new one without flows that started at since.
func (u *upstream) reset(since time.Time) {
	u.monitor = load.NewMonitor(load.MonitorConfig{Upstream: u.spec}, since)
	u.peers = load.NewPeers(load.PeersConfig{Service: serviceID, Upstream: u.id})
	u.decider = load.NewDecider(load.DeciderConfig{Policy: u.policy, Monitor: u.monitor, Peers: u.peers})
	u.queue = limit.NewQueue(limit.QueueConfig{MaxLength: maxQueueLength})
	u.waiting = make(map[uint64]*flow)
	u.flows = make(map[*flow]bool)
	u.running = 0
}

// addFlow adds an accepted flow.
func (u *upstream) addFlow(f *flow, now time.Duration) {
	u.flows[f] = true
	u.monitor.Accepted(toTime(now))
	u.monitor.SetConnections(len(u.flows))
}

// removeFlow removes a flow.
func (u *upstream) removeFlow(f *flow) {
	delete(u.flows, f)
	u.monitor.SetConnections(len(u.flows))
}

// setLeaving marks the upstream as leaving, so that it gets no new flows.
func (u *upstream) setLeaving() {
	u.leaving = true
	u.spec.Leaving = true
	u.monitor.SetUpstream(u.spec)
}

func (u *upstream) view(now time.Duration) load.View {
	return u.monitor.View(toTime(now))
}

// report returns the sidecar's report to its peers, and whether one is due.
func (u *upstream) report(now time.Duration) (load.Report, bool) {
	r, ok := u.decider.Tick(toTime(now))
	if u.reportsZeroLoad {
		r.Busy = 0
		r.Connections = 0
	}
	return r, ok
}

func (u *upstream) hasFreeSlot() bool {
	return !u.offline && u.running < u.spec.EffectiveSlots()
}

// openFlows returns the open flows in the order of their creation.
func (u *upstream) openFlows() []*flow {
	return slices.SortedFunc(maps.Keys(u.flows), func(a, b *flow) int {
		return cmp.Compare(a.id, b.id)
	})
}

// throughput returns the slots and the mean service time that the sidecar observed.
func (u *upstream) throughput(now time.Duration) limit.Throughput {
	v := u.view(now)
	return limit.Throughput{Slots: v.Slots, ServiceTime: v.ServiceTime, Reserve: reserveFactor * v.ServiceTime}
}

// toTime converts virtual time to a time. It adds startTime, so that times before
// the start of the run are after the Unix epoch.
func toTime(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(startTime + now)
}

const (
	startTime      = 24 * time.Hour
	maxQueueLength = 1_000_000
	// reserveFactor is the time reserved for serving a request, in mean service times.
	reserveFactor = 2
)
