package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// shards of the flow table; a power of two.
	shards = 16
	// maxRemembered is how many flows a shard remembers, so that a flood of openings
	// cannot fill the memory. Flows beyond it are found by a search.
	maxRemembered = 1 << 14
	// reopenAfter is how soon a repeated opening may go to another upstream: less
	// than the time after which callers repeat it.
	reopenAfter = 100 * time.Millisecond
)

// BalancerConfig configures a balancer's decisions.
type BalancerConfig struct {
	Self       registry.Host
	DataCentre string
	// MaxFlow is how long a flow is remembered. It is required.
	MaxFlow time.Duration
	// Placing is how upstreams of new flows are chosen. Empty selects PlaceByLoad.
	Placing Placing
}

// Balancer decides where the packets of callers go. It is safe for concurrent use.
type Balancer struct {
	cfg    BalancerConfig
	fleet  atomic.Pointer[Fleet] // nil until SetFleet
	shards [shards]balancerShard

	expected *expectations
	searches searches

	mu      sync.Mutex
	pending map[registry.Host]int // flows placed since the sidecar last told its load
	given   map[registry.Host]int // flows placed since the start; nil unless Placing is PlaceByTwoChoices
}

type balancerShard struct {
	mu    sync.Mutex
	flows map[Key]placed // at most maxRemembered
}

// put remembers where a flow is, if there is room. The shard is locked.
func (s *balancerShard) put(k Key, e placed) {
	if _, known := s.flows[k]; known || len(s.flows) < maxRemembered {
		s.flows[k] = e
	}
}

// placed is where a flow was sent or is known to be.
type placed struct {
	host     registry.Host
	sequence uint32 // of the opening, valid while known is false
	// known is true when a sidecar told that its upstream holds the flow.
	known bool
	// learned is when the opening was first sent there, or the sidecar last told.
	learned time.Duration
	last    time.Duration // when it was last used
	// acknowledge is the caller's last acknowledgement that passed here; valid with passed.
	acknowledge uint32
	passed      bool // a packet passed here after the opening, and the caller's last one did not end the flow
	// asking is true while the caller's last packets had data, and asked is since when.
	asking bool
	asked  time.Duration
}

// note takes in a packet of the flow that the caller sent.
func (e *placed) note(now time.Duration, p *Packet) {
	e.last, e.acknowledge = now, p.Acknowledged
	e.passed = p.Flags&(FIN|RST) == 0
	if p.Data > 0 && !e.asking {
		e.asked = now
	}
	e.asking = p.Data > 0
}

// bound reports whether a request that its caller must not repeat may be under
// way: a reset would end it for certain, while its upstream may yet answer.
func (e *placed) bound(now time.Duration, r *registry.Route) bool {
	return e.asking && r != nil && !r.Idempotent && now-e.asked < r.Timeout
}

// NewBalancer returns the decisions of a balancer that knows nothing yet.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{cfg: cfg, expected: newExpectations(), pending: make(map[registry.Host]int)}
	b.searches.byFlow = make(map[Key]search)
	if cfg.Placing == PlaceByTwoChoices {
		b.given = make(map[registry.Host]int)
	}
	for i := range b.shards {
		b.shards[i].flows = make(map[Key]placed)
	}
	return b
}

// Fleet returns what the balancer acts on, or nil before SetFleet.
func (b *Balancer) Fleet() *Fleet {
	return b.fleet.Load()
}

// SetFleet replaces what the balancer acts on.
func (b *Balancer) SetFleet(f *Fleet) {
	b.fleet.Store(f)
}

// LoadUpdated notes that the sidecar on a host told its load.
func (b *Balancer) LoadUpdated(h registry.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, h)
}

// Learn notes that the upstream on a host holds the flow.
func (b *Balancer) Learn(now time.Duration, k Key, h registry.Host) {
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := placed{host: h, known: true, learned: now, last: now}
	if old := s.flows[k]; old.host == h {
		e.acknowledge, e.passed = old.acknowledge, old.passed
		e.asking, e.asked = old.asking, old.asked
	}
	s.put(k, e)
}

// EvictOrphans forgets the flows of upstreams whose sidecars are lost, and returns
// the last packets of callers on those that passed here, to be reset.
func (b *Balancer) EvictOrphans(now time.Duration) []Packet {
	f := b.fleet.Load()
	if f == nil || !f.anyAbsent() {
		return nil
	}
	var list []Packet
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for k, e := range s.flows {
			if !f.lost(now, e.host) || e.bound(now, f.Snapshot.Route(k.Address)) {
				continue
			}
			delete(s.flows, k)
			if e.passed {
				list = append(list, Packet{Source: k.Caller, Destination: k.Address, Flags: ACK, Acknowledged: e.acknowledge})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// Flows returns how many flows are remembered.
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

// Expire forgets flows that cannot be open any more.
func (b *Balancer) Expire(now time.Duration) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for k, e := range s.flows {
			if now-e.last >= b.cfg.MaxFlow {
				delete(s.flows, k)
			}
		}
		s.mu.Unlock()
	}
}

// Packet decides on a packet of a caller. It returns out when the packet is to
// be forwarded, so that nothing is allocated for it.
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
	c := call{b: b, now: now, fleet: f, route: route, key: p.CallerKey(), packet: p, out: out}
	c.hash = c.key.Hash()
	c.shard = b.shard(c.key)
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if p.Opens() {
		return c.open()
	}
	return c.follow()
}

// noRoute refuses openings. Later packets may belong to a flow under a route
// that this process has not heard of yet, so that they are dropped.
func noRoute(p *Packet) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoRoute}
	}
	return Drop{Reason: ReasonNoRoute}
}

