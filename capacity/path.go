package capacity

import (
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
)

const (
	// maxFlows exceeds the flows that any benchmark opens at one upstream.
	maxFlows         = 10_000_000
	maxDatagram      = 9000 // bytes
	payloadSize      = 200  // bytes, without headers
	callersPerHost   = 1 << 14
	firstCallerPort  = 1 << 15
	callerISN        = 99  // initial sequence number of callers
	upstreamISN      = 499 // initial sequence number of upstreams
	balancerSenderID = 1
	sidecarSenderID  = 2
)

// DataPath is the packet processing of a balancer and a sidecar between receiving
// and sending, without sockets. It is not safe for concurrent use.
type DataPath struct {
	// Now is the virtual time of the balancer and the sidecar. Only Advance changes it.
	Now     time.Time
	view    *route.View
	service *route.Service // the first service of the bundle
	self    bundle.UpstreamID
	sealer  *forward.Sealer
	opener  *forward.Opener
	decoder *fabric.Decoder
	headers *forward.HeaderDecoder
	hints   *flow.Hints
	sidecar *flow.Sidecar
	header  forward.Header
	out     []byte
}

// NewDataPath returns a data path to the first upstream of the first service of a
// bundle. Its sidecar owns no flows and has received a report from each other
// sidecar of the service.
func NewDataPath(b *bundle.Bundle) (*DataPath, error) {
	key := make([]byte, forward.KeySize)
	sealer, err := forward.NewSealer(forward.SealerConfig{Key: key, Sender: balancerSenderID})
	if err != nil {
		return nil, err
	}
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: key})
	if err != nil {
		return nil, err
	}
	p := &DataPath{
		Now:     time.Unix(1, 0),
		view:    route.NewView(b),
		sealer:  sealer,
		opener:  opener,
		decoder: fabric.NewDecoder(fabric.DecoderConfig{}),
		headers: forward.NewHeaderDecoder(),
		hints:   flow.NewHints(flow.HintsConfig{}),
		out:     make([]byte, 0, maxDatagram),
	}
	p.header.Candidates = make([]forward.Candidate, 0, forward.MaxCandidates)
	p.service = p.view.Services()[0]
	p.self = p.service.Members()[0].Upstream
	p.sidecar = flow.NewSidecar(flow.SidecarConfig{
		Upstream:    p.self,
		Incarnation: sidecarSenderID,
		Admitter:    flow.Threshold{Flows: maxFlows},
	}, p.Now)
	p.SetView(p.view)
	p.Advance(flow.ReportInterval)
	return p, nil
}

// SetView replaces the view of the sidecar. The balancer keeps the view of the
// bundle that was passed to NewDataPath.
func (p *DataPath) SetView(v *route.View) {
	p.sidecar.BundleAccepted(p.Now, route.NewSidecarView(v, p.self))
}

// Sidecar returns the state machine of the sidecar.
func (p *DataPath) Sidecar() *flow.Sidecar {
	return p.sidecar
}

// Advance advances Now, delivers a report of each other sidecar of the service,
// and returns the result of the sidecar's next tick.
func (p *DataPath) Advance(d time.Duration) flow.TickResult {
	p.Now = p.Now.Add(d)
	for _, m := range p.service.Members() {
		if m.Upstream == p.self {
			continue
		}
		p.sidecar.PeerReported(p.Now, flow.PeerReport{
			Upstream:    m.Upstream,
			Service:     p.service.ID(),
			Incarnation: uint64(m.Upstream),
			Version:     p.view.Version(),
			Highest:     p.view.Version(),
			Oldest:      p.view.Version(),
			LivePeers:   []bundle.UpstreamID{p.self},
		})
	}
	return p.sidecar.Tick(p.Now)
}

// Forward processes a Geneve datagram like a balancer and returns the sealed
// datagram to send, which is valid until the next call. It returns the errors of
// packages fabric, route and forward.
func (p *DataPath) Forward(datagram []byte) ([]byte, error) {
	frame, err := p.decoder.Decode(datagram)
	if err != nil {
		return nil, err
	}
	match, err := p.view.Classify(frame.Packet.Key)
	if err != nil {
		return nil, err
	}
	p.header = forward.Header{
		Service:    match.Service.ID(),
		Version:    p.view.Version(),
		Phase:      forward.PhaseAccept,
		Balancer:   balancerAddress(0),
		Candidates: p.view.Candidates(p.header.Candidates[:0], match, frame.Packet.Key),
	}
	p.hints.SelectCandidate(p.Now, &p.header, frame.Packet, flow.Health{})
	p.out, err = p.sealer.AppendPacket(p.out, &p.header, frame.IP)
	return p.out, err
}

// Deliver processes a forwarded datagram like a sidecar and returns its decision.
// It returns the errors of packages forward and fabric.
func (p *DataPath) Deliver(sealed []byte) (flow.Action, error) {
	d, err := p.opener.Open(sealed)
	if err != nil {
		return nil, err
	}
	if err := p.headers.Decode(d.Body, &p.header); err != nil {
		return nil, err
	}
	packet, _, err := p.decoder.DecodePacket(d.Packet)
	if err != nil {
		return nil, err
	}
	return p.sidecar.Packet(p.Now, &p.header, packet), nil
}

