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

// admission is the policy that accepts new flows: it weighs what the sidecar
// sees of its upstream against what the other sidecars of the service report.
// It implements flow.Admitter and is safe for concurrent use.
type admission struct {
	self    bundle.UpstreamID
	policy  load.Policy
	watch   *load.Monitor
	peers   atomic.Pointer[load.Peers] // of the service that the upstream serves; never nil
	service atomic.Uint32              // the identity of that service
	opened  func(visits int)           // called for each accepted flow

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

func newAdmission(name string, now time.Time, seed uint64, opened func(visits int)) *admission {
	a := &admission{
		self:   bundle.UpstreamIDOf(name),
		policy: load.AcceptOrPass{},
		watch:  load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{Name: name}}, now),
		opened: opened,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	a.peers.Store(load.NewPeers(load.PeersConfig{Upstream: a.self}))
	return a
}

// update takes in what a newer bundle says of the upstream and its service.
func (a *admission) update(u bundle.Upstream, service bundle.ServiceID) {
	a.watch.SetUpstream(u)
	if bundle.ServiceID(a.service.Swap(uint32(service))) == service {
		return
	}
	a.peers.Store(load.NewPeers(load.PeersConfig{Service: service, Upstream: a.self}))
}

// Admit implements flow.Admitter.
func (a *admission) Admit(o flow.Offer) flow.Verdict {
	d := load.Decide(a.policy, load.Opening{
		Hash:       o.Hash,
		PassedCount:         o.At,
		EligibleCount:      o.Count,
		Candidates: o.Candidates,
		Loads:      o.Loads,
	}, a.view(o.Now, o.Flows), a.peers.Load())
	switch d.Verdict {
	case load.Accept:
		a.watch.Accepted(o.Now)
		a.opened(o.At + 1)
		return flow.Verdict{Choice: flow.Accept}
	case load.Pass:
		return flow.Verdict{Choice: flow.Pass, Load: uint32(d.Load)}
	}
	return flow.Verdict{Choice: flow.Deny, RetryAfter: a.retryAfter()}
}

// view returns what the sidecar knows of its upstream, which owns flows.
func (a *admission) view(now time.Time, flows int) load.View {
	a.watch.SetConnections(flows)
	return a.watch.View(now)
}

// retryAfter draws when a refused caller may come back.
func (a *admission) retryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return limit.FullRetryAfter().Draw(0, a.random)
}

// hear takes in the report of another sidecar of the service.
func (a *admission) hear(r load.Report, size int, now time.Time) {
	a.peers.Load().AddReport(r, size, now)
}

// due returns the report for the other sidecars when it is time to send one.
func (a *admission) due(now time.Time, flows int) (load.Report, bool) {
	ps := a.peers.Load()
	ps.Expire(now)
	return ps.NextReport(a.view(now, flows), now)
}
