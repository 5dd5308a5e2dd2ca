package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// UpstreamConfig holds the settings of an Upstream. The zero value selects the defaults.
type UpstreamConfig struct {
	// Timers is the clock. Nil selects the process clock.
	Timers *timer.Service
	// Name and Service are included in every answer.
	Name    string
	Service string
	// Tunnel is the listen address for callers' packets in Geneve, Datagram for
	// plain UDP requests and Status for HTTP. The zero value selects a free port
	// on 127.0.0.1.
	Tunnel   netip.AddrPort
	Datagram netip.AddrPort
	Status   netip.AddrPort
	// Slots is the number of requests that run concurrently, from 1 to 1,000. Zero selects 2.
	Slots int
	// Queue is the maximum number of requests that wait for a slot, from 1 to
	// 1,000,000; requests beyond it are shed. Zero selects 1,024.
	Queue int
	// Connections is the maximum number of TCP connections, from 1 to 1,000,000;
	// connections beyond it are reset. Zero selects 4,096.
	Connections int
	// IdleTimeout is the time without packets after which a TCP connection is
	// dropped, from 1 s to 24 h. Zero selects 1 h.
	IdleTimeout time.Duration
	// ServiceTime is how long a request occupies its slot, from 0 to 1 min.
	ServiceTime time.Duration
	// ColdStart is the period after the start during which requests take longer,
	// from 0 to 1 h. ColdFactor is the initial factor, from 1 to 1,000; zero
	// selects 10. It decreases linearly to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// RunDuplicates disables deduplication: a request that arrives again runs again.
	RunDuplicates bool
	// LoadLag is the age of the load that the load endpoint reports, from 0 to 1 min.
	LoadLag time.Duration
	// Override initially replaces the responses of the health and load endpoints.
	Override UpstreamOverride
	// Seed seeds the random choice of initial sequence numbers.
	Seed uint64
}

const (
	defaultSlots       = 2
	defaultQueue       = 1024
	defaultConnections = 4096
	defaultColdFactor  = 10
	defaultIdle        = time.Hour

	maxSlots       = 1000
	maxQueue       = 1_000_000
	maxConnections = 1_000_000
	maxColdStart   = time.Hour
	maxColdFactor  = 1000
)

// withDefaults returns the settings with zero values replaced by defaults.
func (c UpstreamConfig) withDefaults() UpstreamConfig {
	if c.Timers == nil {
		c.Timers = timer.New(timer.Config{})
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Queue == 0 {
		c.Queue = defaultQueue
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdle
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = defaultColdFactor
	}
	return c
}

// Check returns the joined *ValueErrors of all settings that are out of range, or nil.
func (c UpstreamConfig) Check() error {
	c = c.withDefaults()
	var v valueErrors
	v.checkLoopback("tunnel", c.Tunnel)
	v.checkLoopback("datagram", c.Datagram)
	v.checkLoopback("status", c.Status)
	v.checkRange("slots", float64(c.Slots), 1, maxSlots)
	v.checkRange("queue", float64(c.Queue), 1, maxQueue)
	v.checkRange("connections", float64(c.Connections), 1, maxConnections)
	v.checkRange("idle", c.IdleTimeout.Seconds(), 1, maxDuration.Seconds())
	v.checkRange("service-time", c.ServiceTime.Seconds(), 0, maxDelay.Seconds())
	v.checkRange("cold-start", c.ColdStart.Seconds(), 0, maxColdStart.Seconds())
	v.checkRange("cold-factor", c.ColdFactor, 1, maxColdFactor)
	v.checkRange("load-lag", c.LoadLag.Seconds(), 0, maxDelay.Seconds())
	return v.join()
}

// upstreamJob is a request that waits for a slot.
type upstreamJob struct {
	request Request
	queued  time.Time
}

// Upstream answers requests over TCP and UDP inside Geneve, and over plain UDP.
// It runs each request once unless RunDuplicates is set, and records every run.
// It is safe for concurrent use.
type Upstream struct {
	cfg      UpstreamConfig
	tunnel   *net.UDPConn
	datagram *net.UDPConn
	status   net.Listener
	server   *http.Server
	jobs     chan upstreamJob // buffered with cfg.Queue
	inUse    atomic.Int64
	begin    time.Time // immutable after NewUpstream

	mu    sync.Mutex // guards rand, conns and the connections in it
	conns map[flow.Key]*upstreamConn
	rand  *rand.Rand

	runs   runTable
	report upstreamReport

	malformed, resets, shed atomic.Uint64
}

// NewUpstream opens the sockets of an upstream. It returns joined *ValueErrors or
// *ListenError. Run closes the sockets.
func NewUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	u := &Upstream{
		cfg:   cfg,
		jobs:  make(chan upstreamJob, cfg.Queue),
		begin: cfg.Timers.Now(),
		conns: make(map[flow.Key]*upstreamConn),
		rand:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	u.runs.entries = make(map[requestKey]*runEntry)
	u.report.override = cfg.Override
	if err := u.listen(); err != nil {
		u.closeSockets()
		return nil, err
	}
	u.server = u.newServer()
	return u, nil
}

func (u *Upstream) listen() error {
	var err error
	if u.tunnel, err = listenUDP(u.cfg.Tunnel); err != nil {
		return err
	}
	if u.datagram, err = listenUDP(u.cfg.Datagram); err != nil {
		return err
	}
	u.status, err = listenTCP(u.cfg.Status)
	return err
}

func (u *Upstream) closeSockets() {
	if u.tunnel != nil {
		_ = u.tunnel.Close()
	}
	if u.datagram != nil {
		_ = u.datagram.Close()
	}
	if u.status != nil {
		_ = u.status.Close()
	}
}

// TunnelAddr returns the address that receives Geneve.
func (u *Upstream) TunnelAddr() netip.AddrPort {
	return localAddr(u.tunnel)
}

// DatagramAddr returns the address that receives plain UDP requests.
func (u *Upstream) DatagramAddr() netip.AddrPort {
	return localAddr(u.datagram)
}

// StatusAddr returns the HTTP address of the health and load endpoints.
func (u *Upstream) StatusAddr() netip.AddrPort {
	return u.status.Addr().(*net.TCPAddr).AddrPort()
}

// Name returns the configured name.
func (u *Upstream) Name() string {
	return u.cfg.Name
}

// Run serves until ctx is done, and then closes the sockets and returns nil.
// Requests in the queue are dropped.
func (u *Upstream) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for range u.cfg.Slots {
		wg.Go(func() { u.worker(ctx) })
	}
	wg.Go(u.receiveTunnel)
	wg.Go(u.receiveDatagrams)
	wg.Go(func() { u.retransmit(ctx) })
	wg.Go(func() { u.sampleLoad(ctx) })
	wg.Go(func() { _ = u.server.Serve(u.status) })
	<-ctx.Done()
	_ = u.server.Close()
	u.closeSockets()
	return nil
}

