package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

// CallerTarget is the destination of flows.
type CallerTarget struct {
	// Address is an address and port of a service.
	Address  netip.AddrPort
	Protocol flow.Protocol
	// Service is the service name that answers must carry. If it is empty, any name is accepted.
	Service string
	// Idempotent is the flag of the requests.
	Idempotent bool
}

// CallerConfig holds the settings of a Caller. Zero values select the defaults,
// except for the targets and the fabric, which are required.
type CallerConfig struct {
	// Timers is the clock. Nil selects the process clock.
	Timers *timer.Service
	// LocalFabric is a fabric in this process. It takes precedence over Fabric.
	LocalFabric *Fabric
	// Fabric is the callers' address of a fabric in another process.
	Fabric netip.AddrPort
	// Targets are assigned to flows in turn. At least one is required.
	Targets []CallerTarget
	// Sources are the prefixes of flows' source addresses. A flow uses the first
	// one of its target's address family. Empty selects 10.0.0.0/24 and 2001:db8::/64.
	Sources []netip.Prefix
	// Flows is the total number of flows, and Requests the number of sequential
	// requests per flow, both from 1 to 1,000,000. Zero selects 1.
	Flows    int
	Requests int
	// Parallel is the number of concurrent flows, from 1 to 100,000. Zero selects 256.
	Parallel int
	// Size is the body size of a TCP answer in bytes, from 0 to 1,000,000, and
	// DatagramSize that of a UDP answer, from 0 to 8,000. Zero selects 3,000 and 1,000.
	Size         int
	DatagramSize int
	// ThinkTime is the pause of a flow between two requests, from 0 to 1 min.
	ThinkTime time.Duration
	// Duration limits the run, from 0 (no limit) to 24 h.
	Duration time.Duration
	// Timeout limits the wait for a connection and for each answer, from 0 to 10 min. Zero selects 10 s.
	Timeout time.Duration
	// MaxWait is how long a request may wait at its upstream, from 0 (no limit) to 10 min.
	MaxWait time.Duration
	// Attempts is the maximum number of attempts for a request that is refused or
	// shed without having run, from 1 to 1,000. Zero selects 5.
	Attempts int
	// ID is the caller ID of the first flow; further flows count up from it. The
	// IDs of several Callers in one trial must not overlap.
	ID uint64
	// Seed seeds the random choice of initial sequence numbers.
	Seed uint64
	// VNI is the virtual network identifier of packets to a fabric in another process.
	VNI uint32
}

const (
	defaultParallel     = 256
	defaultSize         = 3000 // bytes
	defaultDatagramSize = 1000 // bytes
	defaultTimeout      = 10 * time.Second
	defaultAttempts     = 5

	maxFlows        = 1_000_000
	maxParallel     = 100_000
	maxSize         = 1_000_000 // bytes
	maxDatagramSize = 8000      // bytes
	maxDuration     = 24 * time.Hour
	maxTimeout      = 10 * time.Minute
	maxAttempts     = 1000
)

// withDefaults returns the settings with zero values replaced by defaults.
func (c CallerConfig) withDefaults() CallerConfig {
	if c.Timers == nil {
		c.Timers = timer.New(timer.Config{})
	}
	if len(c.Sources) == 0 {
		c.Sources = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("2001:db8::/64")}
	}
	setDefault(&c.Flows, 1)
	setDefault(&c.Requests, 1)
	setDefault(&c.Parallel, defaultParallel)
	setDefault(&c.Size, defaultSize)
	setDefault(&c.DatagramSize, defaultDatagramSize)
	setDefault(&c.Attempts, defaultAttempts)
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return c
}

func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// Check returns the joined *ValueErrors of all settings that are out of range, or nil.
func (c CallerConfig) Check() error {
	c = c.withDefaults()
	var v valueErrors
	if c.LocalFabric == nil && !c.Fabric.IsValid() {
		v = append(v, &ValueError{Field: "fabric", Value: c.Fabric, Range: "a loopback address and port"})
	}
	v.checkLoopback("fabric", c.Fabric)
	if len(c.Targets) == 0 {
		v = append(v, &ValueError{Field: "target", Value: "empty", Range: "at least one address and port"})
	}
	for _, t := range c.Targets {
		if _, ok := c.source(t.Address.Addr()); !ok {
			v = append(v, &ValueError{Field: "target", Value: t.Address, Range: "of the family of a source prefix"})
		}
	}
	v.checkRange("flows", float64(c.Flows), 1, maxFlows)
	v.checkRange("requests", float64(c.Requests), 1, maxFlows)
	v.checkRange("parallel", float64(c.Parallel), 1, maxParallel)
	v.checkRange("size", float64(c.Size), 0, maxSize)
	v.checkRange("datagram-size", float64(c.DatagramSize), 0, maxDatagramSize)
	v.checkRange("think", c.ThinkTime.Seconds(), 0, maxDelay.Seconds())
	v.checkRange("duration", c.Duration.Seconds(), 0, maxDuration.Seconds())
	v.checkRange("timeout", c.Timeout.Seconds(), 0, maxTimeout.Seconds())
	v.checkRange("within", c.MaxWait.Seconds(), 0, maxTimeout.Seconds())
	v.checkRange("attempts", float64(c.Attempts), 1, maxAttempts)
	return v.join()
}

