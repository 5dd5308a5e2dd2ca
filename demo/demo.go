// Package demo runs all roles of the load balancer and a simulated environment
// in one process over loopback sockets, with an example bundle and a short load.
//
// Start with Run.
package demo

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/sourcegraph/conc"
)

const (
	defaultFlows     = 2000
	defaultRequests  = 10
	defaultParallel  = 200
	defaultSlots     = 8
	startTimeout     = 30 * time.Second
	pauseThreshold   = 5 * time.Second
	progressInterval = 500 * time.Millisecond
	idsPerGroup      = 1_000_000
)

// Config holds the settings of a demo. The zero value selects the defaults.
type Config struct {
	// Seed seeds the keys of the demo and the random choices of the simulated environment.
	Seed uint64
	// Flows is the total number of flows, from 6 to 1,000,000. Zero selects 2,000.
	Flows int
	// Requests is the number of requests per flow. Zero selects 10.
	Requests int
	// Parallel is the number of concurrent flows. Zero selects 200.
	Parallel int
	// Slots is the number of concurrent requests per upstream. Zero selects 8.
	Slots int
	// Log receives the events of the processes. Nil discards them.
	Log *event.Logger
	// Progress is called every 500 ms with the results so far, unless it is nil.
	Progress func(standin.Result)
}

func (c Config) withDefaults() Config {
	if c.Flows == 0 {
		c.Flows = defaultFlows
	}
	if c.Requests == 0 {
		c.Requests = defaultRequests
	}
	if c.Parallel == 0 {
		c.Parallel = defaultParallel
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	return c
}

// Run starts the deployment, runs the load and returns the report. It returns
// *StartError if a component does not start, and the error of ctx.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	d, err := newDeployment(cfg)
	if err != nil {
		return Report{}, err
	}
	runCtx, stop := context.WithCancel(ctx)
	d.start(runCtx)
	report, err := d.runLoad(ctx)
	stop()
	d.wait()
	if err != nil {
		return Report{}, err
	}
	return d.addCounts(report), ctx.Err()
}

// runLoad runs the callers of both services and returns their results.
func (d *deployment) runLoad(ctx context.Context) (Report, error) {
	begin := d.timer.Now()
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.awaitReady(readyCtx); err != nil {
		return Report{}, err
	}
	report := Report{StartSeconds: d.timer.Since(begin).Seconds()}
	groups, err := d.newCallerGroups()
	if err != nil {
		return Report{}, err
	}
	var wg conc.WaitGroup
	for _, g := range groups {
		wg.Go(func() { _ = g.caller.Run(ctx) })
	}
	stop := d.startProgress(ctx, groups)
	wg.Wait()
	stop()
	for _, name := range serviceNames() {
		r := serviceResult(name, groups)
		report.Services = append(report.Services, ServiceReport{Service: name, Result: r})
		report.Total = report.Total.Merge(r)
	}
	return report, nil
}

// serviceResult returns the merged results of the callers of a service.
func serviceResult(service string, groups []callerGroup) standin.Result {
	var sum standin.Result
	for _, g := range groups {
		if g.service == service {
			sum = sum.Merge(g.caller.Result())
		}
	}
	return sum
}

// callerGroup simulates the callers of one service near one data centre.
type callerGroup struct {
	service string
	caller  *standin.Caller
}

// newCallerGroups returns a group for each service and data centre.
func (d *deployment) newCallerGroups() ([]callerGroup, error) {
	var list []callerGroup
	for i, name := range serviceNames() {
		for j := range dataCentres() {
			c, err := standin.NewCaller(d.callerConfig(i, j))
			if err != nil {
				return nil, &StartError{Component: "caller", Cause: err}
			}
			list = append(list, callerGroup{service: name, caller: c})
		}
	}
	return list, nil
}

// callerConfig returns the settings of the callers of a service near a data centre, both given by index.
func (d *deployment) callerConfig(service, dataCentre int) standin.CallerConfig {
	groups := len(serviceNames()) * len(dataCentres())
	group := service*len(dataCentres()) + dataCentre
	addr := serviceAddress(service)
	name := serviceNames()[service]
	return standin.CallerConfig{
		Timers:      d.timer,
		LocalFabric: d.fabric,
		Targets: []standin.CallerTarget{
			{Address: addr, Protocol: flow.TCP, Service: name},
			{Address: addr, Protocol: flow.UDP, Service: name},
		},
		Sources:  []netip.Prefix{sourcePrefix(service, dataCentre)},
		Flows:    share(d.cfg.Flows, groups, group),
		Requests: d.cfg.Requests,
		Parallel: max(1, d.cfg.Parallel/groups),
		ID:       uint64(group) * idsPerGroup,
		Seed:     d.cfg.Seed + uint64(group),
	}
}

// share returns the i-th of n nearly equal parts of total. The parts add up to total.
func share(total, n, i int) int {
	return total*(i+1)/n - total*i/n
}

func serviceNames() []string {
	return []string{firstService, secondService}
}

// startProgress reports progress periodically until the returned function is called.
func (d *deployment) startProgress(ctx context.Context, groups []callerGroup) func() {
	if d.cfg.Progress == nil {
		return func() {}
	}
	progressCtx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() {
		for d.timer.Sleep(progressCtx, progressInterval) == nil {
			var sum standin.Result
			for _, g := range groups {
				sum = sum.Merge(g.caller.Result())
			}
			d.cfg.Progress(sum)
		}
	})
	return func() {
		stop()
		wg.Wait()
	}
}

// addCounts returns the report with the counts of the processes and the audit added.
func (d *deployment) addCounts(r Report) Report {
	var runs []standin.Run
	for _, p := range d.pairs {
		runs = append(runs, p.upstream.Runs()...)
		r.Sidecars = append(r.Sidecars, SidecarReport{
			Name:      p.upstream.Name(),
			Completed: r.Total.Upstreams[p.upstream.Name()],
			Counts:    p.sidecar.Counts(),
		})
	}
	for _, b := range d.balancers {
		r.Balancers = append(r.Balancers, b.Counts())
	}
	r.Audit = standin.NewAudit(runs, r.Total.Records)
	slices.SortFunc(r.Sidecars, compareSidecars)
	return r
}
