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

// pipeline processes one datagram at a time, from the fabric to a sidecar. Each
// worker has its own.
type pipeline struct {
	b       *Balancer
	decoder *fabric.Decoder
	header  forward.Header // Candidates is reused for each packet
	out     []byte
}

func (b *Balancer) newFabricHandler() udp.Handler {
	p := &pipeline{
		b:       b,
		decoder: fabric.NewDecoder(fabric.DecoderConfig{}),
		out:     make([]byte, 0, b.cfg.MTU),
	}
	p.header.Candidates = make([]forward.Candidate, 0, forward.MaxCandidates)
	return p.receive
}

// receive runs the stages of the pipeline for one datagram.
func (p *pipeline) receive(b []byte, _ netip.AddrPort) {
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
		p.drop(dropReasonOf(err))
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
func (p *pipeline) rank(view *route.View, m route.Match, f fabric.Frame) {
	h := &p.header
	*h = forward.Header{
		Service:    m.Service.ID(),
		Version:    view.Version(),
		Phase:      forward.PhaseAccept,
		Balancer:   p.b.forward.Address(),
		Candidates: view.Candidates(h.Candidates[:0], m, f.Packet.Key),
	}
}

func (p *pipeline) forward(f fabric.Frame, now time.Time) {
	h := &p.header
	if len(h.Candidates) == 0 {
		p.drop(dropUnknownAddress)
		return
	}
	p.b.hints.SelectCandidate(now, h, f.Packet, p.b.health(now))
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

func (p *pipeline) drop(r dropReason) {
	p.b.counters.dropped[r].Add(1)
}

func dropReasonOf(err error) dropReason {
	var denied *route.DeniedError
	if errors.As(err, &denied) {
		return dropDenied
	}
	return dropUnknownAddress
}

// newForwardHandler returns a handler for the hints and silence reports of sidecars.
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
			err = b.receiveHints(d.Body, now)
		case forward.KindSilence:
			err = b.receiveSilence(d.Body, now)
		default:
			err = &forward.HeaderError{Field: "kind"}
		}
		if err != nil {
			b.counters.dropped[dropMalformed].Add(1)
		}
	}
}

// receiveHints stores the owner of the flows in a hint message.
func (b *Balancer) receiveHints(body []byte, now time.Time) error {
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

// receiveSilence stores the silent sidecars in a silence message.
func (b *Balancer) receiveSilence(body []byte, now time.Time) error {
	var m flow.SilenceReport
	if err := forward.DecodeMessage(body, &m); err != nil {
		return err
	}
	b.silent.update(m, now)
	return nil
}
