package balancer

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/route"
)

// missing holds the upstreams of the bundle whose sidecars the platform's list lacks. It is immutable.
type missing struct {
	upstreams map[bundle.UpstreamID]absence
}

// absence is since when an upstream has been missing and how long it takes until others take over.
type absence struct {
	since    time.Time
	takeover time.Duration
}

// List takes in the platform's instance list.
func (b *Balancer) List(instances []configservice.Instance) {
	b.listed.Store(&instances)
	b.shareLimits(instances)
	b.compareList()
}

// compareList compares the last list with the bundle in force.
func (b *Balancer) compareList() {
	view, listed := b.view.Load(), b.listed.Load()
	if view == nil || listed == nil {
		return
	}
	b.missing.Store(b.missing.Load().next(b.cfg.Timer.Now(), view, *listed))
}

// next returns what is missing from the list. An upstream that was missing
// before keeps its time. A list without any sidecar says nothing.
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

// health returns what the aim of packets depends on.
func (b *Balancer) health(now time.Time) flow.Health {
	m := b.missing.Load()
	return flow.Health{
		Suspect: func(u bundle.UpstreamID) bool {
			_, gone := m.upstreams[u]
			return gone || b.silent.includes(u, now)
		},
		TakeoverDue: func(u bundle.UpstreamID) bool {
			a, gone := m.upstreams[u]
			return gone && now.Sub(a.since) > a.takeover
		},
	}
}
