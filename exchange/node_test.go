package exchange_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zapcore"
)

const (
	port    = 23720
	service = "fitting"
)

// memoryStore is a store in memory. Every call fails while it is down.
type memoryStore struct {
	mu      sync.Mutex
	content registry.Update
	down    bool
	calls   int
}

type downError struct{}

func (downError) Error() string { return "store is unavailable" }

func (m *memoryStore) Read(context.Context) (registry.Update, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return registry.Update{}, downError{}
	}
	return m.content, nil
}

func (m *memoryStore) Watch(ctx context.Context, after registry.State) (registry.Update, error) {
	for range 20 {
		m.mu.Lock()
		u, down := m.content, m.down
		m.mu.Unlock()
		if down {
			return registry.Update{}, downError{}
		}
		if u.State.Era != after.Era {
			return registry.Update{From: after, State: u.State}, nil
		}
		if u.State.After(after) {
			return registry.Update{}, &exchange.HistoryError{After: after}
		}
		select {
		case <-ctx.Done():
			return registry.Update{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return registry.Update{From: after, State: after}, nil
}

// set publishes a version with upstreams on the given hosts.
func (m *memoryStore) set(version uint64, hosts ...registry.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.content = registry.Update{Whole: true, State: registry.State{Revision: version}, Routes: &registry.Routes{Version: version}}
	for _, h := range hosts {
		m.content.Changes = append(m.content.Changes, registry.Change{Key: h.String(), Revision: version, Upstream: &registry.Upstream{
			ID: h.String(), Service: service, Address: registry.Endpoint{Host: h, Port: 80}, DataCentre: "a", Slots: 2,
		}})
	}
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// process is a node and what its handler received.
type process struct {
	node *exchange.Node
	stop context.CancelFunc
	wait func() // waits until the node has ended
	// started is when the process was started.
	started time.Time

	mu        sync.Mutex
	fleet     *steer.Fleet
	held      map[steer.Key]registry.Host
	restarted map[registry.Host]int
	forwarded []string
	missing   []steer.MissReport

	log lockedBuffer
	// slow makes each publication of a view take this long, in nanoseconds.
	slow atomic.Int64
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func hostOf(n int) registry.Host {
	return registry.Host{127, byte(64 + os.Getpid()%128), 9, byte(n)}
}

func start(t *testing.T, n int, role membership.Role, source exchange.Source, pauseAfter time.Duration) *process {
	t.Helper()
	return startIn(t, "a", n, role, source, pauseAfter)
}

// startIn starts process n in a data centre. It is stopped when the test ends.
func startIn(t *testing.T, dataCentre string, n int, role membership.Role, source exchange.Source, pauseAfter time.Duration) *process {
	t.Helper()
	return startWith(t, dataCentre, n, role, source, pauseAfter, func(cfg exchange.Config) exchange.Config { return cfg })
}

// startWith is startIn with a change to the configuration.
func startWith(t *testing.T, dataCentre string, n int, role membership.Role, source exchange.Source, pauseAfter time.Duration, change func(exchange.Config) exchange.Config) *process {
	t.Helper()
	p := &process{started: time.Now(), held: make(map[steer.Key]registry.Host), restarted: make(map[registry.Host]int)}
	tm := timer.New(timer.Config{PauseThreshold: pauseAfter})
	detector := timer.NewPauseDetector(tm)
	node, err := exchange.Open(change(exchange.Config{
		Role:        role,
		DataCentre:  dataCentre,
		Listen:      netip.AddrPortFrom(hostOf(n).Addr(), port),
		Incarnation: uint64(n),
		Seeds:       []registry.Host{hostOf(1)},
		Source:      source,
		Service:     registry.HashService(service),
		Load:        func(time.Duration) membership.Load { return membership.Load{Flows: n} },
		Placed:      placedBy(role, n),
		Refresh: func(f *steer.Fleet) {
			time.Sleep(time.Duration(p.slow.Load()))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.fleet = f
		},
		Handler:       p,
		Timer:         tm,
		PauseDetector: detector,
		Log:           event.NewJSON(zapcore.AddSync(&p.log), zapcore.DebugLevel, "test"),
	}))
	must.NoError(t, err)
	p.node = node
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	var wg conc.WaitGroup
	p.wait = wg.Wait
	wg.Go(func() { detector.Run(ctx) })
	wg.Go(func() { node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return p
}

func (p *process) Forwarded(_ *steer.Header, b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded = append(p.forwarded, string(b))
}

func (p *process) FlowHeld(k steer.Key, host registry.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[k] = host
}

func (p *process) BalancerStarted(h registry.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarted[h]++
}

func (p *process) FlowMissing(m *steer.MissReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missing = append(p.missing, *m)
}

func (p *process) LoadUpdated(registry.Host) {}

// await waits for up to 10 s until cond holds, and fails the test otherwise.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func (p *process) hasSidecar(h registry.Host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return false
	}
	_, ok := p.fleet.Sidecars[h]
	return ok
}

// isAlive reports whether the view has a sidecar on a host that is not stopping.
func (p *process) isAlive(h registry.Host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return false
	}
	i, ok := p.fleet.Sidecars[h]
	return ok && !i.Stopping
}

func (p *process) version() uint64 {
	v := p.node.Versions().Version
	return v
}

// TestUpdatesSpreadWithoutStore checks that processes that cannot reach the store
// receive updates from the one that can.
func TestUpdatesSpreadWithoutStore(t *testing.T) {
	reachable, unreachable := new(memoryStore), &memoryStore{down: true}
	reachable.set(3, hostOf(3), hostOf(4))
	first := start(t, 1, membership.Balancer, reachable, 0)
	second := start(t, 2, membership.Balancer, unreachable, 0)
	sidecar := start(t, 3, membership.Sidecar, unreachable, 0)
	await(t, "all have version 3", func() bool {
		return first.version() == 3 && second.version() == 3 && sidecar.version() == 3
	})
	await(t, "the second balancer receives heartbeats of the sidecar", func() bool { return second.hasSidecar(hostOf(3)) })
	reachable.set(4, hostOf(3))
	await(t, "all have version 4", func() bool {
		return second.version() == 4 && sidecar.version() == 4
	})
	revision := sidecar.node.Versions().State.Revision
	must.Eq(t, uint64(4), revision)
}

// TestDigestsReachAllDataCentres checks that sidecars of different data centres, which
// receive reports on each other only in the digests of delegates, still do so after
// one delegate ends.
func TestDigestsReachAllDataCentres(t *testing.T) {
	m := new(memoryStore)
	m.set(1)
	var sidecars, balancers []*process
	for i, dataCentre := range []string{"a", "b", "c"} {
		for n := range 3 {
			balancers = append(balancers, startIn(t, dataCentre, 1+3*i+n, membership.Balancer, m, 0))
		}
		sidecars = append(sidecars, startIn(t, dataCentre, 101+i, membership.Sidecar, m, 0))
	}
	all := func() bool {
		for _, p := range append(balancers[1:], sidecars...) {
			for i := range sidecars {
				if sidecars[i] != p && !p.isAlive(hostOf(101+i)) {
					return false
				}
			}
		}
		return true
	}
	await(t, "all processes have received reports on all sidecars", all)
	balancers[0].node.Stop(t.Context())
	balancers[0].stop()
	sidecars[2].node.Stop(t.Context())
	await(t, "all processes have received the stop of a sidecar, with one balancer less", func() bool {
		for _, p := range append(balancers[1:], sidecars[:2]...) {
			if p.isAlive(hostOf(103)) {
				return false
			}
		}
		return true
	})
	m.set(2)
	await(t, "all have version 2", func() bool {
		for _, p := range append(balancers[1:], sidecars...) {
			if p.version() != 2 {
				return false
			}
		}
		return true
	})
}

// TestDigestsToNonDelegatesAreRelayed sends digests of another data centre to each
// balancer in turn, as happens when the other side does not have the current delegates.
func TestDigestsToNonDelegatesAreRelayed(t *testing.T) {
	m := new(memoryStore)
	m.set(1)
	var balancers []*process
	for n := 1; n <= 4; n++ {
		balancers = append(balancers, start(t, n, membership.Balancer, m, 0))
	}
	sidecar := start(t, 101, membership.Sidecar, m, 0)
	await(t, "the sidecar has all balancers", func() bool { return len(sidecar.node.BalancersNear(hostOf(1))) == len(balancers) })
	far, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(hostOf(50).Addr(), port)))
	must.NoError(t, err)
	t.Cleanup(func() { far.Close() })
	for n := range balancers {
		reported := hostOf(60 + n)
		b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1, Sequence: 1}
		raw, err := wire.Encode(membership.Digest{DataCentre: "b"}.WithReport(reported, &b, 0))
		must.NoError(t, err)
		_, err = far.WriteToUDPAddrPort(append([]byte{4}, raw...), netip.AddrPortFrom(hostOf(n+1).Addr(), port))
		must.NoError(t, err)
		await(t, "the digest to one balancer reaches the sidecar", func() bool { return sidecar.isAlive(reported) })
	}
}

// TestDatagramsReachHandler sends each kind of datagram, and malformed ones, which must
// be dropped.
func TestDatagramsReachHandler(t *testing.T) {
	m := new(memoryStore)
	m.set(1, hostOf(2))
	b := start(t, 1, membership.Balancer, m, 0)
	s := start(t, 2, membership.Sidecar, m, 0)
	await(t, "both have received heartbeats of each other", func() bool { return b.hasSidecar(hostOf(2)) && len(s.node.BalancersNear(hostOf(1))) == 1 })
	var keys []steer.Key
	for n := range 250 {
		keys = append(keys, steer.Key{Caller: registry.Endpoint{Port: uint16(n + 1)}})
	}
	s.node.ReportFlows(keys, s.node.BalancersNear(hostOf(1)))
	await(t, "250 flows are reported", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.held) == 250 && b.held[keys[7]] == hostOf(2)
	})
	h := steer.Header{Balancer: hostOf(1), Visited: []registry.Host{hostOf(9)}}
	b.node.Send(append(exchange.AppendForward(nil, &h), "packet"...), hostOf(2))
	malformed := []string{
		"", "\x01", "\x01\xc1", "\x02short", "\x03", "\x04", "\x04\x81\xa1r\x91\xc0", "\x05", "\x09what", "\x00",
		"\x02\x04" + strings.Repeat("\x00", 31), "\x02\x00\x01" + strings.Repeat("\x00", 30), "\x03" + strings.Repeat("\x00", 13),
		"\x21\x82\xa1r\x01\xa1r\x02", "\x21\x81\xa1r\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00", "\x21\x82\xa1r\x01\xa1d\xa1\xe9",
	}
	for _, datagram := range malformed {
		b.node.Send([]byte(datagram), hostOf(2))
	}
	await(t, "each malformed datagram is logged", func() bool {
		return strings.Count(s.log.String(), "datagram-unusable") == len(malformed)
	})
	await(t, "the packet arrives", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.forwarded) == 1 && s.forwarded[0] == "packet"
	})
	missing := steer.MissReport{Key: keys[3], State: registry.State{Revision: 4}, Hosts: []registry.Host{hostOf(2)}}
	s.node.ReportMissing(&missing, hostOf(1))
	await(t, "the report of a missing flow arrives", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.missing) == 1
	})
	must.Eq(t, missing, b.missing[0])
}

