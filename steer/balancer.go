package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// shardCount is the number of shards of a flow table; a power of two.
	shardCount = 16
	// maxShardFlows bounds the flows in a shard, so that a flood of openings cannot
	// exhaust the memory. Flows beyond it are found by a search.
	maxShardFlows = 1 << 14
	// reopenDelay is the minimum time before a retransmitted opening may go to another
	// upstream. It is shorter than the retransmission timeout of callers.
	reopenDelay = 100 * time.Millisecond
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	Self       registry.Host
	DataCentre string
	// MaxFlow is the time without packets after which a flow is removed. It is
	// required.
	MaxFlow time.Duration
	// Placing selects how upstreams of new flows are chosen. Empty selects PlaceByLoad.
	Placing Placing
	// Admission refuses openings of less important routes while a service is overloaded.
	// It affects only services whose routes have different priorities.
	Admission bool
}

// Balancer decides where packets from callers are forwarded. It is safe for concurrent
// use.
type Balancer struct {
	cfg    BalancerConfig
	fleet  atomic.Pointer[Fleet] // nil until SetFleet
	shards [shardCount]balancerShard

	policy    *policy
	searches  searches
	admission *admission // nil unless cfg.Admission
}

type balancerShard struct {
	mu    sync.Mutex
	flows map[Key]flowEntry // at most maxShardFlows
}

// put stores the upstream of a flow unless the shard is full. The caller holds the
// lock.
func (s *balancerShard) put(k Key, e flowEntry) {
	if _, known := s.flows[k]; known || len(s.flows) < maxShardFlows {
		s.flows[k] = e
	}
}

// flowEntry is the upstream that a flow was placed on or was found at.
type flowEntry struct {
	host     registry.Host
	sequence uint32 // of the opening; valid while confirmed is false
	// confirmed is true when a sidecar has reported that its upstream holds the flow.
	confirmed bool
	// updated is when the opening was first sent to host, or the last report of the
	// sidecar arrived.
	updated  time.Duration
	lastUsed time.Duration // when the caller last sent a packet, or the sidecar a report
	// acknowledged is the caller's last acknowledgement number; valid when resettable
	// is true.
	acknowledged uint32
	resettable   bool // a packet passed here after the opening, and the caller's last one did not end the flow
	// requestPending is true while the caller's last packets carried data; requestSince
	// is when the first of them arrived.
	requestPending bool
	requestSince   time.Duration
}

// recordPacket updates the entry for a packet that the caller sent.
func (e *flowEntry) recordPacket(now time.Duration, p *Packet) {
	e.lastUsed, e.acknowledged = now, p.Acknowledged
	e.resettable = p.Flags&(FIN|RST) == 0
	if p.Data > 0 && !e.requestPending {
		e.requestSince = now
	}
	e.requestPending = p.Data > 0
}

// requestInFlight reports whether a request that is not idempotent may be in progress.
// A reset would abort it for certain, while the upstream may still answer it.
func (e *flowEntry) requestInFlight(now time.Duration, r *registry.Route) bool {
	return e.requestPending && r != nil && !r.Idempotent && now-e.requestSince < r.Timeout
}

// NewBalancer returns a Balancer without routes, upstreams or flows.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{cfg: cfg, policy: newBalancerPolicy(cfg.Placing, cfg.DataCentre), admission: newAdmission(&cfg)}
	b.searches.byFlow = make(map[Key]search)
	for i := range b.shards {
		b.shards[i].flows = make(map[Key]flowEntry)
	}
	return b
}

// Fleet returns the current fleet, or nil before SetFleet.
func (b *Balancer) Fleet() *Fleet {
	return b.fleet.Load()
}

// SetFleet replaces the fleet that decisions are based on.
func (b *Balancer) SetFleet(f *Fleet) {
	b.policy.setFleet(f)
	b.fleet.Store(f)
}

// LoadUpdated records that the sidecar on a host reported its load.
func (b *Balancer) LoadUpdated(h registry.Host) {
	b.policy.loadUpdated(h)
}

// Placed returns the number of flows per second that the balancer places, as a moving
// average, to report to the others. It is at least 1, since 0 stands for unknown, and 0
// unless Placing is PlaceByTime.
func (b *Balancer) Placed(now time.Duration) int {
	if b.cfg.Placing != PlaceByTime {
		return 0
	}
	return max(1, int(b.policy.placedPerSecond(now)+0.5))
}

