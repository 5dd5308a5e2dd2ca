package membership

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// LocalLost returns the sidecars of the data centre that sent heartbeats to this process
// and from which no datagram arrives any more. Heartbeats report only these as lost, and
// not those that others reported as lost, so that no report circulates forever. There
// are none while this process is lossy. A sidecar that announced its stop is reported
// only when its upstream has ended: to a process that did not receive the announcement,
// the report confirms that the flows there are lost.
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
		return t.overdue(now, p) && t.confirmsLoss(now, p)
	})
}

// confirmsLoss reports whether this process reports an overdue sidecar as lost. Balancers of
// other data centres rely on the reports of all balancers here. Where no other one can deny
// the loss, the report is therefore the decision that the sidecar is absent. Otherwise
// something must have arrived from any process since the heartbeat of the sidecar was due:
// a balancer that receives nothing can still send. A sidecar that is known only from reports
// may have announced its stop to others, so that another one must report it first, unless it
// stays away: balancers that have started together would confirm its loss to each other.
func (t *Table) confirmsLoss(now time.Duration, sidecar *Peer) bool {
	if !t.hasWitness(now, sidecar) {
		return t.absentSince[sidecar.Host] != 0
	}
	seen, _ := t.countSeen(sidecar, dueAt(sidecar), false)
	if seen > 0 && !sidecar.receivedDirectly() && now-sidecar.LastContact() < stoppedTimeout {
		confirmed, _, _ := t.verdicts(now, sidecar)
		return confirmed
	}
	return seen > 0
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
