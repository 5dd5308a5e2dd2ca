package flow_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// A balancer is the fake of an entry instance.
type balancer struct {
	process
	w     *world
	id    node
	plan  *plan
	hints *flow.Hints
	gone  map[bundle.UpstreamID]time.Time
	stuck bool // it hears of no newer bundle and no newer list
}

func (w *world) joinBalancer() {
	id := node(len(w.balancers) + 1)
	b := &balancer{w: w, id: id, plan: w.newest(id), gone: map[bundle.UpstreamID]time.Time{}}
	b.hints = flow.NewHints(flow.HintsConfig{Shards: 1, Size: 1000})
	w.balancers = append(w.balancers, b)
}

// addr is where the balancer receives hints.
func (b *balancer) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(b.id >> 8), byte(b.id)}), 7000)
}

// receive forwards a caller's packet.
func (b *balancer) receive(p flow.Packet, bd body) {
	bd.flow.arrived(b.w.now)
	s, cs := view{plan: b.plan}.Candidates(nil, p.Key)
	if len(cs) == 0 {
		return
	}
	h := forward.Header{Service: s, Version: b.plan.version, Candidates: cs, Balancer: b.addr()}
	b.hints.Aim(b.w.now, &h, p, flow.Health{Suspect: b.suspect, Over: b.over})
	b.w.sendForward(b.id, h, p, bd)
}

func (b *balancer) suspect(u bundle.UpstreamID) bool {
	_, ok := b.gone[u]
	return ok
}

func (b *balancer) over(u bundle.UpstreamID) bool {
	at, ok := b.gone[u]
	return ok && b.w.now.Sub(at) > 3*flow.FenceTime+testRepeat
}

// list takes in the platform's list.
func (b *balancer) list(gone []bundle.UpstreamID) {
	for u := range b.gone {
		if !slices.Contains(gone, u) {
			delete(b.gone, u)
		}
	}
	for _, u := range gone {
		if _, ok := b.gone[u]; !ok {
			b.gone[u] = b.w.now
		}
	}
}

// wake ends a pause; what waited in the socket is dropped.
func (b *balancer) wake() {
	b.paused = false
	b.waiting = nil
}

// sendForward sends a packet to the sidecar that the header asks.
func (w *world) sendForward(from node, h forward.Header, p flow.Packet, bd body) {
	to := hostNode + node(h.Candidates[h.Current].Sidecar.Addr().As4()[3])
	h.Candidates = slices.Clone(h.Candidates)
	w.send(from, to, func() {
		arrived := h
		arrived.Candidates = slices.Clone(h.Candidates)
		w.hosts[bundle.UpstreamID(to-hostNode)].receive(arrived, p, bd)
	})
}

// sendHint sends a hint to a balancer or a sidecar.
func (w *world) sendHint(from *host, hint flow.Hint) {
	const hintBytes = 64
	w.control += hintBytes
	ip := hint.To.Addr().As4()
	if ip[1] == 2 {
		b := w.balancers[int(ip[2])<<8+int(ip[3])-1]
		w.send(from.node(), b.id, func() { b.hints.Add(w.now, hint.Key.Hash(), from.id) })
		return
	}
	to := w.hosts[bundle.UpstreamID(ip[3])]
	if to == nil {
		return
	}
	w.send(from.node(), to.node(), func() { to.sidecar.Found(w.now, hint.Key, from.id) })
}
