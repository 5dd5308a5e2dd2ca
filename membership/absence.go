package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// maxHeartbeatDelay is the maximum delay of a heartbeat or digest beyond its interval
// while the link works.
const maxHeartbeatDelay = 150 * time.Millisecond

// witnessTimeout is the silence after which the confirmation of a balancer that has not
// stopped is no longer required to take a sidecar for absent.
const witnessTimeout = 5 * time.Second

// stoppedTimeout is the silence after which a sidecar that announced a stop does not count
// as restarting any more. It is several times as long as a planned restart takes.
const stoppedTimeout = 12 * time.Second

// UpdateAbsent records which sidecars are absent at now. It must be called after
// heartbeats and digests are merged, so that AbsentSince is accurate.
func (t *Table) UpdateAbsent(now time.Duration) {
	t.clean = t.cleanReception(now)
	for h, p := range t.peers {
		since, recorded := t.absentSince[h]
		if p.Heartbeat.Role == Sidecar {
			t.recordDenial(now, p)
		}
		switch {
		case p.Heartbeat.Role == Sidecar && t.isAbsent(now, p):
			if !recorded {
				t.absentSince[h] = now
			}
		case recorded && !t.staysAbsent(now, p, since):
			delete(t.absentSince, h)
		}
	}
	for h := range t.absentSince {
		if t.peers[h] == nil {
			delete(t.absentSince, h)
		}
	}
}

// AbsentSince returns the time since which the sidecar on a host has been absent,
// or 0 when it is not absent. A sidecar of this data centre that announced a stop is absent
// when nothing arrived from it for stoppedTimeout. Any other one is absent when nothing arrived
// from it for its timeout, this process is not lossy, and each balancer of the
// sidecar's data centre that was seen within witnessTimeout reports it as lost in a recent
// heartbeat. Balancers that stop, that are lossy, or that are certainly absent themselves
// need not. At least one report is required, except that a balancer which has no other
// one to confirm the loss decides by its own unanswered queries. A sidecar of another
// data centre always needs a report, because the missing digests may be the fault of
// the delegates.
func (t *Table) AbsentSince(h registry.Host) time.Duration {
	return t.absentSince[h]
}

func (t *Table) isAbsent(now time.Duration, sidecar *Peer) bool {
	if t.Lossy(now) || !t.overdue(now, sidecar) || !t.othersSeenAfterDue(sidecar) {
		return false
	}
	if sidecar.Stopping() {
		return t.isDirect(sidecar) && now-sidecar.LastContact() >= stoppedTimeout
	}
	confirmed, denied, excused := t.verdicts(now, sidecar)
	switch {
	case denied:
		return false
	case !t.isDirect(sidecar):
		return confirmed
	case !t.clean:
		return false
	case confirmed && !excused:
		return true
	}
	// One that is known only from reports may have announced its stop before this process started.
	return sidecar.receivedDirectly() && sidecar.silenceCounts(now) && t.unansweredAlone(now, sidecar) && now-t.cfg.Started >= receptionWindow
}

// staysAbsent reports whether a sidecar that became absent at since stays so although a
// report of it is overdue by now: nothing arrived from it, and every balancer
// whose heartbeats arrive regularly confirms its loss.
func (t *Table) staysAbsent(now time.Duration, sidecar *Peer, since time.Duration) bool {
	if !t.isDirect(sidecar) || sidecar.Heartbeat.Stopping || t.Lossy(now) || sidecar.LastContact() >= since || !t.othersSeenAfterDue(sidecar) {
		return false
	}
	for _, p := range t.peers {
		if p.Heartbeat.Role == Balancer && t.alive(now, p) && !p.irregular(now, witnessWindow) && t.verdict(now, p, sidecar) == verdictOpen {
			return false
		}
	}
	return true
}

// verdicts returns whether any balancer of the sidecar's data centre confirms its loss, any
// one does not, and any one is excused.
func (t *Table) verdicts(now time.Duration, sidecar *Peer) (confirmed, denied, excused bool) {
	for _, p := range t.peers {
		if p.Heartbeat.Role != Balancer || p.Heartbeat.DataCentre != sidecar.Heartbeat.DataCentre {
			continue
		}
		switch t.verdict(now, p, sidecar) {
		case verdictLost:
			confirmed = true
		case verdictOpen:
			p.presence.wantedAt = now
			denied = true
		case verdictExcused:
			excused = true
		}
	}
	return confirmed, denied, excused
}

// verdict is what a balancer contributes to the decision whether a sidecar is absent.
type verdict int

