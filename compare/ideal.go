package compare

// tryIdeal takes an opening without sidecars: short flows wait in one queue
// over all slots, long ones go to the upstream with the fewest connections.
func (r *run) tryIdeal(f *flow) {
	if f.work > 0 {
		r.central = append(r.central, f)
		r.dispatchIdeal()
		return
	}
	if u := r.fewest(); u != nil {
		f.visits++
		r.accept(f, u)
	}
}

// dispatchIdeal starts what waits on the fastest free slots.
func (r *run) dispatchIdeal() {
	for len(r.central) > 0 {
		u := r.fastest()
		if u == nil {
			return
		}
		f := r.central[0]
		r.central = r.central[1:]
		f.owner = u
		u.own(f, r.now)
		r.serve(f, u)
	}
}

func (r *run) fastest() *upstream {
	var best *upstream
	for _, u := range r.upstreams {
		if !u.free() || u.down || u.leaving {
			continue
		}
		if best == nil || u.slow < best.slow {
			best = u
		}
	}
	return best
}

func (r *run) fewest() *upstream {
	var best *upstream
	for _, u := range r.upstreams {
		if u.dead || u.leaving {
			continue
		}
		if best == nil || len(u.flows) < len(best.flows) {
			best = u
		}
	}
	return best
}