// TestWakeStartsNewIncarnation checks that peers observe a new start of a process after
// a pause, so that they repeat the reports that it may have lost.
func TestWakeStartsNewIncarnation(t *testing.T) {
	m := new(memoryStore)
	m.set(1, hostOf(2))
	// With this threshold each check of the pause detector counts as the end of a pause.
	start(t, 1, membership.Balancer, m, time.Nanosecond)
	s := start(t, 2, membership.Sidecar, m, 0)
	await(t, "the sidecar observes several starts", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.restarted[hostOf(1)] >= 2
	})
}

// TestStopIsAnnounced checks that a stopping sidecar is marked as such at its peers.
func TestStopIsAnnounced(t *testing.T) {
	m := new(memoryStore)
	m.set(1, hostOf(2))
	b := start(t, 1, membership.Balancer, m, 0)
	s := start(t, 2, membership.Sidecar, m, 0)
	await(t, "the heartbeat of the sidecar arrives", func() bool { return b.hasSidecar(hostOf(2)) })
	s.node.Stop(t.Context())
	await(t, "the sidecar is marked as stopping", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.fleet.Sidecars[hostOf(2)].Stopping
	})
}

// TestOpenReportsAddressInUse binds an address twice; the second Open must fail.
func TestOpenReportsAddressInUse(t *testing.T) {
	m := new(memoryStore)
	start(t, 1, membership.Balancer, m, 0)
	tm := timer.New(timer.Config{})
	_, err := exchange.Open(exchange.Config{
		Listen:        netip.AddrPortFrom(hostOf(1).Addr(), port),
		Timer:         tm,
		PauseDetector: timer.NewPauseDetector(tm),
	})
	must.Error(t, err)
}

