package edge

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/sourcegraph/conc"
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
	cfg       SidecarConfig
	self      registry.Host
	heartbeat *timer.Heartbeat
	decide    *steer.Sidecar
	node      *exchange.Node
	socket    *udp.Socket // for the upstream and for callers
	counts    counts
	latency   latencies
	held      holder
	checks    chan struct{} // wakes the goroutine that asks whether the upstream runs
	stopping  atomic.Bool
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
	s := &Sidecar{cfg: cfg, heartbeat: timer.NewHeartbeat(cfg.Timer), checks: make(chan struct{}, 1), latency: newLatencies()}
	self, err := registry.HostOf(cfg.Exchange.Addr())
	if err != nil {
		return nil, err
	}
	s.self = self
	s.decide = steer.NewSidecar(steer.SidecarConfig{
		Self:       self,
		DataCentre: cfg.DataCentre,
		Service:    cfg.Service,
		MaxFlow:    cfg.MaxFlow,
		Placing:    cfg.Placing,
		Latency:    s.latency,
	})
	s.socket, err = udp.Open(udp.Config{Listen: cfg.Outbound, Workers: 1, Buffer: packetBuffer, Heartbeat: s.heartbeat})
	if err != nil {
		return nil, err
	}
	nc := cfg.node(membership.Sidecar, s.heartbeat)
	nc.Service = registry.HashService(cfg.Service)
	nc.Handler = (*sidecarHandler)(s)
	nc.Refresh = s.decide.SetFleet
	nc.Load = s.load
	s.node, err = exchange.Open(nc)
	if err != nil {
		s.socket.Close()
		return nil, err
	}
	return s, nil
}

// Run serves until ctx is done.
func (s *Sidecar) Run(ctx context.Context) {
	inner, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg conc.WaitGroup
	wg.Go(func() { s.heartbeat.Run(inner) })
	wg.Go(func() { s.node.Run(inner) })
	wg.Go(func() { s.socket.Run(inner, func() udp.Handler { return s.upstreamPacket }) })
	wg.Go(func() { s.tick(inner) })
	wg.Go(func() { s.watchUpstream(inner) })
	<-ctx.Done()
	s.drain(inner)
	end()
	wg.Wait()
}

// Ready reports whether the sidecar serves.
func (s *Sidecar) Ready() bool {
	return !s.stopping.Load()
}

// SetSeeds replaces the seeds.
func (s *Sidecar) SetSeeds(seeds []registry.Host) {
	s.node.SetSeeds(seeds)
}

// drain tells balancers to open no flows here, and waits until no request is
// under way. Flows stay open: the next process of this instance serves them.
func (s *Sidecar) drain(ctx context.Context) {
	begin := s.cfg.Timer.Uptime()
	s.stopping.Store(true)
	s.cfg.Log.Emit(event.ProcessStopping, zap.Int("flows", s.decide.Flows()), zap.Int("active", s.decide.Active()))
	s.node.Stop()
	for s.decide.Active() > 0 && s.cfg.Timer.Uptime()-begin < s.cfg.MaxDrain {
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
			s.node.HurryNear()
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
			s.node.Hurry()
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

// sendNotices tells balancers which flows the upstream holds.
func (s *Sidecar) sendNotices() {
	notices := s.decide.Notices()
	if len(notices) == 0 {
		return
	}
	only := make(map[registry.Host][]steer.Key)
	for _, n := range notices {
		only[n.Only] = append(only[n.Only], n.Key)
	}
	for h, keys := range only {
		if h.IsZero() {
			s.node.TellFlows(keys, s.node.Balancers())
			continue
		}
		s.node.TellFlows(keys, []registry.Host{h})
	}
}

// upstreamPacket handles one packet that the upstream sent or returned.
func (s *Sidecar) upstreamPacket(d []byte, from netip.AddrPort) {
	if from.Addr() != s.cfg.Upstream.Addr() && !from.Addr().IsLoopback() {
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
		s.socket.Send(d, s.cfg.Upstream)
	case steer.Answer:
		s.counts.answered.Add(1)
		s.socket.Send(d, p.Destination.Host.Port(s.cfg.CallerPort))
	case *steer.Forward:
		s.counts.forwarded.Add(1)
		s.cfg.Codec.SetTag(d, 0)
		b.out = exchange.AppendForward(b.out[:0], &a.Header)
		b.out = append(b.out, d...)
		s.node.Send(b.out, a.Host)
		s.logFlow(event.PacketPassed, p, zap.Stringer("next", a.Host), zap.Int("visited", len(a.Header.Visited)), zap.Stringer("reason", a.Reason))
	case steer.Refuse:
		b.out = s.refuse(p, a.Reason, b.out)
	case *steer.Hold:
		if !s.held.add(s.cfg.Timer.Uptime(), a.Header, d) {
			s.drop(p, a.Reason)
		}
	case steer.Drop:
		s.drop(p, a.Reason)
	}
}

// logFlow writes an event about the flow of a packet.
func (s *Sidecar) logFlow(n event.Number, p *steer.Packet, fields ...zap.Field) {
	logFlow(s.cfg.Log, n, s.cfg.Timer.Uptime(), s.decide.Fleet(), p, fields...)
}

// refuse resets the flow of a caller's packet, and returns the buffer for the next one.
func (s *Sidecar) refuse(p *steer.Packet, reason steer.Reason, out []byte) []byte {
	s.counts.refused.add(reason)
	out = s.cfg.Codec.AppendReset(out[:0], p)
	s.socket.Send(out, p.Source.Host.Port(s.cfg.CallerPort))
	s.logFlow(event.FlowRefused, p, zap.Stringer("reason", reason))
	return out
}

func (s *Sidecar) drop(p *steer.Packet, reason steer.Reason) {
	s.counts.dropped.add(reason)
	s.logFlow(event.PacketDropped, p, zap.Stringer("reason", reason))
}

// release decides again on the packets that are held.
func (s *Sidecar) release(now time.Duration) {
	p := &s.fromHeld.packet
	for _, h := range s.held.take() {
		if err := s.cfg.Codec.Decode(h.data, p); err != nil {
			continue // it was decoded before it was held
		}
		a := s.decide.Again(now, &h.header, p)
		again, held := a.(*steer.Hold)
		switch {
		case held && h.expired(now):
			s.drop(p, again.Reason)
		case held:
			s.held.keep(h)
		default:
			s.act(a, h.data, &s.fromHeld)
		}
	}
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
func (h *sidecarHandler) Held(steer.Key, registry.Host) {}

// Restarted tells a balancer that has just started which flows the upstream holds.
func (h *sidecarHandler) Restarted(balancer registry.Host) {
	s := (*Sidecar)(h)
	s.node.TellFlows(s.decide.Open(), []registry.Host{balancer})
}

// Told does nothing: sidecars learn loads with each view.
func (h *sidecarHandler) Told(registry.Host) {}
