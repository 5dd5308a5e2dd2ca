package soak_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// rewriteDelay is the time within which operators and running upstreams have
// rewritten the data that the store lost.
const rewriteDelay = 3 * time.Second

// action starts a planned change or a fault, which continues in the background.
// It returns false if it is not applicable in the current state.
type action func(*testbed) bool

// plannedActions returns the operations of operators. An action that is listed
// several times is drawn more often.
func plannedActions() []action {
	return []action{
		(*testbed).changeRoutes,
		(*testbed).changeRoutes,
		(*testbed).sendHangup,
		(*testbed).restartBalancer,
		(*testbed).restartSidecar,
		(*testbed).replaceUpstream,
	}
}

// faultActions returns the injected faults. An action that is listed several times
// is drawn more often.
func faultActions() []action {
	return []action{
		(*testbed).killBalancer,
		(*testbed).killSidecar,
		(*testbed).pauseProcess,
		(*testbed).crashUpstream,
		(*testbed).refuseOpenings,
		(*testbed).refuseOpenings,
		(*testbed).failStore,
		(*testbed).compactStore,
		(*testbed).restoreStore,
		(*testbed).restoreStore,
		(*testbed).restoreStore,
		(*testbed).degradeStoreLink,
		(*testbed).degradeStoreLink,
		(*testbed).cutLink,
		(*testbed).cutLink,
		(*testbed).isolateProcess,
		(*testbed).delayPulls,
		(*testbed).delayPulls,
		(*testbed).degradeLinks,
		(*testbed).partition,
	}
}

// runActions starts random actions until ctx is done. Each drawn action is started
// one or more times in a row, and actions overlap.
func (tb *testbed) runActions(ctx context.Context) {
	all := plannedActions()
	if !tb.plannedOnly {
		all = append(all, faultActions()...)
	}
	for ctx.Err() == nil {
		tb.mu.Lock()
		act := all[tb.rand.IntN(len(all))]
		for i := 0; i < 1+tb.rand.IntN(2); i++ {
			act(tb)
		}
		gap := time.Duration(100+tb.rand.IntN(900)) * time.Millisecond
		tb.mu.Unlock()
		pause(ctx, gap)
	}
}

// randomDuration returns a random duration. The caller holds the lock.
func (tb *testbed) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(tb.rand.Int64N(int64(maximum-minimum)))
}

// schedule runs f after d with the lock held.
func (tb *testbed) schedule(d time.Duration, f func()) {
	tb.actions.Go(func() {
		time.Sleep(d)
		tb.mu.Lock()
		defer tb.mu.Unlock()
		f()
	})
}

// randomProcess returns a random process, or nil if an action on it is in progress. The caller holds the lock.
func (tb *testbed) randomProcess(list []*process) *process {
	p := list[tb.rand.IntN(len(list))]
	if tb.busyProcesses[p] {
		return nil
	}
	return p
}

// randomBalancer is like randomProcess for the balancers. It returns nil unless
// at least one other balancer is available.
func (tb *testbed) randomBalancer() *process {
	free := 0
	for _, p := range tb.balancers {
		if !tb.busyProcesses[p] {
			free++
		}
	}
	if free < 2 {
		return nil
	}
	return tb.randomProcess(tb.balancers)
}

// randomSite returns a random site, or nil if an action on it is in progress or
// no other site of its service is available. The caller holds the lock.
func (tb *testbed) randomSite() *site {
	st := tb.sites[tb.rand.IntN(len(tb.sites))]
	free := 0
	for _, other := range tb.sites {
		if other.host.Service == st.host.Service && !other.busy && !tb.busyProcesses[other.sidecar] {
			free++
		}
	}
	if free < 2 || st.busy || tb.busyProcesses[st.sidecar] {
		return nil
	}
	return st
}

func (tb *testbed) changeRoutes() bool {
	next := fitting
	if tb.changingService == fitting {
		next = report
	}
	tb.publish(next)
	tb.logAction("routes version %d: the changing route leads to %s", tb.routesVersion, next)
	return true
}

// sendHangup makes a process reload its unchanged settings.
func (tb *testbed) sendHangup() bool {
	p := tb.randomProcess(tb.processes())
	if p == nil {
		return false
	}
	p.signal(syscall.SIGHUP)
	tb.logAction("%s: SIGHUP", p.host.Name)
	return true
}

