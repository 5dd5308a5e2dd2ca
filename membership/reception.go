package membership

import (
	"slices"
	"time"
)

const (
	// receptionWindow is the time over which the share of missing heartbeats is measured.
	receptionWindow = time.Second
	// witnessWindow is the time over which the link of a balancer is judged.
	witnessWindow = witnessTimeout
	// lossyHold is how long a process counts as lossy after the share was last too high.
	// A link is saturated in bursts, and a window of one second has few heartbeats.
	lossyHold = 2 * time.Second
	// maxReceptionGap is the longest time between two arrivals of heartbeats of a process in
	// which none is missing.
	maxReceptionGap = HeartbeatInterval + 100*time.Millisecond
	// maxMissing bounds the heartbeats that count as missing in one gap to those that were
	// expected within receptionWindow.
	maxMissing = int(receptionWindow / HeartbeatInterval)
	// minControls is the number of sidecars from which on the reception is judged by
	// sidecars alone.
	minControls = 2
	// lossyFraction is the inverse of the share of missing heartbeats above which a process
	// is lossy.
	lossyFraction = 5
)

// arrival is a heartbeat that arrived from a process itself.
type arrival struct {
	at      time.Duration
	missing int // heartbeats that should have arrived since the previous one
}

// recordArrival records a heartbeat of a process whose heartbeats are all sent to this
// one. Heartbeats missing after the last arrival are not counted, so that the end of
// many processes at once does not look like a bad link.
func (t *Table) recordArrival(now time.Duration, p *Peer, restarted bool) {
	pr := &p.presence
	a := arrival{at: now}
	if gap := now - pr.lastArrival; pr.lastArrival > 0 && !restarted && gap > maxReceptionGap {
		a.missing = min(maxMissing, int((gap-maxReceptionGap+HeartbeatInterval-1)/HeartbeatInterval))
	}
	pr.lastArrival = now
	pr.arrivals = append(slices.DeleteFunc(pr.arrivals, func(a arrival) bool { return now-a.at >= witnessWindow }), a)
	if a.missing > 0 && t.badReception(now) {
		t.lossyUntil = now + lossyHold
	}
}

// badReception reports whether more than a fifth of the heartbeats that were expected
// within receptionWindow did not arrive, at least two, and from most processes: a
// single process may have a bad link itself. Processes that report Lossy do not count.
func (t *Table) badReception(now time.Duration) bool {
	processes, affected, received, missing := 0, 0, 0, 0
	for _, p := range t.peers {
		if p.Heartbeat.Lossy || p.Stopping() {
			continue
		}
		arrived, lacking := 0, 0
		for _, a := range p.presence.arrivals {
			if now-a.at < receptionWindow {
				arrived++
				lacking += a.missing
			}
		}
		if arrived == 0 {
			continue
		}
		processes++
		if lacking > 0 {
			affected++
		}
		received += arrived
		missing += lacking
	}
	return missing > 1 && lossyFraction*missing > received+missing && 2*affected > processes
}

// cleanReception reports whether heartbeats arrive regularly from at least four fifths of
// the processes that are not overdue. Only then may this process decide without the
// confirmation of others: a loss of 20% affects more than half of the processes within
// receptionWindow. Sidecars are preferred, since balancers' links carry more.
func (t *Table) cleanReception(now time.Duration) bool {
	var processes, affected [2]int // of all roles, and of sidecars
	for _, p := range t.peers {
		if !t.isDirect(p) || p.Heartbeat.Lossy || p.Stopping() || now-p.LastContact() >= LocalHeartbeatTimeout {
			continue
		}
		irregular := p.irregular(now, receptionWindow)
		for i := range processes {
			if i == 1 && p.Heartbeat.Role != Sidecar {
				continue
			}
			processes[i]++
			if irregular {
				affected[i]++
			}
		}
	}
	if processes[1] >= minControls {
		return lossyFraction*affected[1] <= processes[1]
	}
	return lossyFraction*affected[0] <= processes[0]
}

// irregular reports whether a heartbeat of the process is late, or one was missing within
// window.
func (p *Peer) irregular(now, window time.Duration) bool {
	if now-p.LastContact() > maxReceptionGap {
		return true
	}
	return p.hadGap(now, window)
}

// hadGap reports whether heartbeats of the process were missing between two that arrived
// within window.
func (p *Peer) hadGap(now, window time.Duration) bool {
	return slices.ContainsFunc(p.presence.arrivals, func(a arrival) bool {
		return a.missing > 0 && now-a.at < window
	})
}

// Lossy reports whether the reception of this process is so bad that processes may be
// alive although it does not receive their heartbeats. It then lists none as lost and
// takes none for absent.
func (t *Table) Lossy(now time.Duration) bool {
	return now < t.lossyUntil
}
