package flow_test

import (
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// leavingGrace is how long a leaving upstream may still get new flows after it was first notified.
const leavingGrace = 2 * time.Second

// An oracle records where requests ran and what callers received, and checks the
// invariants. It shares no code with the decisions that it checks.
type oracle struct {
	w *world
	// violations lists the violated invariants, in order.
	violations []string
	// planned is true while only planned changes and losses of balancers have happened.
	planned bool
	// ranAnywhere holds the requests that ran at any upstream.
	ranAnywhere map[int]bool
	// runs holds, by request, the incarnation of the first upstream of a
	// non-idempotent service that ran it.
	runs map[int]uint64
	// notRun holds the requests that a refusal reported as not run.
	notRun map[int]bool
	// lastRuns holds where and when the last request of a UDP flow ran.
	lastRuns map[*callerFlow]lastRun
	// brokenFlows is the number of established flows that broke.
	brokenFlows int
	visits      int
	packets     int
}

type lastRun struct {
	incarnation uint64
	host        *host
	at          time.Time
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, planned: true, ranAnywhere: map[int]bool{}, runs: map[int]uint64{}, notRun: map[int]bool{}, lastRuns: map[*callerFlow]lastRun{}}
}

func (o *oracle) fail(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// visited counts the sidecars that a delivered packet visited.
func (o *oracle) visited(k flow.Key, hops int) {
	o.visits += hops
	o.packets++
}

// delivered checks that the upstream serves a service that had the packet's
// address in any plan.
func (o *oracle) delivered(h *host, p flow.Packet, bd body) {
	for _, plan := range o.w.plans {
		if plan.addresses[p.Key.Address()].service == h.service {
			return
		}
	}
	o.fail("a packet of request %d for %v reached upstream %d of service %d", bd.id, p.Key, h.id, h.service)
}

// opened checks that a leaving upstream gets no new flow.
func (o *oracle) opened(h *host, bd body) {
	if !h.leavingSince.IsZero() && o.w.now.Sub(h.leavingSince) > leavingGrace {
		o.fail("upstream %d got a new flow %v %v after the first sign that it leaves", h.id, bd.flow.key, o.w.now.Sub(h.leavingSince))
	}
}

// ran checks that a request runs at most once, and not after a refusal reported it
// as not run.
func (o *oracle) ran(h *host, bd body) {
	if o.notRun[bd.id] {
		o.fail("request %d ran at upstream %d after a refusal said that it did not", bd.id, h.id)
	}
	o.ranAnywhere[bd.id] = true
	o.checkOwnerKept(h, bd)
	if o.idempotent(h.service) {
		return
	}
	first, again := o.runs[bd.id]
	if again && first != h.incarnation {
		o.fail("request %d of %v ran again at upstream %d", bd.id, bd.flow.key, h.id)
	}
	if !again {
		o.runs[bd.id] = h.incarnation
	}
}

// checkOwnerKept checks that planned changes do not move an established UDP flow.
func (o *oracle) checkOwnerKept(h *host, bd body) {
	if bd.flow.key.Protocol() != flow.UDP {
		return
	}
	old, ok := o.lastRuns[bd.flow]
	o.lastRuns[bd.flow] = lastRun{incarnation: h.incarnation, host: h, at: o.w.now}
	if ok && o.planned && old.incarnation != h.incarnation && o.w.now.Sub(old.at) < testIdle {
		o.fail("flow %v moved from upstream %d to %d during planned changes", bd.flow.key, old.host.id, h.id)
	}
}

func (o *oracle) idempotent(s bundle.ServiceID) bool {
	return o.w.plans[0].settings[s].Idempotent
}

// refused checks that a request reported as not run has not run.
func (o *oracle) refused(h *host, bd body, r flow.Refuse) {
	if !r.NotRun || bd.id == 0 {
		return
	}
	if o.ranAnywhere[bd.id] {
		o.fail("upstream %d refused request %d as not run, but it ran", h.id, bd.id)
	}
	o.notRun[bd.id] = true
}

// broken counts an established flow that broke. During planned changes only a flow
// that was idle may break.
func (o *oracle) broken(f *callerFlow, why string) {
	o.brokenFlows++
	if o.planned && !f.idle {
		o.fail("flow %v broke during planned changes: %s", f.key, why)
	}
}

// stopped checks that a planned stop interrupts no request.
func (o *oracle) stopped(h *host) {
	if h.runningRequests > 0 && o.planned {
		o.fail("the stop of upstream %d interrupted %d requests", h.id, h.runningRequests)
	}
}
