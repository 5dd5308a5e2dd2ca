package edge

import (
	"context"
	"net/netip"
	"slices"
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
	// noticeInterval is the interval at which new flows are reported to balancers.
	noticeInterval = 50 * time.Millisecond
	// heartbeatThreshold is the change of the number of active requests that triggers
	// an extra heartbeat.
	heartbeatThreshold = 4
	// meanActiveWindow is the time constant of the mean number of active requests.
	meanActiveWindow = time.Second
)

// SidecarConfig holds the settings of a sidecar.
type SidecarConfig struct {
	Config
	// Service is the service of the upstream.
	Service string
	// Outbound is the address at which the sidecar receives packets from the upstream.
	Outbound netip.AddrPort
	// Upstream is the address at which the upstream receives packets.
	Upstream netip.AddrPort
	// Cold limits the openings at the upstream while it is cold.
	Cold steer.ColdLimit
	// Ramp limits the concurrent requests of the upstream after its start.
	Ramp bool
	// FirstStart is true when no other sidecar has served the upstream before.
	FirstStart bool
	// MaxOutdated is how long a balancer may place openings by older routes than those of the
	// sidecar, which do not allow them. 0 means no limit.
	MaxOutdated time.Duration
	// MaxDrain is the maximum time that a stopping sidecar waits for active requests.
	MaxDrain time.Duration
}

// Sidecar delivers packets of callers to its upstream and sends the upstream's answers
// to callers. It passes packets of other upstreams' flows on to other sidecars.
type Sidecar struct {
	*process
	upstream   netip.AddrPort // where the upstream receives packets
	maxDrain   time.Duration
	steering   *steer.Sidecar
	latency    latencies
	probes     chan struct{} // capacity 1; requests a probe of the upstream
	downSince  time.Duration // uptime when the upstream was first found down; 0 while it runs
	downTicks  int           // ticks with the upstream down, since the process started
	meanActive atomic.Int64  // mean number of active requests, in thousandths

	// Each of the buffers is used by one goroutine only.
	fromPeers    buffers // reader of the exchange socket
	fromUpstream buffers // reader of the packet socket
	fromHeld     buffers // tick
}

// buffers holds a decoded packet and an output buffer that are reused for each packet.
type buffers struct {
	packet steer.Packet
	out    []byte
}

// OpenSidecar binds the addresses and returns a Sidecar that Run starts. It returns a
// *udp.ListenError or *exchange.ListenError if an address cannot be bound.
func OpenSidecar(cfg SidecarConfig) (*Sidecar, error) {
	p, err := newProcess(cfg.Config)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{process: p, upstream: cfg.Upstream, maxDrain: cfg.MaxDrain, probes: make(chan struct{}, 1), latency: newLatencies()}
	s.steering = steer.NewSidecar(steer.SidecarConfig{
		Self:        p.self,
		DataCentre:  cfg.DataCentre,
		Service:     cfg.Service,
		MaxFlow:     cfg.MaxFlow,
		Placing:     cfg.Placing,
		Cold:        cfg.Cold,
		Ramp:        cfg.Ramp,
		FirstStart:  cfg.FirstStart,
		MaxOutdated: cfg.MaxOutdated,
		Started:     cfg.Timer.Uptime(),
		StartedAt:   cfg.Timer.Now().UnixMilli(),
		Latency:     s.latency,
	})
	s.fleet = s.steering.Fleet
	nc := cfg.exchangeConfig(membership.Sidecar, s.pauseDetector)
	nc.Service = registry.HashService(cfg.Service)
	nc.Handler = (*sidecarHandler)(s)
	nc.Refresh = s.steering.SetFleet
	nc.Load = s.load
	if err := s.open(cfg.Outbound, nc); err != nil {
		return nil, err
	}
	return s, nil
}

// Run serves until ctx is done and the sidecar has drained.
func (s *Sidecar) Run(ctx context.Context) {
	s.run(ctx, func() udp.Handler { return s.upstreamPacket }, s.drain, s.tick, s.probeUpstream)
}

// Ready reports whether the sidecar is not stopping.
func (s *Sidecar) Ready() bool {
	return !s.stopping.Load()
}

// drain announces to the balancers that the sidecar is stopping, so that they open no
// flows here, and waits until no request is active or maxDrain has passed. Flows stay
// open: the sidecar that starts next on this instance serves them.
func (s *Sidecar) drain(ctx context.Context) {
	begin := s.cfg.Timer.Uptime()
	s.probeAtStop(ctx)
	s.cfg.Log.Emit(event.ProcessStopping, zap.Int("flows", s.steering.Flows()), zap.Int("active", s.steering.Active()), zap.Bool("ended", s.steering.Ended()))
	s.node.Stop(ctx)
	for s.steering.Active() > 0 && s.cfg.Timer.Uptime()-begin < s.maxDrain {
		_ = s.cfg.Timer.Sleep(ctx, 10*time.Millisecond) // ctx is not canceled before drain returns
	}
}

