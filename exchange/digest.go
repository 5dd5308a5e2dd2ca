package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"go.uber.org/zap"
)

const (
	// digestNearInterval is the time between two digests for the own data centre.
	digestNearInterval = 2 * membership.BeatInterval
	// digestFarInterval is the time between two digests for other data centres.
	digestFarInterval = membership.FarEvery * membership.BeatInterval
	// urgentDigestInterval is the time between two digests while there is news that cannot wait.
	urgentDigestInterval = 2 * tickInterval
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
	lastFull    time.Duration // when a digest last told of all processes that were heard
	lastPartial time.Duration // when one last told of those that changed
	urgent      bool          // there is news that cannot wait
}

// markUrgent notes news of a process that others should know soon: the own data centre,
// and the others when this process heard it itself.
func (d *digests) markUrgent(direct bool) {
	d.sidecars.urgent = true
	d.near.urgent = d.near.urgent || !direct
	d.far.urgent = d.far.urgent || direct
}

// due returns what to tell now of the processes that were heard after a time, or nothing.
func (s *schedule) due(now, interval time.Duration, peersSince func(since time.Duration) []*membership.Peer) []*membership.Peer {
	switch {
	case now-s.lastFull >= interval:
		list := peersSince(s.lastFull)
		*s = schedule{lastFull: now, lastPartial: now}
		return list
	case s.urgent && now-s.lastPartial >= urgentDigestInterval:
		list := membership.Changed(peersSince(s.lastFull), s.lastPartial)
		s.lastPartial, s.urgent = now, false
		return list
	}
	return nil
}

// sendDueDigests sends the digests that are due.
func (n *Node) sendDueDigests(now time.Duration) {
	if n.cfg.Role != membership.Balancer {
		return
	}
	n.mu.Lock()
	empty := n.emptyDigest(now)
	forSidecars := fillDigests(now, empty, n.digests.sidecars.due(now, digestNearInterval, n.members.Learned))
	sidecars := n.members.Charges(now)
	var forNear, forFar []membership.Digest
	var near, far []registry.Host
	if n.members.Speaks(now) {
		first := empty
		if now-n.digests.far.lastFull >= digestFarInterval { // those out of turn lack this process, which has not changed
			own := n.ownHeartbeat(now)
			first = empty.WithReport(n.self, &own, 0)
		}
		forNear = fillDigests(now, empty, n.digests.near.due(now, digestNearInterval, n.members.LearnedFar))
		forFar = fillDigests(now, first, n.digests.far.due(now, digestFarInterval, n.members.HeardItself))
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

// receiveDigest takes in a digest.
func (n *Node) receiveDigest(body []byte, from registry.Host) {
	var d membership.Digest
	if !n.decode(body, &d, from) {
		return
	}
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	relayTo := n.relayTargets(now, &d, from)
	n.members.StoreHeard(now, d.StoreAge)
	n.members.NoteSpeaker(now, from, d.DataCentre)
	changes := membership.News{Ahead: n.members.NoteFormer(from, &d, n.knowledge())}
	var restarted []int
	for i := range d.Reports {
		news := n.applyReport(now, &d, i)
		changes = changes.Or(news)
		if news.Restarted {
			restarted = append(restarted, i)
		}
	}
	if changes.Changed {
		n.digests.markUrgent(false)
	}
	n.stale = true
	n.mu.Unlock()
	for _, h := range relayTo {
		n.Send(append([]byte{byte(kindDigest)}, body...), h)
	}
	n.followUp(now, changes)
	for _, i := range restarted {
		b := d.Beat(i)
		n.peerStarted(d.Reports[i].Host, &b)
	}
}

// relayTargets returns the delegates of this data centre when a digest of another
// one came here by mistake: the sender knows others as delegates, as after a time
// of silence, and only these tell the data centre. The caller holds the lock.
func (n *Node) relayTargets(now time.Duration, d *membership.Digest, from registry.Host) []registry.Host {
	far := d.DataCentre != n.cfg.DataCentre && n.members.DataCentre(from) != n.cfg.DataCentre
	if !far || n.cfg.Role != membership.Balancer || n.members.Speaks(now) {
		return nil
	}
	return n.members.Delegates(now, n.cfg.DataCentre)
}

// applyReport takes in one report. The caller holds the lock.
func (n *Node) applyReport(now time.Duration, d *membership.Digest, i int) membership.News {
	r, b := &d.Reports[i], d.Beat(i)
	age := time.Duration(r.Age) * time.Millisecond
	news := n.members.HeardOf(now, age, r.Host, b, n.knowledge())
	if news.Known && b.Role == membership.Sidecar {
		n.loadsUpdated = append(n.loadsUpdated, r.Host)
	}
	return news
}

// followUp does what is to be done at once after something was heard.
func (n *Node) followUp(now time.Duration, news membership.News) {
	if news.Ahead {
		n.triggerPull()
	}
	if news.Named {
		n.TriggerHeartbeat()
	}
	if news.Changed {
		n.refresh(now)
	}
}

// peerStarted notes that another process has started.
func (n *Node) peerStarted(h registry.Host, b *membership.Beat) {
	n.logStart(h, b)
	if b.Role == membership.Balancer {
		n.cfg.Handler.BalancerStarted(h)
	}
}

func (n *Node) logStart(h registry.Host, b *membership.Beat) {
	n.cfg.Log.Emit(event.PeerStarted, zap.Stringer("peer", h), zap.Stringer("role", b.Role), zap.Uint32("incarnation", b.Incarnation))
}
