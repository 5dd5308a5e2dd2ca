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

// upstream is a fake upstream with its sidecar's watch, peers and queue.
type upstream struct {
	id                  bundle.UpstreamID // never 0
	place               int
	spec                bundle.Upstream
	watch               *load.Watch
	peers               *load.Peers
	policy              load.Policy // nil for the ideal
	decider             *load.Decider
	queue               *limit.Queue
	waiting             map[uint64]*flow // by the identity in queue
	flows               map[*flow]bool   // accepted and not ended
	acceptedSinceSample int              // flows accepted since the last sample
	running             int              // from 0 to the slots
	slowdown            float64          // at least 1
	reportsZeroLoad     bool
	refusing            bool // refuses new requests
	offline             bool // answers nothing
	leaving             bool
}

func newUpstream(id bundle.UpstreamID, place int, cfg Config, age time.Duration, now time.Duration) *upstream {
	u := &upstream{id: id, place: place, policy: cfg.Policy, slowdown: 1}
	u.spec = bundle.Upstream{Slots: cfg.Slots, Connections: cfg.Connections}
	u.reset(toTime(now - age))
	return u
}

// reset puts a fresh sidecar without flows beside the upstream.
func (u *upstream) reset(since time.Time) {
	u.watch = load.NewWatch(load.WatchConfig{Upstream: u.spec}, since)
	u.peers = load.NewPeers(load.PeersConfig{Service: serviceID, Upstream: u.id})
	u.decider = load.NewDecider(load.DeciderConfig{Policy: u.policy, Watch: u.watch, Peers: u.peers})
	u.queue = limit.NewQueue(limit.QueueConfig{MaxLength: maxQueueLength})
	u.waiting = make(map[uint64]*flow)
	u.flows = make(map[*flow]bool)
	u.running = 0
}

// addFlow takes a flow.
func (u *upstream) addFlow(f *flow, now time.Duration) {
	u.flows[f] = true
	u.watch.Accepted(toTime(now))
	u.watch.SetConnections(len(u.flows))
}

// removeFlow drops a flow.
func (u *upstream) removeFlow(f *flow) {
	delete(u.flows, f)
	u.watch.SetConnections(len(u.flows))
}

// setLeaving stops new flows.
func (u *upstream) setLeaving() {
	u.leaving = true
	u.spec.Leaving = true
	u.watch.Update(u.spec)
}

func (u *upstream) view(now time.Duration) load.View {
	return u.watch.View(toTime(now))
}

// report returns what the sidecar tells the others.
func (u *upstream) report(now time.Duration) (load.Report, bool) {
	r, ok := u.decider.Due(toTime(now))
	if u.reportsZeroLoad {
		r.Busy = 0
		r.Connections = 0
	}
	return r, ok
}

func (u *upstream) hasFreeSlot() bool {
	return !u.offline && u.running < u.spec.EffectiveSlots()
}

// openFlows returns the flows in the order in which they were made.
func (u *upstream) openFlows() []*flow {
	return slices.SortedFunc(maps.Keys(u.flows), func(a, b *flow) int {
		return cmp.Compare(a.id, b.id)
	})
}

// throughput returns how fast the sidecar has seen its upstream work.
func (u *upstream) throughput(now time.Duration) limit.Throughput {
	v := u.view(now)
	return limit.Throughput{Slots: v.Slots, ServiceTime: v.Service, Reserve: reserveFactor * v.Service}
}

// toTime returns the moment of a run as a time.
func toTime(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(startTime + now)
}

const (
	startTime      = 24 * time.Hour
	maxQueueLength = 1_000_000
	// reserveFactor is the time kept for a request once started, in mean times in service.
	reserveFactor = 2
)
