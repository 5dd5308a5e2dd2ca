package steer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/pace"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// deliverySlots is the number of delivered packets for which a return can be
	// handled at the same time.
	deliverySlots = 1 << 12
	// deliveryTTL is the maximum time until a delivered packet is returned.
	deliveryTTL = 2 * time.Second
	// reactionTimeout is the maximum time that an upstream takes to react to a packet.
	reactionTimeout = 150 * time.Millisecond
	// openingProbeDelay is the time without a reaction to an opening after which the
	// upstream is probed. An upstream answers openings within a millisecond.
	openingProbeDelay = 20 * time.Millisecond
	// dataProbeDelay is the same for other packets, whose answer may have to wait for a
	// request to be processed.
	dataProbeDelay = 100 * time.Millisecond
	// silentRetryDelay is the time after reactionTimeout from which another opening is
	// offered to a silent upstream.
	silentRetryDelay = time.Second
	// refusingDuration is how long an upstream is reported as refusing after it
	// returned an opening.
	refusingDuration = 500 * time.Millisecond
)

// SidecarConfig configures a Sidecar.
type SidecarConfig struct {
	Self       registry.Host
	DataCentre string
	// Service is the service of the local upstream.
	Service string
	// MaxFlow is the time without packets after which a flow is removed. It is
	// required.
	MaxFlow time.Duration
	// Placing selects how upstreams are chosen for new flows that are passed on. Empty
	// selects PlaceByLoad.
	Placing Placing
	// Cold limits the openings at the upstream while it is cold.
	Cold ColdLimit
	// Ramp limits the concurrent requests of the upstream after its start.
	Ramp bool
	// FirstStart is true when no other sidecar has served the upstream before.
	FirstStart bool
	// Started is the uptime at which the sidecar starts to receive packets.
	Started time.Duration
	// StartedAt is the Unix time in milliseconds of the start of the sidecar. 0 when it is
	// not known; then a ramp starts with the first list only if the upstream is warming up.
	StartedAt int64
	// MaxOutdated is how long a balancer may place openings by routes that are older than
	// those of the sidecar, and that these do not allow. 0 means no limit.
	MaxOutdated time.Duration
	// Latency receives the response times of the upstream. It may be nil.
	Latency Latency
}

// Latency receives the response times that a sidecar measures.
type Latency interface {
	// Opened is called with the time from the delivery of an opening until its
	// acceptance.
	Opened(d time.Duration)
	// Answered is called with the time from a request until the first data of its
	// answer.
	Answered(d time.Duration)
}

// noLatency discards all measurements.
type noLatency struct{}

func (noLatency) Opened(time.Duration)   {}
func (noLatency) Answered(time.Duration) {}

// Notice is a message to balancers that the local upstream holds a flow.
type Notice struct {
	Key Key
	// Balancer is the recipient. It received the last packet of the flow.
	Balancer registry.Host
	// All is true when the other balancers of its data centre receive the notice as
	// well.
	All bool
}

// Sidecar decides on packets for the local upstream and on those that the upstream
// sends. It is safe for concurrent use.
type Sidecar struct {
	cfg       SidecarConfig
	service   registry.ServiceHash
	fleet     atomic.Pointer[Fleet] // nil until SetFleet
	policy    *policy
	shards    [shardCount]sidecarShard
	liveness  liveness
	failures  failureDetector
	openings  openingWindow
	pacing    pacing
	adoptions adoptions // of versions of the routes by this process

	flows       atomic.Int64  // live flows
	active      atomic.Int64  // requests without an answer
	lastRefusal atomic.Int64  // nanoseconds; when the upstream last returned an opening, 0 if never
	offered     atomic.Uint64 // packets of unknown flows delivered to the upstream
	incomplete  atomic.Bool   // the upstream holds a flow that was not in the table

	mu         sync.Mutex
	deliveries [deliverySlots]delivery // the record for tag t is at t%deliverySlots
	lastTag    uint32                  // last tag in use; 0 is not a valid tag
	notices    []Notice
}

// NewSidecar returns a Sidecar without flows.
func NewSidecar(cfg SidecarConfig) *Sidecar {
	if cfg.Latency == nil {
		cfg.Latency = noLatency{}
	}
	s := &Sidecar{
		cfg:     cfg,
		service: registry.HashService(cfg.Service),
		policy:  newSidecarPolicy(cfg.Placing, cfg.DataCentre),
		pacing:  pacing{meter: pace.NewMeter()},
	}
	for i := range s.shards {
		s.shards[i].flows = make(map[Key]*localFlow)
	}
	return s
}

// Fleet returns the current fleet, or nil before SetFleet.
func (s *Sidecar) Fleet() *Fleet {
	return s.fleet.Load()
}

// SetFleet replaces the fleet that decisions are based on.
func (s *Sidecar) SetFleet(f *Fleet) {
	s.policy.setFleet(f)
	s.adoptions.record(f.Snapshot.Version(), f.RoutesSince)
	s.fleet.Store(f)
	s.pacing.setFleet(f, s.service, s.cfg.Self)
	if s.liveness.downUnverified.Load() && f.Snapshot.Listed(s.cfg.Self) {
		s.liveness.downUnverified.Store(false)
		s.liveness.down.Store(false) // it may accept packets although it accepted no connection
	}
}

