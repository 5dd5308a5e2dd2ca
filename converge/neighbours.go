package converge

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the peers that are remembered as unreachable.
	maxSuspects = 64
	// maxSurplus is how many connections above Config.Neighbours a process may have dialled.
	maxSurplus = 4
	// trimInterval is the time between two connections that are closed as there are too many.
	trimInterval = 10 * time.Second
	// maxMissedDigests is after how many intervals without a digest a link no longer counts as good.
	maxMissedDigests = 2
)

// link is the connection to one peer.
type link struct {
	dialled       bool // by this process
	connected     bool
	since         time.Time // of the dial or the connection
	lastReceived  time.Time // of the last digest
	lastSent      time.Time // of the last digest to the peer
	digest        Digest    // the last one received
	replied       bool      // a digest came since the process began to ask
	fetchFailedAt time.Time // when a fetch from the peer last failed
}

// neighbours holds the links to peers and who is suspected. A suspected peer
// is one that could not be reached; it is not taken for dead, and is dialled
// again until it answers or the list drops it.
type neighbours struct {
	seeds    []Peer          // never change
	peers    map[string]Peer // the others in the list and the seeds
	names    []string        // the keys of peers in order
	links    map[string]*link
	suspects map[string]time.Time // when the peer was last tried
	retryAt  time.Time
	rotateAt time.Time
	trimAt   time.Time
}

func newNeighbours(seeds []Peer) neighbours {
	return neighbours{
		seeds:    seeds,
		peers:    make(map[string]Peer),
		links:    make(map[string]*link),
		suspects: make(map[string]time.Time),
	}
}

// setPeers takes in a list. Seeds stay peers when the list lacks them, since the list may be wrong.
func (n *neighbours) setPeers(self string, peers []Peer) {
	n.peers = make(map[string]Peer, len(peers))
	for _, p := range slices.Concat(n.seeds, peers) {
		if p.Name != self {
			n.peers[p.Name] = p
		}
	}
	n.names = slices.Sorted(maps.Keys(n.peers))
	for name := range n.suspects {
		if _, ok := n.peers[name]; !ok {
			delete(n.suspects, name)
		}
	}
}

