package membership

import "time"

// formerTimeout is how long after the first heartbeat of a process those of the former one
// at its host are outdated. Datagrams on slow links are late by up to a few seconds.
const formerTimeout = 5 * time.Second

// lineage records which process ran on a host before the present one. Incarnations have no
// order, so that a late heartbeat of the former process is recognized only by its incarnation.
type lineage struct {
	former uint32        // incarnation of the former process; 0 when it is not known
	since  time.Duration // when the first heartbeat of the present incarnation arrived
}

// nextLineage returns the lineage after the first heartbeat of another incarnation than the
// recorded one. One that began less than formerTimeout ago is not recorded as the former one,
// nor one of which no heartbeat is overdue: either of the two may be the late one, and the one
// that runs must not be ignored.
func (p *Peer) nextLineage(now time.Duration) lineage {
	l := p.lineage
	if now-l.since >= formerTimeout && (p.Heartbeat.Stopping || now-p.Seen() >= HeartbeatInterval+maxHeartbeatDelay) {
		l.former = p.Heartbeat.Incarnation
	}
	l.since = now
	return l
}

// outdated reports whether a heartbeat of an incarnation that arrives at now is one of the
// former process.
func (l lineage) outdated(now time.Duration, incarnation uint32) bool {
	return l.former != 0 && incarnation == l.former && now-l.since < formerTimeout
}

// receivedDirectly reports whether a heartbeat of the present incarnation arrived from the
// process itself. One that is known only from reports may not know this process, which then
// receives no announcement of its stop.
func (p *Peer) receivedDirectly() bool {
	return p.LastDirect > 0 && p.LastDirect >= p.restartedAt
}
