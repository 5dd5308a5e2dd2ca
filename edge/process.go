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

// packetBuffer bounds what waits in a socket for packets, in bytes.
const packetBuffer = 2 << 20

// process is what balancers and sidecars have in common.
type process struct {
	cfg       Config
	self      registry.Host
	heartbeat *timer.PauseDetector
	node      *exchange.Node
	// socket is where the packets of callers arrive at a balancer, and those of
	// the upstream at a sidecar. Packets to callers leave through it.
	socket   *udp.Socket
	counts   counts
	held     holder // packets that cannot be decided on yet
	stopping atomic.Bool
	// fleet returns what decisions rest on, or nil.
	fleet func() *steer.Fleet
}

// newProcess returns a process that is not bound to any address yet.
func newProcess(cfg Config) (*process, error) {
	self, err := registry.HostOf(cfg.Exchange.Addr())
	if err != nil {
		return nil, err
	}
	return &process{cfg: cfg, self: self, heartbeat: timer.NewPauseDetector(cfg.Timer)}, nil
}

// open binds the addresses. It reports *udp.ListenError or *exchange.ListenError.
func (p *process) open(packets netip.AddrPort, nc exchange.Config) error {
	var err error
	p.socket, err = udp.Open(udp.Config{Listen: packets, Workers: 1, BufferSize: packetBuffer, PauseDetector: p.heartbeat})
	if err != nil {
		return err
	}
	p.node, err = exchange.Open(nc)
	if err != nil {
		p.socket.Close()
	}
	return err
}

// run serves until ctx is done and drain has returned. Each part gets a context that ends after that.
func (p *process) run(ctx context.Context, newHandler func() udp.Handler, drain func(context.Context), parts ...func(context.Context)) {
	inner, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg conc.WaitGroup
	wg.Go(func() { p.heartbeat.Run(inner) })
	wg.Go(func() { p.node.Run(inner) })
	wg.Go(func() { p.socket.Run(inner, newHandler) })
	for _, part := range parts {
		wg.Go(func() { part(inner) })
	}
	<-ctx.Done()
	p.stopping.Store(true)
	drain(inner)
	end()
	wg.Wait()
}

// SetSeeds replaces the seeds.
func (p *process) SetSeeds(seeds []registry.Host) {
	p.node.SetSeeds(seeds)
}

// forward sends a packet to the sidecar that a decision names, and returns the buffer for the next one.
func (p *process) forward(a *steer.Forward, d, out []byte) []byte {
	p.counts.forwarded.Add(1)
	out = exchange.AppendForward(out[:0], &a.Header)
	out = append(out, d...)
	p.node.Send(out, a.Host)
	return out
}

// refuse resets the flow of a caller's packet, and returns the buffer for the next one.
func (p *process) refuse(pk *steer.Packet, reason steer.Reason, out []byte) []byte {
	p.counts.refused.add(reason)
	out = p.cfg.Codec.AppendReset(out[:0], pk)
	p.socket.Send(out, pk.Source.Host.Port(p.cfg.CallerPort))
	p.logFlow(event.FlowRefused, pk, zap.Stringer("reason", reason))
	return out
}

// hold keeps a packet, or drops it when there is no room.
func (p *process) hold(a *steer.Hold, pk *steer.Packet, d []byte) {
	if !p.held.add(p.cfg.Timer.Uptime(), a.Header, d) {
		p.drop(pk, a.Reason)
	}
}

func (p *process) drop(pk *steer.Packet, reason steer.Reason) {
	p.counts.dropped.add(reason)
	p.logFlow(event.PacketDropped, pk, zap.Stringer("reason", reason))
}

// logFlow writes an event about the flow of a caller's packet, and what was
// known when it was decided on.
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
