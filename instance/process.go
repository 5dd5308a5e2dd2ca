// Package instance puts together what one process of the system consists of:
// the role (balancer or sidecar), the bundle that it follows, and the operator
// address.
//
// Start with Balancer and Sidecar.
package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	mathrand "math/rand/v2"
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Config holds what every process is given. Name, Platform, Key, Anchor and Log are required.
type Config struct {
	// Name is the instance name; for a sidecar it is the name of its upstream.
	Name string
	// DataCentre is where the process runs.
	DataCentre string
	// Platform is the base of the platform's URLs.
	Platform string
	// Operator is where the operator address listens.
	Operator netip.AddrPort
	// Key is the cluster key, see package forward.
	Key []byte
	// Anchor is the sign-off policy that the first bundle is judged by.
	Anchor bundle.SignOff
	Log    *event.Logger
	// Timer is the timer service. Nil selects one on the process clock.
	Timer *timer.Service
}

// worker is the role of a process: *balancer.Balancer or *sidecar.Sidecar.
type worker interface {
	Accept(*bundle.Bundle)
	Version() uint64
	Run(context.Context)
}

// process runs one worker with all that surrounds it.
type process struct {
	cfg       Config
	role      string
	heartbeat *timer.Heartbeat
	worker    worker
	follower  *follower
	server    *operator.Server
	status    func() operator.Status // what only the role knows
}

// newProcess returns a process without a worker.
func newProcess(cfg Config, role string) *process {
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	return &process{cfg: cfg, role: role, heartbeat: timer.NewHeartbeat(cfg.Timer)}
}

// open binds the operator address and prepares to follow bundles.
func (p *process) open(w worker, vars *expvar.Map, status func() operator.Status) error {
	p.worker = w
	p.status = status
	p.follower = newFollower(followerConfig{
		client: platform.NewClient(platform.Config{Address: p.cfg.Platform, Reader: p.cfg.Name}),
		anchor: p.cfg.Anchor,
		timer:  p.cfg.Timer,
		log:    p.cfg.Log,
		random: newRandom(),
		accept: w.Accept,
	})
	server, err := operator.Open(operator.Config{
		Listen: p.cfg.Operator,
		Status: p.fullStatus,
		Vars:   vars,
		Log:    p.cfg.Log,
	})
	if err != nil {
		return err
	}
	p.server = server
	return nil
}

// run works until ctx is done and the worker has stopped.
func (p *process) run(ctx context.Context) {
	p.cfg.Log.Emit(event.ProcessStarted, zap.String("role", p.role))
	support, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { p.heartbeat.Run(support) })
	wg.Go(func() { p.follower.run(support) })
	wg.Go(func() { p.server.Run(support) })
	p.worker.Run(ctx)
	stop()
	wg.Wait()
}

func (p *process) fullStatus() operator.Status {
	s := p.status()
	s.Process = p.cfg.Name
	s.Role = p.role
	s.Version = p.worker.Version()
	s.Hash = p.follower.hash().String()
	s.Uptime = p.cfg.Timer.Uptime().Seconds()
	s.Ready = s.Version > 0
	return s
}

// newSender returns a number that no other process uses.
func newSender() uint64 {
	var b [8]byte
	// Read never fails; it ends the process instead.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(newSender(), newSender()))
}