// restart stops a process with end and starts it again after gap.
func (tb *testbed) restart(p *process, end func(), gap time.Duration) {
	tb.busyProcesses[p] = true
	tb.actions.Go(func() {
		end()
		time.Sleep(gap)
		tb.mu.Lock()
		defer tb.mu.Unlock()
		build := tb.drawBuild(p)
		if err := p.start(); err != nil {
			tb.checker.RecordViolation("%s failed to restart: %v", p.host.Name, err)
		}
		tb.logAction("%s: restarted with %s", p.host.Name, build)
		tb.schedule(time.Second, func() { delete(tb.busyProcesses, p) })
	})
}

// drawBuild selects the build that a process is started with next, and returns its name.
// The caller holds the lock unless no other goroutine is running yet.
func (tb *testbed) drawBuild(p *process) string {
	if tb.builds.IntN(2) == 0 {
		p.program = buildProgram
		return "the present build"
	}
	tb.others++
	p.program = buildOther
	return "the other build"
}

// checkLogs fails for lines of processes that could not read what they received: builds
// that are in use at the same time must be able to.
func (tb *testbed) checkLogs() {
	for _, p := range tb.processes() {
		for line := range strings.Lines(p.log.String()) {
			if strings.Contains(line, `"datagram-unusable"`) || strings.Contains(line, `"peer-unreadable"`) {
				tb.checker.RecordViolation("%s cannot read a message: %s", p.host.Name, line)
			}
		}
	}
}

func (tb *testbed) restartBalancer() bool {
	p := tb.randomBalancer()
	if p == nil || tb.plannedOnly && len(tb.busyProcesses) > 0 {
		return false
	}
	tb.logAction("%s: SIGTERM", p.host.Name)
	tb.restart(p, p.stop, 300*time.Millisecond)
	return true
}

func (tb *testbed) restartSidecar() bool {
	st := tb.randomSite()
	if st == nil || tb.plannedOnly && len(tb.busyProcesses) > 0 {
		return false
	}
	tb.logAction("%s: SIGTERM", st.host.Name)
	tb.restart(st.sidecar, st.sidecar.stop, 300*time.Millisecond)
	return true
}

// replaceUpstream drains an upstream, stops it and starts a new one at the same site.
func (tb *testbed) replaceUpstream() bool {
	st := tb.randomSite()
	if st == nil {
		return false
	}
	st.busy = true
	st.draining = true
	tb.register(st)
	st.drainedAt = time.Now()
	st.upstream.Drain()
	tb.logAction("upstream %s at %s: draining", st.upstreamID, st.host.Name)
	tb.schedule(propagationTime+1500*time.Millisecond, func() {
		tb.logAction("upstream %s: stopping", st.upstreamID)
		st.upstream.Stop()
		tb.store.RemoveUpstream(st.upstreamID)
		st.upstream = nil
		tb.startUpstream(st)
		tb.logAction("upstream %s starts at %s", st.upstreamID, st.host.Name)
		tb.schedule(time.Second, func() { st.busy = false })
	})
	return true
}

// injectFault records that a fault lasts from now for d, and then calls f, which
// ends the fault. The caller holds the lock.
func (tb *testbed) injectFault(d time.Duration, f func()) {
	tb.setLastFault(time.Now().Add(d))
	tb.schedule(d, func() {
		f()
		tb.setLastFault(latest(tb.lastFault, time.Now()))
	})
}

