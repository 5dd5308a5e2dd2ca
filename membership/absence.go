package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// linkSlack is how much later than its interval a heartbeat arrives at most
// while the link is whole.
const linkSlack = 150 * time.Millisecond

// UpdateAbsent takes note of which sidecars are absent at now. It is to be called
// whenever heartbeats were taken in, so that Absent tells since when.
func (t *Table) UpdateAbsent(now time.Duration) {
	for h, p := range t.peers {
		if p.Heartbeat.Role != Sidecar || !t.absent(now, p) {
			delete(t.absentSince, h)
			continue
		}
		if _, noted := t.absentSince[h]; !noted {
			t.absentSince[h] = now
		}
	}
	for h := range t.absentSince {
		if t.peers[h] == nil {
			delete(t.absentSince, h)
		}
	}
}

// AbsentSince returns since when the sidecar on a host has been absent: it fell
// silent here without having said that it stops, and no balancer of its data centre
// that this process hears still hears it. Of another data centre, at least one has
// to say so, since silence may be that of the delegates. The zero value stands for
// a sidecar that is not absent.
func (t *Table) AbsentSince(h registry.Host) time.Duration {
	return t.absentSince[h]
}

func (t *Table) absent(now time.Duration, sidecar *Peer) bool {
	if sidecar.Heartbeat.Stopping || !t.missed(now, sidecar) || !t.heardAfter(sidecar) {
		return false
	}
	confirmed := t.often(sidecar)
	for _, p := range t.peers {
		if p.Heartbeat.Role != Balancer || p.Heartbeat.DataCentre != sidecar.Heartbeat.DataCentre || !t.alive(now, p) {
			continue
		}
		if !slices.Contains(p.Heartbeat.Lost, sidecar.Host) {
			return false
		}
		confirmed = true
	}
	return confirmed
}

// Suspected reports whether the sidecar on a host fell silent here, did not say
// that it stops, and nobody who hears it itself confirms that it is gone: the
// digests that tell of it may be late or lost.
func (t *Table) Suspected(now time.Duration, h registry.Host) bool {
	p := t.peers[h]
	return p != nil && !t.often(p) && !p.Heartbeat.Stopping && !t.alive(now, p) && t.absentSince[h] == 0
}

// missed reports whether a heartbeat of a sidecar is overdue here. What balancers of
// another data centre say of it does not do alone: they may have missed two heartbeats
// and hear it again by now.
func (t *Table) missed(now time.Duration, sidecar *Peer) bool {
	if t.often(sidecar) {
		return now-sidecar.LastSeen >= SuspectAfter
	}
	return now-sidecar.LastSeen >= farAlone
}

// heardAfter reports whether at least half of the others were heard after the
// sidecar's next heartbeat was due: those of this data centre for a sidecar that
// is heard itself, all for one that is known by digests, or when there are no others
// here. Otherwise this process may be the one that is cut off.
func (t *Table) heardAfter(sidecar *Peer) bool {
	if !t.often(sidecar) {
		heard, others := t.countHeard(sidecar, sidecar.LastSeen+HeartbeatsPerRemoteDigest*HeartbeatInterval+linkSlack, false)
		return heard > 0 && 2*heard >= others
	}
	due := sidecar.LastSeen + HeartbeatInterval + linkSlack
	heard, others := t.countHeard(sidecar, due, true)
	if others == 0 {
		heard, others = t.countHeard(sidecar, due, false)
	}
	return heard > 0 && 2*heard >= others
}

// countHeard returns how many processes other than the given one there are, and
// how many of them were heard at since or later; only those of this data centre when near is true.
func (t *Table) countHeard(than *Peer, since time.Duration, near bool) (heard, others int) {
	for _, p := range t.peers {
		if p == than || p.Heartbeat.Stopping || near && p.Heartbeat.DataCentre != t.cfg.DataCentre {
			continue
		}
		others++
		if p.LastSeen >= since {
			heard++
		}
	}
	return heard, others
}

// AdjustForPause leaves a pause of this process out of the silence of the others.
func (t *Table) AdjustForPause(now, gap time.Duration) {
	for _, p := range t.peers {
		p.LastSeen = min(now, p.LastSeen+gap)
	}
	t.sidecarNews = min(now, t.sidecarNews+gap)
}
