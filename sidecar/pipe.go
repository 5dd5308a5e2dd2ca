package sidecar

import (
	"net/netip"
	"sync"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/corianderbay/corianderbay/upstream"
)

// pipe takes one forwarded datagram to its end. Each worker has its own.
type pipe struct {
	s       *Sidecar
	headers *forward.HeaderDecoder
	packets *fabric.Decoder
	header  forward.Header // Candidates keeps its room from packet to packet
	out     []byte
}

// answerDecoders lends decoders to the goroutines that hand on answers.
type answerDecoders struct {
	pool sync.Pool // holds *fabric.Decoder
}

func (s *Sidecar) newHandler() udp.Handler {
	p := &pipe{
		s:       s,
		headers: forward.NewHeaderDecoder(),
		packets: fabric.NewDecoder(fabric.DecoderConfig{}),
	}
	return p.receive
}

// receive runs the stages for one datagram.
func (p *pipe) receive(b []byte, _ netip.AddrPort) {
	d, err := p.s.opener.Open(b)
	if err != nil {
		p.s.counters.drop(dropForged)
		return
	}
	if d.Kind != forward.KindPacket {
		return
	}
	if err := p.headers.Decode(d.Body, &p.header); err != nil {
		p.s.counters.drop(dropMalformed)
		return
	}
	packet, payload, err := p.packets.DecodePacket(d.Packet)
	if err != nil {
		p.s.counters.drop(dropMalformed)
		return
	}
	mayAccept := !p.header.Candidates[p.header.At].Leaving
	if !p.s.flows.deliver(packet, mayAccept) {
		p.pass(d.Packet)
		return
	}
	err = upstream.Deliver(p.s.edge, upstream.Packet{Key: packet.Key, IP: d.Packet, Payload: payload})
	if err != nil {
		p.s.counters.drop(dropUpstream)
		return
	}
	p.s.counters.delivered.Add(1)
}

// pass hands the packet to the next candidate.
func (p *pipe) pass(packet []byte) {
	h := &p.header
	if int(h.At)+1 >= len(h.Candidates) {
		p.s.counters.drop(dropUnowned)
		return
	}
	h.At++
	h.Hops++
	out, err := p.s.sealer.AppendPacket(p.out, h, packet)
	if err != nil {
		p.s.counters.drop(dropMalformed)
		return
	}
	p.out = out
	p.s.forward.Send(out, h.Candidates[h.At].Sidecar)
	p.s.counters.passed.Add(1)
}

// answer sends an upstream's packet to the fabric.
func (s *Sidecar) answer(ip []byte) {
	out, err := fabric.Append(make([]byte, 0, len(ip)+fabric.Overhead), 0, ip, nil)
	if err != nil {
		s.counters.drop(dropMalformed)
		return
	}
	s.forward.Send(out, s.cfg.Gateway)
	s.counters.answered.Add(1)
}
