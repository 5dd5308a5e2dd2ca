package demo

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/instance"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/sidecar"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/upstream"
	"github.com/sourcegraph/conc"
)

const (
	balancerCount          = 3
	firstService           = "fitting"
	secondService          = "report"
	approverName           = "demo"
	headerTimeout          = 5 * time.Second
	readyInterval          = 10 * time.Millisecond
	balancerDrain          = 200 * time.Millisecond
	sidecarDrain           = time.Second
	certificateLifetime    = 24 * time.Hour
	firstServiceUpstreams  = 7
	secondServiceUpstreams = 3
)

// loopback returns the loopback address with port 0, which selects a free port.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// pair is an upstream with its sidecar.
type pair struct {
	service  string
	upstream *standin.Upstream
	sidecar  *instance.Sidecar
	stop     context.CancelFunc // stops the sidecar
}

// deployment runs all components of an example deployment in this process.
type deployment struct {
	cfg              Config
	timer            *timer.Service
	approverKey      ed25519.PrivateKey
	clusterKey       []byte
	credentials      *peer.Credentials
	platform         *standin.Platform
	platformListener net.Listener
	fabric           *standin.Fabric
	balancers        []*instance.Balancer
	pairs            []*pair
	sequence         uint64
	wg               conc.WaitGroup
}

// newDeployment binds all addresses and publishes the first bundle. start runs the components.
func newDeployment(cfg Config) (*deployment, error) {
	// The keys are derived from the seed. This is insecure, but they are only used within the demo.
	seed := bytes.Repeat([]byte{byte(cfg.Seed)}, ed25519.SeedSize)
	d := &deployment{
		cfg:         cfg,
		timer:       timer.New(timer.Config{PauseThreshold: pauseThreshold}),
		approverKey: ed25519.NewKeyFromSeed(seed),
		clusterKey:  bytes.Repeat([]byte{byte(cfg.Seed)}, forward.KeySize),
	}
	steps := []func() error{d.issueCredentials, d.openPlatform, d.openFabric, d.openBalancers, d.openPairs}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.platform.SetInstances(d.instances())
	return d, d.publish(d.bundle())
}

// instances returns the instance list with all balancers and sidecars.
func (d *deployment) instances() []configservice.Instance {
	var list []configservice.Instance
	for i, b := range d.balancers {
		list = append(list, configservice.Instance{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Role:       configservice.RoleBalancer,
			DataCentre: dataCentres()[i%len(dataCentres())],
			Control:    b.ControlAddress(),
			Forward:    b.ForwardAddress(),
			Operator:   b.OperatorAddress(),
			State:      configservice.StateLive,
		})
	}
	for i, p := range d.pairs {
		list = append(list, configservice.Instance{
			Name:       p.upstream.Name(),
			Role:       configservice.RoleSidecar,
			DataCentre: dataCentres()[i%len(dataCentres())],
			Control:    p.sidecar.ControlAddress(),
			Forward:    p.sidecar.ForwardAddress(),
			Operator:   p.sidecar.OperatorAddress(),
			State:      configservice.StateLive,
		})
	}
	return list
}

// issueCredentials issues a certificate that is valid for every process of the demo.
func (d *deployment) issueCredentials() error {
	now := d.timer.Now()
	authority, err := peer.NewAuthority(now, certificateLifetime)
	if err != nil {
		return &StartError{Component: "authority", Cause: err}
	}
	keyPair, err := authority.Issue(peer.FleetName, now, certificateLifetime)
	if err != nil {
		return &StartError{Component: "certificate", Cause: err}
	}
	d.credentials, err = peer.NewCredentials(authority.PEM(), keyPair, d.timer)
	if err != nil {
		return &StartError{Component: "certificate", Cause: err}
	}
	return nil
}

func (d *deployment) openPlatform() error {
	d.platform = standin.NewPlatform(standin.PlatformConfig{Timer: d.timer})
	l, err := net.Listen("tcp", loopback().String())
	if err != nil {
		return &StartError{Component: "platform", Cause: err}
	}
	d.platformListener = l
	return nil
}

func (d *deployment) openFabric() error {
	f, err := standin.NewFabric(standin.FabricConfig{Timers: d.timer, Seed: d.cfg.Seed})
	if err != nil {
		return &StartError{Component: "fabric", Cause: err}
	}
	d.fabric = f
	return nil
}

