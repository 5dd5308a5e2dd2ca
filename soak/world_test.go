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

// processes waits for the children of all worlds.
var processes conc.WaitGroup

const (
	fitting = "fitting"
	report  = "report"

	// idleTime is after how much silence flows may be forgotten.
	idleTime = 15 * time.Second
	// settleTime is how long after trouble the promises with a time bound do not hold.
	settleTime = 5 * time.Second
	// applyTime is within which routes and draining are in force.
	applyTime = 3 * time.Second
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
	host     standin.Host
	sidecar  *process
	upstream *standin.Upstream // nil while there is none
	id       string            // of the upstream's present incarnation
	born     time.Time         // when that started
	said     int               // how often it wrote its entry
	draining bool
	drained  time.Time // when the store took the report that it drains; zero while it does not
	openings int       // taken until applyTime after drained
	counted  bool      // openings is valid
	busy     bool      // a change or fault is under way here
}

// world is a whole deployment on loopback addresses.
type world struct {
	t       *testing.T
	seed    uint64
	planned bool // only planned changes are played
	store   *standin.Store
	web     *http.Server
	ledger  *standin.Checker
	router  *standin.Router
	callers []*standin.Caller
	proxies []*proxy
	network *network
	actions conc.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	balancers []*process
	resting   map[*process]bool // processes that a change or fault is under way for
	sites     []*site
	version   uint64
	versioned time.Time // when the store took the newest version
	service   string    // of the changing route
	before    string    // its service under the version before
	rewinding bool      // the store is about to come back from a copy, or did lately
	rewinds   int       // how often it did
	trouble   time.Time // when unplanned trouble last began or ended
	born      int       // upstreams started
	notes     []string  // what was done, and when
	began     time.Time
}

// loopback returns an address of this world. Two soaks that run at the same time
// differ in the lower half of the third number, with few exceptions.
func loopback(seed uint64, kind, n int) netip.Addr {
	pid := uint64(os.Getpid())
	return netip.AddrFrom4([4]byte{127, byte(100 + (pid+seed)%100), byte(kind<<4) | byte(pid%16), byte(n)})
}

func newWorld(t *testing.T, seed uint64, planned bool) *world {
	w := &world{
		t: t, seed: seed, planned: planned,
		random:  rand.New(rand.NewPCG(seed, 1)),
		network: newNetwork(standin.DefaultPorts.Exchange, seed),
		store:   standin.NewStore(), ledger: standin.NewChecker(),
		resting: make(map[*process]bool), began: time.Now(),
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(loopback(seed, kindProxy, 250), 0).String())
	must.NoError(t, err)
	w.web = &http.Server{Handler: w.store}
	w.actions.Go(func() { _ = w.web.Serve(l) })
	storeAt := netip.MustParseAddrPort(l.Addr().String())

	var entries []standin.Host
	for n := range 3 {
		entries = append(entries, w.host(kindBalancer, n+1, ""))
	}
	w.publish(fitting)
	for n, s := range []string{fitting, fitting, fitting, fitting, report, report} {
		h := w.host(kindSidecar, n+1, s)
		st := &site{host: h, sidecar: w.process(h, "sidecar", storeAt, entries)}
		w.sites = append(w.sites, st)
		w.startUpstream(st)
		must.NoError(t, st.sidecar.start())
	}
	for _, h := range entries {
		p := w.process(h, "balancer", storeAt, entries)
		w.balancers = append(w.balancers, p)
		must.NoError(t, p.start())
	}
	w.router = standin.NewRouter(entries)
	for n := range 2 {
		c, err := standin.NewCaller(standin.CallerConfig{Host: w.host(kindCaller, n+1, ""), Router: w.router, Checker: w.ledger})
		must.NoError(t, err)
		w.callers = append(w.callers, c)
	}
	return w
}

func (w *world) host(kind, n int, service string) standin.Host {
	return standin.Host{
		Name: fmt.Sprintf("n-%d-%d", kind, n), Address: loopback(w.seed, kind, n),
		DataCentre: []string{"a", "b"}[n%2], Service: service,
		Ports: standin.DefaultPorts,
	}
}

// boundTo returns the address that a process binds for the others, which know it by another one.
func boundTo(known netip.Addr) netip.Addr {
	b := known.As4()
	b[2] += kindBound << 4
	return netip.AddrFrom4(b)
}

