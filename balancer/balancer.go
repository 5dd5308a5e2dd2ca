// Package balancer implements the process on an entry instance: it receives the
// packets of callers from the fabric, determines their service, flow and candidates,
// and forwards them to a sidecar. Its state is soft: any other balancer can continue
// its flows.
//
// The stages of the pipeline are receive, decode, classify, admit, rank and forward.
// Start with New and Balancer.Run.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/route"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	defaultDrain = 3 * time.Second
	defaultMTU   = 9000 // bytes
)

// Config holds the settings of a Balancer. All fields without a default are required.
type Config struct {
	// Name is the instance name.
	Name string
	// Fabric is the address to receive the Geneve datagrams of the fabric on.
	Fabric netip.AddrPort
	// Forward is the address to send forwarded packets from and to receive hints on.
	Forward netip.AddrPort
	// Gateway is the address of the fabric that refusals are sent to.
	Gateway netip.AddrPort
	// Key is the cluster key, see package forward.
	Key []byte
	// Sender is a random number that is unique to this process.
	Sender uint64
	// Workers is the number of goroutines that receive from the fabric. Zero
	// selects the default of package udp.
	Workers int
	// MTU is the maximum size of a forwarded datagram in bytes. Zero selects 9,000.
	MTU int
	// Drain is how long a stopping balancer continues to forward. Zero selects 3 s.
	Drain time.Duration

	Timer         *timer.Service
	PauseDetector *timer.PauseDetector
	Log           *event.Logger
}

// Balancer forwards callers' packets. It is safe for concurrent use.
type Balancer struct {
	cfg       Config
	sealer    *forward.Sealer
	opener    *forward.Opener
	fabric    *udp.Socket
	forward   *udp.Socket
	view      atomic.Pointer[route.View] // nil before the first bundle
	hints     *flow.Hints
	silent    silent
	limiter   *limit.FlowLimiter
	random    lockedRandom
	instances atomic.Pointer[[]configservice.Instance] // nil before the first list
	missing   atomic.Pointer[missing]                  // never nil
	counters  counters
}

// New binds the sockets of a balancer. It returns *udp.ListenError or *forward.KeyError.
func New(cfg Config) (*Balancer, error) {
	if cfg.Drain == 0 {
		cfg.Drain = defaultDrain
	}
	if cfg.MTU == 0 {
		cfg.MTU = defaultMTU
	}
	sealer, err := forward.NewSealer(forward.SealerConfig{Key: cfg.Key, Sender: cfg.Sender})
	if err != nil {
		return nil, err
	}
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: cfg.Key})
	if err != nil {
		return nil, err
	}
	limiter, err := limit.NewFlowLimiter(limit.FlowLimiterConfig{})
	if err != nil {
		return nil, err
	}
	in, err := udp.Open(udp.Config{Listen: cfg.Fabric, Workers: cfg.Workers, PauseDetector: cfg.PauseDetector})
	if err != nil {
		return nil, err
	}
	out, err := udp.Open(udp.Config{Listen: cfg.Forward, Workers: 1, PauseDetector: cfg.PauseDetector})
	if err != nil {
		in.Close()
		return nil, err
	}
	b := &Balancer{
		cfg:     cfg,
		sealer:  sealer,
		opener:  opener,
		fabric:  in,
		forward: out,
		hints:   flow.NewHints(flow.HintsConfig{}),
		limiter: limiter,
		random:  lockedRandom{random: rand.New(rand.NewPCG(cfg.Sender, cfg.Sender))},
	}
	b.missing.Store(&missing{})
	return b, nil
}

// FabricAddress returns the address that the fabric sends to.
func (b *Balancer) FabricAddress() netip.AddrPort {
	return b.fabric.Address()
}

// ForwardAddress returns the address that hints are sent to.
func (b *Balancer) ForwardAddress() netip.AddrPort {
	return b.forward.Address()
}

// Accept makes next the active bundle. It must not be called concurrently with List.
func (b *Balancer) Accept(next *bundle.Bundle) {
	b.view.Store(route.NewView(next))
	b.updateMissing()
}

// Version returns the sequence of the active bundle, or 0 before the first one.
func (b *Balancer) Version() uint64 {
	v := b.view.Load()
	if v == nil {
		return 0
	}
	return v.Version()
}

// Owner returns the name of the upstream that owns a flow according to the hints
// received, or "".
func (b *Balancer) Owner(k flow.Key) string {
	view := b.view.Load()
	id, ok := b.hints.Owner(b.cfg.Timer.Now(), k.Hash())
	if view == nil || !ok {
		return ""
	}
	up, _, _ := view.Upstream(id)
	return up.Name
}

// Run forwards packets until ctx is done, and for the drain time after that.
func (b *Balancer) Run(ctx context.Context) {
	sockets, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { b.fabric.Run(sockets, b.newFabricHandler) })
	wg.Go(func() { b.forward.Run(sockets, b.newForwardHandler) })
	<-ctx.Done()
	// The fabric keeps sending packets here until it detects that this balancer is leaving.
	_ = b.cfg.Timer.Sleep(sockets, b.cfg.Drain)
	stop()
	wg.Wait()
	c := b.Counts()
	b.cfg.Log.Emit(event.BalancerStopped,
		zap.Uint64("forwarded", c.Forwarded),
		zap.Any("dropped", c.Dropped))
}
