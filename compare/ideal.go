package compare

// attemptIdeal assigns an opening without sidecars: short flows wait in one
// queue over all slots, long flows go to the upstream with the fewest
// connections.
func (r *run) attemptIdeal(f *flow) {
	if f.work > 0 {
		r.idealQueue = append(r.idealQueue, f)
		r.dispatchIdeal()
		return
	}
	if u := r.leastConnected(); u != nil {
		f.visits++
		r.accept(f, u)
	}
}

// dispatchIdeal starts queued requests while slots are free, on the fastest
// upstream first.
func (r *run) dispatchIdeal() {
	for len(r.idealQueue) > 0 {
		u := r.fastestFree()
		if u == nil {
			return
		}
		f := r.idealQueue[0]
		r.idealQueue = r.idealQueue[1:]
		f.owner = u
		u.addFlow(f, r.now)
		r.serve(f, u)
	}
}

func (r *run) fastestFree() *upstream {
	var best *upstream
	for _, u := range r.upstreams {
		if !u.hasFreeSlot() || u.refusing || u.leaving {
			continue
		}
		if best == nil || u.slowdown < best.slowdown {
			best = u
		}
	}
	return best
}

func (r *run) leastConnected() *upstream {
	var best *upstream
	for _, u := range r.upstreams {
		if u.offline || u.leaving {
			continue
		}
		if best == nil || len(u.flows) < len(best.flows) {
			best = u
		}
	}
	return best
}
