package membership

import (
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// maxUnreadable is the maximum number of hosts that are recorded as unreadable. Senders
// of datagrams are not authenticated.
const maxUnreadable = 1 << 14

// RecordUnreadable records that a message of an unknown version arrived from a host. Its
// process is alive, although its state is not known: it counts neither as silent nor, if
// it announced a stop before, as stopping.
func (t *Table) RecordUnreadable(now time.Duration, h registry.Host) {
	if h == t.cfg.Self {
		return
	}
	if p := t.peers[h]; p != nil {
		p.unreadableAt = now
	}
	if _, known := t.unreadable[h]; known || len(t.unreadable) < maxUnreadable {
		t.unreadable[h] = now
	}
}

// Unreadable returns when the last message of an unknown version arrived from each host
// whose last message was one, and that has not timed out.
func (t *Table) Unreadable(now time.Duration) map[registry.Host]time.Duration {
	hosts := make(map[registry.Host]time.Duration, len(t.unreadable))
	for h, at := range t.unreadable {
		if p := t.peers[h]; now-at < remoteHeartbeatTimeout && (p == nil || p.unreadable()) {
			hosts[h] = at
		}
	}
	return hosts
}

// unreadable reports whether the process last sent messages of an unknown version.
func (p *Peer) unreadable() bool {
	return p.unreadableAt != 0 && p.unreadableAt >= p.LastSeen
}

// Seen returns the last time at which the process was alive: LastSeen, or when a message
// of an unknown version arrived from it.
func (p *Peer) Seen() time.Duration {
	return max(p.LastSeen, p.unreadableAt)
}

// Stopping reports whether the process announced that it stops, and sent no message of an
// unknown version since.
func (p *Peer) Stopping() bool {
	return p.Heartbeat.Stopping && !p.unreadable()
}
