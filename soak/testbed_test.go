package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// childProcesses waits for the child processes of all testbeds.
var childProcesses conc.WaitGroup

const (
	fitting = "fitting"
	report  = "report"

	// idleTimeout is the time without packets after which flows may be dropped.
	idleTimeout = 15 * time.Second
	// settleTime is the period after a fault during which guarantees with a time bound are not checked.
	settleTime = 5 * time.Second
	// propagationTime is the maximum time until routes and draining are in effect.
	propagationTime = 3 * time.Second
)

// The kinds of hosts. A kind is the upper half of the third byte of an address.
const (
	kindBalancer = 1
	kindSidecar  = 2
	kindCaller   = 3
	kindProxy    = 4
	// kindBound is added to the kind in an advertised address to form the bound address.
	kindBound = 8
)

// The service of route steady is fixed; that of route changing alternates with the versions.
var (
	steady   = netip.MustParseAddrPort("198.18.0.1:8443")
	changing = netip.MustParseAddrPort("198.18.0.2:8443")
)

// site is an instance with an upstream and its sidecar.
type site struct {
	host          standin.Host
	sidecar       *process
	upstream      *standin.Upstream // nil while no upstream is running
	upstreamID    string            // of the current or last upstream
	startedAt     time.Time         // the start of that upstream
	entryWrites   int               // the number of writes of its entry
	draining      bool
	drainedAt     time.Time // when the store received the draining entry; zero if not draining
	openings      int       // accepted at the last check after drainedAt+propagationTime
	openingsValid bool      // whether openings is set
	busy          bool      // a change or fault is in progress
}

// size is the size of a deployment.
type size struct {
	balancers, fitting, report int
	dataCentres                int
	callers                    int
	readyTime                  time.Duration // within which all balancers are ready
}

// smallSize is the size of the deployments of most seeds.
var smallSize = size{balancers: 3, fitting: 4, report: 2, dataCentres: 2, callers: 2, readyTime: 30 * time.Second}

// testbed is a complete deployment on loopback addresses.
type testbed struct {
	t           *testing.T
	seed        uint64
	size        size
	plannedOnly bool // no faults are injected
	versions    *standin.VersionOracle
	store       *standin.Store
	storeServer *http.Server
	checker     *standin.Checker
	router      *standin.Router
	callers     []*standin.Caller
	proxies     []*proxy
	network     *network
	actions     conc.WaitGroup

	mu              sync.Mutex
	rand            *rand.Rand
	balancers       []*process
	busyProcesses   map[*process]bool // processes with a change or fault in progress
	sites           []*site
	routesVersion   uint64
	routesWritten   time.Time // when the newest version was written to the store
	movingSince     []uint64  // the version that added each of the moving routes
	changingService string    // the service of the changing route
	previousService string    // its service in the previous version
	restoring       bool      // a restore of the store and the rewrite of lost data are in progress
	restores        int       // the number of restores
	// builds draws the builds of processes. It is not rand, so that the other draws of a
	// seed do not depend on it.
	builds        *rand.Rand
	others        int          // the number of starts with the other build
	lastFault     time.Time    // the end of the latest fault; in the future while it lasts
	faultEnd      atomic.Int64 // the same in Unix nanoseconds, for upstreams, which hold locks of their own
	upstreamCount int          // the number of upstreams started
	actionLog     []string     // the actions with their times
	startedAt     time.Time
}

// loopback returns an address of this testbed. The lower half of its third byte
// derives from the process ID, so that addresses of concurrent soak tests rarely
// collide.
func loopback(seed uint64, kind, n int) netip.Addr {
	pid := uint64(os.Getpid())
	return netip.AddrFrom4([4]byte{127, byte(100 + (pid+seed)%100), byte(kind<<4) | byte(pid%16), byte(n)})
}

