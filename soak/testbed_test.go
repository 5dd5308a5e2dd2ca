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
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// childProcesses waits for the children of all worlds.
var childProcesses conc.WaitGroup

const (
	fitting = "fitting"
	report  = "report"

	// idleTimeout is after how much silence flows may be forgotten.
	idleTimeout = 15 * time.Second
	// settleTime is how long after trouble the promises with a time bound do not hold.
	settleTime = 5 * time.Second
	// propagationTime is within which routes and draining are in force.
	propagationTime = 3 * time.Second
)

// The kinds of hosts: the upper half of the third number of their addresses.
const (
	kindBalancer = 1
	kindSidecar  = 2
	kindCaller   = 3
	kindProxy    = 4
	// kindBound is added to the kind of a process for the address that it is bound to.
	kindBound = 8
)

// steady has one service for good; changing moves between services with versions.
var (
	steady   = netip.MustParseAddrPort("198.18.0.1:8443")
	changing = netip.MustParseAddrPort("198.18.0.2:8443")
)

// site is an instance with an upstream and its sidecar.
type site struct {
	host          standin.Host
	sidecar       *process
	upstream      *standin.Upstream // nil while there is none
	upstreamID    string            // of the upstream's present incarnation
	startedAt     time.Time         // when that started
	entryWrites   int               // how often it wrote its entry
	draining      bool
	drainedAt     time.Time // when the store took the report that it drains; zero while it does not
	openings      int       // taken until applyTime after drained
	openingsValid bool      // openings is valid
	busy          bool      // a change or fault is under way here
}

// testbed is a whole deployment on loopback addresses.
type testbed struct {
	t           *testing.T
	seed        uint64
	planned     bool // only planned changes are played
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
	busyProcesses   map[*process]bool // processes that a change or fault is under way for
	sites           []*site
	routesVersion   uint64
	routesWritten   time.Time // when the store took the newest version
	changingService string    // of the changing route
	previousService string    // its service under the version before
	restoring       bool      // the store is about to come back from a copy, or did lately
	restores        int       // how often it did
	lastFault       time.Time // when unplanned trouble last began or ended
	upstreamCount   int       // upstreams started
	actionLog       []string  // what was done, and when
	startedAt       time.Time
}

// loopback returns an address of this world. Two soaks that run at the same time
// differ in the lower half of the third number, with few exceptions.
func loopback(seed uint64, kind, n int) netip.Addr {
	pid := uint64(os.Getpid())
	return netip.AddrFrom4([4]byte{127, byte(100 + (pid+seed)%100), byte(kind<<4) | byte(pid%16), byte(n)})
}

func newTestbed(t *testing.T, seed uint64, planned bool) *testbed {
	tb := &testbed{
		t: t, seed: seed, planned: planned,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		network: newNetwork(standin.DefaultPorts.Exchange, seed),
		store:   standin.NewStore(), checker: standin.NewChecker(),
		busyProcesses: make(map[*process]bool), startedAt: time.Now(),
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(loopback(seed, kindProxy, 250), 0).String())
	must.NoError(t, err)
	tb.storeServer = &http.Server{Handler: tb.store}
	tb.actions.Go(func() { _ = tb.storeServer.Serve(l) })
	storeAt := netip.MustParseAddrPort(l.Addr().String())

	var entries []standin.Host
	for n := range 3 {
		entries = append(entries, tb.host(kindBalancer, n+1, ""))
	}
	tb.publish(fitting)
	for n, s := range []string{fitting, fitting, fitting, fitting, report, report} {
		h := tb.host(kindSidecar, n+1, s)
		st := &site{host: h, sidecar: tb.process(h, "sidecar", storeAt, entries)}
		tb.sites = append(tb.sites, st)
		tb.startUpstream(st)
		must.NoError(t, st.sidecar.start())
	}
	for _, h := range entries {
		p := tb.process(h, "balancer", storeAt, entries)
		tb.balancers = append(tb.balancers, p)
		must.NoError(t, p.start())
	}
	tb.router = standin.NewRouter(entries)
	for n := range 2 {
		c, err := standin.NewCaller(standin.CallerConfig{Host: tb.host(kindCaller, n+1, ""), Router: tb.router, Checker: tb.checker})
		must.NoError(t, err)
		tb.callers = append(tb.callers, c)
	}
	return tb
}

