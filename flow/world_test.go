package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// A node identifies a process of the fake network: the fabric with its callers, a
// balancer or a sidecar.
type node int

// fabric is the node of all callers and of the platform. Partitions do not affect it.
const fabric node = 0

// A message is a message in transit between two nodes.
type message struct {
	at       time.Time
	sequence int // number of the message in sending order, breaks ties
	from, to node
	arrive   func()
}

type messages []message

func (ms messages) Len() int      { return len(ms) }
func (ms messages) Swap(i, j int) { ms[i], ms[j] = ms[j], ms[i] }
func (ms messages) Less(i, j int) bool {
	if !ms[i].at.Equal(ms[j].at) {
		return ms[i].at.Before(ms[j].at)
	}
	return ms[i].sequence < ms[j].sequence
}
func (ms *messages) Push(x any) { *ms = append(*ms, x.(message)) }
func (ms *messages) Pop() any {
	old := *ms
	m := old[len(old)-1]
	*ms = old[:len(old)-1]
	return m
}

// A world is a fake network with balancers, sidecars, upstreams and callers.
type world struct {
	now           time.Time
	rng           *rand.Rand
	queue         messages
	sent          int
	loss          float64 // share of messages lost
	repeat        float64 // share of messages duplicated
	maxDelay      time.Duration
	sides         map[node]int // nodes on different sides of a partition do not receive from each other
	partitionedAt time.Time    // when the partition began
	platformDown  bool         // the platform does not answer

	plans           []*plan // published, oldest first
	balancers       []*balancer
	hosts           map[bundle.UpstreamID]*host
	flows           []*callerFlow
	current         map[flow.Key]*callerFlow // the latest incarnation of each 5-tuple
	oracle          *oracle
	nextPort        int
	isn             uint32 // last initial sequence number of any upstream
	nextID          int
	lastIncarnation uint64
	nextTick        time.Time
	control         int // bytes of control messages sent
	config          flow.SidecarConfig
	without         string // name of a disabled mechanism
	trace           []line // the last decisions, oldest first
}

// A line is one entry of the trace. Its text is formatted only when a case fails.
type line struct {
	at   time.Time
	text func() string
}

func (l line) String() string {
	at := l.at.Sub(time.Unix(worldStart, 0))
	return fmt.Sprintf("%8.3f %s", at.Seconds(), l.text())
}

// log adds a line to the trace.
func (w *world) log(text func() string) {
	const maxLines = 4000
	if len(w.trace) >= maxLines {
		w.trace = append(w.trace[:0], w.trace[maxLines/2:]...)
	}
	w.trace = append(w.trace, line{at: w.now, text: text})
}

// worldStart is the Unix time at which worlds start.
const worldStart = 1_000_000

const tickInterval = 250 * time.Millisecond

// newWorld returns a world with the processes of newPlan(n, m).
func newWorld(seed uint64, balancers, n, m int) *world {
	w := &world{
		now:      time.Unix(worldStart, 0),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		maxDelay: 20 * time.Millisecond,
		sides:    map[node]int{},
		hosts:    map[bundle.UpstreamID]*host{},
		current:  map[flow.Key]*callerFlow{},
	}
	w.oracle = newOracle(w)
	w.plans = []*plan{newPlan(n, m)}
	for range balancers {
		w.joinBalancer()
	}
	return w
}

// start starts a host for each upstream of the newest plan.
func (w *world) start() {
	for _, s := range []bundle.ServiceID{fitting, report} {
		for _, m := range w.latest().members[s] {
			w.startHost(m.upstream)
		}
	}
}

func (w *world) latest() *plan {
	return w.plans[len(w.plans)-1]
}

// publish makes the next plan available. Processes take it at random times.
func (w *world) publish(change func(*plan)) {
	w.plans = append(w.plans, w.latest().with(change))
	p := w.latest()
	w.log(func() string { return fmt.Sprintf("publish %d: %v %v", p.version, p.members, p.addresses) })
}

// send sends a message, which may be lost or duplicated.
func (w *world) send(from, to node, arrive func()) {
	for range 1 + w.chance(w.repeat) {
		if w.chance(w.loss) == 1 {
			continue
		}
		w.sent++
		d := time.Duration(w.rng.Int64N(int64(w.maxDelay))) + time.Millisecond
		heap.Push(&w.queue, message{at: w.now.Add(d), sequence: w.sent, from: from, to: to, arrive: arrive})
	}
}

