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
	// tickInterval is how often views are refreshed and notices are sent.
	tickInterval = 50 * time.Millisecond
	// contactsEvery is how many heartbeats go by between two that name balancers.
	contactsEvery = 4
	// socketBuffer bounds what waits in the socket, in bytes; it counts as memory of the process.
	socketBuffer = 1 << 20
	// settleTime is how long after trouble with the store a list that was first read
	// then may lack some upstreams that live: their entries are back within about
	// two seconds.
	settleTime = 2200 * time.Millisecond
	// discoveryTime is how long after its first list a process may not have heard of
	// all sidecars: two heartbeats.
	discoveryTime = 2 * membership.BeatInterval
	// maxDiscoveryTime is discoveryTime while sidecars that are listed were not heard: a
	// heartbeat to a delegate, and two digests on their way here.
	maxDiscoveryTime = membership.BeatInterval + 2*digestNearInterval
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
	Heartbeat *timer.Heartbeat
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
	urgentAll   atomic.Bool   // the next urgent heartbeat goes to all who are to know at once
	urgentWide  atomic.Bool   // the next urgent heartbeat goes further than to the balancers of the data centre
	storeCalls  *metric.Histogram

	mu           sync.Mutex
	directory    *registry.Directory
	members      *membership.Table
	snapshot     *registry.Snapshot // never nil
	snapshotTime time.Duration      // when snapshot was made
	stale        bool               // a heartbeat arrived after the last view
	loadsUpdated []registry.Host    // sidecars whose loads arrived after the last view
	outage       outage
	eraStart     time.Duration // when an era of the store last began; negative if none did
	firstList    time.Duration // when the first list arrived; 0 if none has
	pauseEnd     time.Duration // when the last pause ended; 0 if there was none
	adopted      time.Duration // when the routes in force were taken over
	stopping     bool
	sequence     uint32        // of the last heartbeat
	heartbeats   int           // heartbeats sent
	lastWide     time.Duration // when one last went further than to balancers of the data centre
	digests      digests
	alone        bool // whether the last look at peers found none
	silent       map[registry.Host]bool
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
		Buffer:    socketBuffer,
		Heartbeat: cfg.Heartbeat,
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
		eraStart:   -settleTime,
		silent:     make(map[registry.Host]bool),
		storeCalls: metric.NewHistogram(),
	}
	n.snapshot = n.directory.Snapshot(0)
	n.incarnation.Store(uint32(cfg.Incarnation ^ cfg.Incarnation>>32))
	cfg.Heartbeat.OnWake(n.onWake)
	return n, nil
}

// onWake begins a new incarnation after a pause, in which others may have told
// what was lost: they tell it again to a process that has started.
func (n *Node) onWake(gap time.Duration) {
	n.incarnation.Add(1)
	n.mu.Lock()
	now := n.cfg.Timer.Uptime()
	n.members.Woke(now, gap)
	n.pauseEnd = now
	// What was heard before the pause is old.
	n.digests.sidecars.lastFull, n.digests.near.lastFull, n.digests.far.lastFull = now, now, now
	n.mu.Unlock()
	n.cfg.Log.Emit(event.ProcessWoke, zap.Duration("gap", gap))
	n.TriggerHeartbeat()
}

// Run serves until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { n.socket.Run(ctx, func() udp.Handler { return n.receive }) })
	wg.Go(func() { n.servePulls(ctx) })
	wg.Go(func() { n.runPulls(ctx) })
	wg.Go(func() { n.followStore(ctx) })
	wg.Go(func() { n.runTicks(ctx) })
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
func (n *Node) Knowledge() membership.Knowledge {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knowledge()
}

// knowledge is Knowledge for a caller that holds the lock.
func (n *Node) knowledge() membership.Knowledge {
	return membership.Knowledge{Version: n.directory.Version(), State: n.directory.State(), FormerHash: n.directory.FormerHash()}
}

// StoreCalls returns how long calls of the store took, without watches.
func (n *Node) StoreCalls() *metric.Histogram {
	return n.storeCalls
}

// Status is what a Node tells of itself.
type Status struct {
	membership.Knowledge

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
		Knowledge: n.knowledge(),
		Doubtful:  n.directory.FormerCount(),
		StoreAge:  n.members.StoreAge(now),
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
	return n.members.Alone(n.cfg.Timer.Uptime())
}

// Stop tells all others that this process is about to end.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.sendHeartbeat(membership.ReachAll)
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
	n.urgentAll.Store(true)
	n.TriggerNearHeartbeat()
}

// TriggerNearHeartbeat sends a heartbeat to the balancers of this data centre soon, since the load has changed much.
func (n *Node) TriggerNearHeartbeat() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// PeerBalancers returns the other live balancers of the data centre that a host is in:
// those that routers may send the packets of a flow to which the host took.
func (n *Node) PeerBalancers(h registry.Host) []registry.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Beside(n.cfg.Timer.Uptime(), h)
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

// runTicks refreshes views and sends heartbeats and digests.
func (n *Node) runTicks(ctx context.Context) {
	sub := n.cfg.Timer.Every(tickInterval)
	defer sub.Stop()
	n.sendHeartbeat(membership.ReachAll) // others learn at once that this process has started
	last := n.cfg.Timer.Uptime()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
			urgent = true
		case <-sub.C:
		}
		now := n.cfg.Timer.Uptime()
		if urgent || now-last >= membership.BeatInterval-tickInterval/2 {
			last = now
			n.sendHeartbeat(n.nextReach(urgent))
			n.checkPeers(now)
		}
		n.sendDueDigests(now)
		n.refresh(now)
	}
}

// announceStoreAnswer lets a delegate tell others soon that the store has answered:
// its own data centre, and the others when it was heard here first.
func (n *Node) announceStoreAnswer(dataCentre string) {
	n.urgentWide.Store(true)
	if dataCentre == n.cfg.DataCentre {
		n.urgentAll.Store(true)
	}
	n.TriggerNearHeartbeat()
}

// nextReach returns how far the next heartbeat goes.
func (n *Node) nextReach(urgent bool) membership.Reach {
	if !urgent {
		return membership.ReachNear
	}
	wide := n.urgentWide.Swap(false)
	if n.urgentAll.Swap(false) {
		return membership.ReachAll
	}
	if wide {
		return membership.ReachWide
	}
	return membership.ReachNear
}
