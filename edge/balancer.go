package edge

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/udp"
	"go.uber.org/zap"
)

const (
	// expireInterval is the interval at which expired flows are removed.
	expireInterval = time.Second
	// readyTimeout is the maximum time that a starting balancer waits for sidecars to report their flows.
	readyTimeout = time.Second
	// minDrain is the minimum time that a stopping balancer keeps serving: routers need
	// two failed checks, half a second apart, to stop sending packets to it.
	minDrain = 1200 * time.Millisecond
	// drainIdle is the time without packets from callers after which a stopping balancer ends.
	drainIdle = 500 * time.Millisecond
)

// BalancerConfig holds the settings of a balancer.
type BalancerConfig struct {
	Config
	// Callers is the address at which the packets of callers arrive.
	Callers netip.AddrPort
	// MaxDrain is the maximum time that a stopping balancer keeps serving.
	MaxDrain time.Duration
	// Link is the capacity of the instance's link in kbit/s; 0 when it is not known.
	Link int
	// Standby lets the balancer leave the rotation of the routers while its link is nearly
	// full and larger ones are available; see package rotation.
	Standby bool
}

// Balancer receives the packets of callers and forwards them to sidecars.
type Balancer struct {
	*process
	maxDrain   time.Duration
	steering   *steer.Balancer
	searches   searchQueue
	delayed    delayedQueue
	recoveries steer.RecoveryWatch // used by refresh
	ingress    ingress
	ready      atomic.Bool
	firstView  atomic.Int64  // uptime in nanoseconds when routes and upstreams were first received; 0 before that
	lastPacket atomic.Int64  // uptime in nanoseconds of the last packet of a caller
	searched   atomic.Uint64 // packets of unknown flows that were forwarded
}

// OpenBalancer binds the addresses and returns a Balancer that Run starts. It returns a
// *udp.ListenError or *exchange.ListenError if an address cannot be bound.
func OpenBalancer(cfg BalancerConfig) (*Balancer, error) {
	p, err := newProcess(cfg.Config)
	if err != nil {
		return nil, err
	}
	b := &Balancer{process: p, maxDrain: cfg.MaxDrain, ingress: ingress{link: cfg.Link, enabled: cfg.Standby}}
	b.searches.byFlow, b.delayed.byFlow = make(map[steer.Key]searchPacket), make(map[steer.Key]delayedPacket)
	b.steering = steer.NewBalancer(steer.BalancerConfig{Self: p.self, DataCentre: cfg.DataCentre, MaxFlow: cfg.MaxFlow, Placing: cfg.Placing, Admission: cfg.Admission})
	b.fleet = b.steering.Fleet
	nc := cfg.exchangeConfig(membership.Balancer, b.pauseDetector)
	nc.Handler = (*balancerHandler)(b)
	nc.Refresh = b.refresh
	nc.Placed = b.steering.Placed
	nc.Load = func(time.Duration) membership.Load { return membership.Load{} }
	nc.Ingress = b.ingress.report
	if err := b.open(cfg.Callers, nc); err != nil {
		return nil, err
	}
	return b, nil
}

// Run serves until ctx is done and the balancer has drained.
func (b *Balancer) Run(ctx context.Context) {
	b.run(ctx, b.newHandler, b.drain, b.tick, b.watchLink)
}

// Ready reports whether routers should send packets here. It returns false until routes
// and upstreams have arrived and either all listed sidecars of the data centre have
// reported their flows or readyTimeout has passed. It also returns false while the process
// is stopping, while it has lost contact with all sidecars, since other balancers may
// still be able to serve callers, and while it stands by.
func (b *Balancer) Ready() bool {
	return b.ready.Load() && !b.stopping.Load() && !b.node.Isolated() && !b.ingress.standby()
}

// drain keeps serving for at least minDrain and until no caller has sent a packet for
// drainIdle, but for no longer than maxDrain.
func (b *Balancer) drain(ctx context.Context) {
	begin := b.cfg.Timer.Uptime()
	b.cfg.Log.Emit(event.ProcessStopping)
	for {
		_ = b.cfg.Timer.Sleep(ctx, drainIdle/5) // ctx is not canceled before drain returns
		now := b.cfg.Timer.Uptime()
		quiet := now - time.Duration(b.lastPacket.Load())
		if now-begin >= b.maxDrain || now-begin >= minDrain && quiet >= drainIdle {
			break
		}
	}
	b.node.Stop(ctx)
}

