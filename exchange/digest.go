package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"go.uber.org/zap"
)

const (
	// digestNear is the time between two digests for the own data centre.
	digestNear = 2 * membership.BeatInterval
	// digestFar is the time between two digests for other data centres.
	digestFar = membership.FarEvery * membership.BeatInterval
	// digestPause is the time between two digests while there is news that cannot wait.
	digestPause = 2 * tick
	// maxReports is how many reports fit into one datagram that no link has to split,
	// with names of data centres of 20 bytes.
	maxReports = 18
)

// digests is when a balancer last sent what. The node's lock guards it.
type digests struct {
	sidecars schedule // those that the balancer is to tell
	near     schedule // the other balancers of the data centre; only from delegates
	far      schedule // the delegates of other data centres; only from delegates
}

// schedule is when digests go to one side.
type schedule struct {
	all     time.Duration // when a digest last told of all processes that were heard
	some    time.Duration // when one last told of those that changed
	pressed bool          // there is news that cannot wait
}

// press notes news of a process that others should know soon: the own data centre,
// and the others when this process heard it itself.
func (d *digests) press(itself bool) {
	d.sidecars.pressed = true
	d.near.pressed = d.near.pressed || !itself
	d.far.pressed = d.far.pressed || itself
}

// due returns what to tell now of the processes that were heard after a time, or nothing.
func (s *schedule) due(now, interval time.Duration, heard func(since time.Duration) []*membership.Peer) []*membership.Peer {
	switch {
	case now-s.all >= interval:
		list := heard(s.all)
		*s = schedule{all: now, some: now}
		return list
	case s.pressed && now-s.some >= digestPause:
		list := membership.Changed(heard(s.all), s.some)
		s.some, s.pressed = now, false
		return list
	}
	return nil
}

// tellDigests sends the digests that are due.
func (n *Node) tellDigests(now time.Duration) {
	if n.cfg.Role != membership.Balancer {
		return
	}
	n.mu.Lock()
	empty := n.emptyDigest(now)
	forSidecars := fillDigests(now, empty, n.digests.sidecars.due(now, digestNear, n.members.Learned))
	sidecars := n.members.Charges(now)
	var forNear, forFar []membership.Digest
	var near, far []registry.Host
	if n.members.Speaks(now) {
		first := empty
		if now-n.digests.far.all >= digestFar { // those out of turn lack this process, which has not changed
			own := n.ownBeat(now)
			first = empty.WithReport(n.self, &own, 0)
		}
		forNear = fillDigests(now, empty, n.digests.near.due(now, digestNear, n.members.LearnedFar))
		forFar = fillDigests(now, first, n.digests.far.due(now, digestFar, n.members.HeardItself))
		near, far = n.members.Fellows(now), n.members.Partners(now)
	}
	n.mu.Unlock()
	n.sendDigests(forSidecars, sidecars)
	n.sendDigests(forNear, near)
	n.sendDigests(forFar, far)
}

// emptyDigest returns a digest without reports. The caller holds the lock.
func (n *Node) emptyDigest(now time.Duration) membership.Digest {
	return membership.Digest{
		DataCentre: n.cfg.DataCentre,
		Version:    n.directory.Version(),
		State:      n.directory.State(),
		FormerHash: n.directory.FormerHash(),
		StoreAge:   n.members.StoreAge(now),
	}
}

// fillDigests returns digests that tell of processes, each of which fits into one
// datagram. They begin with what first has.
func fillDigests(now time.Duration, first membership.Digest, peers []*membership.Peer) []membership.Digest {
	empty := first
	empty.Reports = nil
	list := []membership.Digest{first}
	for _, p := range peers {
		last := &list[len(list)-1]
		if len(last.Reports) >= maxReports {
			list = append(list, empty)
			last = &list[len(list)-1]
		}
		*last = last.WithReport(p.Host, &p.Beat, now-p.Heard)
	}
	return list
}

// sendDigests sends digests that hold reports to the processes on hosts.
func (n *Node) sendDigests(list []membership.Digest, hosts []registry.Host) {
	for i := range list {
		if len(list[i].Reports) > 0 && len(hosts) > 0 {
			n.sendAll(kindDigest, &list[i], hosts)
		}
	}
}

// digested takes in a digest.
func (n *Node) digested(body []byte, from registry.Host) {
	var d membership.Digest
	if !n.decode(body, &d, from) {
		return
	}
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	delegates := n.misdirected(now, &d, from)
	n.members.StoreHeard(now, d.StoreAge)
	n.members.NoteSpeaker(now, from, d.DataCentre)
	all := membership.News{Ahead: n.members.NoteFormer(from, &d, n.knowledge())}
	var restarted []int
	for i := range d.Reports {
		news := n.heardOf(now, &d, i)
		all = all.Or(news)
		if news.Restarted {
			restarted = append(restarted, i)
		}
	}
	if all.Changed {
		n.digests.press(false)
	}
	n.stale = true
	n.mu.Unlock()
	for _, h := range delegates {
		n.Send(append([]byte{byte(kindDigest)}, body...), h)
	}
	n.act(now, all)
	for _, i := range restarted {
		b := d.Beat(i)
		n.started(d.Reports[i].Host, &b)
	}
}

// misdirected returns the delegates of this data centre when a digest of another
// one came here by mistake: the sender knows others as delegates, as after a time
// of silence, and only these tell the data centre. The caller holds the lock.
func (n *Node) misdirected(now time.Duration, d *membership.Digest, from registry.Host) []registry.Host {
	far := d.DataCentre != n.cfg.DataCentre && n.members.DataCentre(from) != n.cfg.DataCentre
	if !far || n.cfg.Role != membership.Balancer || n.members.Speaks(now) {
		return nil
	}
	return n.members.Delegates(now, n.cfg.DataCentre)
}

// heardOf takes in one report. The caller holds the lock.
func (n *Node) heardOf(now time.Duration, d *membership.Digest, i int) membership.News {
	r, b := &d.Reports[i], d.Beat(i)
	age := time.Duration(r.Age) * time.Millisecond
	news := n.members.HeardOf(now, age, r.Host, b, n.knowledge())
	if news.Known && b.Role == membership.Sidecar {
		n.told = append(n.told, r.Host)
	}
	return news
}

// act does what is to be done at once after something was heard.
func (n *Node) act(now time.Duration, news membership.News) {
	if news.Ahead {
		n.askPeers()
	}
	if news.Named {
		n.TriggerHeartbeat()
	}
	if news.Changed {
		n.refresh(now)
	}
}

// started notes that another process has started.
func (n *Node) started(h registry.Host, b *membership.Beat) {
	n.logStart(h, b)
	if b.Role == membership.Balancer {
		n.cfg.Handler.BalancerStarted(h)
	}
}

func (n *Node) logStart(h registry.Host, b *membership.Beat) {
	n.cfg.Log.Emit(event.PeerStarted, zap.Stringer("peer", h), zap.Stringer("role", b.Role), zap.Uint32("incarnation", b.Incarnation))
}
