package converge

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxSuspects = 64
	// maxSurplus is the number of dialled connections beyond Config.Neighbours that are kept until trimmed.
	maxSurplus = 4
	// trimInterval is the mean time after which one surplus connection is closed.
	trimInterval = 10 * time.Second
	// maxMissedDigests is the number of digest intervals without a digest after
	// which a dialled link no longer counts towards Config.Neighbours.
	maxMissedDigests = 2
)

// link is the connection to one peer.
type link struct {
	dialled       bool // true if this process dialled
	connected     bool
	since         time.Time // start of the dial or of the connection
	lastReceived  time.Time // last digest from the peer
	lastSent      time.Time // last digest to the peer
	digest        Digest    // last one received
	replied       bool      // the peer has replied in the current synchronization round
	fetchFailedAt time.Time // when a fetch from the peer last failed
}

// neighbours holds the links to peers and the suspected peers. A peer is
// suspected if it could not be reached or its connection broke. It is not
// considered dead, but dialled again until it is connected or no longer listed.
type neighbours struct {
	seeds    []Peer          // never change
	peers    map[string]Peer // seeds and listed processes, without this one
	names    []string        // keys of peers in ascending order
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

// setPeers replaces the listed peers. Seeds that the list lacks stay peers, since the list may be wrong.
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

// connectedNames returns the names of the connected peers in ascending order.
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

// dialledNames returns the names of the peers that this process dialled, in ascending order.
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

// reachableCount estimates the number of reachable processes, including this
// one, from the ratio of connected to suspected peers.
func (n *neighbours) reachableCount() int {
	connected := len(n.connectedNames())
	if connected == 0 {
		return 1
	}
	return 1 + len(n.peers)*connected/(connected+len(n.suspects))
}

func (n *neighbours) suspect(now time.Time, name string) {
	_, known := n.peers[name]
	if known && len(n.suspects) < maxSuspects {
		n.suspects[name] = now
	}
}

// addLink records a connection to a peer, which is no longer suspected.
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

// removeLink records that a connection ended or a dial failed. The peer becomes
// suspected unless it closed the connection gracefully.
func (n *neighbours) removeLink(now time.Time, name string, graceful bool) {
	delete(n.links, name)
	if !graceful {
		n.suspect(now, name)
	}
}

// maintain updates the links and returns the peers to dial and to disconnect.
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

// silentPeers returns the peers from which no digest arrived within the peer timeout.
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

// dropSurplus removes random dialled links above Config.Neighbours: one when a
// trim is due, and all above maxSurplus. It returns the connected ones.
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

// rotate removes a random dialled link when a rotation is due and returns its peer.
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

// peersToDial returns the peers to dial to have Config.Neighbours dialled links:
// at least one to another data centre, the rest within this one as far as
// possible. Suspected peers come last. A link that missed maxMissedDigests does
// not count.
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

// dueSuspects returns up to count suspected peers that are due for a retry, the
// least recently tried first.
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

// unlinkedPeers returns the peers without a link that are neither suspected nor
// leaving, split into those of the given data centre and the others.
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

// retrySuspect returns one suspected peer when a retry is due, so that the end of
// a network partition is detected.
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

// jitter returns a random duration between 3/4 and 5/4 of d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d/2)+1))
}