// refresh replaces the fleet and repeats the decisions that were waiting for it: it
// retries held packets and searches, and may make the balancer ready.
func (b *Balancer) refresh(f *steer.Fleet) {
	b.steering.SetFleet(f)
	if f.Snapshot.Version() == 0 || f.Snapshot.State().IsZero() {
		return
	}
	now := b.cfg.Timer.Uptime()
	b.firstView.CompareAndSwap(0, int64(now))
	b.retryHeld(now)
	b.resetAll(b.steering.ExhaustedSearches(now))
	b.resendPackets(now, f)
	b.logAdmission(now)
	if b.ready.Load() {
		return
	}
	if b.allSidecarsSeen(f) || now-time.Duration(b.firstView.Load()) >= readyTimeout {
		b.ready.Store(true)
		b.cfg.Log.Emit(event.ProcessReady, zap.Uint64("version", f.Snapshot.Version()), zap.Uint32("era", uint32(f.Snapshot.State().Era)), zap.Uint64("revision", f.Snapshot.State().Revision))
	}
}

// resendPackets resends stored packets: all that wait for sidecars that have become reachable,
// and the searched ones that are due, for lack of a report, to the next data centre or, when
// each has a copy, again.
func (b *Balancer) resendPackets(now time.Duration, f *steer.Fleet) {
	b.delayed.expire(now)
	if b.searches.empty() && b.delayed.empty() {
		b.recoveries.Reset()
		return
	}
	if recovered := b.recoveries.Recovered(now, f); len(recovered) > 0 {
		for _, d := range b.delayed.takeFor(recovered) {
			b.decideAgain(now, d.data)
		}
		b.extendSearches(now, recovered)
	}
	for _, s := range b.searches.due(now) {
		if b.continueSearch(now, &s) {
			b.searches.postpone(now, s.packet.CallerKey())
			continue
		}
		list, unfinished := b.steering.RetrySearch(now, &s.packet, s.attempts)
		b.resend(&s, list, unfinished)
	}
}

// extendSearches sends the searched packets to sidecars that have become reachable, where the
// search has been: elsewhere a copy would reach the upstreams behind them out of turn.
func (b *Balancer) extendSearches(now time.Duration, recovered []registry.Host) {
	for _, s := range b.searches.all() {
		passed := slices.DeleteFunc(slices.Clone(recovered), func(h registry.Host) bool { return s.comesTo(b.dataCentreOf(h)) })
		list, unfinished := b.steering.ExtendSearch(now, &s.packet, passed)
		if len(list) > 0 {
			b.searches.restart(now, s.packet.CallerKey())
		}
		b.resend(&s, list, unfinished)
	}
}

// decideAgain decides again on the packet d of a caller, and carries the decision out.
func (b *Balancer) decideAgain(now time.Duration, d []byte) {
	var p steer.Packet
	if err := b.cfg.Codec.Decode(d, &p); err != nil {
		return // unreachable: the packet was decoded before it was stored
	}
	b.execute(now, b.steering.Packet(now, &p, new(steer.Forward)), d, &p, nil)
}

// resend sends copies of a searched packet, or ends its retries when the search is over.
func (b *Balancer) resend(s *searchPacket, list []steer.Forward, unfinished bool) {
	var out []byte
	for i := range list {
		b.searches.recordCopy(s.packet.CallerKey(), list[i].DataCentre)
		out = b.forward(&list[i], s.data, out)
	}
	if !unfinished {
		b.searches.remove(s.packet.CallerKey())
	}
}

// beginSearch stores a packet of an unknown flow, which continueSearch sends to one data
// centre after the other. It returns false if the packet is a retransmission of the stored
// one, or waits until the flow is found. A packet that cannot be stored, and one for which no
// reports arrive, is sent on to the other data centres by sidecars.
func (b *Balancer) beginSearch(now time.Duration, a *steer.Forward, p *steer.Packet, d []byte) bool {
	switch b.searches.add(now, p, d, a.DataCentre) {
	case addRepeated, addHeld:
		return false
	case addStored:
		a.Header.Remote = !p.Flags.Has(steer.RST)
	case addFull:
	}
	b.searched.Add(1)
	return true
}

