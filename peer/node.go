package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/event"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	inboxLength     = 1024
	handshakesLimit = 64 // accepted connections that have not said Hello
	connsLimit      = 128
	heldLimit       = 8 // bundles that are kept besides the one in force
	// repeatEvent is how often an outage of the platform is logged.
	repeatEvent = time.Minute
)

// Status is what a Node knows about itself.
type Status struct {
	converge.Status
	// Hash is the full hash of the bundle in force.
	Hash bundle.Hash
	// Sent and Received are bytes on connections to peers, TLS included.
	Sent, Received uint64
	Platform       configservice.Counts
}

// held is a bundle that passed its checks.
type held struct {
	document *document
	frozen   *bundle.Frozen
	bundle   *bundle.Bundle
}

// Node keeps a process at the bundle and the instance list of the fleet.
type Node struct {
	cfg      Config // never changes after NewNode
	listener net.Listener
	meter    meter
	inbox    chan signal
	slots    chan struct{} // taken by handshakes of accepted connections
	status   atomic.Pointer[nodeStatus]
	wg       conc.WaitGroup

	// What follows is used by the loop alone.
	member    *converge.Member
	inputs    []converge.Input // the first one is being taken in
	trust     bundle.Trust     // its sequence never goes down
	conns     map[string]*conn
	instances map[string]configservice.Instance
	bundles   map[converge.Version]held
	offered   *bundle.Frozen // what the platform last held
	listed    *document      // a list that was offered and may be adopted
	histories map[converge.Kind]*history
	transfers map[converge.Kind]*transfer
	stopRead  context.CancelFunc // nil while the platform is not read
	warnedAt  time.Time          // of an expiring certificate
	failedAt  time.Time          // when a call to the platform that failed was last logged; zero after an answer
}

// nodeStatus is a status with the time it was taken at.
type nodeStatus struct {
	Status
	at time.Time
}

// NewNode returns a Node that listens but does nothing until Run. It reports
// *ConfigError or *ListenError.
func NewNode(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, &ListenError{Address: cfg.Listen.String(), Cause: err}
	}
	n := &Node{
		cfg:       cfg,
		listener:  l,
		inbox:     make(chan signal, inboxLength),
		slots:     make(chan struct{}, handshakesLimit),
		trust:     bundle.Anchor(cfg.Anchor),
		conns:     make(map[string]*conn),
		instances: make(map[string]configservice.Instance),
		bundles:   make(map[converge.Version]held),
		histories: map[converge.Kind]*history{converge.KindBundle: newHistory(), converge.KindList: newHistory()},
		transfers: make(map[converge.Kind]*transfer),
	}
	n.member = converge.New(n.convergeConfig())
	n.status.Store(&nodeStatus{at: cfg.Timer.Now()})
	return n, nil
}

func (n *Node) convergeConfig() converge.Config {
	c := n.cfg.Converge
	c.Name, c.DataCentre = n.cfg.Name, n.cfg.DataCentre
	c.Rand = rand.New(rand.NewPCG(n.cfg.Rand.Uint64(), n.cfg.Rand.Uint64()))
	c.Seeds = peersOf(n.cfg.Seeds)
	for _, i := range n.cfg.Seeds {
		n.instances[i.Name] = i
	}
	return c
}

// Address returns where the Node listens.
func (n *Node) Address() netip.AddrPort {
	return n.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Status returns what the process knows now. It may be called concurrently.
// A process whose loop has not run for the pause time is asking, since it
// may just have woken.
func (n *Node) Status() Status {
	s := n.status.Load()
	out := s.Status
	if out.State == converge.StateReady && n.cfg.Timer.Since(s.at) > pauseAfter {
		out.State = converge.StateResyncing
	}
	out.Sent, out.Received = n.meter.sent.Load(), n.meter.received.Load()
	out.Platform = n.cfg.Platform.Counts()
	return out
}

// pauseAfter is how old a status may be.
const pauseAfter = 2 * time.Second

// Run serves until ctx is done. It is called once, and returns nil.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.wg.Go(func() { n.accept(ctx) })
	n.loop(ctx)
	cancel()
	n.listener.Close()
	for _, c := range n.conns {
		c.end()
	}
	n.wg.Wait()
	n.cfg.Platform.Close()
	return nil
}

func (n *Node) loop(ctx context.Context) {
	tick := n.cfg.Timer.Every(converge.TickInterval)
	defer tick.Stop()
	n.update(ctx, converge.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.update(ctx, converge.Tick{})
			n.checkExpiry()
		case s := <-n.inbox:
			n.take(ctx, s)
		}
	}
}

// post hands a signal to the loop.
func (n *Node) post(ctx context.Context, s signal) {
	select {
	case n.inbox <- s:
	case <-ctx.Done():
	}
}

