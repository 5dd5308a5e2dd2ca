package steer_test

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	maxFlow      = time.Minute
	near         = "near"
	far          = "far"
	service      = "fitting"
	otherService = "report"
)

var routeAddress = registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443}

// simulation holds balancers, sidecars and upstreams, and moves packets between them
// instantly. It is the test oracle: it records which upstream holds each flow.
type simulation struct {
	now       time.Duration
	directory *registry.Directory
	revision  uint64
	balancers []*steer.Balancer
	instances []*instance
	resets    []steer.Key // flows that were reset towards callers
	held      []heldPacket
	sequence  uint32
	// maxOutdated is that of the sidecars that are started next.
	maxOutdated time.Duration
	routesSince time.Duration // when the processes adopted the routes
	// adjust, if not nil, changes the fleet before it is sent to the processes of a data
	// centre.
	adjust func(dataCentre string, f *steer.Fleet)
}

// heldPacket is a packet that a sidecar holds.
type heldPacket struct {
	instance int
	header   steer.Header
	packet   steer.Packet
}

// instance is an upstream with its sidecar.
type instance struct {
	host    registry.Host
	service string
	sidecar *steer.Sidecar
	running bool // whether the upstream is running
	full    bool // whether the upstream refuses new flows
	// answered holds the sequence number of the answer to each opening; open has the
	// open flows.
	answered map[steer.Key]uint32
	open     map[steer.Key]bool
	openings int // openings that the upstream accepted
	// reached holds the times at which later packets reached the running upstream.
	reached []time.Duration
}

func newSimulation(balancers int, services ...string) *simulation {
	sim := &simulation{now: time.Hour, directory: registry.NewDirectory()}
	for i, s := range services {
		sim.instances = append(sim.instances, &instance{host: registry.Host{10, 0, 0, byte(i + 1)}, service: s, running: true})
		sim.startSidecar(i)
		sim.startUpstream(i)
	}
	sim.publishRoutes(1, service)
	for i := range balancers {
		sim.balancers = append(sim.balancers, nil)
		sim.startBalancer(i)
	}
	sim.publishFleet()
	return sim
}

func dataCentreOf(i int) string {
	if i%3 == 2 {
		return far
	}
	return near
}

// publishRoutes publishes a version of the routes, with the services as targets.
func (sim *simulation) publishRoutes(version uint64, services ...string) {
	r := registry.Route{Name: "r", Address: routeAddress}
	for _, s := range services {
		r.Targets = append(r.Targets, registry.Target{Service: s, Weight: 1})
	}
	sim.directory.Apply(sim.now, registry.Update{Routes: &registry.Routes{Version: version, List: []registry.Route{r}}})
}

// publish changes the list entry of an upstream; nil removes it.
func (sim *simulation) publish(i int, u *registry.Upstream) {
	sim.revision++
	c := registry.Change{Key: sim.instances[i].host.String(), Revision: sim.revision, Upstream: u}
	sim.directory.Apply(sim.now, registry.Update{State: registry.State{Revision: sim.revision}, From: registry.State{Revision: sim.revision - 1}, Changes: []registry.Change{c}})
}

func (sim *simulation) startUpstream(i int) {
	s := sim.instances[i]
	s.running, s.full = true, false
	s.answered, s.open = make(map[steer.Key]uint32), make(map[steer.Key]bool)
	sim.publish(i, sim.entry(i, false))
}

func (sim *simulation) entry(i int, draining bool) *registry.Upstream {
	s := sim.instances[i]
	return &registry.Upstream{
		ID:         s.host.String(),
		Service:    s.service,
		Address:    registry.Endpoint{Host: s.host, Port: 80},
		DataCentre: dataCentreOf(i),
		Slots:      2,
		Draining:   draining,
		StartedAt:  int64(sim.now),
	}
}

// startSidecar starts a sidecar whose upstream had another one before.
func (sim *simulation) startSidecar(i int) {
	sim.startSidecarAs(i, false)
}

// startFirstSidecar starts the first sidecar of an upstream.
func (sim *simulation) startFirstSidecar(i int) {
	sim.startSidecarAs(i, true)
}

func (sim *simulation) startSidecarAs(i int, first bool) {
	s := sim.instances[i]
	s.sidecar = steer.NewSidecar(steer.SidecarConfig{Self: s.host, DataCentre: dataCentreOf(i), Service: s.service, MaxFlow: maxFlow, Started: sim.now, FirstStart: first, MaxOutdated: sim.maxOutdated})
}

