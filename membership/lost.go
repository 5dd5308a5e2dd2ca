package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// deniedAfter is the silence of a sidecar from which on a balancer that does not report it as
// lost has received heartbeats of it. It is several times LocalHeartbeatTimeout, since the
// report of a balancer with a slow link comes late.
const deniedAfter = 2 * time.Second

// LocalLost returns the sidecars of the data centre that sent heartbeats to this process
// and from which no datagram arrives any more. Heartbeats report only these as lost, and
// not those that others reported as lost, so that no report circulates forever. There
// are none while this process is lossy. A sidecar that announced its stop is reported
// only when its upstream has ended: to a process that did not receive the announcement,
// the report confirms that the flows there are lost. One whose silence is no evidence here is
// reported only while another balancer reports it: two that do not receive its heartbeats would
// otherwise confirm its loss to each other when the others stop.
func (t *Table) LocalLost(now time.Duration) []registry.Host {
	if t.Lossy(now) {
		return nil
	}
	return t.lostMatching(now, func(p *Peer) bool {
		if !t.isDirect(p) {
			return false
		}
		if p.Stopping() {
			return p.Heartbeat.Load.Ended
		}
		return t.overdue(now, p) && (p.silenceCounts(now) || t.followsReport(now, p)) && t.confirmsLoss(now, p)
	})
}

// silenceCounts reports whether the silence of a sidecar is evidence of its end: a heartbeat of
// its present process has arrived, and no other balancer has received further ones since. One
// that is known only from reports may have announced its stop to others; its silence counts when
// it stays away.
func (p *Peer) silenceCounts(now time.Duration) bool {
	if !p.receivedDirectly() {
		return now-p.LastContact() >= stoppedTimeout
	}
	return p.presence.deniedAt <= p.LastContact()
}

// followsReport reports whether this process, without evidence of its own, reports an overdue
// sidecar as lost because another balancer does: any one if no heartbeat of the sidecar's process
// has arrived here, and otherwise the one that has received heartbeats of it since.
func (t *Table) followsReport(now time.Duration, sidecar *Peer) bool {
	for _, p := range t.peers {
		if sidecar.receivedDirectly() && p.Host != sidecar.presence.deniedBy {
			continue
		}
		if p.Heartbeat.Role == Balancer && t.isDirect(p) && t.verdict(now, p, sidecar) == verdictLost {
			return true
		}
	}
	return false
}

// recordDenial records that another balancer receives the heartbeats of a sidecar that has been
// silent here for deniedAfter. Otherwise the silence would count as soon as that balancer stops.
func (t *Table) recordDenial(now time.Duration, sidecar *Peer) {
	if !t.isDirect(sidecar) || sidecar.Stopping() || now-sidecar.LastContact() < deniedAfter {
		return
	}
	by := t.peers[sidecar.presence.deniedBy]
	if by == nil || !t.denies(now, by, sidecar) {
		by = nil
		for _, p := range t.peers {
			if t.denies(now, p, sidecar) {
				by = p
				break
			}
		}
	}
	if by != nil {
		sidecar.presence.deniedAt, sidecar.presence.deniedBy = now, by.Host
	}
}

// denies reports whether a balancer of the data centre has run for long enough to receive the
// heartbeats of a sidecar, and did not report it as lost deniedAfter after its last one here.
func (t *Table) denies(now time.Duration, balancer, sidecar *Peer) bool {
	return balancer.Heartbeat.Role == Balancer && t.isDirect(balancer) && t.hasRun(now, balancer.Host) && t.alive(now, balancer) &&
		balancer.LastSeen-sidecar.LastContact() >= deniedAfter && t.verdict(now, balancer, sidecar) == verdictOpen
}

// confirmsLoss reports whether this process reports an overdue sidecar as lost. Balancers of
// other data centres rely on the reports of all balancers here. Where no other one can deny
// the loss, the report is therefore the decision that the sidecar is absent. Otherwise
// at least half of the data centre must have been seen since the heartbeat of the sidecar was
// due, as for that decision: balancers that hear only each other can still send.
func (t *Table) confirmsLoss(now time.Duration, sidecar *Peer) bool {
	if !t.hasWitness(now, sidecar) {
		return t.absentSince[sidecar.Host] != 0
	}
	return t.othersSeenAfterDue(sidecar)
}

// hasWitness reports whether another balancer of the data centre can deny the loss of a sidecar.
func (t *Table) hasWitness(now time.Duration, sidecar *Peer) bool {
	for _, p := range t.peers {
		if p.Heartbeat.Role != Balancer || p.Heartbeat.DataCentre != sidecar.Heartbeat.DataCentre {
			continue
		}
		if v := t.verdict(now, p, sidecar); v == verdictOpen || v == verdictLost {
			return true
		}
	}
	return false
}

func (t *Table) lostMatching(now time.Duration, match func(*Peer) bool) []registry.Host {
	var hosts []registry.Host
	for _, p := range t.peers {
		if p.Heartbeat.Role == Sidecar && match(p) && !t.alive(now, p) {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return hosts
}

// Lost returns the sidecars that are not alive any more, and those that balancers
// recently reported as lost and that were not seen since.
func (t *Table) Lost(now time.Duration) []registry.Host {
	hosts := t.lostMatching(now, func(*Peer) bool { return true })
	for h, at := range t.lost {
		p := t.peers[h]
		if now-at < remoteHeartbeatTimeout && (p == nil || p.Seen() < at) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, registry.Host.Compare)
	return slices.Compact(hosts)
}
