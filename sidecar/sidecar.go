// Package sidecar implements the process beside an upstream: it owns the flows of
// its upstream, accepts, passes on, refuses and delivers packets, and sends the
// answers back through the fabric.
//
// The stages of the pipeline are receive, authenticate, find flow, decide and
// deliver. Start with New and Sidecar.Run.
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
	defaultDrain      = time.Minute
	drainPollInterval = 100 * time.Millisecond
)

// Config holds the settings of a Sidecar. All fields without a default are required.
type Config struct {
	// Name is the name of the upstream in the bundle.
	Name string
	// Forward is the address to receive forwarded packets on.
	Forward netip.AddrPort
	// Gateway is the address of the fabric that answers are sent to.
	Gateway netip.AddrPort
	// Key is the cluster key, see package forward.
	Key []byte
	// Sender is a random number that is unique to this process.
	Sender uint64
	// Workers is the number of goroutines that receive. Zero selects the default of package udp.
	Workers int
	// Drain is how long a stopping sidecar waits for its flows to end. Zero selects 1 min.
	Drain time.Duration
	// Upstream configures the transport to the upstream. New sets its Answer, Timer and PauseDetector.
	Upstream upstream.Config

	Timer         *timer.Service
	PauseDetector *timer.PauseDetector
	Log           *event.Logger
}

// Sidecar serves one upstream. It is safe for concurrent use.
type Sidecar struct {
	cfg        Config
	self       bundle.UpstreamID
	sealer     *forward.Sealer
	opener     *forward.Opener
	forward    *udp.Socket
	transport  upstream.Transport
	view       atomic.Pointer[route.SidecarView]        // nil before the first bundle
	instances  atomic.Pointer[[]configservice.Instance] // nil before the first list
	flows      *flow.Sidecar
	resumeTime atomic.Int64 // Unix time in nanoseconds of the end of a pause whose backlog is being discarded; 0 if there is none
	admission  *admission
	silence    silenceReports
	pending    *pending
	recorder   *report.Recorder
	answers    answerDecoders
	counters   counters
}

// New binds the sockets of a sidecar. It returns *udp.ListenError,
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
	s.admission = newAdmission(cfg.Name, cfg.Timer.Now(), cfg.Sender, s.recordAccepted)
	s.flows = flow.NewSidecar(flow.SidecarConfig{
		Upstream:    s.self,
		Incarnation: cfg.Sender,
		Admitter:    s.admission,
	}, cfg.Timer.Now())
	cfg.PauseDetector.OnResume(s.onResume)
	s.answers.pool.New = func() any { return fabric.NewDecoder(fabric.DecoderConfig{}) }
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) open() error {
	socket, err := udp.Open(udp.Config{
		Listen:        s.cfg.Forward,
		Workers:       s.cfg.Workers,
		PauseDetector: s.cfg.PauseDetector,
	})
	if err != nil {
		return err
	}
	up := s.cfg.Upstream
	up.Answer = s.answer
	up.Timer = s.cfg.Timer
	up.PauseDetector = s.cfg.PauseDetector
	transport, err := upstream.Open(up)
	if err != nil {
		socket.Close()
		return err
	}
	s.forward = socket
	s.transport = transport
	return nil
}

// ForwardAddress returns the address that forwarded packets are sent to.
func (s *Sidecar) ForwardAddress() netip.AddrPort {
	return s.forward.Address()
}

// Accept makes next the active bundle. It must not be called concurrently with List.
func (s *Sidecar) Accept(next *bundle.Bundle) {
	view := route.NewSidecarView(route.NewView(next), s.self)
	s.view.Store(view)
	s.applyBundle(view)
	s.flows.BundleAccepted(s.cfg.Timer.Now(), view)
	s.applyInstances()
}

// recordAccepted counts an accepted flow. visits is the number of sidecars that its
// opening has visited, including this one.
func (s *Sidecar) recordAccepted(visits int) {
	s.serviceRecorder().Opened(visits, 0)
}

// onResume reports a pause of the process to s.flows, which drops packets until the
// backlog of each socket is discarded.
func (s *Sidecar) onResume(gap time.Duration) {
	now := s.cfg.Timer.Now()
	s.resumeTime.Store(now.UnixNano())
	s.flows.Resumed(now, gap)
	s.cfg.Log.Emit(event.SidecarWoke, zap.Duration("gap", gap))
}

// Version returns the sequence of the active bundle, or 0 before the first one.
func (s *Sidecar) Version() uint64 {
	v := s.view.Load()
	if v == nil {
		return 0
	}
	return v.Version()
}

// Ready reports whether all other sidecars of the service have a bundle that contains
// this one, or are silent, so that it may accept new flows.
func (s *Sidecar) Ready() bool {
	return s.flows.JoinAcknowledged(s.cfg.Timer.Now())
}

// Owner reports whether the upstream owns the flow. It also returns the name of the
// upstream that owns the flow or that it was last passed to, or "" when none is known.
func (s *Sidecar) Owner(k flow.Key) (owned bool, name string) {
	if s.flows.Owns(k) {
		return true, s.cfg.Name
	}
	view := s.view.Load()
	id, ok := s.flows.PassedTo(k)
	if view == nil || !ok {
		return false, ""
	}
	return false, view.UpstreamName(id)
}

// Run serves until ctx is done, and then until all its flows have ended or the drain
// time has passed.
func (s *Sidecar) Run(ctx context.Context) {
	sockets, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { s.forward.Run(sockets, s.newHandler) })
	wg.Go(func() { upstream.Run(sockets, s.transport) })
	wg.Go(func() { s.control(sockets) })
	<-ctx.Done()
	s.flows.Drain(s.cfg.Timer.Now())
	s.awaitFlows(sockets)
	remaining := s.flows.OpenFlows()
	stop()
	wg.Wait()
	c := s.Counts()
	s.cfg.Log.Emit(event.SidecarStopped,
		zap.Int("cut", remaining),
		zap.Uint64("delivered", c.Delivered),
		zap.Any("dropped", c.Dropped))
}

// awaitFlows returns when no flow is open or the drain time has passed.
func (s *Sidecar) awaitFlows(ctx context.Context) {
	begin := s.cfg.Timer.Now()
	for s.flows.OpenFlows() > 0 && s.cfg.Timer.Since(begin) < s.cfg.Drain {
		if err := s.cfg.Timer.Sleep(ctx, drainPollInterval); err != nil {
			return
		}
	}
}
