package sidecar

import (
	"net/netip"
	"sync"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/corianderbay/corianderbay/upstream"
)

// pipeline processes one forwarded datagram at a time. Each worker has its own.
type pipeline struct {
	s       *Sidecar
	headers *forward.HeaderDecoder
	packets *fabric.Decoder
	header  forward.Header // Candidates is reused for each packet
	out     []byte
}

// answerDecoders pools the decoders of the goroutines that send answers.
type answerDecoders struct {
	pool sync.Pool // holds *fabric.Decoder
}

func (s *Sidecar) newHandler() udp.Handler {
	p := &pipeline{
		s:       s,
		headers: forward.NewHeaderDecoder(),
		packets: fabric.NewDecoder(fabric.DecoderConfig{}),
	}
	return p.receive
}

// receive runs the stages of the pipeline for one datagram.
func (p *pipeline) receive(b []byte, _ netip.AddrPort) {
	d, err := p.s.opener.Open(b)
	if err != nil {
		p.s.counters.countDrop(dropForged)
		return
	}
	switch d.Kind {
	case forward.KindPacket:
		p.packet(d)
	case forward.KindHints:
		p.s.receiveHints(d.Body)
	case forward.KindReport:
		p.s.receiveReport(d.Body)
	case forward.KindLoad:
		p.s.receiveLoad(d.Body)
	default:
		p.s.counters.countDrop(dropMalformed)
	}
}

// packet carries out the decision of s.flows on one caller's packet.
func (p *pipeline) packet(d forward.Datagram) {
	if err := p.headers.Decode(d.Body, &p.header); err != nil {
		p.s.counters.countDrop(dropMalformed)
		return
	}
	packet, payload, err := p.packets.DecodePacket(d.Packet)
	if err != nil {
		p.s.counters.countDrop(dropMalformed)
		return
	}
	now := p.s.cfg.Timer.Now()
	switch a := p.s.flows.Packet(now, &p.header, packet).(type) {
	case flow.Deliver:
		p.s.recordDelivery(packet, now)
		p.deliver(upstream.Packet{Key: packet.Key, IP: d.Packet, Payload: payload})
	case flow.Forward:
		p.forward(d.Packet)
	case flow.Refuse:
		p.refuse(a, d.Packet)
	case flow.Drop:
		p.s.counters.countReason(a.Reason)
	}
}

func (p *pipeline) deliver(packet upstream.Packet) {
	if err := upstream.Deliver(p.s.transport, packet); err != nil {
		p.s.counters.countDrop(dropUpstream)
		return
	}
	p.s.counters.delivered.Add(1)
	p.s.counters.hops.Add(uint64(p.header.Hops))
}

// forward sends the packet to the current candidate of the header, which s.flows has set.
func (p *pipeline) forward(packet []byte) {
	out, err := p.s.sealer.AppendPacket(p.out, &p.header, packet)
	if err != nil {
		p.s.counters.countDrop(dropMalformed)
		return
	}
	p.out = out
	p.s.forward.Send(out, p.header.Candidates[p.header.Current].Sidecar)
	p.s.counters.passed.Add(1)
}

// refuse sends a refusal to the caller.
func (p *pipeline) refuse(r flow.Refuse, packet []byte) {
	p.s.counters.countReason(r.Reason)
	p.s.recordRefusal(r.Reason)
	ip, err := p.packets.Refuse(packet)
	if err != nil {
		return // a reset is not answered
	}
	out, err := fabric.Append(p.out[:0], 0, ip, &fabric.Refusal{
		Reason:     refusalReason(r.Reason),
		NotRun:     r.NotRun,
		RetryAfter: r.RetryAfter,
	})
	if err != nil {
		p.s.counters.countDrop(dropMalformed)
		return
	}
	p.out = out
	p.s.forward.Send(out, p.s.cfg.Gateway)
	p.s.counters.refused.Add(1)
}

// refusalReason returns the reason that is sent to a caller.
func refusalReason(r flow.Reason) fabric.Reason {
	if r == flow.ReasonFull {
		return fabric.ReasonOverloaded
	}
	return fabric.ReasonUnavailable
}

// answer sends an upstream's packet to the fabric if the upstream owns its flow.
func (s *Sidecar) answer(ip []byte) {
	dec := s.answers.pool.Get().(*fabric.Decoder)
	packet, _, err := dec.DecodeAnswer(ip)
	s.answers.pool.Put(dec)
	if err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	now := s.cfg.Timer.Now()
	s.recordAnswer(packet, now)
	if drop, ok := s.flows.Answer(now, packet).(flow.Drop); ok {
		s.counters.countReason(drop.Reason)
		return
	}
	out, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), 0, ip, nil)
	if err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	s.forward.Send(out, s.cfg.Gateway)
	s.counters.answered.Add(1)
}
