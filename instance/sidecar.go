package instance

import (
	"expvar"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/sidecar"
)

// SidecarConfig holds the settings of a sidecar's process.
type SidecarConfig struct {
	Config
	// Role holds the settings of the role; what Config has is filled in.
	Role sidecar.Config
}

// Sidecar is a sidecar's process.
type Sidecar struct {
	*process
	sidecar *sidecar.Sidecar
}

// NewSidecar binds all addresses. It reports the errors of sidecar.New and *operator.ListenError.
func NewSidecar(cfg SidecarConfig) (*Sidecar, error) {
	p := newProcess(cfg.Config, "sidecar")
	role := cfg.Role
	role.Name = cfg.Name
	role.Key = cfg.Key
	role.Sender = newSenderID()
	role.Timer = p.cfg.Timer
	role.PauseDetector = p.heartbeat
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

// ForwardAddress returns the address that forwarded packets arrive at.
func (s *Sidecar) ForwardAddress() netip.AddrPort {
	return s.sidecar.ForwardAddress()
}

// Counts returns the totals of the sidecar.
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

// lookup returns whether the upstream owns the flow, and else where it was handed to.
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