// TestBindDiffersFromListen opens a node that peers reach at another address than the
// bound one. The error of a failed Open must have the bound address.
func TestBindDiffersFromListen(t *testing.T) {
	known, bound := hostOf(11), hostOf(12)
	tm := timer.New(timer.Config{})
	cfg := exchange.Config{
		Listen:        netip.AddrPortFrom(known.Addr(), port),
		Bind:          netip.AddrPortFrom(bound.Addr(), port),
		Timer:         tm,
		PauseDetector: timer.NewPauseDetector(tm),
	}
	n, err := exchange.Open(cfg)
	must.NoError(t, err)
	must.Eq(t, known, n.Self())

	free, err := net.Listen("tcp4", cfg.Listen.String())
	must.NoError(t, err)
	must.NoError(t, free.Close())
	cfg.Listen = netip.AddrPortFrom(hostOf(13).Addr(), port)
	_, err = exchange.Open(cfg)
	must.Error(t, err)
	must.StrContains(t, err.Error(), cfg.Bind.String())
}

// TestReaderRetries checks that a process reads the store after failed calls.
func TestReaderRetries(t *testing.T) {
	m := &memoryStore{down: true}
	m.set(5)
	b := start(t, 1, membership.Balancer, m, 0)
	await(t, "the store was called twice", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.calls >= 2
	})
	m.setDown(false)
	await(t, "the version is read", func() bool { return b.version() == 5 })
}

