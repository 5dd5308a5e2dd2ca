package standin

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// PacketGeneratorConfig holds the settings of a Pump. The zero value selects the defaults, but for Datagrams.
type PacketGeneratorConfig struct {
	// Timers is the clock. Nil selects a new service.
	Timers *timer.Service
	// Datagrams are sent in turn. There is at least one.
	Datagrams [][]byte
	// Window is how many datagrams are under way at most, from 1 to 4,096. Zero selects 64.
	Window int
}

const (
	defaultPumpWindow = 64
	maxPumpWindow     = 4096
	pumpStall         = time.Second
)

// PacketGenerator sends datagrams into a relay or a balancer and counts what comes out, to
// measure packets a second.
type PacketGenerator struct {
	cfg  PacketGeneratorConfig
	out  *net.UDPConn
	sink *net.UDPConn
}

// NewPacketGenerator returns a pump whose sockets are open. It reports joined *ValueErrors or *ListenError.
func NewPacketGenerator(cfg PacketGeneratorConfig) (*PacketGenerator, error) {
	if cfg.Timers == nil {
		cfg.Timers = timer.New(timer.Config{})
	}
	orInt(&cfg.Window, defaultPumpWindow)
	var v valueErrors
	v.between("window", float64(cfg.Window), 1, maxPumpWindow)
	v.between("datagrams", float64(len(cfg.Datagrams)), 1, maxFlows)
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

// SinkAddr returns where the measured process must send.
func (p *PacketGenerator) SinkAddr() netip.AddrPort {
	return localAddr(p.sink)
}

// Measure sends n datagrams to an address, at most Window under way, and returns
// how many came out and how long it took. Lost ones make it wait, and are not sent
// again. It returns early when ctx is done. It is not safe for concurrent use.
func (p *PacketGenerator) Measure(ctx context.Context, to netip.AddrPort, n int) (received int, took time.Duration) {
	window := make(chan struct{}, p.cfg.Window)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := p.cfg.Timers.Now()
	var wg conc.WaitGroup
	wg.Go(func() { p.send(ctx, to, n, window) })
	received, last := p.receive(ctx, n, window)
	cancel()
	wg.Wait()
	return received, last.Sub(begin)
}

func (p *PacketGenerator) send(ctx context.Context, to netip.AddrPort, n int, window chan struct{}) {
	for i := range n {
		select {
		case <-ctx.Done():
			return
		case window <- struct{}{}:
		}
		_, _ = p.out.WriteToUDPAddrPort(p.cfg.Datagrams[i%len(p.cfg.Datagrams)], to)
	}
}

// receive counts datagrams until n have come or none comes any more, and
// returns the time of the last.
func (p *PacketGenerator) receive(ctx context.Context, n int, window chan struct{}) (int, time.Time) {
	b := make([]byte, maxDatagram)
	last := p.cfg.Timers.Now()
	for received := 0; ; received++ {
		if received == n || ctx.Err() != nil {
			return received, last
		}
		if received%p.cfg.Window == 0 {
			_ = p.sink.SetReadDeadline(last.Add(pumpStall))
		}
		if _, _, err := p.sink.ReadFromUDPAddrPort(b); err != nil {
			return received, last
		}
		last = p.cfg.Timers.Now()
		select {
		case <-window:
		default:
		}
	}
}

// Close closes the sockets.
func (p *PacketGenerator) Close() {
	_ = p.out.Close()
	_ = p.sink.Close()
}