func (d *deployment) openBalancers() error {
	var addresses []netip.AddrPort
	for i := range balancerCount {
		b, err := instance.NewBalancer(instance.BalancerConfig{
			Config: d.instanceConfig(fmt.Sprintf("entry-%d", i+1), i),
			Role: balancer.Config{
				Fabric:  loopback(),
				Forward: loopback(),
				Gateway: d.fabric.AnswersAddr(),
				Drain:   balancerDrain,
			},
		})
		if err != nil {
			return &StartError{Component: "balancer", Cause: err}
		}
		d.balancers = append(d.balancers, b)
		addresses = append(addresses, b.FabricAddress())
	}
	d.fabric.SetBalancers(addresses)
	return nil
}

func (d *deployment) openPairs() error {
	for i := range firstServiceUpstreams {
		if err := d.openPair(firstService, i); err != nil {
			return err
		}
	}
	for i := range secondServiceUpstreams {
		if err := d.openPair(secondService, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) openPair(service string, i int) error {
	name := fmt.Sprintf("%s-%d", service, i+1)
	up, err := standin.NewUpstream(standin.UpstreamConfig{
		Timers:  d.timer,
		Name:    name,
		Service: service,
		Slots:   d.cfg.Slots,
		Seed:    d.cfg.Seed + uint64(i),
	})
	if err != nil {
		return &StartError{Component: name, Cause: err}
	}
	sc, err := instance.NewSidecar(instance.SidecarConfig{
		Config: d.instanceConfig(name, len(d.pairs)),
		Role: sidecar.Config{
			Forward:  loopback(),
			Gateway:  d.fabric.AnswersAddr(),
			Drain:    sidecarDrain,
			Upstream: upstream.Config{Address: up.TunnelAddr()},
		},
	})
	if err != nil {
		return &StartError{Component: name, Cause: err}
	}
	d.pairs = append(d.pairs, &pair{service: service, upstream: up, sidecar: sc})
	return nil
}

func (d *deployment) instanceConfig(name string, i int) instance.Config {
	return instance.Config{
		Name:        name,
		DataCentre:  dataCentres()[i%len(dataCentres())],
		Platform:    "http://" + d.platformListener.Addr().String(),
		Operator:    loopback(),
		Control:     loopback(),
		Credentials: d.credentials,
		Key:         d.clusterKey,
		Anchor:      d.signOff(),
		Log:         d.logger(),
		Timer:       d.timer,
	}
}

func (d *deployment) logger() *event.Logger {
	if d.cfg.Log == nil {
		return event.New(event.Config{})
	}
	return d.cfg.Log
}

func (d *deployment) signOff() bundle.SignOff {
	return bundle.SignOff{
		Need:      1,
		Approvers: []bundle.Approver{{Name: approverName, Key: bundle.PublicKey(d.approverKey)}},
	}
}

// publish signs a bundle and publishes it on the platform.
func (d *deployment) publish(b *bundle.Bundle) error {
	frozen, err := bundle.Freeze(b)
	if err != nil {
		return err
	}
	signed, err := bundle.Sign(frozen, approverName, d.approverKey)
	if err != nil {
		return err
	}
	pub, err := configservice.NewPublication(peer.BundleValueName, signed)
	if err != nil {
		return err
	}
	d.sequence = b.Sequence
	d.platform.Publish(pub)
	return nil
}

// start runs all components until ctx is done. wait waits for them.
func (d *deployment) start(ctx context.Context) {
	server := &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: headerTimeout}
	// Balancers and sidecars stop before the upstreams, the fabric and the platform.
	supportCtx, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	var processes conc.WaitGroup
	for _, b := range d.balancers {
		processes.Go(func() { b.Run(ctx) })
	}
	for _, p := range d.pairs {
		sidecarCtx, cancel := context.WithCancel(ctx)
		p.stop = cancel
		processes.Go(func() { p.sidecar.Run(sidecarCtx) })
		d.wg.Go(func() { _ = p.upstream.Run(supportCtx) })
	}
	d.wg.Go(func() { _ = d.fabric.Run(supportCtx) })
	d.wg.Go(func() { _ = server.Serve(d.platformListener) })
	d.wg.Go(func() {
		processes.Wait()
		stopSupport()
		server.Close()
	})
}

// wait returns when all components have stopped.
func (d *deployment) wait() {
	d.wg.Wait()
}

// awaitReady waits until the published bundle is active in every balancer and
// sidecar. It returns *StartError if ctx is done before.
func (d *deployment) awaitReady(ctx context.Context) error {
	for !d.ready() {
		if err := d.timer.Sleep(ctx, readyInterval); err != nil {
			return &StartError{Component: "bundle", Cause: err}
		}
	}
	return nil
}

func (d *deployment) ready() bool {
	for _, b := range d.balancers {
		if b.Version() < d.sequence {
			return false
		}
	}
	for _, p := range d.pairs {
		if p.sidecar.Version() < d.sequence {
			return false
		}
	}
	return true
}
