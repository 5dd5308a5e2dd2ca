package sidecar

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/load"
)

// admission decides whether to accept new flows. It compares the load that the
// sidecar observes at its upstream with the loads that the other sidecars of the
// service report. It implements flow.Admitter and is safe for concurrent use.
type admission struct {
	self    bundle.UpstreamID
	policy  load.Policy
	monitor *load.Monitor
	peers   atomic.Pointer[load.Peers] // of the service that the upstream serves; never nil
	service atomic.Uint32              // the ID of that service
	opened  func(visits int)           // called for each accepted flow with the number of sidecars visited

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

func newAdmission(name string, now time.Time, seed uint64, opened func(visits int)) *admission {
	a := &admission{
		self:    bundle.UpstreamIDOf(name),
		policy:  load.AcceptOrPass{},
		monitor: load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{Name: name}}, now),
		opened:  opened,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	a.peers.Store(load.NewPeers(load.PeersConfig{Upstream: a.self}))
	return a
}

// update applies the upstream and its service as of a newer bundle. A change of the
// service discards the reports of the former peers.
func (a *admission) update(u bundle.Upstream, service bundle.ServiceID) {
	a.monitor.SetUpstream(u)
	if bundle.ServiceID(a.service.Swap(uint32(service))) == service {
		return
	}
	a.peers.Store(load.NewPeers(load.PeersConfig{Service: service, Upstream: a.self}))
}

// Admit implements flow.Admitter.
func (a *admission) Admit(o flow.Offer) flow.Verdict {
	d := load.Decide(a.policy, load.Opening{
		Hash:          o.Hash,
		PassedCount:   o.PassedCount,
		EligibleCount: o.EligibleCount,
		Candidates:    o.Candidates,
		Loads:         o.Loads,
	}, a.view(o.Now, o.Flows), a.peers.Load())
	switch d.Verdict {
	case load.Accept:
		a.monitor.Accepted(o.Now)
		a.opened(o.PassedCount + 1)
		return flow.Verdict{Choice: flow.Accept}
	case load.Pass:
		return flow.Verdict{Choice: flow.Pass, Load: uint32(d.Load)}
	}
	return flow.Verdict{Choice: flow.Deny, RetryAfter: a.retryAfter()}
}

// view returns the load of the upstream at now. flows is the number of flows that it owns.
func (a *admission) view(now time.Time, flows int) load.View {
	a.monitor.SetConnections(flows)
	return a.monitor.View(now)
}

// retryAfter returns a random delay after which a refused caller may retry.
func (a *admission) retryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return limit.FullRetryAfter().Draw(0, a.random)
}

// addReport stores the load report of another sidecar of the service. size is in bytes.
func (a *admission) addReport(r load.Report, size int, now time.Time) {
	a.peers.Load().AddReport(r, size, now)
}

// dueReport returns the load report for the other sidecars, and false when none is due.
func (a *admission) dueReport(now time.Time, flows int) (load.Report, bool) {
	ps := a.peers.Load()
	ps.Expire(now)
	return ps.NextReport(a.view(now, flows), now)
}
