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
	inboxSize         = 1024
	maxHandshakes     = 64 // concurrent handshakes of accepted connections
	maxConns          = 128
	maxCheckedBundles = 8 // besides the one in force
	// platformLogInterval is the time between two log lines during an outage of the platform.
	platformLogInterval = time.Minute
)

// Status is the status of a Node.
type Status struct {
	converge.Status
	// Hash is the full hash of the bundle in force.
	Hash bundle.Hash
	// Sent and Received are the bytes on connections to peers, including TLS overhead.
	Sent, Received uint64
	// Platform counts the calls to the platform.
	Platform configservice.Counts
}

// checkedBundle is a bundle that passed verification.
type checkedBundle struct {
	document *document
	frozen   *bundle.Frozen
	bundle   *bundle.Bundle
}

// Node keeps the bundle and the instance list of a process equal to those of the
// fleet. It runs the decisions of a converge.Member: it holds the connections to
// peers, reads the platform and transfers documents.
type Node struct {
	cfg            Config // never changes after NewNode
	listener       net.Listener
	traffic        byteCounter
	inbox          chan loopEvent
	handshakeSlots chan struct{} // semaphore for handshakes of accepted connections
	status         atomic.Pointer[nodeStatus]
	wg             conc.WaitGroup

	// The fields below are used only by the loop.
	member           *converge.Member
	inputs           []converge.Input // queue for the member; the first one is being handled
	trust            bundle.Trust     // its sequence never decreases
	conns            map[string]*conn
	instances        map[string]configservice.Instance
	checked          map[converge.Version]checkedBundle
	platformBundle   *bundle.Frozen // last one read from the platform
	offeredList      *document      // last one offered to the member, which may adopt it
	histories        map[converge.Kind]*history
	transfers        map[converge.Kind]*transfer
	stopWatches      context.CancelFunc // nil while the platform is not watched
	expiryCheckedAt  time.Time          // when the expiry of the certificate was last checked
	platformLoggedAt time.Time          // when a failed call to the platform was last logged; zero after an answer
}

// nodeStatus is a status and the time at which it was recorded.
type nodeStatus struct {
	Status
	takenAt time.Time
}

// NewNode returns a Node that listens but does not accept connections until Run
// is called. It returns *ConfigError or *ListenError.
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
		cfg:            cfg,
		listener:       l,
		inbox:          make(chan loopEvent, inboxSize),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		trust:          bundle.Anchor(cfg.Anchor),
		conns:          make(map[string]*conn),
		instances:      make(map[string]configservice.Instance),
		checked:        make(map[converge.Version]checkedBundle),
		histories:      map[converge.Kind]*history{converge.KindBundle: newHistory(), converge.KindList: newHistory()},
		transfers:      make(map[converge.Kind]*transfer),
	}
	n.member = converge.New(n.convergeConfig())
	n.status.Store(&nodeStatus{takenAt: cfg.Timer.Now()})
	return n, nil
}

// convergeConfig returns the configuration of the member. It also records the
// seeds as instances, so that dial finds their addresses.
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

// Address returns the address on which the Node listens.
func (n *Node) Address() netip.AddrPort {
	return n.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Status returns the current status. It is safe for concurrent use. If the loop
// has not run for maxStatusAge, a ready process is reported as resyncing, since
// it may just have resumed after a pause.
func (n *Node) Status() Status {
	s := n.status.Load()
	out := s.Status
	if out.State == converge.StateReady && n.cfg.Timer.Since(s.takenAt) > maxStatusAge {
		out.State = converge.StateResyncing
	}
	out.Sent, out.Received = n.traffic.sent.Load(), n.traffic.received.Load()
	out.Platform = n.cfg.Platform.Counts()
	return out
}

// maxStatusAge is the age above which a status no longer proves that the process is ready.
const maxStatusAge = 2 * time.Second

// Run runs the Node until ctx is done. It may be called only once and returns nil.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.wg.Go(func() { n.accept(ctx) })
	n.loop(ctx)
	cancel()
	n.listener.Close()
	for _, c := range n.conns {
		c.cancel()
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
		case ev := <-n.inbox:
			n.handle(ctx, ev)
		}
	}
}