// Callers returns the indexes of the first n callers whose flows have the path's
// upstream as their first candidate.
func (p *DataPath) Callers(n int) []int {
	callers := make([]int, 0, n)
	for i := 0; len(callers) < n; i++ {
		if p.headerFor(p.Key(i)).Candidates[0].Upstream == p.self {
			callers = append(callers, i)
		}
	}
	return callers
}

// OpenFlows opens the flows of the given callers at the sidecar, which owns them
// from then on. It bypasses the balancer. The callers must come from Callers.
func (p *DataPath) OpenFlows(callers []int) {
	for _, i := range callers {
		k := p.Key(i)
		h := p.headerFor(k)
		p.sidecar.Packet(p.Now, &h, flow.Packet{Key: k, Opening: true, Sequence: callerISN})
		p.answerOpening(k)
		h = p.headerFor(k)
		p.sidecar.Packet(p.Now, &h, flow.Packet{Key: k, HasAck: true, Sequence: callerISN + 1, Acknowledged: upstreamISN + 1})
	}
}

// OpenForwarded opens the flow of one caller through the balancer and the
// sidecar, with the datagrams of its opening and its first segment. It returns the
// errors of Forward and Deliver.
func (p *DataPath) OpenForwarded(caller int, opening, first []byte) error {
	if err := p.forwardAndDeliver(opening); err != nil {
		return err
	}
	p.answerOpening(p.Key(caller))
	return p.forwardAndDeliver(first)
}

// forwardAndDeliver passes a datagram through the balancer and the sidecar.
func (p *DataPath) forwardAndDeliver(datagram []byte) error {
	sealed, err := p.Forward(datagram)
	if err != nil {
		return err
	}
	_, err = p.Deliver(sealed)
	return err
}

// DeliverRelayed delivers a packet of an owned flow that was relayed by another
// sidecar and sent by the balancer with the given index. The sidecar then queues
// an owner hint for that balancer.
func (p *DataPath) DeliverRelayed(i, balancer int) flow.Action {
	k := p.Key(i)
	h := p.headerFor(k)
	h.Hops = 1
	h.Balancer = balancerAddress(balancer)
	return p.sidecar.Packet(p.Now, &h, flow.Packet{Key: k, HasAck: true, Sequence: callerISN + 1, Acknowledged: upstreamISN + 1})
}

// answerOpening delivers the upstream's answer to the opening of a flow.
func (p *DataPath) answerOpening(k flow.Key) {
	p.sidecar.Answer(p.Now, flow.Packet{
		Key:          k,
		Opening:      true,
		HasAck:       true,
		Sequence:     upstreamISN,
		Acknowledged: callerISN + 1,
	})
}

// headerFor returns the header of a packet for its first candidate.
func (p *DataPath) headerFor(k flow.Key) forward.Header {
	return forward.Header{
		Service:    p.service.ID(),
		Version:    p.view.Version(),
		Phase:      forward.PhaseAccept,
		Candidates: p.view.Rank(p.header.Candidates[:0], k),
	}
}

// Key returns the key of the flow from the caller with the index to the service.
func (p *DataPath) Key(i int) flow.Key {
	return flow.NewKey(flow.TCP, callerAddress(i), p.address())
}

func (p *DataPath) address() netip.AddrPort {
	a := p.service.Config().Addresses[0]
	return netip.AddrPortFrom(a.IP, a.Port)
}

// Opening returns the Geneve datagram that opens the flow of a caller.
func (p *DataPath) Opening(i int) ([]byte, error) {
	return p.segment(i, fabric.Segment{Flags: fabric.SYN, Sequence: callerISN})
}

// Data returns a Geneve datagram with a data segment of a caller's established flow.
func (p *DataPath) Data(i int) ([]byte, error) {
	return p.segment(i, fabric.Segment{
		Flags:        fabric.ACK,
		Sequence:     callerISN + 1,
		Acknowledged: upstreamISN + 1,
		Payload:      make([]byte, payloadSize),
	})
}

func (p *DataPath) segment(i int, s fabric.Segment) ([]byte, error) {
	s.Source = callerAddress(i)
	s.Destination = p.address()
	ip, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return fabric.Append(nil, 0, ip, nil)
}

// callerAddress returns the address of the caller with the index, which is near
// the first data centre.
func callerAddress(i int) netip.AddrPort {
	host := i / callersPerHost
	ip := netip.AddrFrom4([4]byte{callerNet, 0, byte(host >> 8), byte(host)})
	return netip.AddrPortFrom(ip, uint16(firstCallerPort+i%callersPerHost))
}

// balancerAddress returns the address at which the balancer with the index
// receives hints.
func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(i >> 8), byte(i)}), sidecarPort)
}
