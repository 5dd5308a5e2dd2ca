package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// maxColdPasses is the number of cold upstreams after which an opening is refused when the
// next one is cold as well: all are likely to have as many openings as they can serve.
const maxColdPasses = 2

// offload passes a new flow on when requests are queued at the local upstream and
// another upstream of the service has a clearly shorter queue, or one of another
// service of the route has a free slot. It returns nil when the flow stays. Only the
// first sidecar that receives the opening passes it on for this reason.
func (s *Sidecar) offload(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if f == nil || !s.cfg.Placing.comparesLoad() {
		return nil
	}
	if s.cfg.Placing == PlaceByTime && !s.policy.paces.Load().service(s.service).alike {
		return s.relieve(now, f, h, p)
	}
	if len(h.Visited) > 0 {
		return nil
	}
	self, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	if !listed || s.Active()-self.Slots < crowdedQueueLength {
		return nil
	}
	c := s.openingChooser(now, f, h, p)
	excludeSelf := func(host registry.Host) bool { return host == s.cfg.Self }
	other := c.choose(f.Snapshot.Pool(s.service), excludeSelf)
	if other == nil || c.queueLength(other)+crowdedQueueLength > s.Active()-self.Slots {
		if c.route == nil {
			return nil
		}
		if other = c.overflow(c.route, &self, excludeSelf); other == nil {
			return nil
		}
	}
	next := h.WithVisited(s.cfg.Self)
	next.Service = registry.HashService(other.Service)
	return &Forward{Host: other.Address.Host, Header: next, Reason: ReasonCrowded}
}

// relieve passes a new flow on to an upstream of the service whose expected completion is
// earlier by more than one request. It returns nil when the flow stays.
func (s *Sidecar) relieve(now time.Duration, f *Fleet, h *Header, p *Packet) Action {
	self, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	if !listed || len(h.Visited) >= maxReliefPasses {
		return nil
	}
	c := s.openingChooser(now, f, h, p)
	c.local = true                    // the balancer has chosen the data centre
	c.hash = rank(c.hash, s.cfg.Self) // so that the sample differs from that of the sender
	other := c.choose(f.Snapshot.Pool(s.service), func(host registry.Host) bool { return host == s.cfg.Self || h.hasVisited(host) })
	if other == nil || other.DataCentre != s.cfg.DataCentre {
		return nil
	}
	pace := c.paces.service(s.service)
	own := reportedLoad(membership.Load{Flows: s.Flows(), Active: s.Active()}, &self)
	if c.cost(other) >= c.completion(&self, pace, float64(own-waitingWeight)) {
		return nil
	}
	return &Forward{Host: other.Address.Host, Header: h.WithVisited(s.cfg.Self), Reason: ReasonCrowded}
}

// chooser returns the chooser of upstreams for a packet.
func (s *Sidecar) chooser(now time.Duration, f *Fleet, p *Packet) chooser {
	return s.policy.chooser(now, f, f.Snapshot.Route(p.Destination), p.CallerKey().Hash())
}

// passOn sends a packet to the next upstream that may accept it. reason is why the
// local upstream did not.
func (s *Sidecar) passOn(now time.Duration, h *Header, p *Packet, reason Reason) Action {
	if len(h.Visited) >= MaxVisited {
		return s.reject(p, ReasonVisits)
	}
	f := s.fleet.Load()
	if f == nil {
		return newHold(h, ReasonStarting)
	}
	next := h.WithVisited(s.cfg.Self)
	if !p.Opens() {
		c := s.chooser(now, f, p)
		return s.search(f, &c, &next, p, reason, false)
	}
	c := s.openingChooser(now, f, h, p)
	if m := c.nextForOpening(&next); m != nil {
		if reason == ReasonCold && m.Warmup > 0 && len(next.Visited) > maxColdPasses {
			return Refuse{Reason: ReasonCold}
		}
		return &Forward{Host: m.Address.Host, Header: next, Reason: reason}
	}
	return Refuse{Reason: f.refusalReason(c.route)}
}

// search sends a later packet to the next upstream of the data centre that may hold its
// flow. When all reachable ones have returned it, it is sent to each other data centre at
// the same time, unless h.Remote is set, and to one that may be unreachable. Each data
// centre that does not hold the flow reports this to the balancer. held is true when an
// earlier call already did so and held the packet; the report is then repeated only once
// the fleet is settled.
func (s *Sidecar) search(f *Fleet, c *chooser, h *Header, p *Packet, reason Reason, held bool) Action {
	outdated := s.isOutdated(h, p, reason)
	h.UnknownFlow = true // also when the balancer sent the packet to a wrong upstream, which it then learns
	c.origin = searchPosition(c.hash, s.cfg.Self)
	next, reachable, found := c.nextHost(h.Service, s.cfg.DataCentre, h.hasVisited)
	if reachable {
		forward := Forward{Host: next, Header: *h, Reason: reason}
		if outdated {
			h.State = registry.Latest(h.State, f.Snapshot.State())
			return &FanOut{Forwards: []Forward{forward}, Report: newMissReport(h, p)}
		}
		return &forward
	}
	h.State = registry.Latest(h.State, f.Snapshot.State())
	unsettled := !f.Settled && !p.Flags.Has(RST) // a flow that is being closed needs no reset
	var report *Report
	if !p.Flags.Has(RST) && !(held && unsettled) {
		report = newMissReport(h, p)
	}
	b := &FanOut{Report: report}
	if found && !held {
		b.Forwards = append(b.Forwards, Forward{Host: next, Header: h.asRemote(), Reason: reason})
	}
	if h.Remote {
		return b.simplified()
	}
	b.Forwards = append(b.Forwards, s.fanOut(f, c, h, reason)...)
	if unsettled {
		b.Hold = newHold(h, ReasonUnknownFlow)
	}
	return b
}

