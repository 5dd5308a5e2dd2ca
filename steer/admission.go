package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/admit"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	// minWorkRatio and maxWorkRatio bound the reported work of an upstream relative to
	// the median of its service, so that one wrong report cannot refuse or admit
	// everything.
	minWorkRatio = 0.25
	maxWorkRatio = 8
	// routeSlots is the number of routes whose requests are counted separately; a power
	// of two. Further routes share counters.
	routeSlots = 256
	// minCountedFlows is the number of flows of a route from which the mean number of
	// requests is used.
	minCountedFlows = 20
	// maxCountedFlows is the number of flows from which older ones count half.
	maxCountedFlows = 2000
)

// admission decides which openings a balancer refuses while a service is overloaded. It
// is safe for concurrent use.
type admission struct {
	controller *admit.Controller
	dataCentre string
	routes     [routeSlots]routeCounter

	mu       sync.Mutex
	observed *Fleet // the fleet that services reflects; nil before the first
	version  uint64 // of the routes that priorities reflects
	services map[registry.ServiceHash]serviceLoad
	// priorities holds those of the routes to each service with more than one.
	priorities map[registry.ServiceHash][]int
	changes    []AdmissionChange
}

// serviceLoad is what the reports of a service's upstreams amount to. It is immutable.
type serviceLoad struct {
	service string
	// work is the median of the reported works; 0 when there are none.
	work       time.Duration
	priorities []int // of the routes to the service, ascending; at least 2
	// near has the upstreams that waits are averaged over: those of the own data centre, or
	// all when none of them accepts flows.
	near map[registry.Host]struct{}
	// active is the number of requests and slots the number of slots of near.
	active, slots int
}

// meanWait returns the expected wait at near, with the given number of requests placed
// there since the reports.
func (l *serviceLoad) meanWait(placed float64) time.Duration {
	n := float64(max(1, len(l.near)))
	return admit.Wait((float64(l.active)+placed)/n, l.slots/max(1, len(l.near)), l.work)
}

// routeCounter counts the requests and the flows of routes.
type routeCounter struct {
	requests, flows atomic.Int64
}

// newAdmission returns nil when admission control is not enabled.
func newAdmission(cfg *BalancerConfig) *admission {
	if !cfg.Admission {
		return nil
	}
	return &admission{
		dataCentre: cfg.DataCentre,
		controller: admit.NewController(),
		services:   make(map[registry.ServiceHash]serviceLoad),
		priorities: make(map[registry.ServiceHash][]int),
	}
}

// admissionReason returns why the opening is refused at once although the upstream would
// accept it, or 0.
func (d *decision) admissionReason(m *registry.Member) Reason {
	a := d.b.admission
	if a == nil {
		return 0
	}
	hash := registry.HashService(m.Service)
	l, known := a.load(d.now, d.fleet, hash)
	if !known {
		return 0
	}
	o := d.opening(hash, l, m)
	c := a.counter(d.route)
	o.Requests = c.perFlow()
	reason := reasonOf(a.controller.Decide(d.now, &o))
	if reason == 0 {
		c.countFlow()
	}
	return reason
}

// opening returns what the decision on the flow at an upstream depends on.
func (d *decision) opening(hash registry.ServiceHash, l serviceLoad, m *registry.Member) admit.Opening {
	host := m.Address.Host
	reported := d.fleet.Sidecars[host].Load
	active := float64(reported.Active + d.b.policy.unreportedOn(host))
	work := boundedWork(reported.Work, l.work)
	placed := d.b.policy.unreportedOnAny(l.near) * max(1, d.fleet.LiveBalancers)
	class, _ := slices.BinarySearch(l.priorities, d.route.Priority)
	return admit.Opening{
		Service:   uint32(hash),
		Route:     routeID(d.route),
		Class:     class,
		Objective: d.route.Objective,
		Timeout:   d.route.Timeout,
		Caller:    netip.AddrFrom4(d.key.Caller.Host),
		Wait:      admit.Wait(active, m.Slots, work),
		MeanWait:  l.meanWait(float64(placed)),
		Work:      work,
	}
}

// reasonOf returns the reason of a refusal, or 0.
func reasonOf(r admit.Reason) Reason {
	switch r {
	case admit.ReasonTimeout:
		return ReasonTimeout
	case admit.ReasonPriority:
		return ReasonPriority
	case admit.ReasonShare:
		return ReasonShare
	case admit.ReasonRetry:
		return ReasonRetry
	}
	return 0
}

// boundedWork returns the reported work of an upstream within the bounds around the
// median, and the median when it has reported none.
func boundedWork(reported int, median time.Duration) time.Duration {
	work := workOf(reported)
	if work == 0 {
		return median
	}
	return min(max(work, time.Duration(minWorkRatio*float64(median))), maxWorkRatio*median)
}

// workOf converts membership.Load.Work.
func workOf(tenths int) time.Duration {
	return time.Duration(tenths) * time.Millisecond / 10
}