// load returns the load that heartbeats report to balancers.
func (s *Sidecar) load(now time.Duration) membership.Load {
	return s.steering.Load(now, int(s.meanActive.Load()))
}

// tick does the periodic work until ctx is done: it reports flows and load changes to
// balancers, retries held packets, probes the upstream and removes expired flows.
func (s *Sidecar) tick(ctx context.Context) {
	sub := s.cfg.Timer.Every(noticeInterval)
	defer sub.Stop()
	var lastExpire time.Duration
	var omitted omittedReporter
	reported := 0 // active requests at the last extra heartbeat
	silent := false
	var pace paceReporter
	s.requestProbe() // the upstream may not be running yet
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		}
		now := s.cfg.Timer.Uptime()
		s.sampleActive()
		if active := s.steering.Active(); active-reported >= heartbeatThreshold || reported-active >= heartbeatThreshold {
			reported = active
			s.node.TriggerLocalHeartbeat()
		}
		s.sendNotices()
		s.retryHeld(now)
		s.scheduleProbe(now)
		s.reportPace(&pace, now)
		if now-lastExpire >= expireInterval {
			lastExpire = now
			s.steering.Expire(now)
			omitted.report(s.cfg.Log)
		}
		if wasSilent := silent; s.steering.Silent(now) != wasSilent {
			silent = !wasSilent
			s.logSilence(silent)
			s.node.TriggerHeartbeat()
		}
	}
}

func (s *Sidecar) logSilence(silent bool) {
	if silent {
		s.cfg.Log.Emit(event.UpstreamSilent, zap.Int("flows", s.steering.Flows()))
		return
	}
	s.cfg.Log.Emit(event.UpstreamReacts)
}

// sampleActive adds one sample of the number of active requests to the mean.
func (s *Sidecar) sampleActive() {
	mean := s.meanActive.Load()
	sample := int64(1000 * s.steering.Active())
	s.meanActive.Store(mean + (sample-mean)*int64(noticeInterval)/int64(meanActiveWindow))
}

// sendNotices reports to balancers which flows the upstream holds. A notice goes to the
// balancer that it names or, if All is set, to all balancers of that one's data centre,
// since routers may send the flow's next packets to any of them.
func (s *Sidecar) sendNotices() {
	notices := s.steering.Notices()
	if len(notices) == 0 {
		return
	}
	direct := make(map[registry.Host][]steer.Key)
	nearby := make(map[registry.Host][]steer.Key)
	for _, n := range notices {
		if n.All {
			nearby[n.Balancer] = append(nearby[n.Balancer], n.Key)
		} else {
			direct[n.Balancer] = append(direct[n.Balancer], n.Key)
		}
	}
	for h, keys := range direct {
		s.node.ReportFlows(keys, []registry.Host{h})
	}
	for h, keys := range nearby {
		s.node.ReportFlows(keys, withBalancer(s.node.BalancersNear(h), h))
	}
}

// withBalancer returns the live balancers near h with h itself, which has just forwarded a
// packet, although its heartbeats may be late here. A zero h stands for an unknown one.
func withBalancer(near []registry.Host, h registry.Host) []registry.Host {
	if h.IsZero() || slices.Contains(near, h) {
		return near
	}
	return append(near, h)
}

// upstreamPacket handles one packet that the upstream sent or returned.
func (s *Sidecar) upstreamPacket(d []byte, from netip.AddrPort) {
	if from.Addr() != s.upstream.Addr() && !from.Addr().IsLoopback() {
		s.counts.invalid.Add(1)
		return // only this sidecar's upstream may send to this socket
	}
	p := &s.fromUpstream.packet
	if err := s.cfg.Codec.Decode(d, p); err != nil {
		s.counts.invalid.Add(1)
		return
	}
	s.execute(s.steering.FromUpstream(s.cfg.Timer.Uptime(), p), d, &s.fromUpstream)
	if p.Flags.Has(steer.RST) && !p.Flags.Has(steer.Returned) {
		logReset(s.cfg.Log, p)
	}
}