// upstreamISN returns an initial sequence number that is more than a window after
// the previous one.
func (w *world) upstreamISN() uint32 {
	const window = 1 << 25
	w.isn += window
	return w.isn
}

// chance returns 1 with probability p, else 0.
func (w *world) chance(p float64) int {
	if w.rng.Float64() < p {
		return 1
	}
	return 0
}

// partitioned reports whether a partition separates two nodes.
func (w *world) partitioned(a, b node) bool {
	return a != fabric && b != fabric && w.sides[a] != w.sides[b]
}

// run advances the time by d and processes all events until then.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := w.nextTick
		arrival := len(w.queue) > 0 && w.queue[0].at.Before(next)
		if arrival {
			next = w.queue[0].at
		}
		if next.After(end) {
			break
		}
		w.now = maxTime(w.now, next)
		if arrival {
			w.arrive(heap.Pop(&w.queue).(message))
			continue
		}
		w.tick()
		w.nextTick = w.now.Add(tickInterval)
	}
	w.now = end
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) arrive(m message) {
	if w.partitioned(m.from, m.to) {
		return
	}
	if m.to == fabric {
		m.arrive()
		return
	}
	if h := w.hosts[bundle.UpstreamID(m.to-hostNode)]; m.to > hostNode && h != nil {
		h.process.arrive(m.arrive)
		return
	}
	if i := int(m.to) - 1; i < len(w.balancers) {
		w.balancers[i].process.arrive(m.arrive)
	}
}

// A process can be dead or paused.
type process struct {
	dead     bool
	paused   bool
	pausedAt time.Time
	deadAt   time.Time
	waiting  []func() // packets that arrived while it was paused
}

func (p *process) arrive(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.waiting = append(p.waiting, f)
	default:
		f()
	}
}

func (p *process) running() bool {
	return !p.dead && !p.paused
}

// tick does the periodic work of processes and callers.
func (w *world) tick() {
	for _, b := range w.balancers {
		if n := w.newest(b.id); b.running() && !b.stuck && w.adopts(b.plan, n) {
			b.plan = n
		}
		if b.running() && !b.stuck && !w.platformDown && w.chance(0.1) == 1 {
			b.setAbsent(w.listedAbsent(b.id))
		}
	}
	for _, u := range w.upstreams() {
		w.hosts[u].tick()
	}
	for _, f := range w.flows {
		f.tick()
	}
}

// adopts decides at random whether a process with the old plan takes the newer one now.
func (w *world) adopts(old, newer *plan) bool {
	return old.version < newer.version && w.chance(0.1) == 1
}

// upstreams returns the IDs of the hosts in ascending order.
func (w *world) upstreams() []bundle.UpstreamID {
	us := make([]bundle.UpstreamID, 0, len(w.hosts))
	for u := bundle.UpstreamID(1); len(us) < len(w.hosts); u++ {
		if w.hosts[u] != nil {
			us = append(us, u)
		}
	}
	return us
}

// newest returns the newest plan that a process can get from the platform or from
// other processes.
func (w *world) newest(n node) *plan {
	if !w.platformDown {
		return w.latest()
	}
	p := w.plans[0]
	for _, b := range w.balancers {
		if b.running() && !w.partitioned(n, b.id) && b.plan.version > p.version {
			p = b.plan
		}
	}
	for _, u := range w.upstreams() {
		if h := w.hosts[u]; h.running() && !w.partitioned(n, h.node()) && h.plan.version > p.version {
			p = h.plan
		}
	}
	return p
}

// listedAbsent returns the upstreams that are missing from the platform's list as
// node n reads it. The list lags behind faults.
func (w *world) listedAbsent(n node) []bundle.UpstreamID {
	const lag = 5 * time.Second
	var absent []bundle.UpstreamID
	for _, u := range w.upstreams() {
		h := w.hosts[u]
		unreachable := w.partitioned(n, h.node()) && w.now.Sub(w.partitionedAt) > lag
		if unreachable || h.dead && w.now.Sub(h.deadAt) > lag || h.paused && w.now.Sub(h.pausedAt) > lag {
			absent = append(absent, u)
		}
	}
	return absent
}
