package edge

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// process is the common part of Balancer and Sidecar.
type process struct {
	cfg           Config
	self          registry.Host
	pauseDetector *timer.PauseDetector
	node          *exchange.Node
	// socket receives the packets of callers at a balancer and those of the upstream
	// at a sidecar. Packets to callers are sent from it.
	socket   PacketSocket
	counts   counts
	held     holdQueue // packets whose destination cannot be decided yet
	stopping atomic.Bool
	// fleet returns the fleet on which decisions are based, or nil before the first one.
	fleet func() *steer.Fleet
}

// newProcess returns a process. Its addresses are not bound until open is called.
func newProcess(cfg Config) (*process, error) {
	self, err := registry.HostOf(cfg.Exchange.Addr())
	if err != nil {
		return nil, err
	}
	if cfg.Network == nil {
		cfg.Network = hostNetwork{}
	}
	return &process{cfg: cfg, self: self, pauseDetector: timer.NewPauseDetector(cfg.Timer)}, nil
}

// open binds the addresses. It returns a *udp.ListenError or *exchange.ListenError if
// one cannot be bound.
func (p *process) open(packets netip.AddrPort, nc exchange.Config) error {
	var err error
	p.socket, err = p.cfg.Network.OpenPackets(packets, p.pauseDetector)
	if err != nil {
		return err
	}
	p.node, err = exchange.Open(nc)
	if err != nil {
		p.socket.Close()
	}
	return err
}

// run serves until ctx is done and drain has returned. The context that it passes to
// drain and to the tasks is canceled only after that.
func (p *process) run(ctx context.Context, newHandler func() udp.Handler, drain func(context.Context), tasks ...func(context.Context)) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { p.pauseDetector.Run(inner) })
	wg.Go(func() { p.node.Run(inner) })
	wg.Go(func() { p.socket.Run(inner, newHandler) })
	for _, task := range tasks {
		wg.Go(func() { task(inner) })
	}
	<-ctx.Done()
	p.stopping.Store(true)
	drain(inner)
	cancel()
	wg.Wait()
}

// SetSeeds replaces the balancers that the process contacts first.
func (p *process) SetSeeds(seeds []registry.Host) {
	p.node.SetSeeds(seeds)
}

// forward sends the packet d with the decision's header to the sidecar on a.Host. It
// returns the buffer out for reuse.
func (p *process) forward(a *steer.Forward, d, out []byte) []byte {
	p.counts.forwarded.Add(1)
	out = exchange.AppendForward(out[:0], &a.Header)
	out = append(out, d...)
	p.node.Send(out, a.Host)
	return out
}

// refuse resets the flow of a caller's packet, and logs it with the given fields. It
// returns the buffer out for reuse.
func (p *process) refuse(pk *steer.Packet, reason steer.Reason, out []byte, fields ...zap.Field) []byte {
	p.counts.refused.add(reason)
	out = p.cfg.Codec.AppendReset(out[:0], pk)
	p.socket.Send(out, pk.Source.Host.Port(p.cfg.CallerPort))
	p.logFlow(event.FlowRefused, pk, append(fields, zap.Stringer("reason", reason))...)
	return out
}

// hold adds a packet to the hold queue, or drops it if the queue is full.
func (p *process) hold(a *steer.Hold, pk *steer.Packet, d []byte) {
	if !p.held.add(p.cfg.Timer.Uptime(), a.Header, d) {
		p.drop(pk, a.Reason)
	}
}

func (p *process) drop(pk *steer.Packet, reason steer.Reason) {
	p.counts.dropped.add(reason)
	p.logFlow(event.PacketDropped, pk, zap.Stringer("reason", reason))
}

// logFlow logs an event about the flow of a caller's packet, with the versions of the
// fleet on which the decision was based.
func (p *process) logFlow(n event.Number, pk *steer.Packet, fields ...zap.Field) {
	if !p.cfg.Log.Enabled(n) {
		return
	}
	all := []zap.Field{
		zap.Stringer("caller", pk.Source),
		zap.Stringer("address", pk.Destination),
		zap.Uint32("sequence", pk.Sequence),
		zap.Uint8("flags", uint8(pk.Flags)),
	}
	if f := p.fleet(); f != nil {
		all = append(all,
			zap.Uint64("version", f.Snapshot.Version()),
			zap.Uint32("era", uint32(f.Snapshot.State().Era)),
			zap.Uint64("revision", f.Snapshot.State().Revision),
			zap.Duration("storeage", p.cfg.Timer.Uptime()-f.LastStoreContact))
	}
	p.cfg.Log.Emit(n, append(all, fields...)...)
}
