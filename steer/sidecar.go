package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// trails is how many delivered packets can come back at the same time.
	trails = 1 << 12
	// trailLife is how long a delivered packet takes to come back at most.
	trailLife = 2 * time.Second
	// silentAfter is how long an upstream takes at most to react to a packet.
	silentAfter = 150 * time.Millisecond
	// openingDoubt is after how long without a reaction to an opening it is worth
	// asking whether the upstream still runs: it answers openings within a millisecond.
	openingDoubt = 20 * time.Millisecond
	// dataDoubt is openingDoubt for other packets, which may wait for a request to be worked on.
	dataDoubt = 100 * time.Millisecond
	// retrySilent is after how long one more opening is offered to a silent upstream.
	retrySilent = time.Second
	// refusedFor is how long an upstream that returned an opening counts as refusing.
	refusedFor = 500 * time.Millisecond
)

// SidecarConfig configures a sidecar's decisions.
type SidecarConfig struct {
	Self       registry.Host
	DataCentre string
	// Service is the service of the upstream beside the sidecar.
	Service string
	// MaxFlow is how long a flow without packets is remembered. It is required.
	MaxFlow time.Duration
	// Placing is how upstreams are chosen for new flows that are passed on. Empty selects PlaceByLoad.
	Placing Placing
	// Latency is told how long the upstream takes. Nil tells nobody.
	Latency Latency
}

// Latency takes what a sidecar measures of its upstream.
type Latency interface {
	// Opened is called with the time from an opening's delivery until it was accepted.
	Opened(d time.Duration)
	// Answered is called with the time from a request until the first data of its answer.
	Answered(d time.Duration)
}

// unmeasured is a Latency that tells nobody.
type unmeasured struct{}

func (unmeasured) Opened(time.Duration)   {}
func (unmeasured) Answered(time.Duration) {}

// Notice tells balancers that the own upstream holds a flow.
type Notice struct {
	Key Key
	// Balancer is the one to tell, which took the flow's last packet.
	Balancer registry.Host
	// All is true when the other balancers of its data centre are to be told as well.
	All bool
}

// Sidecar decides what happens to packets for the upstream beside it, and to
// those that the upstream sends. It is safe for concurrent use.
type Sidecar struct {
	cfg      SidecarConfig
	service  registry.ServiceHash
	fleet    atomic.Pointer[Fleet] // nil until SetFleet
	shards   [shards]sidecarShard
	upstream presence
	outcomes outcomes

	flows   atomic.Int64 // that are live
	active  atomic.Int64 // requests that wait for an answer
	refused atomic.Int64 // nanoseconds; when the upstream last returned an opening, 0 if never

	mu      sync.Mutex
	trails  [trails]trail // the trail with tag t is at t%trails
	tag     uint32        // the last one that was given; 0 is never given
	notices []Notice
}

type sidecarShard struct {
	mu sync.Mutex
	// flows has at most maxRemembered that are asked for, and as many that are live in all shards.
	flows map[Key]local
}

// NewSidecar returns the decisions of a sidecar that knows no flow yet.
func NewSidecar(cfg SidecarConfig) *Sidecar {
	if cfg.Latency == nil {
		cfg.Latency = unmeasured{}
	}
	s := &Sidecar{cfg: cfg, service: registry.HashService(cfg.Service)}
	for i := range s.shards {
		s.shards[i].flows = make(map[Key]local)
	}
	return s
}

// Fleet returns what the sidecar acts on, or nil before SetFleet.
func (s *Sidecar) Fleet() *Fleet {
	return s.fleet.Load()
}

// SetFleet replaces what the sidecar acts on.
func (s *Sidecar) SetFleet(f *Fleet) {
	s.fleet.Store(f)
	if s.upstream.untried.Load() && f.Snapshot.Listed(s.cfg.Self) {
		s.upstream.untried.Store(false)
		s.upstream.gone.Store(false) // it may take packets though it took no connection
	}
}

// Flows returns how many flows are open or opening.
func (s *Sidecar) Flows() int {
	return int(s.flows.Load())
}

// Active returns how many requests wait for an answer.
func (s *Sidecar) Active() int {
	return int(s.active.Load())
}

// Refusing reports whether the upstream lately returned an opening.
func (s *Sidecar) Refusing(now time.Duration) bool {
	at := s.refused.Load()
	return at != 0 && now-time.Duration(at) < refusedFor
}

