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

const service bundle.ServiceID = 1

// upstream is a fake upstream with its sidecar's watch, peers and queue.
type upstream struct {
	id      bundle.UpstreamID // never 0
	place   int
	spec    bundle.Upstream
	watch   *load.Monitor
	peers   *load.Peers
	policy  load.Policy // nil for the ideal
	decider *load.Decider
	queue   *limit.Queue
	waiting map[uint64]*flow // by the identity in queue
	flows   map[*flow]bool   // accepted and not ended
	opened  int              // flows accepted since the last sample
	running int              // from 0 to the slots
	slow    float64          // at least 1
	silent  bool
	down    bool // refuses new requests
	dead    bool // answers nothing
	leaving bool
}

func newUpstream(id bundle.UpstreamID, place int, cfg Config, age time.Duration, now time.Duration) *upstream {
	u := &upstream{id: id, place: place, policy: cfg.Policy, slow: 1}
	u.spec = bundle.Upstream{Slots: cfg.Slots, Connections: cfg.Connections}
	u.empty(clock(now - age))
	return u
}

// empty puts a fresh sidecar without flows beside the upstream.
func (u *upstream) empty(since time.Time) {
	u.watch = load.NewMonitor(load.MonitorConfig{Upstream: u.spec}, since)
	u.peers = load.NewPeers(load.PeersConfig{Service: service, Upstream: u.id})
	u.decider = load.NewDecider(load.DeciderConfig{Policy: u.policy, Monitor: u.watch, Peers: u.peers})
	u.queue = limit.NewQueue(limit.QueueConfig{MaxLength: queueMax})
	u.waiting = make(map[uint64]*flow)
	u.flows = make(map[*flow]bool)
	u.running = 0
}

// own takes a flow.
func (u *upstream) own(f *flow, now time.Duration) {
	u.flows[f] = true
	u.watch.Accepted(clock(now))
	u.watch.SetConnections(len(u.flows))
}

// disown drops a flow.
func (u *upstream) disown(f *flow) {
	delete(u.flows, f)
	u.watch.SetConnections(len(u.flows))
}

// leave stops new flows.
func (u *upstream) leave() {
	u.leaving = true
	u.spec.Leaving = true
	u.watch.SetUpstream(u.spec)
}

func (u *upstream) view(now time.Duration) load.View {
	return u.watch.View(clock(now))
}

// report returns what the sidecar tells the others.
func (u *upstream) report(now time.Duration) (load.Report, bool) {
	r, ok := u.decider.Tick(clock(now))
	if u.silent {
		r.Busy = 0
		r.Connections = 0
	}
	return r, ok
}

func (u *upstream) free() bool {
	return !u.dead && u.running < u.spec.EffectiveSlots()
}

// openFlows returns the flows in the order in which they were made.
func (u *upstream) openFlows() []*flow {
	return slices.SortedFunc(maps.Keys(u.flows), func(a, b *flow) int {
		return cmp.Compare(a.id, b.id)
	})
}

// pace returns how fast the sidecar has seen its upstream work.
func (u *upstream) pace(now time.Duration) limit.Throughput {
	v := u.view(now)
	return limit.Throughput{Slots: v.Slots, ServiceTime: v.ServiceTime, Reserve: reserve * v.ServiceTime}
}

// clock returns the moment of a run as a time.
func clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(epoch + now)
}

const (
	epoch    = 24 * time.Hour
	queueMax = 1_000_000
	// reserve is the time kept for a request once started, in mean times in service.
	reserve = 2
)
