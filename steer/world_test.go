package steer_test

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	maxFlow = time.Minute
	near    = "near"
	far     = "far"
	service = "fitting"
	other   = "report"
)

var route = registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443}

// world holds balancers, sidecars and upstreams, and moves packets between
// them in one step. It is the oracle: it knows which upstream holds a flow.
type world struct {
	now       time.Duration
	directory *registry.Directory
	revision  uint64
	balancers []*steer.Balancer
	sites     []*site
	resets    []steer.Key // flows that callers got a reset for
	held      []heldPacket
	sequence  uint32
}

// heldPacket is a packet that a sidecar holds.
type heldPacket struct {
	site   int
	header steer.Header
	packet steer.Packet
}

// site is an upstream with its sidecar.
type site struct {
	host    registry.Host
	service string
	sidecar *steer.Sidecar
	up      bool // whether the upstream runs
	full    bool // whether the upstream takes no new flow
	// answered holds the sequence number of the answer to each opening; held has the open flows.
	answered map[steer.Key]uint32
	held     map[steer.Key]bool
	taken    int // openings that the upstream took
}

func newWorld(balancers int, services ...string) *world {
	w := &world{now: time.Hour, directory: registry.NewDirectory()}
	for i, s := range services {
		w.sites = append(w.sites, &site{host: registry.Host{10, 0, 0, byte(i + 1)}, service: s, up: true})
		w.startSidecar(i)
		w.startUpstream(i)
	}
	w.routes(1, service)
	for i := range balancers {
		w.balancers = append(w.balancers, nil)
		w.startBalancer(i)
	}
	w.refresh()
	return w
}

func dataCentreOf(i int) string {
	if i%3 == 2 {
		return far
	}
	return near
}

// routes publishes a version of the one route.
func (w *world) routes(version uint64, services ...string) {
	r := registry.Route{Name: "r", Address: route}
	for _, s := range services {
		r.Targets = append(r.Targets, registry.Target{Service: s, Weight: 1})
	}
	w.directory.Apply(w.now, registry.Update{Routes: &registry.Routes{Version: version, List: []registry.Route{r}}})
}

// publish changes the entry of an upstream; nil removes it.
func (w *world) publish(i int, u *registry.Upstream) {
	w.revision++
	c := registry.Change{Key: w.sites[i].host.String(), Revision: w.revision, Upstream: u}
	w.directory.Apply(w.now, registry.Update{State: registry.State{Revision: w.revision}, From: registry.State{Revision: w.revision - 1}, Changes: []registry.Change{c}})
}

func (w *world) startUpstream(i int) {
	s := w.sites[i]
	s.up, s.full = true, false
	s.answered, s.held = make(map[steer.Key]uint32), make(map[steer.Key]bool)
	w.publish(i, w.entry(i, false))
}

func (w *world) entry(i int, draining bool) *registry.Upstream {
	s := w.sites[i]
	return &registry.Upstream{
		ID:         s.host.String(),
		Service:    s.service,
		Address:    registry.Endpoint{Host: s.host, Port: 80},
		DataCentre: dataCentreOf(i),
		Slots:      2,
		Draining:   draining,
		Born:       int64(w.now),
	}
}

func (w *world) startSidecar(i int) {
	s := w.sites[i]
	s.sidecar = steer.NewSidecar(steer.SidecarConfig{Self: s.host, DataCentre: dataCentreOf(i), Service: s.service, MaxFlow: maxFlow})
}

func (w *world) startBalancer(i int) {
	w.balancers[i] = steer.NewBalancer(steer.BalancerConfig{Self: balancerHost(i), DataCentre: near, MaxFlow: maxFlow})
}

// restartAll starts all sidecars, upstreams and the first balancer anew, as after a loss of power.
func (w *world) restartAll() {
	for i := range w.sites {
		w.startSidecar(i)
		w.startUpstream(i)
	}
	w.startBalancer(0)
}

func balancerHost(i int) registry.Host {
	return registry.Host{10, 0, 1, byte(i + 1)}
}

// refresh gives everyone the present view.
func (w *world) refresh() {
	f := &steer.Fleet{
		Snapshot: w.directory.Snapshot(w.now),
		Sidecars: make(map[registry.Host]steer.SidecarStatus),
		Settled:  true,
	}
	for _, s := range w.sites {
		f.Sidecars[s.host] = steer.SidecarStatus{DataCentre: dataCentreOf(slices.Index(w.sites, s)), Load: s.sidecar.Load(w.now, 0), LastHeartbeat: w.now, HeartbeatTimeout: membership.SuspectAfter}
	}
	for _, b := range w.balancers {
		b.SetFleet(f)
		for _, s := range w.sites {
			b.LoadUpdated(s.host)
		}
	}
	for _, s := range w.sites {
		s.sidecar.SetFleet(f)
	}
}

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	w.now += d
	w.refresh()
}

// tell delivers what sidecars have to say to balancers.
func (w *world) tell() {
	for _, s := range w.sites {
		for _, n := range s.sidecar.Notices() {
			for i, b := range w.balancers {
				if n.All || n.Balancer == balancerHost(i) {
					b.Learn(w.now, n.Key, s.host)
				}
			}
		}
	}
}

