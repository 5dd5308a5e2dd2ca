package flow_test

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// addUpstream lists an upstream in the service and starts its host if there is none
// or it is dead. The new sidecar accepts datagram flows of a non-idempotent service
// only once callers can no longer retransmit what an earlier instance may have run.
func (w *world) addUpstream(s bundle.ServiceID, u bundle.UpstreamID) {
	w.publish(func(p *plan) { p.set(s, member{upstream: u, weight: 1}) })
	if h := w.hosts[u]; h == nil {
		w.startHost(u)
	} else if h.dead {
		h.restart()
	}
}

// leave marks an upstream as leaving.
func (w *world) leave(s bundle.ServiceID, u bundle.UpstreamID) {
	w.publish(func(p *plan) {
		m, ok := p.find(s, u)
		m.leaving = true
		if ok {
			p.set(s, m)
		}
	})
}

// moveUpstream lists an upstream in another service and marks it as leaving in the
// former one.
func (w *world) moveUpstream(from, to bundle.ServiceID, u bundle.UpstreamID) {
	w.leave(from, u)
	w.publish(func(p *plan) { p.set(to, member{upstream: u, weight: 1}) })
}

// transfer marks an upstream as leaving and moves it to another service once it
// owns no flow, as operators do. It returns false when the upstream stays in use.
func (w *world) transfer(from, to bundle.ServiceID, u bundle.UpstreamID) bool {
	const settle = 3 * flow.ReportInterval
	w.leave(from, u)
	w.run(settle)
	w.removeEmpty()
	if w.latest().lists(u) {
		w.run(testIdle + settle)
		w.removeEmpty()
	}
	if w.latest().lists(u) {
		return false
	}
	w.addUpstream(to, u)
	return true
}

// moveAddress moves the initial address of a service to the service that does not
// have it now.
func (w *world) moveAddress(s bundle.ServiceID) {
	a := serviceAddr(s)
	w.publish(func(p *plan) {
		p.addresses[a] = addressOwner{service: 3 - p.addresses[a].service, former: p.addresses[a].service}
	})
}

// active returns the upstreams of a service that take new flows.
func (w *world) active(s bundle.ServiceID) []bundle.UpstreamID {
	var us []bundle.UpstreamID
	for _, m := range w.latest().members[s] {
		if !m.leaving {
			us = append(us, m.upstream)
		}
	}
	return us
}

// removeEmpty removes the leaving upstreams that own no flow from the plan, as
// operators do once a sidecar reports that it owns none.
func (w *world) removeEmpty() {
	for _, s := range []bundle.ServiceID{fitting, report} {
		for _, m := range slices.Clone(w.latest().members[s]) {
			h := w.hosts[m.upstream]
			upToDate := h.plan.version == w.latest().version
			if !m.leaving || !h.running() || !upToDate || h.sidecar.Flows() > 0 || w.now.Sub(h.leavingSince) < 2*flow.ReportInterval {
				continue
			}
			w.publish(func(p *plan) { p.remove(s, m.upstream) })
			if h.service == s && w.now.Sub(h.leavingSince) > 5*time.Second {
				w.oracle.stopped(h)
			}
		}
	}
}

// recordFault records that an unplanned fault happened.
func (w *world) recordFault() {
	w.oracle.planned = false
}

func (w *world) kill(u bundle.UpstreamID) {
	w.recordFault()
	w.hosts[u].kill()
}

func (w *world) pause(u bundle.UpstreamID) {
	w.recordFault()
	h := w.hosts[u]
	if h.running() {
		h.paused, h.pausedAt = true, w.now
	}
}

// resume restarts a dead host, or ends the pause of a paused one.
func (w *world) resume(u bundle.UpstreamID) {
	switch h := w.hosts[u]; {
	case h.dead:
		h.restart()
	case h.paused:
		h.resume()
	}
}

// restartUpstream restarts the upstream beside a running sidecar.
func (w *world) restartUpstream(u bundle.UpstreamID) {
	w.recordFault()
	h := w.hosts[u]
	if h.running() {
		h.clear()
		h.sidecar.UpstreamRestarted(w.now)
	}
}

// heal ends partitions, pauses and outages of the platform.
func (w *world) heal() {
	w.sides = map[node]int{}
	w.platformDown = false
	w.loss = 0
	for _, u := range w.upstreams() {
		if w.hosts[u].paused {
			w.hosts[u].resume()
		}
	}
	for _, b := range w.balancers {
		b.stuck = false
		if b.paused {
			b.resume()
		}
	}
}

// storm makes each open flow send a request several times at once through random
// balancers, as callers do that retransmit without delay.
func (w *world) storm() {
	const copies = 3
	for _, f := range w.flows {
		if !f.established || f.closed || f.broken {
			continue
		}
		r := f.request()
		for range copies - 1 {
			f.transmit(r)
		}
	}
}

// spread makes each process take the newest plan with probability share.
func (w *world) spread(share float64) {
	for _, b := range w.balancers {
		if b.running() && !b.stuck && w.chance(share) == 1 {
			b.plan = w.latest()
		}
	}
	for _, u := range w.upstreams() {
		h := w.hosts[u]
		if h.running() && h.plan.version < w.latest().version && w.chance(share) == 1 {
			h.accept(w.latest())
		}
	}
}

// isolate separates the nodes from all others by a partition.
func (w *world) isolate(ns ...node) {
	w.recordFault()
	w.sides = map[node]int{}
	for _, n := range ns {
		w.sides[n] = 1
	}
	w.partitionedAt = w.now
}

// rest runs the world for d while each flow stays in use.
func (w *world) rest(d time.Duration) {
	const ping = 8 * time.Second
	for ; d > 0; d -= ping {
		for _, f := range w.flows {
			if f.established && !f.closed && !f.broken {
				f.transmit(f.request())
			}
		}
		w.run(min(d, ping))
	}
}