// call is the decision on one packet of a caller. The shard is locked.
type call struct {
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

// open chooses an upstream for a new flow, or the same one again for a repeated opening.
func (c *call) open() Action {
	e, repeated := c.shard.flows[c.key]
	repeated = repeated && (e.known || e.sequence == c.packet.Sequence)
	if repeated && c.sticks(e) {
		e.last = c.now
		c.shard.flows[c.key] = e
		return c.forward(c.route.Service(c.hash), e.host, false)
	}
	skip := func(h registry.Host) bool { return repeated && h == e.host }
	service, m := c.place(skip)
	if m == nil && c.fleet.Recovering && len(c.fleet.Unlisted) > 0 {
		return &Hold{Reason: ReasonNoUpstream} // the entry of one that lives may be back in a moment
	}
	if m == nil {
		return Refuse{Reason: ReasonNoUpstream}
	}
	c.b.searches.forget(c.key)
	c.shard.put(c.key, placed{host: m.Address.Host, sequence: c.packet.Sequence, learned: c.now, last: c.now})
	c.b.count(m.Address.Host)
	return c.forward(service, m.Address.Host, false)
}

// sticks reports whether a repeated opening goes to the same upstream again:
// its sidecar was heard after the last one was sent.
func (c *call) sticks(e placed) bool {
	if e.known || c.now-e.last < reopenAfter {
		return true
	}
	return c.fleet.Sidecars[e.host].LastHeartbeat > e.last && c.fleet.alive(c.now, e.host)
}

// place returns the upstream for a new flow: of the service that the flow's
// hash selects, or of another one that the route allows when that has none or is crowded.
func (c *call) place(skip func(registry.Host) bool) (string, *registry.Member) {
	service := c.route.Service(c.hash)
	if m := c.placeAt(service, skip); m != nil {
		ch := c.chooser()
		if free := ch.overflow(c.route, m, skip); free != nil {
			return free.Service, free
		}
		return service, m
	}
	for i := range c.route.Targets {
		other := c.route.Targets[i].Service
		if other == service {
			continue
		}
		if m := c.placeAt(other, skip); m != nil {
			return other, m
		}
	}
	return service, nil
}

// placeAt returns the upstream of one service for a new flow, or nil.
func (c *call) placeAt(service string, skip func(registry.Host) bool) *registry.Member {
	pool := c.fleet.Snapshot.Pool(registry.HashService(service))
	if pool == nil {
		return nil
	}
	ch := c.chooser()
	if m := ch.open(pool, skip); m != nil {
		return m
	}
	return ch.first(pool, skip) // all are silent, so that this process may be the one that is cut off
}

func (c *call) chooser() chooser {
	return chooser{
		fleet:      c.fleet,
		now:        c.now,
		hash:       c.hash,
		dataCentre: c.b.cfg.DataCentre,
		expected:   c.expected,
		pending:    c.b.placedOn,
		placing:    c.b.cfg.Placing,
		given:      c.b.givenTo,
	}
}

// expected returns the load that is expected of an upstream.
func (c *call) expected(h registry.Host, told int, heard time.Duration) float64 {
	return c.b.expected.of(c.now, h, told, heard, c.fleet.LiveBalancers)
}

// follow sends a later packet to the upstream that holds its flow, or begins a search for it.
func (c *call) follow() Action {
	service := c.route.Service(c.hash)
	if e, ok := c.shard.flows[c.key]; ok {
		if c.fleet.lost(c.now, e.host) && !e.bound(c.now, c.route) {
			delete(c.shard.flows, c.key)
			return Refuse{Reason: ReasonLost}
		}
		e.note(c.now, c.packet)
		c.shard.flows[c.key] = e
		return c.forward(service, e.host, false)
	}
	if c.b.hopeless(c.now, c.fleet, c.key) {
		return Drop{Reason: ReasonUnknownFlow}
	}
	if m := c.search(service); m != nil {
		return c.forward(m.Service, m.Address.Host, true)
	}
	if host, found := c.fleet.unlisted("", nobody); found {
		return c.forward(service, host, true)
	}
	return Drop{Reason: ReasonNoUpstream}
}

// search returns the first upstream to ask for an unknown flow: one of the
// service that new flows with its hash go to, or else of any.
func (c *call) search(service string) *registry.Member {
	ch := c.chooser()
	if pool := c.fleet.Snapshot.Pool(registry.HashService(service)); pool != nil {
		if m := ch.walk(pool, nobody); m != nil {
			return m
		}
	}
	return ch.walkAll(c.fleet.Snapshot.Pools(), nobody)
}

// nobody leaves no host out.
func nobody(registry.Host) bool { return false }

// forward returns the action for a packet to the sidecar on a host.
func (c *call) forward(service string, h registry.Host, unknown bool) Action {
	c.out.Host = h
	c.out.Header = c.header(service, unknown)
	return c.out
}

// header returns the header for a packet that is forwarded.
func (c *call) header(service string, unknown bool) Header {
	return Header{
		Balancer:    c.b.cfg.Self,
		Service:     registry.HashService(service),
		Version:     c.fleet.Snapshot.Version(),
		State:       c.fleet.Snapshot.State(),
		UnknownFlow: unknown,
	}
}

func (b *Balancer) count(h registry.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expected.place(h)
	b.pending[h]++
	if b.given != nil {
		b.given[h]++
	}
}

func (b *Balancer) placedOn(h registry.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[h]
}

func (b *Balancer) givenTo(h registry.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.given[h]
}

func (b *Balancer) shard(k Key) *balancerShard {
	return &b.shards[(k.Caller.Port^uint16(k.Caller.Host[3]))%shards]
}