func (tb *testbed) host(kind, n int, service string) standin.Host {
	return standin.Host{
		Name: fmt.Sprintf("n-%d-%d", kind, n), Address: loopback(tb.seed, kind, n),
		DataCentre: []string{"a", "b"}[n%2], Service: service,
		Ports: standin.DefaultPorts,
	}
}

// boundAddress returns the address that a process binds for the others, which know it by another one.
func boundAddress(advertised netip.Addr) netip.Addr {
	b := advertised.As4()
	b[2] += kindBound << 4
	return netip.AddrFrom4(b)
}

// process returns a process that reaches the store through a proxy of its own,
// and the other processes through the network.
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

// publish writes the next version of the routes; the changing route goes to service.
func (tb *testbed) publish(service string) {
	tb.routesVersion += 1 + tb.rand.Uint64N(4)
	tb.previousService, tb.changingService, tb.routesWritten = tb.changingService, service, time.Now()
	tb.republish()
}

// republish writes the newest version of the routes, as when the store has lost it.
func (tb *testbed) republish() {
	tb.store.PublishRoutes(tb.routesVersion, idleTimeout,
		standin.Route{Address: steady, Service: fitting},
		standin.Route{Address: changing, Service: tb.changingService, Idempotent: true})
}

// startUpstream starts a new upstream at a site, and registers it. The caller holds the lock, or nobody else runs.
func (tb *testbed) startUpstream(st *site) {
	tb.upstreamCount++
	st.upstreamID = fmt.Sprintf("u%d", tb.upstreamCount)
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: st.upstreamID, Host: st.host, Service: st.host.Service, Seed: tb.seed<<16 + uint64(tb.upstreamCount),
		Checker: tb.checker, ServiceTime: 5 * time.Millisecond,
	})
	must.NoError(tb.t, err)
	st.upstream, st.drainedAt, st.openingsValid = u, time.Time{}, false
	st.startedAt, st.entryWrites, st.draining = time.Now(), 0, false
	tb.register(st)
}

// register writes what an upstream says of itself.
func (tb *testbed) register(st *site) {
	st.entryWrites++
	tb.store.PublishUpstream(standin.Entry{
		ID: st.upstreamID, Service: st.host.Service, Address: st.host.AddrPort(st.host.Ports.Upstream),
		DataCentre: st.host.DataCentre, Draining: st.draining, Born: st.startedAt, Sequence: st.entryWrites,
	})
}

// logAction keeps what is done for the report of a failure.
func (tb *testbed) logAction(format string, args ...any) {
	tb.actionLog = append(tb.actionLog, fmt.Sprintf("%7.3f ", time.Since(tb.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// settled reports whether no unplanned trouble has been there for settleTime. The caller holds the lock.
func (tb *testbed) settled() bool {
	return time.Since(tb.lastFault) >= settleTime
}

// siteOfFlow returns the upstream that holds a flow, or nil.
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

// runLoad plays until ctx is done.
func (tb *testbed) runLoad(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { tb.router.Run(ctx) })
	for i, c := range tb.callers {
		for j := range 4 {
			wg.Go(func() { tb.runFlows(ctx, c, fmt.Sprintf("%d.%d", i, j), j%2 == 0) })
		}
	}
	wg.Go(func() { tb.watchDraining(ctx) })
	wg.Go(func() { tb.runActions(ctx) })
	wg.Wait()
}

// close ends everything that the world started.
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

// reportFailures writes what was done and what the processes logged, for a seed that failed.
func (tb *testbed) reportFailures(failures []string) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", tb.seed))
	_ = os.MkdirAll(dir, 0o755) // the test fails anyway, and says what it can
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
