package flow

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
)

// PeerReport is what a sidecar tells the other sidecars of its service, once every ReportInterval.
type PeerReport struct {
	Upstream bundle.UpstreamID `msgpack:"u"`
	Service  bundle.ServiceID  `msgpack:"s"`
	// Incarnation differs each time the sidecar's process starts.
	Incarnation uint64 `msgpack:"i"`
	// Version is the bundle in force at the sender.
	Version uint64 `msgpack:"v"`
	// Highest is the highest bundle that the sender knows to exist; at least Version.
	Highest uint64 `msgpack:"n"`
	// Oldest is the first bundle that this incarnation had in force; at most Version.
	Oldest uint64 `msgpack:"o"`
	// Flows is how many flows the sender owns.
	Flows int `msgpack:"f"`
	// Load is in thousandths of a slot.
	Load    uint32 `msgpack:"l"`
	Leaving bool   `msgpack:"d"`
	// LivePeers lists the peers whose reports reached the sender within FenceTimeout.
	LivePeers []bundle.UpstreamID `msgpack:"h"`
}

// A peer is what is known of another sidecar of the same service.
type peer struct {
	report   PeerReport
	heard    time.Time // zero until the first report
	joined   time.Time // when it became a member; before that it may have had no reason to report
	hears    time.Time // when a report last said that the peer hears this sidecar
	gone     bool      // missing from the platform's list
	goneFrom time.Time // valid with gone
}

// peers holds what a sidecar knows of the others of its service. It is safe for concurrent use.
type peers struct {
	self bundle.UpstreamID

	mu      sync.RWMutex
	byID    map[bundle.UpstreamID]peer
	members []bundle.UpstreamID // the other upstreams that may own flows of the service's addresses
	voters  []bundle.UpstreamID // those members that serve the same service
	order   uint64              // the bundle that last changed the order of candidates
	removed time.Time           // when a member left the bundle without having ended its flows
	settled time.Time           // since when each live member acts on order or later; zero if not

	fenceAt atomic.Int64 // Unix time in nanoseconds from which the sidecar is fenced
	alone   atomic.Bool  // the bundle names no other upstream of the service
	anyGone atomic.Bool
}

func newPeers(self bundle.UpstreamID) *peers {
	return &peers{self: self, byID: make(map[bundle.UpstreamID]peer)}
}

// reset forgets which members there were, when the upstream serves another
// service, and that those of the former one hear it.
func (ps *peers) reset() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.members, ps.voters = nil, nil
	ps.order = 0
	ps.settled = time.Time{}
	ps.removed = time.Time{}
	ps.alone.Store(false)
	ps.fenceAt.Store(0)
	for u, p := range ps.byID {
		p.hears = time.Time{}
		ps.byID[u] = p
	}
}

// reordered takes over the members of a bundle that changed the order of
// candidates. It reports whether upstreams of another service are new among them.
func (ps *peers) reordered(now time.Time, version uint64, members []forward.Candidate, service bundle.ServiceID) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.alone.Load() {
		// Until now this sidecar was the majority, and nobody can have taken its flows over.
		ps.fenceAt.Store(now.Add(FenceTimeout).UnixNano())
	}
	old, linked := ps.members, false
	ps.members, ps.voters = nil, nil
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
		if !containsUpstream(ps.members, u) && !ps.ended(u) {
			ps.removed = now
		}
	}
	ps.order = version
	ps.settled = time.Time{}
	ps.settle(now)
	ps.fence()
	return linked
}

// join notes that the upstream became a member. The caller holds the lock.
func (ps *peers) join(u bundle.UpstreamID, now time.Time) {
	p := ps.byID[u]
	p.joined = now
	ps.byID[u] = p
}

// ended reports whether the upstream said that it is leaving and owns no flow.
func (ps *peers) ended(u bundle.UpstreamID) bool {
	p := ps.byID[u]
	return p.report.Leaving && p.report.Flows == 0
}

// absent reports whether the sidecar has been fenced for so long that others may have taken over.
func (ps *peers) absent(now time.Time) bool {
	last := ps.fenceAt.Load()
	return !ps.alone.Load() && last != 0 && now.UnixNano()-last >= int64(FenceTimeout)
}

// reported takes in a report.
func (ps *peers) reported(now time.Time, r PeerReport) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.absent(now) {
		ps.settled = time.Time{}
	}
	p := ps.byID[r.Upstream]
	restarted := !p.heard.IsZero() && p.report.Incarnation != r.Incarnation
	p.report, p.heard = r, now
	if containsUpstream(r.LivePeers, ps.self) {
		p.hears = now
	}
	ps.byID[r.Upstream] = p
	if restarted && r.Oldest < ps.order {
		ps.settled = time.Time{}
	}
	ps.fence()
	ps.settle(now)
}

