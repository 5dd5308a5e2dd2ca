package soak_test

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// rewriteTime is after how long all who live have written again what the store lost.
const rewriteTime = 3 * time.Second

// action is something that happens to the deployment. It reports false when it
// does not fit now; the rest of it runs in the background.
type action func(*world) bool

// plannedActions are what operators do.
func plannedActions() []action {
	return []action{
		(*world).changeRoutes,
		(*world).changeRoutes,
		(*world).hangUp,
		(*world).rollBalancer,
		(*world).rollSidecar,
		(*world).replaceUpstream,
	}
}

// faultActions are what goes wrong.
func faultActions() []action {
	return []action{
		(*world).killBalancer,
		(*world).killSidecar,
		(*world).pauseProcess,
		(*world).crashUpstream,
		(*world).failStore,
		(*world).forgetHistory,
		(*world).rewindStore,
		(*world).rewindStore,
		(*world).rewindStore,
		(*world).harmLink,
		(*world).harmLink,
		(*world).cutLink,
		(*world).cutLink,
		(*world).isolate,
		(*world).disturb,
		(*world).divide,
	}
}

// play draws actions until ctx is done; they come in series and overlap.
func (w *world) play(ctx context.Context) {
	all := plannedActions()
	if !w.planned {
		all = append(all, faultActions()...)
	}
	for ctx.Err() == nil {
		w.mu.Lock()
		do := all[w.random.IntN(len(all))]
		for i := 0; i < 1+w.random.IntN(2); i++ {
			do(w)
		}
		gap := time.Duration(100+w.random.IntN(900)) * time.Millisecond
		w.mu.Unlock()
		pause(ctx, gap)
	}
}