const (
	verdictNone    verdict = iota // the balancer is no witness
	verdictLost                   // it confirms the loss
	verdictOpen                   // it does not confirm the loss, or its report is outdated
	verdictExcused                // it is gone or its link is bad, as measured by this process
)

// verdict returns that of a balancer of the sidecar's data centre.
func (t *Table) verdict(now time.Duration, balancer, sidecar *Peer) verdict {
	switch {
	case balancer.Stopping() || balancer.Heartbeat.Lossy || now-balancer.LastContact() >= witnessTimeout:
		return verdictNone
	case t.alive(now, balancer) && slices.Contains(balancer.Heartbeat.Lost, sidecar.Host):
		return verdictLost
	}
	switch {
	case t.isDirect(balancer) && t.clean && (balancer.irregular(now, witnessWindow) || !t.alive(now, balancer)):
		return verdictExcused
	case t.isDirect(balancer) || t.alive(now, balancer):
		return verdictOpen
	}
	return verdictNone
}

// Suspected reports whether a sidecar timed out without an announced stop, but its
// absence is not certain: its heartbeats or the digests may be late or lost.
func (t *Table) Suspected(now time.Duration, h registry.Host) bool {
	p := t.peers[h]
	return p != nil && !p.Stopping() && !t.alive(now, p) && t.absentSince[h] == 0
}

// StopAnnounced reports whether a sidecar announced a stop and has not started again.
func (t *Table) StopAnnounced(h registry.Host) bool {
	p := t.peers[h]
	return p != nil && p.Stopping()
}

// Ended reports whether a sidecar announced that it stops after its upstream had ended.
func (t *Table) Ended(h registry.Host) bool {
	p := t.peers[h]
	return p != nil && p.Stopping() && p.Heartbeat.Load.Ended
}

// EndedAt returns when a sidecar for which Ended reports true sent its announcement, and 0
// for others.
func (t *Table) EndedAt(h registry.Host) time.Duration {
	if !t.Ended(h) {
		return 0
	}
	return t.peers[h].LastSeen
}

// overdue reports whether a heartbeat or report of a sidecar is overdue. A report by
// balancers of another data centre that it is lost is not sufficient: they may have
// missed two heartbeats and received the next one since.
func (t *Table) overdue(now time.Duration, sidecar *Peer) bool {
	if t.isDirect(sidecar) {
		return now-sidecar.LastContact() >= LocalHeartbeatTimeout
	}
	return now-sidecar.LastContact() >= remoteIsolatedAfter
}

// othersSeenAfterDue reports whether at least half of the other processes were seen
// after the sidecar's next heartbeat was due. Otherwise this process may be the one
// that is cut off. For a sidecar with direct heartbeats only processes of this data
// centre count, unless there are no others; for one known through digests all count.
func (t *Table) othersSeenAfterDue(sidecar *Peer) bool {
	if !t.isDirect(sidecar) {
		seen, others := t.countSeen(sidecar, sidecar.LastContact()+HeartbeatsPerRemoteDigest*HeartbeatInterval+maxHeartbeatDelay, false)
		return seen > 0 && 2*seen >= others
	}
	due := dueAt(sidecar)
	seen, others := t.countSeen(sidecar, due, true)
	if others == 0 {
		seen, others = t.countSeen(sidecar, due, false)
	}
	return seen > 0 && 2*seen >= others
}

// dueAt returns when the next heartbeat of a sidecar that sends them here is due.
func dueAt(sidecar *Peer) time.Duration {
	return sidecar.LastContact() + HeartbeatInterval + maxHeartbeatDelay
}

// countSeen returns the number of processes that are not stopping, without the given
// one, and how many of them were seen at since or later. With local, only processes
// of this data centre count.
func (t *Table) countSeen(except *Peer, since time.Duration, local bool) (seen, others int) {
	for _, p := range t.peers {
		if p == except || p.Stopping() || local && p.Heartbeat.DataCentre != t.cfg.DataCentre {
			continue
		}
		others++
		if p.LastContact() >= since {
			seen++
		}
	}
	return seen, others
}

// AdjustForPause shifts the times of the last heartbeats by a pause of this process, so
// that the pause does not count as silence of the others.
func (t *Table) AdjustForPause(now, pause time.Duration) {
	for _, p := range t.peers {
		p.LastSeen = min(now, p.LastSeen+pause)
		p.presence = presence{lastContact: min(now, p.presence.lastContact+pause)}
		if p.unreadableAt != 0 {
			p.unreadableAt = min(now, p.unreadableAt+pause)
		}
	}
	for h, at := range t.unreadable {
		t.unreadable[h] = min(now, at+pause)
	}
	t.remoteSidecarSeen = min(now, t.remoteSidecarSeen+pause)
}
