// Package instance assembles a process of the system from its role (balancer or
// sidecar), the node that keeps its bundle and instance list up to date, and the
// operator address.
//
// Start with Balancer and Sidecar.
package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Config holds the settings that all processes share. All fields but Seeds and
// Timer are required.
type Config struct {
	// Name is the instance name; for a sidecar it is the name of its upstream.
	Name string
	// DataCentre is the data centre in which the process runs.
	DataCentre string
	// Platform is the base URL of the platform.
	Platform string
	// Operator is the address to bind for operators.
	Operator netip.AddrPort
	// Control is the address to bind for peers, which exchange bundles and instance
	// lists over TCP.
	Control netip.AddrPort
	// Credentials authenticate the process to its peers.
	Credentials *peer.Credentials
	// Seeds are peers that are contacted even if no instance list contains them. It
	// may be empty.
	Seeds []configservice.Instance
	// Key is the cluster key, see package forward.
	Key []byte
	// Anchor is the sign-off policy against which the first bundle is verified.
	Anchor bundle.SignOff
	Log    *event.Logger
	// Timer is the timer service. Nil selects a new one with default settings.
	Timer *timer.Service
}

// worker is the role of a process: *balancer.Balancer or *sidecar.Sidecar. Accept
// and List apply a new bundle and a new instance list, and Version returns the
// sequence of the bundle in force.
type worker interface {
	Accept(*bundle.Bundle)
	List([]configservice.Instance)
	Version() uint64
	Run(context.Context)
}

// process runs a worker together with its control node and its operator server.
type process struct {
	cfg           Config
	role          string
	pauseDetector *timer.PauseDetector
	worker        worker
	node          *peer.Node
	server        *operator.Server
	status        func() operator.Status // the part that the role provides
	draining      atomic.Bool
}

// newProcess returns a process without a worker; open sets it.
func newProcess(cfg Config, role string) *process {
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	return &process{cfg: cfg, role: role, pauseDetector: timer.NewPauseDetector(cfg.Timer)}
}

// open binds the control and operator addresses and connects w to the updates of
// bundles and instance lists.
func (p *process) open(w worker, vars *expvar.Map, status func() operator.Status, lookup func(flow.Key) operator.FlowAnswer) error {
	p.worker = w
	p.status = status
	node, err := peer.NewNode(peer.Config{
		Name:        p.cfg.Name,
		DataCentre:  p.cfg.DataCentre,
		Listen:      p.cfg.Control,
		Credentials: p.cfg.Credentials,
		Platform:    configservice.NewClient(configservice.Config{Address: p.cfg.Platform, Reader: p.cfg.Name}),
		Anchor:      p.cfg.Anchor,
		Seeds:       p.cfg.Seeds,
		OnBundle:    func(b *bundle.Bundle, _ bundle.Hash) { w.Accept(b) },
		OnList:      w.List,
		Timer:       p.cfg.Timer,
		Log:         p.cfg.Log,
		Rand:        newRandom(),
	})
	if err != nil {
		return err
	}
	p.node = node
	vars.Set("control", expvar.Func(func() any { return newControl(node.Status()) }))
	server, err := operator.Open(operator.Config{
		Listen: p.cfg.Operator,
		Status: p.fullStatus,
		Vars:   vars,
		Handlers: map[string]http.Handler{
			"GET " + operator.FlowPath: operator.FlowHandler(p.withProcess(lookup)),
		},
		Log: p.cfg.Log,
	})
	if err != nil {
		return err
	}
	p.server = server
	return nil
}

// withProcess returns a lookup that adds the name, role and bundle version of the
// process to the answers of the given one.
func (p *process) withProcess(lookup func(flow.Key) operator.FlowAnswer) func(flow.Key) operator.FlowAnswer {
	return func(k flow.Key) operator.FlowAnswer {
		a := lookup(k)
		a.Process = p.cfg.Name
		a.Role = p.role
		a.Version = p.worker.Version()
		return a
	}
}

// Control is the published state of a process's exchange with its peers and the
// platform.
type Control struct {
	// State is the state of the process relative to the fleet, see package converge.
	State string `json:"state"`
	// Isolated is true if neither a peer nor the platform responds.
	Isolated bool `json:"isolated"`
	// Reading is true if the process reads the platform on behalf of others.
	Reading bool `json:"reading"`
	// Sent and Received count bytes on connections with peers.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Platform counts the calls to the platform.
	Platform configservice.Counts `json:"platform"`
}

func newControl(s peer.Status) Control {
	return Control{
		State:    s.State.String(),
		Isolated: s.Isolated,
		Reading:  s.Reading,
		Sent:     s.Sent,
		Received: s.Received,
		Platform: s.Platform,
	}
}

// Run runs the process until ctx is done and the worker has stopped. The control
// node and the operator server keep running while the worker drains.
func (p *process) Run(ctx context.Context) {
	p.cfg.Log.Emit(event.ProcessStarted, zap.String("role", p.role))
	unregister := context.AfterFunc(ctx, func() { p.draining.Store(true) })
	defer unregister()
	supportCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { p.pauseDetector.Run(supportCtx) })
	wg.Go(func() { _ = p.node.Run(supportCtx) })
	wg.Go(func() { p.server.Run(supportCtx) })
	p.worker.Run(ctx)
	stop()
	wg.Wait()
}

// ControlAddress returns the address that accepts connections of peers.
func (p *process) ControlAddress() netip.AddrPort {
	return p.node.Address()
}

// OperatorAddress returns the address that serves requests of operators.
func (p *process) OperatorAddress() netip.AddrPort {
	return p.server.Address()
}

// Version returns the sequence of the bundle in force, or 0 before the first one.
func (p *process) Version() uint64 {
	return p.worker.Version()
}

func (p *process) fullStatus() operator.Status {
	s := p.status()
	s.Process = p.cfg.Name
	s.Role = p.role
	s.Version = p.worker.Version()
	s.Hash = p.node.Status().Hash.String()
	s.Uptime = p.cfg.Timer.Uptime().Seconds()
	s.Draining = p.draining.Load()
	s.Addresses["control"] = p.node.Address()
	s.Addresses["operator"] = p.server.Address()
	return s
}

// newSenderID returns a random number, so that no other process has the same sender ID.
func newSenderID() uint64 {
	var b [8]byte
	// Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(newSenderID(), newSenderID()))
}