// post sends an event to the loop.
func (n *Node) post(ctx context.Context, ev loopEvent) {
	select {
	case n.inbox <- ev:
	case <-ctx.Done():
	}
}

// handle converts an event to inputs of the member.
func (n *Node) handle(ctx context.Context, ev loopEvent) {
	switch ev := ev.(type) {
	case connOpened:
		n.addConn(ctx, ev.conn)
	case connClosed:
		n.removeConn(ctx, ev)
	case messageReceived:
		if n.conns[ev.conn.hello.Name] == ev.conn {
			n.receive(ctx, ev.conn, ev.message)
		}
	case dialFailed:
		if n.conns[ev.name] == nil {
			n.update(ctx, converge.Disconnected{Peer: ev.name})
		}
	case bundleRead:
		n.platformBundle = ev.frozen
		n.update(ctx, converge.BundleOffered{Version: versionOf(ev.frozen)})
	case listRead:
		n.offerList(ctx, converge.FromPlatform, ev.list)
	case platformCalled:
		n.handlePlatformCall(ctx, ev.err)
	}
}

func (n *Node) handlePlatformCall(ctx context.Context, err error) {
	if err == nil {
		n.platformLoggedAt = time.Time{}
		n.update(ctx, converge.PlatformAnswered{})
		return
	}
	now := n.cfg.Timer.Now()
	if n.platformLoggedAt.IsZero() || now.Sub(n.platformLoggedAt) >= platformLogInterval {
		n.platformLoggedAt = now
		n.cfg.Log.Emit(event.PlatformUnreachable, zap.Error(err))
	}
	n.update(ctx, converge.PlatformFailed{})
}

// update passes an input to the member and executes the outputs. Inputs that an
// output causes are queued until all outputs of the current input are executed.
func (n *Node) update(ctx context.Context, in converge.Input) {
	n.inputs = append(n.inputs, in)
	if len(n.inputs) > 1 {
		return
	}
	for len(n.inputs) > 0 {
		for _, out := range n.member.Update(n.cfg.Timer.Now(), n.inputs[0]) {
			n.execute(ctx, out)
		}
		n.inputs = n.inputs[1:]
	}
	s := Status{Status: n.member.Status(), Hash: n.trust.Hash}
	n.status.Store(&nodeStatus{Status: s, takenAt: n.cfg.Timer.Now()})
}

func (n *Node) execute(ctx context.Context, out converge.Output) {
	switch out := out.(type) {
	case converge.Connect:
		n.dial(ctx, out.Peer)
	case converge.Disconnect:
		if c := n.conns[out.Peer]; c != nil {
			delete(n.conns, out.Peer)
			c.send(Close{})
		}
	case converge.Send:
		n.sendTo(out.Peer, wireDigest(out.Digest))
	case converge.Fetch:
		n.fetch(ctx, out)
	case converge.Activate:
		n.activate(out.Version)
	case converge.AdoptList:
		n.adoptList(out.Version)
	case converge.ReadPlatform:
		n.setPlatformWatches(ctx, out.On)
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

// activate puts a checked bundle in force and drops all checked ones up to its sequence.
func (n *Node) activate(v converge.Version) {
	checked, ok := n.checked[v]
	if !ok {
		return
	}
	n.trust = checked.frozen.Trust()
	n.histories[converge.KindBundle].advance(checked.document)
	for o := range n.checked {
		if o.Sequence <= v.Sequence {
			delete(n.checked, o)
		}
	}
	n.cfg.Log.Emit(event.BundleAccepted, zap.Uint64("sequence", v.Sequence), zap.Stringer("hash", n.trust.Hash))
	n.cfg.OnBundle(checked.bundle, n.trust.Hash)
}

// adoptList makes the offered instance list the current one.
func (n *Node) adoptList(v converge.Version) {
	if n.offeredList == nil || n.offeredList.version != v {
		return
	}
	list, err := instancesOf(n.offeredList)
	if err != nil {
		return
	}
	n.histories[converge.KindList].advance(n.offeredList)
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

func (m Digest) toConverge() converge.Digest {
	return converge.Digest{
		InForce: m.InForce.toConverge(), Pending: m.Pending.toConverge(), List: m.List.toConverge(),
		Origin: m.Origin, Age: m.Age, Request: m.Request, Reply: m.Reply,
	}
}
