package steer

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// relieve passes a new flow on when requests wait at the own upstream and
// clearly fewer at another one, or when one of another service that the route
// allows has a free slot. It returns nil when the flow is to stay. A flow is
// passed on for this reason only once.
func (s *Sidecar) relieve(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if f == nil || len(h.Visited) > 0 || !s.cfg.Placing.weighs() {
		return nil
	}
	own, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	if !listed || s.Active()-own.Slots < crowdedQueue {
		return nil
	}
	c := s.chooser(now, f, p)
	notSelf := func(host registry.Host) bool { return host == s.cfg.Self }
	other := c.choose(f.Snapshot.Pool(s.service), notSelf)
	if other == nil || c.queue(other)+crowdedQueue > s.Active()-own.Slots {
		route := f.Snapshot.Route(p.Destination)
		if route == nil {
			return nil
		}
		if other = c.overflow(route, &own, notSelf); other == nil {
			return nil
		}
	}
	next := h.WithVisited(s.cfg.Self)
	next.Service = registry.HashService(other.Service)
	return &Forward{Host: other.Address.Host, Header: next, Reason: ReasonCrowded}
}

// chooser returns the comparison of upstreams for a packet.
func (s *Sidecar) chooser(now time.Duration, f *Fleet, p *Packet) chooser {
	return chooser{
		fleet:      f,
		now:        now,
		hash:       p.CallerKey().Hash(),
		dataCentre: s.cfg.DataCentre,
		expected:   asTold,
		pending:    func(registry.Host) int { return 0 },
		placing:    s.cfg.Placing,
		given:      func(registry.Host) int { return 0 },
	}
}

// passOn sends a packet to the next upstream that may take it. why says what kept it from the own one.
func (s *Sidecar) passOn(now time.Duration, h *Header, p *Packet, why Reason) Action {
	if len(h.Visited) >= MaxVisited {
		return s.none(p, ReasonVisits)
	}
	f := s.fleet.Load()
	if f == nil {
		return hold(h, ReasonStarting)
	}
	next := h.WithVisited(s.cfg.Self)
	c := s.chooser(now, f, p)
	if m := s.next(f, &c, &next, p); m != nil {
		return &Forward{Host: m.Address.Host, Header: next, Reason: why}
	}
	if host, found := f.unlisted(next.visited); found && !p.Opens() {
		return &Forward{Host: host, Header: next, Reason: why}
	}
	if s.nobody(now, f, &next, p) {
		return Refuse{Reason: ReasonUnknownFlow}
	}
	if !p.Opens() && !p.Flags.Has(RST) && (!f.Settled || f.Snapshot.Revision() < h.Revision) {
		return hold(h, ReasonUnknownFlow)
	}
	return s.none(p, ReasonUnknownFlow)
}

// Again decides once more on a packet that was held.
func (s *Sidecar) Again(now time.Duration, h *Header, p *Packet) Action {
	return s.passOn(now, h, p, ReasonUnknownFlow)
}

// hold returns a Hold with a header of its own.
func hold(h *Header, reason Reason) *Hold {
	c := *h
	c.Visited = append([]registry.Host(nil), h.Visited...)
	return &Hold{Header: c, Reason: reason}
}

// next returns the upstream to pass a packet on to. A new flow goes to the
// services that its route allows. A later packet goes on to all others: its
// flow may have been opened under an older version of the route.
func (s *Sidecar) next(f *Fleet, c *chooser, h *Header, p *Packet) *registry.Member {
	if p.Opens() {
		return s.nextOpening(f, c, h, p)
	}
	if pool := f.Snapshot.Pool(h.Service); pool != nil {
		if m := c.walk(pool, h.visited); m != nil {
			return m
		}
	}
	return c.walkAll(f.Snapshot.Pools(), h.visited)
}

// nextOpening returns the upstream to offer a new flow to.
func (s *Sidecar) nextOpening(f *Fleet, c *chooser, h *Header, p *Packet) *registry.Member {
	if m := c.open(f.Snapshot.Pool(h.Service), h.visited); m != nil {
		return m
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil {
		return nil
	}
	for i := range route.Targets {
		hash := registry.HashService(route.Targets[i].Service)
		if m := c.open(f.Snapshot.Pool(hash), h.visited); m != nil {
			h.Service = hash
			return m
		}
	}
	return nil
}

// none ends a packet that no upstream took. An opening is refused; for a later
// packet the upstream may be out of reach, so that it is dropped.
func (s *Sidecar) none(p *Packet, reason Reason) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoUpstream}
	}
	return Drop{Reason: reason}
}

// nobody reports whether it is certain that no upstream holds the flow of a
// packet: each one that may was asked and returned the packet. A young list that
// lacks the own upstream may lack others, too.
func (s *Sidecar) nobody(now time.Duration, f *Fleet, h *Header, p *Packet) bool {
	if !f.Settled || p.Opens() || p.Flags.Has(RST) || h.Revision == 0 || f.Snapshot.Revision() < h.Revision {
		return false
	}
	for _, pool := range f.Snapshot.Pools() {
		if !f.allAsked(now, pool, h) {
			return false
		}
	}
	return !f.Young || f.listed(s.cfg.Self) || s.Silent(now)
}

// trace remembers where an opening is passed on to, so that its copies and the
// packets that follow it before balancers know go the same way. It returns the action.
func (s *Sidecar) trace(now time.Duration, sh *sidecarShard, k Key, p *Packet, a Action) Action {
	f, passed := a.(*Forward)
	if passed && len(sh.flows) < maxRemembered {
		sh.flows[k] = local{stage: stagePassed, target: f.Host, service: f.Header.Service, next: p.Sequence, last: now}
	}
	return a
}

// leads reports whether a packet with the header goes on to where the flow's opening went.
func (l *local) leads(h *Header) bool {
	return l.stage == stagePassed && !h.visited(l.target)
}

// follow sends a packet to where the flow's opening was passed on to.
func (s *Sidecar) follow(now time.Duration, sh *sidecarShard, k Key, l local, h *Header) Action {
	l.last = now
	sh.flows[k] = l
	next := *h
	next.Service = l.service
	return &Forward{Host: l.target, Header: next, Reason: ReasonPassed}
}