// continueSearch sends a stored packet to the next data centre of its search. It returns
// false when there is none.
func (b *Balancer) continueSearch(now time.Duration, s *searchPacket) bool {
	f, found := b.steering.ContinueSearch(now, &s.packet, s.searched)
	if found {
		b.resend(s, []steer.Forward{f}, true)
	}
	return found
}

// allSidecarsSeen reports whether a heartbeat has arrived from each listed sidecar of
// the data centre, which means that the sidecar has reported its flows to this balancer.
func (b *Balancer) allSidecarsSeen(f *steer.Fleet) bool {
	for _, h := range f.Snapshot.Hosts(b.cfg.DataCentre) {
		if _, seen := f.Sidecars[h]; !seen {
			return false
		}
	}
	return true
}

// tick removes expired flows and reports omitted log lines until ctx is done.
func (b *Balancer) tick(ctx context.Context) {
	sub := b.cfg.Timer.Every(expireInterval)
	defer sub.Stop()
	var omitted omittedReporter
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			now := b.cfg.Timer.Uptime()
			b.steering.Expire(now)
			b.resetOrphans(now)
			omitted.report(b.cfg.Log)
		}
	}
}

// resetOrphans resets flows whose upstreams are lost, so that callers do not send
// further requests on them, which would be lost as well.
func (b *Balancer) resetOrphans(now time.Duration) {
	b.resetAll(b.steering.EvictOrphans(now))
}

// resetAll resets flows. It removes their packets from the searches, which would be resent,
// returned again and reset the next flow of the port.
func (b *Balancer) resetAll(list []steer.Reset) {
	var out []byte
	for i := range list {
		b.searches.remove(list[i].Packet.CallerKey())
		out = b.refuse(&list[i].Packet, list[i].Reason, out, b.evidence(list[i].Evidence)...)
	}
}

// evidence returns the fields of a log line that show why a flow is reset. e may be nil.
func (b *Balancer) evidence(e *steer.Evidence) []zap.Field {
	if e == nil {
		return nil
	}
	var fields []zap.Field
	if !e.Upstream.IsZero() {
		fields = append(fields, zap.Stringer("upstream", e.Upstream), zap.Bool("ended", e.Status.Ended))
	}
	if e.Status.AbsentSince != 0 {
		fields = append(fields, zap.Duration("absent", b.cfg.Timer.Uptime()-e.Status.AbsentSince))
	}
	if len(e.Returned) > 0 {
		fields = append(fields, zap.Stringers("returned", e.Returned), zap.Stringers("gone", e.Gone))
	}
	return fields
}

// newHandler returns a handler for packets of callers that has its own buffers.
func (b *Balancer) newHandler() udp.Handler {
	var p steer.Packet
	var fw steer.Forward
	out := make([]byte, 0, maxPacket+exchange.ForwardOverhead)
	return func(d []byte, _ netip.AddrPort) {
		out = b.handlePacket(d, &p, &fw, out[:0])
	}
}

// handlePacket handles one packet of a caller. It returns the buffer out for reuse.
func (b *Balancer) handlePacket(d []byte, p *steer.Packet, fw *steer.Forward, out []byte) []byte {
	now := b.cfg.Timer.Uptime()
	b.lastPacket.Store(int64(now))
	if err := b.cfg.Codec.Decode(d, p); err != nil {
		b.counts.invalid.Add(1)
		return out
	}
	return b.execute(now, b.steering.Packet(now, p, fw), d, p, out)
}

// execute carries out a decision on the packet d, which p is decoded from. It returns
// the buffer out for reuse.
func (b *Balancer) execute(now time.Duration, decision steer.Action, d []byte, p *steer.Packet, out []byte) []byte {
	switch a := decision.(type) {
	case *steer.Forward:
		if a.Header.UnknownFlow && !b.beginSearch(now, a, p, d) {
			b.drop(p, steer.ReasonUnknownFlow) // the search continues with the first copy
			break
		}
		if !a.Header.UnknownFlow && !p.Opens() && b.steering.Unreachable(now, a.Host) {
			b.delayed.add(now, p, d, a.Host)
		}
		out = b.forward(a, d, out)
		b.logFlowOpened(p, a)
	case steer.Refuse:
		out = b.refuse(p, a.Reason, out, b.evidence(a.Evidence)...)
	case *steer.Hold:
		b.hold(a, p, d)
	case steer.Drop:
		b.drop(p, a.Reason)
	}
	return out
}

