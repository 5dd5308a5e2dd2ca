package steer

import (
	"slices"
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
	if !p.Opens() {
		return s.search(f, &c, &next, p, why, false)
	}
	if m := s.nextOpening(f, &c, &next, p); m != nil {
		return &Forward{Host: m.Address.Host, Header: next, Reason: why}
	}
	return s.none(p, ReasonNoUpstream)
}

// search sends a later packet to the next upstream of the data centre that may
// hold its flow. When all of them returned it, it goes to each other data centre
// at the same time, unless it came from one; the balancer is told of each data
// centre that does not hold the flow. held is true when the packet was held here after that.
func (s *Sidecar) search(f *Fleet, c *chooser, h *Header, p *Packet, why Reason, held bool) Action {
	if host, found := c.seek(h.Service, s.cfg.DataCentre, h.visited); found {
		return &Forward{Host: host, Header: *h, Reason: why}
	}
	h.State = registry.Latest(h.State, f.Snapshot.State())
	wait := !f.Settled && !p.Flags.Has(RST) // a flow that ends needs no reset
	var report *Report
	if !p.Flags.Has(RST) && !(held && wait) {
		report = missing(h, p)
	}
	if h.Remote {
		if report == nil {
			return Drop{Reason: ReasonUnknownFlow}
		}
		return report
	}
	b := &FanOut{Report: report, Forwards: s.branches(f, c, h, why)}
	if wait {
		b.Hold = hold(h, ReasonUnknownFlow)
	}
	return b
}

// missing returns the report that the upstreams which the header names do not hold a packet's flow.
func missing(h *Header, p *Packet) *Report {
	m := MissReport{Key: p.CallerKey(), Acknowledged: p.Acknowledged, State: h.State, Hosts: h.Visited}
	return &Report{Balancer: h.Balancer, MissReport: m}
}

// branches returns copies for the data centres that the packet was not sent to
// yet, and notes in the header that it was.
func (s *Sidecar) branches(f *Fleet, c *chooser, h *Header, why Reason) []Forward {
	var list []Forward
	for _, dataCentre := range f.centres() {
		if dataCentre == s.cfg.DataCentre || slices.Contains(h.SentTo, dataCentre) {
			continue
		}
		host, found := c.seek(h.Service, dataCentre, h.visited)
		if !found {
			continue
		}
		h.SentTo = append(slices.Clip(h.SentTo), dataCentre)
		away := *h
		away.Remote, away.Visited, away.SentTo = true, nil, nil
		list = append(list, Forward{Host: host, Header: away, Reason: why})
	}
	return list
}

// RetryHeld decides once more on a packet that was held: upstreams may have become
// known since, or it may be certain by now that none holds the flow.
func (s *Sidecar) RetryHeld(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if f == nil {
		return hold(h, ReasonStarting)
	}
	if p.Opens() || !h.visited(s.cfg.Self) {
		return s.passOn(now, h, p, ReasonUnknownFlow)
	}
	c := s.chooser(now, f, p)
	return s.search(f, &c, h, p, ReasonUnknownFlow, true)
}

// hold returns a Hold with a header of its own.
func hold(h *Header, reason Reason) *Hold {
	c := *h
	c.Visited = append([]registry.Host(nil), h.Visited...)
	c.SentTo = append([]string(nil), h.SentTo...)
	return &Hold{Header: c, Reason: reason}
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
