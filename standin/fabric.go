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

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

// FabricFaults holds the faults that a Fabric injects into both directions. The zero value injects none.
type FabricFaults struct {
	// Loss and Duplicate are probabilities from 0 to 1.
	Loss, Duplicate float64
	// Delay is the minimum added latency. A random duration of less than Jitter
	// is added to it for each packet. Both are at least 0.
	Delay, Jitter time.Duration
}

func (f FabricFaults) delays() bool {
	return f.Delay > 0 || f.Jitter > 0
}

// FabricConfig holds the settings of a Fabric. The zero value selects the defaults.
type FabricConfig struct {
	// Timers is the clock. Nil selects the process clock.
	Timers *timer.Service
	// Callers is the listen address for packets of callers in other processes. The
	// zero value selects a free port on 127.0.0.1.
	Callers netip.AddrPort
	// Answers is the listen address for answers and refusals from sidecars and
	// balancers, and the source address of packets to balancers. The zero value
	// selects a free port on 127.0.0.1.
	Answers netip.AddrPort
	// Status is the HTTP listen address for statistics and the list of balancers.
	// The zero value selects a free port on 127.0.0.1.
	Status netip.AddrPort
	// Balancers are the initial destinations of callers' packets. It may be empty, see SetBalancers.
	Balancers []netip.AddrPort
	// Seed seeds the random choice of balancers and faults.
	Seed uint64
	// VNI is the virtual network identifier of packets from callers in this process.
	VNI    uint32
	Faults FabricFaults
}

// Check returns the joined *ValueErrors of all settings that are out of range, or nil.
func (c FabricConfig) Check() error {
	var v valueErrors
	v.checkLoopback("callers", c.Callers)
	v.checkLoopback("answers", c.Answers)
	v.checkLoopback("status", c.Status)
	v.checkRange("loss", c.Faults.Loss, 0, 1)
	v.checkRange("duplicate", c.Faults.Duplicate, 0, 1)
	v.checkRange("delay", c.Faults.Delay.Seconds(), 0, maxDelay.Seconds())
	v.checkRange("jitter", c.Faults.Jitter.Seconds(), 0, maxDelay.Seconds())
	return v.join()
}

const maxDelay = time.Minute

// FabricStats counts packets since the start of a Fabric.
type FabricStats struct {
	// Sprayed packets were sent to a balancer, Delivered packets to a caller.
	Sprayed   uint64 `json:"sprayed"`
	Delivered uint64 `json:"delivered"`
	// Lost and Duplicated count injected faults.
	Lost       uint64 `json:"lost"`
	Duplicated uint64 `json:"duplicated"`
	// Malformed datagrams could not be decoded and were dropped.
	Malformed uint64 `json:"malformed"`
	// Unknown answers were addressed to a caller that is not attached.
	Unknown uint64 `json:"unknown"`
	// Unrouted packets were dropped because there was no balancer.
	Unrouted uint64 `json:"unrouted"`
}

// fabricEndpoint is the destination of packets to a caller.
type fabricEndpoint struct {
	receive func(datagram []byte) // nil for a caller in another process
	addr    netip.AddrPort        // the source address of a caller in another process
}

// Fabric sprays the packets of callers over balancers and delivers each answer to
// its caller. It is safe for concurrent use.
type Fabric struct {
	cfg     FabricConfig
	callers *net.UDPConn
	answers *net.UDPConn
	status  net.Listener
	server  *http.Server
	queue   *fabricQueue

	mu        sync.Mutex // guards rand and balancers
	rand      *rand.Rand
	balancers []netip.AddrPort // replaced, never modified

	endpointsMu sync.RWMutex // guards endpoints
	endpoints   map[netip.AddrPort]fabricEndpoint

	sprayed, delivered, lost, duplicated, malformed, unknown, unrouted atomic.Uint64
}

// NewFabric opens the sockets of a fabric. It returns joined *ValueErrors or
// *ListenError. Run closes the sockets.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if cfg.Timers == nil {
		cfg.Timers = timer.New(timer.Config{})
	}
	f := &Fabric{
		cfg:       cfg,
		queue:     newFabricQueue(cfg.Timers),
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		balancers: cfg.Balancers,
		endpoints: make(map[netip.AddrPort]fabricEndpoint),
	}
	if err := f.listen(); err != nil {
		f.closeSockets()
		return nil, err
	}
	f.server = f.newServer()
	return f, nil
}

func (f *Fabric) listen() error {
	var err error
	if f.callers, err = listenUDP(f.cfg.Callers); err != nil {
		return err
	}
	if f.answers, err = listenUDP(f.cfg.Answers); err != nil {
		return err
	}
	f.status, err = listenTCP(f.cfg.Status)
	return err
}

func (f *Fabric) closeSockets() {
	if f.callers != nil {
		_ = f.callers.Close()
	}
	if f.answers != nil {
		_ = f.answers.Close()
	}
	if f.status != nil {
		_ = f.status.Close()
	}
}

// CallersAddr returns the address that receives packets of callers in other processes.
func (f *Fabric) CallersAddr() netip.AddrPort {
	return localAddr(f.callers)
}

// AnswersAddr returns the address that receives answers and refusals from sidecars and balancers.
func (f *Fabric) AnswersAddr() netip.AddrPort {
	return localAddr(f.answers)
}

// StatusAddr returns the HTTP address of the statistics and the list of balancers.
func (f *Fabric) StatusAddr() netip.AddrPort {
	return f.status.Addr().(*net.TCPAddr).AddrPort()
}

// Balancers returns the balancers that packets are sprayed over.
func (f *Fabric) Balancers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancers
}

