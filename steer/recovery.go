package steer

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// A RecoveryWatch detects sidecars that become reachable: they started, or their heartbeats
// arrive again. The zero value is ready to use. It is not safe for concurrent use.
type RecoveryWatch struct {
	alive map[registry.Host]bool // as of the last call of Recovered; nil before it
}

// Recovered returns the sorted hosts of the sidecars that are alive at now and were not at
// the last call. It returns none at the first one.
func (w *RecoveryWatch) Recovered(now time.Duration, f *Fleet) []registry.Host {
	before := w.alive
	w.alive = make(map[registry.Host]bool, len(f.Sidecars))
	var list []registry.Host
	for h, i := range f.Sidecars {
		if !i.alive(now) {
			continue
		}
		w.alive[h] = true
		if before != nil && !before[h] {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, registry.Host.Compare)
	return list
}

// Reset discards what was recorded, as while nothing waits for a sidecar.
func (w *RecoveryWatch) Reset() {
	w.alive = nil
}

// Lost reports whether the flows of the upstream on a host are reset: it has ended, or its
// sidecar is absent as of the last fleet.
func (b *Balancer) Lost(now time.Duration, h registry.Host) bool {
	f := b.fleet.Load()
	return f != nil && f.lost(now, h)
}

// Unreachable reports whether the sidecar on a host has sent a heartbeat before and is not
// alive now, as while it restarts.
func (b *Balancer) Unreachable(now time.Duration, h registry.Host) bool {
	f := b.fleet.Load()
	return f != nil && f.silent(now, h)
}