// connectedNames returns the names of connected peers in order.
func (n *neighbours) connectedNames() []string {
	var names []string
	for name, l := range n.links {
		if l.connected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// dialledNames returns the names of peers that this process dialled, in order.
func (n *neighbours) dialledNames() []string {
	var names []string
	for name, l := range n.links {
		if l.dialled {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reachableCount estimates how many processes can be reached, this one included.
func (n *neighbours) reachableCount() int {
	up := len(n.connectedNames())
	if up == 0 {
		return 1
	}
	return 1 + len(n.peers)*up/(up+len(n.suspects))
}

func (n *neighbours) suspect(now time.Time, name string) {
	_, known := n.peers[name]
	if known && len(n.suspects) < maxSuspects {
		n.suspects[name] = now
	}
}

// addLink notes a connection.
func (n *neighbours) addLink(now time.Time, name string) *link {
	l := n.links[name]
	if l == nil {
		l = &link{}
		n.links[name] = l
	}
	l.connected = true
	l.since, l.lastReceived, l.lastSent = now, now, now
	delete(n.suspects, name)
	return l
}

// removeLink notes a connection that ended or a dial that failed. A peer that
// closed the connection on purpose is not suspected.
func (n *neighbours) removeLink(now time.Time, name string, graceful bool) {
	delete(n.links, name)
	if !graceful {
		n.suspect(now, name)
	}
}

// maintain returns the peers to dial and the peers to disconnect from.
func (n *neighbours) maintain(now time.Time, cfg Config) (dial, drop []string) {
	drop = n.silentPeers(now, cfg)
	for _, name := range drop {
		n.removeLink(now, name, false)
	}
	drop = append(drop, n.dropSurplus(now, cfg)...)
	drop = append(drop, n.rotate(now, cfg)...)
	dial = n.peersToDial(now, cfg)
	if len(dial) == 0 {
		dial = n.retrySuspect(now, cfg)
	}
	for _, name := range dial {
		n.links[name] = &link{dialled: true, since: now, lastReceived: now}
	}
	return dial, drop
}

// silentPeers returns the peers that told nothing for the peer timeout.
func (n *neighbours) silentPeers(now time.Time, cfg Config) []string {
	var names []string
	for name, l := range n.links {
		if now.Sub(l.lastReceived) > cfg.PeerTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// dropSurplus takes out dialled links above the number wanted: one when a trim is
// due, and all that exceed the limit.
func (n *neighbours) dropSurplus(now time.Time, cfg Config) []string {
	limit := cfg.Neighbours + maxSurplus
	names := n.dialledNames()
	if len(names) > cfg.Neighbours && !now.Before(n.trimAt) {
		n.trimAt = now.Add(jitter(cfg.Rand, trimInterval))
		limit = min(limit, len(names)-1)
	}
	var drop []string
	for len(names) > limit {
		i := cfg.Rand.IntN(len(names))
		if n.links[names[i]].connected {
			drop = append(drop, names[i])
		}
		delete(n.links, names[i])
		names = slices.Delete(names, i, i+1)
	}
	return drop
}

// rotate takes out one dialled link when it is due.
func (n *neighbours) rotate(now time.Time, cfg Config) []string {
	if n.rotateAt.IsZero() {
		n.rotateAt = now.Add(jitter(cfg.Rand, cfg.RotateInterval))
	}
	if now.Before(n.rotateAt) {
		return nil
	}
	n.rotateAt = now.Add(jitter(cfg.Rand, cfg.RotateInterval))
	names := n.dialledNames()
	if len(names) < cfg.Neighbours || len(n.peers) <= cfg.Neighbours {
		return nil
	}
	name := names[cfg.Rand.IntN(len(names))]
	delete(n.links, name)
	return []string{name}
}

// peersToDial returns peers to dial so that enough are dialled: one of another data
// centre, the rest of the same one where there are enough. Suspected peers
// come last. A link that missed a digest does not count.
func (n *neighbours) peersToDial(now time.Time, cfg Config) []string {
	local, remote := 0, 0
	for name, l := range n.links {
		switch {
		case !l.dialled || now.Sub(l.lastReceived) > maxMissedDigests*cfg.DigestInterval:
		case n.peers[name].DataCentre == cfg.DataCentre:
			local++
		default:
			remote++
		}
	}
	missing := cfg.Neighbours - local - remote
	if missing <= 0 {
		return nil
	}
	localFree, remoteFree := n.unlinkedPeers(cfg.DataCentre)
	var dial []string
	if remote == 0 {
		dial = append(dial, takeRandom(cfg.Rand, &remoteFree, 1)...)
	}
	dial = append(dial, takeRandom(cfg.Rand, &localFree, missing-len(dial))...)
	dial = append(dial, takeRandom(cfg.Rand, &remoteFree, missing-len(dial))...)
	return append(dial, n.dueSuspects(now, cfg, missing-len(dial))...)
}

// dueSuspects returns up to count suspected peers that are due for a retry, the longest untried first.
func (n *neighbours) dueSuspects(now time.Time, cfg Config, count int) []string {
	var names []string
	for name, tried := range n.suspects {
		_, linked := n.links[name]
		if !linked && now.Sub(tried) >= cfg.RetryInterval/2 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(n.suspects[a].Compare(n.suspects[b]), cmp.Compare(a, b))
	})
	return names[:min(len(names), max(count, 0))]
}

// unlinkedPeers returns the peers without a link that are neither suspected nor leaving.
func (n *neighbours) unlinkedPeers(dataCentre string) (local, remote []string) {
	for _, name := range n.names {
		p := n.peers[name]
		_, linked := n.links[name]
		_, suspected := n.suspects[name]
		switch {
		case linked || suspected || p.Leaving:
		case p.DataCentre == dataCentre:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	return local, remote
}

// retrySuspect returns one suspected peer when a retry is due, so that a cut that ends is noticed.
func (n *neighbours) retrySuspect(now time.Time, cfg Config) []string {
	if now.Before(n.retryAt) {
		return nil
	}
	n.retryAt = now.Add(jitter(cfg.Rand, cfg.RetryInterval))
	return n.dueSuspects(now, cfg, 1)
}

// takeRandom removes up to count random names from free and returns them.
func takeRandom(r *rand.Rand, free *[]string, count int) []string {
	var names []string
	for len(names) < count && len(*free) > 0 {
		i := r.IntN(len(*free))
		names = append(names, (*free)[i])
		*free = slices.Delete(*free, i, i+1)
	}
	return names
}

// jitter returns a time from three quarters to five quarters of d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d/2)+1))
}