// receiveDatagrams serves plain UDP with one request per datagram.
func (u *Upstream) receiveDatagrams() {
	receiveUDP(u.datagram, func(datagram []byte, from netip.AddrPort) {
		r, err := DecodeRequest(datagram)
		if err != nil {
			u.malformed.Add(1)
			return
		}
		u.submit(r, func(a Answer) {
			if b, err := a.Encode(); err == nil {
				_, _ = u.datagram.WriteToUDPAddrPort(b, from)
			}
		})
	})
}

// submit queues a new request and answers one that has already run. For a
// request that is queued or running, reply replaces the earlier destination of
// the answer.
func (u *Upstream) submit(r Request, reply func(Answer)) {
	switch u.runs.add(r, reply, u.cfg.RunDuplicates) {
	case runInProgress:
		return
	case runDone:
		reply(u.answer(r, StatusDone))
		return
	}
	select {
	case u.jobs <- upstreamJob{request: r, queued: u.cfg.Timers.Now()}:
	default:
		u.runs.cancel(r)
		u.shed.Add(1)
		reply(u.answer(r, StatusShed))
	}
}

func (u *Upstream) worker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-u.jobs:
			u.run(ctx, j)
		}
	}
}

// run runs a request unless it was cancelled or exceeded its MaxWait.
func (u *Upstream) run(ctx context.Context, j upstreamJob) {
	u.inUse.Add(1)
	defer u.inUse.Add(-1)
	r := j.request
	if r.MaxWait > 0 && u.cfg.Timers.Since(j.queued) > r.MaxWait {
		u.shed.Add(1)
		if reply, ok := u.runs.cancel(r); ok {
			reply(u.answer(r, StatusExpired))
		}
		return
	}
	if !u.runs.start(r) {
		return
	}
	if d := u.serviceTime(); d > 0 && u.cfg.Timers.Sleep(ctx, d) != nil {
		return
	}
	reply := u.runs.finish(r)
	reply(u.answer(r, StatusDone))
}

// serviceTime returns the service time of a request that starts now.
func (u *Upstream) serviceTime() time.Duration {
	d := u.cfg.ServiceTime
	left := u.cfg.ColdStart - u.cfg.Timers.Since(u.begin)
	if left <= 0 {
		return d
	}
	fraction := float64(left) / float64(u.cfg.ColdStart)
	return time.Duration(float64(d) * (1 + fraction*(u.cfg.ColdFactor-1)))
}

// answer returns the answer to a request. Equal requests have equal bodies.
func (u *Upstream) answer(r Request, s Status) Answer {
	a := Answer{
		Caller: r.Caller, ID: r.ID, Attempt: r.Attempt,
		Service: u.cfg.Service, Upstream: u.cfg.Name, Status: s,
	}
	if s == StatusDone {
		a.Body = answerBody(r)
	}
	return a
}

// answerBody returns the deterministic body of the answer to r.
func answerBody(r Request) []byte {
	b := make([]byte, r.Size)
	for i := range b {
		b[i] = byte(r.Caller + r.ID + uint64(i))
	}
	return b
}