// Learn records that the upstream on a host holds the flow.
func (b *Balancer) Learn(now time.Duration, k Key, h registry.Host) {
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := flowEntry{host: h, confirmed: true, updated: now, lastUsed: now}
	if old := s.flows[k]; old.host == h {
		e.acknowledged, e.resettable = old.acknowledged, old.resettable
		e.requestPending, e.requestSince = old.requestPending, old.requestSince
	}
	s.put(k, e)
}

// EvictOrphans removes the flows of upstreams whose sidecars are lost, except those with
// a request in progress that is not idempotent. It returns the flows that have to be
// reset. One that no sidecar has reported may be open at another upstream, which accepted
// another copy of its opening: its next packet begins a search.
func (b *Balancer) EvictOrphans(now time.Duration) []Reset {
	f := b.fleet.Load()
	if f == nil || !f.anyLost() {
		return nil
	}
	var list []Reset
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for k, e := range s.flows {
			if !f.lostFlow(now, &e) || e.requestInFlight(now, f.Snapshot.Route(k.Address)) {
				continue
			}
			delete(s.flows, k)
			if e.resettable && e.confirmed {
				p := Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Acknowledged: e.acknowledged}
				list = append(list, Reset{Packet: p, Reason: ReasonLost, Evidence: f.lossOf(e.host)})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// Flows returns the number of flows in the table.
func (b *Balancer) Flows() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		n += len(s.flows)
		s.mu.Unlock()
	}
	return n
}

// Expire removes flows that had no packets for MaxFlow and can no longer be open.
func (b *Balancer) Expire(now time.Duration) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for k, e := range s.flows {
			if now-e.lastUsed >= b.cfg.MaxFlow {
				delete(s.flows, k)
			}
		}
		s.mu.Unlock()
	}
}

// Packet decides on a packet from a caller. When the packet is to be forwarded, it
// fills in and returns out, so that forwarding does not allocate.
func (b *Balancer) Packet(now time.Duration, p *Packet, out *Forward) Action {
	f := b.fleet.Load()
	if f == nil || f.Snapshot.Version() == 0 {
		return &Hold{Reason: ReasonStarting}
	}
	if p.Flags.Has(Returned) || p.Flags.Has(SYN|ACK) {
		return Drop{Reason: ReasonInvalid}
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil {
		return noRoute(p)
	}
	d := decision{b: b, now: now, fleet: f, route: route, key: p.CallerKey(), packet: p, out: out}
	d.hash = d.key.Hash()
	d.shard = b.shard(d.key)
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	if p.Opens() {
		return d.open()
	}
	return d.follow()
}

// noRoute refuses openings and drops later packets, which may belong to a flow of a
// route that this process has not received yet.
func noRoute(p *Packet) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoRoute}
	}
	return Drop{Reason: ReasonNoRoute}
}

// decision holds the state for deciding on one packet from a caller. The lock of the
// shard is held.
type decision struct {
	b      *Balancer
	now    time.Duration
	fleet  *Fleet
	route  *registry.Route // never nil
	key    Key
	hash   uint64 // of key
	shard  *balancerShard
	packet *Packet
	out    *Forward // filled in when the packet is forwarded
}

// open chooses an upstream for a new flow, or returns the previous one for a
// retransmitted opening.
func (d *decision) open() Action {
	e, repeated := d.shard.flows[d.key]
	repeated = repeated && (e.confirmed || e.sequence == d.packet.Sequence)
	if repeated && d.keepsUpstream(e) {
		e.lastUsed = d.now
		d.shard.flows[d.key] = e
		return d.forward(d.route.Service(d.hash), e.host, false)
	}
	exclude := func(h registry.Host) bool { return repeated && h == e.host }
	service, m := d.choose(exclude)
	if m == nil && d.fleet.Recovering && len(d.fleet.Unlisted) > 0 {
		return &Hold{Reason: ReasonNoUpstream} // the expired entry of a live upstream may be restored shortly
	}
	if m == nil && repeated && !d.fleet.lost(d.now, e.host) {
		e.lastUsed = d.now
		d.shard.flows[d.key] = e
		return d.forward(d.route.Service(d.hash), e.host, false) // the answer to the first one may be on its way
	}
	if m == nil {
		return Refuse{Reason: d.fleet.refusalReason(d.route)}
	}
	if !repeated {
		if reason := d.admissionReason(m); reason != 0 {
			return Refuse{Reason: reason}
		}
	}
	d.b.searches.remove(d.key)
	d.shard.put(d.key, flowEntry{host: m.Address.Host, sequence: d.packet.Sequence, updated: d.now, lastUsed: d.now})
	d.b.policy.recordPlaced(d.now, m.Address.Host)
	return d.forward(service, m.Address.Host, false)
}