// Flows returns the number of flows that are open or being opened.
func (s *Sidecar) Flows() int {
	return int(s.flows.Load())
}

// Active returns the number of requests without an answer.
func (s *Sidecar) Active() int {
	return int(s.active.Load())
}

// Offered returns the number of packets of unknown flows that were delivered to the
// upstream.
func (s *Sidecar) Offered() uint64 {
	return s.offered.Load()
}

// Refusing reports whether the upstream returned an opening recently.
func (s *Sidecar) Refusing(now time.Duration) bool {
	at := s.lastRefusal.Load()
	return at != 0 && now-time.Duration(at) < refusingDuration
}

// Notices returns and clears the notices since the last call.
func (s *Sidecar) Notices() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.notices
	s.notices = nil
	return n
}

// FromBalancer decides on a packet from a caller that a balancer or another sidecar
// sent here. Deliver may also be returned for flows of other upstreams, since the
// upstream returns packets of flows that it does not hold.
func (s *Sidecar) FromBalancer(now time.Duration, h *Header, p *Packet) Action {
	if p.Flags.Has(Returned) || p.Flags.Has(SYN|ACK) {
		return Drop{Reason: ReasonInvalid}
	}
	k := p.CallerKey()
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.flows[k]
	if p.Opens() {
		return s.handleOpening(now, sh, k, l, h, p)
	}
	if s.UpstreamDown() {
		return s.handleOrphaned(now, sh, k, l, h, p)
	}
	if (l == nil || l.stage == stageOffered) && s.upstreamAbsent(now) {
		return s.passOn(now, h, p, ReasonSilent)
	}
	// Packets of a search would leave the data centre that the search has to cover.
	if l != nil && l.redirects(h) && !h.UnknownFlow && !h.Remote {
		return s.followPassedOn(now, l, h)
	}
	if l != nil && l.stage == stageReturned {
		l.lastPacket = now
		return s.passOn(now, h, p, ReasonReturned)
	}
	if (l == nil || l.stage == stagePassedOn) && h.UnknownFlow && s.complete(now) {
		return s.passOn(now, h, p, ReasonUnknownFlow)
	}
	if l == nil || l.stage == stagePassedOn || l.stage == stageUncertain {
		return s.offerUnknown(now, sh, k, l, h)
	}
	return s.handleLater(now, sh, k, l, h, p)
}

// handleOpening decides on a request for a new flow. l is nil when the flow is unknown.
func (s *Sidecar) handleOpening(now time.Duration, sh *sidecarShard, k Key, l *localFlow, h *Header, p *Packet) Action {
	if l != nil && l.live() && !s.UpstreamDown() && !(l.stage == stageOpening && s.Silent(now)) {
		if h.Service != s.service && l.openingSequence != p.Sequence {
			return s.passOn(now, h, p, ReasonOtherService) // of another flow of the port
		}
		l.lastPacket, l.acknowledged = now, 0 // it may open another flow of the port
		s.liveness.awaitReaction(now)
		return Deliver{Tag: s.recordDelivery(now, k, h)}
	}
	if l != nil && l.redirects(h) && l.repeats(h, p) {
		return s.followPassedOn(now, l, h)
	}
	if l != nil {
		s.remove(sh, k, l)
	}
	if s.superseded(now, h, p) {
		return Refuse{Reason: ReasonRoute}
	}
	if reason := s.declineReason(now, h, p); reason != 0 {
		return s.recordPassedOn(now, sh, k, p, s.passOn(now, h, p, reason))
	}
	if a := s.offload(now, h, p); a != nil {
		return s.recordPassedOn(now, sh, k, p, a)
	}
	if a := s.limitWindow(now, h, p); a != nil {
		return s.recordPassedOn(now, sh, k, p, a)
	}
	if !s.admitsCold(now, h) {
		s.lastRefusal.Store(int64(now)) // so that balancers choose others
		return s.recordPassedOn(now, sh, k, p, s.passOn(now, h, p, ReasonCold))
	}
	if s.cfg.Ramp {
		s.pacing.opened(now)
	}
	sh.put(k, localFlow{stage: stageOpening, balancer: h.Balancer, openingSequence: p.Sequence, nextSequence: p.Sequence, lastPacket: now, deliveredAt: now})
	s.flows.Add(1)
	s.liveness.awaitReaction(now)
	return Deliver{Tag: s.recordDelivery(now, k, h)}
}