// forget loses what sidecars have to say.
func (w *world) forget() {
	for _, s := range w.sites {
		s.sidecar.Notices()
	}
}

// send moves a packet of a caller through a balancer, and returns the upstream that kept it, or -1.
func (w *world) send(balancer int, p steer.Packet) int {
	return w.follow(w.balancers[balancer].Packet(w.now, &p, new(steer.Forward)), p)
}

// follow does what was decided for a packet until it is kept or lost.
func (w *world) follow(a steer.Action, p steer.Packet) int {
	return w.followFrom(-1, a, p)
}

// followFrom is follow for what the sidecar of a site decided; -1 stands for a balancer.
func (w *world) followFrom(at int, a steer.Action, p steer.Packet) int {
	const mostHops = 1000
	for range mostHops {
		switch d := a.(type) {
		case steer.Refuse:
			w.resets = append(w.resets, p.CallerKey())
			return -1
		case steer.Drop:
			return -1
		case *steer.Hold:
			w.held = append(w.held, heldPacket{site: at, header: d.Header, packet: p})
			return -1
		case *steer.Report:
			w.report(d)
			return -1
		case *steer.FanOut:
			return w.branch(at, d, p)
		case *steer.Forward:
			i := slices.IndexFunc(w.sites, func(s *site) bool { return s.host == d.Host })
			at = i
			h := d.Header
			a = w.sites[i].sidecar.FromBalancer(w.now, &h, &p)
			if deliver, ok := a.(steer.Deliver); ok {
				if w.keeps(i, p) {
					return i
				}
				if !w.sites[i].up {
					return -1
				}
				back := p
				back.Flags |= steer.Returned
				back.Tag = deliver.Tag
				a = w.sites[i].sidecar.FromUpstream(w.now, &back)
			}
		}
	}
	panic("a packet went on for ever")
}

// branch follows the copies of a packet, and returns the upstream that kept one, or -1.
func (w *world) branch(at int, d *steer.FanOut, p steer.Packet) int {
	kept := -1
	for i := range d.Forwards {
		if k := w.followFrom(at, &d.Forwards[i], p); k >= 0 {
			kept = k
		}
	}
	if d.Report != nil {
		w.report(d.Report)
	}
	if d.Hold != nil {
		w.held = append(w.held, heldPacket{site: at, header: d.Hold.Header, packet: p})
	}
	return kept
}

// report tells a balancer which upstreams do not hold a flow, and notes what it resets.
func (w *world) report(r *steer.Report) {
	for i, b := range w.balancers {
		if balancerHost(i) != r.Balancer {
			continue
		}
		if p, reset := b.FlowMissing(w.now, &r.MissReport); reset {
			w.resets = append(w.resets, p.CallerKey())
		}
	}
}

// release offers held packets again.
func (w *world) release() {
	for _, b := range w.balancers {
		for _, p := range b.ExhaustedSearches(w.now) {
			w.resets = append(w.resets, p.CallerKey())
		}
	}
	held := w.held
	w.held = nil
	for _, h := range held {
		w.followFrom(h.site, w.sites[h.site].sidecar.RetryHeld(w.now, &h.header, &h.packet), h.packet)
	}
}

// keeps reports whether the upstream takes a packet, and lets it answer an opening.
func (w *world) keeps(i int, p steer.Packet) bool {
	s := w.sites[i]
	k := p.CallerKey()
	switch {
	case !s.up:
		return false
	case p.Opens():
		if s.full {
			return false
		}
		w.sequence += 1000
		s.answered[k] = w.sequence
		s.taken++
		s.sidecar.FromUpstream(w.now, reply(k, steer.SYN|steer.ACK, w.sequence, 0))
		return true
	case s.held[k]:
		return true
	}
	answer, ok := s.answered[k]
	if !ok || p.Acknowledged != answer+1 {
		return false
	}
	s.held[k] = true
	return true
}

// reply returns a packet of an upstream.
func reply(k steer.Key, flags steer.Flags, sequence uint32, data int) *steer.Packet {
	return &steer.Packet{Source: k.Address, Destination: k.Caller, Flags: flags, Sequence: sequence, Data: data}
}

// caller returns the flow with a number.
func caller(n int) steer.Key {
	return steer.Key{
		Caller:  registry.Endpoint{Host: registry.Host{100, 64, byte(n >> 8), byte(n)}, Port: uint16(1024 + n)},
		Address: route,
	}
}

func opening(k steer.Key) steer.Packet {
	return steer.Packet{Source: k.Caller, Destination: k.Address, Flags: steer.SYN, Sequence: 7}
}

// request returns a packet with data on a flow that the upstream answered.
func (w *world) request(k steer.Key, at int) steer.Packet {
	return steer.Packet{
		Source:       k.Caller,
		Destination:  k.Address,
		Flags:        steer.ACK,
		Sequence:     8,
		Acknowledged: w.sites[at].answered[k] + 1,
		Data:         100,
	}
}

// open opens a flow through a balancer and returns the upstream that holds it, or -1.
func (w *world) open(balancer int, k steer.Key) int {
	at := w.send(balancer, opening(k))
	if at < 0 {
		return -1
	}
	w.tell()
	w.send(balancer, w.request(k, at))
	return at
}

// idle is the load of an upstream without flows.
var idle membership.Load
