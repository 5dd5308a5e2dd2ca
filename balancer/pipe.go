package balancer

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
	"github.com/corianderbay/corianderbay/udp"
)

// pipe takes one datagram from the fabric to a sidecar. Each worker has its own.
type pipe struct {
	b       *Balancer
	decoder *fabric.Decoder
	header  forward.Header // Candidates keeps its room from packet to packet
	out     []byte
}

func (b *Balancer) newFabricHandler() udp.Handler {
	p := &pipe{
		b:       b,
		decoder: fabric.NewDecoder(fabric.DecoderConfig{}),
		out:     make([]byte, 0, b.cfg.MTU),
	}
	p.header.Candidates = make([]forward.Candidate, 0, forward.MaxCandidates)
	return p.receive
}

// receive runs the stages for one datagram.
func (p *pipe) receive(b []byte, _ netip.AddrPort) {
	frame, err := p.decoder.Decode(b)
	if err != nil {
		p.drop(dropMalformed)
		return
	}
	view := p.b.view.Load()
	if view == nil {
		p.drop(dropNoBundle)
		return
	}
	match, err := view.Classify(frame.Packet.Key)
	if err != nil {
		p.drop(reasonOf(err))
		return
	}
	now := p.b.cfg.Timer.Now()
	if !p.admit(match, frame, now) {
		return
	}
	p.rank(view, match, frame)
	p.forward(frame, now)
}

// rank fills the header with the candidates of the packet's flow.
func (p *pipe) rank(view *route.View, m route.Match, f fabric.Frame) {
	h := &p.header
	*h = forward.Header{
		Service:    m.Service.ID(),
		Version:    view.Version(),
		Phase:      forward.PhaseAccept,
		Balancer:   p.b.forward.Address(),
		Candidates: view.Candidates(h.Candidates[:0], m, f.Packet.Key),
	}
}

func (p *pipe) forward(f fabric.Frame, now time.Time) {
	h := &p.header
	if len(h.Candidates) == 0 {
		p.drop(dropUnknownAddress)
		return
	}
	p.b.hints.Aim(now, h, f.Packet, p.b.health(now))
	out, err := p.b.sealer.AppendPacket(p.out, h, f.IP)
	if err != nil {
		p.drop(dropMalformed)
		return
	}
	p.out = out
	if len(out) > p.b.cfg.MTU {
		p.drop(dropOversized)
		return
	}
	p.b.forward.Send(out, h.Candidates[h.Current].Sidecar)
	p.b.counters.forwarded.Add(1)
}

func (p *pipe) drop(r dropReason) {
	p.b.counters.dropped[r].Add(1)
}

func reasonOf(err error) dropReason {
	var denied *route.DeniedError
	if errors.As(err, &denied) {
		return dropDenied
	}
	return dropUnknownAddress
}

// newForwardHandler handles what sidecars tell this balancer.
func (b *Balancer) newForwardHandler() udp.Handler {
	return func(raw []byte, _ netip.AddrPort) {
		d, err := b.opener.Open(raw)
		if err != nil {
			b.counters.dropped[dropForged].Add(1)
			return
		}
		now := b.cfg.Timer.Now()
		switch d.Kind {
		case forward.KindHints:
			err = b.takeHints(d.Body, now)
		case forward.KindSilence:
			err = b.takeSilence(d.Body, now)
		default:
			err = &forward.HeaderError{Field: "kind"}
		}
		if err != nil {
			b.counters.dropped[dropMalformed].Add(1)
		}
	}
}

// takeHints keeps who owns some flows.
func (b *Balancer) takeHints(body []byte, now time.Time) error {
	var m flow.OwnerHints
	if err := forward.DecodeMessage(body, &m); err != nil {
		return err
	}
	for _, hash := range m.Hashes {
		b.hints.Add(now, hash, m.Owner)
	}
	b.counters.hinted.Add(uint64(len(m.Hashes)))
	return nil
}

// takeSilence keeps which sidecars are silent.
func (b *Balancer) takeSilence(body []byte, now time.Time) error {
	var m flow.Silence
	if err := forward.DecodeMessage(body, &m); err != nil {
		return err
	}
	b.silent.hear(m, now)
	return nil
}
