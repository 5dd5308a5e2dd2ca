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
	// tickInterval is the time between two ticks, which publish views and send due
	// heartbeats and digests.
	tickInterval = 50 * time.Millisecond
	// heartbeatsPerBalancerList is the number of heartbeats of which one lists balancers.
	heartbeatsPerBalancerList = 4
	// settleTime is how long after a store outage a list that was first read during
	// the outage may lack live upstreams: they restore expired entries within about
	// two seconds.
	settleTime = 2200 * time.Millisecond
	// stopAnnouncements is the number of heartbeats that announce a stop, since nothing
	// follows when they are lost.
	stopAnnouncements        = 3
	stopAnnouncementInterval = 20 * time.Millisecond
	// discoveryTime is the time after its first list that a process needs to receive
	// the heartbeats of all sidecars: two heartbeat intervals.
	discoveryTime = 2 * membership.HeartbeatInterval
	// maxDiscoveryTime is the discovery time while heartbeats of listed sidecars are
	// missing: one heartbeat to a delegate, and two digests to reach this process.
	maxDiscoveryTime = membership.HeartbeatInterval + 2*digestNearInterval
)

// Config holds the settings of a Node. All fields but Bind, Seeds and Network are required.
type Config struct {
	Role       membership.Role
	DataCentre string
	// Regions holds the region of each data centre by its name. It may be empty.
	Regions map[string]string
	// Listen is the address at which other processes reach this one over UDP and
	// TCP. The port is the same on all hosts.
	Listen netip.AddrPort
	// Bind is the address to bind when Listen is reached through address
	// translation. The zero value binds Listen.
	Bind        netip.AddrPort
	Incarnation uint64
	// Seeds are the hosts of balancers to contact first.
	Seeds []registry.Host
	// Source is read while this process reads the store on behalf of the others.
	Source Source
	// Service is the service of a sidecar's upstream.
	Service registry.ServiceHash
	// Load returns the load that a sidecar reports for its upstream.
	Load func(now time.Duration) membership.Load
	// Ingress returns what a balancer reports of its link; nil when it reports nothing.
	Ingress func(now time.Duration) membership.Ingress
	// Placed returns the number of flows that a balancer placed in the last second; 0
	// when it is not known. It may be nil.
	Placed func(now time.Duration) int
	// Refresh is called with each new view.
	Refresh func(*steer.Fleet)
	Handler Handler

	Timer         *timer.Service
	PauseDetector *timer.PauseDetector
	Log           *event.Logger
	// Network provides the sockets. Nil selects HostNetwork.
	Network Network

	// newest replaces newestFormat in tests.
	newest membership.Format
}

// Node exchanges heartbeats, digests and updates with other processes. It is safe for concurrent use.
type Node struct {
	cfg      Config
	self     registry.Host
	newest   membership.Format // the newest version that this process reads and sends
	socket   Socket
	listener net.Listener
	// incarnation changes at each start and after each pause.
	incarnation atomic.Uint32
	pulls       chan struct{} // wakes the goroutine that pulls from peers
	urgent      chan struct{} // wakes the goroutine that sends heartbeats
	urgentAll   atomic.Bool   // the next urgent heartbeat has membership.ScopeAll
	urgentWide  atomic.Bool   // the next urgent heartbeat has at least membership.ScopeDataCentre
	storeCalls  *metric.Histogram

	mu           sync.Mutex
	directory    *registry.Directory
	members      *membership.Table
	formats      *membership.Formats
	unreadable   unreadable
	snapshot     *registry.Snapshot // never nil
	snapshotTime time.Duration      // when snapshot was built
	stale        bool               // the members or the snapshot changed after the last view
	loadsUpdated []registry.Host    // sidecars whose loads arrived after the last view
	outage       outage
	eraStart     time.Duration // when the last era of the store began; negative if there was none
	firstList    time.Duration // when the first list arrived; 0 if none has
	pauseEnd     time.Duration // when the last pause ended; 0 if there was none
	storeNeeded  bool          // peers have newer data that this process could not pull
	lastRead     time.Duration // when the store last answered this process; negative if never
	adopted      time.Duration // when the current routes were adopted
	behindSince  time.Duration // when a peer first reported newer routes than the current ones; 0 while none has
	// versionSent has when ReconcileVersion last sent a message to a balancer.
	versionSent map[registry.Host]time.Duration
	rejected    uint64 // the latest version of routes of a peer that are out of range; they are not pulled again
	stopping    bool
	sequence    uint32        // of the last heartbeat
	heartbeats  int           // heartbeats sent
	lastWide    time.Duration // when a heartbeat of at least membership.ScopeDataCentre was last sent
	digests     digests
	presence    presence
	isolated    bool // the last result of members.Isolated
	silent      map[registry.Host]bool
}

