package compare

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// reconnectPeriod is the time over which callers of lost flows come back.
const reconnectPeriod = 30 * time.Second

// inject schedules a fault.
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

// replace loses the flows of an upstream; an empty one with a cold start follows.
func (r *run) replace(u *upstream) {
	lost := u.openFlows()
	u.reset(toTime(r.now))
	r.endFlows(lost, true)
}

// startOutage loses all upstreams of a place for a time.
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

// rollingReplace replaces one upstream by a new one in its place, which leaves until
// its flows have ended, and one balancer by an empty one.
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

// misrouted returns the flows whose next packet a balancer without state sends
// to an upstream that does not own them. Sidecars under AcceptOrPass find the
// owner, so none is misrouted there.
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

// endFlows ends flows before their time; their callers open them again.
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
