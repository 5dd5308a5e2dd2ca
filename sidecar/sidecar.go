// Package sidecar is the process beside an upstream: it owns the flows of its
// upstream, accepts, passes on, refuses and delivers packets, and sends the
// answers back through the fabric.
//
// The pipe is receive, authenticate, find flow, decide, deliver. Start with
// New and Sidecar.Run.
package sidecar

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/report"
	"github.com/corianderbay/corianderbay/route"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/corianderbay/corianderbay/upstream"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	defaultDrain = time.Minute
	drainCheck   = 100 * time.Millisecond
)

// Config holds the settings of a Sidecar. All fields without a default are required.
type Config struct {
	// Name is the name of the upstream in the bundle.
	Name string
	// Forward is where forwarded packets arrive.
	Forward netip.AddrPort
	// Gateway is where answers go to the fabric.
	Gateway netip.AddrPort
	// Key is the cluster key, see package forward.
	Key []byte
	// Sender is a random number that no other process uses.
	Sender uint64
	// Workers is how many goroutines receive. Zero selects the default of package udp.
	Workers int
	// Drain is how long a stopping sidecar waits for its flows to end. Zero selects 1 min.
	Drain time.Duration
	// Upstream is the edge to the upstream; Answer, Timer and Heartbeat are filled in.
	Upstream upstream.Config

	Timer     *timer.Service
	PauseDetector *timer.PauseDetector
	Log       *event.Logger
}

// Sidecar serves one upstream. It is safe for concurrent use.
type Sidecar struct {
	cfg       Config
	self      bundle.UpstreamID
	sealer    *forward.Sealer
	opener    *forward.Opener
	forward   *udp.Socket
	edge      upstream.Edge
	view      atomic.Pointer[route.SidecarView]        // nil until the first bundle is in force
	listed    atomic.Pointer[[]configservice.Instance] // nil until the first list
	flows     *flow.Sidecar
	woke      atomic.Int64 // Unix time in nanoseconds of a wake-up whose backlog is being discarded, or 0
	admission *admission
	silence   silence
	pending   *pending
	recorder  *report.Recorder
	answers   answerDecoders
	counters  counters
}

// New binds the sockets of a sidecar. It reports *udp.ListenError,
// *forward.KeyError or *upstream.ModeError.
func New(cfg Config) (*Sidecar, error) {
	if cfg.Drain == 0 {
		cfg.Drain = defaultDrain
	}
	sealer, err := forward.NewSealer(forward.SealerConfig{Key: cfg.Key, Sender: cfg.Sender})
	if err != nil {
		return nil, err
	}
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: cfg.Key})
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		cfg:      cfg,
		self:     bundle.UpstreamIDOf(cfg.Name),
		sealer:   sealer,
		opener:   opener,
		pending:  newPending(),
		recorder: report.NewRecorder(cfg.Name, cfg.Timer.Now()),
	}
	s.admission = newAdmission(cfg.Name, cfg.Timer.Now(), cfg.Sender, s.opened)
	s.flows = flow.NewSidecar(flow.SidecarConfig{
		Upstream:    s.self,
		Incarnation: cfg.Sender,
		Admitter:    s.admission,
	}, cfg.Timer.Now())
	cfg.PauseDetector.OnResume(s.wake)
	s.answers.pool.New = func() any { return fabric.NewDecoder(fabric.DecoderConfig{}) }
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) open() error {
	socket, err := udp.Open(udp.Config{
		Listen:    s.cfg.Forward,
		Workers:   s.cfg.Workers,
		PauseDetector: s.cfg.PauseDetector,
	})
	if err != nil {
		return err
	}
	up := s.cfg.Upstream
	up.Answer = s.answer
	up.Timer = s.cfg.Timer
	up.PauseDetector = s.cfg.PauseDetector
	edge, err := upstream.Open(up)
	if err != nil {
		socket.Close()
		return err
	}
	s.forward = socket
	s.edge = edge
	return nil
}

// ForwardAddress returns the address that receives forwarded packets.
func (s *Sidecar) ForwardAddress() netip.AddrPort {
	return s.forward.Address()
}

// Accept puts a bundle in force. It is not called concurrently with List.
func (s *Sidecar) Accept(next *bundle.Bundle) {
	view := route.NewSidecarView(route.NewView(next), s.self)
	s.view.Store(view)
	s.observe(view)
	s.flows.BundleAccepted(s.cfg.Timer.Now(), view)
	s.compareList()
}

// opened counts a flow that was accepted after visits sidecars had been asked.
func (s *Sidecar) opened(visits int) {
	s.record().Opened(visits, 0)
}

// wake tells the decisions that the process was paused.
func (s *Sidecar) wake(gap time.Duration) {
	now := s.cfg.Timer.Now()
	s.woke.Store(now.UnixNano())
	s.flows.Woke(now, gap)
	s.cfg.Log.Emit(event.SidecarWoke, zap.Duration("gap", gap))
}

// Version returns the sequence of the bundle in force, or 0 before the first.
func (s *Sidecar) Version() uint64 {
	v := s.view.Load()
	if v == nil {
		return 0
	}
	return v.Version()
}

// Ready reports whether the sidecar takes new flows as far as the others of its service are concerned.
func (s *Sidecar) Ready() bool {
	return s.flows.Introduced(s.cfg.Timer.Now())
}

// Owner reports whether the upstream owns the flow, and the name of the
// upstream that owns it or that it was handed to, "" when none is known.
func (s *Sidecar) Owner(k flow.Key) (owned bool, name string) {
	if s.flows.Owns(k) {
		return true, s.cfg.Name
	}
	view := s.view.Load()
	id, ok := s.flows.Passed(k)
	if view == nil || !ok {
		return false, ""
	}
	return false, view.UpstreamName(id)
}

// Run serves until ctx is done, and then until its flows have ended or the drain time is over.
func (s *Sidecar) Run(ctx context.Context) {
	sockets, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { s.forward.Run(sockets, s.newHandler) })
	wg.Go(func() { upstream.Run(sockets, s.edge) })
	wg.Go(func() { s.control(sockets) })
	<-ctx.Done()
	s.flows.Drain(s.cfg.Timer.Now())
	s.awaitFlows(sockets)
	cut := s.flows.Open()
	stop()
	wg.Wait()
	c := s.Counts()
	s.cfg.Log.Emit(event.SidecarStopped,
		zap.Int("cut", cut),
		zap.Uint64("delivered", c.Delivered),
		zap.Any("dropped", c.Dropped))
}

// awaitFlows returns when no flow is left or the drain time is over.
func (s *Sidecar) awaitFlows(ctx context.Context) {
	begin := s.cfg.Timer.Now()
	for s.flows.Open() > 0 && s.cfg.Timer.Since(begin) < s.cfg.Drain {
		if err := s.cfg.Timer.Sleep(ctx, drainCheck); err != nil {
			return
		}
	}
}