// Notices returns what balancers are to be told since the last call.
func (s *Sidecar) Notices() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notices
	s.notices = nil
	return n
}

// OpenFlows returns the flows that the upstream holds and whose last packet a balancer
// took that counts.
func (s *Sidecar) OpenFlows(counts func(balancer registry.Host) bool) []Key {
	var keys []Key
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.stage == stageOpen && counts(l.balancer) {
				keys = append(keys, k)
			}
		}
		sh.mu.Unlock()
	}
	return keys
}

// Expire forgets flows that ended or have been silent for long, and lets a
// silent upstream be tried again.
func (s *Sidecar) Expire(now time.Duration) {
	s.upstream.retry(now)
	maxQuiet := s.cfg.MaxFlow
	if f := s.fleet.Load(); f != nil && f.Snapshot.Idle() > 0 {
		maxQuiet = min(maxQuiet, f.Snapshot.Idle())
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.expired(now, maxQuiet) {
				s.remove(sh, k, &l)
			}
		}
		sh.mu.Unlock()
	}
}

// FromBalancer decides on a packet of a caller that a balancer or another
// sidecar sent here. Deliver may be returned for flows of other upstreams, too:
// the upstream returns what it does not hold.
func (s *Sidecar) FromBalancer(now time.Duration, h *Header, p *Packet) Action {
	if p.Flags.Has(Returned) || p.Flags.Has(SYN|ACK) {
		return Drop{Reason: ReasonInvalid}
	}
	k := p.CallerKey()
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l, known := sh.flows[k]
	if p.Opens() {
		return s.opening(now, sh, k, l, known, h, p)
	}
	if s.UpstreamDown() {
		return s.orphaned(now, sh, k, l, known, h, p)
	}
	if (!known || l.stage == stageAsked) && s.absent(now) {
		return s.passOn(now, h, p, ReasonSilent)
	}
	if known && l.leads(h) {
		return s.follow(now, sh, k, l, h)
	}
	if !known || l.stage == stagePassed {
		return s.ask(now, sh, k, h)
	}
	return s.later(now, sh, k, l, h, p)
}

// opening decides on a request for a new flow.
func (s *Sidecar) opening(now time.Duration, sh *sidecarShard, k Key, l local, known bool, h *Header, p *Packet) Action {
	if known && l.live() && !s.UpstreamDown() && !(l.stage == stageOpening && s.Silent(now)) {
		l.last = now
		sh.flows[k] = l
		s.upstream.awaitReaction(now)
		return Deliver{Tag: s.remember(now, k, h)}
	}
	if known && l.leads(h) && l.next == p.Sequence {
		return s.follow(now, sh, k, l, h)
	}
	if known {
		s.remove(sh, k, &l)
	}
	if why := s.declines(now, h, p); why != 0 {
		return s.trace(now, sh, k, p, s.passOn(now, h, p, why))
	}
	if a := s.relieve(now, h, p); a != nil {
		return s.trace(now, sh, k, p, a)
	}
	sh.flows[k] = local{stage: stageOpening, balancer: h.Balancer, next: p.Sequence, last: now, asked: now}
	s.flows.Add(1)
	s.upstream.awaitReaction(now)
	return Deliver{Tag: s.remember(now, k, h)}
}

// declines returns why a new flow is not to be offered to the own upstream, or 0.
func (s *Sidecar) declines(now time.Duration, h *Header, p *Packet) Reason {
	if h.Service != s.service {
		return ReasonOtherService
	}
	if s.Silent(now) {
		return ReasonSilent
	}
	if s.Flows() >= maxRemembered {
		return ReasonFull
	}
	if !s.outcomes.admits(now) {
		return ReasonFailing
	}
	f := s.fleet.Load()
	if f == nil {
		return 0
	}
	if m, listed := f.Snapshot.Member(s.service, s.cfg.Self); listed && m.Standing == registry.Leaving {
		return ReasonLeaving
	}
	if limit := f.Snapshot.Connections(s.cfg.Service); limit > 0 && s.Flows() >= limit {
		return ReasonFull
	}
	if f.Snapshot.Version() <= h.Version {
		return 0
	}
	if route := f.Snapshot.Route(p.Destination); route == nil || !route.Allows(s.cfg.Service) {
		return ReasonRoute
	}
	return 0
}

