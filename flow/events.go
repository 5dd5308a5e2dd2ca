package flow

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// BundleAccepted puts a bundle in force. It ignores a bundle that is not newer
// than the one in force. An upstream keeps the service that it serves until
// TickResult.Switched reports the change.
func (s *Sidecar) BundleAccepted(now time.Time, v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Load()
	if old != nil && v.Version() <= old.view.Version() {
		return
	}
	self := v.Self()
	service := self.Service
	if old == nil {
		s.oldestVersion = v.Version()
	}
	if old != nil && old.service != 0 {
		service = old.service
	}
	s.observeVersion(v.Version())
	s.replace(now, old, v, service)
}

// replace puts a new state in force. The caller holds s.mu.
func (s *Sidecar) replace(now time.Time, old *state, v View, service bundle.ServiceID) {
	self := v.Self()
	n := &state{view: v, service: service}
	n.listed = self.Listed
	n.leaving = s.draining || s.listedLeaving || !self.Listed || self.Leaving || self.Service != service
	settings, ok := v.Settings(service)
	if !ok && old != nil {
		settings = old.settings
	}
	n.settings = settings
	if old != nil && old.service != service {
		s.peers.reset()
		old = nil
	}
	n.joinVersion = v.Version()
	if old != nil {
		n.generation, n.orderChanged = old.generation, old.orderChanged
		n.joinVersion, n.orderVersion = old.joinVersion, old.orderVersion
	}
	if old == nil || old.view.Fingerprint(service) != v.Fingerprint(service) {
		n.generation++
		n.orderChanged = s.stamp(now)
		n.orderVersion = v.Version()
		linked := s.peers.setMembers(now, v.Version(), v.Members(service), service)
		// Sidecars that served a moved address refuse its flows until they have the
		// bundle that moved it.
		if linked || old != nil && old.view.Moved(service) != v.Moved(service) {
			n.joinVersion = v.Version()
		}
		s.lastReport = time.Time{}
	}
	s.state.Store(n)
}

// PeerReported processes a report of another sidecar of the same service.
func (s *Sidecar) PeerReported(now time.Time, r PeerReport) {
	if s.backlog.Load() {
		return
	}
	s.observeVersion(max(r.Version, r.Highest))
	st := s.state.Load()
	if st != nil && s.needsFencing(st) && s.peers.maybeTakenOver(now) {
		s.demoteUDPFlows(s.stamp(now))
	}
	returned := st != nil && s.peers.takeoverDue(now, r.Upstream, st.takeoverDelay())
	s.peers.recordReport(now, r)
	if returned {
		s.bumpGeneration() // the peer may be the home of flows again, although it is still missing from the list
	}
}

// InstancesListed processes the platform's list of instances: absent holds the
// upstreams of the bundle that are missing from the list.
func (s *Sidecar) InstancesListed(now time.Time, absent []bundle.UpstreamID) {
	s.peers.setAbsent(now, absent)
	s.bumpGeneration()
}

// bumpGeneration makes each UDP flow recompute whether this sidecar is its home.
func (s *Sidecar) bumpGeneration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.Load()
	if old == nil {
		return
	}
	n := *old
	n.generation++
	s.state.Store(&n)
}

// Resumed reports that the process was paused for gap until now. Packets are
// dropped until BacklogDrained, which the caller must call once it has read all
// packets that were queued in its sockets. Gaps below MaxPacketLifetime are ignored.
func (s *Sidecar) Resumed(now time.Time, gap time.Duration) {
	if gap < MaxPacketLifetime || s.mutations.has(mutateKeepBacklog) {
		return
	}
	s.backlog.Store(true)
	s.peers.restartAgreement(now)
	if st := s.state.Load(); st != nil && !st.settings.Idempotent && gap >= FenceTimeout {
		s.demoteUDPFlows(s.stamp(now))
	}
}

// BacklogDrained ends the dropping of packets that Resumed started.
func (s *Sidecar) BacklogDrained() {
	s.backlog.Store(false)
}

// demoteUDPFlows replaces the entries of owned UDP flows by kindPassed entries, since
// another sidecar may have taken the flows over. Their lastRefresh lies further back
// than searchTimeout, so that otherSearchPending does not count them as searches.
func (s *Sidecar) demoteUDPFlows(at stamp) {
	for i := range s.table.shards {
		sh := &s.table.shards[i]
		sh.mu.Lock()
		for k, e := range sh.entries {
			if k.Protocol() == UDP && e.kind == kindOwner {
				s.table.put(sh, k, entry{kind: kindPassed, flags: promised, version: e.version, lastUsed: at, lastRefresh: at - min(at, ticks(searchTimeout)+1)})
			}
		}
		sh.mu.Unlock()
	}
}

// Drain stops accepting new flows immediately.
func (s *Sidecar) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	old := s.state.Load()
	if old == nil {
		return
	}
	n := *old
	n.leaving = true
	s.state.Store(&n)
}

