package edge

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/udp"
	"go.uber.org/zap"
)

const (
	// noticeEvery is how often balancers are told of new flows.
	noticeEvery = 50 * time.Millisecond
	// hurryBy is by how many requests the load changes until others are told out of turn.
	hurryBy = 4
	// busyWindow is over how long the mean number of requests is taken.
	busyWindow = time.Second
)

// SidecarConfig holds the settings of a sidecar.
type SidecarConfig struct {
	Config
	// Service is the service of the upstream.
	Service string
	// Outbound is where the upstream sends its packets to.
	Outbound netip.AddrPort
	// Upstream is where the upstream takes packets.
	Upstream netip.AddrPort
	// MaxDrain is for how long a stopping sidecar serves at most while its upstream has flows.
	MaxDrain time.Duration
}

// Sidecar moves packets between balancers, the upstream beside it and callers.
type Sidecar struct {
	*process
	upstream  netip.AddrPort // where the upstream takes packets
	maxDrain  time.Duration
	decide    *steer.Sidecar
	latency   latencies
	checks    chan struct{} // wakes the goroutine that asks whether the upstream runs
	goneSince time.Duration // when the upstream was first found to be gone; 0 while it runs
	goneTicks int           // since the process started, while the upstream was gone
	busy      atomic.Int64  // mean number of requests that wait, in thousandths

	// The buffers belong to the goroutine that reads the named socket.
	fromPeers    buffers
	fromUpstream buffers
	fromHeld     buffers // of the goroutine that ticks
}

// buffers are reused from packet to packet.
type buffers struct {
	packet steer.Packet
	out    []byte
}

// OpenSidecar binds the addresses. It reports *udp.ListenError or *exchange.ListenError.
func OpenSidecar(cfg SidecarConfig) (*Sidecar, error) {
	p, err := newProcess(cfg.Config)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{process: p, upstream: cfg.Upstream, maxDrain: cfg.MaxDrain, checks: make(chan struct{}, 1), latency: newLatencies()}
	s.decide = steer.NewSidecar(steer.SidecarConfig{
		Self:       p.self,
		DataCentre: cfg.DataCentre,
		Service:    cfg.Service,
		MaxFlow:    cfg.MaxFlow,
		Placing:    cfg.Placing,
		Latency:    s.latency,
	})
	s.fleet = s.decide.Fleet
	nc := cfg.node(membership.Sidecar, s.heartbeat)
	nc.Service = registry.HashService(cfg.Service)
	nc.Handler = (*sidecarHandler)(s)
	nc.Refresh = s.decide.SetFleet
	nc.Load = s.load
	if err := s.open(cfg.Outbound, nc); err != nil {
		return nil, err
	}
	return s, nil
}

// Run serves until ctx is done.
func (s *Sidecar) Run(ctx context.Context) {
	s.run(ctx, func() udp.Handler { return s.upstreamPacket }, s.drain, s.tick, s.watchUpstream)
}

// Ready reports whether the sidecar serves.
func (s *Sidecar) Ready() bool {
	return !s.stopping.Load()
}

// drain tells balancers to open no flows here, and waits until no request is
// under way. Flows stay open: the next process of this instance serves them.
func (s *Sidecar) drain(ctx context.Context) {
	begin := s.cfg.Timer.Uptime()
	s.cfg.Log.Emit(event.ProcessStopping, zap.Int("flows", s.decide.Flows()), zap.Int("active", s.decide.Active()))
	s.node.Stop()
	for s.decide.Active() > 0 && s.cfg.Timer.Uptime()-begin < s.maxDrain {
		_ = s.cfg.Timer.Sleep(ctx, 10*time.Millisecond) // ctx is not done before drain returns
	}
}

// load returns what balancers are told.
func (s *Sidecar) load(now time.Duration) membership.Load {
	return s.decide.Load(now, int(s.busy.Load()))
}

// tick tells balancers of flows, and forgets what has ended.
func (s *Sidecar) tick(ctx context.Context) {
	sub := s.cfg.Timer.Every(noticeEvery)
	defer sub.Stop()
	var expired time.Duration
	var left omissions
	told := 0 // requests that waited when others were last told out of turn
	silent := false
	s.wakeCheck() // an instance may start without its upstream
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		}
		now := s.cfg.Timer.Uptime()
		s.measure()
		if active := s.decide.Active(); active-told >= hurryBy || told-active >= hurryBy {
			told = active
			s.node.TriggerNearHeartbeat()
		}
		s.sendNotices()
		s.release(now)
		s.checkUpstream(now)
		if now-expired >= expireEvery {
			expired = now
			s.decide.Expire(now)
			left.report(s.cfg.Log)
		}
		if was := silent; s.decide.Silent(now) != was {
			silent = !was
			s.logSilence(silent)
			s.node.TriggerHeartbeat()
		}
	}
}

func (s *Sidecar) logSilence(silent bool) {
	if silent {
		s.cfg.Log.Emit(event.UpstreamSilent, zap.Int("flows", s.decide.Flows()))
		return
	}
	s.cfg.Log.Emit(event.UpstreamReacts)
}

// measure takes one sample of the requests that wait.
func (s *Sidecar) measure() {
	mean := s.busy.Load()
	sample := int64(1000 * s.decide.Active())
	s.busy.Store(mean + (sample-mean)*int64(noticeEvery)/int64(busyWindow))
}