// execute carries out the decision a on the packet d. b.packet is the decoded d.
func (s *Sidecar) execute(a steer.Action, d []byte, b *buffers) {
	p := &b.packet
	switch a := a.(type) {
	case steer.Deliver:
		s.counts.delivered.Add(1)
		s.cfg.Codec.SetTag(d, a.Tag)
		s.socket.Send(d, s.upstream)
	case steer.Answer:
		s.counts.answered.Add(1)
		s.socket.Send(d, p.Destination.Host.Port(s.cfg.CallerPort))
		if !a.Searcher.IsZero() {
			s.node.ReportFlows([]steer.Key{p.UpstreamKey()}, []registry.Host{a.Searcher})
		}
	case *steer.Forward:
		s.passOn(a, d, b)
	case *steer.FanOut:
		for i := range a.Forwards {
			s.passOn(&a.Forwards[i], d, b)
		}
		if a.Report != nil {
			s.node.ReportMissing(&a.Report.MissReport, a.Report.Balancer)
		}
		if a.Hold != nil {
			s.hold(a.Hold, p, d)
		}
	case *steer.Report:
		s.node.ReportMissing(&a.MissReport, a.Balancer)
	case steer.Refuse:
		b.out = s.refuse(p, a.Reason, b.out)
	case *steer.Hold:
		s.hold(a, p, d)
	case steer.Drop:
		s.drop(p, a.Reason)
	}
}

// passOn forwards a packet to another sidecar.
func (s *Sidecar) passOn(a *steer.Forward, d []byte, b *buffers) {
	s.cfg.Codec.SetTag(d, 0)
	b.out = s.forward(a, d, b.out)
	s.logFlow(event.PacketPassed, &b.packet, zap.Stringer("next", a.Host), zap.Int("visited", len(a.Header.Visited)), zap.Uint64("placed", a.Header.Version), zap.Stringer("reason", a.Reason))
}

// retryHeld repeats the decision for each held packet.
func (s *Sidecar) retryHeld(now time.Duration) {
	p := &s.fromHeld.packet
	for _, h := range s.held.takeAll() {
		if err := s.cfg.Codec.Decode(h.data, p); err != nil {
			continue // unreachable: the packet was decoded before it was held
		}
		switch a := s.steering.RetryHeld(now, &h.header, p).(type) {
		case *steer.Hold:
			s.requeue(a, h, p, now)
		case *steer.FanOut:
			rehold := a.Hold
			a.Hold = nil
			s.execute(a, h.data, &s.fromHeld)
			if rehold != nil {
				s.requeue(rehold, h, p, now)
			}
		default:
			s.execute(a, h.data, &s.fromHeld)
		}
	}
}

// requeue holds a packet again, or drops it if its maximum hold time has passed.
func (s *Sidecar) requeue(a *steer.Hold, h heldPacket, p *steer.Packet, now time.Duration) {
	if h.expired(now) {
		s.drop(p, a.Reason)
		return
	}
	h.header = a.Header
	s.held.requeue(h)
}

// sidecarHandler implements exchange.Handler for a sidecar.
type sidecarHandler Sidecar

// Forwarded handles a caller's packet that a balancer or another sidecar forwarded.
func (h *sidecarHandler) Forwarded(header *steer.Header, d []byte) {
	s := (*Sidecar)(h)
	p := &s.fromPeers.packet
	if err := s.cfg.Codec.Decode(d, p); err != nil {
		s.counts.invalid.Add(1)
		return
	}
	// The balancer has sent other copies of a searched packet past a sidecar that stood still.
	if header.UnknownFlow && header.Remote && s.pauseDetector.Delayed() && !s.steering.Holds(p.CallerKey()) {
		s.drop(p, steer.ReasonLate)
		return
	}
	if p.Opens() {
		s.compareVersion(header)
	}
	a := s.steering.FromBalancer(s.cfg.Timer.Uptime(), header, p)
	if deliver, ok := a.(steer.Deliver); ok && deliver.Found {
		s.node.ReportFlows([]steer.Key{p.CallerKey()}, []registry.Host{header.Balancer})
	}
	s.execute(a, d, &s.fromPeers)
}

// compareVersion counts an opening that a balancer with other routes placed, and makes the
// process that is behind adopt the newer ones.
func (s *Sidecar) compareVersion(header *steer.Header) {
	f := s.steering.Fleet()
	switch {
	case f == nil || f.Snapshot.Version() == header.Version:
		return
	case f.Snapshot.Version() > header.Version:
		s.counts.olderOpenings.Add(1)
	default:
		s.counts.newerOpenings.Add(1)
	}
	s.node.ReconcileVersion(header.Balancer, header.Version)
}

// FlowHeld does nothing: sidecars query their own upstreams, not each other.
func (h *sidecarHandler) FlowHeld(steer.Key, registry.Host) {}

// FlowMissing does nothing: only balancers search for flows.
func (h *sidecarHandler) FlowMissing(*steer.MissReport) {}

// BalancerStarted reports to a balancer that has just started the open flows of the
// upstream whose last packets arrived through balancers of the same data centre.
func (h *sidecarHandler) BalancerStarted(balancer registry.Host) {
	s := (*Sidecar)(h)
	keys := s.steering.OpenFlows(func(h registry.Host) bool { return s.node.SameDataCentre(h, balancer) })
	s.node.ReportFlows(keys, []registry.Host{balancer})
}

// LoadUpdated does nothing: sidecars receive loads with each fleet.
func (h *sidecarHandler) LoadUpdated(registry.Host) {}