// declineReason returns why a new flow is not offered to the local upstream, or 0.
func (s *Sidecar) declineReason(now time.Duration, h *Header, p *Packet) Reason {
	if h.Service != s.service {
		return ReasonOtherService
	}
	if s.Silent(now) {
		return ReasonSilent
	}
	if s.Flows() >= maxShardFlows {
		return ReasonFull
	}
	if !s.failures.allow(now) {
		return ReasonFailing
	}
	f := s.fleet.Load()
	if f == nil {
		return 0
	}
	if f.Snapshot.Evacuated(s.cfg.DataCentre) {
		return ReasonEvacuated
	}
	if m, listed := f.Snapshot.Member(s.service, s.cfg.Self); listed && m.Status == registry.Leaving {
		return ReasonLeaving
	}
	if limit := f.Snapshot.Service(s.cfg.Service).MaxFlows; limit > 0 && s.Flows() >= limit {
		return ReasonFull
	}
	if !f.decides(h) {
		return 0
	}
	route := f.Snapshot.Route(p.Destination)
	if !f.permits(route, s.cfg.DataCentre) {
		return ReasonHome
	}
	// A sidecar of a build before Header.Pinned passes openings on by routes of its own.
	if len(h.Visited) > 0 && (route == nil || !route.Allows(s.cfg.Service)) {
		return ReasonRoute
	}
	return 0
}

// upstreamAbsent reports whether there is no local upstream: it is not in the upstream
// list and does not react to delivered packets.
func (s *Sidecar) upstreamAbsent(now time.Duration) bool {
	f := s.fleet.Load()
	return f != nil && !f.Snapshot.Listed(s.cfg.Self) && s.Silent(now)
}

// offerUnknown delivers a packet of a flow that the upstream is not known to hold. The
// upstream returns it when it does not. l is the entry of the flow, or nil.
func (s *Sidecar) offerUnknown(now time.Duration, sh *sidecarShard, k Key, l *localFlow, h *Header) Action {
	if f := s.fleet.Load(); f != nil && !f.Snapshot.Listed(s.cfg.Self) {
		s.liveness.awaitReturn(now)
	}
	if l != nil && l.stage == stageUncertain {
		l.balancer = h.Balancer // the entry stays until the upstream answers or returns the packet
	} else if len(sh.flows) < maxShardFlows {
		sh.put(k, localFlow{stage: stageOffered, balancer: h.Balancer, lastPacket: now})
	}
	s.liveness.awaitPacket(now)
	s.offered.Add(1)
	return Deliver{Tag: s.recordDelivery(now, k, h)}
}

// handleLater decides on a packet of a flow that is in the table.
func (s *Sidecar) handleLater(now time.Duration, sh *sidecarShard, k Key, l *localFlow, h *Header, p *Packet) Action {
	if (l.stage == stageOpen || l.stage == stageClosed) && !l.continuedBy(p) {
		return Deliver{Tag: s.recordDelivery(now, k, h)} // to be returned and passed on
	}
	l.lastPacket, l.balancer = now, h.Balancer
	l.acknowledged = p.Acknowledged
	if l.stage == stageAnswered {
		if !confirmsAnswer(l.answerSequence, p) {
			s.markUncertain(l)
			return s.passOn(now, h, p, ReasonNotConfirmed)
		}
		s.markOpen(k, l)
	}
	if l.stage == stageOpen {
		s.recordCallerPacket(now, k, l, p)
		if h.UnknownFlow || len(h.Visited) > 0 { // the balancer sent it to another upstream
			s.queueNotice(Notice{Key: k, Balancer: h.Balancer, All: true})
		}
	}
	if l.stage == stageOpen && h.UnknownFlow {
		return Deliver{Found: true}
	}
	if l.stage == stageOpen || l.stage == stageClosed {
		return Deliver{}
	}
	return Deliver{Tag: s.recordDelivery(now, k, h)}
}

// confirmsAnswer reports whether the packet acknowledges the upstream's answer to the
// opening.
func confirmsAnswer(answerSequence uint32, p *Packet) bool {
	return p.Flags.Has(RST) || p.Acknowledged-answerSequence <= 1
}

// recordCallerPacket records requests and the end of a flow.
func (s *Sidecar) recordCallerPacket(now time.Duration, k Key, l *localFlow, p *Packet) {
	if p.Data > 0 && int32(p.Sequence+uint32(p.Data)-l.nextSequence) > 0 {
		s.liveness.awaitPacket(now)
		l.nextSequence = p.Sequence + uint32(p.Data)
		if !l.requestPending {
			l.requestPending, l.deliveredAt = true, now
			s.active.Add(1)
			s.pacing.begin(now, l, k.Address)
		} else {
			s.pacing.extend(now, l)
		}
	}
	if l.requestPending && p.Flags&(FIN|RST) != 0 && now-l.deliveredAt >= abandonThreshold {
		s.failures.recordFailure(now)
	}
	l.callerFin = l.callerFin || p.Flags.Has(FIN)
	if p.Flags.Has(RST) || l.callerFin && l.upstreamFin {
		s.markClosed(l)
	}
}

func (s *Sidecar) queueNotice(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = append(s.notices, n)
}

// Load returns the load to report to balancers. busy is the moving average of Active in
// thousandths.
func (s *Sidecar) Load(now time.Duration, busy int) membership.Load {
	status := s.Pace(now)
	return membership.Load{
		Flows:    s.Flows(),
		Active:   s.Active(),
		Busy:     busy,
		Silent:   s.Silent(now),
		Refusing: s.Refusing(now),
		Failing:  s.failures.failing(now),
		Ended:    s.Ended(),
		Work:     reportedWork(status.Estimate),
		Window:   status.Window,
	}
}
