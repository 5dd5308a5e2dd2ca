package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestStartingBalancersLearnOfStoppedSidecars guards against resets by balancers that start
// without an older peer in their data centre, of flows whose sidecars restart: no digest
// reports them.
func TestStartingBalancersLearnOfStoppedSidecars(t *testing.T) {
	for name, count := range map[string]int{"one": 1, "all at once": upgradeBalancers} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) { testStartBesideStopped(t, seed, count) })
			}
		})
	}
}

// testStartBesideStopped stops a sidecar of each data centre and the balancers of data centre
// b, of which there are count, and starts the balancers.
func testStartBesideStopped(t *testing.T, seed uint64, count int) {
	u := newUpgrade(t, seed)
	var balancers []*member
	for _, m := range u.members {
		if m.role == membership.Balancer && m.dataCentre == "b" {
			if len(balancers) == count {
				continue
			}
			balancers = append(balancers, m)
		}
		u.start(m, membership.Format2)
	}
	u.startBesideStopped(balancers)
}

// TestBalancersThatStartTogetherLearnOfStoppedSidecars guards against resets by two balancers
// that start at the same time and that rank before the older ones of their data centre: each
// is taken for a delegate by the time that the other one has to learn of all processes.
func TestBalancersThatStartTogetherLearnOfStoppedSidecars(t *testing.T) {
	const count = 5 // balancers of data centre b
	for i := range count {
		for k := range i {
			t.Run(fmt.Sprint(k, " and ", i), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := newUpgrade(t, uint64(i))
					for n := upgradeBalancers; n < count; n++ {
						u.members = append(u.members, &member{number: 11 + n, role: membership.Balancer, dataCentre: "b"})
					}
					var balancers []*member
					for _, m := range u.members {
						u.start(m, membership.Format2)
						if m.number == 11+i || m.number == 11+k {
							balancers = append(balancers, m)
						}
					}
					u.startBesideStopped(balancers)
				})
			})
		}
	}
}

// startBesideStopped stops a sidecar of each data centre and some balancers of data centre b,
// starts the balancers at the same time, and checks that they know of the sidecars.
func (u *upgrade) startBesideStopped(balancers []*member) {
	t := u.t
	var sidecars []*member
	for _, m := range u.members {
		if m.number == 101 || m.number == 111 {
			sidecars = append(sidecars, m)
		}
	}
	u.pause(5 * time.Second)
	for _, m := range append(slices.Clip(balancers), sidecars...) {
		m.node.Stop(t.Context())
		m.stop()
		m.wait()
		m.running = false
	}
	u.pause(3 * time.Second)
	for _, m := range balancers {
		u.start(m, membership.Format2)
	}
	time.Sleep(400 * time.Millisecond)
	for _, b := range balancers {
		for _, m := range sidecars {
			must.True(t, b.sidecar(hostOf(m.number)).Stopping, must.Sprintf("%s at %s", hostOf(m.number), hostOf(b.number)))
		}
	}
}

// sidecar returns what the view of a process has on the sidecar on a host.
func (p *process) sidecar(h registry.Host) steer.SidecarStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Sidecars[h]
}