// source returns the source prefix of flows to an address.
func (c CallerConfig) source(to netip.Addr) (netip.Prefix, bool) {
	for _, p := range c.Sources {
		if to.IsValid() && p.Addr().Is4() == to.Is4() {
			return p.Masked(), true
		}
	}
	return netip.Prefix{}, false
}

// Caller sends requests on many flows over a fabric and records the results. It
// is safe for concurrent use. Run must be called only once.
type Caller struct {
	cfg      CallerConfig
	conn     *net.UDPConn // nil with a local fabric
	recorder *resultRecorder

	decodeMu sync.Mutex // guards decoder
	decoder  *fabric.Decoder

	mu          sync.Mutex // guards rand, flows and sourceCount
	rand        *rand.Rand
	flows       map[flow.Key]*callerFlow
	sourceCount uint32 // source addresses assigned so far
}

// NewCaller returns a caller. It returns joined *ValueErrors or *ListenError.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	c := &Caller{
		cfg:      cfg,
		recorder: newResultRecorder(cfg),
		decoder:  fabric.NewDecoder(fabric.DecoderConfig{MaxPacket: fabric.MaxPacket}),
		rand:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		flows:    make(map[flow.Key]*callerFlow),
	}
	if cfg.LocalFabric != nil {
		return c, nil
	}
	conn, err := listenUDP(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

// Result returns the results so far.
func (c *Caller) Result() Result {
	return c.recorder.snapshot()
}

// Run runs all flows and returns nil when they have ended, ctx is done or the
// configured duration has elapsed. It waits for all goroutines that it started.
func (c *Caller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.conn != nil {
		wg.Go(func() { receiveUDP(c.conn, func(b []byte, _ netip.AddrPort) { c.receive(b) }) })
		defer func() { _ = c.conn.Close() }()
	}
	if c.cfg.Duration > 0 {
		wg.Go(func() {
			_ = c.cfg.Timers.Sleep(ctx, c.cfg.Duration)
			cancel()
		})
		defer cancel()
	}
	begin := c.cfg.Timers.Now()
	flows := pool.New().WithMaxGoroutines(c.cfg.Parallel)
	for i := range c.cfg.Flows {
		if ctx.Err() != nil {
			break
		}
		flows.Go(func() { c.runFlow(ctx, i) })
	}
	flows.Wait()
	c.recorder.setDuration(c.cfg.Timers.Since(begin))
	return nil
}

// runFlow runs the i-th flow.
func (c *Caller) runFlow(ctx context.Context, i int) {
	target := c.cfg.Targets[i%len(c.cfg.Targets)]
	s := &callerSession{caller: c, id: c.cfg.ID + uint64(i), target: target}
	c.recorder.addFlow()
	if target.Protocol == flow.UDP {
		s.runDatagrams(ctx)
		return
	}
	s.runStream(ctx)
}

// newFlow registers a flow with an unused source address and port.
func (c *Caller) newFlow(t CallerTarget) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, _ := c.cfg.source(t.Address.Addr())
	source := nthSource(prefix, c.sourceCount)
	c.sourceCount++
	k := flow.NewKey(t.Protocol, source, t.Address)
	f := &callerFlow{caller: c, key: k, iss: c.rand.Uint32(), inbox: make(chan callerPacket, inboxSize)}
	c.flows[k] = f
	if c.cfg.LocalFabric != nil {
		c.cfg.LocalFabric.Attach(source, c.receive)
	}
	return f
}

func (c *Caller) removeFlow(f *callerFlow) {
	c.mu.Lock()
	delete(c.flows, f.key)
	c.mu.Unlock()
	if c.cfg.LocalFabric != nil {
		c.cfg.LocalFabric.Detach(f.key.Caller())
	}
}

const (
	firstPort = 1024
	lastPort  = 65535
	maxHosts  = 254
)

// nthSource returns the n-th address and port of a prefix. It advances the port
// after all addresses are used.
func nthSource(p netip.Prefix, n uint32) netip.AddrPort {
	hosts := uint32(maxHosts)
	if bits := p.Addr().BitLen() - p.Bits(); bits < 8 {
		hosts = 1 << bits
	}
	addr := p.Addr()
	for range n % hosts {
		addr = addr.Next()
	}
	port := firstPort + n/hosts%(lastPort-firstPort+1)
	return netip.AddrPortFrom(addr, uint16(port))
}

// receive passes a Geneve datagram from the fabric to its flow.
func (c *Caller) receive(datagram []byte) {
	c.decodeMu.Lock()
	frame, err := c.decoder.DecodeAnswerFrame(datagram)
	flags := c.decoder.Flags()
	c.decodeMu.Unlock()
	if err != nil {
		c.recorder.addStray()
		return
	}
	c.mu.Lock()
	f := c.flows[frame.Packet.Key]
	c.mu.Unlock()
	if f == nil {
		c.recorder.addStray()
		return
	}
	f.receive(frame, flags)
}

// transmit sends an IP packet to the fabric.
func (c *Caller) transmit(ip []byte) {
	if c.cfg.LocalFabric != nil {
		_ = c.cfg.LocalFabric.Send(ip)
		return
	}
	b, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), c.cfg.VNI, ip, nil)
	if err == nil {
		_, _ = c.conn.WriteToUDPAddrPort(b, c.cfg.Fabric)
	}
}
