package exchange

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// tick is how often views are refreshed and notices are sent.
	tick = 50 * time.Millisecond
	// listEvery is how many heartbeats go by between two that name balancers.
	listEvery = 4
	// socketBuffer bounds what waits in the socket, in bytes; it counts as memory of the process.
	socketBuffer = 1 << 20
	// settleTime is how long after trouble with the store a list that was first read
	// then may lack some upstreams that live: their entries are back within about
	// two seconds.
	settleTime = 2200 * time.Millisecond
	// gatherTime is how long after its first list a process may not have heard of
	// all sidecars: two heartbeats.
	gatherTime = 2 * membership.HeartbeatInterval
	// gatherLimit is gatherTime while sidecars that are listed were not heard: a
	// heartbeat to a delegate, and two digests on their way here.
	gatherLimit = membership.HeartbeatInterval + 2*digestNear
)

// Config holds the settings of a Node. All fields but Bind and Seeds are required.
type Config struct {
	Role       membership.Role
	DataCentre string
	// Listen is where other processes reach this one, over UDP and TCP. The port is the same on all hosts.
	Listen netip.AddrPort
	// Bind is what is bound when others reach Listen through something that
	// translates addresses. The zero value binds Listen.
	Bind        netip.AddrPort
	Incarnation uint64
	// Seeds are hosts of balancers to begin with.
	Seeds []registry.Host
	// Source is read when this process is to read for the others.
	Source Source
	// Service is that of the upstream beside a sidecar.
	Service registry.ServiceHash
	// Load returns what a sidecar tells of its upstream.
	Load func(now time.Duration) membership.Load
	// Refresh is called with each new view.
	Refresh func(*steer.Fleet)
	Handler Handler

	Timer     *timer.Service
	PauseDetector *timer.PauseDetector
	Log       *event.Logger
}

// Node is one process among the others. It is safe for concurrent use.
type Node struct {
	cfg      Config
	self     registry.Host
	socket   *udp.Socket
	listener net.Listener
	// incarnation differs after each start and each pause.
	incarnation atomic.Uint32
	pulls       chan struct{} // wakes the goroutine that asks peers
	urgent      chan struct{} // wakes the goroutine that sends heartbeats
	everywhere  atomic.Bool   // the next urgent heartbeat goes to all who are to know at once
	wide        atomic.Bool   // the next urgent heartbeat goes further than to the balancers of the data centre
	storeCalls  *metric.Histogram

	mu        sync.Mutex
	directory *registry.Directory
	members   *membership.Table
	snapshot  *registry.Snapshot // never nil
	made      time.Duration      // when snapshot was made
	stale     bool               // a heartbeat arrived after the last view
	told      []registry.Host    // sidecars whose loads arrived after the last view
	outage    outage
	rewound   time.Duration // when an era of the store last began; negative if none did
	informed  time.Duration // when the first list arrived; 0 if none has
	woken     time.Duration // when the last pause ended; 0 if there was none
	adopted   time.Duration // when the routes in force were taken over
	stopping  bool
	sequence  uint32        // of the last heartbeat
	beats     int           // heartbeats sent
	beatWide  time.Duration // when one last went further than to balancers of the data centre
	digests   digests
	alone     bool // whether the last look at peers found none
	silent    map[registry.Host]bool
}

// Open binds the addresses. It reports *udp.ListenError or *ListenError.
func Open(cfg Config) (*Node, error) {
	self, err := registry.HostOf(cfg.Listen.Addr())
	if err != nil {
		return nil, err
	}
	bind := cfg.Bind
	if !bind.IsValid() {
		bind = cfg.Listen
	}
	socket, err := udp.Open(udp.Config{
		Listen:    bind,
		Workers:   1,
		BufferSize:    socketBuffer,
		PauseDetector: cfg.PauseDetector,
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", socket.Address().String())
	if err != nil {
		socket.Close()
		return nil, &ListenError{Address: bind, Cause: err}
	}
	if !cfg.Bind.IsValid() {
		cfg.Listen = socket.Address() // the port is chosen when the setting has none
	}
	n := &Node{
		cfg:       cfg,
		self:      self,
		socket:    socket,
		listener:  listener,
		pulls:     make(chan struct{}, 1),
		urgent:    make(chan struct{}, 1),
		directory: registry.NewDirectory(),
		members: membership.New(membership.Config{
			Self:       self,
			Role:       cfg.Role,
			DataCentre: cfg.DataCentre,
			Seeds:      cfg.Seeds,
			Started:    cfg.Timer.Uptime(),
		}),
		outage:     outage{last: -settleTime},
		rewound:    -settleTime,
		silent:     make(map[registry.Host]bool),
		storeCalls: metric.NewHistogram(),
	}
	n.snapshot = n.directory.Snapshot(0)
	n.incarnation.Store(uint32(cfg.Incarnation ^ cfg.Incarnation>>32))
	cfg.PauseDetector.OnResume(n.woke)
	return n, nil
}

// woke begins a new incarnation after a pause, in which others may have told
// what was lost: they tell it again to a process that has started.
func (n *Node) woke(gap time.Duration) {
	n.incarnation.Add(1)
	n.mu.Lock()
	now := n.cfg.Timer.Uptime()
	n.members.AdjustForPause(now, gap)
	n.woken = now
	// What was heard before the pause is old.
	n.digests.sidecars.all, n.digests.near.all, n.digests.far.all = now, now, now
	n.mu.Unlock()
	n.cfg.Log.Emit(event.ProcessWoke, zap.Duration("gap", gap))
	n.TriggerHeartbeat()
}

// Run serves until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { n.socket.Run(ctx, func() udp.Handler { return n.received }) })
	wg.Go(func() { n.serve(ctx) })
	wg.Go(func() { n.pull(ctx) })
	wg.Go(func() { n.read(ctx) })
	wg.Go(func() { n.tick(ctx) })
	wg.Wait()
}

// Self returns the host of this process.
func (n *Node) Self() registry.Host {
	return n.self
}

// Send sends a datagram to the process on a host.
func (n *Node) Send(b []byte, h registry.Host) {
	n.socket.Send(b, h.Port(n.cfg.Listen.Port()))
}

// Knowledge returns what this process has of routes and upstreams.
func (n *Node) Knowledge() membership.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knowledge()
}