// retryHeld repeats the decision for each held packet. After maxHold a packet is dropped,
// or refused if it opens a flow and there is still no decision.
func (b *Balancer) retryHeld(now time.Duration) {
	var p steer.Packet
	var fw steer.Forward
	var out []byte
	for _, h := range b.held.takeAll() {
		if err := b.cfg.Codec.Decode(h.data, &p); err != nil {
			continue // unreachable: the packet was decoded before it was held
		}
		decision := b.steering.Packet(now, &p, &fw)
		hold, undecided := decision.(*steer.Hold)
		switch {
		case undecided && !h.expired(now):
			b.held.requeue(h)
		case undecided && p.Opens():
			out = b.refuse(&p, hold.Reason, out)
		case undecided || h.expired(now):
			b.drop(&p, steer.ReasonStarting)
		default:
			out = b.execute(now, decision, h.data, &p, out)
		}
	}
}

// logFlowOpened logs the upstream chosen for a new flow and its load as last reported.
func (b *Balancer) logFlowOpened(p *steer.Packet, a *steer.Forward) {
	if !p.Opens() || !b.cfg.Log.Enabled(event.FlowOpened) {
		return
	}
	i := b.steering.Fleet().Sidecars[a.Host]
	b.logFlow(event.FlowOpened, p,
		zap.Stringer("upstream", a.Host),
		zap.Int("flows", i.Load.Flows),
		zap.Int("active", i.Load.Active),
		zap.Duration("loadage", b.cfg.Timer.Uptime()-i.LastSeen))
}

// balancerHandler implements exchange.Handler for a balancer.
type balancerHandler Balancer

// Forwarded does nothing: no process forwards packets to a balancer.
func (h *balancerHandler) Forwarded(*steer.Header, []byte) {}

// FlowHeld records the upstream that holds a flow, and ends the search for it. It sends the
// searched packet there, unless a copy of the search itself has arrived.
func (h *balancerHandler) FlowHeld(k steer.Key, host registry.Host) {
	b, now := (*Balancer)(h), h.cfg.Timer.Uptime()
	b.steering.Learn(now, k, host)
	s, searched := b.searches.take(k)
	if !searched || b.steering.Lost(now, host) {
		return // the report ends the absence with the next fleet, and the caller repeats its packet
	}
	if !s.reached(b.dataCentreOf(host)) {
		b.decideAgain(now, s.data)
	}
	if s.next != nil {
		b.decideAgain(now, s.next)
	}
}

// dataCentreOf returns the data centre of the sidecar on a host, or "" when it is not known.
func (b *Balancer) dataCentreOf(h registry.Host) string {
	f := b.steering.Fleet()
	if f == nil {
		return ""
	}
	return f.Sidecars[h].DataCentre
}

// FlowMissing records which upstreams do not hold a flow, and resets it if none does, or
// searches the next data centre.
func (h *balancerHandler) FlowMissing(m *steer.MissReport) {
	b, now := (*Balancer)(h), h.cfg.Timer.Uptime()
	if r, reset := b.steering.FlowMissing(now, m); reset {
		b.resetAll([]steer.Reset{r})
		return
	}
	s, known := b.searches.get(m.Key)
	if !known || len(m.Hosts) == 0 {
		return
	}
	if s.awaits(b.dataCentreOf(m.Hosts[len(m.Hosts)-1])) {
		b.continueSearch(now, &s)
	}
}

// BalancerStarted does nothing: balancers have no state that another balancer needs.
func (h *balancerHandler) BalancerStarted(registry.Host) {}

// LoadUpdated discards the local estimate of the flows opened at a sidecar since its last load report.
func (h *balancerHandler) LoadUpdated(host registry.Host) {
	h.steering.LoadUpdated(host)
}