// TestSilentPeerDoesNotBlockPulls starts a peer that announces a newer version, accepts
// connections and never answers, as a host does that fails while its connections are open.
// Pulls from other peers must go on.
func TestSilentPeerDoesNotBlockPulls(t *testing.T) {
	unreachable := &memoryStore{down: true}
	reachable := new(memoryStore)
	reachable.set(7)
	puller := start(t, 2, membership.Balancer, unreachable, 0)
	silent, err := net.Listen("tcp4", netip.AddrPortFrom(hostOf(5).Addr(), port).String())
	must.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	heartbeats, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(hostOf(5).Addr(), port)))
	must.NoError(t, err)
	t.Cleanup(func() { heartbeats.Close() })
	raw, err := wire.Encode(membership.Heartbeat{Role: membership.Balancer, DataCentre: "a", Incarnation: 1, Version: 9, State: registry.State{Revision: 9}})
	must.NoError(t, err)
	announce := func() {
		_, err := heartbeats.WriteToUDPAddrPort(append([]byte{1}, raw...), netip.AddrPortFrom(hostOf(2).Addr(), port))
		must.NoError(t, err)
	}
	announce()
	start(t, 1, membership.Balancer, reachable, 0)
	await(t, "the responding peer is pulled from", func() bool {
		announce()
		return puller.version() == 7
	})
}