func (sim *simulation) startBalancer(i int) {
	sim.balancers[i] = steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(i), DataCentre: near, MaxFlow: maxFlow})
}

// restartAll restarts all sidecars, all upstreams and the first balancer with empty
// state, as after a power failure.
func (sim *simulation) restartAll() {
	for i := range sim.instances {
		sim.startSidecar(i)
		sim.startUpstream(i)
	}
	sim.startBalancer(0)
}

func balancerHost(i int) registry.Host {
	return registry.Host{10, 0, 1, byte(i + 1)}
}

// publishFleet sends the current fleet to all balancers and sidecars.
func (sim *simulation) publishFleet() {
	f := &steer.Fleet{
		Snapshot:    sim.directory.Snapshot(sim.now),
		RoutesSince: sim.routesSince,
		Sidecars:    make(map[registry.Host]steer.SidecarStatus),
		Regions:     map[string]string{near: nearRegion, far: farRegion},
		Settled:     true,
	}
	f.Snapshot = f.Snapshot.WithLocations(sim.locate)
	for _, s := range sim.instances {
		f.Sidecars[s.host] = steer.SidecarStatus{DataCentre: dataCentreOf(slices.Index(sim.instances, s)), Load: s.sidecar.Load(sim.now, 0), LastSeen: sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout}
	}
	fleets := map[string]*steer.Fleet{near: sim.adjusted(near, f), far: sim.adjusted(far, f)}
	for _, b := range sim.balancers {
		b.SetFleet(fleets[near])
		for _, s := range sim.instances {
			b.LoadUpdated(s.host)
		}
	}
	for i, s := range sim.instances {
		s.sidecar.SetFleet(fleets[dataCentreOf(i)])
	}
}

// adjusted returns the fleet as the processes of a data centre receive it.
func (sim *simulation) adjusted(dataCentre string, f *steer.Fleet) *steer.Fleet {
	if sim.adjust == nil {
		return f
	}
	c := *f
	c.Sidecars = maps.Clone(f.Sidecars)
	sim.adjust(dataCentre, &c)
	return &c
}

// locate returns the data centre of the sidecar on a host, as its heartbeats report it.
func (sim *simulation) locate(h registry.Host) string {
	for i, s := range sim.instances {
		if s.host == h {
			return dataCentreOf(i)
		}
	}
	return ""
}

// advance moves the clock by d and publishes the fleet.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	sim.publishFleet()
}

// deliverNotices delivers the notices of sidecars to balancers.
func (sim *simulation) deliverNotices() {
	for _, s := range sim.instances {
		for _, n := range s.sidecar.Notices() {
			for i, b := range sim.balancers {
				if n.All || n.Balancer == balancerHost(i) {
					b.Learn(sim.now, n.Key, s.host)
				}
			}
		}
	}
}

// dropNotices drops the notices of sidecars.
func (sim *simulation) dropNotices() {
	for _, s := range sim.instances {
		s.sidecar.Notices()
	}
}

// send sends a packet of a caller to a balancer, and returns the upstream that accepted
// it, or -1.
func (sim *simulation) send(balancer int, p steer.Packet) int {
	return sim.execute(sim.balancers[balancer].Packet(sim.now, &p, new(steer.Forward)), p)
}

// execute performs the actions for a packet until it is accepted or dropped. It returns
// the upstream that accepted it, or -1.
func (sim *simulation) execute(a steer.Action, p steer.Packet) int {
	return sim.executeFrom(-1, a, p)
}

// executeFrom is execute for an action of the sidecar of instance at; -1 stands for a
// balancer.
func (sim *simulation) executeFrom(at int, a steer.Action, p steer.Packet) int {
	const mostHops = 1000
	for range mostHops {
		switch d := a.(type) {
		case steer.Refuse:
			sim.resets = append(sim.resets, p.CallerKey())
			return -1
		case steer.Drop:
			return -1
		case *steer.Hold:
			sim.held = append(sim.held, heldPacket{instance: at, header: d.Header, packet: p})
			return -1
		case *steer.Report:
			sim.deliverReport(d)
			return -1
		case *steer.FanOut:
			return sim.executeFanOut(at, d, p)
		case *steer.Forward:
			i := slices.IndexFunc(sim.instances, func(s *instance) bool { return s.host == d.Host })
			at = i
			h := d.Header
			a = sim.instances[i].sidecar.FromBalancer(sim.now, &h, &p)
			if deliver, ok := a.(steer.Deliver); ok {
				if sim.instances[i].running && !p.Opens() {
					sim.instances[i].reached = append(sim.instances[i].reached, sim.now)
				}
				if sim.accepts(i, p) {
					return i
				}
				if !sim.instances[i].running {
					return -1
				}
				back := p
				back.Flags |= steer.Returned
				back.Tag = deliver.Tag
				a = sim.instances[i].sidecar.FromUpstream(sim.now, &back)
			}
		}
	}
	panic("packet was passed on too often")
}

