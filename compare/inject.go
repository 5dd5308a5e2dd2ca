package compare

import (
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/load"
)

// reconnect is the time over which callers of lost flows come back.
const reconnect = 30 * time.Second

// inject schedules a fault.
func (r *run) inject(f Fault) {
	switch f := f.(type) {
	case Slow:
		r.upstreams[f.Upstream].slow = f.Factor
	case ReportZeroLoad:
		r.upstreams[f.Upstream].silent = true
	case Flap:
		r.flap(r.upstreams[f.Upstream], f.Period)
	case Replace:
		r.after(f.At, func() { r.replace(r.upstreams[f.Upstream]) })
	case PlaceOutage:
		r.after(f.At, func() { r.lose(f) })
	case RollingReplace:
		r.after(f.At, func() { r.change(f) })
	}
}

func (r *run) flap(u *upstream, period time.Duration) {
	r.after(period, func() {
		u.down = !u.down
		if !u.down {
			r.dispatch(u)
			r.dispatchIdeal()
		}
		r.flap(u, period)
	})
}

// replace loses the flows of an upstream; an empty one with a cold start follows.
func (r *run) replace(u *upstream) {
	lost := u.openFlows()
	u.empty(clock(r.now))
	r.dropped(lost, true)
}

// lose loses all upstreams of a place for a time.
func (r *run) lose(l PlaceOutage) {
	for _, u := range r.upstreams {
		if u.place != l.Place {
			continue
		}
		lost := u.openFlows()
		u.empty(clock(r.now))
		u.dead = true
		r.dropped(lost, true)
		r.after(l.Duration, func() {
			u.dead = false
			u.empty(clock(r.now))
		})
	}
}

// change replaces one upstream by a new one in its place, which leaves until
// its flows have ended, and one balancer by an empty one.
func (r *run) change(c RollingReplace) {
	old := r.upstreams[r.oldest()]
	old.leave()
	r.add(old.place, 0)
	r.dropped(r.misrouted(), false)
	r.after(c.Interval, func() { r.change(c) })
}

func (r *run) oldest() int {
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
			f.order = rank(f.hash, f.place, len(r.cfg.Places), r.upstreams)
			r.choose(f)
			if f.order[0] != u {
				broken = append(broken, f)
			}
		}
	}
	return broken
}

// dropped ends flows before their time; their callers open them again.
func (r *run) dropped(flows []*flow, lost bool) {
	for _, f := range flows {
		r.release(f)
		f.done = true
		r.count(func(res *Result) {
			if lost {
				res.Lost++
				return
			}
			res.Broken++
		})
		r.retry(f, time.Duration(r.returns.Float64()*float64(reconnect)))
	}
}
