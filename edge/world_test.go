package edge_test

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/edge"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
)

const (
	exchangePort = 7000
	packetPort   = 7001
	outboundPort = 7002
	upstreamPort = 7003

	// The kinds of datagrams between processes that concern a flow, see exchange.
	kindForward = 0x02
	kindFlows   = 0x03
	kindMissing = 0x05

	callerNet = 100 // first byte of the addresses of callers

	serviceA = "a"
	serviceB = "b"

	probeInterval = 500 * time.Millisecond
	maxMisses     = 2 // failed probes until a balancer is out of rotation
)

// routeAddresses are the addresses of the routes: to service a, to b, and to both.
var routeAddresses = []registry.Endpoint{
	{Host: registry.Host{198, 18, 0, 1}, Port: 443},
	{Host: registry.Host{198, 18, 0, 2}, Port: 443},
	{Host: registry.Host{198, 18, 0, 3}, Port: 443},
}

// deployment is the size of a deployment, by data centre.
type deployment struct {
	balancers, upstreamsA, upstreamsB []int
	callers                           int // in each data centre
	heartbeat                         time.Duration
	// flowTime is the longest time for which callers use a flow.
	flowTime time.Duration
	// ports is the number of ports that a caller uses in turn; 0 stands for a new one for each flow.
	ports uint16
	// maxMachines bounds the machines, with those that troubles add, at 255; 0 selects defaultMaxMachines.
	maxMachines int
	// moving adds routes that move, which callers then use alone.
	moving bool
}

// machine is the host of a balancer, or of a sidecar and its upstream.
type machine struct {
	name       string
	host       registry.Host
	dataCentre string
	// The fields below are guarded by world.mu.
	service  string        // empty on the machine of a balancer
	upstream *upstream     // nil while none runs
	run      *run          // nil while no process runs
	misses   int           // failed probes of the routers
	lag      time.Duration // of datagrams to the process and the upstream, and of ticks
	busy     bool          // a trouble concerns it
	gone     bool          // it was taken out of the deployment
	// step is how far the clock of the machine is ahead of the others.
	step time.Duration
}

// run is a running process.
type run struct {
	state *processState
	// number differs from run to run of all processes.
	number  uint64
	started time.Time
	ready   func() bool
	stop    context.CancelFunc
	done    chan struct{}
}

// world is a deployment with its environment.
type world struct {
	t     *testing.T
	seed  uint64
	rand  *rand.Rand // used by the goroutine that draws troubles
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
	net   *network
	store *store
	check *checker
	seeds []registry.Host
	// flowTime is that of the deployment.
	flowTime time.Duration
	// ports is that of the deployment.
	ports uint16
	// maxMachines is that of the deployment.
	maxMachines int
	byHost      map[registry.Host]*caller
	// moving has the routes that move; nil unless the deployment has any.
	moving *movingRoutes
	// heard, if not nil, is called with each datagram between processes.
	heard atomic.Pointer[func(from, to registry.Host, d []byte)]

	routesMu sync.Mutex
	version  uint64 // of the routes; guarded by routesMu

	mu        sync.Mutex
	machines  []*machine
	callers   []*caller
	troubles  sync.WaitGroup
	starts    uint64
	flowsDone map[result]int
	slowest   time.Duration // the longest time until a request was answered
}

// newWorld starts a deployment and returns when it has settled.
func newWorld(t *testing.T, seed uint64, d deployment) *world {
	w := &world{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), net: newNetwork(seed), store: newStore(seed, d.heartbeat),
		check: newChecker(), byHost: make(map[registry.Host]*caller), flowsDone: make(map[result]int),
		flowTime: d.flowTime, ports: d.ports, maxMachines: cmp.Or(d.maxMachines, defaultMaxMachines),
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.net.receive, w.net.observe, w.net.connects = w.receive, w.observe, w.connects
	if d.moving {
		w.moving = newMovingRoutes(seed)
	}
	w.publishRoutes(3)
	w.wg.Go(func() { w.store.run(w.ctx) })
	for dc := range d.balancers {
		for range d.balancers[dc] {
			m := w.addMachine(dc, "")
			w.seeds = append(w.seeds, m.host)
		}
		for range d.upstreamsA[dc] {
			w.startUpstream(w.addMachine(dc, serviceA))
		}
		for range d.upstreamsB[dc] {
			w.startUpstream(w.addMachine(dc, serviceB))
		}
	}
	time.Sleep(10 * time.Millisecond)
	for _, m := range w.machines {
		w.startFirst(m)
	}
	w.wg.Go(w.probe)
	time.Sleep(5 * time.Second)
	for i := range d.callers * len(d.balancers) {
		w.addCaller(i%len(d.balancers), i)
	}
	return w
}

// end stops everything and waits for it.
func (w *world) end() {
	w.troubles.Wait()
	w.stop()
	w.mu.Lock()
	for _, m := range w.machines {
		if m.run != nil {
			m.run.stop()
		}
	}
	w.mu.Unlock()
	w.wg.Wait()
}