// knowledge is Knowledge for a caller that holds the lock.
func (n *Node) knowledge() membership.Versions {
	return membership.Versions{Version: n.directory.Version(), State: n.directory.State(), FormerHash: n.directory.FormerHash()}
}

// StoreCalls returns how long calls of the store took, without watches.
func (n *Node) StoreCalls() *metric.Histogram {
	return n.storeCalls
}

// Status is what a Node tells of itself.
type Status struct {
	membership.Versions

	// Doubtful is of how many keys more was known before the present era of the store.
	Doubtful int
	StoreAge time.Duration
	// RoutesAge is how long ago the routes in force were taken over. 0 before the first.
	RoutesAge time.Duration
	// Peers is how many other processes are alive.
	Peers int
	// Sidecars is how many sidecars are alive.
	Sidecars int
}

// Status returns how far the process is informed.
func (n *Node) Status() Status {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Versions: n.knowledge(),
		Doubtful: n.directory.FormerCount(),
		StoreAge: n.members.StoreAge(now),
	}
	if s.Version > 0 {
		s.RoutesAge = now - n.adopted
	}
	n.members.Each(membership.Sidecar, func(p *membership.Peer) {
		if n.members.Alive(now, p.Host) {
			s.Sidecars++
		}
	})
	s.Peers = s.Sidecars
	n.members.Each(membership.Balancer, func(p *membership.Peer) {
		if n.members.Alive(now, p.Host) {
			s.Peers++
		}
	})
	return s
}

// Alone reports whether this process has heard sidecars, and hears none of them any more.
func (n *Node) Alone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Isolated(n.cfg.Timer.Uptime())
}

// Stop tells all others that this process is about to end.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.beat(membership.ScopeAll)
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []registry.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetSeeds(seeds)
}

// TriggerHeartbeat sends a heartbeat to the data centre and to the delegates of the others
// soon, since something changed that all have to know.
func (n *Node) TriggerHeartbeat() {
	n.everywhere.Store(true)
	n.TriggerLocalHeartbeat()
}

// TriggerLocalHeartbeat sends a heartbeat to the balancers of this data centre soon, since the load has changed much.
func (n *Node) TriggerLocalHeartbeat() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// BalancersNear returns the other live balancers of the data centre that a host is in:
// those that routers may send the packets of a flow to which the host took.
func (n *Node) BalancersNear(h registry.Host) []registry.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.BalancersNear(n.cfg.Timer.Uptime(), h)
}

// SameDataCentre reports whether two hosts are in one data centre, as far as is known.
func (n *Node) SameDataCentre(a, b registry.Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, y := n.members.DataCentre(a), n.members.DataCentre(b)
	return x == y || x == "" || y == ""
}

// ReportFlows tells balancers that the own upstream holds flows.
func (n *Node) ReportFlows(keys []steer.Key, balancers []registry.Host) {
	var buf []byte
	for _, batch := range flowBatches(keys) {
		buf = appendFlows(buf[:0], batch)
		for _, h := range balancers {
			n.Send(buf, h)
		}
	}
}

// tick refreshes views and sends heartbeats and digests.
func (n *Node) tick(ctx context.Context) {
	sub := n.cfg.Timer.Every(tick)
	defer sub.Stop()
	n.beat(membership.ScopeAll) // others learn at once that this process has started
	last := n.cfg.Timer.Uptime()
	for {
		hurry := false
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
			hurry = true
		case <-sub.C:
		}
		now := n.cfg.Timer.Uptime()
		if hurry || now-last >= membership.HeartbeatInterval-tick/2 {
			last = now
			n.beat(n.reach(hurry))
			n.watchPeers(now)
		}
		n.tellDigests(now)
		n.refresh(now)
	}
}

// passFreshness lets a delegate tell others soon that the store has answered:
// its own data centre, and the others when it was heard here first.
func (n *Node) passFreshness(heardFrom string) {
	n.wide.Store(true)
	if heardFrom == n.cfg.DataCentre {
		n.everywhere.Store(true)
	}
	n.TriggerLocalHeartbeat()
}

// reach returns how far the next heartbeat goes.
func (n *Node) reach(hurry bool) membership.Scope {
	if !hurry {
		return membership.ScopeBalancers
	}
	wide := n.wide.Swap(false)
	if n.everywhere.Swap(false) {
		return membership.ScopeAll
	}
	if wide {
		return membership.ScopeDataCentre
	}
	return membership.ScopeBalancers
}