func newTestbed(t *testing.T, seed uint64, plannedOnly bool, sz size) *testbed {
	tb := &testbed{
		t: t, seed: seed, size: sz, plannedOnly: plannedOnly, versions: standin.NewVersionOracle(),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		builds:  rand.New(rand.NewPCG(seed, 2)),
		network: newNetwork(standin.DefaultPorts.Exchange, seed),
		store:   standin.NewStore(), checker: standin.NewChecker(),
		busyProcesses: make(map[*process]bool), startedAt: time.Now(),
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(loopback(seed, kindProxy, 250), 0).String())
	must.NoError(t, err)
	tb.storeServer = &http.Server{Handler: tb.store}
	tb.actions.Go(func() { _ = tb.storeServer.Serve(l) })
	storeAddr := netip.MustParseAddrPort(l.Addr().String())

	var balancerHosts []standin.Host
	for n := range sz.balancers {
		balancerHosts = append(balancerHosts, tb.host(kindBalancer, n+1, ""))
	}
	tb.publish(fitting)
	for n := range sz.fitting + sz.report {
		s := fitting
		if n >= sz.fitting {
			s = report
		}
		h := tb.host(kindSidecar, n+1, s)
		st := &site{host: h, sidecar: tb.process(h, "sidecar", storeAddr, balancerHosts)}
		tb.sites = append(tb.sites, st)
		tb.startUpstream(st)
		tb.drawBuild(st.sidecar)
		must.NoError(t, st.sidecar.start())
	}
	for _, h := range balancerHosts {
		p := tb.process(h, "balancer", storeAddr, balancerHosts)
		tb.balancers = append(tb.balancers, p)
		tb.drawBuild(p)
		must.NoError(t, p.start())
	}
	tb.router = standin.NewRouter(balancerHosts)
	for n := range sz.callers {
		c, err := standin.NewCaller(standin.CallerConfig{
			Host: tb.host(kindCaller, n+1, ""), Router: tb.router, Checker: tb.checker, Opening: tb.recordOpening,
		})
		must.NoError(t, err)
		tb.callers = append(tb.callers, c)
	}
	return tb
}

func (tb *testbed) host(kind, n int, service string) standin.Host {
	return standin.Host{
		Name: fmt.Sprintf("n-%d-%d", kind, n), Address: loopback(tb.seed, kind, n),
		DataCentre: string(rune('a' + n%tb.size.dataCentres)), Service: service,
		Ports: standin.DefaultPorts,
	}
}

// boundAddress returns the address to which a process with the advertised address is bound.
func boundAddress(advertised netip.Addr) netip.Addr {
	b := advertised.As4()
	b[2] += kindBound << 4
	return netip.AddrFrom4(b)
}

// process returns a new process that connects to the store through its own proxy
// and to other processes through the network.
func (tb *testbed) process(h standin.Host, role string, store netip.AddrPort, seeds []standin.Host) *process {
	px, err := newProxy(netip.AddrPortFrom(loopback(tb.seed, kindProxy, len(tb.proxies)+1), 0), store)
	must.NoError(tb.t, err)
	tb.proxies = append(tb.proxies, px)
	env, err := h.WriteSettings(tb.t.TempDir(), px.address(), seeds)
	must.NoError(tb.t, err)
	bound := boundAddress(h.Address)
	must.NoError(tb.t, tb.network.add(h.Address, bound))
	return newProcess(h, role, netip.AddrPortFrom(bound, h.Ports.Exchange), env)
}

// publish writes the next version of the routes, with service for the changing route.
func (tb *testbed) publish(service string) {
	tb.previousService, tb.changingService, tb.routesWritten = tb.changingService, service, time.Now()
	tb.publishVersion(1 + tb.rand.Uint64N(4))
}

// publishVersion writes the routes as a version that is later by step.
func (tb *testbed) publishVersion(step uint64) {
	tb.routesVersion += step
	tb.addMovingRoute()
	tb.republish()
}

// republish writes the newest version of the routes again, because the store may have lost it.
func (tb *testbed) republish() {
	routes := []standin.Route{
		{Address: steady, Service: fitting},
		{Address: changing, Service: tb.changingService, Idempotent: true},
	}
	tb.store.PublishRoutes(tb.routesVersion, idleTimeout, append(routes, tb.movingRoutes()...)...)
}

