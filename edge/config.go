package edge

import (
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
)

// Codec decodes and encodes the packets of callers and upstreams. It is safe for concurrent use.
type Codec interface {
	// Decode decodes a whole datagram into p.
	Decode(b []byte, p *steer.Packet) error
	// SetTag writes tag, see steer.Packet.Tag, into a datagram that Decode accepted, and
	// clears its steer.Returned flag.
	SetTag(b []byte, tag uint32)
	// AppendReset appends a datagram to b that resets the flow of the caller's packet p.
	AppendReset(b []byte, p *steer.Packet) []byte
}

// Config holds the settings that balancers and sidecars share. All fields except Regions,
// Bind, Seeds, Placing, Admission and Network are required.
type Config struct {
	DataCentre string
	// Regions holds the region of each data centre by its name. It may be empty.
	Regions map[string]string
	// Exchange is the address at which other processes reach this one, over UDP and TCP.
	Exchange netip.AddrPort
	// Bind is the local address to bind if other processes reach Exchange through
	// address translation. The zero value binds Exchange.
	Bind netip.AddrPort
	// Incarnation is a number that differs each time the process starts.
	Incarnation uint64
	// Seeds are the hosts of the balancers that the process contacts first.
	Seeds []registry.Host
	// MaxFlow is the time after which a flow without packets is removed.
	MaxFlow time.Duration
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// Placing selects how upstreams are chosen for new flows. Empty selects steer.PlaceByLoad.
	Placing steer.Placing
	// Admission refuses openings of less important routes while a service is overloaded.
	Admission bool
	Codec     Codec
	Source    exchange.Source
	Timer     *timer.Service
	Log       *event.Logger
	// Network provides the sockets. Nil selects the network of the host.
	Network Network
}

// exchangeConfig returns the configuration of the process's exchange.Node.
func (cfg Config) exchangeConfig(role membership.Role, detector *timer.PauseDetector) exchange.Config {
	return exchange.Config{
		Role:          role,
		DataCentre:    cfg.DataCentre,
		Regions:       cfg.Regions,
		Listen:        cfg.Exchange,
		Bind:          cfg.Bind,
		Incarnation:   cfg.Incarnation,
		Seeds:         cfg.Seeds,
		Source:        cfg.Source,
		Timer:         cfg.Timer,
		PauseDetector: detector,
		Log:           cfg.Log,
		Network:       cfg.Network,
	}
}