// setLastFault sets the end of the latest fault. The caller holds the lock.
func (tb *testbed) setLastFault(end time.Time) {
	tb.lastFault = end
	tb.faultEnd.Store(end.UnixNano())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (tb *testbed) killBalancer() bool {
	p := tb.randomBalancer()
	if p == nil {
		return false
	}
	tb.logAction("%s: SIGKILL", p.host.Name)
	tb.restart(p, p.kill, tb.randomDuration(100*time.Millisecond, 3*time.Second))
	tb.injectFault(4*time.Second, func() {})
	return true
}

func (tb *testbed) killSidecar() bool {
	st := tb.randomSite()
	if st == nil {
		return false
	}
	tb.logAction("%s: SIGKILL", st.host.Name)
	tb.restart(st.sidecar, st.sidecar.kill, tb.randomDuration(100*time.Millisecond, 3*time.Second))
	tb.injectFault(4*time.Second, func() {})
	return true
}

func (tb *testbed) pauseProcess() bool {
	p := tb.randomProcess(tb.processes())
	if p == nil {
		return false
	}
	d := tb.randomDuration(50*time.Millisecond, 4*time.Second)
	tb.logAction("%s: paused for %v", p.host.Name, d)
	tb.busyProcesses[p] = true
	p.signal(syscall.SIGSTOP)
	tb.injectFault(d, func() {
		p.signal(syscall.SIGCONT)
		delete(tb.busyProcesses, p)
	})
	return true
}

func (tb *testbed) crashUpstream() bool {
	st := tb.randomSite()
	if st == nil {
		return false
	}
	d := tb.randomDuration(200*time.Millisecond, 4*time.Second)
	tb.logAction("upstream %s at %s: crashed for %v", st.upstreamID, st.host.Name, d)
	st.busy = true
	old := st.upstreamID
	st.upstream.Stop()
	st.upstream = nil
	tb.injectFault(d, func() {
		tb.startUpstream(st)
		tb.logAction("upstream %s starts at %s", st.upstreamID, st.host.Name)
		st.busy = false
		tb.schedule(time.Second, func() { tb.store.RemoveUpstream(old) })
	})
	return true
}

// refuseOpenings makes the upstreams of a service return openings, as when they are full, so that
// their sidecars pass these on.
func (tb *testbed) refuseOpenings() bool {
	service := []string{fitting, report}[tb.rand.IntN(2)]
	var full []*standin.Upstream
	for _, st := range tb.sites {
		if st.host.Service == service && st.upstream != nil {
			full = append(full, st.upstream)
			st.upstream.Refuse(true)
		}
	}
	d := tb.randomDuration(200*time.Millisecond, 2*time.Second)
	tb.logAction("%d upstreams of %s are full for %v", len(full), service, d)
	tb.injectFault(d, func() {
		for _, u := range full {
			u.Refuse(false)
		}
	})
	return true
}

func (tb *testbed) failStore() bool {
	faults := []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Silent: true},
		{Delay: 250 * time.Millisecond},
	}
	f := faults[tb.rand.IntN(len(faults))]
	d := tb.randomDuration(300*time.Millisecond, 5*time.Second)
	tb.logAction("store fault for %v: %+v", d, f)
	tb.store.SetFault(f)
	tb.injectFault(d, func() { tb.store.SetFault(standin.StoreFault{}) })
	return true
}

func (tb *testbed) compactStore() bool {
	tb.logAction("store compacted")
	tb.store.Compact()
	return true
}

// restoreStore makes the store briefly unavailable and restores it from a copy
// that is a few seconds old. Operators and upstreams rewrite the lost data in
// random order.
func (tb *testbed) restoreStore() bool {
	if tb.restoring {
		return false
	}
	tb.restoring = true
	copied := tb.store.Copy()
	tb.schedule(tb.randomDuration(500*time.Millisecond, 4*time.Second), func() {
		tb.logAction("store unavailable until restored from a copy")
		tb.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
		tb.injectFault(tb.randomDuration(100*time.Millisecond, 1500*time.Millisecond), func() {
			tb.restores++
			tb.logAction("store restored; lost data: %v", tb.store.Restore(copied))
			tb.store.SetFault(standin.StoreFault{})
			tb.rewriteStore()
		})
	})
	return true
}

// rewriteStore rewrites the data that the store lost, each part after a random
// delay. Entries of stopped upstreams are removed after rewriteDelay.
func (tb *testbed) rewriteStore() {
	tb.schedule(tb.randomDuration(0, time.Second), tb.republish)
	for _, st := range tb.sites {
		tb.schedule(tb.randomDuration(0, 1500*time.Millisecond), func() {
			if st.upstream != nil {
				tb.register(st)
			}
		})
	}
	tb.schedule(rewriteDelay, func() {
		running := make(map[string]bool)
		for _, st := range tb.sites {
			running[st.upstreamID] = st.upstream != nil
		}
		for _, id := range tb.store.UpstreamIDs() {
			if !running[id] {
				tb.store.RemoveUpstream(id)
			}
		}
		tb.restoring = false
	})
}

func (tb *testbed) degradeStoreLink() bool {
	px := tb.proxies[tb.rand.IntN(len(tb.proxies))]
	mode := linkMode(1 + tb.rand.IntN(int(linkDropAll)))
	d := tb.randomDuration(300*time.Millisecond, 5*time.Second)
	tb.logAction("store link %s degraded for %v: mode %d", px.address(), d, mode)
	px.setMode(mode)
	tb.injectFault(d, func() { px.setMode(linkNormal) })
	return true
}