// Open binds the addresses and returns a Node. It returns *udp.ListenError,
// *ListenError, or *registry.AddressError if Config.Listen is not an IPv4 address.
func Open(cfg Config) (*Node, error) {
	self, err := registry.HostOf(cfg.Listen.Addr())
	if err != nil {
		return nil, err
	}
	bind := cfg.Bind
	if !bind.IsValid() {
		bind = cfg.Listen
	}
	if cfg.Network == nil {
		cfg.Network = HostNetwork{}
	}
	socket, listener, err := cfg.Network.Open(bind, cfg.PauseDetector)
	if err != nil {
		return nil, err
	}
	if !cfg.Bind.IsValid() {
		cfg.Listen = socket.Address() // has the port that was chosen if the configured one is 0
	}
	newest := newestFormat
	if cfg.newest != 0 {
		newest = cfg.newest
	}
	n := &Node{
		cfg:       cfg,
		self:      self,
		newest:    newest,
		formats:   membership.NewFormats(newest),
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
		outage:      outage{last: -settleTime},
		eraStart:    -settleTime,
		lastRead:    -maxPullOutage,
		silent:      make(map[registry.Host]bool),
		versionSent: make(map[registry.Host]time.Duration),
		storeCalls:  metric.NewHistogram(),
	}
	n.snapshot = n.directory.Snapshot(0)
	n.incarnation.Store(uint32(cfg.Incarnation ^ cfg.Incarnation>>32))
	cfg.PauseDetector.OnResume(n.onResume)
	return n, nil
}

// onResume begins a new incarnation after a pause of this process. Reports sent to it
// during the pause may be lost; peers repeat them to a process that has started.
func (n *Node) onResume(gap time.Duration) {
	n.incarnation.Add(1)
	now := n.lock()
	n.members.AdjustForPause(now, gap)
	n.pauseEnd = now
	// Digests leave out what was received before the pause, since it is outdated.
	n.digests.sidecars.lastFull, n.digests.near.lastFull, n.digests.far.lastFull = now, now, now
	n.mu.Unlock()
	n.cfg.Log.Emit(event.ProcessWoke, zap.Duration("gap", gap))
	n.TriggerHeartbeat()
}

// Run exchanges heartbeats, digests and updates with other processes until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { n.socket.Run(ctx, func() udp.Handler { return n.receive }) })
	wg.Go(func() { n.servePulls(ctx) })
	wg.Go(func() { n.runPulls(ctx) })
	wg.Go(func() { n.followStore(ctx) })
	wg.Go(func() { n.runTicks(ctx) })
	wg.Wait()
}

// lock acquires n.mu and returns the uptime as of then. No time that was recorded under
// the lock is later, so that ages are not negative.
func (n *Node) lock() time.Duration {
	n.mu.Lock()
	return n.cfg.Timer.Uptime()
}

// Self returns the host of this process.
func (n *Node) Self() registry.Host {
	return n.self
}

// Send sends a datagram to the process on a host.
func (n *Node) Send(b []byte, h registry.Host) {
	n.socket.Send(b, h.Port(n.cfg.Listen.Port()))
}

// Traffic returns the totals of the socket for other processes.
func (n *Node) Traffic() udp.Counts {
	return n.socket.Counts()
}

// Versions returns the version of the routes and the state of the upstreams that this
// process has received.
func (n *Node) Versions() membership.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions()
}

// versions is Versions for callers that hold n.mu.
func (n *Node) versions() membership.Versions {
	return membership.Versions{Version: n.directory.Version(), State: n.directory.State(), FormerHash: n.directory.FormerHash()}
}

// recordVersion records that a peer has a version of the routes. The caller holds n.mu.
func (n *Node) recordVersion(now time.Duration, version uint64) {
	if n.behindSince == 0 && version > n.directory.Version() {
		n.behindSince = now
	}
}

// StoreCalls returns the durations of calls to the store, excluding watches.
func (n *Node) StoreCalls() *metric.Histogram {
	return n.storeCalls
}