// routeID returns a number that identifies the route.
func routeID(r *registry.Route) uint32 {
	var b [6]byte
	copy(b[:], r.Address.Host[:])
	binary.BigEndian.PutUint16(b[4:], r.Address.Port)
	return uint32(xxhash.Sum64(b[:]))
}

// load returns the load of a service as of a fleet. known is false when all routes of the
// service have the same priority, or no upstream has reported its work.
func (a *admission) load(now time.Duration, f *Fleet, h registry.ServiceHash) (l serviceLoad, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(now, f)
	l, known = a.services[h]
	return l, known
}

// observe passes the loads of a new fleet to the controller. The caller holds mu.
func (a *admission) observe(now time.Duration, f *Fleet) {
	if f == a.observed {
		return
	}
	a.observed = f
	a.updatePriorities(now, f.Snapshot)
	clear(a.services)
	for hash, priorities := range a.priorities {
		pool := f.Snapshot.Pool(hash)
		if pool == nil {
			continue
		}
		work := medianWork(now, f, pool)
		if work == 0 {
			continue
		}
		l := newServiceLoad(now, f, pool, a.dataCentre, work)
		l.priorities = priorities
		a.services[hash] = l
		change, changed := a.controller.Observe(now, uint32(hash), admit.Load{
			LeastWait: leastWait(now, f, pool, work),
			MeanWait:  l.meanWait(0),
			Work:      work,
			Slots:     l.slots,
			Balancers: max(1, f.LiveBalancers),
			Classes:   len(priorities),
		})
		if changed {
			a.changes = append(a.changes, AdmissionChange{Service: pool.Service, Change: change})
		}
	}
}

// updatePriorities replaces the priorities when the routes have changed.
func (a *admission) updatePriorities(now time.Duration, s *registry.Snapshot) {
	if a.version == s.Version() {
		return
	}
	a.version = s.Version()
	clear(a.priorities)
	for _, service := range s.Services() {
		if list := s.Priorities(service); len(list) > 1 {
			a.priorities[registry.HashService(service)] = list
		}
	}
	a.controller.Retain(now, func(id uint32) bool {
		return a.priorities[registry.ServiceHash(id)] != nil
	})
}

// medianWork returns the median of the reported works of a service, 0 when there are none.
func medianWork(now time.Duration, f *Fleet, p *registry.Pool) time.Duration {
	var works []int
	for i := range p.Members {
		m := &p.Members[i]
		if w := f.Sidecars[m.Address.Host].Load.Work; w > 0 && f.acceptsNewFlows(now, m) {
			works = append(works, w)
		}
	}
	if len(works) == 0 {
		return 0
	}
	slices.Sort(works)
	return workOf(works[len(works)/2])
}

// newServiceLoad returns the load of the upstreams of a data centre that accept new flows,
// or of all when there are none.
func newServiceLoad(now time.Duration, f *Fleet, p *registry.Pool, dataCentre string, work time.Duration) serviceLoad {
	l := serviceLoad{service: p.Service, work: work, near: make(map[registry.Host]struct{})}
	for i := range p.Members {
		m := &p.Members[i]
		if !f.acceptsNewFlows(now, m) || dataCentre != "" && m.DataCentre != dataCentre {
			continue
		}
		l.near[m.Address.Host] = struct{}{}
		l.active += f.Sidecars[m.Address.Host].Load.Active
		l.slots += max(1, m.Slots)
	}
	if len(l.near) == 0 && dataCentre != "" {
		return newServiceLoad(now, f, p, "", work)
	}
	return l
}

// leastWait returns the least expected wait at any upstream that accepts new flows.
func leastWait(now time.Duration, f *Fleet, p *registry.Pool, work time.Duration) time.Duration {
	least, found := time.Duration(0), false
	for i := range p.Members {
		m := &p.Members[i]
		if !f.acceptsNewFlows(now, m) {
			continue
		}
		reported := f.Sidecars[m.Address.Host].Load
		wait := admit.Wait(float64(reported.Active), m.Slots, boundedWork(reported.Work, work))
		if !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

// counter returns the counter of a route.
func (a *admission) counter(r *registry.Route) *routeCounter {
	return &a.routes[(r.Address.Port^uint16(r.Address.Host[3]))%routeSlots]
}

// recordRequest counts a request on a flow that the balancer follows: data after a packet
// without any, or after the caller received more of an answer.
func (d *decision) recordRequest(e *flowEntry) {
	if d.packet.Data > 0 && (!e.requestPending || d.packet.Acknowledged != e.acknowledged) {
		d.b.admission.counter(d.route).requests.Add(1)
	}
}

// countFlow counts a flow, and lets older ones count half from time to time.
func (c *routeCounter) countFlow() {
	if c.flows.Add(1) >= maxCountedFlows {
		c.flows.Store(c.flows.Load() / 2)
		c.requests.Store(c.requests.Load() / 2)
	}
}

// perFlow returns the mean number of requests of a flow, 0 when it is not known.
func (c *routeCounter) perFlow() float64 {
	flows := c.flows.Load()
	if flows < minCountedFlows {
		return 0
	}
	return float64(c.requests.Load()) / float64(flows)
}
