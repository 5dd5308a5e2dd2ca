package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// QueryInterval is the minimum mean time between two presence queries to a host.
	QueryInterval = 50 * time.Millisecond
	// maxQueries is the number of hosts that are queried at a time.
	maxQueries = 20
	// queryBudget is the number of queries that can be sent in the half second between the
	// time at which a heartbeat is due and the time at which a loss must be certain.
	queryBudget = 200
	// minUnanswered and maxUnanswered bound the number of unanswered queries that make the
	// absence of a process certain. Where few processes are silent, more are needed,
	// because the loss rate of this process is then measured on few heartbeats.
	minUnanswered = 3
	maxUnanswered = 10
	// slowQueryAfter is the silence after which a host is queried once per HeartbeatInterval.
	slowQueryAfter = 2 * time.Second
)

// presence is what is known about the contact with one process.
type presence struct {
	lastContact time.Duration // when any datagram last arrived from the process itself; 0 if never
	unanswered  int           // presence queries sent since lastContact
	nextQuery   time.Duration // when the next presence query may be sent
	wantedAt    time.Duration // when a newer list of lost sidecars was last needed from the balancer
	deniedAt    time.Duration // when another balancer last showed that it receives the sidecar's heartbeats; 0 if never
	deniedBy    registry.Host // that balancer
	lastArrival time.Duration // when any heartbeat of the process, also an outdated one, last arrived from itself
	arrivals    []arrival     // heartbeats that arrived within witnessWindow
}

// RecordContact records that a datagram arrived from the process on a host. It does not
// make the last load report of the process newer.
func (t *Table) RecordContact(now time.Duration, h registry.Host) {
	if p := t.peers[h]; p != nil {
		p.recordContact(now)
	}
}

func (p *Peer) recordContact(now time.Duration) {
	p.presence.lastContact, p.presence.unanswered = now, 0
}

// LastContact returns when a datagram of the process last arrived or, if that is later,
// when its last known heartbeat was sent.
func (p *Peer) LastContact() time.Duration {
	return max(p.Seen(), p.presence.lastContact)
}

// DirectContact returns LastContact of a process whose heartbeats are all sent to this
// one, and 0 for others.
func (t *Table) DirectContact(h registry.Host) time.Duration {
	if p := t.peers[h]; p != nil && t.isDirect(p) {
		return p.LastContact()
	}
	return 0
}

// DueQueries returns the hosts to send a presence query to at now, and records that the
// queries were sent. These are the processes of the data centre whose heartbeats are due,
// and balancers whose list of lost sidecars decides on an absence. Balancers come first,
// since the absence of a sidecar depends on them, then those that were silent for longer.
func (t *Table) DueQueries(now time.Duration) []registry.Host {
	if t.cfg.Role != Balancer {
		return nil
	}
	silent := 0
	var due []*Peer
	for _, p := range t.peers {
		if !t.isDirect(p) || p.Stopping() || now-p.Seen() >= forgetAfter {
			continue
		}
		overdue := now-p.Seen() >= HeartbeatInterval+maxHeartbeatDelay
		if overdue {
			silent++
		}
		wanted := p.presence.wantedAt > 0 && now-p.presence.wantedAt <= QueryInterval && now-p.LastDirect >= QueryInterval
		if (overdue || wanted) && now >= p.presence.nextQuery {
			due = append(due, p)
		}
	}
	t.unansweredNeeded = max(minUnanswered, min(maxUnanswered, queryBudget/max(1, silent)))
	slices.SortFunc(due, t.compareQueries)
	due = due[:min(maxQueries, len(due))]
	hosts := make([]registry.Host, len(due))
	for i, p := range due {
		hosts[i] = p.Host
		p.recordQuery(now)
	}
	return hosts
}

// compareQueries orders processes for queries: those without sufficient unanswered
// queries, balancers, the most overdue ones.
func (t *Table) compareQueries(a, b *Peer) int {
	if x, y := t.unansweredEnough(a), t.unansweredEnough(b); x != y {
		if y {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Heartbeat.Role, b.Heartbeat.Role), cmp.Compare(a.LastSeen, b.LastSeen), a.Host.Compare(b.Host))
}

func (p *Peer) recordQuery(now time.Duration) {
	interval := QueryInterval
	if now-p.LastContact() >= slowQueryAfter {
		interval = HeartbeatInterval
	}
	// Ticks are not exact; a query that was late does not delay the next one.
	p.presence.nextQuery = max(p.presence.nextQuery, now-interval/2) + interval
	p.presence.unanswered++
}

// unansweredEnough reports whether sufficient queries were sent since the last contact.
// The newest one does not count, since its answer may be on its way.
func (t *Table) unansweredEnough(p *Peer) bool {
	return p.presence.unanswered > t.unansweredNeeded
}

// unansweredAlone is unansweredEnough for a decision that no other balancer confirms. It
// requires twice as many queries when heartbeats of the process were missing shortly before
// it fell silent, since the link, which may be that of this process, loses datagrams.
func (t *Table) unansweredAlone(now time.Duration, p *Peer) bool {
	needed := t.unansweredNeeded
	if p.hadGap(now, witnessWindow) {
		needed *= 2
	}
	return p.presence.unanswered > needed
}