// Status describes how up to date a Node is.
type Status struct {
	membership.Versions

	// Doubtful is the number of keys whose records from before the current era of the
	// store are not superseded by the current list.
	Doubtful int
	// Evacuated is the number of evacuated data centres.
	Evacuated int
	// StoreAge is the time since the store last answered any process, as far as reported.
	StoreAge time.Duration
	// RoutesAge is the time since the current routes were adopted; 0 before the first.
	RoutesAge time.Duration
	// Peers is the number of other live processes.
	Peers int
	// Sidecars is the number of live sidecars among them.
	Sidecars int
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	now := n.lock()
	defer n.mu.Unlock()
	s := Status{
		Versions:  n.versions(),
		Doubtful:  n.directory.FormerCount(),
		Evacuated: len(n.snapshot.EvacuatedDataCentres()),
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

// Isolated reports whether this process has received heartbeats of sidecars before and
// no longer receives any.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Isolated(n.cfg.Timer.Uptime())
}

// Stop announces to all other processes that this one is about to end, and returns after
// (stopAnnouncements-1)*stopAnnouncementInterval. A process that receives no announcement
// takes the end for a loss and gives the flows up.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.sendHeartbeat(membership.ScopeAll)
	for range stopAnnouncements - 1 {
		if n.cfg.Timer.Sleep(ctx, stopAnnouncementInterval) != nil {
			return
		}
		n.sendHeartbeat(membership.ScopeAll)
	}
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []registry.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.SetSeeds(seeds)
}

// TriggerHeartbeat sends a heartbeat soon to the data centre and to the delegates of
// the others, after a change that all processes need.
func (n *Node) TriggerHeartbeat() {
	n.urgentAll.Store(true)
	n.TriggerLocalHeartbeat()
}

// TriggerLocalHeartbeat sends a heartbeat soon to the balancers of this data centre, for
// example after a large change of the load.
func (n *Node) TriggerLocalHeartbeat() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// BalancersNear returns the other live balancers in the data centre of a host.
// Routers may send further packets of a flow that the host received to any of them.
func (n *Node) BalancersNear(h registry.Host) []registry.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.BalancersNear(n.cfg.Timer.Uptime(), h)
}

// SameDataCentre reports whether two hosts are in the same data centre, or the data
// centre of one of them is unknown.
func (n *Node) SameDataCentre(a, b registry.Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, y := n.members.DataCentre(a), n.members.DataCentre(b)
	return x == y || x == "" || y == ""
}

// ReportFlows reports to balancers that the upstream of this process holds flows.
func (n *Node) ReportFlows(keys []steer.Key, balancers []registry.Host) {
	var buf []byte
	for _, batch := range flowBatches(keys) {
		buf = appendFlows(buf[:0], batch)
		for _, h := range balancers {
			n.Send(buf, h)
		}
	}
}

// runTicks publishes views and sends heartbeats and digests until ctx is done.
func (n *Node) runTicks(ctx context.Context) {
	sub := n.cfg.Timer.Every(tickInterval)
	defer sub.Stop()
	n.sendHeartbeat(membership.ScopeAll) // announces the start of this process
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
		n.cfg.PauseDetector.Epoch() // a pause is no silence of the others
		now := n.cfg.Timer.Uptime()
		if urgent || now-last >= membership.HeartbeatInterval-tickInterval/2 {
			last = now
			n.sendHeartbeat(n.nextScope(urgent))
			n.checkPeers()
		}
		n.checkPresence()
		n.sendDueDigests()
		n.refresh()
	}
}

// announceStoreAnswer triggers a heartbeat of a delegate after a process of the given
// data centre reported a new answer of the store. The heartbeat goes to the delegate's
// own data centre, and to the other ones only if the process is in its own.
func (n *Node) announceStoreAnswer(dataCentre string) {
	n.urgentWide.Store(true)
	if dataCentre == n.cfg.DataCentre {
		n.urgentAll.Store(true)
	}
	n.TriggerLocalHeartbeat()
}

// nextScope returns the scope of the next heartbeat and resets the requests for a wider one.
func (n *Node) nextScope(urgent bool) membership.Scope {
	if !urgent {
		return membership.ScopeBalancers
	}
	wide := n.urgentWide.Swap(false)
	if n.urgentAll.Swap(false) {
		return membership.ScopeAll
	}
	if wide {
		return membership.ScopeDataCentre
	}
	return membership.ScopeBalancers
}
