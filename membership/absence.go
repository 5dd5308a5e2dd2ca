package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// maxHeartbeatDelay is how much later than its interval a heartbeat arrives at most
// while the link is whole.
const maxHeartbeatDelay = 150 * time.Millisecond

// UpdateAbsent takes note of which sidecars are absent at now. It is to be called
// whenever heartbeats were taken in, so that Absent tells since when.
func (t *Table) UpdateAbsent(now time.Duration) {
	for h, p := range t.peers {
		if p.Heartbeat.Role != Sidecar || !t.isAbsent(now, p) {
			delete(t.absentSince, h)
			continue
		}
		if _, recorded := t.absentSince[h]; !recorded {
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

func (t *Table) isAbsent(now time.Duration, sidecar *Peer) bool {
	if sidecar.Heartbeat.Stopping || !t.overdue(now, sidecar) || !t.othersSeenAfterDue(sidecar) {
		return false
	}
	confirmed := t.isDirect(sidecar)
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
	return p != nil && !t.isDirect(p) && !p.Heartbeat.Stopping && !t.alive(now, p) && t.absentSince[h] == 0
}

// overdue reports whether a heartbeat of a sidecar is overdue here. What balancers of
// another data centre say of it does not do alone: they may have missed two heartbeats
// and hear it again by now.
func (t *Table) overdue(now time.Duration, sidecar *Peer) bool {
	if t.isDirect(sidecar) {
		return now-sidecar.LastSeen >= SuspectAfter
	}
	return now-sidecar.LastSeen >= remoteAloneAfter
}

// othersSeenAfterDue reports whether at least half of the others were heard after the
// sidecar's next heartbeat was due: those of this data centre for a sidecar that
// is heard itself, all for one that is known by digests, or when there are no others
// here. Otherwise this process may be the one that is cut off.
func (t *Table) othersSeenAfterDue(sidecar *Peer) bool {
	if !t.isDirect(sidecar) {
		seen, others := t.countSeen(sidecar, sidecar.LastSeen+HeartbeatsPerRemoteDigest*HeartbeatInterval+maxHeartbeatDelay, false)
		return seen > 0 && 2*seen >= others
	}
	due := sidecar.LastSeen + HeartbeatInterval + maxHeartbeatDelay
	seen, others := t.countSeen(sidecar, due, true)
	if others == 0 {
		seen, others = t.countSeen(sidecar, due, false)
	}
	return seen > 0 && 2*seen >= others
}

// countSeen returns how many processes other than the given one there are, and
// how many of them were heard at since or later; only those of this data centre when near is true.
func (t *Table) countSeen(except *Peer, since time.Duration, local bool) (seen, others int) {
	for _, p := range t.peers {
		if p == except || p.Heartbeat.Stopping || local && p.Heartbeat.DataCentre != t.cfg.DataCentre {
			continue
		}
		others++
		if p.LastSeen >= since {
			seen++
		}
	}
	return seen, others
}

// AdjustForPause leaves a pause of this process out of the silence of the others.
func (t *Table) AdjustForPause(now, pause time.Duration) {
	for _, p := range t.peers {
		p.LastSeen = min(now, p.LastSeen+pause)
	}
	t.remoteSidecarSeen = min(now, t.remoteSidecarSeen+pause)
}