func (w *world) addMachine(dc int, service string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.machines)
	m := &machine{host: registry.Host{10, byte(dc), 1, byte(n)}, dataCentre: string(rune('A' + dc)), service: service}
	m.name = fmt.Sprintf("%s%s%d", m.dataCentre, service, n)
	if service == "" {
		m.name = fmt.Sprintf("%sbal%d", m.dataCentre, n)
	}
	w.machines = append(w.machines, m)
	w.check.note("%s is %s", m.name, m.host)
	return m
}

func (w *world) addCaller(dc, n int) {
	c := &caller{
		w: w, host: registry.Host{callerNet, 64, byte(dc), byte(n)}, rand: rand.New(rand.NewPCG(w.seed, uint64(1000+n))),
		inbox: make(chan []byte, 256), port: firstPort, dataCentre: dc,
	}
	w.mu.Lock()
	w.callers = append(w.callers, c)
	w.byHost[c.host] = c
	w.mu.Unlock()
	w.wg.Go(func() { c.run(w.ctx) })
}

// publishRoutes publishes a version of the routes. share is the weight of service a in the
// route to both.
func (w *world) publishRoutes(share uint32) {
	targets := [][]registry.Target{
		{{Service: serviceA, Weight: 1}},
		{{Service: serviceB, Weight: 1}},
		{{Service: serviceA, Weight: share}, {Service: serviceB, Weight: 1}},
	}
	var list []registry.Route
	for i, a := range routeAddresses {
		list = append(list, registry.Route{
			Name: fmt.Sprint("route", i), Address: a, Targets: targets[i], Idempotent: i > 0, Timeout: 4 * time.Second, Objective: time.Second,
		})
	}
	w.routesMu.Lock()
	defer w.routesMu.Unlock()
	w.version++
	w.store.publish(w.version, w.moving.appendTo(list, w.version))
}

// startFirst starts the process of a machine together with the whole deployment.
func (w *world) startFirst(m *machine) {
	w.startAs(m, true)
}

// start starts the process of a machine.
func (w *world) start(m *machine) {
	w.startAs(m, false)
}

func (w *world) startAs(m *machine, first bool) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.starts++
	state := &processState{lag: m.lag}
	r := &run{state: state, number: w.starts, started: time.Now(), stop: cancel, done: make(chan struct{})}
	cfg := edge.Config{
		DataCentre: m.dataCentre, Exchange: m.host.Port(exchangePort), Incarnation: w.starts, Seeds: w.seeds, MaxFlow: time.Minute,
		CallerPort: packetPort, Placing: steer.PlaceByTime, Codec: platform.Codec{}, Timer: timer.New(timer.Config{Wrap: state.delayTicks}),
		Source: client{store: w.store, host: m.host, state: state}, Log: event.New(event.Config{Core: flowLog{check: w.check, host: m.host}}),
		Network: hostNetwork{network: w.net, host: m.host, state: state},
	}
	service := m.service
	w.mu.Unlock()
	var serve func(context.Context)
	if service == "" {
		b, err := edge.OpenBalancer(edge.BalancerConfig{Config: cfg, Callers: m.host.Port(packetPort), MaxDrain: 4500 * time.Millisecond})
		must.NoError(w.t, err)
		r.ready, serve = b.Ready, b.Run
	} else {
		s, err := edge.OpenSidecar(edge.SidecarConfig{
			Config: cfg, Service: service, Outbound: m.host.Port(outboundPort), Upstream: m.host.Port(upstreamPort), MaxDrain: 200 * time.Millisecond,
			FirstStart: first, MaxOutdated: standin.ApplyTime / 2,
		})
		must.NoError(w.t, err)
		r.ready, serve = s.Ready, s.Run
	}
	w.mu.Lock()
	m.run = r
	w.mu.Unlock()
	w.wg.Go(func() {
		serve(ctx)
		close(r.done)
	})
}

// terminate ends the process of a machine as by SIGTERM, and waits for it.
func (w *world) terminate(m *machine) {
	w.check.note("SIGTERM to %s", m.name)
	w.mu.Lock()
	r := m.run
	w.mu.Unlock()
	r.stop()
	<-r.done
	w.mu.Lock()
	m.run = nil
	w.mu.Unlock()
}

// kill ends the process of a machine at once.
func (w *world) kill(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.run.state.kill()
	m.run.stop()
	m.run = nil
}

func (w *world) machineOf(h registry.Host) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h[0] == callerNet || int(h[3]) >= len(w.machines) {
		return nil
	}
	return w.machines[h[3]]
}