// SetLeaving sets whether the platform's list has the instance as leaving. New
// flows are accepted again once the list has it as live.
func (s *Sidecar) SetLeaving(now time.Time, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listedLeaving == leaving {
		return
	}
	s.listedLeaving = leaving
	if old := s.state.Load(); old != nil {
		s.replace(now, old, old.view, old.service)
	}
}

// UpstreamRestarted reports that the upstream restarted without state. It removes all owned flows.
func (s *Sidecar) UpstreamRestarted(now time.Time) {
	s.upstreamStart.Store(now.UnixNano())
	for i := range s.table.shards {
		sh := &s.table.shards[i]
		sh.mu.Lock()
		for k, e := range sh.entries {
			if e.kind.owned() {
				s.table.remove(sh, k)
			}
		}
		sh.mu.Unlock()
	}
}

// SetLoad sets the upstream's load in thousandths of a slot.
func (s *Sidecar) SetLoad(load uint32) {
	s.load.Store(load)
}

// OwnerFound records the owner of a flow that this sidecar searched for, from
// the owner's hint.
func (s *Sidecar) OwnerFound(now time.Time, k Key, owner bundle.UpstreamID) {
	sh := s.table.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.entries[k]
	if !ok || e.kind != kindPassed || e.flags&searching == 0 || owner == s.cfg.Upstream {
		return
	}
	e.target = owner
	e.flags &^= searching
	sh.entries[k] = e
}

// A TickResult holds the messages to send after a Tick.
type TickResult struct {
	// Hints take at most HintBudget bytes per second, those of flows with the most
	// forwarded packets first.
	Hints []Hint
	// Report goes to the other sidecars of the service; nil when none is due.
	Report *PeerReport
	// OneSided holds the sidecars that the report goes to as well: those that have this
	// one as a member under an older or a newer bundle, but are no members here.
	OneSided []forward.Candidate
	// Switched is true when the upstream has switched to another service.
	Switched bool
}

// Tick does the periodic work. Call it about every 100 ms.
func (s *Sidecar) Tick(now time.Time) TickResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state.Load()
	if st == nil {
		return TickResult{}
	}
	s.sweep(s.stamp(now), st)
	d := TickResult{Switched: s.switchService(now, st), Hints: s.outbox.due(now)}
	if now.Sub(s.lastReport) >= ReportInterval {
		s.lastReport = now
		d.OneSided = s.oneSidedPeers(now)
		d.Report = s.report(now, d.OneSided)
	}
	return d
}

// oneSidedPeers returns the upstreams that have this one as a member of their service
// under another bundle. It confirms their reports until both have the same bundle:
// if theirs is older, they cannot replace its confirmations by those of members that
// the newer bundle added; if theirs is newer, this one may be the only other member.
// An upstream that the bundle in force removes from its service is left out, so that
// it is fenced.
func (s *Sidecar) oneSidedPeers(now time.Time) []forward.Candidate {
	view := s.state.Load().view
	var peers []forward.Candidate
	for _, r := range s.peers.oneSided(now, view.Version()) {
		for _, c := range view.Members(r.Service) {
			if c.Upstream == r.Upstream && c.Service == r.Service {
				peers = append(peers, c)
			}
		}
	}
	return peers
}

// switchService switches the upstream to the service that the bundle assigns to
// it once it owns no flow of the former one. The caller holds s.mu.
func (s *Sidecar) switchService(now time.Time, st *state) bool {
	self := st.view.Self()
	if !self.Listed || self.Service == st.service || s.Flows() > 0 {
		return false
	}
	s.replace(now, st, st.view, self.Service)
	return true
}

// report returns the sidecar's report to its members and one-sided peers.
func (s *Sidecar) report(now time.Time, oneSided []forward.Candidate) *PeerReport {
	st := s.state.Load()
	live := s.peers.livePeers(now)
	for _, c := range oneSided {
		if len(live) < maxReportedPeers {
			live = append(live, c.Upstream)
		}
	}
	return &PeerReport{
		Upstream:    s.cfg.Upstream,
		Service:     st.service,
		Incarnation: s.cfg.Incarnation,
		Version:     st.view.Version(),
		Highest:     s.HighestVersion(),
		Oldest:      s.oldestVersion,
		Flows:       s.Flows(),
		Load:        s.load.Load(),
		Leaving:     st.leaving,
		LivePeers:   live,
	}
}

// sweep removes the expired entries of one shard. The caller holds s.mu.
func (s *Sidecar) sweep(at stamp, st *state) {
	sh := &s.table.shards[s.nextShard]
	s.nextShard = (s.nextShard + 1) % len(s.table.shards)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, e := range sh.entries {
		if at.since(e.lastUsed) > st.lifetime(k.Protocol(), e) {
			s.table.remove(sh, k)
		}
	}
}
