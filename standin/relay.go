package standin

import (
	"context"
	"net"
	"net/netip"

	"github.com/sourcegraph/conc"
)

// RelayConfig holds the settings of a Relay. The zero value selects the defaults.
type RelayConfig struct {
	// Listen is the listen address. The zero value selects a free port on 127.0.0.1.
	Listen netip.AddrPort
	// To is the destination of forwarded datagrams.
	To netip.AddrPort
	// ReturnTo is the destination of datagrams from To. The zero value sends them to To as well.
	ReturnTo netip.AddrPort
}

// Relay forwards each datagram unchanged. Its throughput is the baseline for that
// of a balancer.
type Relay struct {
	cfg  RelayConfig
	conn *net.UDPConn
}

// NewRelay opens the socket of a relay. It returns joined *ValueErrors or
// *ListenError. Run closes the socket.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	var v valueErrors
	v.checkLoopback("listen", cfg.Listen)
	v.checkLoopback("to", cfg.To)
	v.checkLoopback("back", cfg.ReturnTo)
	if err := v.join(); err != nil {
		return nil, err
	}
	conn, err := listenUDP(cfg.Listen)
	if err != nil {
		return nil, err
	}
	return &Relay{cfg: cfg, conn: conn}, nil
}

// Addr returns the listen address of the relay.
func (r *Relay) Addr() netip.AddrPort {
	return localAddr(r.conn)
}

// Run forwards datagrams until ctx is done, and then closes the socket and returns nil.
func (r *Relay) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		receiveUDP(r.conn, func(datagram []byte, from netip.AddrPort) {
			to := r.cfg.To
			if from == to && r.cfg.ReturnTo.IsValid() {
				to = r.cfg.ReturnTo
			}
			_, _ = r.conn.WriteToUDPAddrPort(datagram, to)
		})
	})
	<-ctx.Done()
	_ = r.conn.Close()
	return nil
}