// isOutdated reports whether the local upstream does not hold the flow of a packet although
// the balancer has an entry for it here. The balancer needs a report at once: it retries only
// packets without an entry, and the copy that is passed on may end at a silent upstream.
func (s *Sidecar) isOutdated(h *Header, p *Packet, reason Reason) bool {
	returned := reason == ReasonReturned || reason == ReasonNotConfirmed
	return returned && !h.UnknownFlow && len(h.Visited) == 1 && !p.Flags.Has(RST)
}

// simplified returns the action for a packet that goes to no other data centre.
func (b *FanOut) simplified() Action {
	switch {
	case len(b.Forwards) > 0:
		return b
	case b.Report != nil:
		return b.Report
	}
	return Drop{Reason: ReasonUnknownFlow}
}

// newMissReport returns the report that the visited hosts in the header do not hold the
// flow of a packet.
func newMissReport(h *Header, p *Packet) *Report {
	m := MissReport{Key: p.CallerKey(), Acknowledged: p.Acknowledged, State: h.State, Hosts: h.Visited}
	return &Report{Balancer: h.Balancer, MissReport: m}
}

// fanOut returns copies for the data centres that the packet has not been sent to yet,
// and records them in the header.
func (s *Sidecar) fanOut(f *Fleet, c *chooser, h *Header, reason Reason) []Forward {
	var list []Forward
	c.origin = 0 // as in RetrySearch, so that retries start at other upstreams
	for _, dataCentre := range f.dataCentres() {
		if dataCentre == s.cfg.DataCentre || slices.Contains(h.SentTo, dataCentre) {
			continue
		}
		host, _, found := c.nextHost(h.Service, dataCentre, h.hasVisited)
		if !found {
			continue
		}
		h.SentTo = append(slices.Clip(h.SentTo), dataCentre)
		remote := h.asRemote()
		remote.Visited = nil
		list = append(list, Forward{Host: host, Header: remote, Reason: reason})
	}
	return list
}

// RetryHeld decides again on a held packet: more upstreams may have been discovered, or
// it may be certain by now that none holds the flow.
func (s *Sidecar) RetryHeld(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if f == nil {
		return newHold(h, ReasonStarting)
	}
	if p.Opens() || !h.hasVisited(s.cfg.Self) {
		return s.passOn(now, h, p, ReasonUnknownFlow)
	}
	c := s.chooser(now, f, p)
	return s.search(f, &c, h, p, ReasonUnknownFlow, true)
}

// newHold returns a Hold with a copy of the header.
func newHold(h *Header, reason Reason) *Hold {
	c := *h
	c.Visited = append([]registry.Host(nil), h.Visited...)
	c.SentTo = append([]string(nil), h.SentTo...)
	return &Hold{Header: c, Reason: reason}
}

// nextForOpening returns the next upstream to offer a new flow to, or nil: one of the service
// in the header, or of another one that the route allows. It sets the service in the header when
// that changes.
func (c *chooser) nextForOpening(h *Header) *registry.Member {
	if c.route == nil {
		return c.chooseOpening(c.fleet.Snapshot.Pool(h.Service), h.hasVisited)
	}
	for _, service := range c.servicesFrom(h.Service) {
		if m := c.chooseOpening(c.fleet.Snapshot.Pool(service), h.hasVisited); m != nil {
			h.Service = service
			return m
		}
	}
	return nil
}

// servicesFrom returns the services of the route, with the given one first if it is one of them.
func (c *chooser) servicesFrom(first registry.ServiceHash) []registry.ServiceHash {
	list := make([]registry.ServiceHash, 0, len(c.route.Targets))
	for i := range c.route.Targets {
		s := registry.HashService(c.route.Targets[i].Service)
		list = append(list, s)
		if s == first {
			list[0], list[i] = s, list[0]
		}
	}
	return list
}

// reject ends the processing of a packet that no upstream accepted. An opening is
// refused with ReasonNoUpstream. A later packet is dropped with the given reason, since
// the upstream that holds its flow may be temporarily unreachable.
func (s *Sidecar) reject(p *Packet, reason Reason) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoUpstream}
	}
	return Drop{Reason: reason}
}

// recordPassedOn records where an opening is passed on to, so that its retransmissions,
// and later packets that arrive before balancers have learned the upstream, take the
// same path. It returns a.
func (s *Sidecar) recordPassedOn(now time.Duration, sh *sidecarShard, k Key, p *Packet, a Action) Action {
	f, forwarded := a.(*Forward)
	if forwarded && len(sh.flows) < maxShardFlows {
		sh.put(k, localFlow{stage: stagePassedOn, target: f.Host, service: f.Header.Service, version: f.Header.Version, nextSequence: p.Sequence, lastPacket: now})
	}
	return a
}

// redirects reports whether a packet with the header follows the opening of the flow to
// another sidecar.
func (l *localFlow) redirects(h *Header) bool {
	return l.stage == stagePassedOn && !h.hasVisited(l.target)
}

// repeats reports whether an opening is a copy of the one that was passed on, and the routes by
// which the balancer placed it still allow the service.
func (l *localFlow) repeats(h *Header, p *Packet) bool {
	return l.nextSequence == p.Sequence && (l.version == h.Version || l.service == h.Service)
}

// followPassedOn sends a packet to where the opening of its flow was passed on to. The
// sidecar counts as visited, so that two that passed copies of the opening on to each other
// do not forward the packet without end.
func (s *Sidecar) followPassedOn(now time.Duration, l *localFlow, h *Header) Action {
	l.lastPacket = now
	next := h.WithVisited(s.cfg.Self)
	next.Service = l.service
	return &Forward{Host: l.target, Header: next, Reason: ReasonPassed}
}