// take turns a signal into inputs of the decisions.
func (n *Node) take(ctx context.Context, s signal) {
	switch s := s.(type) {
	case opened:
		n.open(ctx, s.conn)
	case closed:
		n.close(ctx, s)
	case received:
		if n.conns[s.conn.hello.Name] == s.conn {
			n.receive(ctx, s.conn, s.message)
		}
	case dialFailed:
		if n.conns[s.name] == nil {
			n.update(ctx, converge.Disconnected{Peer: s.name})
		}
	case bundleRead:
		n.offered = s.frozen
		n.update(ctx, converge.BundleOffered{Version: versionOf(s.frozen)})
	case listRead:
		n.offerList(ctx, converge.FromPlatform, s.list)
	case platformCalled:
		n.called(ctx, s.err)
	}
}

func (n *Node) called(ctx context.Context, err error) {
	if err == nil {
		n.failedAt = time.Time{}
		n.update(ctx, converge.PlatformAnswered{})
		return
	}
	now := n.cfg.Timer.Now()
	if n.failedAt.IsZero() || now.Sub(n.failedAt) >= repeatEvent {
		n.failedAt = now
		n.cfg.Log.Emit(event.PlatformUnreachable, zap.Error(err))
	}
	n.update(ctx, converge.PlatformFailed{})
}

// update asks for decisions and carries them out. Inputs that follow from an
// output wait until the outputs before are carried out.
func (n *Node) update(ctx context.Context, in converge.Input) {
	n.inputs = append(n.inputs, in)
	if len(n.inputs) > 1 {
		return
	}
	for len(n.inputs) > 0 {
		for _, out := range n.member.Update(n.cfg.Timer.Now(), n.inputs[0]) {
			n.act(ctx, out)
		}
		n.inputs = n.inputs[1:]
	}
	s := Status{Status: n.member.Status(), Hash: n.trust.Hash}
	n.status.Store(&nodeStatus{Status: s, at: n.cfg.Timer.Now()})
}

func (n *Node) act(ctx context.Context, out converge.Output) {
	switch out := out.(type) {
	case converge.Connect:
		n.dial(ctx, out.Peer)
	case converge.Disconnect:
		if c := n.conns[out.Peer]; c != nil {
			delete(n.conns, out.Peer)
			c.send(Close{})
		}
	case converge.Send:
		n.tell(out.Peer, wireDigest(out.Digest))
	case converge.Fetch:
		n.fetch(ctx, out)
	case converge.Activate:
		n.enforce(out.Version)
	case converge.AdoptList:
		n.adopt(out.Version)
	case converge.ReadPlatform:
		n.read(ctx, out.On)
	case converge.Conflict:
		n.cfg.Log.Emit(event.BundleConflict, zap.Stringer("have", out.Have),
			zap.Stringer("got", out.Got), zap.String("peer", out.Peer))
	case converge.StaleOffer:
		n.cfg.Log.Emit(event.BundleStale, zap.Stringer("have", out.Have), zap.Stringer("got", out.Got))
	case converge.StateChange:
		n.cfg.Log.Emit(event.StateChanged, zap.Stringer("state", out.State), zap.Bool("isolated", out.Isolated))
		n.cfg.OnState(out.State, out.Isolated)
	}
}

// enforce puts a checked bundle in force.
func (n *Node) enforce(v converge.Version) {
	h, ok := n.bundles[v]
	if !ok {
		return
	}
	n.trust = h.frozen.Trust()
	n.histories[converge.KindBundle].advance(h.document)
	for o := range n.bundles {
		if o.Sequence <= v.Sequence {
			delete(n.bundles, o)
		}
	}
	n.cfg.Log.Emit(event.BundleAccepted, zap.Uint64("sequence", v.Sequence), zap.Stringer("hash", n.trust.Hash))
	n.cfg.OnBundle(h.bundle, n.trust.Hash)
}

// adopt makes the offered instance list the present one.
func (n *Node) adopt(v converge.Version) {
	if n.listed == nil || n.listed.version != v {
		return
	}
	list, err := instancesOf(n.listed)
	if err != nil {
		return
	}
	n.histories[converge.KindList].advance(n.listed)
	n.instances = make(map[string]configservice.Instance, len(list))
	for _, i := range n.cfg.Seeds {
		n.instances[i.Name] = i
	}
	for _, i := range list {
		n.instances[i.Name] = i
	}
	n.cfg.Log.Emit(event.ListAdopted, zap.Stringer("version", v), zap.Int("instances", len(list)))
	n.cfg.OnList(list)
}

func peersOf(list []configservice.Instance) []converge.Peer {
	peers := make([]converge.Peer, 0, len(list))
	for _, i := range list {
		peers = append(peers, converge.Peer{
			Name: i.Name, DataCentre: i.DataCentre, Leaving: i.State == configservice.StateLeaving,
		})
	}
	return peers
}

func wireDigest(d converge.Digest) Digest {
	return Digest{
		InForce: wireVersion(d.InForce), Pending: wireVersion(d.Pending), List: wireVersion(d.List),
		Origin: d.Origin, Age: d.Age, Request: d.Request, Reply: d.Reply,
	}
}

func (m Digest) digest() converge.Digest {
	return converge.Digest{
		InForce: m.InForce.version(), Pending: m.Pending.version(), List: m.List.version(),
		Origin: m.Origin, Age: m.Age, Request: m.Request, Reply: m.Reply,
	}
}
