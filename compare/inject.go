package compare

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// reconnectPeriod is the time over which the callers of ended flows reconnect.
const reconnectPeriod = 30 * time.Second

// inject applies a fault or schedules it.
func (r *run) inject(f Fault) {
	switch f := f.(type) {
	case Slow:
		r.upstreams[f.Upstream].slowdown = f.Factor
	case ReportZeroLoad:
		r.upstreams[f.Upstream].reportsZeroLoad = true
	case Flap:
		r.flap(r.upstreams[f.Upstream], f.Period)
	case Replace:
		r.after(f.At, func() { r.replace(r.upstreams[f.Upstream]) })
	case PlaceOutage:
		r.after(f.At, func() { r.startOutage(f) })
	case RollingReplace:
		r.after(f.At, func() { r.rollingReplace(f) })
	}
}

func (r *run) flap(u *upstream, period time.Duration) {
	r.after(period, func() {
		u.refusing = !u.refusing
		if !u.refusing {
			r.dispatch(u)
			r.dispatchIdeal()
		}
		r.flap(u, period)
	})
}

// replace ends the flows of an upstream and resets it, which begins a cold start.
func (r *run) replace(u *upstream) {
	lost := u.openFlows()
	u.reset(toTime(r.now))
	r.endFlows(lost, true)
}

// startOutage takes the upstreams of a place offline and schedules their return.
func (r *run) startOutage(o PlaceOutage) {
	for _, u := range r.upstreams {
		if u.place != o.Place {
			continue
		}
		lost := u.openFlows()
		u.reset(toTime(r.now))
		u.offline = true
		r.endFlows(lost, true)
		r.after(o.Duration, func() {
			u.offline = false
			u.reset(toTime(r.now))
		})
	}
}

// rollingReplace adds an upstream beside the oldest one, which keeps its flows
// until they end, and replaces one balancer by one without state.
func (r *run) rollingReplace(c RollingReplace) {
	old := r.upstreams[r.oldestInUse()]
	old.setLeaving()
	r.addUpstream(old.place, 0)
	r.endFlows(r.misrouted(), false)
	r.after(c.Interval, func() { r.rollingReplace(c) })
}

func (r *run) oldestInUse() int {
	return slices.IndexFunc(r.upstreams, func(u *upstream) bool { return !u.leaving })
}

// misrouted returns the flows whose next packet a balancer without state would
// send to an upstream other than the owner. Under AcceptOrPass there are none,
// since the sidecars forward packets to the owner.
func (r *run) misrouted() []*flow {
	switch r.cfg.Policy.(type) {
	case nil, load.AcceptOrPass:
		return nil
	}
	var broken []*flow
	for _, u := range r.upstreams {
		for _, f := range u.openFlows() {
			f.candidates = rank(f.hash, f.place, len(r.cfg.Places), r.upstreams)
			r.orderByPolicy(f)
			if f.candidates[0] != u {
				broken = append(broken, f)
			}
		}
	}
	return broken
}

// endFlows aborts flows and schedules the reconnects of their callers. The flows
// count as lost or else as broken.
func (r *run) endFlows(flows []*flow, lost bool) {
	for _, f := range flows {
		r.release(f)
		f.done = true
		r.record(func(res *Result) {
			if lost {
				res.Lost++
				return
			}
			res.Broken++
		})
		r.retry(f, time.Duration(r.jitter.Float64()*float64(reconnectPeriod)))
	}
}