// keepsUpstream reports whether a retransmitted opening goes to the same upstream
// again: the upstream holds the flow, the last transmission was less than reopenDelay
// ago, or the sidecar is alive and sent a heartbeat after the last transmission.
func (d *decision) keepsUpstream(e flowEntry) bool {
	if e.confirmed || d.now-e.lastUsed < reopenDelay {
		return true
	}
	return d.fleet.Sidecars[e.host].LastSeen > e.lastUsed && d.fleet.alive(d.now, e.host)
}

// choose returns the service and the upstream for a new flow. The flow's hash selects
// the service; another service of the route is used when that one has no upstream or is
// crowded. The upstream is nil when there is none.
func (d *decision) choose(exclude func(registry.Host) bool) (string, *registry.Member) {
	service := d.route.Service(d.hash)
	if m := d.chooseIn(service, exclude); m != nil {
		ch := d.chooser()
		if free := ch.overflow(d.route, m, exclude); free != nil {
			return free.Service, free
		}
		return service, m
	}
	for i := range d.route.Targets {
		other := d.route.Targets[i].Service
		if other == service {
			continue
		}
		if m := d.chooseIn(other, exclude); m != nil {
			return other, m
		}
	}
	return service, nil
}

// chooseIn returns the upstream of one service for a new flow, or nil.
func (d *decision) chooseIn(service string, exclude func(registry.Host) bool) *registry.Member {
	pool := d.fleet.Snapshot.Pool(registry.HashService(service))
	if pool == nil {
		return nil
	}
	ch := d.chooser()
	if m := ch.chooseOpening(pool, exclude); m != nil {
		return m
	}
	return ch.firstByHash(pool, exclude) // all are silent, which may mean that this process itself is isolated
}

func (d *decision) chooser() chooser {
	return d.b.policy.chooser(d.now, d.fleet, d.route, d.hash)
}

// follow forwards a later packet to the upstream that holds its flow, or starts a
// search for it.
func (d *decision) follow() Action {
	service := d.route.Service(d.hash)
	e, known := d.shard.flows[d.key]
	if !known {
		return d.followUnknown(service)
	}
	if d.fleet.lostFlow(d.now, &e) && !(e.confirmed && e.requestInFlight(d.now, d.route)) {
		delete(d.shard.flows, d.key)
		if !e.confirmed {
			return d.followUnknown(service) // another upstream may have accepted another copy of the opening
		}
		return Refuse{Reason: ReasonLost, Evidence: d.fleet.lossOf(e.host)}
	}
	if d.b.admission != nil {
		d.recordRequest(&e)
	}
	e.recordPacket(d.now, d.packet)
	d.shard.flows[d.key] = e
	return d.forward(service, e.host, false)
}

// followUnknown searches for the flow, unless a search has just found that no upstream
// holds it.
func (d *decision) followUnknown(service string) Action {
	if d.b.recentlyExhausted(d.now, d.fleet, d.route, d.key) {
		return Drop{Reason: ReasonUnknownFlow}
	}
	return d.search(service)
}

// forward returns the action that sends the packet to the sidecar on a host.
func (d *decision) forward(service string, h registry.Host, unknown bool) Action {
	d.out.Host, d.out.DataCentre = h, ""
	d.out.Header = d.header(service, unknown)
	return d.out
}

// header returns the header of a forwarded packet.
func (d *decision) header(service string, unknown bool) Header {
	return Header{
		Balancer:    d.b.cfg.Self,
		Service:     registry.HashService(service),
		Version:     d.fleet.Snapshot.Version() & maxVersion,
		Pinned:      true,
		State:       d.fleet.Snapshot.State(),
		UnknownFlow: unknown,
	}
}

func (b *Balancer) shard(k Key) *balancerShard {
	return &b.shards[(k.Caller.Port^uint16(k.Caller.Host[3]))%shardCount]
}
