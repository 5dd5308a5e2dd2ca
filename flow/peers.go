package flow

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// PeerReport is the message that a sidecar sends to the other sidecars of its
// service once every ReportInterval.
type PeerReport struct {
	Upstream bundle.UpstreamID `msgpack:"u"`
	Service  bundle.ServiceID  `msgpack:"s"`
	// Incarnation differs each time the sidecar's process starts.
	Incarnation uint64 `msgpack:"i"`
	// Version is the sequence of the bundle in force at the sender.
	Version uint64 `msgpack:"v"`
	// Highest is the highest sequence of a bundle that was in force at the sender or
	// named in a packet or report that it received; at least Version.
	Highest uint64 `msgpack:"n"`
	// Oldest is the sequence of the first bundle that this incarnation had in force;
	// at most Version.
	Oldest uint64 `msgpack:"o"`
	// Flows is the number of flows that the sender owns.
	Flows int `msgpack:"f"`
	// Load is the sender's load in thousandths of a slot.
	Load    uint32 `msgpack:"l"`
	Leaving bool   `msgpack:"d"`
	// LivePeers lists the peers, and the upstreams of TickResult.OneSided, whose reports
	// the sender received within FenceTimeout: at most 64 entries.
	LivePeers []bundle.UpstreamID `msgpack:"h"`
}

// A peer is the recorded state of another sidecar of the same service.
type peer struct {
	report        PeerReport
	lastReport    time.Time // time of the last report; zero until the first
	joinedAt      time.Time // when it became a member; before that it may not have sent reports
	lastConfirmed time.Time // time of the last report that lists this sidecar in LivePeers
	absent        bool      // missing from the platform's list
	absentSince   time.Time // valid when absent is true
}

// peers holds the state of the other sidecars of the service. It is safe for concurrent use.
type peers struct {
	self bundle.UpstreamID

	mu           sync.RWMutex
	byID         map[bundle.UpstreamID]peer
	service      bundle.ServiceID    // the service that the upstream serves
	members      []bundle.UpstreamID // the other upstreams that may own flows of the service's addresses
	voters       []bundle.UpstreamID // those members that serve the same service
	orderVersion uint64              // version of the bundle that last changed the order of candidates
	removedAt    time.Time           // when a member left the bundle while it may have owned flows
	agreedSince  time.Time           // since when all members that are not absent act on orderVersion or later; zero if they do not

	fenceAt    atomic.Int64 // Unix time in nanoseconds from which the sidecar is fenced
	onlyMember atomic.Bool  // the bundle lists no other upstream of the service
	anyAbsent  atomic.Bool
}

func newPeers(self bundle.UpstreamID) *peers {
	return &peers{self: self, byID: make(map[bundle.UpstreamID]peer)}
}

// reset removes the members and their confirmations. It is called when the
// upstream switches to another service: confirmations by members of the former
// service must not count for the new one.
func (ps *peers) reset() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.members, ps.voters = nil, nil
	ps.orderVersion = 0
	ps.agreedSince = time.Time{}
	ps.removedAt = time.Time{}
	ps.onlyMember.Store(false)
	ps.fenceAt.Store(0)
	for u, p := range ps.byID {
		p.lastConfirmed = time.Time{}
		ps.byID[u] = p
	}
}

// setMembers sets the members from a bundle that changed the order of candidates.
// It reports whether any of the added members serves another service.
func (ps *peers) setMembers(now time.Time, version uint64, members []forward.Candidate, service bundle.ServiceID) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.onlyMember.Load() {
		// Until now this sidecar alone was the majority, so no other sidecar can have
		// taken over its flows.
		ps.fenceAt.Store(now.Add(FenceTimeout).UnixNano())
	}
	old, linked := ps.members, false
	ps.service, ps.members, ps.voters = service, nil, nil
	for i := range members {
		u := members[i].Upstream
		if u == ps.self {
			continue
		}
		ps.members = append(ps.members, u)
		if !containsUpstream(old, u) {
			ps.join(u, now)
		}
		if members[i].Service == service {
			ps.voters = append(ps.voters, u)
		}
		linked = linked || members[i].Service != service && !containsUpstream(old, u)
	}
	for _, u := range old {
		if !containsUpstream(ps.members, u) && !ps.drained(u) {
			ps.removedAt = now
		}
	}
	ps.orderVersion = version
	ps.agreedSince = time.Time{}
	ps.updateAgreement(now)
	ps.updateFence()
	return linked
}

