package instance

import (
	"expvar"
	"net/netip"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/operator"
)

// BalancerConfig holds the settings of a balancer process.
type BalancerConfig struct {
	Config
	// Role holds the settings of the role. NewBalancer sets the fields that Config
	// provides.
	Role balancer.Config
}

// Balancer is a balancer process.
type Balancer struct {
	*process
	balancer *balancer.Balancer
}

// NewBalancer returns a Balancer with all its addresses bound. It returns the
// errors of balancer.New and peer.NewNode, and an *operator.ListenError.
func NewBalancer(cfg BalancerConfig) (*Balancer, error) {
	p := newProcess(cfg.Config, "balancer")
	role := cfg.Role
	role.Name = cfg.Name
	role.Key = cfg.Key
	role.Sender = newSenderID()
	role.Timer = p.cfg.Timer
	role.PauseDetector = p.pauseDetector
	role.Log = cfg.Log
	w, err := balancer.New(role)
	if err != nil {
		return nil, err
	}
	b := &Balancer{process: p, balancer: w}
	if err := p.open(w, b.vars(), b.status, b.lookup); err != nil {
		return nil, err
	}
	return b, nil
}

// FabricAddress returns the address to which the fabric sends packets.
func (b *Balancer) FabricAddress() netip.AddrPort {
	return b.balancer.FabricAddress()
}

// ForwardAddress returns the address that receives hints.
func (b *Balancer) ForwardAddress() netip.AddrPort {
	return b.balancer.ForwardAddress()
}

// Counts returns the current totals of the balancer.
func (b *Balancer) Counts() balancer.Counts {
	return b.balancer.Counts()
}

func (b *Balancer) status() operator.Status {
	return operator.Status{
		Ready: b.balancer.Version() > 0,
		Addresses: map[string]netip.AddrPort{
			"fabric":  b.balancer.FabricAddress(),
			"forward": b.balancer.ForwardAddress(),
		},
		Detail: b.balancer.Counts(),
	}
}

// lookup returns the owner of a flow according to the hints.
func (b *Balancer) lookup(k flow.Key) operator.FlowAnswer {
	return operator.FlowAnswer{Owner: b.balancer.Owner(k)}
}

func (b *Balancer) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("balancer", expvar.Func(func() any { return b.balancer.Counts() }))
	return m
}
