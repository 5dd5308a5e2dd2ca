package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestOnlyBalancerLearnsOfStoppedSidecars guards against resets by a balancer that has started
// without a peer in its data centre, of flows whose sidecars restart: no digest reports them.
func TestOnlyBalancerLearnsOfStoppedSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpgrade(t, 1)
		var only *member
		var stopped []*member
		for _, m := range u.members {
			switch {
			case m.role == membership.Balancer && m.dataCentre == "b" && only != nil:
				continue
			case m.role == membership.Balancer && m.dataCentre == "b":
				only = m
			case m.role == membership.Sidecar && (m.number == 101 || m.number == 111):
				stopped = append(stopped, m)
			}
			u.start(m, membership.Format2)
		}
		u.pause(5 * time.Second)
		for _, m := range append([]*member{only}, stopped...) {
			m.node.Stop(t.Context())
			m.stop()
			m.wait()
			m.running = false
		}
		u.pause(3 * time.Second)
		u.start(only, membership.Format2)
		time.Sleep(400 * time.Millisecond)
		for _, m := range stopped {
			must.True(t, only.sidecar(hostOf(m.number)).Stopping, must.Sprintf("%s in data centre %s", hostOf(m.number), m.dataCentre))
		}
	})
}

// sidecar returns what the view of a process has on the sidecar on a host.
func (p *process) sidecar(h registry.Host) steer.SidecarStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Sidecars[h]
}