// absent reports whether there is no upstream beside this sidecar: the list has
// none, and nothing reacts to what is delivered.
func (s *Sidecar) absent(now time.Duration) bool {
	f := s.fleet.Load()
	return f != nil && !f.Snapshot.Listed(s.cfg.Self) && s.Silent(now)
}

// ask delivers a packet of an unknown flow: the upstream returns it when it does not hold the flow.
func (s *Sidecar) ask(now time.Duration, sh *sidecarShard, k Key, h *Header) Action {
	if f := s.fleet.Load(); f != nil && !f.Snapshot.Listed(s.cfg.Self) {
		s.upstream.awaitReaction(now) // a packet of a flow that it does not hold comes back at once
	}
	if len(sh.flows) < maxRemembered {
		sh.flows[k] = local{stage: stageAsked, balancer: h.Balancer, last: now}
	}
	s.upstream.awaitPacket(now)
	return Deliver{Tag: s.remember(now, k, h)}
}

// later decides on a packet of a flow that is remembered.
func (s *Sidecar) later(now time.Duration, sh *sidecarShard, k Key, l local, h *Header, p *Packet) Action {
	l.last, l.balancer = now, h.Balancer
	l.acknowledge = p.Acknowledged
	if l.stage == stageAnswered {
		if !confirms(l.confirm, p) {
			s.remove(sh, k, &l)
			return s.passOn(now, h, p, ReasonNotConfirmed)
		}
		s.opened(k, &l)
	}
	if l.stage == stageOpen {
		s.fromCaller(now, &l, p)
		if h.UnknownFlow {
			s.notify(Notice{Key: k, Balancer: h.Balancer, All: true})
		}
	}
	sh.flows[k] = l
	if l.stage == stageOpen || l.stage == stageEnded {
		return Deliver{}
	}
	return Deliver{Tag: s.remember(now, k, h)}
}

// confirms reports whether the caller acknowledges the upstream's answer to its opening.
func confirms(confirm uint32, p *Packet) bool {
	return p.Flags.Has(RST) || p.Acknowledged-confirm <= 1
}

// fromCaller notes requests and the end of a flow.
func (s *Sidecar) fromCaller(now time.Duration, l *local, p *Packet) {
	if p.Data > 0 && int32(p.Sequence+uint32(p.Data)-l.next) > 0 {
		s.upstream.awaitPacket(now)
		l.next = p.Sequence + uint32(p.Data)
		if !l.waiting {
			l.waiting, l.asked = true, now
			s.active.Add(1)
		}
	}
	if l.waiting && p.Flags&(FIN|RST) != 0 && now-l.asked >= unansweredAfter {
		s.outcomes.failed(now)
	}
	l.callerFin = l.callerFin || p.Flags.Has(FIN)
	if p.Flags.Has(RST) || l.callerFin && l.ownFin {
		s.end(l)
	}
}

// opened notes that the upstream holds the flow.
func (s *Sidecar) opened(k Key, l *local) {
	if !l.live() {
		s.flows.Add(1)
	}
	l.stage = stageOpen
	s.notify(Notice{Key: k, Balancer: l.balancer, All: true})
}

// end notes that the flow is over.
func (s *Sidecar) end(l *local) {
	s.release(l)
	l.stage = stageEnded
}

// release takes the flow out of the counts.
func (s *Sidecar) release(l *local) {
	if l.live() {
		s.flows.Add(-1)
	}
	if l.waiting {
		l.waiting = false
		s.active.Add(-1)
	}
}

func (s *Sidecar) remove(sh *sidecarShard, k Key, l *local) {
	s.release(l)
	delete(sh.flows, k)
}

func (s *Sidecar) notify(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = append(s.notices, n)
}

func (s *Sidecar) shard(k Key) *sidecarShard {
	return &s.shards[(k.Caller.Port^uint16(k.Caller.Host[3]))%shards]
}

// Load returns what balancers are told. busy is the mean of Active in thousandths.
func (s *Sidecar) Load(now time.Duration, busy int) membership.Load {
	return membership.Load{
		Flows:    s.Flows(),
		Active:   s.Active(),
		Busy:     busy,
		Silent:   s.Silent(now),
		Refusing: s.Refusing(now),
		Failing:  s.outcomes.failing(now),
	}
}