// process returns a process that reaches the store through a proxy of its own,
// and the other processes through the network.
func (w *world) process(h standin.Host, role string, store netip.AddrPort, seeds []standin.Host) *process {
	px, err := newProxy(netip.AddrPortFrom(loopback(w.seed, kindProxy, len(w.proxies)+1), 0), store)
	must.NoError(w.t, err)
	w.proxies = append(w.proxies, px)
	variable, err := h.WriteSettings(w.t.TempDir(), px.address(), seeds)
	must.NoError(w.t, err)
	bound := boundTo(h.Address)
	must.NoError(w.t, w.network.add(h.Address, bound))
	return newProcess(h, role, netip.AddrPortFrom(bound, h.Ports.Exchange), variable)
}

// publish writes the next version of the routes; the changing route goes to service.
func (w *world) publish(service string) {
	w.version += 1 + w.random.Uint64N(4)
	w.before, w.service, w.versioned = w.service, service, time.Now()
	w.publishAgain()
}

// publishAgain writes the newest version of the routes, as when the store has lost it.
func (w *world) publishAgain() {
	w.store.PublishRoutes(w.version, idleTime,
		standin.Route{Address: steady, Service: fitting},
		standin.Route{Address: changing, Service: w.service, Idempotent: true})
}

// startUpstream starts a new upstream at a site, and registers it. The caller holds the lock, or nobody else runs.
func (w *world) startUpstream(st *site) {
	w.born++
	st.id = fmt.Sprintf("u%d", w.born)
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: st.id, Host: st.host, Service: st.host.Service, Seed: w.seed<<16 + uint64(w.born),
		Checker: w.ledger, ServiceTime: 5 * time.Millisecond,
	})
	must.NoError(w.t, err)
	st.upstream, st.drained, st.counted = u, time.Time{}, false
	st.born, st.said, st.draining = time.Now(), 0, false
	w.register(st)
}

// register writes what an upstream says of itself.
func (w *world) register(st *site) {
	st.said++
	w.store.PublishUpstream(standin.Entry{
		ID: st.id, Service: st.host.Service, Address: st.host.AddrPort(st.host.Ports.Upstream),
		DataCentre: st.host.DataCentre, Draining: st.draining, Born: st.born, Sequence: st.said,
	})
}

// note keeps what is done for the report of a failure.
func (w *world) note(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf("%7.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// calm reports whether no unplanned trouble has been there for settleTime. The caller holds the lock.
func (w *world) calm() bool {
	return time.Since(w.trouble) >= settleTime
}

// holder returns the upstream that holds a flow, or nil.
func (w *world) holder(k steer.Key) *site {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, st := range w.sites {
		if st.upstream != nil && st.upstream.HasFlow(k) {
			return st
		}
	}
	return nil
}

// run plays until ctx is done.
func (w *world) run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { w.router.Run(ctx) })
	for i, c := range w.callers {
		for j := range 4 {
			wg.Go(func() { w.call(ctx, c, fmt.Sprintf("%d.%d", i, j), j%2 == 0) })
		}
	}
	wg.Go(func() { w.watchDraining(ctx) })
	wg.Go(func() { w.play(ctx) })
	wg.Wait()
}

// close ends everything that the world started.
func (w *world) close() {
	w.web.Close()
	w.actions.Wait()
	for _, p := range w.processes() {
		p.kill()
	}
	for _, c := range w.callers {
		c.Close()
	}
	for _, st := range w.sites {
		if st.upstream != nil {
			st.upstream.Stop()
		}
	}
	for _, px := range w.proxies {
		px.close()
	}
	w.network.close()
}

func (w *world) processes() []*process {
	list := append([]*process(nil), w.balancers...)
	for _, st := range w.sites {
		list = append(list, st.sidecar)
	}
	return list
}

// report writes what was done and what the processes logged, for a seed that failed.
func (w *world) report(failures []string) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", w.seed))
	_ = os.MkdirAll(dir, 0o755) // the test fails anyway, and says what it can
	for _, n := range w.notes {
		w.t.Log(n)
	}
	for _, p := range w.processes() {
		_ = os.WriteFile(filepath.Join(dir, p.host.Name+".log"), p.log.Bytes(), 0o600)
	}
	w.t.Logf("logs of the processes are in %s", dir)
	for _, f := range failures {
		w.t.Error(f)
	}
}