// fence computes until when a majority of the service's upstreams, this one
// included, is known to hear this sidecar. A bundle that raises the majority
// does not end an earlier time sooner: who takes flows over waits for longer
// than that since it last heard this sidecar under the same bundle. The caller
// holds the lock.
func (ps *peers) fence() {
	need := majority(len(ps.voters)+1) - 1
	ps.alone.Store(len(ps.voters) == 0)
	if need == 0 {
		return
	}
	hears := make([]int64, 0, len(ps.voters))
	for _, u := range ps.voters {
		if p := ps.byID[u]; !p.hears.IsZero() {
			hears = append(hears, p.hears.UnixNano())
		}
	}
	if len(hears) < need {
		return
	}
	slices.Sort(hears)
	until := hears[len(hears)-need] + int64(FenceTimeout)
	ps.fenceAt.Store(max(until, ps.fenceAt.Load()))
}

// majority returns how many of n are more than half.
func majority(n int) int {
	return n/2 + 1
}

// listed takes in which upstreams are missing from the platform's list.
func (ps *peers) listed(now time.Time, gone []bundle.UpstreamID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for u, p := range ps.byID {
		if p.gone && !containsUpstream(gone, u) {
			p.gone = false
			ps.byID[u] = p
		}
	}
	for _, u := range gone {
		p := ps.byID[u]
		if p.gone || u == ps.self {
			continue
		}
		p.gone, p.goneFrom = true, now
		ps.byID[u] = p
	}
	ps.anyGone.Store(len(gone) > 0)
	ps.settle(now)
}

// unsettle makes the sidecar wait for a whole guard time again.
func (ps *peers) unsettle(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.settled = time.Time{}
	ps.settle(now)
}

// settle notes since when each live member acts on the order in force. The caller holds the lock.
func (ps *peers) settle(now time.Time) {
	agreed := ps.order > 0
	for _, u := range ps.members {
		p := ps.byID[u]
		if p.gone {
			continue
		}
		agreed = agreed && p.report.Version >= ps.order
	}
	if !agreed {
		ps.settled = time.Time{}
		return
	}
	if ps.settled.IsZero() {
		ps.settled = now
	}
}

// know reports whether each live member knows that the bundle with this version exists.
func (ps *peers) know(now time.Time, version uint64) bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, u := range ps.members {
		p := ps.byID[u]
		if !p.gone && !ps.silent(now, p) && p.report.Highest < version {
			return false
		}
	}
	return true
}

// agreedFor returns how long each live member has acted on the order in force.
func (ps *peers) agreedFor(now time.Time) time.Duration {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	if ps.settled.IsZero() {
		return -1
	}
	return now.Sub(ps.settled)
}

// fenced reports whether others may have taken over, because none has heard of this sidecar for FenceTimeout.
func (ps *peers) fenced(now time.Time) bool {
	return now.UnixNano() >= ps.fenceAt.Load() && !ps.alone.Load()
}

// lost reports whether an upstream that may have run requests left the bundle within d.
func (ps *peers) lost(now time.Time, d time.Duration) bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return !ps.removed.IsZero() && now.Sub(ps.removed) < d
}

// over reports whether the upstream has been gone for so long that others take
// over its flows. One that was not known to act on the order in force may count
// on another majority, and is never over.
func (ps *peers) over(now time.Time, u bundle.UpstreamID, after time.Duration) bool {
	if !ps.anyGone.Load() {
		return false
	}
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	p := ps.byID[u]
	return p.gone && p.report.Version >= ps.order && now.Sub(p.goneFrom) >= after && now.Sub(p.heard) >= after
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
// returns none when less than half of the others are heard, since then this
// sidecar may be the one that is cut off.
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

// silent reports whether no report of a member arrived for SuspectTimeout. The caller holds the lock.
func (ps *peers) silent(now time.Time, p peer) bool {
	last := p.heard
	if last.Before(p.joined) {
		last = p.joined
	}
	return now.Sub(last) >= SuspectTimeout
}

// recent lists the peers whose reports arrived within FenceTimeout.
func (ps *peers) recent(now time.Time) []bundle.UpstreamID {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var ids []bundle.UpstreamID
	for _, u := range ps.members {
		if p := ps.byID[u]; !p.heard.IsZero() && now.Sub(p.heard) < FenceTimeout {
			ids = append(ids, u)
		}
	}
	return ids
}

func containsUpstream(ids []bundle.UpstreamID, u bundle.UpstreamID) bool {
	for _, id := range ids {
		if id == u {
			return true
		}
	}
	return false
}
