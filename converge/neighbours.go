package converge

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// suspectLimit bounds the peers that are remembered as unreachable.
	suspectLimit = 64
	// surplusLimit is how many connections above Config.Neighbours a process may have dialled.
	surplusLimit = 4
	// trimInterval is the time between two connections that are closed as there are too many.
	trimInterval = 10 * time.Second
	// missedDigests is after how many intervals without a digest a link no longer counts as good.
	missedDigests = 2
)

// link is the connection to one peer.
type link struct {
	dialled  bool // by this process
	up       bool
	since    time.Time // of the dial or the connection
	heard    time.Time // of the last digest
	told     time.Time // of the last digest to the peer
	digest   Digest    // the last one received
	answered bool      // a digest came since the process began to ask
	failed   time.Time // when a fetch from the peer last failed
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

// up returns the names of connected peers in order.
func (n *neighbours) up() []string {
	var names []string
	for name, l := range n.links {
		if l.up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// dialled returns the names of peers that this process dialled, in order.
func (n *neighbours) dialled() []string {
	var names []string
	for name, l := range n.links {
		if l.dialled {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reach estimates how many processes can be reached, this one included.
func (n *neighbours) reach() int {
	up := len(n.up())
	if up == 0 {
		return 1
	}
	return 1 + len(n.peers)*up/(up+len(n.suspects))
}

func (n *neighbours) suspect(now time.Time, name string) {
	_, known := n.peers[name]
	if known && len(n.suspects) < suspectLimit {
		n.suspects[name] = now
	}
}

// connected notes a connection.
func (n *neighbours) connected(now time.Time, name string) *link {
	l := n.links[name]
	if l == nil {
		l = &link{}
		n.links[name] = l
	}
	l.up = true
	l.since, l.heard, l.told = now, now, now
	delete(n.suspects, name)
	return l
}

// disconnected notes a connection that ended or a dial that failed. A peer that
// closed the connection on purpose is not suspected.
func (n *neighbours) disconnected(now time.Time, name string, closed bool) {
	delete(n.links, name)
	if !closed {
		n.suspect(now, name)
	}
}

// maintain returns the peers to dial and the peers to disconnect from.
func (n *neighbours) maintain(now time.Time, cfg Config) (dial, drop []string) {
	drop = n.silent(now, cfg)
	for _, name := range drop {
		n.disconnected(now, name, false)
	}
	drop = append(drop, n.surplus(now, cfg)...)
	drop = append(drop, n.rotate(now, cfg)...)
	dial = n.fill(now, cfg)
	if len(dial) == 0 {
		dial = n.retry(now, cfg)
	}
	for _, name := range dial {
		n.links[name] = &link{dialled: true, since: now, heard: now}
	}
	return dial, drop
}

// silent returns the peers that told nothing for the peer timeout.
func (n *neighbours) silent(now time.Time, cfg Config) []string {
	var names []string
	for name, l := range n.links {
		if now.Sub(l.heard) > cfg.PeerTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// surplus takes out dialled links above the number wanted: one when a trim is
// due, and all that exceed the limit.
func (n *neighbours) surplus(now time.Time, cfg Config) []string {
	limit := cfg.Neighbours + surplusLimit
	names := n.dialled()
	if len(names) > cfg.Neighbours && !now.Before(n.trimAt) {
		n.trimAt = now.Add(jitter(cfg.Rand, trimInterval))
		limit = min(limit, len(names)-1)
	}
	var drop []string
	for len(names) > limit {
		i := cfg.Rand.IntN(len(names))
		if n.links[names[i]].up {
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
	names := n.dialled()
	if len(names) < cfg.Neighbours || len(n.peers) <= cfg.Neighbours {
		return nil
	}
	name := names[cfg.Rand.IntN(len(names))]
	delete(n.links, name)
	return []string{name}
}

// fill returns peers to dial so that enough are dialled: one of another data
// centre, the rest of the same one where there are enough. Suspected peers
// come last. A link that missed a digest does not count.
func (n *neighbours) fill(now time.Time, cfg Config) []string {
	near, far := 0, 0
	for name, l := range n.links {
		switch {
		case !l.dialled || now.Sub(l.heard) > missedDigests*cfg.DigestInterval:
		case n.peers[name].DataCentre == cfg.DataCentre:
			near++
		default:
			far++
		}
	}
	missing := cfg.Neighbours - near - far
	if missing <= 0 {
		return nil
	}
	nearFree, farFree := n.free(cfg.DataCentre)
	var dial []string
	if far == 0 {
		dial = append(dial, take(cfg.Rand, &farFree, 1)...)
	}
	dial = append(dial, take(cfg.Rand, &nearFree, missing-len(dial))...)
	dial = append(dial, take(cfg.Rand, &farFree, missing-len(dial))...)
	return append(dial, n.doubted(now, cfg, missing-len(dial))...)
}

// doubted returns up to count suspected peers that are due for a retry, the longest untried first.
func (n *neighbours) doubted(now time.Time, cfg Config, count int) []string {
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

// free returns the peers without a link that are neither suspected nor leaving.
func (n *neighbours) free(dataCentre string) (near, far []string) {
	for _, name := range n.names {
		p := n.peers[name]
		_, linked := n.links[name]
		_, suspected := n.suspects[name]
		switch {
		case linked || suspected || p.Leaving:
		case p.DataCentre == dataCentre:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	return near, far
}

// retry returns one suspected peer when a retry is due, so that a cut that ends is noticed.
func (n *neighbours) retry(now time.Time, cfg Config) []string {
	if now.Before(n.retryAt) {
		return nil
	}
	n.retryAt = now.Add(jitter(cfg.Rand, cfg.RetryInterval))
	return n.doubted(now, cfg, 1)
}

// take removes up to count random names from free and returns them.
func take(r *rand.Rand, free *[]string, count int) []string {
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
