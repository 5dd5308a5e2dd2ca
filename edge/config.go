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

// Codec reads and writes the packets of callers and upstreams. It is safe for concurrent use.
type Codec interface {
	// Decode fills p from a whole datagram.
	Decode(b []byte, p *steer.Packet) error
	// SetTag writes the tag into a datagram that Decode read, and takes the mark of a returned one off.
	SetTag(b []byte, tag uint32)
	// AppendReset appends a datagram that resets the flow of the caller's packet p.
	AppendReset(b []byte, p *steer.Packet) []byte
}

// Config holds what balancers and sidecars share. All fields but Bind, Seeds and Placing are required.
type Config struct {
	DataCentre string
	// Exchange is where other processes reach this one, over UDP and TCP.
	Exchange netip.AddrPort
	// Bind is what is bound when others reach Exchange through something that
	// translates addresses. The zero value binds Exchange.
	Bind netip.AddrPort
	// Incarnation differs each time the process starts.
	Incarnation uint64
	// Seeds are hosts of balancers to begin with.
	Seeds []registry.Host
	// MaxFlow is how long a flow may live.
	MaxFlow time.Duration
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// Placing is how upstreams of new flows are chosen. Empty selects steer.PlaceByLoad.
	Placing steer.Placing
	Codec   Codec
	Source  exchange.Source
	Timer   *timer.Service
	Log     *event.Logger
}

// node returns the configuration of the process among the others.
func (cfg Config) node(role membership.Role, hb *timer.PauseDetector) exchange.Config {
	return exchange.Config{
		Role:        role,
		DataCentre:  cfg.DataCentre,
		Listen:      cfg.Exchange,
		Bind:        cfg.Bind,
		Incarnation: cfg.Incarnation,
		Seeds:       cfg.Seeds,
		Source:      cfg.Source,
		Timer:       cfg.Timer,
		PauseDetector:   hb,
		Log:         cfg.Log,
	}
}
