package instance

import (
	"expvar"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/sidecar"
)

// SidecarConfig holds the settings of a sidecar process.
type SidecarConfig struct {
	Config
	// Role holds the settings of the role. NewSidecar sets the fields that Config
	// provides.
	Role sidecar.Config
}

// Sidecar is a sidecar process.
type Sidecar struct {
	*process
	sidecar *sidecar.Sidecar
}

// NewSidecar returns a Sidecar with all its addresses bound. It returns the errors
// of sidecar.New and peer.NewNode, and an *operator.ListenError.
func NewSidecar(cfg SidecarConfig) (*Sidecar, error) {
	p := newProcess(cfg.Config, "sidecar")
	role := cfg.Role
	role.Name = cfg.Name
	role.Key = cfg.Key
	role.Sender = newSenderID()
	role.Timer = p.cfg.Timer
	role.PauseDetector = p.pauseDetector
	role.Log = cfg.Log
	w, err := sidecar.New(role)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{process: p, sidecar: w}
	if err := p.open(w, s.vars(), s.status, s.lookup); err != nil {
		return nil, err
	}
	return s, nil
}

// ForwardAddress returns the address that receives forwarded packets.
func (s *Sidecar) ForwardAddress() netip.AddrPort {
	return s.sidecar.ForwardAddress()
}

// Counts returns the current totals of the sidecar.
func (s *Sidecar) Counts() sidecar.Counts {
	return s.sidecar.Counts()
}

func (s *Sidecar) status() operator.Status {
	c := s.sidecar.Counts()
	return operator.Status{
		Flows: c.Open,
		Ready: s.sidecar.Ready(),
		Addresses: map[string]netip.AddrPort{
			"forward": s.sidecar.ForwardAddress(),
		},
		Detail: c,
	}
}

// lookup returns whether the upstream owns the flow, and otherwise the owner to
// which it was handed over.
func (s *Sidecar) lookup(k flow.Key) operator.FlowAnswer {
	owned, owner := s.sidecar.Owner(k)
	return operator.FlowAnswer{Owned: owned, Owner: owner}
}

func (s *Sidecar) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("sidecar", expvar.Func(func() any { return s.sidecar.Counts() }))
	m.Set("corianderbay", expvar.Func(func() any { return s.sidecar.Report() }))
	return m
}
