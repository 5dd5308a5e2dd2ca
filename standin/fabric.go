// Package standin holds small stand-ins for what surrounds the system: the
// fabric, upstreams, callers and the platform. They serve tests, the demo and
// trials, and use sockets on the loopback interface only.
//
// Start with Fabric, Upstream and Caller: a Caller sends requests over a Fabric,
// which hands each packet to a random balancer; an Upstream answers them.
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

// FabricFaults says what a Fabric does to the packets of both directions. The zero value does nothing.
type FabricFaults struct {
	// Loss and Duplicate are probabilities from 0 to 1.
	Loss, Duplicate float64
	// Delay is added to every packet, and a random part of Jitter to each. They are at least 0.
	Delay, Jitter time.Duration
}

func (f FabricFaults) delays() bool {
	return f.Delay > 0 || f.Jitter > 0
}

// FabricConfig holds the settings of a Fabric. The zero value selects the defaults.
type FabricConfig struct {
	// Timers is the clock. Nil selects a new service.
	Timers *timer.Service
	// Callers is where callers in other processes send their packets. The
	// zero value selects a free port on 127.0.0.1.
	Callers netip.AddrPort
	// Answers is where sidecars and balancers send answers and refusals, and
	// where packets to balancers come from. The zero value selects a free port on
	// 127.0.0.1.
	Answers netip.AddrPort
	// Status serves HTTP: counts and the list of balancers. The zero value
	// selects a free port on 127.0.0.1.
	Status netip.AddrPort
	// Balancers are where packets of callers go. It may be empty at first, see SetBalancers.
	Balancers []netip.AddrPort
	// Seed starts the choice of balancers and faults.
	Seed uint64
	// VNI is the virtual network identifier of packets that callers in this process send.
	VNI    uint32
	Faults FabricFaults
}

// Check returns a *ValueError for each setting out of range, joined.
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
	// Sprayed packets went to a balancer, Delivered ones to a caller.
	Sprayed   uint64 `json:"sprayed"`
	Delivered uint64 `json:"delivered"`
	// Lost and Duplicated packets are injected faults.
	Lost       uint64 `json:"lost"`
	Duplicated uint64 `json:"duplicated"`
	// Malformed datagrams were dropped.
	Malformed uint64 `json:"malformed"`
	// Unknown answers were for a caller that is not attached.
	Unknown uint64 `json:"unknown"`
	// Unrouted packets found no balancer.
	Unrouted uint64 `json:"unrouted"`
}

// fabricEndpoint is how a caller is reached.
type fabricEndpoint struct {
	receive func(datagram []byte) // nil for a caller in another process
	addr    netip.AddrPort        // where such a caller's packets came from
}

// Fabric sprays the packets of callers over balancers and hands each answer to
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
	balancers []netip.AddrPort // replaced, never changed

	endpointsMu sync.RWMutex // guards ports
	endpoints   map[netip.AddrPort]fabricEndpoint

	sprayed, delivered, lost, duplicated, malformed, unknown, unrouted atomic.Uint64
}

// NewFabric returns a fabric whose sockets are open. It reports joined
// *ValueErrors or *ListenError. Run closes the sockets.
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

// CallersAddr returns where callers in other processes send their packets.
func (f *Fabric) CallersAddr() netip.AddrPort {
	return localAddr(f.callers)
}

// AnswersAddr returns where sidecars and balancers send.
func (f *Fabric) AnswersAddr() netip.AddrPort {
	return localAddr(f.answers)
}

// StatusAddr returns where counts and the list of balancers are served.
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

// Attach makes receive get the Geneve datagrams for a caller in this process.
// The datagram is valid during the call, which must not block.
func (f *Fabric) Attach(caller netip.AddrPort, receive func(datagram []byte)) {
	f.attach(caller, fabricEndpoint{receive: receive})
}

// Detach forgets a caller.
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

// Send takes the IP packet of a caller in this process. It reports the errors of fabric.Append.
func (f *Fabric) Send(ip []byte) error {
	datagram, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), f.cfg.VNI, ip, nil)
	if err != nil {
		return err
	}
	f.applyFaults(datagram, f.spray)
	return nil
}

// Stats returns the counts so far.
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

// Run passes packets until ctx is done, and then closes the sockets and returns nil.
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

// receiveCallers sprays the packets of callers in other processes and learns where those are.
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

// applyFaults applies the faults to a datagram and hands what is left of it to send.
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

// drawCopies returns 0 for a lost packet, 2 for a duplicated one and else 1.
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