// receive handles a datagram that arrives at a host.
func (w *world) receive(d datagram, to netip.AddrPort) {
	h := hostOf(to)
	var p steer.Packet
	switch {
	case h[0] == callerNet:
		if (platform.Codec{}).Decode(d.b, &p) == nil && p.Flags.Has(steer.RST) && binary.BigEndian.Uint32(d.b[offChecksum:]) == 0 {
			w.check.reset(w, p.UpstreamKey(), w.machineOf(hostOf(d.from)))
		}
		w.mu.Lock()
		c := w.byHost[h]
		w.mu.Unlock()
		c.inbox <- d.b
	case to.Port() == upstreamPort:
		w.deliverUpstream(w.machineOf(h), d.b)
	case to.Port() == packetPort:
		if m := w.machineOf(h); (platform.Codec{}).Decode(d.b, &p) == nil {
			w.check.took(&p, m)
		}
	}
}

// deliverUpstream passes a packet to the upstream of a machine, later if the machine is slow.
func (w *world) deliverUpstream(m *machine, b []byte) {
	handle := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.upstream != nil {
			m.upstream.handle(b)
		}
	}
	w.mu.Lock()
	lag := m.lag
	w.mu.Unlock()
	if lag == 0 {
		handle()
		return
	}
	time.AfterFunc(lag, handle)
}

// observe records the hops of flows.
func (w *world) observe(from, to netip.AddrPort, b []byte, lost bool) {
	var p steer.Packet
	if to.Port() != exchangePort {
		if (platform.Codec{}).Decode(b, &p) != nil {
			return
		}
		k := p.CallerKey()
		if p.Source.Host[0] != callerNet {
			k = p.UpstreamKey()
		}
		w.check.record(k, hostOf(from), hostOf(to), lost, fmt.Sprintf("flags %d seq %d data %d port %d", p.Flags, p.Sequence, p.Data, to.Port()))
		return
	}
	if heard := w.heard.Load(); heard != nil {
		(*heard)(hostOf(from), hostOf(to), b)
	}
	if lost && *virtualLog {
		w.check.note("lost datagram of kind %x from %v to %v", b[0], hostOf(from), hostOf(to))
	}
	switch b[0] {
	case kindForward:
		var h steer.Header
		rest, err := h.Parse(b[1:])
		if err == nil && (platform.Codec{}).Decode(rest, &p) == nil {
			w.check.record(p.CallerKey(), hostOf(from), hostOf(to), lost, fmt.Sprintf("forward seq %d data %d visited %v remote %v unknown %v", p.Sequence, p.Data, h.Visited, h.Remote, h.UnknownFlow))
		}
	case kindFlows:
		for body := b[1:]; len(body) >= steer.KeySize; body = body[steer.KeySize:] {
			w.check.record(steer.ParseKey(body), hostOf(from), hostOf(to), lost, "held")
		}
	case kindMissing:
		if m, err := steer.ParseMissReport(b[1:]); err == nil {
			w.check.record(m.Key, hostOf(from), hostOf(to), lost, fmt.Sprintf("missing at %v", m.Hosts))
		}
	}
}

// connects decides on a connection to an upstream.
func (w *world) connects(to netip.AddrPort) connectResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.machines[hostOf(to)[3]].upstream
	switch {
	case to.Port() != upstreamPort || u == nil || u.state == upstreamEnded:
		return connectRefused
	case u.state == upstreamUnreachable:
		return connectLost
	}
	return connectAccepted
}

// count counts a flow that ended.
func (w *world) count(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flowsDone[r]++
}

// answered records how long a request waited for its answer.
func (w *world) answered(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowest = max(w.slowest, d)
}

// probe checks the readiness of balancers as routers do.
func (w *world) probe() {
	for sleep(w.ctx, probeInterval) {
		for _, m := range w.balancers() {
			w.mu.Lock()
			r := m.run
			w.mu.Unlock()
			ready := r != nil && !r.state.frozen() && r.ready()
			w.mu.Lock()
			m.misses++
			if ready {
				m.misses = 0
			}
			w.mu.Unlock()
		}
	}
}

func (w *world) balancers() []*machine {
	return w.list(func(m *machine) bool { return m.service == "" })
}

// list returns the machines that match accepts, which is called with world.mu held.
func (w *world) list(match func(m *machine) bool) []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*machine
	for _, m := range w.machines {
		if match(m) {
			list = append(list, m)
		}
	}
	return list
}

// pick returns the balancer that the routers select for a flow: by hash over those in
// rotation, over all of the data centre while fewer than half are, and over those of the next
// data centre while none is. The caller holds w.mu.
func (w *world) pick(k steer.Key, dc int) registry.Host {
	const dataCentres = 3
	for i := range dataCentres {
		var all, ready []registry.Host
		for _, m := range w.machines {
			if m.service != "" || m.gone || dataCentreOf(m.host) != (dc+i)%dataCentres {
				continue
			}
			all = append(all, m.host)
			if m.misses < maxMisses {
				ready = append(ready, m.host)
			}
		}
		if len(ready) == 0 {
			continue
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		return ready[k.Hash()%uint64(len(ready))]
	}
	return w.seeds[k.Hash()%uint64(len(w.seeds))]
}
