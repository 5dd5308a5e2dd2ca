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
}

// Balancer decides where the packets of callers go. It is safe for concurrent use.
type Balancer struct {
	cfg    BalancerConfig
	fleet  atomic.Pointer[Fleet] // nil until SetFleet
	shards [shards]balancerShard

	mu      sync.Mutex
	pending map[registry.Host]int // flows placed since the sidecar last told its load
}

type balancerShard struct {
	mu    sync.Mutex
	flows map[Key]placed
}

// placed is where a flow was sent or is known to be.
type placed struct {
	host     registry.Host
	sequence uint32 // of the opening, valid while known is false
	// known is true when a sidecar told that its upstream holds the flow.
	known bool
	last  time.Duration // when it was last used
}

// NewBalancer returns the decisions of a balancer that knows nothing yet.
func NewBalancer(cfg BalancerConfig) *Balancer {
	b := &Balancer{cfg: cfg, pending: make(map[registry.Host]int)}
	for i := range b.shards {
		b.shards[i].flows = make(map[Key]placed)
	}
	return b
}

// SetFleet replaces what the balancer acts on.
func (b *Balancer) SetFleet(f *Fleet) {
	b.fleet.Store(f)
}

// LoadHeard notes that the sidecar on a host told its load.
func (b *Balancer) LoadHeard(h registry.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, h)
}

// Learn notes that the upstream on a host holds the flow.
func (b *Balancer) Learn(now time.Duration, k Key, h registry.Host) {
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[k] = placed{host: h, known: true, last: now}
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

// Packet decides on a packet of a caller.
func (b *Balancer) Packet(now time.Duration, p *Packet) Action {
	f := b.fleet.Load()
	if f == nil || f.Snapshot.Version() == 0 {
		return Drop{Reason: ReasonStarting}
	}
	if p.Flags.Has(Returned) || p.Flags.Has(SYN|ACK) {
		return Drop{Reason: ReasonInvalid}
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil {
		return noRoute(p)
	}
	k := p.CallerKey()
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Opens() {
		return b.open(now, f, route, s, k, p)
	}
	return b.follow(now, f, route, s, k)
}

// noRoute refuses openings. Later packets may belong to a flow under a route
// that this process has not heard of yet, so that they are dropped.
func noRoute(p *Packet) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoRoute}
	}
	return Drop{Reason: ReasonNoRoute}
}

// open chooses an upstream for a new flow, or the same one again for a repeated opening.
func (b *Balancer) open(now time.Duration, f *Fleet, route *registry.Route, s *balancerShard, k Key, p *Packet) Action {
	hash := k.Hash()
	e, repeated := s.flows[k]
	repeated = repeated && (e.known || e.sequence == p.Sequence)
	if repeated && b.sticks(now, f, e) {
		e.last = now
		s.flows[k] = e
		return b.forward(f, route.Service(hash), e.host, false)
	}
	skip := func(h registry.Host) bool { return repeated && h == e.host }
	service, m := b.place(now, f, route, hash, skip)
	if m == nil {
		return Refuse{Reason: ReasonNoUpstream}
	}
	s.flows[k] = placed{host: m.Address.Host, sequence: p.Sequence, last: now}
	b.count(m.Address.Host)
	return b.forward(f, service, m.Address.Host, false)
}

// sticks reports whether a repeated opening goes to the same upstream again:
// its sidecar was heard after the last one was sent.
func (b *Balancer) sticks(now time.Duration, f *Fleet, e placed) bool {
	if e.known || now-e.last < reopenAfter {
		return true
	}
	return f.Sidecars[e.host].Heard > e.last && f.alive(now, e.host)
}

// place returns the upstream for a new flow: of the service that the flow's
// hash selects, or of another one that the route allows when that has none.
func (b *Balancer) place(now time.Duration, f *Fleet, route *registry.Route, hash uint64, skip func(registry.Host) bool) (string, *registry.Member) {
	service := route.Service(hash)
	if m := b.chooseFrom(now, f, service, hash, skip); m != nil {
		return service, m
	}
	for i := range route.Targets {
		other := route.Targets[i].Service
		if other == service {
			continue
		}
		if m := b.chooseFrom(now, f, other, hash, skip); m != nil {
			return other, m
		}
	}
	return service, nil
}

func (b *Balancer) chooseFrom(now time.Duration, f *Fleet, service string, hash uint64, skip func(registry.Host) bool) *registry.Member {
	pool := f.Snapshot.Pool(registry.HashService(service))
	if pool == nil {
		return nil
	}
	c := b.chooser(now, f, hash)
	if m := c.choose(pool, skip); m != nil {
		return m
	}
	if m := c.unheard(pool, skip); m != nil {
		return m
	}
	return c.first(pool, skip) // all are silent, so that this process may be the one that is cut off
}

func (b *Balancer) chooser(now time.Duration, f *Fleet, hash uint64) chooser {
	return chooser{fleet: f, now: now, hash: hash, dataCentre: b.cfg.DataCentre, pending: b.placedOn}
}

// follow sends a later packet to the upstream that holds its flow, or begins a search for it.
func (b *Balancer) follow(now time.Duration, f *Fleet, route *registry.Route, s *balancerShard, k Key) Action {
	hash := k.Hash()
	service := route.Service(hash)
	if e, ok := s.flows[k]; ok {
		e.last = now
		s.flows[k] = e
		return b.forward(f, service, e.host, false)
	}
	if m := b.search(now, f, route, hash); m != nil {
		return b.forward(f, m.Service, m.Address.Host, true)
	}
	if host, found := f.unlisted(nobody); found {
		return b.forward(f, service, host, true)
	}
	return Drop{Reason: ReasonNoUpstream}
}

// search returns the first upstream to ask for an unknown flow.
func (b *Balancer) search(now time.Duration, f *Fleet, route *registry.Route, hash uint64) *registry.Member {
	c := b.chooser(now, f, hash)
	if pool := f.Snapshot.Pool(registry.HashService(route.Service(hash))); pool != nil {
		if m := c.walk(pool, nobody); m != nil {
			return m
		}
	}
	return c.walkAll(f.Snapshot.Pools(), nobody)
}

// nobody leaves no host out.
func nobody(registry.Host) bool { return false }

func (b *Balancer) forward(f *Fleet, service string, h registry.Host, unknown bool) Action {
	return Forward{Host: h, Header: Header{
		Balancer: b.cfg.Self,
		Service:  registry.HashService(service),
		Version:  f.Snapshot.Version(),
		Revision: f.Snapshot.Revision(),
		Unknown:  unknown,
	}}
}

func (b *Balancer) count(h registry.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[h]++
}

func (b *Balancer) placedOn(h registry.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[h]
}

func (b *Balancer) shard(k Key) *balancerShard {
	return &b.shards[(k.Caller.Port^uint16(k.Caller.Host[3]))%shards]
}