// sendNotices tells balancers which flows the upstream holds: the one that asked,
// or those of the data centre whose balancer took the flow's packets, since
// routers send the next ones there, too.
func (s *Sidecar) sendNotices() {
	notices := s.decide.Notices()
	if len(notices) == 0 {
		return
	}
	only := make(map[registry.Host][]steer.Key)
	beside := make(map[registry.Host][]steer.Key)
	for _, n := range notices {
		if n.All {
			beside[n.Balancer] = append(beside[n.Balancer], n.Key)
		} else {
			only[n.Balancer] = append(only[n.Balancer], n.Key)
		}
	}
	for h, keys := range only {
		s.node.ReportFlows(keys, []registry.Host{h})
	}
	for h, keys := range beside {
		s.node.ReportFlows(keys, s.node.PeerBalancers(h))
	}
}

// upstreamPacket handles one packet that the upstream sent or returned.
func (s *Sidecar) upstreamPacket(d []byte, from netip.AddrPort) {
	if from.Addr() != s.upstream.Addr() && !from.Addr().IsLoopback() {
		s.counts.invalid.Add(1)
		return // only the own upstream sends here
	}
	p := &s.fromUpstream.packet
	if err := s.cfg.Codec.Decode(d, p); err != nil {
		s.counts.invalid.Add(1)
		return
	}
	s.act(s.decide.FromUpstream(s.cfg.Timer.Uptime(), p), d, &s.fromUpstream)
	if p.Flags.Has(steer.RST) && !p.Flags.Has(steer.Returned) {
		logReset(s.cfg.Log, p)
	}
}

// act does what was decided for the packet d.
func (s *Sidecar) act(a steer.Action, d []byte, b *buffers) {
	p := &b.packet
	switch a := a.(type) {
	case steer.Deliver:
		s.counts.delivered.Add(1)
		s.cfg.Codec.SetTag(d, a.Tag)
		s.socket.Send(d, s.upstream)
	case steer.Answer:
		s.counts.answered.Add(1)
		s.socket.Send(d, p.Destination.Host.Port(s.cfg.CallerPort))
	case *steer.Forward:
		s.pass(a, d, b)
	case *steer.Branch:
		for i := range a.Forwards {
			s.pass(&a.Forwards[i], d, b)
		}
		if a.Report != nil {
			s.node.ReportMissing(&a.Report.Missing, a.Report.Balancer)
		}
		if a.Hold != nil {
			s.hold(a.Hold, p, d)
		}
	case *steer.Report:
		s.node.ReportMissing(&a.Missing, a.Balancer)
	case steer.Refuse:
		b.out = s.refuse(p, a.Reason, b.out)
	case *steer.Hold:
		s.hold(a, p, d)
	case steer.Drop:
		s.drop(p, a.Reason)
	}
}

// pass sends a packet on to another sidecar.
func (s *Sidecar) pass(a *steer.Forward, d []byte, b *buffers) {
	s.cfg.Codec.SetTag(d, 0)
	b.out = s.forward(a, d, b.out)
	s.logFlow(event.PacketPassed, &b.packet, zap.Stringer("next", a.Host), zap.Int("visited", len(a.Header.Visited)), zap.Stringer("reason", a.Reason))
}

// release decides again on the packets that are held.
func (s *Sidecar) release(now time.Duration) {
	p := &s.fromHeld.packet
	for _, h := range s.held.take() {
		if err := s.cfg.Codec.Decode(h.data, p); err != nil {
			continue // it was decoded before it was held
		}
		switch a := s.decide.Again(now, &h.header, p).(type) {
		case *steer.Hold:
			s.keep(a, h, p, now)
		case *steer.Branch:
			again := a.Hold
			a.Hold = nil
			s.act(a, h.data, &s.fromHeld)
			if again != nil {
				s.keep(again, h, p, now)
			}
		default:
			s.act(a, h.data, &s.fromHeld)
		}
	}
}

// keep goes on holding a packet, unless it was held for long enough.
func (s *Sidecar) keep(a *steer.Hold, h heldPacket, p *steer.Packet, now time.Duration) {
	if h.expired(now) {
		s.drop(p, a.Reason)
		return
	}
	h.header = a.Header
	s.held.keep(h)
}

// sidecarHandler takes what other processes send to a sidecar.
type sidecarHandler Sidecar

// Forwarded handles a packet of a caller.
func (h *sidecarHandler) Forwarded(header *steer.Header, d []byte) {
	s := (*Sidecar)(h)
	p := &s.fromPeers.packet
	if err := s.cfg.Codec.Decode(d, p); err != nil {
		s.counts.invalid.Add(1)
		return
	}
	s.act(s.decide.FromBalancer(s.cfg.Timer.Uptime(), header, p), d, &s.fromPeers)
}

// Held does nothing: sidecars ask upstreams, not each other.
func (h *sidecarHandler) FlowHeld(steer.Key, registry.Host) {}

// Missing does nothing: balancers search.
func (h *sidecarHandler) FlowMissing(*steer.Missing) {}

// Restarted tells a balancer that has just started which flows the upstream holds
// that balancers of its data centre took.
func (h *sidecarHandler) BalancerStarted(balancer registry.Host) {
	s := (*Sidecar)(h)
	keys := s.decide.Open(func(h registry.Host) bool { return s.node.SameDataCentre(h, balancer) })
	s.node.ReportFlows(keys, []registry.Host{balancer})
}

// Told does nothing: sidecars learn loads with each view.
func (h *sidecarHandler) LoadUpdated(registry.Host) {}