// between returns a random time. The caller holds the lock.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// later runs f, with the lock held, after a while.
func (w *world) later(d time.Duration, f func()) {
	w.actions.Go(func() {
		time.Sleep(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	})
}

// anyProcess returns a process for which nothing is under way, or nil. The caller holds the lock.
func (w *world) anyProcess(list []*process) *process {
	p := list[w.random.IntN(len(list))]
	if w.resting[p] {
		return nil
	}
	return p
}

// anyBalancer is anyProcess among the balancers, as long as another one serves.
func (w *world) anyBalancer() *process {
	free := 0
	for _, p := range w.balancers {
		if !w.resting[p] {
			free++
		}
	}
	if free < 2 {
		return nil
	}
	return w.anyProcess(w.balancers)
}

// anySite returns a site for which nothing is under way, or nil: one of each
// service is left alone. The caller holds the lock.
func (w *world) anySite() *site {
	st := w.sites[w.random.IntN(len(w.sites))]
	free := 0
	for _, other := range w.sites {
		if other.host.Service == st.host.Service && !other.busy && !w.resting[other.sidecar] {
			free++
		}
	}
	if free < 2 || st.busy || w.resting[st.sidecar] {
		return nil
	}
	return st
}

func (w *world) changeRoutes() bool {
	next := fitting
	if w.service == fitting {
		next = report
	}
	w.publish(next)
	w.note("version %d sends the changing route to %s", w.version, next)
	return true
}

// hangUp tells a process that its settings changed, which they did not.
func (w *world) hangUp() bool {
	p := w.anyProcess(w.processes())
	if p == nil {
		return false
	}
	p.signal(syscall.SIGHUP)
	w.note("%s gets SIGHUP", p.host.Name)
	return true
}

// restart ends a process with end and starts it again after a while.
func (w *world) restart(p *process, end func(), gap time.Duration) {
	w.resting[p] = true
	w.actions.Go(func() {
		end()
		time.Sleep(gap)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := p.start(); err != nil {
			w.ledger.RecordViolation("%s does not start again: %v", p.host.Name, err)
		}
		w.note("%s starts again", p.host.Name)
		w.later(time.Second, func() { delete(w.resting, p) })
	})
}

func (w *world) rollBalancer() bool {
	p := w.anyBalancer()
	if p == nil || w.planned && len(w.resting) > 0 {
		return false
	}
	w.note("%s gets SIGTERM", p.host.Name)
	w.restart(p, p.stop, 300*time.Millisecond)
	return true
}

func (w *world) rollSidecar() bool {
	st := w.anySite()
	if st == nil || w.planned && len(w.resting) > 0 {
		return false
	}
	w.note("%s gets SIGTERM", st.host.Name)
	w.restart(st.sidecar, st.sidecar.stop, 300*time.Millisecond)
	return true
}

// replaceUpstream drains an upstream, ends it with its sidecar and starts another one there.
func (w *world) replaceUpstream() bool {
	st := w.anySite()
	if st == nil {
		return false
	}
	st.busy = true
	st.draining = true
	w.register(st)
	st.drained = time.Now()
	st.upstream.Drain()
	w.note("upstream %s at %s drains", st.id, st.host.Name)
	w.later(applyTime+1500*time.Millisecond, func() {
		w.note("upstream %s ends", st.id)
		st.upstream.Stop()
		w.store.RemoveUpstream(st.id)
		st.upstream = nil
		w.startUpstream(st)
		w.note("upstream %s starts at %s", st.id, st.host.Name)
		w.later(time.Second, func() { st.busy = false })
	})
	return true
}

// strike notes that trouble begins now and ends after d, when f is called.
func (w *world) strike(d time.Duration, f func()) {
	w.trouble = time.Now().Add(d)
	w.later(d, func() {
		f()
		w.trouble = later(w.trouble, time.Now())
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) killBalancer() bool {
	p := w.anyBalancer()
	if p == nil {
		return false
	}
	w.note("%s is killed", p.host.Name)
	w.restart(p, p.kill, w.between(100*time.Millisecond, 3*time.Second))
	w.strike(4*time.Second, func() {})
	return true
}

func (w *world) killSidecar() bool {
	st := w.anySite()
	if st == nil {
		return false
	}
	w.note("%s is killed", st.host.Name)
	w.restart(st.sidecar, st.sidecar.kill, w.between(100*time.Millisecond, 3*time.Second))
	w.strike(4*time.Second, func() {})
	return true
}

func (w *world) pauseProcess() bool {
	p := w.anyProcess(w.processes())
	if p == nil {
		return false
	}
	d := w.between(50*time.Millisecond, 4*time.Second)
	w.note("%s is paused for %v", p.host.Name, d)
	w.resting[p] = true
	p.signal(syscall.SIGSTOP)
	w.strike(d, func() {
		p.signal(syscall.SIGCONT)
		delete(w.resting, p)
	})
	return true
}

func (w *world) crashUpstream() bool {
	st := w.anySite()
	if st == nil {
		return false
	}
	d := w.between(200*time.Millisecond, 4*time.Second)
	w.note("upstream %s at %s crashes for %v", st.id, st.host.Name, d)
	st.busy = true
	old := st.id
	st.upstream.Stop()
	st.upstream = nil
	w.strike(d, func() {
		w.startUpstream(st)
		w.note("upstream %s starts at %s", st.id, st.host.Name)
		st.busy = false
		w.later(time.Second, func() { w.store.RemoveUpstream(old) })
	})
	return true
}

func (w *world) failStore() bool {
	faults := []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Silent: true},
		{Delay: 250 * time.Millisecond},
	}
	f := faults[w.random.IntN(len(faults))]
	d := w.between(300*time.Millisecond, 5*time.Second)
	w.note("the store fails for %v: %+v", d, f)
	w.store.SetFault(f)
	w.strike(d, func() { w.store.SetFault(standin.StoreFault{}) })
	return true
}

func (w *world) forgetHistory() bool {
	w.note("the store forgets its history")
	w.store.Compact()
	return true
}

// rewindStore lets the store come back from a copy some seconds old, after it was
// away for a moment. Operators and upstreams write again what it lost, in any order.
func (w *world) rewindStore() bool {
	if w.rewinding {
		return false
	}
	w.rewinding = true
	copied := w.store.Copy()
	w.later(w.between(500*time.Millisecond, 4*time.Second), func() {
		w.note("the store is away, and comes back from a copy")
		w.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
		w.strike(w.between(100*time.Millisecond, 1500*time.Millisecond), func() {
			w.rewinds++
			w.note("the copy lacks %v", w.store.Restore(copied))
			w.store.SetFault(standin.StoreFault{})
			w.writeAgain()
		})
	})
	return true
}

// writeAgain writes what the store lost, each after a delay of its own. Entries of
// upstreams that are gone lapse.
func (w *world) writeAgain() {
	w.later(w.between(0, time.Second), w.publishAgain)
	for _, st := range w.sites {
		w.later(w.between(0, 1500*time.Millisecond), func() {
			if st.upstream != nil {
				w.register(st)
			}
		})
	}
	w.later(rewriteTime, func() {
		living := make(map[string]bool)
		for _, st := range w.sites {
			living[st.id] = st.upstream != nil
		}
		for _, id := range w.store.UpstreamIDs() {
			if !living[id] {
				w.store.RemoveUpstream(id)
			}
		}
		w.rewinding = false
	})
}

func (w *world) harmLink() bool {
	px := w.proxies[w.random.IntN(len(w.proxies))]
	mode := link(1 + w.random.IntN(int(linkSilent)))
	d := w.between(300*time.Millisecond, 5*time.Second)
	w.note("the link of %s to the store is harmed for %v: mode %d", px.address(), d, mode)
	px.set(mode)
	w.strike(d, func() { px.set(linkPass) })
	return true
}
