package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// offload passes a new flow on when requests wait at the own upstream and
// clearly fewer at another one, or when one of another service that the route
// allows has a free slot. It returns nil when the flow is to stay. A flow is
// passed on for this reason only once.
func (s *Sidecar) offload(now time.Duration, h *Header, p *Packet) Action {
	f := s.fleet.Load()
	if f == nil || len(h.Visited) > 0 || !s.cfg.Placing.comparesLoad() {
		return nil
	}
	own, listed := f.Snapshot.Member(s.service, s.cfg.Self)
	if !listed || s.Active()-own.Slots < crowdedQueueLength {
		return nil
	}
	c := s.chooser(now, f, p)
	notSelf := func(host registry.Host) bool { return host == s.cfg.Self }
	other := c.choose(f.Snapshot.Pool(s.service), notSelf)
	if other == nil || c.queueLength(other)+crowdedQueueLength > s.Active()-own.Slots {
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
		fleet:       f,
		now:         now,
		hash:        p.CallerKey().Hash(),
		dataCentre:  s.cfg.DataCentre,
		estimate:    asReported,
		unreported:  func(registry.Host) int { return 0 },
		placing:     s.cfg.Placing,
		totalPlaced: func(registry.Host) int { return 0 },
	}
}

// passOn sends a packet to the next upstream that may take it. why says what kept it from the own one.
func (s *Sidecar) passOn(now time.Duration, h *Header, p *Packet, reason Reason) Action {
	if len(h.Visited) >= MaxVisited {
		return s.reject(p, ReasonVisits)
	}
	f := s.fleet.Load()
	if f == nil {
		return newHold(h, ReasonStarting)
	}
	next := h.WithVisited(s.cfg.Self)
	c := s.chooser(now, f, p)
	if !p.Opens() {
		return s.search(f, &c, &next, p, reason, false)
	}
	if m := s.nextForOpening(f, &c, &next, p); m != nil {
		return &Forward{Host: m.Address.Host, Header: next, Reason: reason}
	}
	return s.reject(p, ReasonNoUpstream)
}

// search sends a later packet to the next upstream of the data centre that may
// hold its flow. When all of them returned it, it goes to each other data centre
// at the same time, unless it came from one; the balancer is told of each data
// centre that does not hold the flow. held is true when the packet was held here after that.
func (s *Sidecar) search(f *Fleet, c *chooser, h *Header, p *Packet, reason Reason, held bool) Action {
	if host, found := c.nextHost(h.Service, s.cfg.DataCentre, h.hasVisited); found {
		return &Forward{Host: host, Header: *h, Reason: reason}
	}
	h.State = registry.Latest(h.State, f.Snapshot.State())
	pending := !f.Settled && !p.Flags.Has(RST) // a flow that ends needs no reset
	var report *Report
	if !p.Flags.Has(RST) && !(held && pending) {
		report = newMissReport(h, p)
	}
	if h.Remote {
		if report == nil {
			return Drop{Reason: ReasonUnknownFlow}
		}
		return report
	}
	b := &FanOut{Report: report, Forwards: s.fanOut(f, c, h, reason)}
	if pending {
		b.Hold = newHold(h, ReasonUnknownFlow)
	}
	return b
}

// newMissReport returns the report that the upstreams which the header names do not hold a packet's flow.
func newMissReport(h *Header, p *Packet) *Report {
	m := MissReport{Key: p.CallerKey(), Acknowledged: p.Acknowledged, State: h.State, Hosts: h.Visited}
	return &Report{Balancer: h.Balancer, MissReport: m}
}

// fanOut returns copies for the data centres that the packet was not sent to
// yet, and notes in the header that it was.
func (s *Sidecar) fanOut(f *Fleet, c *chooser, h *Header, reason Reason) []Forward {
	var list []Forward
	for _, dataCentre := range f.dataCentres() {
		if dataCentre == s.cfg.DataCentre || slices.Contains(h.SentTo, dataCentre) {
			continue
		}
		host, found := c.nextHost(h.Service, dataCentre, h.hasVisited)
		if !found {
			continue
		}
		h.SentTo = append(slices.Clip(h.SentTo), dataCentre)
		remote := *h
		remote.Remote, remote.Visited, remote.SentTo = true, nil, nil
		list = append(list, Forward{Host: host, Header: remote, Reason: reason})
	}
	return list
}

// RetryHeld decides once more on a packet that was held: upstreams may have become
// known since, or it may be certain by now that none holds the flow.
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

// newHold returns a Hold with a header of its own.
func newHold(h *Header, reason Reason) *Hold {
	c := *h
	c.Visited = append([]registry.Host(nil), h.Visited...)
	c.SentTo = append([]string(nil), h.SentTo...)
	return &Hold{Header: c, Reason: reason}
}

// nextForOpening returns the upstream to offer a new flow to.
func (s *Sidecar) nextForOpening(f *Fleet, c *chooser, h *Header, p *Packet) *registry.Member {
	if m := c.chooseOpening(f.Snapshot.Pool(h.Service), h.hasVisited); m != nil {
		return m
	}
	route := f.Snapshot.Route(p.Destination)
	if route == nil {
		return nil
	}
	for i := range route.Targets {
		hash := registry.HashService(route.Targets[i].Service)
		if m := c.chooseOpening(f.Snapshot.Pool(hash), h.hasVisited); m != nil {
			h.Service = hash
			return m
		}
	}
	return nil
}

// reject ends a packet that no upstream took. An opening is refused; for a later
// packet the upstream may be out of reach, so that it is dropped.
func (s *Sidecar) reject(p *Packet, reason Reason) Action {
	if p.Opens() {
		return Refuse{Reason: ReasonNoUpstream}
	}
	return Drop{Reason: reason}
}

// recordPassedOn remembers where an opening is passed on to, so that its copies and the
// packets that follow it before balancers know go the same way. It returns the action.
func (s *Sidecar) recordPassedOn(now time.Duration, sh *sidecarShard, k Key, p *Packet, a Action) Action {
	f, forwarded := a.(*Forward)
	if forwarded && len(sh.flows) < maxShardFlows {
		sh.flows[k] = localFlow{stage: stagePassedOn, target: f.Host, service: f.Header.Service, nextSequence: p.Sequence, lastPacket: now}
	}
	return a
}

// redirects reports whether a packet with the header goes on to where the flow's opening went.
func (l *localFlow) redirects(h *Header) bool {
	return l.stage == stagePassedOn && !h.hasVisited(l.target)
}

// followPassedOn sends a packet to where the flow's opening was passed on to.
func (s *Sidecar) followPassedOn(now time.Duration, sh *sidecarShard, k Key, l localFlow, h *Header) Action {
	l.lastPacket = now
	sh.flows[k] = l
	next := *h
	next.Service = l.service
	return &Forward{Host: l.target, Header: next, Reason: ReasonPassed}
}