// SetBalancers replaces the balancers that packets are sprayed over.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	balancers = append([]netip.AddrPort(nil), balancers...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = balancers
}

// Attach registers receive for the Geneve datagrams to a caller in this process.
// The datagram is only valid during the call, which must not block.
func (f *Fabric) Attach(caller netip.AddrPort, receive func(datagram []byte)) {
	f.attach(caller, fabricEndpoint{receive: receive})
}

// Detach removes a caller that was attached.
func (f *Fabric) Detach(caller netip.AddrPort) {
	f.endpointsMu.Lock()
	defer f.endpointsMu.Unlock()
	delete(f.endpoints, caller)
}

func (f *Fabric) attach(caller netip.AddrPort, p fabricEndpoint) {
	f.endpointsMu.Lock()
	defer f.endpointsMu.Unlock()
	f.endpoints[caller] = p
}

func (f *Fabric) endpoint(caller netip.AddrPort) (fabricEndpoint, bool) {
	f.endpointsMu.RLock()
	defer f.endpointsMu.RUnlock()
	p, ok := f.endpoints[caller]
	return p, ok
}

// Send sends the IP packet of a caller in this process. It returns the errors of fabric.Append.
func (f *Fabric) Send(ip []byte) error {
	datagram, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), f.cfg.VNI, ip, nil)
	if err != nil {
		return err
	}
	f.applyFaults(datagram, f.spray)
	return nil
}

// Stats returns the statistics so far.
func (f *Fabric) Stats() FabricStats {
	return FabricStats{
		Sprayed:    f.sprayed.Load(),
		Delivered:  f.delivered.Load(),
		Lost:       f.lost.Load(),
		Duplicated: f.duplicated.Load(),
		Malformed:  f.malformed.Load(),
		Unknown:    f.unknown.Load(),
		Unrouted:   f.unrouted.Load(),
	}
}

// Run forwards packets until ctx is done, and then closes the sockets and returns nil.
func (f *Fabric) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.queue.run(ctx) })
	wg.Go(func() { f.receiveCallers() })
	wg.Go(func() { f.receiveAnswers() })
	wg.Go(func() { _ = f.server.Serve(f.status) })
	<-ctx.Done()
	_ = f.server.Close()
	f.closeSockets()
	return nil
}

// receiveCallers sprays the packets of callers in other processes and records the callers' addresses.
func (f *Fabric) receiveCallers() {
	d := fabric.NewDecoder(fabric.DecoderConfig{MaxPacket: fabric.MaxPacket})
	receiveUDP(f.callers, func(datagram []byte, from netip.AddrPort) {
		frame, err := d.Decode(datagram)
		if err != nil {
			f.malformed.Add(1)
			return
		}
		caller := frame.Packet.Key.Caller()
		if p, ok := f.endpoint(caller); !ok || p.addr != from {
			f.attach(caller, fabricEndpoint{addr: from})
		}
		f.applyFaults(datagram, f.spray)
	})
}

func (f *Fabric) receiveAnswers() {
	d := fabric.NewDecoder(fabric.DecoderConfig{MaxPacket: fabric.MaxPacket})
	receiveUDP(f.answers, func(datagram []byte, _ netip.AddrPort) {
		frame, err := d.DecodeAnswerFrame(datagram)
		if err != nil {
			f.malformed.Add(1)
			return
		}
		caller := frame.Packet.Key.Caller()
		f.applyFaults(datagram, func(datagram []byte) { f.deliver(caller, datagram) })
	})
}

// spray sends a datagram to a random balancer.
func (f *Fabric) spray(datagram []byte) {
	f.mu.Lock()
	if len(f.balancers) == 0 {
		f.mu.Unlock()
		f.unrouted.Add(1)
		return
	}
	to := f.balancers[f.rand.IntN(len(f.balancers))]
	f.mu.Unlock()
	if _, err := f.answers.WriteToUDPAddrPort(datagram, to); err == nil {
		f.sprayed.Add(1)
	}
}

func (f *Fabric) deliver(caller netip.AddrPort, datagram []byte) {
	p, ok := f.endpoint(caller)
	if !ok {
		f.unknown.Add(1)
		return
	}
	f.delivered.Add(1)
	if p.receive != nil {
		p.receive(datagram)
		return
	}
	_, _ = f.callers.WriteToUDPAddrPort(datagram, p.addr)
}

// applyFaults calls send for each copy of a datagram that the injected faults leave.
func (f *Fabric) applyFaults(datagram []byte, send func([]byte)) {
	if f.cfg.Faults == (FabricFaults{}) {
		send(datagram)
		return
	}
	copies := f.drawCopies()
	for range copies {
		if !f.cfg.Faults.delays() {
			send(datagram)
			continue
		}
		copied := append([]byte(nil), datagram...)
		f.queue.push(f.drawDelay(), func() { send(copied) })
	}
}

// drawCopies returns 0 for a lost packet, 2 for a duplicated one and 1 otherwise.
func (f *Fabric) drawCopies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand.Float64() < f.cfg.Faults.Loss {
		f.lost.Add(1)
		return 0
	}
	if f.rand.Float64() < f.cfg.Faults.Duplicate {
		f.duplicated.Add(1)
		return 2
	}
	return 1
}

func (f *Fabric) drawDelay() time.Duration {
	d := f.cfg.Faults.Delay
	if f.cfg.Faults.Jitter > 0 {
		f.mu.Lock()
		d += time.Duration(f.rand.Int64N(int64(f.cfg.Faults.Jitter)))
		f.mu.Unlock()
	}
	return d
}