// join records that the upstream became a member. The caller holds the lock.
func (ps *peers) join(u bundle.UpstreamID, now time.Time) {
	p := ps.byID[u]
	p.joinedAt = now
	ps.byID[u] = p
}

// drained reports whether the upstream's last report is that it is leaving and
// owns no flow. The caller holds the lock.
func (ps *peers) drained(u bundle.UpstreamID) bool {
	p := ps.byID[u]
	return p.report.Leaving && p.report.Flows == 0
}

// maybeTakenOver reports whether the sidecar has been fenced for so long that
// others may have taken over its flows.
func (ps *peers) maybeTakenOver(now time.Time) bool {
	fenceAt := ps.fenceAt.Load()
	return !ps.onlyMember.Load() && fenceAt != 0 && now.UnixNano()-fenceAt >= int64(FenceTimeout)
}

// recordReport records a report of a peer.
func (ps *peers) recordReport(now time.Time, r PeerReport) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.maybeTakenOver(now) {
		ps.agreedSince = time.Time{}
	}
	p := ps.byID[r.Upstream]
	restarted := !p.lastReport.IsZero() && p.report.Incarnation != r.Incarnation
	if ps.movedAway(p.report, r) {
		// What it reports about the other service does not show whether it is drained.
		r.Service, r.Leaving, r.Flows = p.report.Service, p.report.Leaving, p.report.Flows
	}
	p.report, p.lastReport = r, now
	if containsUpstream(r.LivePeers, ps.self) {
		p.lastConfirmed = now
	}
	ps.byID[r.Upstream] = p
	if restarted && r.Oldest < ps.orderVersion {
		ps.agreedSince = time.Time{}
	}
	ps.updateFence()
	ps.updateAgreement(now)
}

// movedAway reports whether a member of the same service has switched to another
// one, under a bundle that is not in force here. The caller holds the lock.
func (ps *peers) movedAway(old, r PeerReport) bool {
	return containsUpstream(ps.voters, r.Upstream) && old.Service == ps.service && r.Service != ps.service
}

// updateFence sets fenceAt to FenceTimeout after a majority of the service's
// upstreams, including this one, last confirmed this sidecar's reports. A bundle
// that raises the majority does not move fenceAt back: a sidecar that takes over
// flows waits longer than FenceTimeout after the last report that it received from
// this sidecar under the same bundle. The caller holds the lock.
func (ps *peers) updateFence() {
	need := majority(len(ps.voters)+1) - 1
	ps.onlyMember.Store(len(ps.voters) == 0)
	if need == 0 {
		return
	}
	confirmed := make([]int64, 0, len(ps.voters))
	for _, u := range ps.voters {
		if p := ps.byID[u]; !p.lastConfirmed.IsZero() {
			confirmed = append(confirmed, p.lastConfirmed.UnixNano())
		}
	}
	if len(confirmed) < need {
		return
	}
	slices.Sort(confirmed)
	until := confirmed[len(confirmed)-need] + int64(FenceTimeout)
	ps.fenceAt.Store(max(until, ps.fenceAt.Load()))
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int {
	return n/2 + 1
}

// setAbsent sets the upstreams that are missing from the platform's list.
func (ps *peers) setAbsent(now time.Time, absent []bundle.UpstreamID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for u, p := range ps.byID {
		if p.absent && !containsUpstream(absent, u) {
			p.absent = false
			ps.byID[u] = p
		}
	}
	for _, u := range absent {
		p := ps.byID[u]
		if p.absent || u == ps.self {
			continue
		}
		p.absent, p.absentSince = true, now
		ps.byID[u] = p
	}
	ps.anyAbsent.Store(len(absent) > 0)
	ps.updateAgreement(now)
}

// restartAgreement restarts the time that agreedFor returns, so that the sidecar
// waits for a whole guard time again.
func (ps *peers) restartAgreement(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.agreedSince = time.Time{}
	ps.updateAgreement(now)
}

// updateAgreement updates agreedSince from the reports of the members that are not
// absent. The caller holds the lock.
func (ps *peers) updateAgreement(now time.Time) {
	agreed := ps.orderVersion > 0
	for _, u := range ps.members {
		p := ps.byID[u]
		if p.absent {
			continue
		}
		agreed = agreed && p.report.Version >= ps.orderVersion
	}
	if !agreed {
		ps.agreedSince = time.Time{}
		return
	}
	if ps.agreedSince.IsZero() {
		ps.agreedSince = now
	}
}

// acknowledged reports whether PeerReport.Highest of each member that is neither
// absent nor silent is at least this version. The bundle need not be in force there.
func (ps *peers) acknowledged(now time.Time, version uint64) bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, u := range ps.members {
		p := ps.byID[u]
		if !p.absent && !ps.silent(now, p) && p.report.Highest < version {
			return false
		}
	}
	return true
}

