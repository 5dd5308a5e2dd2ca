package balancer

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/route"
)

// missing holds the upstreams of the bundle whose sidecars are not in the platform's
// instance list. It is immutable.
type missing struct {
	upstreams map[bundle.UpstreamID]absence
}

// absence records since when an upstream has been missing, and the time after which
// other upstreams take over its flows.
type absence struct {
	since    time.Time
	takeover time.Duration
}

// List replaces the platform's instance list. It must not be called concurrently with Accept.
func (b *Balancer) List(instances []configservice.Instance) {
	b.instances.Store(&instances)
	b.shareLimits(instances)
	b.updateMissing()
}

// updateMissing compares the latest instance list with the active bundle.
func (b *Balancer) updateMissing() {
	view, listed := b.view.Load(), b.instances.Load()
	if view == nil || listed == nil {
		return
	}
	b.missing.Store(b.missing.Load().next(b.cfg.Timer.Now(), view, *listed))
}

// next returns the upstreams that are missing from the list. An upstream that was
// missing before keeps its start time. A list without any sidecar is taken as
// incomplete, so that no upstream counts as missing.
func (m *missing) next(now time.Time, view *route.View, instances []configservice.Instance) *missing {
	listed := make(map[string]bool)
	for _, i := range instances {
		if i.Role == configservice.RoleSidecar {
			listed[i.Name] = true
		}
	}
	n := &missing{upstreams: make(map[bundle.UpstreamID]absence)}
	if len(listed) == 0 {
		return n
	}
	for _, s := range view.Services() {
		for _, u := range s.Upstreams() {
			if listed[u.Name] {
				continue
			}
			since := now
			if before, ok := m.upstreams[u.ID()]; ok {
				since = before.since
			}
			n.upstreams[u.ID()] = absence{since: since, takeover: s.FlowSettings().TakeoverDelay()}
		}
	}
	return n
}

// health returns the health of upstreams at now, which determines the candidate that
// a packet is sent to.
func (b *Balancer) health(now time.Time) flow.Health {
	m := b.missing.Load()
	return flow.Health{
		Suspect: func(u bundle.UpstreamID) bool {
			_, absent := m.upstreams[u]
			return absent || b.silent.includes(u, now)
		},
		TakeoverDue: func(u bundle.UpstreamID) bool {
			a, absent := m.upstreams[u]
			return absent && now.Sub(a.since) > a.takeover
		},
	}
}
