package standin

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// PacketGeneratorConfig holds the settings of a PacketGenerator. Zero values select the defaults, except for Datagrams.
type PacketGeneratorConfig struct {
	// Timers is the clock. Nil selects the process clock.
	Timers *timer.Service
	// Datagrams are sent in turn. At least one is required.
	Datagrams [][]byte
	// Window is the maximum number of datagrams in flight, from 1 to 4,096. Zero selects 64.
	Window int
}

const (
	defaultWindow = 64
	maxWindow     = 4096
	stallTimeout  = time.Second
)

// PacketGenerator sends datagrams to a relay or a balancer and counts the
// forwarded ones, to measure throughput in packets per second.
type PacketGenerator struct {
	cfg  PacketGeneratorConfig
	out  *net.UDPConn
	sink *net.UDPConn
}

// NewPacketGenerator opens the sockets of a generator. It returns joined *ValueErrors or *ListenError.
func NewPacketGenerator(cfg PacketGeneratorConfig) (*PacketGenerator, error) {
	if cfg.Timers == nil {
		cfg.Timers = timer.New(timer.Config{})
	}
	setDefault(&cfg.Window, defaultWindow)
	var v valueErrors
	v.checkRange("window", float64(cfg.Window), 1, maxWindow)
	v.checkRange("datagrams", float64(len(cfg.Datagrams)), 1, maxFlows)
	if err := v.join(); err != nil {
		return nil, err
	}
	out, err := listenUDP(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	sink, err := listenUDP(netip.AddrPort{})
	if err != nil {
		_ = out.Close()
		return nil, err
	}
	return &PacketGenerator{cfg: cfg, out: out, sink: sink}, nil
}

// SinkAddr returns the address to which the measured process must forward.
func (g *PacketGenerator) SinkAddr() netip.AddrPort {
	return localAddr(g.sink)
}

// Measure sends n datagrams to an address with at most Window in flight, and
// returns the number received and the time until the last one. Lost datagrams
// are not retransmitted: they occupy the window, and Measure returns after a
// timeout without received datagrams, or when ctx is done. It is not safe for
// concurrent use.
func (g *PacketGenerator) Measure(ctx context.Context, to netip.AddrPort, n int) (received int, took time.Duration) {
	window := make(chan struct{}, g.cfg.Window)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := g.cfg.Timers.Now()
	var wg conc.WaitGroup
	wg.Go(func() { g.send(ctx, to, n, window) })
	received, last := g.receive(ctx, n, window)
	cancel()
	wg.Wait()
	return received, last.Sub(begin)
}

func (g *PacketGenerator) send(ctx context.Context, to netip.AddrPort, n int, window chan struct{}) {
	for i := range n {
		select {
		case <-ctx.Done():
			return
		case window <- struct{}{}:
		}
		_, _ = g.out.WriteToUDPAddrPort(g.cfg.Datagrams[i%len(g.cfg.Datagrams)], to)
	}
}

// receive counts datagrams until n are received or the read times out, and
// returns the time of the last one.
func (g *PacketGenerator) receive(ctx context.Context, n int, window chan struct{}) (int, time.Time) {
	b := make([]byte, readBufferSize)
	last := g.cfg.Timers.Now()
	for received := 0; ; received++ {
		if received == n || ctx.Err() != nil {
			return received, last
		}
		if received%g.cfg.Window == 0 {
			_ = g.sink.SetReadDeadline(last.Add(stallTimeout))
		}
		if _, _, err := g.sink.ReadFromUDPAddrPort(b); err != nil {
			return received, last
		}
		last = g.cfg.Timers.Now()
		select {
		case <-window:
		default:
		}
	}
}

// Close closes the sockets.
func (g *PacketGenerator) Close() {
	_ = g.out.Close()
	_ = g.sink.Close()
}