// agreedFor returns how long each member that is not absent has acted on the order
// in force, or -1 when some do not.
func (ps *peers) agreedFor(now time.Time) time.Duration {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	if ps.agreedSince.IsZero() {
		return -1
	}
	return now.Sub(ps.agreedSince)
}

// fenced reports whether others may take over this sidecar's flows, because no
// majority has confirmed its reports for FenceTimeout.
func (ps *peers) fenced(now time.Time) bool {
	return now.UnixNano() >= ps.fenceAt.Load() && !ps.onlyMember.Load()
}

// removedWithin reports whether a member that may have run requests left the
// bundle within the last d.
func (ps *peers) removedWithin(now time.Time, d time.Duration) bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return !ps.removedAt.IsZero() && now.Sub(ps.removedAt) < d
}

// takeoverDue reports whether the upstream has been absent, and sent no report,
// for so long that others take over its flows. It returns false for an upstream
// that has not reported the order in force, since a majority of an older bundle
// may still confirm its reports.
func (ps *peers) takeoverDue(now time.Time, u bundle.UpstreamID, after time.Duration) bool {
	if !ps.anyAbsent.Load() {
		return false
	}
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	p := ps.byID[u]
	return p.absent && p.report.Version >= ps.orderVersion && now.Sub(p.absentSince) >= after && now.Sub(p.lastReport) >= after
}

// suspected reports whether the upstream's sidecar has been silent for SuspectTimeout.
func (ps *peers) suspected(now time.Time, u bundle.UpstreamID) bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	if !containsUpstream(ps.members, u) {
		return false
	}
	return ps.silent(now, ps.byID[u])
}

// silentMembers returns the members that have been silent for SuspectTimeout. It
// returns none when fewer than half of the members send reports, since this
// sidecar may then be the isolated one.
func (ps *peers) silentMembers(now time.Time) []bundle.UpstreamID {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var silent []bundle.UpstreamID
	for _, u := range ps.members {
		if ps.silent(now, ps.byID[u]) {
			silent = append(silent, u)
		}
	}
	if len(ps.members)-len(silent) < len(ps.members)/2 {
		return nil
	}
	return silent
}

// silent reports whether no report of the member arrived for SuspectTimeout. The
// time before it became a member does not count. The caller holds the lock.
func (ps *peers) silent(now time.Time, p peer) bool {
	last := p.lastReport
	if last.Before(p.joinedAt) {
		last = p.joinedAt
	}
	return now.Sub(last) >= SuspectTimeout
}

// livePeers returns the members whose reports arrived within FenceTimeout.
func (ps *peers) livePeers(now time.Time) []bundle.UpstreamID {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var ids []bundle.UpstreamID
	for _, u := range ps.members {
		if p := ps.byID[u]; !p.lastReport.IsZero() && now.Sub(p.lastReport) < FenceTimeout {
			ids = append(ids, u)
		}
	}
	return ids
}

// oneSided returns the last reports of the upstreams that are no members, but sent
// a report within FenceTimeout under another bundle than version: in that bundle
// this sidecar is a member of their service. They are in ascending order of the
// upstreams.
func (ps *peers) oneSided(now time.Time, version uint64) []PeerReport {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var reports []PeerReport
	for u, p := range ps.byID {
		if p.report.Version != version && !p.lastReport.IsZero() && now.Sub(p.lastReport) < FenceTimeout && !containsUpstream(ps.members, u) {
			reports = append(reports, p.report)
		}
	}
	slices.SortFunc(reports, func(a, b PeerReport) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return reports
}

func containsUpstream(ids []bundle.UpstreamID, u bundle.UpstreamID) bool {
	for _, id := range ids {
		if id == u {
			return true
		}
	}
	return false
}