// executeFanOut sends the copies of a packet, and returns the upstream that accepted
// one, or -1.
func (sim *simulation) executeFanOut(at int, d *steer.FanOut, p steer.Packet) int {
	acceptedBy := -1
	for i := range d.Forwards {
		if k := sim.executeFrom(at, &d.Forwards[i], p); k >= 0 {
			acceptedBy = k
		}
	}
	if d.Report != nil {
		sim.deliverReport(d.Report)
	}
	if d.Hold != nil {
		sim.held = append(sim.held, heldPacket{instance: at, header: d.Hold.Header, packet: p})
	}
	return acceptedBy
}

// deliverReport delivers a report to its balancer, and records a reset.
func (sim *simulation) deliverReport(r *steer.Report) {
	for i, b := range sim.balancers {
		if balancerHost(i) != r.Balancer {
			continue
		}
		if p, reset := b.FlowMissing(sim.now, &r.MissReport); reset {
			sim.resets = append(sim.resets, p.CallerKey())
		}
	}
}

// retryHeld decides again on searches and held packets.
func (sim *simulation) retryHeld() {
	for _, b := range sim.balancers {
		for _, p := range b.ExhaustedSearches(sim.now) {
			sim.resets = append(sim.resets, p.CallerKey())
		}
	}
	held := sim.held
	sim.held = nil
	for _, h := range held {
		sim.executeFrom(h.instance, sim.instances[h.instance].sidecar.RetryHeld(sim.now, &h.header, &h.packet), h.packet)
	}
}

// accepts reports whether the upstream accepts a packet, and answers an accepted
// opening.
func (sim *simulation) accepts(i int, p steer.Packet) bool {
	s := sim.instances[i]
	k := p.CallerKey()
	switch {
	case !s.running:
		return false
	case p.Opens():
		if s.full {
			return false
		}
		sim.sequence += 1000
		s.answered[k] = sim.sequence
		s.openings++
		s.sidecar.FromUpstream(sim.now, reply(k, steer.SYN|steer.ACK, sim.sequence, 0))
		return true
	case s.open[k]:
		return true
	}
	answer, ok := s.answered[k]
	if !ok || p.Acknowledged != answer+1 {
		return false
	}
	s.open[k] = true
	return true
}

// reply returns a packet from an upstream.
func reply(k steer.Key, flags steer.Flags, sequence uint32, data int) *steer.Packet {
	return &steer.Packet{Source: k.Address, Destination: k.Caller, Flags: flags, Sequence: sequence, Data: data}
}

// flowKey returns the key of the nth flow.
func flowKey(n int) steer.Key {
	return steer.Key{
		Caller:  registry.Endpoint{Host: registry.Host{100, 64, byte(n >> 8), byte(n)}, Port: uint16(1024 + n)},
		Address: routeAddress,
	}
}

func opening(k steer.Key) steer.Packet {
	return steer.Packet{Source: k.Caller, Destination: k.Address, Flags: steer.SYN, Sequence: 7}
}

// request returns a packet with data on a flow whose opening the upstream has answered.
func (sim *simulation) request(k steer.Key, at int) steer.Packet {
	return steer.Packet{
		Source:       k.Caller,
		Destination:  k.Address,
		Flags:        steer.ACK,
		Sequence:     8,
		Acknowledged: sim.instances[at].answered[k] + 1,
		Data:         100,
	}
}

// open opens a flow through a balancer, sends a request on it, and returns the upstream
// that accepted the opening, or -1.
func (sim *simulation) open(balancer int, k steer.Key) int {
	at := sim.send(balancer, opening(k))
	if at < 0 {
		return -1
	}
	sim.deliverNotices()
	sim.send(balancer, sim.request(k, at))
	return at
}

// noLoad is the load of an upstream without flows.
var noLoad membership.Load