// startUpstream starts a new upstream at a site and registers it. The caller holds
// the lock unless no other goroutine is running yet.
func (tb *testbed) startUpstream(st *site) {
	tb.upstreamCount++
	st.upstreamID = fmt.Sprintf("u%d", tb.upstreamCount)
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: st.upstreamID, Host: st.host, Service: st.host.Service, Seed: tb.seed<<16 + uint64(tb.upstreamCount),
		Checker: tb.checker, ServiceTime: 5 * time.Millisecond, Opened: tb.openedBy(st, st.upstreamID),
	})
	must.NoError(tb.t, err)
	st.upstream, st.drainedAt, st.openingsValid = u, time.Time{}, false
	st.startedAt, st.entryWrites, st.draining = time.Now(), 0, false
	tb.register(st)
}

// register writes the entry of an upstream to the store.
func (tb *testbed) register(st *site) {
	st.entryWrites++
	tb.store.PublishUpstream(standin.Entry{
		ID: st.upstreamID, Service: st.host.Service, Address: st.host.AddrPort(st.host.Ports.Upstream),
		DataCentre: st.host.DataCentre, Draining: st.draining, Born: st.startedAt, Sequence: st.entryWrites,
	})
}

// logAction records an action for reportFailures.
func (tb *testbed) logAction(format string, args ...any) {
	tb.actionLog = append(tb.actionLog, fmt.Sprintf("%7.3f ", time.Since(tb.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// settled reports whether the last fault ended at least settleTime ago. The caller holds the lock.
func (tb *testbed) settled() bool {
	return time.Since(tb.lastFault) >= settleTime
}

// siteOfFlow returns the site whose upstream has a flow, or nil.
func (tb *testbed) siteOfFlow(k steer.Key) *site {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, st := range tb.sites {
		if st.upstream != nil && st.upstream.HasFlow(k) {
			return st
		}
	}
	return nil
}

// runLoad runs callers, checks and actions until ctx is done.
func (tb *testbed) runLoad(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { tb.router.Run(ctx) })
	for i, c := range tb.callers {
		for j := range 4 {
			wg.Go(func() { tb.runFlows(ctx, c, fmt.Sprintf("%d.%d", i, j), j%2 == 0) })
		}
		for j := range 4 {
			wg.Go(func() { tb.runOpenings(ctx, c, uint64(i*4+j)) })
		}
	}
	wg.Go(func() { tb.watchDraining(ctx) })
	wg.Go(func() { tb.runActions(ctx) })
	wg.Go(func() { tb.runVersions(ctx) })
	wg.Wait()
}

// close stops everything that the testbed started.
func (tb *testbed) close() {
	tb.storeServer.Close()
	tb.actions.Wait()
	for _, p := range tb.processes() {
		p.kill()
	}
	for _, c := range tb.callers {
		c.Close()
	}
	for _, st := range tb.sites {
		if st.upstream != nil {
			st.upstream.Stop()
		}
	}
	for _, px := range tb.proxies {
		px.close()
	}
	tb.network.close()
}

func (tb *testbed) processes() []*process {
	list := append([]*process(nil), tb.balancers...)
	for _, st := range tb.sites {
		list = append(list, st.sidecar)
	}
	return list
}

// reportFailures logs the actions and violations of a failed seed and writes the
// logs of its processes to files.
func (tb *testbed) reportFailures(failures []string) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", tb.seed))
	_ = os.MkdirAll(dir, 0o755) // best effort: the test fails in any case
	for _, n := range tb.actionLog {
		tb.t.Log(n)
	}
	for _, p := range tb.processes() {
		_ = os.WriteFile(filepath.Join(dir, p.host.Name+".log"), p.log.Bytes(), 0o600)
	}
	tb.t.Logf("logs of the processes are in %s", dir)
	for _, f := range failures {
		tb.t.Error(f)
	}
}
