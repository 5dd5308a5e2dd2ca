package standin

import (
	"context"
	"net"
	"net/netip"

	"github.com/sourcegraph/conc"
)

// RelayConfig holds the settings of a Relay. The zero value selects the defaults.
type RelayConfig struct {
	// Listen receives. The zero value selects a free port on 127.0.0.1.
	Listen netip.AddrPort
	// To is where each datagram is sent on.
	To netip.AddrPort
	// ReturnTo is where datagrams that come from To are sent. The zero value sends them to To as well.
	ReturnTo netip.AddrPort
}

// Relay sends each datagram that it receives on unchanged: the baseline that a
// balancer is measured against.
type Relay struct {
	cfg  RelayConfig
	conn *net.UDPConn
}

// NewRelay returns a relay whose socket is open. It reports joined *ValueErrors
// or *ListenError. Run closes the socket.
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

// Addr returns where the relay receives.
func (r *Relay) Addr() netip.AddrPort {
	return localAddr(r.conn)
}

// Run sends datagrams on until ctx is done, and then returns nil.
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
